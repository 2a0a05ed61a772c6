//! Heeds what endpoints ask for in their responses: no new work, or none for a while.

use std::collections::HashMap;
use std::rc::Rc;
use std::time::Duration;

use actix_http::StatusCode;
use agate_model::id::{EndpointId, RequestId};
use tokio::time::{Instant, sleep_until};

use crate::balancer::Assignment;
use crate::edge::Edge;
use crate::interface::ResponseInfo;
use crate::metrics::count;
use crate::sabotage::{self, Variant};

/// Longest time by which a host adds to a pause, so that hosts do not return at the same moment.
const MAX_SPREAD: Duration = Duration::from_millis(500);
/// The same as a share of the pause.
const SPREAD_SHARE: f64 = 0.1;
/// Interval between two log lines about malformed headers of one endpoint.
const FAULT_INTERVAL: Duration = Duration::from_secs(1);
/// Endpoints whose last log line is remembered.
const MAX_FAULTY: usize = 1024;

/// When malformed headers of endpoints were last logged.
pub type Faulty = HashMap<EndpointId, Instant>;

impl Edge {
    /// Heeds the notices in a response. Returns whether the endpoint asked for a pause.
    pub fn heed(
        self: &Rc<Self>,
        request: &RequestId,
        assignment: &Assignment,
        status: StatusCode,
        info: &ResponseInfo,
    ) -> bool {
        self.report_faults(request, &assignment.endpoint.id, info);
        let now = Instant::now();
        let is_leaving = info.leaving && !sabotage::is(Variant::IgnoreLeaving);
        if is_leaving && self.board.borrow_mut().mark_leaving(now, assignment) {
            count(&self.metrics.notices, "leaving");
            tracing::info!(
                event = "endpoint_leaving",
                endpoint = assignment.endpoint.id,
                request
            );
            self.wake_queues();
        }
        let wait = info.retry_after.filter(|wait| !wait.is_zero());
        let wait = wait.filter(|_| !sabotage::is(Variant::IgnorePauses));
        let Some(wait) = wait.filter(|_| status == StatusCode::SERVICE_UNAVAILABLE) else {
            return false;
        };
        let spread = MAX_SPREAD.min(wait.mul_f64(SPREAD_SHARE));
        let spread = spread.mul_f64(rand::random_range(0.0..1.0));
        let end = self
            .board
            .borrow_mut()
            .pause(now, assignment, wait + spread);
        if let Some(end) = end {
            count(&self.metrics.notices, "paused");
            tracing::info!(
                event = "endpoint_paused",
                endpoint = assignment.endpoint.id,
                request,
                retry_after_ms = millis(wait),
                until_ms = millis(end - now),
            );
            let endpoint = assignment.endpoint.id.clone();
            actix_rt::spawn(resume(self.clone(), endpoint, end));
        }
        true
    }

    /// Counts and logs malformed headers.
    fn report_faults(&self, request: &RequestId, endpoint: &EndpointId, info: &ResponseInfo) {
        let now = Instant::now();
        for fault in &info.faults {
            count(&self.metrics.notices, "malformed");
            let mut faulty = self.faulty.borrow_mut();
            let last = faulty.get(endpoint);
            if last.is_some_and(|at| now - *at < FAULT_INTERVAL) {
                continue;
            }
            if faulty.len() >= MAX_FAULTY {
                faulty.clear();
            }
            faulty.insert(endpoint.clone(), now);
            tracing::warn!(event = "notice_malformed", endpoint, request, fault = %fault);
        }
    }
}

/// Wakes the queues at the end of a pause.
async fn resume(edge: Rc<Edge>, endpoint: EndpointId, end: Instant) {
    sleep_until(end).await;
    count(&edge.metrics.notices, "resumed");
    tracing::info!(event = "endpoint_resumed", endpoint);
    edge.wake_queues();
}

fn millis(time: Duration) -> u64 {
    u64::try_from(time.as_millis()).unwrap_or(u64::MAX)
}
