//! Endpoints that crash when they begin to answer a certain part of a prompt.

use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::Duration;

use tokio::io::{AsyncReadExt as _, AsyncWriteExt as _};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::Notify;
use tokio::task::JoinSet;
use tokio::time::{Instant, sleep};

use super::Store;

/// Time from the request to the answer or the crash.
const READ_TIME: Duration = Duration::from_millis(20);
/// Time after which a crashed endpoint is back, at another address and under another id.
const RESTART_TIME: Duration = Duration::from_millis(800);

/// How endpoints answer.
#[derive(Clone, Copy, Debug)]
pub struct Form {
    /// Headers that frame the body.
    pub framing: &'static str,
    /// Bytes after the head until the crash.
    pub partial: &'static str,
    /// Bytes after the head if there is no crash.
    pub whole: &'static str,
}

impl Form {
    /// A stream in chunks, and a crash before its first byte.
    pub const CHUNKED: Self = Self {
        framing: "transfer-encoding: chunked\r\n",
        partial: "",
        whole: "c\r\nid: 1\ndata\n\n\r\n0\r\n\r\n",
    };

    /// A stream that ends with its connection, and a crash after these bytes.
    pub const fn unframed(partial: &'static str) -> Self {
        Self {
            framing: "",
            partial,
            whole: "id: 1\ndata\n\nid: 2\ndata\n\n",
        }
    }
}

/// Endpoints of one service that crash and come back.
pub struct Fleet {
    store: Rc<Store>,
    form: Form,
    /// Header line that crashes an endpoint if a request has it in its parts.
    deadly: String,
    /// When endpoints crashed.
    pub crashes: RefCell<Vec<Instant>>,
    /// When requests with the deadly part arrived.
    pub arrivals: RefCell<Vec<Instant>>,
    started: Cell<usize>,
}

impl Fleet {
    /// Starts endpoints and lists them in the store.
    pub async fn start(store: Rc<Store>, count: usize, deadly: &str, form: Form) -> Rc<Self> {
        let fleet = Rc::new(Self {
            store,
            form,
            deadly: deadly.to_owned(),
            crashes: RefCell::default(),
            arrivals: RefCell::default(),
            started: Cell::new(0),
        });
        for _ in 0..count {
            let listener = fleet.join().await;
            actix_rt::spawn(fleet.clone().run(listener));
        }
        fleet
    }

    /// Binds the next endpoint and lists it.
    async fn join(&self) -> (String, TcpListener) {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
        let address = listener.local_addr().expect("an address").to_string();
        let id = format!("f{}", self.started.get());
        self.started.set(self.started.get() + 1);
        self.store.put("endpoints", &id, Some(&address));
        (id, listener)
    }

    /// Runs one endpoint, and another one after each crash.
    async fn run(self: Rc<Self>, mut current: (String, TcpListener)) {
        loop {
            let (id, listener) = current;
            self.serve(listener).await;
            self.crashes.borrow_mut().push(Instant::now());
            sleep(RESTART_TIME).await;
            self.store.put("endpoints", &id, None);
            current = self.join().await;
        }
    }

    /// Serves until a request crashes the endpoint, which ends all its connections.
    async fn serve(self: &Rc<Self>, listener: TcpListener) {
        let crash = Rc::new(Notify::new());
        let mut connections = JoinSet::new();
        loop {
            tokio::select! {
                () = crash.notified() => return,
                accepted = listener.accept() => {
                    let Ok((stream, _)) = accepted else { return };
                    connections.spawn_local(self.clone().answer(stream, crash.clone()));
                }
            }
        }
    }

    async fn answer(self: Rc<Self>, mut stream: TcpStream, crash: Rc<Notify>) {
        let mut buffer = vec![0; 16 << 10];
        while let Ok(count) = stream.read(&mut buffer).await {
            if count == 0 {
                return;
            }
            let text = String::from_utf8_lossy(&buffer[..count]).to_ascii_lowercase();
            let field = |name: &str| {
                let mut lines = text.lines();
                lines.find_map(|line| line.strip_prefix(name).map(str::to_owned))
            };
            let parts = field("x-parts: ").unwrap_or_default();
            let is_deadly = parts.split(',').any(|part| part == self.deadly);
            if is_deadly {
                self.arrivals.borrow_mut().push(Instant::now());
            }
            sleep(READ_TIME).await;
            let head = format!(
                "HTTP/1.1 200 OK\r\nx-id: {}\r\nx-signed: 1\r\n{}\r\n",
                field("x-id: ").unwrap_or_default(),
                self.form.framing
            );
            let body = match is_deadly {
                true => self.form.partial,
                false => self.form.whole,
            };
            let answer = head + body;
            if stream.write_all(answer.as_bytes()).await.is_err() {
                return;
            }
            if is_deadly {
                crash.notify_one();
                std::future::pending::<()>().await;
            }
            if self.form.framing.is_empty() {
                return;
            }
        }
    }
}
