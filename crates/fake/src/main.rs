//! Entry point of `agate-fake`.

use std::io::{self, Write as _};
use std::net::SocketAddr;
use std::process::ExitCode;
use std::rc::Rc;
use std::time::Duration;

use agate_fake::engine::weights::Store;
use agate_fake::{engine, platform, server, service};
use agate_settings::{log, signal};
use agate_wire::engine::LoadedModel;
use agate_wire::manifest::Fencing;
use bpaf::Bpaf;

/// Stand-ins for the platform, model engines and plain services.
///
/// Prints `listening address=ADDR` to standard output once it accepts
/// connections, and ends on SIGTERM or SIGINT.
#[derive(Clone, Debug, Bpaf)]
#[bpaf(options, version)]
enum Args {
    /// Tables, objects, reports, host list and endpoint orders
    #[bpaf(command)]
    Platform {
        #[bpaf(external)]
        common: Common,
        /// Age of the host and endpoint lists when they are returned
        #[bpaf(
            argument::<HumanDuration>("DURATION"),
            map(|parsed| parsed.0),
            fallback(Duration::from_secs(2))
        )]
        list_lag: Duration,
        /// Table and object reads per second; 0 is unlimited
        #[bpaf(argument("N"), fallback(0))]
        reads: u32,
        /// Table and object writes per second; 0 is unlimited
        #[bpaf(argument("N"), fallback(0))]
        writes: u32,
        /// Whether the platform refuses endpoint orders, and its engines their orders, with an
        /// epoch below the highest seen (checked), or accepts them (ignored)
        #[bpaf(argument::<FencingMode>("KIND"), map(|mode| mode.0), fallback(Fencing::Checked))]
        fencing: Fencing,
        /// Time from a start order until the endpoint accepts requests
        #[bpaf(
            argument::<HumanDuration>("DURATION"),
            map(|parsed| parsed.0),
            fallback(Duration::from_secs(2))
        )]
        boot: Duration,
        /// Time from a stop order until the endpoint is closed
        #[bpaf(
            argument::<HumanDuration>("DURATION"),
            map(|parsed| parsed.0),
            fallback(Duration::from_secs(5))
        )]
        stop_grace: Duration,
        /// Largest number of reclaimable endpoints that run in one availability zone
        #[bpaf(argument("N"), fallback(8))]
        zone_capacity: u32,
        #[bpaf(external)]
        model: Model,
    },
    /// A model engine
    #[bpaf(command)]
    Engine {
        #[bpaf(external)]
        common: Common,
        #[bpaf(external)]
        model: Model,
        /// Whether orders with an epoch below the highest seen are refused (checked) or accepted
        /// (ignored)
        #[bpaf(argument::<FencingMode>("KIND"), map(|mode| mode.0), fallback(Fencing::Checked))]
        fencing: Fencing,
    },
    /// A plain service
    #[bpaf(command)]
    Service {
        #[bpaf(external)]
        common: Common,
        /// Time between the arrival of a request and its response
        #[bpaf(
            argument::<HumanDuration>("DURATION"),
            map(|parsed| parsed.0),
            fallback(Duration::ZERO)
        )]
        delay: Duration,
    },
}

#[derive(Clone, Debug, Bpaf)]
struct Common {
    /// Address to listen on; port 0 takes any free port
    #[bpaf(argument("ADDR"))]
    listen: SocketAddr,
    /// Time without a complete request after which a connection is closed
    #[bpaf(argument::<HumanDuration>("DURATION"), map(|parsed| parsed.0), optional)]
    idle: Option<Duration>,
    /// Seed of the random number generators
    #[bpaf(argument("N"), fallback(1))]
    seed: u64,
}

#[derive(Clone, Debug, Bpaf)]
struct Model {
    /// Largest number of requests in a batch
    #[bpaf(argument("N"), fallback(8))]
    slots: usize,
    /// Duration of a decoding step, before the shares of the requests in the batch
    #[bpaf(
        argument::<HumanDuration>("DURATION"),
        map(|parsed| parsed.0),
        fallback(Duration::from_millis(10))
    )]
    step: Duration,
    /// Mean response length, in tokens, of requests without max_tokens
    #[bpaf(argument("N"), fallback(32))]
    tokens: u32,
    /// Largest number of blocks in the prefix cache
    #[bpaf(argument("N"), fallback(4096))]
    cache_blocks: usize,
    /// Age of the load reports when they are returned
    #[bpaf(
        argument::<HumanDuration>("DURATION"),
        map(|parsed| parsed.0),
        fallback(Duration::from_millis(500))
    )]
    load_lag: Duration,
    /// Time to load a model once its weights are downloaded
    #[bpaf(
        argument::<HumanDuration>("DURATION"),
        map(|parsed| parsed.0),
        fallback(Duration::from_millis(500))
    )]
    load_time: Duration,
    /// Bytes per second that the weight store serves to all engines together; a model has 1 GiB
    #[bpaf(argument("N"), fallback(engine::WEIGHT_RATE))]
    weight_rate: u64,
    /// Model loaded at start, as NAME or NAME=VERSION; any is served if there are none
    #[bpaf(long("model"), argument::<String>("MODEL"), map(|text| parse_model(&text)), many)]
    models: Vec<LoadedModel>,
}

/// Command-line duration in the notation of `humantime`, such as `500ms`.
#[derive(Clone, Copy, Debug)]
struct HumanDuration(Duration);

impl std::str::FromStr for HumanDuration {
    type Err = humantime::DurationError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        humantime::parse_duration(text).map(HumanDuration)
    }
}

/// Command-line value of `--fencing`: `checked` or `ignored`.
#[derive(Clone, Copy, Debug)]
struct FencingMode(Fencing);

impl std::str::FromStr for FencingMode {
    type Err = String;

    fn from_str(text: &str) -> Result<Self, String> {
        match text {
            "checked" => Ok(FencingMode(Fencing::Checked)),
            "ignored" => Ok(FencingMode(Fencing::Ignored)),
            _ => Err(format!(
                "fencing is {text:?}, expected \"checked\" or \"ignored\""
            )),
        }
    }
}

/// Parses `NAME` or `NAME=VERSION`; the version is "1" if it is not given.
fn parse_model(text: &str) -> LoadedModel {
    let (model, version) = text.split_once('=').unwrap_or((text, "1"));
    LoadedModel {
        model: model.to_owned(),
        version: version.to_owned(),
    }
}

fn main() -> ExitCode {
    let args = args().run();
    log::init("info");
    match actix_rt::System::new().block_on(run(args)) {
        Ok(()) => ExitCode::SUCCESS,
        Err(err) => {
            eprintln!("agate-fake: {err}");
            ExitCode::FAILURE
        }
    }
}

async fn run(args: Args) -> io::Result<()> {
    let mut signals = signal::Listener::new()?;
    match args {
        Args::Platform {
            common,
            list_lag,
            reads,
            writes,
            fencing,
            boot,
            stop_grace,
            zone_capacity,
            model,
        } => {
            let mut engine = model.settings(SocketAddr::new(common.listen.ip(), 0), common.seed);
            engine.fencing = fencing;
            engine.server.idle = common.idle.unwrap_or(engine.server.idle);
            let running = platform::start(&platform::Settings {
                server: common.options(Duration::from_secs(1)),
                list_lag,
                reads_per_second: reads,
                writes_per_second: writes,
                fencing,
                boot,
                stop_grace,
                zone_capacity,
                engine,
            })?;
            print_address(running.address)?;
            signals.next().await;
            running.close();
        }
        Args::Engine {
            common,
            model,
            fencing,
        } => {
            let mut settings = model.settings(common.listen, common.seed);
            settings.server = common.options(Duration::from_secs(5));
            settings.fencing = fencing;
            let running = engine::start(&settings)?;
            print_address(running.address)?;
            signals.next().await;
            running.close();
        }
        Args::Service { common, delay } => {
            let server = common.options(Duration::from_secs(5));
            let running = service::start(&service::Settings { server, delay })?;
            print_address(running.address)?;
            signals.next().await;
            running.close();
        }
    }
    Ok(())
}

/// Prints the address to standard output; the stand-in accepts connections from then on.
fn print_address(address: SocketAddr) -> io::Result<()> {
    let mut out = io::stdout().lock();
    writeln!(out, "listening address={address}")?;
    out.flush()
}

impl Common {
    /// Returns the listener options; `idle` applies if `--idle` is not given.
    fn options(&self, idle: Duration) -> server::Options {
        server::Options {
            listen: self.listen,
            idle: self.idle.unwrap_or(idle),
            seed: self.seed,
        }
    }
}

impl Model {
    /// Returns the engine settings, with a weight store of their own.
    fn settings(self, listen: SocketAddr, seed: u64) -> engine::Settings {
        engine::Settings {
            slots: self.slots,
            step: self.step,
            mean_tokens: self.tokens,
            cache_blocks: self.cache_blocks,
            load_lag: self.load_lag,
            load_time: self.load_time,
            weights: Rc::new(Store::new(engine::MODEL_BYTES, self.weight_rate)),
            models: self.models,
            ..engine::Settings::new(listen, seed)
        }
    }
}
