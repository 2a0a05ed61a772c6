//! Stand-ins of servers, each a process of its own: `server ID ADDRESS BEHAVIOUR OPTION...`.

use std::io::Write;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicU32, Ordering};
use std::thread;
use std::time::Duration;

use crate::http::{self, Head};
use crate::site::{now_ms, tell};

/// Part of a prompt that crashes servers.
pub const BAD_PART: &str = "bad0bad0";

/// What a server process is told to do.
pub struct Server {
    pub id: String,
    pub behaviour: String,
    pub options: Vec<String>,
    running: AtomicU32,
    /// Requests so far.
    count: AtomicU32,
}

impl Server {
    fn has(&self, option: &str) -> bool {
        self.options.iter().any(|known| known == option)
    }

    fn number(&self, name: &str, default: u64) -> u64 {
        let prefix = format!("{name}=");
        let text = self
            .options
            .iter()
            .find_map(|option| option.strip_prefix(&prefix));
        text.and_then(|text| text.parse().ok()).unwrap_or(default)
    }

    /// Returns the head of an answer that the server signs.
    fn head(&self, request: &str, status: &str, more: &str) -> String {
        format!(
            "HTTP/1.1 {status}\r\nAgatebridge-Request-Id: {request}\r\n\
             Agatebridge-Server-Stamp: {}.{request}\r\n{more}\r\n",
            self.id
        )
    }
}

/// Runs a server process; never returns.
pub fn run(arguments: &[String]) -> ! {
    let address: SocketAddr = arguments[1].parse().expect("an address");
    let server = Arc::new(Server {
        id: arguments[0].clone(),
        behaviour: arguments[2].clone(),
        options: arguments[3..].to_vec(),
        running: AtomicU32::new(0),
        count: AtomicU32::new(0),
    });
    // The address may have channels of the process before.
    let listener = (0..200).find_map(|_| {
        let bound = TcpListener::bind(address);
        if bound.is_err() {
            thread::sleep(Duration::from_millis(20));
        }
        bound.ok()
    });
    let listener = listener.expect("the address is free");
    for stream in listener.incoming() {
        let Ok(stream) = stream else { continue };
        let server = server.clone();
        thread::spawn(move || {
            let _ = stream.set_nodelay(true);
            let _ = channel(&server, stream);
        });
    }
    std::process::exit(0);
}

fn channel(server: &Server, mut stream: TcpStream) -> Option<()> {
    let mut buffer = Vec::new();
    // The answer before, of which an extra copy may follow.
    let mut last: Option<(String, String)> = None;
    loop {
        let head = http::read_head(&mut stream, &mut buffer)?;
        if head.path() == "/health" {
            let text = format!(
                "HTTP/1.1 200 OK\r\nAgatebridge-Instance-Id: {}\r\nContent-Length: 0\r\n\r\n",
                server.id
            );
            stream.write_all(text.as_bytes()).ok()?;
            continue;
        }
        let request = head.header("agatebridge-request-id").to_owned();
        if head.header("agatebridge-expect-instance") != server.id {
            http::read_body(&mut stream, &mut buffer, head.length)?;
            let more = "Agatebridge-Not-Executed: 1\r\nContent-Length: 0\r\n";
            let text = server.head(&request, "421 Misdirected Request", more);
            stream.write_all(text.as_bytes()).ok()?;
            continue;
        }
        tell("reached", &request);
        match server.behaviour.as_str() {
            "engine" => {
                http::read_body(&mut stream, &mut buffer, head.length)?;
                engine(server, &mut stream, &head, &request)?;
            }
            "early" => early(server, &mut stream, &mut buffer, &head, &request)?,
            "plain" => {
                http::read_body(&mut stream, &mut buffer, head.length)?;
                plain(server, &mut stream, &request, &mut last)?;
            }
            other => panic!("no behaviour {other}"),
        }
    }
}

/// Streams events. Options: `events=N`, `gap=MS`, `open` for a stream with neither length nor chunks,
/// `crash` for a process that ends as it begins to answer a prompt with the bad part, `slots=N`.
fn engine(server: &Server, stream: &mut TcpStream, head: &Head, request: &str) -> Option<()> {
    let slots = server.number("slots", 64) as u32;
    if server.running.fetch_add(1, Ordering::SeqCst) >= slots {
        server.running.fetch_sub(1, Ordering::SeqCst);
        let more = "Agatebridge-Not-Executed: 1\r\nContent-Length: 0\r\n";
        let text = server.head(request, "503 Service Unavailable", more);
        tell("declines", request);
        return stream.write_all(text.as_bytes()).ok();
    }
    let outcome = answer_stream(server, stream, head, request);
    server.running.fetch_sub(1, Ordering::SeqCst);
    outcome
}

fn answer_stream(
    server: &Server,
    stream: &mut TcpStream,
    head: &Head,
    request: &str,
) -> Option<()> {
    let (is_open, is_bad) = (
        server.has("open"),
        head.header("agatebridge-prompt-prefix").contains(BAD_PART),
    );
    tell("runs", request);
    thread::sleep(Duration::from_millis(server.number("first", 20)));
    let framing = if is_open {
        "Connection: close\r\n"
    } else {
        "Transfer-Encoding: chunked\r\n"
    };
    let more = format!("Content-Type: text/event-stream\r\n{framing}");
    stream
        .write_all(server.head(request, "200 OK", &more).as_bytes())
        .ok()?;
    let piece = |text: &str| match is_open {
        true => text.to_owned(),
        false => format!("{:x}\r\n{text}\r\n", text.len()),
    };
    if is_bad && server.has("crash") {
        // Inside the first event.
        let _ = stream.write_all(piece("id: 1\ndata: the beginn").as_bytes());
        tell("crashes", request);
        std::process::exit(101);
    }
    for number in 1..=server.number("events", 8) {
        let text = format!("id: {number}\ndata: {request}-{number}\n\n");
        stream.write_all(piece(&text).as_bytes()).ok()?;
        thread::sleep(Duration::from_millis(server.number("gap", 50)));
    }
    tell("completes", request);
    match is_open {
        // The end of the channel is the end of the answer.
        true => None,
        false => stream.write_all(b"0\r\n\r\n").ok(),
    }
}

/// Body of the answers of `early`.
pub fn report_of(request: &str) -> String {
    let line = format!("{request} line of the report\n");
    line.repeat(200_000 / line.len())
}

/// Answers a long request before its body is in, with neither a length nor chunks. With option `crash`
/// the process ends midway in the answer to the requests whose id begins with `c`.
fn early(
    server: &Server,
    stream: &mut TcpStream,
    buffer: &mut Vec<u8>,
    head: &Head,
    request: &str,
) -> Option<()> {
    tell("runs", request);
    let more = "Content-Type: text/plain\r\nConnection: close\r\n";
    let mut answer = server.head(request, "200 OK", more);
    answer.push_str(&report_of(request));
    if server.has("crash") && request.starts_with('c') {
        tell("crashes", request);
        let _ = stream.write_all(&answer.as_bytes()[..20_000]);
        std::process::exit(101);
    }
    stream.write_all(answer.as_bytes()).ok()?;
    http::read_body(stream, buffer, head.length)?;
    tell("completes", request);
    None
}

/// Answers with a short body and a length. Options: `unsigned=N` puts a wrong byte into the name of the
/// header with the proof in every Nth answer; `extra=N` sends an extra copy of the answer before, with
/// neither a length nor chunks, where every Nth answer is due, and ends the channel. Both only in the
/// first five of each ten seconds since `start=MS`, the Unix time. `errors=N` fails every Nth request.
fn plain(
    server: &Server,
    stream: &mut TcpStream,
    request: &str,
    last: &mut Option<(String, String)>,
) -> Option<()> {
    let count = server.count.fetch_add(1, Ordering::SeqCst) + 1;
    let since = now_ms().saturating_sub(u128::from(server.number("start", 0)));
    let is_nth = |name: &str| match server.number(name, 0) {
        _ if since % 10_000 >= 5_000 => false,
        0 => false,
        every => u64::from(count) % every == 0,
    };
    tell("runs", request);
    thread::sleep(Duration::from_millis(server.number("work", 5)));
    if let Some((before, body)) = last.as_ref().filter(|_| is_nth("extra")) {
        let copy = server.head(before, "200 OK", "Content-Type: text/plain\r\n") + body;
        let _ = stream.write_all(copy.as_bytes());
        tell("sends-an-extra-copy-where-the-answer-is-due-to", request);
        return None;
    }
    let body = format!("{request} ").repeat(30);
    let errors = server.number("errors", 0);
    let status = match errors > 0 && u64::from(count) % errors == 0 {
        true => "500 Internal Server Error",
        false => "200 OK",
    };
    let mut answer = server.head(
        request,
        status,
        &format!("Content-Length: {}\r\n", body.len()),
    ) + &body;
    if is_nth("unsigned") {
        answer = answer.replace("Agatebridge-Server-Stamp", "Agatebridge-Server-Stqmp");
        tell("garbles-the-head-of-the-answer-to", request);
    }
    stream.write_all(answer.as_bytes()).ok()?;
    tell("completes", request);
    *last = Some((request.to_owned(), body));
    Some(())
}
