//! Raw TCP servers that break connections at chosen points of an HTTP exchange.

use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use tokio::io::{AsyncReadExt as _, AsyncWriteExt as _};
use tokio::net::{TcpListener, TcpStream};

/// How the server handles each connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Behaviour {
    /// Closes the connection without reading.
    CloseImmediately,
    /// Reads the request, then closes the connection.
    CloseAfterRequest,
    /// Reads the request, then resets the connection.
    Reset,
    /// Reads the request and sends nothing for 60 s.
    Silent,
    /// Sends bytes that are not HTTP.
    Garbage,
    /// Announces a longer body than it sends.
    Truncated,
    /// Closes the connection in a chunked body, before the last chunk.
    TruncatedChunks,
    /// Ends the response body by closing the connection, in HTTP/1.0.
    CloseDelimited,
    /// Ends the response body by closing the connection, in HTTP/1.1.
    Unframed,
    /// Sends a complete response, then closes the connection without announcing it.
    RespondThenClose,
}

/// A server with one behaviour; counts connections and records the requests it has read.
#[derive(Clone)]
pub struct RawServer {
    pub address: SocketAddr,
    pub connections: Rc<Cell<usize>>,
    pub requests: Rc<RefCell<Vec<String>>>,
}

impl RawServer {
    pub async fn start(behaviour: Behaviour) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
        let address = listener.local_addr().expect("a bound socket");
        let server = Self {
            address,
            connections: Rc::default(),
            requests: Rc::default(),
        };
        let recorder = server.clone();
        actix_rt::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                recorder.connections.set(recorder.connections.get() + 1);
                actix_rt::spawn(serve(recorder.clone(), stream, behaviour));
            }
        });
        server
    }

    pub fn count(&self) -> usize {
        self.requests.borrow().len()
    }
}

async fn serve(server: RawServer, mut stream: TcpStream, behaviour: Behaviour) {
    if behaviour == Behaviour::CloseImmediately {
        return;
    }
    let request = read_request(&mut stream).await;
    server.requests.borrow_mut().push(request);
    match behaviour {
        Behaviour::CloseImmediately | Behaviour::CloseAfterRequest => {}
        Behaviour::Reset => {
            stream.set_zero_linger().expect("an open socket");
        }
        Behaviour::Silent => tokio::time::sleep(Duration::from_secs(60)).await,
        Behaviour::Garbage => write(&mut stream, "what?\r\n\r\n").await,
        Behaviour::Truncated => {
            write(
                &mut stream,
                "HTTP/1.1 200 OK\r\ncontent-length: 10\r\n\r\nhalf",
            )
            .await;
        }
        Behaviour::TruncatedChunks => {
            let head = "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n";
            write(&mut stream, head).await;
            write(&mut stream, "4\r\nhalf\r\n").await;
        }
        Behaviour::CloseDelimited => {
            write(&mut stream, "HTTP/1.0 200 OK\r\n\r\nwhole").await;
        }
        Behaviour::Unframed => {
            write(
                &mut stream,
                "HTTP/1.1 200 OK\r\nconnection: close\r\n\r\nwhole",
            )
            .await;
        }
        Behaviour::RespondThenClose => {
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

/// Reads a request head and a body of its content length; returns what was read if the connection
/// ends before.
pub async fn read_request(stream: &mut TcpStream) -> String {
    let mut bytes = Vec::new();
    let mut buffer = [0; 4096];
    loop {
        if is_complete(&bytes) {
            return String::from_utf8(bytes).expect("text");
        }
        match stream.read(&mut buffer).await {
            Ok(0) | Err(_) => return String::from_utf8(bytes).expect("text"),
            Ok(count) => bytes.extend_from_slice(&buffer[..count]),
        }
    }
}

fn is_complete(bytes: &[u8]) -> bool {
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
