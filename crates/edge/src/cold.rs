//! Endpoints that are cold: slow for some seconds after their start, or at any other moment, and
//! overloaded by a fraction of their usual work.
//!
//! The rate that a cold endpoint bears is a bound on all hosts together. Each cold endpoint has a few
//! owners among the hosts, by rendezvous hashing over the table of live hosts. They use a part of the
//! rate; all other hosts send nothing.

use std::rc::Rc;
use std::time::Duration;

use agate_limit::owner;
use tokio::time::{Instant, sleep};

use crate::edge::Edge;

/// Part of what a cold endpoint bears that its owners use. Hosts whose tables are outdated may take
/// themselves for owners beside them.
const USED_PART: f64 = 0.4;
/// Interval between two looks at the cold endpoints and their owners.
const SHARE_INTERVAL: Duration = Duration::from_millis(250);

/// Returns the rate at which `host` may send to a cold endpoint that bears `rate` requests a second; 0
/// unless it is an owner, see [`owner::part`].
pub fn share(endpoint: &str, host: &str, live: &[&str], sharing: usize, rate: f64) -> f64 {
    rate * USED_PART * owner::part(endpoint, host, live, sharing)
}

/// What is known of the time for which an endpoint is cold, and this host's share of it.
#[derive(Clone, Copy, Debug, Default)]
pub struct Cold {
    /// End according to the endpoint's row.
    listed: Option<Instant>,
    /// End as presumed until the row can tell.
    presumed: Option<Instant>,
    /// Requests a second that this host may send until then.
    rate: f64,
    /// Requests that it may send at once; at most one, so that shares of several hosts don't add up.
    tokens: f64,
    /// When the tokens were last counted.
    counted: Option<Instant>,
}

impl Cold {
    /// Records the time left in a row that was read at `now`. The row may be older, so the end that
    /// follows is never before the true one. A later row counts alone, whether longer or shorter.
    pub fn observe(&mut self, now: Instant, left: Duration) {
        self.listed = (!left.is_zero()).then(|| now + left);
    }

    /// Presumes that the endpoint is cold until `end`, whatever its row says.
    pub fn presume(&mut self, end: Instant) {
        self.presumed = self.presumed.max(Some(end));
    }

    /// Returns until when the endpoint is cold; `None` if it is warm.
    pub fn until(&self, now: Instant) -> Option<Instant> {
        let end = self.listed.max(self.presumed)?;
        (end > now).then_some(end)
    }

    /// Sets the rate of this host. Returns whether it becomes an owner by that.
    pub fn set_rate(&mut self, now: Instant, rate: f64) -> bool {
        self.tokens = self.tokens(now);
        self.counted = Some(now);
        if rate <= 0.0 {
            self.tokens = 0.0;
        }
        let before = std::mem::replace(&mut self.rate, rate);
        before <= 0.0 && rate > 0.0
    }

    /// Returns whether this host may send a request to the cold endpoint.
    pub fn admits(&self, now: Instant) -> bool {
        self.tokens(now) >= 1.0
    }

    /// Counts a request that this host sends to the cold endpoint.
    pub fn take(&mut self, now: Instant) {
        self.tokens = self.tokens(now) - 1.0;
        self.counted = Some(now);
    }

    fn tokens(&self, now: Instant) -> f64 {
        let counted = self.counted.unwrap_or(now);
        let time = now.saturating_duration_since(counted);
        (self.tokens + self.rate * time.as_secs_f64()).min(1.0)
    }
}

/// Keeps this host's shares of cold endpoints until the task is dropped.
pub async fn run(edge: Rc<Edge>) {
    loop {
        sleep(SHARE_INTERVAL).await;
        edge.share_cold_endpoints(Instant::now());
    }
}

impl Edge {
    /// Sets this host's rate at each cold endpoint.
    fn share_cold_endpoints(&self, now: Instant) {
        let cold = self.board.borrow().cold_endpoints(now);
        let count = i64::try_from(cold.len()).unwrap_or(i64::MAX);
        self.metrics.cold_endpoints.set(count);
        let Some(config) = self.config().filter(|_| count > 0) else {
            return;
        };
        let sharing = self.sharing_hosts();
        let hosts = self.hosts.borrow();
        let live: Vec<&str> = match self.may_own(now) && self.has_current_hosts() {
            true => {
                let rows = hosts.live(now).into_iter();
                rows.map(|row| row.host.as_str()).collect()
            }
            false => Vec::new(),
        };
        let host = &self.settings.borrow().host;
        let mut board = self.board.borrow_mut();
        for (endpoint, service) in cold {
            let bounds = config.services.get(&service);
            let bounds = bounds.and_then(|service| service.cold);
            let rate = bounds.map_or(0.0, |bounds| {
                share(&endpoint, host, &live, sharing, bounds.rate)
            });
            if board.set_cold_rate(now, &endpoint, rate) {
                tracing::info!(event = "cold_endpoint_shared", endpoint, rate);
            }
        }
    }
}
