//! Gossip requests and responses over UDP.

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use agate_conf::witness::Witness;
use agate_member::frame::{FRAME_BYTES, Frame, RUMOUR_LIMIT, Response, tag};
use agate_member::secret::Secret;
use agate_model::id::HostId;
use rand::seq::IndexedRandom as _;
use tokio::net::UdpSocket;
use tokio::time::{Instant, sleep};

use crate::config::reader::jittered;
use crate::config::{distribution, witness};
use crate::context::Context;
use crate::directory;
use crate::gossip::{rumours, statements};
use crate::metrics::Label;

/// Timeout of a request, after which the peer counts as having missed it.
const RESPONSE_TIMEOUT: Duration = Duration::from_secs(1);

/// Delay before a newer version is fetched, in which a pushed change may still arrive. Also the
/// pause after a failed receive.
const FETCH_DELAY: Duration = Duration::from_millis(100);

/// A request that is waiting for its response.
#[derive(Debug)]
struct Request {
    host: HostId,
    sent: Instant,
}

/// Gossip of this process: its socket, and the requests in flight by nonce.
pub struct Gossip {
    context: Context,
    socket: UdpSocket,
    secret: Secret,
    own: Witness,
    pending: RefCell<HashMap<u64, Request>>,
    is_fetching: Rc<Cell<bool>>,
    is_fetching_lists: Rc<Cell<bool>>,
}

impl Gossip {
    /// Creates the gossip state over a bound socket. Nothing is sent before [`Gossip::request`].
    pub fn new(context: Context, socket: UdpSocket, secret: Secret) -> Rc<Self> {
        let own = witness::own(&context);
        Rc::new(Self {
            context,
            socket,
            secret,
            own,
            pending: RefCell::default(),
            is_fetching: Rc::default(),
            is_fetching_lists: Rc::default(),
        })
    }

    /// Sends a request to a random peer at each gossip interval, until the task is aborted.
    pub async fn request(self: Rc<Self>) {
        loop {
            rumours::publish_own(&self.context);
            self.expire_requests();
            self.send_request().await;
            sleep(jittered(self.context.settings.intervals.gossip)).await;
        }
    }

    /// Receives requests, which it responds to, and responses, until the task is aborted.
    pub async fn listen(self: Rc<Self>) {
        let mut buffer = [0; FRAME_BYTES + 1];
        loop {
            match self.socket.recv_from(&mut buffer).await {
                Ok((length, from)) => self.receive(&buffer[..length], from).await,
                Err(err) => {
                    tracing::debug!(event = "gossip_receive_failed", error = %err);
                    sleep(FETCH_DELAY).await;
                }
            }
        }
    }

    async fn send_request(&self) {
        let peers = self.context.members.peers();
        let Some(peer) = peers.choose(&mut rand::rng()) else {
            return;
        };
        let nonce = rand::random();
        let request = Request {
            host: peer.host.id.clone(),
            sent: Instant::now(),
        };
        self.pending.borrow_mut().insert(nonce, request);
        self.send(nonce, None, peer.host.gossip).await;
    }

    fn expire_requests(&self) {
        self.pending.borrow_mut().retain(|_, request| {
            let is_waiting = request.sent.elapsed() < RESPONSE_TIMEOUT;
            if !is_waiting {
                self.context.members.record_missed(&request.host);
            }
            is_waiting
        });
    }

    async fn send(&self, nonce: u64, response: Option<Response>, to: SocketAddr) {
        let epoch = self
            .context
            .lease
            .borrow()
            .as_ref()
            .map_or(0, |lease| lease.epoch);
        let frame = Frame {
            host: tag(&self.own.host),
            incarnation: tag(&self.own.incarnation),
            nonce,
            version: self.context.copy.version(),
            accepted: self.context.copy.accepted(),
            epoch,
            rumours: self.context.rumours.next(RUMOUR_LIMIT),
            response,
        };
        let datagram = frame.encode(&self.secret);
        self.count("sent", datagram.len());
        if let Err(err) = self.socket.send_to(&datagram, to).await {
            tracing::debug!(event = "gossip_send_failed", error = %err);
        }
    }

    async fn receive(&self, datagram: &[u8], from: SocketAddr) {
        let frame = match Frame::decode(&self.secret, datagram) {
            Ok(frame) => frame,
            Err(err) => {
                self.count("refused", datagram.len());
                tracing::debug!(event = "gossip_refused", error = %err);
                return;
            }
        };
        self.count("received", datagram.len());
        rumours::receive(&self.context, &frame.rumours);
        if frame.response.is_some() {
            self.receive_response(&frame);
        } else {
            self.context.copy.note_version(frame.version);
            self.context.copy.accept(frame.accepted);
            let mut response = statements::response(&self.context.copy, &self.own);
            response.lists = self.context.roster.mark();
            self.send(frame.nonce, Some(response), from).await;
        }
        self.record_sender(&frame);
    }

    /// Applies a response, if a request with its nonce is pending at the responding host. Each
    /// nonce is accepted once.
    fn receive_response(&self, frame: &Frame) {
        let Some(request) = self.pending.borrow_mut().remove(&frame.nonce) else {
            return;
        };
        if tag(&request.host) != frame.host {
            return;
        }
        statements::apply(&self.context.copy, frame, request.sent);
        let lists = frame.response.as_ref().and_then(|response| response.lists);
        if lists.is_some_and(|mark| self.context.roster.compare(mark, request.sent)) {
            self.fetch_lists(&request.host);
        }
    }

    fn fetch_lists(&self, host: &str) {
        let Some(member) = self.context.members.get(host) else {
            return;
        };
        if self.is_fetching_lists.replace(true) {
            return;
        }
        let context = self.context.clone();
        let is_fetching = Rc::clone(&self.is_fetching_lists);
        actix_rt::spawn(async move {
            directory::fetch(&context, member.host.steer).await;
            is_fetching.set(false);
        });
    }

    fn record_sender(&self, frame: &Frame) {
        let members = &self.context.members;
        let Some(sender) = members.find(frame.host, frame.incarnation) else {
            return;
        };
        let proof_age = statements::proof_age(frame);
        let is_response = frame.response.is_some();
        members.record_message(&sender.id, &sender.incarnation, frame.version, |member| {
            if is_response {
                member.proof_age = proof_age;
            }
        });
        if frame.version > self.context.copy.version() {
            self.fetch(sender.id);
        }
    }

    fn fetch(&self, host: HostId) {
        if self.is_fetching.replace(true) {
            return;
        }
        let context = self.context.clone();
        let is_fetching = Rc::clone(&self.is_fetching);
        actix_rt::spawn(async move {
            sleep(FETCH_DELAY).await;
            if let Some(member) = context.members.get(&host)
                && member.version > context.copy.version()
            {
                distribution::fetch_from(&context, &member).await;
            }
            is_fetching.set(false);
        });
    }

    fn count(&self, code: &str, bytes: usize) {
        let metrics = &self.context.metrics;
        let label = Label::new(code);
        metrics.gossip_frames.get_or_create(&label).inc();
        let bytes = u64::try_from(bytes).unwrap_or(u64::MAX);
        metrics.gossip_bytes.get_or_create(&label).inc_by(bytes);
    }
}
