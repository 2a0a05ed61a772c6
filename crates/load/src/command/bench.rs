//! Subcommand `agate-load bench`.

use std::path::PathBuf;

use agate_load::bench::{self, Measurement};
use agate_load::report;
use bpaf::Bpaf;

use super::Error;

/// Command-line arguments of `bench`.
#[derive(Clone, Debug, Bpaf)]
#[bpaf(generate(args))]
pub(crate) struct Args {
    /// JSON file to write the results to
    #[bpaf(argument("FILE"))]
    out: Option<PathBuf>,
}

/// Measures the time of each kind of decision and prints a table.
pub(crate) fn run(args: &Args) -> Result<(), Error> {
    let measurements = bench::run();
    let head = ["decision", "today ns", "ahead ns", "ratio", "size ratio"];
    let mut rows = vec![head.map(str::to_owned).to_vec()];
    rows.extend(measurements.iter().map(row));
    print!("{}", report::align(&rows));
    if let Some(path) = &args.out {
        report::write_json(path, &measurements)?;
    }
    Ok(())
}

/// Returns the table row of one decision.
fn row(measurement: &Measurement) -> Vec<String> {
    vec![
        measurement.decision.to_owned(),
        format!("{:.0}", measurement.today_ns),
        format!("{:.0}", measurement.ahead_ns),
        format!("{:.2}", measurement.ratio),
        format!("{:.0}", measurement.size_ratio),
    ]
}
