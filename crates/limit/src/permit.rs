//! Permits of one host for one endpoint.

use std::time::{Duration, Instant};

/// Time for which a permit can be used.
const VALIDITY: Duration = Duration::from_secs(1);
/// Time after which a host asks again if no owner has answered.
const RETRY_INTERVAL: Duration = Duration::from_millis(500);
/// Longest additional part of a wait, so that hosts do not come back at the same moment.
const SPREAD: f64 = 0.2;

/// Answer of an owner to a host that asks for permits.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Answer {
    /// `count` permits, which can be used from `after` on.
    Granted {
        /// Number of permits.
        count: u32,
        /// Time until they can be used.
        after: Duration,
    },
    /// No permit; the host may ask again after `wait`.
    Denied {
        /// Time until the host is likely to get one.
        wait: Duration,
    },
}

/// Permits that a host holds for an endpoint, and when it asks for further ones.
#[derive(Clone, Copy, Debug, Default)]
pub struct Wallet {
    count: u32,
    /// When the permits can be used; `None` before the first.
    span: Option<(Instant, Instant)>,
    is_asking: bool,
    /// Until when no owner is asked; `None` if nothing is to be waited for.
    ask_at: Option<Instant>,
}

impl Wallet {
    /// Returns whether a request may be sent now.
    #[must_use]
    pub fn has_permit(&self, now: Instant) -> bool {
        let is_valid = |(from, until)| from <= now && now < until;
        self.count > 0 && self.span.is_some_and(is_valid)
    }

    /// Uses a permit. Returns whether there was one.
    pub fn take(&mut self, now: Instant) -> bool {
        let has_permit = self.has_permit(now);
        if has_permit {
            self.count -= 1;
        }
        has_permit
    }

    /// Returns whether an owner is to be asked now, since a request could use a permit. If so, nothing
    /// more is asked until [`Wallet::record`] or [`Wallet::fail`].
    pub fn start_asking(&mut self, now: Instant) -> bool {
        let is_waiting = self.ask_at.is_some_and(|at| at > now);
        let holds = self.count > 0 && self.span.is_some_and(|(_, until)| now < until);
        if self.is_asking || is_waiting || holds {
            return false;
        }
        self.is_asking = true;
        true
    }

    /// Records the answer of an owner. `draw` is evenly distributed between 0 and 1.
    pub fn record(&mut self, now: Instant, answer: Answer, draw: f64) {
        self.is_asking = false;
        match answer {
            Answer::Granted { count, after } => {
                self.count = count;
                self.span = Some((now + after, now + after + VALIDITY));
                self.ask_at = None;
            }
            Answer::Denied { wait } => self.ask_at = Some(now + wait.mul_f64(1.0 + SPREAD * draw)),
        }
    }

    /// Records that no owner has answered.
    pub fn fail(&mut self, now: Instant, draw: f64) {
        let wait = RETRY_INTERVAL;
        self.record(now, Answer::Denied { wait }, draw);
    }

    /// Returns when the host may hold a permit: now if it does or is asking for one, otherwise the time at
    /// which it can be used, or at which an owner is asked again.
    #[must_use]
    pub fn opening(&self, now: Instant) -> Instant {
        let next = match self.span {
            Some((from, until)) if self.count > 0 && now < until => Some(from),
            _ if self.is_asking => None,
            _ => self.ask_at,
        };
        next.unwrap_or(now).max(now)
    }
}
