//! Polling of engines for their load.

use std::cell::RefCell;
use std::collections::HashMap;
use std::rc::Rc;
use std::time::Duration;

use actix_http::header::HeaderMap;
use actix_http::{Method, StatusCode};
use agate_model::endpoint::{Endpoint, Protocol};
use agate_model::id::EndpointId;
use agate_wire::engine::Load;
use bytes::{Bytes, BytesMut};
use rand::Rng as _;
use rand::seq::IteratorRandom as _;
use tokio::time::Instant;

use crate::forward::client::{Body, Outgoing};
use crate::forward::headers;
use crate::gate::Gate;

/// Mean time between two rounds of polls.
const INTERVAL: Duration = Duration::from_secs(1);
/// Engines to which an attempt was sent within this time are polled as in use.
const RECENT: Duration = Duration::from_secs(5);
/// Most engines polled in one round because they are in use; bounds the cost on hosts that use
/// many.
const MAX_USED: usize = 4;
/// Engines polled at random in one round, in addition to those in use.
const RANDOM_POLLS: usize = 1;
/// Timeout of one poll, from connecting to the end of the report.
const TIMEOUT: Duration = Duration::from_millis(500);
/// Largest load report that is read, in bytes.
const MAX_REPORT_BYTES: usize = 64 << 10;

/// When an engine last got an attempt, and when it was last polled as in use.
#[derive(Clone, Copy, Debug)]
struct EngineUse {
    used: Instant,
    polled: Option<Instant>,
}

/// Engines to which this host has recently sent attempts.
#[derive(Debug, Default)]
pub struct ActiveEngines {
    engines: RefCell<HashMap<EndpointId, EngineUse>>,
}

impl ActiveEngines {
    /// Records that an attempt is sent to the engine.
    pub fn record_attempt(&self, id: &EndpointId) {
        let used = Instant::now();
        let mut engines = self.engines.borrow_mut();
        match engines.get_mut(id) {
            Some(last) => last.used = used,
            None => {
                engines.insert(id.clone(), EngineUse { used, polled: None });
            }
        }
    }

    /// Returns at most [`MAX_USED`] engines in recent use, least recently polled first, and marks
    /// them as polled. Forgets engines not used within [`RECENT`].
    fn due(&self, now: Instant) -> Vec<EndpointId> {
        let mut engines = self.engines.borrow_mut();
        engines.retain(|_, last| now - last.used < RECENT);
        let mut due: Vec<_> = engines
            .iter()
            .map(|(id, last)| (last.polled, id.clone()))
            .collect();
        due.sort();
        due.truncate(MAX_USED);
        for (_, id) in &due {
            if let Some(last) = engines.get_mut(id) {
                last.polled = Some(now);
            }
        }
        due.into_iter().map(|(_, id)| id).collect()
    }
}

/// Polls engines for their load until the task is dropped.
pub async fn run(gate: Rc<Gate>) {
    loop {
        let jitter = rand::rng().random_range(0.5..1.5);
        tokio::time::sleep(INTERVAL.mul_f64(jitter)).await;
        for endpoint in candidates(&gate) {
            actix_rt::spawn(poll(gate.clone(), endpoint));
        }
    }
}

fn candidates(gate: &Gate) -> Vec<Rc<Endpoint>> {
    let view = gate.view();
    let engines = view.pools().flat_map(|(_, endpoints)| endpoints);
    let engines: Vec<_> = engines
        .filter(|endpoint| endpoint.protocol == Protocol::Engine)
        .collect();
    let due = gate.load.due(Instant::now());
    let mut chosen: Vec<Rc<Endpoint>> = engines
        .iter()
        .filter(|endpoint| due.contains(&endpoint.id))
        .map(|endpoint| Rc::clone(endpoint))
        .collect();
    let others = engines
        .into_iter()
        .filter(|endpoint| !due.contains(&endpoint.id));
    chosen.extend(
        others
            .choose_multiple(&mut rand::rng(), RANDOM_POLLS)
            .into_iter()
            .cloned(),
    );
    chosen
}

async fn poll(gate: Rc<Gate>, endpoint: Rc<Endpoint>) {
    match tokio::time::timeout(TIMEOUT, fetch(&gate, &endpoint)).await {
        Ok(Some(load)) => {
            gate.choice.report(&endpoint.id, &load);
            gate.admission.wake();
        }
        Ok(None) | Err(_) => {
            tracing::debug!(event = "load_unknown", endpoint = %endpoint.id);
        }
    }
}

async fn fetch(gate: &Gate, endpoint: &Endpoint) -> Option<Load> {
    let mut fields = HeaderMap::new();
    headers::add_credential(endpoint, &mut fields);
    let outgoing = Outgoing {
        address: endpoint.address,
        method: Method::GET,
        target: "/load".to_owned(),
        headers: fields,
        body: Bytes::new(),
        timeout: TIMEOUT,
        reuse: true,
    };
    let response = gate.client.call(outgoing).await.ok()?;
    if response.status() != StatusCode::OK {
        return None;
    }
    let mut body = Body::new(&Method::GET, response);
    let mut bytes = BytesMut::new();
    while let Some(chunk) = body.next().await {
        bytes.extend_from_slice(&chunk.ok()?);
        if bytes.len() > MAX_REPORT_BYTES {
            return None;
        }
    }
    serde_json::from_slice(&bytes).ok()
}
