//! TCP relay between a process and its peer, which can withhold data and close connections.

use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use nix::sys::signal::{Signal, kill};
use nix::unistd::Pid;
use tokio::io::{AsyncReadExt as _, AsyncWriteExt as _};
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::{TcpListener, TcpStream};
use tokio::task::{AbortHandle, JoinHandle};

/// Size of the buffer of each direction of a connection.
const BUFFER_BYTES: usize = 16 * 1024;

/// Bytes per second that a thin relay forwards in each direction of a connection: 10 Mbit/s.
const THIN_RATE: f64 = 1.25e6;

/// Interval at which a held connection checks whether the mode has changed.
const HOLD_POLL: Duration = Duration::from_millis(10);

/// Decides which data the relay forwards.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Mode {
    /// Forwards data in both directions.
    #[default]
    Pass,
    /// Forwards nothing; connections stay open, as after a network cable is unplugged.
    Hold,
    /// Forwards requests and withholds responses.
    HoldResponses,
    /// Forwards data in both directions at the rate of a thin link.
    Thin,
}

/// A relay that listens on one address and connects each client to its target.
pub struct Relay {
    /// Address on which the relay listens.
    pub address: SocketAddr,
    mode: Rc<Cell<Mode>>,
    connections: Rc<RefCell<Vec<AbortHandle>>>,
    freeze_target: Rc<Cell<Option<Pid>>>,
    accept_task: JoinHandle<()>,
}

impl Relay {
    /// Starts a relay from `listen` to `target` on the current runtime.
    pub async fn start(listen: SocketAddr, target: SocketAddr) -> Self {
        let listener = TcpListener::bind(listen)
            .await
            .expect("relay binds its listen address");
        let address = listener
            .local_addr()
            .expect("bound listener has a local address");
        let mode = Rc::new(Cell::new(Mode::Pass));
        let connections = Rc::new(RefCell::new(Vec::new()));
        let freeze_target = Rc::new(Cell::new(None));
        let (relay_mode, accepted, to_freeze) =
            (mode.clone(), connections.clone(), freeze_target.clone());
        let accept_task = tokio::task::spawn_local(async move {
            while let Ok((stream, _)) = listener.accept().await {
                if let Some(process) = to_freeze.take() {
                    let _ = kill(process, Signal::SIGSTOP);
                }
                let task = tokio::task::spawn_local(connect(stream, target, relay_mode.clone()));
                accepted.borrow_mut().push(task.abort_handle());
            }
        });
        Self {
            address,
            mode,
            connections,
            freeze_target,
            accept_task,
        }
    }

    /// Stops `process` with SIGSTOP when the relay accepts its next connection, most often
    /// before the process has sent anything on that connection.
    pub fn freeze_at_next_connection(&self, process: Pid) {
        self.freeze_target.set(Some(process));
    }

    /// Returns whether the process given to [`Relay::freeze_at_next_connection`] has been
    /// stopped; also true if none was given.
    pub fn has_frozen(&self) -> bool {
        self.freeze_target.get().is_none()
    }

    /// Sets the mode of all open and future connections.
    pub fn set(&self, mode: Mode) {
        self.mode.set(mode);
    }

    /// Closes all connections; the relay goes on accepting new ones.
    pub fn reset(&self) {
        for connection in self.connections.borrow_mut().drain(..) {
            connection.abort();
        }
    }

    /// Stops accepting connections and closes the open ones.
    pub fn close(self) {
        self.accept_task.abort();
        self.reset();
    }
}

/// Connects a client to the target and forwards data until both directions have ended.
async fn connect(client: TcpStream, target: SocketAddr, mode: Rc<Cell<Mode>>) {
    if mode.get() == Mode::Hold {
        // A connection accepted while data is held is closed when the hold ends; it never
        // reaches the target late.
        while mode.get() == Mode::Hold {
            tokio::time::sleep(HOLD_POLL).await;
        }
        return;
    }
    let Ok(server) = TcpStream::connect(target).await else {
        return;
    };
    let _ = client.set_nodelay(true);
    let _ = server.set_nodelay(true);
    let (from_client, to_client) = client.into_split();
    let (from_server, to_server) = server.into_split();
    let requests = copy(from_client, to_server, &mode, |mode| mode == Mode::Hold);
    let responses = copy(from_server, to_client, &mode, |mode| {
        matches!(mode, Mode::Hold | Mode::HoldResponses)
    });
    tokio::join!(requests, responses);
}

/// Forwards one direction of a connection; withholds data while `is_held` returns true for the mode.
async fn copy(
    mut from: OwnedReadHalf,
    mut to: OwnedWriteHalf,
    mode: &Cell<Mode>,
    is_held: impl Fn(Mode) -> bool,
) {
    let mut buffer = vec![0; BUFFER_BYTES];
    while let Ok(length) = from.read(&mut buffer).await {
        while is_held(mode.get()) {
            tokio::time::sleep(HOLD_POLL).await;
        }
        if mode.get() == Mode::Thin {
            let time = Duration::from_secs_f64(length as f64 / THIN_RATE);
            tokio::time::sleep(time).await;
        }
        if length == 0 || to.write_all(&buffer[..length]).await.is_err() {
            break;
        }
    }
    let _ = to.shutdown().await;
}
