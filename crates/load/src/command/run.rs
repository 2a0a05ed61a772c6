//! Subcommands `agate-load run` and `agate-load baseline`.

use std::path::PathBuf;

use agate_load::live::plan::Plan;
use agate_load::live::record::{Statistics, Summary};
use agate_load::live::{self, Route};
use agate_load::report;
use bpaf::Bpaf;

use super::Error;

/// Command-line arguments of `run` and `baseline`.
#[derive(Clone, Debug, Bpaf)]
#[bpaf(generate(args))]
pub(crate) struct Args {
    /// JSON file to write the results to
    #[bpaf(argument("FILE"))]
    out: Option<PathBuf>,
    /// YAML file that describes the load
    #[bpaf(positional("FILE"))]
    file: PathBuf,
}

/// Sends the load of a file and prints a table with one row for each class.
pub(crate) fn run(args: &Args, route: Route) -> Result<(), Error> {
    let plan: Plan = agate_settings::file::load(&args.file)?;
    let recorder = actix_rt::System::new().block_on(live::run(&plan, route));
    let summary = recorder.summary();
    print!("{}", table(&summary));
    if let Some(path) = &args.out {
        report::write_json(path, &summary)?;
    }
    Ok(())
}

/// Returns the table of all classes, followed by the number of unfinished requests, if any.
fn table(summary: &Summary) -> String {
    let head = [
        "class", "offered", "attained", "late", "refused", "lost", "p50", "p95", "p99", "gap p95",
    ];
    let mut rows = vec![head.map(str::to_owned).to_vec()];
    rows.extend(
        summary
            .classes
            .iter()
            .map(|(id, statistics)| row(id, statistics)),
    );
    let mut text = report::align(&rows);
    if summary.unfinished > 0 {
        text.push_str(&format!("unfinished requests: {}\n", summary.unfinished));
    }
    text
}

/// Returns the table row of a class; times in milliseconds.
fn row(id: &str, statistics: &Statistics) -> Vec<String> {
    let share = 100.0 * statistics.attained as f64 / statistics.offered.max(1) as f64;
    let [p50, p95, p99] = statistics.first_token_ms;
    vec![
        id.to_owned(),
        statistics.offered.to_string(),
        format!("{share:.1}%"),
        statistics.late.to_string(),
        statistics.refused.values().sum::<u64>().to_string(),
        statistics.lost.values().sum::<u64>().to_string(),
        format!("{p50:.1}"),
        format!("{p95:.1}"),
        format!("{p99:.1}"),
        format!("{:.1}", statistics.between_tokens_ms[1]),
    ]
}
