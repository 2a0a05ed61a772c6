//! Subcommand `agate-load sim`.

use std::path::{Path, PathBuf};

use agate_load::experiment::{Experiment, Policy};
use agate_load::report;
use agate_load::sim::{self, metric::Outcome};
use bpaf::Bpaf;

use super::Error;

/// Command-line arguments of `sim`.
#[derive(Clone, Debug, Bpaf)]
#[bpaf(generate(args))]
pub(crate) struct Args {
    /// Existing folder to write a JSON file and an SVG plot to
    #[bpaf(argument("DIR"))]
    out: Option<PathBuf>,
    /// Seed that replaces the one in the file
    #[bpaf(argument("N"))]
    seed: Option<u64>,
    /// YAML file that describes the experiment
    #[bpaf(positional("FILE"))]
    file: PathBuf,
}

/// Simulates an experiment under each of its policies and prints a table.
pub(crate) fn run(args: &Args) -> Result<(), Error> {
    let mut experiment: Experiment = agate_settings::file::load(&args.file)?;
    experiment.seed = args.seed.unwrap_or(experiment.seed);
    let outcomes = run_policies(&experiment);
    print!("{}", report::table(&outcomes));
    if let Some(folder) = &args.out {
        write(folder, &args.file, &outcomes)?;
    }
    Ok(())
}

/// Returns the results of each policy, in the order of the experiment file.
fn run_policies(experiment: &Experiment) -> Vec<Outcome> {
    let run = |&policy: &Policy| sim::run(experiment, policy);
    experiment.policies.iter().map(run).collect()
}

/// Writes the results and their plot under the name of the experiment file.
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
