//! Entry point of `agatectl`, the command line client of the resource API.

use std::process::ExitCode;

use agate_ctl::cmd;
use agate_ctl::error::Error;
use bpaf::Bpaf;

/// Declare, read, watch and explain the resources of agatebridge
///
///
/// Every command talks to any entry host.
///
///
/// Exit codes: 0 success, 1 wrong usage, 2 invalid
/// input, 3 conflict, 4 not found, 5 not permitted, 6 not reached or outcome unknown,
/// 7 stored but not yet in force, 10 differences found.
#[derive(Clone, Debug, Bpaf)]
#[bpaf(options, version)]
enum Command {
    Apply(#[bpaf(external(cmd::apply::args))] cmd::apply::Args),
    Get(#[bpaf(external(cmd::get::args))] cmd::get::Args),
    Describe(#[bpaf(external(cmd::describe::args))] cmd::describe::Args),
    Delete(#[bpaf(external(cmd::delete::args))] cmd::delete::Args),
    Watch(#[bpaf(external(cmd::watch::args))] cmd::watch::Args),
    Diff(#[bpaf(external(cmd::diff::args))] cmd::diff::Args),
    Host(#[bpaf(external(cmd::host::args))] cmd::host::Args),
    Key(#[bpaf(external(cmd::key::args))] cmd::key::Args),
    Status(#[bpaf(external(cmd::status::args))] cmd::status::Args),
    Top(#[bpaf(external(cmd::top::args))] cmd::top::Args),
    Usage(#[bpaf(external(cmd::usage::args))] cmd::usage::Args),
    Explain(#[bpaf(external(cmd::explain::args))] cmd::explain::Args),
}

async fn run(command: Command) -> Result<(), Error> {
    match command {
        Command::Apply(args) => args.run().await,
        Command::Get(args) => args.run().await,
        Command::Describe(args) => args.run().await,
        Command::Delete(args) => args.run().await,
        Command::Watch(args) => args.run().await,
        Command::Diff(args) => args.run().await,
        Command::Host(args) => args.run().await,
        Command::Key(args) => args.run().await,
        Command::Status(args) => args.run().await,
        Command::Top(args) => args.run().await,
        Command::Usage(args) => args.run().await,
        Command::Explain(args) => args.run().await,
    }
}

fn main() -> ExitCode {
    let command = command().run();
    match actix_rt::System::new().block_on(run(command)) {
        Ok(()) => ExitCode::SUCCESS,
        Err(Error::Closed) => ExitCode::SUCCESS,
        Err(err) => {
            eprintln!("agatectl: {err}");
            err.exit_code()
        }
    }
}
