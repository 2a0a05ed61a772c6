//! Servers that speak bytes, to break connections at chosen points.

use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use tokio::io::{AsyncReadExt as _, AsyncWriteExt as _};
use tokio::net::{TcpListener, TcpStream};

/// What the server does with a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Manner {
    /// Closes without reading.
    CloseAtOnce,
    /// Reads the request, then closes.
    CloseAfterRequest,
    /// Reads the request, then resets the connection.
    Reset,
    /// Reads the request and never answers.
    Silent,
    /// Answers something that is not HTTP.
    Garbage,
    /// Announces more than it sends.
    Truncated,
    /// Ends a chunked body without its last chunk.
    TruncatedChunks,
    /// Ends its answer by closing the connection, in HTTP/1.0.
    CloseDelimited,
    /// Ends its answer by closing the connection, in HTTP/1.1.
    Unframed,
    /// Answers, and closes the kept connection without notice.
    AnswerThenClose,
}

/// A server with one manner.
#[derive(Clone)]
pub struct Raw {
    pub address: SocketAddr,
    pub connections: Rc<Cell<usize>>,
    pub requests: Rc<RefCell<Vec<String>>>,
}

impl Raw {
    pub async fn start(manner: Manner) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
        let address = listener.local_addr().expect("a bound socket");
        let raw = Self {
            address,
            connections: Rc::default(),
            requests: Rc::default(),
        };
        let shared = raw.clone();
        actix_rt::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                shared.connections.set(shared.connections.get() + 1);
                actix_rt::spawn(serve(shared.clone(), stream, manner));
            }
        });
        raw
    }

    pub fn count(&self) -> usize {
        self.requests.borrow().len()
    }
}

async fn serve(raw: Raw, mut stream: TcpStream, manner: Manner) {
    if manner == Manner::CloseAtOnce {
        return;
    }
    let request = read_request(&mut stream).await;
    raw.requests.borrow_mut().push(request);
    match manner {
        Manner::CloseAtOnce | Manner::CloseAfterRequest => {}
        Manner::Reset => {
            stream.set_zero_linger().expect("an open socket");
        }
        Manner::Silent => tokio::time::sleep(Duration::from_secs(60)).await,
        Manner::Garbage => write(&mut stream, "what?\r\n\r\n").await,
        Manner::Truncated => {
            write(
                &mut stream,
                "HTTP/1.1 200 OK\r\ncontent-length: 10\r\n\r\nhalf",
            )
            .await;
        }
        Manner::TruncatedChunks => {
            let head = "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n";
            write(&mut stream, head).await;
            write(&mut stream, "4\r\nhalf\r\n").await;
        }
        Manner::CloseDelimited => {
            write(&mut stream, "HTTP/1.0 200 OK\r\n\r\nwhole").await;
        }
        Manner::Unframed => {
            write(
                &mut stream,
                "HTTP/1.1 200 OK\r\nconnection: close\r\n\r\nwhole",
            )
            .await;
        }
        Manner::AnswerThenClose => {
            write(
                &mut stream,
                "HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok",
            )
            .await;
        }
    }
}

async fn write(stream: &mut TcpStream, text: &str) {
    let _ = stream.write_all(text.as_bytes()).await;
    let _ = stream.flush().await;
}

/// Reads a head and, by its content length, a body.
pub async fn read_request(stream: &mut TcpStream) -> String {
    let mut bytes = Vec::new();
    let mut buffer = [0; 4096];
    loop {
        if is_whole(&bytes) {
            return String::from_utf8(bytes).expect("text");
        }
        match stream.read(&mut buffer).await {
            Ok(0) | Err(_) => return String::from_utf8(bytes).expect("text"),
            Ok(count) => bytes.extend_from_slice(&buffer[..count]),
        }
    }
}

fn is_whole(bytes: &[u8]) -> bool {
    let text = String::from_utf8_lossy(bytes);
    let Some((head, body)) = text.split_once("\r\n\r\n") else {
        return false;
    };
    let length = head.lines().find_map(|line| {
        let (name, value) = line.split_once(':')?;
        let value = name
            .eq_ignore_ascii_case("content-length")
            .then_some(value)?;
        value.trim().parse::<usize>().ok()
    });
    body.len() >= length.unwrap_or(0)
}
