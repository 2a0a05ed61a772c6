//! Entry point of `agate-load`.

mod command;

use std::process::ExitCode;

use agate_load::live::Route;
use bpaf::Bpaf;

/// Measures policies in simulated time and hosts under real load.
#[derive(Clone, Debug, Bpaf)]
#[bpaf(options, version)]
enum Args {
    /// Runs an experiment in simulated time, each policy beside its baselines
    #[bpaf(command)]
    Sim(#[bpaf(external(command::sim::args))] command::sim::Args),
    /// Sends open-loop load to entry hosts
    #[bpaf(command)]
    Run(#[bpaf(external(command::run::args))] command::run::Args),
    /// Sends the same load straight to the endpoints
    #[bpaf(command)]
    Baseline(#[bpaf(external(command::run::args))] command::run::Args),
    /// Measures the time of one decision at two sizes
    #[bpaf(command)]
    Bench(#[bpaf(external(command::bench::args))] command::bench::Args),
}

fn main() -> ExitCode {
    let result = match args().run() {
        Args::Sim(args) => command::sim::run(&args),
        Args::Run(args) => command::run::run(&args, Route::Gates),
        Args::Baseline(args) => command::run::run(&args, Route::Endpoints),
        Args::Bench(args) => command::bench::run(&args),
    };
    match result {
        Ok(()) => ExitCode::SUCCESS,
        Err(err) => {
            eprintln!("agate-load: {err}");
            ExitCode::FAILURE
        }
    }
}
