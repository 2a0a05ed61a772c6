//! TCP relay between a process and its peer, which can be cut or hold data back.

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

/// Bytes moved at once.
const BUFFER_BYTES: usize = 16 * 1024;

/// Time between looks of a held connection.
const HOLD: Duration = Duration::from_millis(10);

/// What the relay does with data.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Mode {
    /// Passes everything on.
    #[default]
    Pass,
    /// Passes nothing on; connections stay open, as after a cable is pulled.
    Hold,
    /// Passes requests on and holds answers back.
    HoldAnswers,
}

/// A running relay.
pub struct Relay {
    /// Address to connect to.
    pub address: SocketAddr,
    mode: Rc<Cell<Mode>>,
    streams: Rc<RefCell<Vec<AbortHandle>>>,
    trap: Rc<Cell<Option<Pid>>>,
    accept: JoinHandle<()>,
}

impl Relay {
    /// Starts a relay from `listen` to `target` on the current runtime.
    pub async fn start(listen: SocketAddr, target: SocketAddr) -> Self {
        let listener = TcpListener::bind(listen).await.expect("relay binds");
        let address = listener.local_addr().expect("socket is bound");
        let mode = Rc::new(Cell::new(Mode::Pass));
        let streams = Rc::new(RefCell::new(Vec::new()));
        let trap = Rc::new(Cell::new(None));
        let (state, open, armed) = (mode.clone(), streams.clone(), trap.clone());
        let accept = tokio::task::spawn_local(async move {
            while let Ok((stream, _)) = listener.accept().await {
                if let Some(process) = armed.take() {
                    let _ = kill(process, Signal::SIGSTOP);
                }
                let task = tokio::task::spawn_local(connect(stream, target, state.clone()));
                open.borrow_mut().push(task.abort_handle());
            }
        });
        Self {
            address,
            mode,
            streams,
            trap,
            accept,
        }
    }

    /// Freezes a process as soon as it has made its next connection, most often before it
    /// has sent anything on it.
    pub fn freeze_at_next_connection(&self, process: Pid) {
        self.trap.set(Some(process));
    }

    /// Whether the process of [`Relay::freeze_at_next_connection`] was frozen.
    pub fn has_frozen(&self) -> bool {
        self.trap.get().is_none()
    }

    /// Changes what happens to data from now on.
    pub fn set(&self, mode: Mode) {
        self.mode.set(mode);
    }

    /// Closes all connections.
    pub fn reset(&self) {
        for stream in self.streams.borrow_mut().drain(..) {
            stream.abort();
        }
    }

    /// Stops the relay.
    pub fn close(self) {
        self.accept.abort();
        self.reset();
    }
}

async fn connect(client: TcpStream, target: SocketAddr, mode: Rc<Cell<Mode>>) {
    if mode.get() == Mode::Hold {
        // A connection that could not be made is given up, not made late.
        while mode.get() == Mode::Hold {
            tokio::time::sleep(HOLD).await;
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
    let requests = copy(from_client, to_server, || mode.get() == Mode::Hold);
    let answers = copy(from_server, to_client, || mode.get() != Mode::Pass);
    tokio::join!(requests, answers);
}

async fn copy(mut from: OwnedReadHalf, mut to: OwnedWriteHalf, is_held: impl Fn() -> bool) {
    let mut buffer = vec![0; BUFFER_BYTES];
    while let Ok(length) = from.read(&mut buffer).await {
        while is_held() {
            tokio::time::sleep(HOLD).await;
        }
        if length == 0 || to.write_all(&buffer[..length]).await.is_err() {
            break;
        }
    }
    let _ = to.shutdown().await;
}
