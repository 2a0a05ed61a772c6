//! The lease: one host at a time reports usage and orders endpoints.
//!
//! The row lies in the table of the hosts' rows, so candidates watch it without calls of their
//! own. A holder never gives the lease up early: its successor waits until the lease has run out
//! and everything that the holder sent has arrived, and nobody acts in turn with another.

use std::cell::RefCell;
use std::rc::Rc;
use std::time::Duration;

use agate_lease::{Attempt, Candidate, Entry, Holder, Permit, Settlement, Terms, Verdict};
use agate_store::Error;
use agate_store::interface::Change;
use agate_wire::lease::Row;
use agate_wire::table::{Check, Transaction, Write};
use tokio::time::sleep;

use super::FLIGHT;
use crate::clock;
use crate::edge::Edge;
use crate::hosts::{LEASE_KEY, TABLE};
use crate::interface::Seal;
use crate::metrics::count;

/// Between two steps.
const STEP: Duration = Duration::from_millis(300);
/// Between two renewals.
const RENEWAL: Duration = Duration::from_millis(900);
/// Part of the term after which the holder stops before a successor may begin.
const MARGIN: Duration = Duration::from_millis(400);

/// What this host knows of the lease.
#[derive(Debug, Default)]
pub struct Seat {
    state: RefCell<State>,
}

#[derive(Debug, Default)]
struct State {
    seen: Option<Entry>,
    is_confirmed: bool,
    holder: Option<Holder>,
}

impl Seat {
    /// Takes the row as the feed brought it.
    pub fn see(&self, change: &Change) {
        let mut state = self.state.borrow_mut();
        state.seen = change.value.as_ref().and_then(|value| {
            let row = serde_json::from_slice::<Row>(value);
            let row = row.inspect_err(|err| {
                tracing::error!(event = "lease_malformed", row = change.key, error = %err);
            });
            Some(Entry {
                row: row.ok()?.into(),
                revision: change.revision,
            })
        });
    }

    /// The table was read: a row that was not seen does not exist.
    pub fn confirm(&self) {
        self.state.borrow_mut().is_confirmed = true;
    }

    /// Leave to act, if this host holds the lease.
    pub fn permit(&self) -> Option<Permit> {
        let state = self.state.borrow();
        let ticket = state.holder.as_ref()?.ticket(clock::steady())?;
        Some(ticket.recorded())
    }
}

/// Name and fencing number of a holder.
pub fn seal(edge: &Edge, permit: &Permit) -> Seal {
    Seal {
        host: edge.settings.borrow().host.clone(),
        epoch: permit.epoch(),
    }
}

/// Terms of the lease: it ends, with all that its holder has sent, before `bound` is over twice.
fn terms(bound: Duration) -> Terms {
    Terms {
        term: bound.mul_f64(0.85),
        margin: MARGIN,
        renewal: RENEWAL,
        flight: FLIGHT,
        idle: Duration::from_millis(200),
    }
}

/// Takes and keeps the lease until the task is dropped.
pub async fn run(edge: Rc<Edge>) {
    let terms = terms(edge.settings.borrow().bounds.lease);
    let host = edge.settings.borrow().host.clone();
    let candidate = || Candidate::new(terms, host.clone(), edge.incarnation.clone());
    let mut role = Role::Candidate(candidate());
    loop {
        let is_lost = match &mut role {
            Role::Candidate(it) => {
                if let Some(attempt) = watch(&edge, it) {
                    role = Role::Acquiring(Box::new(attempt));
                    continue;
                }
                false
            }
            Role::Acquiring(attempt) => match acquire(&edge, attempt).await {
                Some(Settlement::Held(holder)) => {
                    tracing::info!(event = "lease_acquired", epoch = holder.epoch());
                    count(&edge.metrics.changes, "lease_acquired");
                    edge.metrics.held.set(1);
                    edge.seat.state.borrow_mut().holder = Some(*holder);
                    role = Role::Holder;
                    continue;
                }
                Some(Settlement::Lost) => {
                    role = Role::Candidate(candidate());
                    false
                }
                Some(Settlement::Unchanged) | None => false,
            },
            Role::Holder => {
                if edge.is_leaving() {
                    // Stops acting; the row runs out.
                    edge.seat.state.borrow_mut().holder = None;
                    tracing::info!(event = "lease_left");
                    return;
                }
                !renew(&edge).await
            }
        };
        if is_lost {
            edge.seat.state.borrow_mut().holder = None;
            edge.metrics.held.set(0);
            tracing::warn!(event = "lease_lost");
            count(&edge.metrics.changes, "lease_lost");
            role = Role::Candidate(candidate());
        }
        sleep(if matches!(role, Role::Holder) {
            RENEWAL
        } else {
            STEP
        })
        .await;
    }
}

enum Role {
    Candidate(Candidate),
    Acquiring(Box<Attempt>),
    Holder,
}

fn watch(edge: &Edge, candidate: &mut Candidate) -> Option<Attempt> {
    let state = edge.seat.state.borrow();
    if !state.is_confirmed || edge.is_leaving() {
        return None;
    }
    let now = clock::steady();
    match candidate.observe(state.seen.as_ref(), now) {
        Verdict::Wait(_) => None,
        Verdict::Acquire => {
            let nonce = hex::encode(rand::random::<[u8; 16]>());
            Some(candidate.acquire(state.seen.as_ref(), nonce, now))
        }
    }
}

/// Tries to take the lease. `None`: nothing is known yet; try again.
async fn acquire(edge: &Edge, attempt: &Attempt) -> Option<Settlement> {
    match commit(edge, attempt.check, attempt.row.clone().into()).await {
        Ok(revision) => Some(Settlement::Held(Box::new(
            attempt.clone().committed(revision),
        ))),
        Err(Error::Unreached(_) | Error::Refused { .. }) => None,
        Err(Error::Conflict(_) | Error::Unknown(_)) => {
            let found = read(edge).await.ok()?;
            let settlement = attempt.settle(found.as_ref());
            edge.seat.state.borrow_mut().seen = found;
            Some(settlement)
        }
    }
}

/// Renews the lease. Returns whether it is still held, as far as is known.
async fn renew(edge: &Edge) -> bool {
    let renewal = match &mut edge.seat.state.borrow_mut().holder {
        Some(holder) => holder.renew(clock::steady()),
        None => return false,
    };
    match commit(edge, Some(renewal.check), renewal.row.into()).await {
        Ok(revision) => {
            if let Some(holder) = &mut edge.seat.state.borrow_mut().holder {
                holder.renewed(revision);
            }
            true
        }
        Err(err @ (Error::Unreached(_) | Error::Refused { .. })) => {
            tracing::warn!(event = "lease_not_renewed", error = %err);
            true
        }
        Err(err @ (Error::Conflict(_) | Error::Unknown(_))) => {
            tracing::warn!(event = "lease_renewal_unknown", error = %err);
            let Ok(found) = read(edge).await else {
                return true;
            };
            match &mut edge.seat.state.borrow_mut().holder {
                Some(holder) => holder.settle(found.as_ref()).is_ok(),
                None => false,
            }
        }
    }
}

async fn read(edge: &Edge) -> Result<Option<Entry>, Error> {
    let Some(found) = edge.remote.tables.get(TABLE, LEASE_KEY).await? else {
        return Ok(None);
    };
    let row: Row = serde_json::from_str(&found.value)
        .map_err(|err| Error::Unknown(format!("row of the lease: {err}")))?;
    Ok(Some(Entry {
        row: row.into(),
        revision: found.revision,
    }))
}

async fn commit(edge: &Edge, check: Option<u64>, row: Row) -> Result<u64, Error> {
    let value = serde_json::to_string(&row)
        .map_err(|err| Error::Unreached(format!("row of the lease: {err}")))?;
    let transaction = Transaction {
        checks: vec![Check {
            table: TABLE.to_owned(),
            key: LEASE_KEY.to_owned(),
            revision: check,
        }],
        writes: vec![Write {
            table: TABLE.to_owned(),
            key: LEASE_KEY.to_owned(),
            value: Some(value),
        }],
    };
    let outcome = edge.remote.tables.commit(&transaction).await;
    count(
        &edge.metrics.calls,
        if outcome.is_ok() {
            "commit"
        } else {
            "commit_failed"
        },
    );
    outcome.map(|it| it.revision)
}
