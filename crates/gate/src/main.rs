//! Command line, signals and exit code of `agate-gate`.

use std::path::PathBuf;
use std::process::ExitCode;
use std::rc::Rc;
use std::time::Duration;

use agate_gate::gate::Gate;
use agate_gate::program::{Loss, Program};
use agate_gate::settings::Settings;
use agate_gate::sync::Rpc;
use agate_gate::tls;
use agate_settings::signal::{Event, Listener};
use agate_settings::{file, log};
use agate_store::interface::Tables;
use bpaf::Bpaf;

/// Timeout of one call to the platform's store.
const PLATFORM_TIMEOUT: Duration = Duration::from_secs(1);

type Error = Box<dyn std::error::Error>;

/// Data path of agatebridge: checks keys, admits, queues and forwards requests.
///
/// SIGTERM lets running requests finish within the drain timeout; a second one stops at once.
/// SIGHUP reads the certificate again.
#[derive(Clone, Debug, Bpaf)]
#[bpaf(options, version)]
struct Arguments {
    /// Settings file in YAML format
    #[bpaf(argument("FILE"))]
    settings: PathBuf,
    /// Check the settings and the certificate, then exit
    check: bool,
    /// Print the settings with defaults filled in, then exit
    print_settings: bool,
}

fn main() -> ExitCode {
    match run(&arguments().run()) {
        Ok(code) => code,
        Err(err) => {
            eprintln!("agate-gate: {err}");
            ExitCode::FAILURE
        }
    }
}

fn run(arguments: &Arguments) -> Result<ExitCode, Error> {
    let settings: Settings = file::load(&arguments.settings)?;
    if arguments.print_settings {
        print!("{}", file::print(&settings)?);
        return Ok(ExitCode::SUCCESS);
    }
    if arguments.check {
        return check(&settings);
    }
    log::init(&settings.log);
    actix_rt::System::new().block_on(serve(settings))
}

/// Checks what the settings refer to. The settings themselves are checked on load.
fn check(settings: &Settings) -> Result<ExitCode, Error> {
    if let Some(certificate) = &settings.tls {
        tls::load(certificate)?;
    }
    Ok(ExitCode::SUCCESS)
}

/// Serves until a stop signal, then shuts down; a second stop signal ends the shutdown.
async fn serve(settings: Settings) -> Result<ExitCode, Error> {
    let mut signals = Listener::new()?;
    let tables = settings.platform.map(|address| {
        let client = agate_store::http::Client::new(address, PLATFORM_TIMEOUT);
        Rc::new(client) as Rc<dyn Tables>
    });
    let rpc = Rpc::new(settings.host.clone(), settings.secret()?);
    let gate = Gate::new(settings, tables);
    let program = Program::start(gate.clone(), Rc::new(rpc)).await?;
    println!(
        "listening address={} admin={}",
        program.address(),
        program.admin()
    );
    while signals.next().await == Event::Reload {
        match program.reload().await {
            Ok(()) => tracing::info!(event = "reloaded"),
            Err(err) => tracing::error!(event = "reload_failed", error = %err),
        }
    }
    let mut shutdown = std::pin::pin!(program.close());
    let loss = loop {
        tokio::select! {
            loss = &mut shutdown => break loss,
            event = signals.next() => if event == Event::Stop {
                break Program::loss(&gate);
            },
        }
    };
    Ok(report(loss))
}

/// Logs what was lost and returns the exit code, which is a failure if anything was.
fn report(loss: Loss) -> ExitCode {
    if loss.is_none() {
        tracing::info!(event = "stopped");
        return ExitCode::SUCCESS;
    }
    tracing::error!(
        event = "stopped",
        lost_requests = loss.requests,
        lost_counters = loss.counters
    );
    ExitCode::FAILURE
}
