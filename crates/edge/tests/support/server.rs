//! A scripted endpoint.

use std::cell::RefCell;
use std::collections::VecDeque;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use tokio::io::{AsyncReadExt as _, AsyncWriteExt as _};
use tokio::net::{TcpSocket, TcpStream};
use tokio::time::{Instant, timeout};

/// Receive buffer of an endpoint that answers before it has read the body.
const EARLY_BUFFER_BYTES: u32 = 4096;
/// Connections not yet accepted that the kernel queues.
const BACKLOG: u32 = 1024;

/// One step of the script for a request.
#[derive(Clone, Debug)]
pub enum Step {
    /// Writes these bytes, with `{id}` replaced by the request's id.
    Write(&'static str),
    /// Writes these bytes again and again, with this pause after each or many at once without one,
    /// until the other side closes the connection.
    Flood(&'static str, Duration),
    /// Waits; ends the script if the other side closes the connection meanwhile.
    Wait(Duration),
    /// Closes the connection.
    Close,
    /// Resets the connection, as the kernel does for a process that ends with unread bytes.
    Reset,
}

/// One request that the endpoint received.
#[derive(Clone, Debug)]
pub struct Received {
    /// Head in lower case, and body.
    pub text: String,
    /// Time from the start of the script until the other side closed the connection; None if the
    /// script ended first.
    pub closed: Option<Duration>,
    /// When it was received.
    pub at: Instant,
}

/// An endpoint that runs one script per request; the last one is used for all further requests.
pub struct Server {
    /// Address on which the endpoint listens.
    pub address: SocketAddr,
    /// Received requests, in order.
    pub requests: Rc<RefCell<Vec<Received>>>,
}

impl Server {
    /// Starts the endpoint on a free port.
    pub async fn start(scripts: Vec<Vec<Step>>) -> Self {
        Self::start_with(scripts, false).await
    }

    /// Starts an endpoint that runs the script for a request once it has read the head. Its kernel takes
    /// little of the body before that.
    pub async fn start_early(scripts: Vec<Vec<Step>>) -> Self {
        Self::start_with(scripts, true).await
    }

    async fn start_with(scripts: Vec<Vec<Step>>, is_early: bool) -> Self {
        let socket = TcpSocket::new_v4().expect("a socket");
        if is_early {
            let set = socket.set_recv_buffer_size(EARLY_BUFFER_BYTES);
            set.expect("the option is known");
        }
        let any = SocketAddr::from(([127, 0, 0, 1], 0));
        socket.bind(any).expect("a free port");
        let listener = socket.listen(BACKLOG).expect("a bound socket");
        let address = listener.local_addr().expect("an address");
        let requests: Rc<RefCell<Vec<Received>>> = Rc::default();
        let scripts = Rc::new(RefCell::new(VecDeque::from(scripts)));
        let recorded = requests.clone();
        actix_rt::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                let scripts = scripts.clone();
                actix_rt::spawn(connection(stream, scripts, recorded.clone(), is_early));
            }
        });
        Self { address, requests }
    }

    /// Returns the number of received requests.
    pub fn count(&self) -> usize {
        self.requests.borrow().len()
    }
}

/// Scripts of the coming requests; the last one stays.
type Scripts = Rc<RefCell<VecDeque<Vec<Step>>>>;

async fn connection(
    mut stream: TcpStream,
    scripts: Scripts,
    requests: Rc<RefCell<Vec<Received>>>,
    is_early: bool,
) {
    let mut read_buffer = Vec::new();
    while let Some(text) = request(&mut stream, &mut read_buffer, is_early).await {
        let id = text
            .lines()
            .find_map(|line| line.strip_prefix("x-id: "))
            .unwrap_or("");
        let id = id.to_owned();
        let index = requests.borrow().len();
        let at = Instant::now();
        let closed = None;
        requests.borrow_mut().push(Received { text, closed, at });
        let script = {
            let mut scripts = scripts.borrow_mut();
            match scripts.len() {
                0 | 1 => scripts.front().cloned().unwrap_or_default(),
                _ => scripts.pop_front().unwrap_or_default(),
            }
        };
        let start = Instant::now();
        for step in script {
            match step {
                Step::Write(text) => {
                    let text = text.replace("{id}", &id);
                    if stream.write_all(text.as_bytes()).await.is_err() {
                        requests.borrow_mut()[index].closed = Some(start.elapsed());
                        return;
                    }
                }
                Step::Flood(text, pause) => {
                    let text = match pause.is_zero() {
                        true => text.repeat(64),
                        false => text.to_owned(),
                    };
                    while stream.write_all(text.as_bytes()).await.is_ok() {
                        tokio::time::sleep(pause).await;
                    }
                    requests.borrow_mut()[index].closed = Some(start.elapsed());
                    return;
                }
                Step::Wait(time) => {
                    let mut byte = [0; 1];
                    if let Ok(Ok(0) | Err(_)) = timeout(time, stream.peek(&mut byte)).await {
                        requests.borrow_mut()[index].closed = Some(start.elapsed());
                        return;
                    }
                }
                Step::Close => return,
                Step::Reset => {
                    stream.set_zero_linger().expect("the option is known");
                    return;
                }
            }
        }
    }
}

/// Reads one request that has a content length or no body, or its head if `is_early`; None once the
/// connection is closed.
async fn request(
    stream: &mut TcpStream,
    read_buffer: &mut Vec<u8>,
    is_early: bool,
) -> Option<String> {
    loop {
        let text = String::from_utf8_lossy(read_buffer).into_owned();
        if let Some(end) = text.find("\r\n\r\n") {
            let head = text[..end].to_ascii_lowercase();
            let length = head
                .lines()
                .find_map(|line| line.strip_prefix("content-length: "));
            let length: usize = length.and_then(|text| text.parse().ok()).unwrap_or(0);
            let total = end + 4 + if is_early { 0 } else { length };
            if read_buffer.len() >= total {
                read_buffer.drain(..total);
                return Some(head + &text[end..total]);
            }
        }
        let mut chunk = [0; 4096];
        match stream.read(&mut chunk).await {
            Ok(0) | Err(_) => return None,
            Ok(count) => read_buffer.extend_from_slice(&chunk[..count]),
        }
    }
}
