//! Leader election: the host that holds the lease reports usage and orders endpoints.
//!
//! The lease row is stored in the table of host rows, so candidates watch it without extra calls.
//! A holder never releases the lease early. Its successor waits until the lease has expired and
//! every call of the holder has arrived or timed out, so two holders never act at the same time.

use std::cell::RefCell;
use std::rc::Rc;
use std::time::Duration;

use agate_lease::{Attempt, Candidate, Entry, Holder, Permit, Settlement, Terms, Verdict};
use agate_model::id::Revision;
use agate_model::revision;
use agate_store::Error;
use agate_store::interface::Change;
use agate_wire::lease::Row;
use agate_wire::table::{Check, Transaction, Write};
use tokio::time::sleep;

use super::CALL_TIMEOUT;
use crate::clock;
use crate::edge::Edge;
use crate::hosts::{LEASE_KEY, TABLE};
use crate::interface::FencingToken;
use crate::metrics::count;

/// Interval at which a host without the lease checks whether it can acquire it.
const CANDIDATE_INTERVAL: Duration = Duration::from_millis(300);
/// Interval between two renewals of the lease by its holder.
const RENEWAL_INTERVAL: Duration = Duration::from_millis(900);
/// Time before the end of the term at which the holder stops acting, so that it has stopped when
/// a successor may start.
const MARGIN: Duration = Duration::from_millis(400);

/// This host's view of the lease: the last known row and, while this host holds it, the holder.
#[derive(Debug, Default)]
pub struct Lease {
    state: RefCell<State>,
}

/// State that the feed of host rows, the lease task and the duties share.
#[derive(Debug, Default)]
struct State {
    /// Last known lease row; `None` if there is none or it is malformed.
    seen: Option<Entry>,
    /// Whether the table was read, so that `seen` being `None` means that there is no valid row.
    is_read: bool,
    /// `None` unless this host holds the lease.
    holder: Option<Holder>,
}

impl Lease {
    /// Records a change of the lease row that the feed delivered.
    pub fn observe_row(&self, change: &Change) {
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

    /// Forgets the lease row: the store has returned from an older copy, which may lack it.
    pub fn forget_row(&self) {
        self.state.borrow_mut().seen = None;
    }

    /// Records that the table was read: a lease row that was not observed does not exist.
    pub fn mark_read(&self) {
        self.state.borrow_mut().is_read = true;
    }

    /// Returns a permit to act as lease holder; `None` if this host does not hold the lease or its
    /// term is almost over.
    pub fn permit(&self) -> Option<Permit> {
        let state = self.state.borrow();
        let ticket = state.holder.as_ref()?.ticket(clock::steady())?;
        Some(ticket.recorded())
    }
}

/// Returns the fencing token for calls under `permit`: this host's name and the lease's epoch.
pub fn fencing_token(edge: &Edge, permit: &Permit) -> FencingToken {
    FencingToken {
        host: edge.settings.borrow().host.clone(),
        epoch: permit.epoch(),
    }
}

/// Returns the terms of the lease. It expires, and every call of its holder has arrived or timed
/// out, within twice `bound`.
fn terms(bound: Duration) -> Terms {
    Terms {
        term: bound.mul_f64(0.85),
        margin: MARGIN,
        renewal: RENEWAL_INTERVAL,
        flight: CALL_TIMEOUT,
        idle: Duration::from_millis(200),
    }
}

/// Acquires and renews the lease until this host leaves or the task is dropped.
pub async fn run(edge: Rc<Edge>) {
    let terms = terms(edge.settings.borrow().bounds.lease);
    let host = edge.settings.borrow().host.clone();
    let new_candidate = || Candidate::new(terms, host.clone(), edge.incarnation.clone());
    let mut role = Role::Candidate(new_candidate());
    loop {
        let is_lost = match &mut role {
            Role::Candidate(candidate) => {
                if let Some(attempt) = try_start(&edge, candidate) {
                    role = Role::Acquiring(Box::new(attempt));
                    continue;
                }
                false
            }
            Role::Acquiring(attempt) => match acquire(&edge, attempt).await {
                Some(Settlement::Held(holder)) => {
                    tracing::info!(event = "lease_acquired", epoch = holder.epoch());
                    count(&edge.metrics.changes, "lease_acquired");
                    edge.metrics.lease_held.set(1);
                    edge.lease.state.borrow_mut().holder = Some(*holder);
                    role = Role::Holder;
                    continue;
                }
                Some(Settlement::Lost) => {
                    role = Role::Candidate(new_candidate());
                    false
                }
                Some(Settlement::Unchanged) | None => false,
            },
            Role::Holder => {
                if edge.is_leaving() {
                    // Stops acting without releasing the lease; it expires by itself.
                    edge.lease.state.borrow_mut().holder = None;
                    tracing::info!(event = "lease_left");
                    return;
                }
                !renew(&edge).await
            }
        };
        if is_lost {
            edge.lease.state.borrow_mut().holder = None;
            edge.metrics.lease_held.set(0);
            tracing::warn!(event = "lease_lost");
            count(&edge.metrics.changes, "lease_lost");
            role = Role::Candidate(new_candidate());
        }
        sleep(if matches!(role, Role::Holder) {
            RENEWAL_INTERVAL
        } else {
            CANDIDATE_INTERVAL
        })
        .await;
    }
}

/// Stage of this host in the election.
enum Role {
    /// Waits for the lease to be free.
    Candidate(Candidate),
    /// Commits an attempt until its outcome is known.
    Acquiring(Box<Attempt>),
    /// Holds and renews the lease.
    Holder,
}

/// Starts an attempt to acquire the lease if it is free; `None` if this host must wait.
fn try_start(edge: &Edge, candidate: &mut Candidate) -> Option<Attempt> {
    let state = edge.lease.state.borrow();
    // Few hosts compete, and the largest of them: the holder reads a row of every host.
    if !state.is_read || edge.is_leaving() || !edge.is_reader() {
        return None;
    }
    let now = clock::steady();
    candidate.observe_revision(edge.newest_revision.get());
    match candidate.observe(state.seen.as_ref(), now) {
        Verdict::Wait(_) => None,
        Verdict::Acquire => {
            let nonce = hex::encode(rand::random::<[u8; 16]>());
            Some(candidate.acquire(state.seen.as_ref(), nonce, now))
        }
    }
}

/// Commits an attempt to acquire the lease. Returns `None` if the outcome is not known yet or
/// nothing was written; the caller retries.
async fn acquire(edge: &Edge, attempt: &Attempt) -> Option<Settlement> {
    match commit(edge, attempt.check, attempt.row.clone().into()).await {
        Ok(revision) => Some(match attempt.clone().committed(revision) {
            Ok(holder) => Settlement::Held(Box::new(holder)),
            Err(_) => Settlement::Lost,
        }),
        Err(Error::Unreached(_) | Error::Refused { .. }) => None,
        Err(Error::Conflict(_) | Error::Unknown(_)) => {
            let found = read(edge).await.ok()?;
            let settlement = attempt.settle(found.as_ref());
            edge.lease.state.borrow_mut().seen = found;
            Some(settlement)
        }
    }
}

/// Renews the lease. Returns `false` once it is known to be lost; `true` also if the outcome of
/// the renewal is unknown.
async fn renew(edge: &Edge) -> bool {
    let revision = |edge: &Edge| {
        let state = edge.lease.state.borrow();
        state.holder.as_ref().map_or(0, Holder::revision)
    };
    let before = revision(edge);
    let is_held = try_renew(edge).await;
    // The row was found under the revision that it has in another era, which has not extended the term.
    match is_held && !revision::is_same_era(before, revision(edge)) {
        true => try_renew(edge).await,
        false => is_held,
    }
}

/// Renews the lease once, see [`renew`].
async fn try_renew(edge: &Edge) -> bool {
    let renewal = match &mut edge.lease.state.borrow_mut().holder {
        Some(holder) => holder.renew(clock::steady()),
        None => return false,
    };
    match commit(edge, Some(renewal.check), renewal.row.into()).await {
        Ok(revision) => match &mut edge.lease.state.borrow_mut().holder {
            Some(holder) => holder.renewed(revision, clock::steady()).is_ok(),
            None => false,
        },
        Err(err @ (Error::Unreached(_) | Error::Refused { .. })) => {
            tracing::warn!(event = "lease_not_renewed", error = %err);
            true
        }
        Err(err @ (Error::Conflict(_) | Error::Unknown(_))) => {
            tracing::warn!(event = "lease_renewal_unknown", error = %err);
            let Ok(found) = read(edge).await else {
                return true;
            };
            match &mut edge.lease.state.borrow_mut().holder {
                Some(holder) => holder.settle(found.as_ref(), clock::steady()).is_ok(),
                None => false,
            }
        }
    }
}

/// Reads the lease row from the store; `None` if there is none.
pub async fn read(edge: &Edge) -> Result<Option<Entry>, Error> {
    let Some(found) = edge.remote.tables.get(TABLE, LEASE_KEY).await? else {
        return Ok(None);
    };
    let row: Row = serde_json::from_str(&found.value).map_err(|err| {
        Error::Unknown(format!(
            "malformed lease row {LEASE_KEY} in table {TABLE}: {err}"
        ))
    })?;
    Ok(Some(Entry {
        row: row.into(),
        revision: found.revision,
    }))
}

/// Writes the lease row if its revision is still `check`, or if there is no row and `check` is
/// `None`. Returns the revision of the write.
async fn commit(edge: &Edge, check: Option<Revision>, row: Row) -> Result<Revision, Error> {
    let value = serde_json::to_string(&row)
        .map_err(|err| Error::Unreached(format!("cannot encode the lease row: {err}")))?;
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
    outcome.map(|commit| commit.revision)
}
