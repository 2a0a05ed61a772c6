//! An endpoint that follows a script.

use std::cell::RefCell;
use std::collections::VecDeque;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use tokio::io::{AsyncReadExt as _, AsyncWriteExt as _};
use tokio::net::{TcpListener, TcpStream};
use tokio::time::{Instant, timeout};

/// What an endpoint does with a request.
#[derive(Clone, Debug)]
pub enum Act {
    /// Writes these bytes, with `{id}` replaced by the request's id.
    Say(&'static str),
    /// Waits.
    Wait(Duration),
    /// Closes the connection.
    Hang,
}

/// One request as an endpoint saw it.
#[derive(Clone, Debug)]
pub struct Seen {
    /// Head and body.
    pub text: String,
    /// When the caller's side closed the connection, if it did before the script ended.
    pub closed: Option<Duration>,
}

/// An endpoint that plays one script for each request, the last one again and again.
pub struct Server {
    /// Where it listens.
    pub address: SocketAddr,
    /// Requests in order.
    pub seen: Rc<RefCell<Vec<Seen>>>,
}

impl Server {
    /// Starts to play.
    pub async fn start(scripts: Vec<Vec<Act>>) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
        let address = listener.local_addr().expect("an address");
        let seen: Rc<RefCell<Vec<Seen>>> = Rc::default();
        let scripts = Rc::new(RefCell::new(VecDeque::from(scripts)));
        let ledger = seen.clone();
        actix_rt::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                actix_rt::spawn(connection(stream, scripts.clone(), ledger.clone()));
            }
        });
        Self { address, seen }
    }

    /// Number of requests.
    pub fn count(&self) -> usize {
        self.seen.borrow().len()
    }
}

type Scripts = Rc<RefCell<VecDeque<Vec<Act>>>>;

async fn connection(mut stream: TcpStream, scripts: Scripts, seen: Rc<RefCell<Vec<Seen>>>) {
    let mut inbox = Vec::new();
    while let Some(text) = request(&mut stream, &mut inbox).await {
        let id = text
            .lines()
            .find_map(|it| it.strip_prefix("x-id: "))
            .unwrap_or("");
        let id = id.to_owned();
        let at = seen.borrow().len();
        seen.borrow_mut().push(Seen { text, closed: None });
        let script = {
            let mut scripts = scripts.borrow_mut();
            match scripts.len() {
                0 | 1 => scripts.front().cloned().unwrap_or_default(),
                _ => scripts.pop_front().unwrap_or_default(),
            }
        };
        let began = Instant::now();
        for act in script {
            match act {
                Act::Say(text) => {
                    let text = text.replace("{id}", &id);
                    if stream.write_all(text.as_bytes()).await.is_err() {
                        seen.borrow_mut()[at].closed = Some(began.elapsed());
                        return;
                    }
                }
                Act::Wait(time) => {
                    let mut byte = [0; 1];
                    if let Ok(Ok(0) | Err(_)) = timeout(time, stream.peek(&mut byte)).await {
                        seen.borrow_mut()[at].closed = Some(began.elapsed());
                        return;
                    }
                }
                Act::Hang => return,
            }
        }
    }
}

/// Reads one request with a length or without body.
async fn request(stream: &mut TcpStream, inbox: &mut Vec<u8>) -> Option<String> {
    loop {
        let text = String::from_utf8_lossy(inbox).into_owned();
        if let Some(end) = text.find("\r\n\r\n") {
            let lower = text[..end].to_ascii_lowercase();
            let length = lower
                .lines()
                .find_map(|it| it.strip_prefix("content-length: "));
            let length: usize = length.and_then(|it| it.parse().ok()).unwrap_or(0);
            let whole = end + 4 + length;
            if inbox.len() >= whole {
                inbox.drain(..whole);
                return Some(lower + &text[end..whole]);
            }
        }
        let mut buffer = [0; 4096];
        match stream.read(&mut buffer).await {
            Ok(0) | Err(_) => return None,
            Ok(count) => inbox.extend_from_slice(&buffer[..count]),
        }
    }
}
