//! Retry budget of one service, shared by all hosts.
//!
//! In any window the service may receive as many retries as a ratio of its requests plus a fixed
//! allowance. A host applies the ratio to the requests that it receives itself and takes an equal
//! part of the allowance, so the hosts together stay within the budget without coordination.

use std::collections::VecDeque;
use std::time::Duration;

use tokio::time::Instant;

/// Limits of the budget for all hosts together.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Policy {
    /// Retries allowed per request.
    pub ratio: f64,
    /// Retries allowed on top of the ratio in one window.
    pub extra: f64,
    /// Length of the sliding window.
    pub window: Duration,
}

/// One host's part of the budget of one service.
#[derive(Debug, Default)]
pub struct Budget {
    requests: VecDeque<Instant>,
    retries: VecDeque<Instant>,
}

impl Budget {
    /// Records a caller's request, which earns retries for the length of the window.
    pub fn record_request(&mut self, now: Instant, policy: &Policy) {
        self.expire(now, policy);
        self.requests.push_back(now);
    }

    /// Takes one retry and returns whether the budget allows it. `hosts` is the number of hosts
    /// that share the budget.
    pub fn try_take(&mut self, now: Instant, policy: &Policy, hosts: usize) -> bool {
        self.expire(now, policy);
        let earned = policy.ratio * self.requests.len() as f64;
        let extra = policy.extra / hosts.max(1) as f64;
        let is_allowed = (self.retries.len() + 1) as f64 <= earned + extra;
        if is_allowed {
            self.retries.push_back(now);
        }
        is_allowed
    }

    fn expire(&mut self, now: Instant, policy: &Policy) {
        for times in [&mut self.requests, &mut self.retries] {
            while times
                .front()
                .is_some_and(|time| now.saturating_duration_since(*time) > policy.window)
            {
                times.pop_front();
            }
        }
    }
}
