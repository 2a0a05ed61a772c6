//! Command line of `agate-load`.

mod command;

use std::process::ExitCode;

use agate_load::live::Route;
use bpaf::Bpaf;

/// Measures policies in simulated time and entry hosts under real load.
#[derive(Clone, Debug, Bpaf)]
#[bpaf(options, version)]
enum Args {
    /// Simulates an experiment under each of its policies and baselines
    #[bpaf(command)]
    Sim(#[bpaf(external(command::sim::args))] command::sim::Args),
    /// Sends open-loop load to entry hosts
    #[bpaf(command)]
    Run(#[bpaf(external(command::run::args))] command::run::Args),
    /// Sends the same load directly to the endpoints
    #[bpaf(command)]
    Baseline(#[bpaf(external(command::run::args))] command::run::Args),
    /// Measures the time of each kind of decision at two deployment sizes
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
