//! Questions and answers over UDP.

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
use crate::config::{handout, witness};
use crate::context::Context;
use crate::directory;
use crate::gossip::{rumours, statements};
use crate::metrics::Label;

/// Time after which a question counts as unanswered.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(1);

/// Time for a pushed change to arrive before it is fetched.
const FETCH_DELAY: Duration = Duration::from_millis(100);

/// A question that waits for its answer.
#[derive(Debug)]
struct Question {
    host: HostId,
    sent: Instant,
}

/// Gossip of one process.
pub struct Gossip {
    context: Context,
    socket: UdpSocket,
    secret: Secret,
    own: Witness,
    questions: RefCell<HashMap<u64, Question>>,
    is_fetching: Rc<Cell<bool>>,
    is_fetching_lists: Rc<Cell<bool>>,
}

impl Gossip {
    /// Gossip over a bound socket.
    pub fn new(context: Context, socket: UdpSocket, secret: Secret) -> Rc<Self> {
        let own = witness::own(&context);
        Rc::new(Self {
            context,
            socket,
            secret,
            own,
            questions: RefCell::default(),
            is_fetching: Rc::default(),
            is_fetching_lists: Rc::default(),
        })
    }

    /// Asks a random peer at each interval, until the task is aborted.
    pub async fn ask(self: Rc<Self>) {
        loop {
            rumours::tell_own(&self.context);
            self.give_up();
            self.ask_one().await;
            sleep(jittered(self.context.settings.intervals.gossip)).await;
        }
    }

    /// Answers questions and takes answers, until the task is aborted.
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

    async fn ask_one(&self) {
        let peers = self.context.members.peers();
        let Some(peer) = peers.choose(&mut rand::rng()) else {
            return;
        };
        let nonce = rand::random();
        let question = Question {
            host: peer.host.id.clone(),
            sent: Instant::now(),
        };
        self.questions.borrow_mut().insert(nonce, question);
        self.send(nonce, None, peer.host.gossip).await;
    }

    fn give_up(&self) {
        self.questions.borrow_mut().retain(|_, question| {
            let is_waiting = question.sent.elapsed() < ANSWER_TIMEOUT;
            if !is_waiting {
                self.context.members.missed(&question.host);
            }
            is_waiting
        });
    }

    async fn send(&self, nonce: u64, answer: Option<Response>, to: SocketAddr) {
        let epoch = self
            .context
            .lease
            .borrow()
            .as_ref()
            .map_or(0, |it| it.epoch);
        let frame = Frame {
            host: tag(&self.own.host),
            incarnation: tag(&self.own.incarnation),
            nonce,
            version: self.context.copy.version(),
            accepted: self.context.copy.accepted(),
            epoch,
            rumours: self.context.rumours.next(RUMOUR_LIMIT),
            response: answer,
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
        rumours::hear(&self.context, &frame.rumours);
        if frame.response.is_some() {
            self.take_answer(&frame);
        } else {
            self.context.copy.hear_of(frame.version);
            self.context.copy.accept(frame.accepted);
            let mut answer = statements::answer(&self.context.copy, &self.own);
            answer.lists = self.context.roster.mark();
            self.send(frame.nonce, Some(answer), from).await;
        }
        self.hear_sender(&frame);
    }

    /// Only an answer to a waiting question counts, and only once.
    fn take_answer(&self, frame: &Frame) {
        let Some(question) = self.questions.borrow_mut().remove(&frame.nonce) else {
            return;
        };
        if tag(&question.host) != frame.host {
            return;
        }
        statements::take(&self.context.copy, frame, question.sent);
        let lists = frame.response.as_ref().and_then(|it| it.lists);
        if lists.is_some_and(|it| self.context.roster.compare(it, question.sent)) {
            self.fetch_lists(&question.host);
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

    fn hear_sender(&self, frame: &Frame) {
        let members = &self.context.members;
        let Some(sender) = members.run(frame.host, frame.incarnation) else {
            return;
        };
        let proof_age = statements::proof_age(frame);
        let is_answer = frame.response.is_some();
        members.heard(&sender.id, &sender.incarnation, frame.version, |it| {
            if is_answer {
                it.proof_age = proof_age;
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
                handout::fetch_from(&context, &member).await;
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
