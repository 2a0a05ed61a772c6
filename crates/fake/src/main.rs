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
        /// Age of the host and endpoint lists
        #[bpaf(argument::<Span>("DURATION"), map(|it| it.0), fallback(Duration::from_secs(2)))]
        list_lag: Duration,
        /// Table and object reads per second; 0 is unlimited
        #[bpaf(argument("N"), fallback(0))]
        reads: u32,
        /// Table and object writes per second; 0 is unlimited
        #[bpaf(argument("N"), fallback(0))]
        writes: u32,
        /// Whether the platform and the endpoints that it starts refuse orders with an old
        /// epoch: checked or ignored
        #[bpaf(argument::<Reaction>("KIND"), map(|it| it.0), fallback(Fencing::Checked))]
        fencing: Fencing,
        /// From an order to the endpoint's first request
        #[bpaf(argument::<Span>("DURATION"), map(|it| it.0), fallback(Duration::from_secs(2)))]
        boot: Duration,
        /// From a stop order to the endpoint's end
        #[bpaf(argument::<Span>("DURATION"), map(|it| it.0), fallback(Duration::from_secs(5)))]
        stop_grace: Duration,
        /// Reclaimable endpoints that an availability zone has room for
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
        /// Whether old fencing numbers of orders are refused: checked or ignored
        #[bpaf(argument::<Reaction>("KIND"), map(|it| it.0), fallback(Fencing::Checked))]
        fencing: Fencing,
    },
    /// A plain service
    #[bpaf(command)]
    Service {
        #[bpaf(external)]
        common: Common,
        /// Time that one execution takes
        #[bpaf(argument::<Span>("DURATION"), map(|it| it.0), fallback(Duration::ZERO))]
        delay: Duration,
    },
}

#[derive(Clone, Debug, Bpaf)]
struct Common {
    /// Address to listen on; port 0 takes any
    #[bpaf(argument("ADDR"))]
    listen: SocketAddr,
    /// A connection without a complete request for this long is closed
    #[bpaf(argument::<Span>("DURATION"), map(|it| it.0), optional)]
    idle: Option<Duration>,
    /// Seed of the random choices
    #[bpaf(argument("N"), fallback(1))]
    seed: u64,
}

#[derive(Clone, Debug, Bpaf)]
struct Model {
    /// Requests in a batch at most
    #[bpaf(argument("N"), fallback(8))]
    slots: usize,
    /// Duration of a decoding step for an empty batch
    #[bpaf(argument::<Span>("DURATION"), map(|it| it.0), fallback(Duration::from_millis(10)))]
    step: Duration,
    /// Mean answer length of requests without max_tokens
    #[bpaf(argument("N"), fallback(32))]
    tokens: u32,
    /// Prefix blocks that fit into memory
    #[bpaf(argument("N"), fallback(4096))]
    cache_blocks: usize,
    /// Age of load reports
    #[bpaf(argument::<Span>("DURATION"), map(|it| it.0), fallback(Duration::from_millis(500)))]
    load_lag: Duration,
    /// Time to load a model once its weights are there
    #[bpaf(argument::<Span>("DURATION"), map(|it| it.0), fallback(Duration::from_millis(500)))]
    load_time: Duration,
    /// Bytes per second that the weight store gives to all engines; a model has 1 GiB
    #[bpaf(argument("N"), fallback(engine::WEIGHT_RATE))]
    weight_rate: u64,
    /// Model loaded at start, as NAME or NAME=VERSION; any is served if there are none
    #[bpaf(long("model"), argument::<String>("MODEL"), map(|it| loaded(&it)), many)]
    models: Vec<LoadedModel>,
}

/// A duration such as `500ms`.
#[derive(Clone, Copy, Debug)]
struct Span(Duration);

impl std::str::FromStr for Span {
    type Err = humantime::DurationError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        humantime::parse_duration(text).map(Span)
    }
}

/// `checked` or `ignored`.
#[derive(Clone, Copy, Debug)]
struct Reaction(Fencing);

impl std::str::FromStr for Reaction {
    type Err = String;

    fn from_str(text: &str) -> Result<Self, String> {
        match text {
            "checked" => Ok(Reaction(Fencing::Checked)),
            "ignored" => Ok(Reaction(Fencing::Ignored)),
            _ => Err(format!("{text:?} is neither checked nor ignored")),
        }
    }
}

fn loaded(text: &str) -> LoadedModel {
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
            announce(running.address)?;
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
            announce(running.address)?;
            signals.next().await;
            running.close();
        }
        Args::Service { common, delay } => {
            let server = common.options(Duration::from_secs(5));
            let running = service::start(&service::Settings { server, delay })?;
            announce(running.address)?;
            signals.next().await;
            running.close();
        }
    }
    Ok(())
}

fn announce(address: SocketAddr) -> io::Result<()> {
    let mut out = io::stdout().lock();
    writeln!(out, "listening address={address}")?;
    out.flush()
}

impl Common {
    fn options(&self, idle: Duration) -> server::Options {
        server::Options {
            listen: self.listen,
            idle: self.idle.unwrap_or(idle),
            seed: self.seed,
        }
    }
}

impl Model {
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
