//! `agate-load sim`.

use std::path::{Path, PathBuf};

use agate_load::experiment::{Experiment, Policy};
use agate_load::report;
use agate_load::sim::{self, metric::Outcome};
use bpaf::Bpaf;

use super::Error;

/// Arguments of `sim`.
#[derive(Clone, Debug, Bpaf)]
#[bpaf(generate(args))]
pub(crate) struct Args {
    /// Folder for a JSON file and an SVG plot
    #[bpaf(argument("DIR"))]
    out: Option<PathBuf>,
    /// Seed in place of that of the file
    #[bpaf(argument("N"))]
    seed: Option<u64>,
    /// Experiment file
    #[bpaf(positional("FILE"))]
    file: PathBuf,
}

/// Runs all policies of an experiment and prints one table.
pub(crate) fn run(args: &Args) -> Result<(), Error> {
    let mut experiment: Experiment = agate_settings::file::load(&args.file)?;
    experiment.seed = args.seed.unwrap_or(experiment.seed);
    let outcomes = compare(&experiment);
    print!("{}", report::table(&outcomes));
    if let Some(folder) = &args.out {
        write(folder, &args.file, &outcomes)?;
    }
    Ok(())
}

fn compare(experiment: &Experiment) -> Vec<Outcome> {
    let run = |&policy: &Policy| sim::run(experiment, policy);
    experiment.policies.iter().map(run).collect()
}

fn write(folder: &Path, file: &Path, outcomes: &[Outcome]) -> Result<(), Error> {
    let name = file
        .file_stem()
        .unwrap_or_default()
        .to_string_lossy()
        .into_owned();
    report::write_json(&folder.join(format!("{name}.json")), &outcomes)?;
    report::write_plot(&folder.join(format!("{name}.svg")), &name, outcomes)?;
    Ok(())
}
