//! Endpoints that have named a limit for all hosts together: a host sends there only with a permit.

use std::rc::Rc;

use agate_limit::Time;
use agate_limit::book::{Change, Statement};
use agate_limit::permit::{Answer, Wallet};
use tokio::time::Instant;

use super::{Balancer, Criteria, Entry, Key};
use crate::roster::{Endpoint, Incarnation};

impl Entry {
    /// Returns whether the limit of the endpoint, if it has one, allows this host a request now.
    pub(super) fn may_send(&self, now: Instant) -> bool {
        let permits = self.permits.as_ref();
        permits.is_none_or(|permits| permits.has_permit(now.into_std()))
    }
}

impl Balancer {
    /// Records what an endpoint has said of its limit. Returns what changes by that.
    pub fn record_limit(
        &mut self,
        now: Time,
        incarnation: &Rc<Incarnation>,
        statement: Statement,
    ) -> Option<Change> {
        let change = self.limits.record(now, incarnation, statement)?;
        if let Some(entry) = self.entry_of(incarnation) {
            match change {
                Change::Limited(_) => {
                    entry.permits.get_or_insert_default();
                }
                Change::Lifted => entry.permits = None,
            }
        }
        Some(change)
    }

    /// Returns the entry of an incarnation if it is listed now.
    fn entry_of(&mut self, incarnation: &Incarnation) -> Option<&mut Entry> {
        let key = self.by_id.get(incarnation.id())?;
        let entry = self.entries.get_mut(*key)?;
        (*entry.incarnation == *incarnation).then_some(entry)
    }

    /// Returns whether an endpoint has a limit as far as this host knows.
    pub fn is_limited(&self, incarnation: &Rc<Incarnation>) -> bool {
        !self.limits.is_empty() && self.limits.rate(incarnation).is_some()
    }

    /// Returns the newest statement on the limit of an endpoint; `None` if it has named none lately.
    pub fn limit_statement(&self, incarnation: &Rc<Incarnation>) -> Option<Statement> {
        self.limits.statement(incarnation)
    }

    /// Returns what is known of limits, without what is too old to matter.
    pub fn limit_statements(&mut self, now: Time) -> Vec<(Rc<Incarnation>, Statement)> {
        self.limits.expire(now);
        let statements = self.limits.statements();
        statements
            .map(|(incarnation, statement)| (incarnation.clone(), *statement))
            .collect()
    }

    /// Returns the number of endpoints that have a limit.
    pub fn limited_count(&self) -> usize {
        let statements = self.limits.statements();
        statements
            .filter(|(_, statement)| statement.rate.is_some())
            .count()
    }

    /// Returns an endpoint for which this host holds a permit: the one with the fewest requests in flight.
    /// It is preferred, since a permit that is not used soon is lost, and only a response tells whether
    /// the limit still holds.
    pub(super) fn permitted(
        &self,
        now: Instant,
        criteria: &Criteria<'_>,
        limit: u32,
    ) -> Option<Key> {
        if self.limits.is_empty() {
            return None;
        }
        let usable = self.usable(now, criteria.service).into_iter();
        let permitted = usable.filter(|key| {
            let entry = &self.entries[*key];
            entry.permits.is_some()
                && entry.running < limit
                && !criteria.excluded.contains(&entry.endpoint.id)
        });
        permitted.min_by_key(|key| self.entries[*key].running)
    }

    /// Notes that a request could use a permit for an endpoint, if there is one for which an owner may be
    /// asked now.
    pub(super) fn want_permit(&mut self, now: Instant, criteria: &Criteria<'_>) {
        if self.limits.is_empty() {
            return;
        }
        let keys: Vec<Key> = self.ready(criteria.service).collect();
        for key in keys {
            let is_cold = self.cold_until(now, &self.entries[key]).is_some();
            let entry = &mut self.entries[key];
            let is_paused = entry.paused_until.is_some_and(|until| until > now);
            let is_ejected = entry.health.is_ejected(now);
            let is_closed = is_cold || is_paused || is_ejected;
            if is_closed || criteria.excluded.contains(&entry.endpoint.id) {
                continue;
            }
            let permits = entry.permits.as_mut();
            if permits.is_some_and(|permits| permits.start_asking(now.into_std())) {
                self.wanted.push(entry.endpoint.clone());
                return;
            }
        }
    }

    /// Removes and returns the endpoints for whose permits owners are to be asked.
    pub fn take_wanted(&mut self) -> Vec<Rc<Endpoint>> {
        std::mem::take(&mut self.wanted)
    }

    /// Records the answer of the owners of an endpoint; `None` if none has answered.
    pub fn record_permits(
        &mut self,
        now: Instant,
        incarnation: &Incarnation,
        answer: Option<Answer>,
    ) {
        let entry = self.entry_of(incarnation);
        let permits: Option<&mut Wallet> = entry.and_then(|entry| entry.permits.as_mut());
        if let Some(permits) = permits {
            let (now, draw) = (now.into_std(), rand::random());
            match answer {
                Some(answer) => permits.record(now, answer, draw),
                None => permits.fail(now, draw),
            }
        }
    }
}
