//! What endpoints have said of their limits, as far as this host knows it.

use std::collections::HashMap;
use std::hash::Hash;
use std::time::Duration;

use crate::{Rate, Time};

/// Endpoints of which statements are kept; those that were made first are forgotten first.
const MAX_STATEMENTS: usize = 8_192;
/// Time for which a lifted limit is kept, so that an older statement of another host does not bring it back.
const LIFTED_TTL: Duration = Duration::from_secs(60);
/// Time after which a limit is forgotten that no response has confirmed: the endpoint gets no requests.
const NAMED_TTL: Duration = Duration::from_secs(3_600);
/// Difference between the clocks of hosts up to which a response without a limit does not count as newer
/// than one with it.
const CLOCK_TOLERANCE: Duration = Duration::from_millis(100);

/// What a response of an endpoint said of its limit.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Statement {
    /// The limit; `None` if there is none any more.
    pub rate: Option<Rate>,
    /// When the endpoint can be taken to have said so: for a limit the arrival of the response, for its
    /// absence the sending of the request. So a response that was under way when the endpoint named its
    /// limit does not lift it.
    pub at: Time,
    /// Whether this host received the response.
    pub is_own: bool,
}

/// How a limit has changed.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Change {
    /// There is a limit, or another one.
    Limited(Rate),
    /// There is none any more.
    Lifted,
}

/// The newest statement of each endpoint that has ever named a limit, by its incarnation.
#[derive(Clone, Debug)]
pub struct Book<K> {
    statements: HashMap<K, Statement>,
}

impl<K> Default for Book<K> {
    fn default() -> Self {
        Self {
            statements: HashMap::new(),
        }
    }
}

impl<K: Clone + Eq + Hash> Book<K> {
    /// Records a statement unless a newer one is known. Returns what changes by that.
    pub fn record(&mut self, now: Time, key: &K, statement: Statement) -> Option<Change> {
        let known = self.statements.get(key).copied();
        // The clock of the host that made the statement may be ahead.
        let at = statement.at.min(now);
        let is_newer = match (known, statement.rate) {
            (None, rate) => rate.is_some(),
            (Some(known), Some(_)) => at >= known.at.min(now),
            (Some(known), None) => match known.rate {
                Some(_) => at > known.at.min(now) + CLOCK_TOLERANCE,
                None => at > known.at.min(now),
            },
        };
        if !is_newer {
            return None;
        }
        if known.is_none() {
            self.make_room(now);
        }
        self.statements
            .insert(key.clone(), Statement { at, ..statement });
        let before = known.and_then(|known| known.rate);
        match statement.rate {
            rate if rate == before => None,
            Some(rate) => Some(Change::Limited(rate)),
            None => Some(Change::Lifted),
        }
    }

    /// Returns the limit of an endpoint; `None` without one.
    #[must_use]
    pub fn rate(&self, key: &K) -> Option<Rate> {
        self.statements.get(key)?.rate
    }

    /// Returns the newest statement of an endpoint; `None` if it has named no limit lately.
    #[must_use]
    pub fn statement(&self, key: &K) -> Option<Statement> {
        self.statements.get(key).copied()
    }

    /// Returns all statements, in no order.
    pub fn statements(&self) -> impl Iterator<Item = (&K, &Statement)> {
        self.statements.iter()
    }

    /// Returns whether no endpoint has named a limit lately.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.statements.is_empty()
    }

    /// Removes statements that are too old to matter.
    pub fn expire(&mut self, now: Time) {
        self.statements.retain(|_, statement| {
            let ttl = match statement.rate {
                Some(_) => NAMED_TTL,
                None => LIFTED_TTL,
            };
            now.saturating_sub(statement.at) < ttl
        });
    }

    /// Removes what is too old, then the older half of the statements if that is not enough.
    fn make_room(&mut self, now: Time) {
        if self.statements.len() < MAX_STATEMENTS {
            return;
        }
        self.expire(now);
        if self.statements.len() < MAX_STATEMENTS {
            return;
        }
        let mut times: Vec<Time> = self.statements.values().map(|known| known.at).collect();
        let middle = times.len() / 2;
        let (_, median, _) = times.select_nth_unstable(middle);
        let median = *median;
        self.statements.retain(|_, statement| statement.at > median);
    }
}
