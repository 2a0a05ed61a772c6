//! Entry point of `agate-load`.

mod command;

use std::process::ExitCode;

use bpaf::Bpaf;

/// Measures policies in simulated time and hosts under real load.
#[derive(Clone, Debug, Bpaf)]
#[bpaf(options, version)]
enum Args {
    /// Runs an experiment in simulated time, each policy beside its baselines.
    #[bpaf(command)]
    Sim(#[bpaf(external(command::sim::args))] command::sim::Args),
}

fn main() -> ExitCode {
    let result = match args().run() {
        Args::Sim(args) => command::sim::run(&args),
    };
    match result {
        Ok(()) => ExitCode::SUCCESS,
        Err(err) => {
            eprintln!("agate-load: {err}");
            ExitCode::FAILURE
        }
    }
}
