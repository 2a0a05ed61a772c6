//! `agate-load run` and `agate-load baseline`.

use std::path::PathBuf;

use agate_load::live::plan::Plan;
use agate_load::live::record::{Figures, Summary};
use agate_load::live::{self, Route};
use agate_load::report;
use bpaf::Bpaf;

use super::Error;

/// Arguments of `run` and `baseline`.
#[derive(Clone, Debug, Bpaf)]
#[bpaf(generate(args))]
pub(crate) struct Args {
    /// JSON file for the figures
    #[bpaf(argument("FILE"))]
    out: Option<PathBuf>,
    /// File of live load
    #[bpaf(positional("FILE"))]
    file: PathBuf,
}

/// Runs live load and prints one line for each class.
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

fn table(summary: &Summary) -> String {
    let head = [
        "class", "offered", "attained", "late", "refused", "lost", "p50", "p95", "p99", "gap p95",
    ];
    let mut rows = vec![head.map(str::to_owned).to_vec()];
    rows.extend(summary.classes.iter().map(|(id, figures)| row(id, figures)));
    let mut text = report::align(&rows);
    if summary.unfinished > 0 {
        text.push_str(&format!("unfinished requests: {}\n", summary.unfinished));
    }
    text
}

fn row(id: &str, figures: &Figures) -> Vec<String> {
    let share = 100.0 * figures.attained as f64 / figures.offered.max(1) as f64;
    let [p50, p95, p99] = figures.first_token_ms;
    vec![
        id.to_owned(),
        figures.offered.to_string(),
        format!("{share:.1}%"),
        figures.late.to_string(),
        figures.refused.values().sum::<u64>().to_string(),
        figures.lost.values().sum::<u64>().to_string(),
        format!("{p50:.1}"),
        format!("{p95:.1}"),
        format!("{p99:.1}"),
        format!("{:.1}", figures.between_tokens_ms[1]),
    ]
}
