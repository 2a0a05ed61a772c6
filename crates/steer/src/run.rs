//! Start and shutdown of the control process.

use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::{Duration, SystemTime};

use actix_rt::task::JoinHandle;
use agate_member::secret::Malformed;
use agate_settings::signal::{Event, Listener};
use agate_wire::peer::HostRow;
use tokio::net::{TcpListener, UdpSocket};
use tokio::time::{Instant, sleep};

use crate::config::copy::Copy;
use crate::config::{reader, witness};
use crate::context::Context;
use crate::duty::Tasks;
use crate::endpoints::States;
use crate::gossip::exchange::Gossip;
use crate::inbox::Inbox;
use crate::member::Members;
use crate::metrics::Metrics;
use crate::platform::Platform;
use crate::rpc::client::Peers;
use crate::rpc::server::{Dispatch, Server};
use crate::settings::Settings;
use crate::{api, directory, rpc};

/// Time without a call of the gate after which a host that shuts down no longer waits for it.
const GATE_SILENCE: Duration = Duration::from_secs(3);

/// Time between checks for calls of the gate during shutdown.
const LEAVE_POLL: Duration = Duration::from_millis(100);

/// Reason why the process did not start.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// An address of the settings can't be bound.
    #[error("cannot listen on {address}: {error}")]
    Listen {
        /// Address from the settings.
        address: std::net::SocketAddr,
        /// Error of the system call.
        error: std::io::Error,
    },
    /// Signal handlers can't be installed, or a socket's address can't be read.
    #[error("cannot receive signals: {0}")]
    Signal(#[from] std::io::Error),
    /// The cluster key can't be read or isn't valid.
    #[error("cluster key: {0}")]
    Secret(#[from] Malformed),
}

/// Bound sockets of the process.
pub struct Sockets {
    /// Listener of the HTTP API for operators.
    pub api: TcpListener,
    /// JSON-RPC server for gates and peers.
    pub rpc: Server,
    /// UDP socket for gossip frames.
    pub gossip: UdpSocket,
}

impl Sockets {
    /// Binds all addresses of the settings.
    pub async fn bind(settings: &Settings) -> Result<Self, Error> {
        let listen_error = |address| move |error| Error::Listen { address, error };
        let api = TcpListener::bind(settings.listen).await;
        let rpc = Server::bind(settings.peers_listen, rpc::peer::METHODS).await;
        let gossip = UdpSocket::bind(settings.gossip).await;
        Ok(Self {
            api: api.map_err(listen_error(settings.listen))?,
            rpc: rpc.map_err(listen_error(settings.peers_listen))?,
            gossip: gossip.map_err(listen_error(settings.gossip))?,
        })
    }
}

/// A started control process.
pub struct Process {
    /// State shared by the tasks.
    pub context: Context,
    rpc: Server,
    tasks: Vec<JoinHandle<()>>,
    duty: Tasks,
}

impl Process {
    /// Starts all tasks on the current thread. Fails without a valid cluster key.
    pub fn start(
        settings: Settings,
        platform: Platform,
        mut sockets: Sockets,
    ) -> Result<Self, Error> {
        let secret = settings.secret()?;
        let own = own_row(&settings, &sockets)?;
        let metrics = Rc::new(Metrics::default());
        let timeout = settings.timeouts.peer;
        let peers = Peers::new(
            settings.host.clone(),
            secret.clone(),
            timeout,
            metrics.clone(),
        );
        let require_token = settings.require_token;
        let context = Context {
            settings: Rc::new(settings),
            host: Rc::new(own.clone().into()),
            platform,
            copy: Rc::new(Copy::default()),
            members: Rc::new(Members::new(own)),
            floors: Rc::default(),
            limits: Rc::default(),
            roster: Rc::default(),
            peers: Rc::new(peers),
            endpoints: Rc::new(States::default()),
            inbox: Rc::new(Inbox::default()),
            rumours: Rc::default(),
            lease: Rc::new(RefCell::new(None)),
            usage: Rc::new(RefCell::new(None)),
            duty: Rc::default(),
            leaving: Rc::new(Cell::new(false)),
            metrics,
        };
        let dispatch = Dispatch {
            own: context.host.id.clone(),
            secret: secret.clone(),
            require_token,
            handlers: Rc::new(rpc::peer::handlers(&context)),
            metrics: Rc::clone(&context.metrics),
        };
        let gossip = Gossip::new(context.clone(), sockets.gossip, secret);
        let tasks = vec![
            actix_rt::spawn(Rc::clone(&gossip).listen()),
            actix_rt::spawn(gossip.request()),
            sockets.rpc.serve(dispatch),
            actix_rt::spawn(reader::run(context.clone())),
            actix_rt::spawn(directory::run(context.clone())),
            actix_rt::spawn(witness::run(context.clone())),
            actix_rt::spawn(api::server::run(context.clone(), sockets.api)),
        ];
        let duty = Tasks::start(&context);
        Ok(Self {
            context,
            rpc: sockets.rpc,
            tasks,
            duty,
        })
    }

    /// Shuts down: announces that this host is leaving, serves its gate until that no longer calls
    /// or the shutdown timeout has passed, closes the duties, and removes this host from the
    /// witnesses and the store.
    pub async fn close(self) {
        let context = &self.context;
        context.leaving.set(true);
        context.members.set_leaving();
        directory::announce(context).await;
        log_failure(directory::register(context).await);
        wait_for_gate(context).await;
        self.duty.close(context).await;
        witness::leave(context).await;
        log_failure(directory::remove(context).await);
        for task in self.tasks {
            task.abort();
            // An aborted task drops its sockets before its handle becomes ready.
            let _ = task.await;
        }
        self.rpc.close().await;
    }
}

fn log_failure(outcome: Result<(), agate_store::Error>) {
    if let Err(err) = outcome {
        tracing::warn!(event = "host_row_not_written", error = %err);
    }
}

async fn wait_for_gate(context: &Context) {
    let deadline = Instant::now() + context.settings.timeouts.shutdown;
    while Instant::now() < deadline && is_gate_calling(context) {
        sleep(LEAVE_POLL).await;
    }
}

fn is_gate_calling(context: &Context) -> bool {
    let calls = context.inbox.calls();
    let mut own = calls
        .iter()
        .filter(|(gate, _)| gate.host == context.host.id);
    own.any(|(_, call)| call.at.elapsed() < GATE_SILENCE)
}

fn own_row(settings: &Settings, sockets: &Sockets) -> Result<HostRow, Error> {
    let now = SystemTime::now();
    let started = now
        .duration_since(SystemTime::UNIX_EPOCH)
        .unwrap_or_default();
    Ok(HostRow {
        host: settings.host.clone(),
        incarnation: hex::encode(rand::random::<[u8; 8]>()),
        zone: settings.zone.clone(),
        gate: settings.gate,
        steer: sockets.rpc.address,
        gossip: sockets.gossip.local_addr()?,
        started_ms: u64::try_from(started.as_millis()).unwrap_or(u64::MAX),
        leaving: false,
    })
}

/// Runs the control process until a stop signal. A further signal during shutdown ends it at once.
pub async fn run(settings: Settings) -> Result<(), Error> {
    let mut signals = Listener::new()?;
    let sockets = Sockets::bind(&settings).await?;
    let api = sockets.api.local_addr()?;
    let gossip = sockets.gossip.local_addr()?;
    println!(
        "listening address={api} peers={} gossip={gossip}",
        sockets.rpc.address
    );
    let platform = Platform::connect(settings.platform, settings.timeouts.platform);
    let process = Process::start(settings, platform, sockets)?;
    tracing::info!(event = "started", host = process.context.host.id);
    while signals.next().await != Event::Stop {}
    tracing::info!(event = "stopping");
    tokio::select! {
        () = process.close() => tracing::info!(event = "stopped"),
        _ = signals.next() => tracing::warn!(event = "stopped_at_once"),
    }
    Ok(())
}
