//! `agate-load bench`.

use std::path::PathBuf;

use agate_load::bench::{self, Figure};
use agate_load::report;
use bpaf::Bpaf;

use super::Error;

/// Arguments of `bench`.
#[derive(Clone, Debug, Bpaf)]
#[bpaf(generate(args))]
pub(crate) struct Args {
    /// JSON file for the figures
    #[bpaf(argument("FILE"))]
    out: Option<PathBuf>,
}

/// Measures one decision of each kind and prints a table.
pub(crate) fn run(args: &Args) -> Result<(), Error> {
    let figures = bench::run();
    let head = ["decision", "today ns", "ahead ns", "ratio", "size ratio"];
    let mut rows = vec![head.map(str::to_owned).to_vec()];
    rows.extend(figures.iter().map(row));
    print!("{}", report::align(&rows));
    if let Some(path) = &args.out {
        report::write_json(path, &figures)?;
    }
    Ok(())
}

fn row(figure: &Figure) -> Vec<String> {
    vec![
        figure.decision.to_owned(),
        format!("{:.0}", figure.today_ns),
        format!("{:.0}", figure.ahead_ns),
        format!("{:.2}", figure.ratio),
        format!("{:.0}", figure.size_ratio),
    ]
}
