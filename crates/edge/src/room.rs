//! How many requests this host may have at the endpoints of a service.
//!
//! Requests beyond the slots of all endpoints would wait at the endpoints, in the order of their arrival
//! there. They wait in the [`Queue`](crate::queue::Queue) of their host instead.

use tokio::time::Instant;

use crate::config::ServiceId;
use crate::edge::Edge;
use crate::queue::Space;

/// Requests that a host may have in flight at a service, as a multiple of an equal share of all slots
/// among the hosts. Hosts do not get the same number of requests at any moment.
const MAX_SHARE: f64 = 3.0;
/// The same for urgent requests. Endpoints run them first, so they need not wait at the host.
const MAX_URGENT_SHARE: f64 = 4.5;
/// Requests that a host may always have in flight at a service: an equal share of few slots is less than
/// one request.
const MIN_SHARE: f64 = 8.0;

/// Returns the requests that one of `hosts` may have in flight at a service with `slots` in all.
pub fn share(slots: usize, hosts: usize) -> Space {
    let equal = slots as f64 / hosts.max(1) as f64;
    let part = |multiple: f64| (equal * multiple).max(MIN_SHARE).ceil() as usize;
    Space {
        any: part(MAX_SHARE),
        urgent: part(MAX_URGENT_SHARE),
    }
}

impl Edge {
    /// Returns how many requests more this host may send to a service.
    pub fn room(&self, service: &ServiceId) -> Space {
        let config = self.config();
        let engine = config
            .as_ref()
            .and_then(|config| config.services.get(service)?.engine);
        let board = self.board.borrow();
        let slots = engine.map_or_else(|| board.slots(service), |engine| engine.slots);
        let total = board.ready_count(service) * slots as usize;
        let running = board.running(service).0 as usize;
        let share = share(total, self.sharing_hosts());
        Space {
            any: share.any.saturating_sub(running),
            urgent: share.urgent.saturating_sub(running),
        }
    }

    /// Gives free slots of a service to the requests that wait for them.
    pub fn grant(&self, service: &ServiceId) {
        let queue = self.queue(service);
        if !queue.is_empty() {
            queue.grant(Instant::now(), self.room(service));
        }
        let waiting = i64::try_from(queue.len()).unwrap_or(i64::MAX);
        self.metrics.set_queued(service, waiting);
    }

    /// Gives free slots to the requests that wait, after endpoints were added or removed.
    pub fn wake_queues(&self) {
        for service in self.queued_services() {
            self.grant(&service);
        }
    }
}
