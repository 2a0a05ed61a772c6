//! Limits that endpoints name for all hosts together.

use agate_limit::book::{Change, Statement};
use agate_limit::mention::Mention;
use agate_model::id::RequestId;
use tokio::time::Instant;

use crate::balancer::Assignment;
use crate::edge::Edge;
use crate::interface::ResponseInfo;
use crate::metrics::count;

impl Edge {
    /// Records what a response to a request that was sent at `sent_at` says of its endpoint's limit.
    pub fn observe_limit(
        &self,
        request: &RequestId,
        assignment: &Assignment,
        sent_at: Instant,
        info: &ResponseInfo,
    ) {
        let Some(now) = self.shared_time() else {
            return;
        };
        let (rate, at) = match info.limit {
            Mention::Named(rate) => (Some(rate), now),
            // Whoever does not repeat the id of the request may not be the endpoint itself.
            Mention::Absent if info.request.is_some() => {
                (None, now.saturating_sub(sent_at.elapsed()))
            }
            Mention::Absent | Mention::Malformed => return,
        };
        let statement = Statement {
            rate,
            at,
            is_own: true,
        };
        let mut board = self.board.borrow_mut();
        let change = board.record_limit(now, assignment.incarnation(), statement);
        drop(board);
        let Some(change) = change else { return };
        self.report_limit(change, &assignment.endpoint.id, request);
    }

    /// Logs and counts that the limit of an endpoint has changed.
    fn report_limit(&self, change: Change, endpoint: &str, request: &str) {
        match change {
            Change::Limited(rate) => {
                count(&self.metrics.notices, "limited");
                tracing::info!(event = "endpoint_limited", endpoint, rate, request);
            }
            Change::Lifted => {
                count(&self.metrics.notices, "limit_lifted");
                tracing::info!(event = "endpoint_limit_lifted", endpoint, request);
            }
        }
        let limited = i64::try_from(self.board.borrow().limited_count()).unwrap_or(i64::MAX);
        self.metrics.limited_endpoints.set(limited);
    }
}
