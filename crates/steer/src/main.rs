//! Command line of `agate-steer`.

use std::path::PathBuf;
use std::process::ExitCode;

use agate_settings::{file, log};
use agate_steer::run;
use agate_steer::settings::Settings;
use bpaf::Bpaf;

/// Control process of an entry host: resource API for operators, configuration for
/// gates, membership, endpoint orders and usage reports.
#[derive(Clone, Debug, Bpaf)]
#[bpaf(options, version)]
struct Args {
    /// Settings file in YAML
    #[bpaf(argument("FILE"))]
    settings: PathBuf,
    /// Check the settings and exit
    check: bool,
    /// Print the settings in effect and exit
    print_settings: bool,
}

fn main() -> ExitCode {
    match start(&args().run()) {
        Ok(()) => ExitCode::SUCCESS,
        Err(err) => {
            eprintln!("agate-steer: {err}");
            ExitCode::FAILURE
        }
    }
}

fn start(args: &Args) -> Result<(), Box<dyn std::error::Error>> {
    let settings: Settings = file::load(&args.settings)?;
    if args.print_settings {
        print!("{}", file::print(&settings.redacted())?);
        return Ok(());
    }
    if args.check {
        return Ok(());
    }
    log::init(&settings.log);
    actix_rt::System::new().block_on(run::run(settings))?;
    Ok(())
}
