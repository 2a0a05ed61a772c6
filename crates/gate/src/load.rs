//! Load reports of engines.

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

/// Mean time between rounds.
const INTERVAL: Duration = Duration::from_secs(1);
/// Engines used in this time are worth asking.
const RECENT: Duration = Duration::from_secs(5);
/// Engines asked in one round because they are in use; bounds the cost on hosts that use many.
const MAX_USED: usize = 4;
/// Engines asked in one round whether in use or not.
const RANDOM: usize = 1;
const TIMEOUT: Duration = Duration::from_millis(500);
const MAX_REPORT_BYTES: usize = 64 << 10;

#[derive(Clone, Copy, Debug)]
struct Seen {
    used: Instant,
    asked: Option<Instant>,
}

/// Which engines are in use.
#[derive(Debug, Default)]
pub struct Usage {
    engines: RefCell<HashMap<EndpointId, Seen>>,
}

impl Usage {
    /// An attempt was sent to the engine.
    pub fn note(&self, id: &EndpointId) {
        let used = Instant::now();
        let mut engines = self.engines.borrow_mut();
        match engines.get_mut(id) {
            Some(seen) => seen.used = used,
            None => {
                engines.insert(id.clone(), Seen { used, asked: None });
            }
        }
    }

    /// Engines in recent use, those first that were not asked for longest.
    fn due(&self, now: Instant) -> Vec<EndpointId> {
        let mut engines = self.engines.borrow_mut();
        engines.retain(|_, seen| now - seen.used < RECENT);
        let mut due: Vec<_> = engines
            .iter()
            .map(|(id, seen)| (seen.asked, id.clone()))
            .collect();
        due.sort();
        due.truncate(MAX_USED);
        for (_, id) in &due {
            if let Some(seen) = engines.get_mut(id) {
                seen.asked = Some(now);
            }
        }
        due.into_iter().map(|(_, id)| id).collect()
    }
}

/// Asks engines for their load, until the task is dropped.
pub async fn run(gate: Rc<Gate>) {
    loop {
        let jitter = rand::rng().random_range(0.5..1.5);
        tokio::time::sleep(INTERVAL.mul_f64(jitter)).await;
        for endpoint in candidates(&gate) {
            actix_rt::spawn(ask(gate.clone(), endpoint));
        }
    }
}

fn candidates(gate: &Gate) -> Vec<Rc<Endpoint>> {
    let view = gate.view();
    let engines = view.pools().flat_map(|(_, endpoints)| endpoints);
    let engines: Vec<_> = engines
        .filter(|it| it.protocol == Protocol::Engine)
        .collect();
    let due = gate.load.due(Instant::now());
    let mut chosen: Vec<Rc<Endpoint>> = engines
        .iter()
        .filter(|it| due.contains(&it.id))
        .map(|it| Rc::clone(it))
        .collect();
    let others = engines.into_iter().filter(|it| !due.contains(&it.id));
    chosen.extend(
        others
            .choose_multiple(&mut rand::rng(), RANDOM)
            .into_iter()
            .cloned(),
    );
    chosen
}

async fn ask(gate: Rc<Gate>, endpoint: Rc<Endpoint>) {
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
    headers::credential(endpoint, &mut fields);
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
