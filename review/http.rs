//! HTTP/1.1 over blocking sockets: a server loop for the platform's stand-ins, and a client that tells
//! exactly how an answer ended.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

pub type Headers = Vec<(String, String)>;

/// Returns the value of a header; names are in lower case.
pub fn header<'a>(headers: &'a Headers, name: &str) -> Option<&'a str> {
    headers
        .iter()
        .find(|(known, _)| known == name)
        .map(|(_, value)| value.as_str())
}

/// A request without its body, as a server has read it.
#[derive(Clone, Debug)]
pub struct Head {
    pub target: String,
    pub headers: Headers,
    pub length: usize,
}

impl Head {
    pub fn path(&self) -> &str {
        self.target.split('?').next().unwrap_or_default()
    }

    pub fn parameter(&self, name: &str) -> Option<String> {
        let query = self.target.split_once('?')?.1;
        let mut pairs = query.split('&').filter_map(|pair| pair.split_once('='));
        pairs
            .find(|(key, _)| *key == name)
            .map(|(_, value)| decode(value))
    }

    pub fn header(&self, name: &str) -> &str {
        header(&self.headers, name).unwrap_or_default()
    }
}

fn decode(text: &str) -> String {
    let bytes = text.as_bytes();
    let mut decoded = Vec::new();
    let mut at = 0;
    while at < bytes.len() {
        let digits = text.get(at + 1..at + 3).filter(|_| bytes[at] == b'%');
        match digits.and_then(|digits| u8::from_str_radix(digits, 16).ok()) {
            Some(byte) => {
                decoded.push(byte);
                at += 3;
            }
            None => {
                decoded.push(bytes[at]);
                at += 1;
            }
        }
    }
    String::from_utf8_lossy(&decoded).into_owned()
}

fn lines(bytes: &[u8]) -> Option<(String, Headers)> {
    let text = String::from_utf8_lossy(bytes);
    let mut lines = text.split("\r\n");
    let first = lines.next()?.to_owned();
    let headers = lines.filter_map(|line| line.split_once(':'));
    let headers = headers.map(|(name, value)| (name.to_ascii_lowercase(), value.trim().to_owned()));
    Some((first, headers.collect()))
}

fn end_of_head(bytes: &[u8]) -> Option<usize> {
    bytes.windows(4).position(|window| window == b"\r\n\r\n")
}

/// Reads the head of a request. `buffer` keeps what follows it. `None` if the channel has ended.
pub fn read_head(stream: &mut TcpStream, buffer: &mut Vec<u8>) -> Option<Head> {
    loop {
        if let Some(end) = end_of_head(buffer) {
            let (first, headers) = lines(&buffer[..end])?;
            buffer.drain(..end + 4);
            let mut words = first.split(' ');
            words.next()?;
            let target = words.next()?.to_owned();
            let length = header(&headers, "content-length").and_then(|text| text.parse().ok());
            return Some(Head {
                target,
                headers,
                length: length.unwrap_or(0),
            });
        }
        if read_some(stream, buffer)? == 0 {
            return None;
        }
    }
}

/// Reads the body of a request with a length.
pub fn read_body(stream: &mut TcpStream, buffer: &mut Vec<u8>, length: usize) -> Option<Vec<u8>> {
    while buffer.len() < length {
        if read_some(stream, buffer)? == 0 {
            return None;
        }
    }
    Some(buffer.drain(..length).collect())
}

fn read_some(stream: &mut TcpStream, buffer: &mut Vec<u8>) -> Option<usize> {
    let mut bytes = [0; 16384];
    let count = stream.read(&mut bytes).ok()?;
    buffer.extend_from_slice(&bytes[..count]);
    Some(count)
}

/// Serves JSON calls on a listener, one thread a channel.
pub fn serve<F>(listener: TcpListener, respond: F)
where
    F: Fn(&Head, &[u8]) -> (u16, String) + Send + Sync + 'static,
{
    let respond = Arc::new(respond);
    thread::spawn(move || {
        for stream in listener.incoming() {
            let Ok(mut stream) = stream else { continue };
            let respond = respond.clone();
            thread::spawn(move || {
                let _ = stream.set_nodelay(true);
                let mut buffer = Vec::new();
                while let Some(head) = read_head(&mut stream, &mut buffer) {
                    let Some(body) = read_body(&mut stream, &mut buffer, head.length) else {
                        return;
                    };
                    let (status, text) = respond(&head, &body);
                    let answer = format!(
                        "HTTP/1.1 {status} Status\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n{text}",
                        text.len()
                    );
                    if stream.write_all(answer.as_bytes()).is_err() {
                        return;
                    }
                    if head.header("connection").eq_ignore_ascii_case("close") {
                        return;
                    }
                }
            });
        }
    });
}

/// How a client's request ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum End {
    /// A complete answer by its length, its last chunk, or the end of the channel if it has neither.
    Complete,
    /// The channel ended or was reset inside an answer.
    Cut,
    /// The channel ended or was reset without a byte of an answer.
    NoAnswer,
    /// The client's time limit passed.
    Late,
    /// No channel could be opened.
    NoChannel,
}

/// What a client got.
#[derive(Clone, Debug)]
pub struct Answer {
    pub end: End,
    pub status: u16,
    pub headers: Headers,
    pub body: Vec<u8>,
}

impl Answer {
    fn ended(end: End) -> Self {
        Self {
            end,
            status: 0,
            headers: Vec::new(),
            body: Vec::new(),
        }
    }

    /// Returns a line for the record.
    pub fn line(&self) -> String {
        let stamp = header(&self.headers, "agatebridge-server-stamp").unwrap_or("none");
        format!(
            "{:?} status {} stamp {stamp} body {} bytes",
            self.end,
            self.status,
            self.body.len()
        )
    }
}

/// A client's channel, kept between requests as long as both sides allow it.
pub struct Channel {
    address: SocketAddr,
    stream: Option<TcpStream>,
    /// Whether the last request went over a channel that had carried another one.
    pub was_kept: bool,
}

impl Channel {
    pub fn new(address: SocketAddr) -> Self {
        Self {
            address,
            stream: None,
            was_kept: false,
        }
    }

    /// Sends a request and reads its answer within `limit`.
    pub fn send(&mut self, head: &str, body: &[u8], limit: Duration) -> Answer {
        let until = Instant::now() + limit;
        self.was_kept = self.stream.is_some();
        let stream = match self.stream.take() {
            Some(stream) => stream,
            None => match TcpStream::connect_timeout(&self.address, Duration::from_secs(1)) {
                Ok(stream) => stream,
                Err(_) => return Answer::ended(End::NoChannel),
            },
        };
        let _ = stream.set_nodelay(true);
        let mut request = head.as_bytes().to_vec();
        request.extend_from_slice(body);
        let mut writer = match stream.try_clone() {
            Ok(writer) => writer,
            Err(_) => return Answer::ended(End::NoChannel),
        };
        // A long body is written while the answer is read.
        let writing = thread::spawn(move || writer.write_all(&request).is_ok());
        let (answer, is_kept) = read_answer(&stream, until);
        let _ = stream.set_write_timeout(Some(Duration::from_millis(1)));
        if !is_kept {
            let _ = stream.shutdown(std::net::Shutdown::Both);
        }
        let is_written = writing.join().unwrap_or(false);
        if is_kept && is_written {
            self.stream = Some(stream);
        }
        answer
    }
}

fn read_answer(mut stream: &TcpStream, until: Instant) -> (Answer, bool) {
    let mut bytes: Vec<u8> = Vec::new();
    let mut answer = Answer::ended(End::NoAnswer);
    let mut is_head_read = false;
    let mut is_kept = true;
    loop {
        if !is_head_read && let Some(end) = end_of_head(&bytes) {
            let Some((first, headers)) = lines(&bytes[..end]) else {
                break;
            };
            bytes.drain(..end + 4);
            answer.status = first
                .split(' ')
                .nth(1)
                .and_then(|text| text.parse().ok())
                .unwrap_or(0);
            answer.headers = headers;
            is_head_read = true;
            is_kept = !header(&answer.headers, "connection")
                .is_some_and(|value| value.eq_ignore_ascii_case("close"));
        }
        if is_head_read {
            let length = header(&answer.headers, "content-length")
                .and_then(|text| text.parse::<usize>().ok());
            let is_chunked = header(&answer.headers, "transfer-encoding").is_some();
            if is_chunked {
                if let Some((body, is_over)) = unchunk(&bytes) {
                    answer.body = body;
                    if is_over {
                        answer.end = End::Complete;
                        return (answer, is_kept);
                    }
                }
            } else {
                answer.body = bytes.clone();
                if length.is_some_and(|length| bytes.len() >= length) {
                    answer.end = End::Complete;
                    return (answer, is_kept);
                }
            }
        }
        let left = until.saturating_duration_since(Instant::now());
        if left.is_zero() {
            answer.end = End::Late;
            return (answer, false);
        }
        let _ = stream.set_read_timeout(Some(left));
        let mut some = [0; 16384];
        match stream.read(&mut some) {
            Ok(0) => break,
            Ok(count) => bytes.extend_from_slice(&some[..count]),
            Err(err)
                if matches!(
                    err.kind(),
                    std::io::ErrorKind::WouldBlock | std::io::ErrorKind::TimedOut
                ) => {}
            Err(_) => {
                answer.end = if is_head_read || !bytes.is_empty() {
                    End::Cut
                } else {
                    End::NoAnswer
                };
                return (answer, false);
            }
        }
    }
    let is_unframed = is_head_read
        && header(&answer.headers, "content-length").is_none()
        && header(&answer.headers, "transfer-encoding").is_none();
    answer.end = match (is_unframed, is_head_read || !bytes.is_empty()) {
        (true, _) => End::Complete,
        (false, true) => End::Cut,
        (false, false) => End::NoAnswer,
    };
    (answer, false)
}

/// Returns the body of chunks as far as it is there, and whether the last chunk has come.
fn unchunk(bytes: &[u8]) -> Option<(Vec<u8>, bool)> {
    let mut body = Vec::new();
    let mut rest = bytes;
    loop {
        let Some(end) = rest.windows(2).position(|window| window == b"\r\n") else {
            return Some((body, false));
        };
        let size = std::str::from_utf8(&rest[..end]).ok()?;
        let size = usize::from_str_radix(size.split(';').next()?.trim(), 16).ok()?;
        rest = &rest[end + 2..];
        if size == 0 {
            return Some((body, rest.len() >= 2));
        }
        if rest.len() < size + 2 {
            body.extend_from_slice(&rest[..rest.len().min(size)]);
            return Some((body, false));
        }
        body.extend_from_slice(&rest[..size]);
        rest = &rest[size + 2..];
    }
}
