//! Claims in the store, which keep non-idempotent requests with an idempotency
//! key to one execution over all hosts.

use std::rc::Rc;
use std::time::{Duration, SystemTime};

use agate_claim::digest::TABLE;
use agate_claim::{Decision, Ending, Settlement};
use agate_model::id::{HostId, Incarnation};
use agate_model::key::Digest;
use agate_model::refusal::Reason;
use agate_store::Error;
use agate_store::interface::Tables;
use agate_wire::claim;
use agate_wire::table::{Check, Row, Transaction, Write};
use tokio::time::Instant;

use crate::gate::random_id;
use crate::refusal::Denial;

/// Wait before a store call is repeated; it doubles up to [`MAX_PAUSE`].
const FIRST_PAUSE: Duration = Duration::from_millis(20);
const MAX_PAUSE: Duration = Duration::from_secs(1);
/// Time to learn whether a claim was recorded, before the request is refused.
const SETTLE_TIME: Duration = Duration::from_secs(2);
/// Time to record the end of a claim, or to release one that may appear late.
const END_TIME: Duration = Duration::from_secs(300);

/// Why a request was not claimed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Declined {
    /// It was executed before, with this answer.
    Replay(agate_claim::Response),
    /// It is refused. [`agate_claim::execution`] tells what is known of its execution.
    Refused(Denial),
}

/// How a claimed request ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum End {
    /// It was executed, with this answer.
    Done(agate_claim::Response),
    /// It may have been executed.
    Unknown,
    /// No byte of it was sent.
    NotRun,
}

/// The claims of one run of a gate.
#[derive(Clone)]
pub struct Claims {
    tables: Rc<dyn Tables>,
    host: HostId,
    incarnation: Incarnation,
}

/// A claim that this run holds.
pub struct Claim {
    claims: Claims,
    key: String,
    record: agate_claim::Record,
    revision: u64,
}

enum Attempt {
    Held(u64),
    Declined(Declined),
    Lost,
}

impl Claims {
    /// Claims of a run of a host.
    pub fn new(tables: Rc<dyn Tables>, host: HostId, incarnation: Incarnation) -> Self {
        Self {
            tables,
            host,
            incarnation,
        }
    }

    /// Records that this run executes the request. `is_live` tells whether an entry host exists.
    pub async fn claim(
        &self,
        account: &str,
        idempotency_key: &str,
        request: Digest,
        is_live: &dyn Fn(&HostId) -> bool,
    ) -> Result<Claim, Declined> {
        let mut claim = Claim {
            claims: self.clone(),
            key: agate_claim::digest::row_key(account, idempotency_key),
            record: agate_claim::Record::running(
                request,
                random_id(),
                SystemTime::now(),
                self.host.clone(),
                self.incarnation.clone(),
            ),
            revision: 0,
        };
        match claim.begin(is_live).await {
            Attempt::Held(revision) => {
                claim.revision = revision;
                Ok(claim)
            }
            Attempt::Declined(declined) => Err(declined),
            Attempt::Lost => {
                actix_rt::spawn(claim.release_if_it_appears());
                Err(unavailable(
                    "the store did not say whether the claim was recorded",
                ))
            }
        }
    }

    fn has_ended(
        &self,
        host: &HostId,
        run: &Incarnation,
        is_live: &dyn Fn(&HostId) -> bool,
    ) -> bool {
        if *host == self.host {
            *run != self.incarnation
        } else {
            !is_live(host)
        }
    }
}

impl Claim {
    async fn begin(&self, is_live: &dyn Fn(&HostId) -> bool) -> Attempt {
        let give_up = Instant::now() + SETTLE_TIME;
        let mut replaced = None;
        let mut uncertain = false;
        let mut pauses = pauses();
        while Instant::now() < give_up {
            let write = self.write(replaced, Some(&self.record));
            match self.claims.tables.commit(&write).await {
                Ok(commit) => return Attempt::Held(commit.revision),
                Err(Error::Conflict(conflict)) => match self.meet(conflict.found, is_live).await {
                    Met::Attempt(attempt) => return attempt,
                    Met::Expired(revision) => replaced = Some(revision),
                },
                Err(Error::Unreached(_) | Error::Refused { .. }) if !uncertain => {
                    let message = "the store that keeps claims can't be reached";
                    return Attempt::Declined(unavailable(message));
                }
                Err(Error::Unreached(_) | Error::Refused { .. } | Error::Unknown(_)) => {
                    uncertain = true;
                    // Without a row, the same transaction is repeated, and no other.
                    if let Some(attempt) = self.settle(give_up, &mut pauses).await {
                        return attempt;
                    }
                }
            }
        }
        Attempt::Lost
    }

    /// Reads back what a transaction without an answer has done.
    async fn settle(
        &self,
        give_up: Instant,
        pauses: &mut impl Iterator<Item = Duration>,
    ) -> Option<Attempt> {
        loop {
            if let Ok(row) = self.claims.tables.get(TABLE, &self.key).await {
                let revision = row.as_ref().map_or(0, |it| it.revision);
                let Ok(found) = read(row.as_ref()) else {
                    return Some(Attempt::Declined(unavailable("the claim can't be read")));
                };
                let request = &self.record.request;
                return match agate_claim::settle(found.as_ref(), request, &self.record.nonce) {
                    Settlement::Claimed => Some(Attempt::Held(revision)),
                    Settlement::Other(decision) => Some(Attempt::Declined(declined(decision))),
                    Settlement::Absent => None,
                };
            }
            if Instant::now() >= give_up {
                return Some(Attempt::Lost);
            }
            tokio::time::sleep(pauses.next().unwrap_or(MAX_PAUSE)).await;
        }
    }

    /// Decides about the row of another submission.
    async fn meet(&self, row: Option<Row>, is_live: &dyn Fn(&HostId) -> bool) -> Met {
        let Some(row) = row else {
            let declined = unavailable("the store reports a conflict without a row");
            return Met::Attempt(Attempt::Declined(declined));
        };
        let Ok(Some(mut record)) = read(Some(&row)) else {
            let declined = unavailable("the claim can't be read");
            return Met::Attempt(Attempt::Declined(declined));
        };
        if record.nonce == self.record.nonce {
            // An earlier repetition of this transaction took effect.
            return Met::Attempt(Attempt::Held(row.revision));
        }
        if record.is_expired(SystemTime::now()) {
            return Met::Expired(row.revision);
        }
        let ended = |host: &HostId, run: &Incarnation| self.claims.has_ended(host, run, is_live);
        if let Some(abandoned) = agate_claim::abandon(&record, ended) {
            let write = self.write(Some(row.revision), Some(&abandoned));
            // If this fails, the next submission tries again.
            let _ = self.claims.tables.commit(&write).await;
            record = abandoned;
        }
        let decision = agate_claim::decide(Some(&record), &self.record.request);
        Met::Attempt(Attempt::Declined(declined(decision)))
    }

    /// Records the end. Takes as long as the store is out, within bounds.
    pub async fn close(self, end: End) {
        let last = match end {
            End::Done(answer) => Some(self.record.done(answer)),
            End::Unknown => Some(self.record.unknown()),
            End::NotRun => None,
        };
        let give_up = Instant::now() + END_TIME;
        let mut revision = self.revision;
        for pause in pauses() {
            let write = self.write(Some(revision), last.as_ref());
            if self.claims.tables.commit(&write).await.is_ok() {
                return;
            }
            match self.read_end().await {
                Ok(None) => return,
                Ok(Some(current)) => revision = current,
                Err(()) if Instant::now() >= give_up => break,
                Err(()) => tokio::time::sleep(pause).await,
            }
        }
        tracing::error!(
            event = "claim_not_ended",
            "a later submission is told that the outcome is unknown"
        );
    }

    /// Revision to write over, or `None` if the row shows the end already.
    async fn read_end(&self) -> Result<Option<u64>, ()> {
        let row = self
            .claims
            .tables
            .get(TABLE, &self.key)
            .await
            .map_err(drop)?;
        let Some(row) = row else {
            return Ok(None);
        };
        let found = read(Some(&row)).map_err(drop)?;
        match agate_claim::end(found.as_ref(), &self.record.nonce) {
            Ending::Settled => Ok(None),
            Ending::Write => Ok(Some(row.revision)),
        }
    }

    /// Deletes the claim if its transaction takes effect after it was given up.
    async fn release_if_it_appears(self) {
        let give_up = Instant::now() + END_TIME;
        let pauses = pauses().take_while(|_| Instant::now() < give_up);
        for pause in pauses {
            tokio::time::sleep(pause).await;
            if let Ok(Some(revision)) = self.read_end().await {
                let write = self.write(Some(revision), None);
                if self.claims.tables.commit(&write).await.is_ok() {
                    return;
                }
            }
        }
    }

    fn write(&self, revision: Option<u64>, record: Option<&agate_claim::Record>) -> Transaction {
        let value = record.map(|it| claim::Record::from(it.clone()).to_row());
        Transaction {
            checks: vec![Check {
                table: TABLE.to_owned(),
                key: self.key.clone(),
                revision,
            }],
            writes: vec![Write {
                table: TABLE.to_owned(),
                key: self.key.clone(),
                value,
            }],
        }
    }
}

enum Met {
    Attempt(Attempt),
    Expired(u64),
}

fn read(row: Option<&Row>) -> Result<Option<agate_claim::Record>, claim::Malformed> {
    row.map(|it| claim::Record::from_row(&it.value)).transpose()
}

fn pauses() -> impl Iterator<Item = Duration> {
    std::iter::successors(Some(FIRST_PAUSE), |pause| Some((*pause * 2).min(MAX_PAUSE)))
}

fn unavailable(message: &str) -> Declined {
    Declined::Refused(Denial::new(Reason::ClaimUnavailable, message))
}

fn declined(decision: Decision) -> Declined {
    match decision {
        Decision::Replay(answer) => Declined::Replay(answer),
        Decision::Refuse(reason) => {
            let message = match reason {
                Reason::ClaimPending => "a request with this idempotency key is being executed",
                Reason::ClaimUnknown => {
                    "a request with this idempotency key may have been executed, and its answer is not known"
                }
                Reason::ClaimMismatch => "the idempotency key was used with another request",
                _ => "the request can't be claimed",
            };
            Declined::Refused(Denial::new(reason, message))
        }
        // The row that decided this has gone since; the caller may come back.
        Decision::Claim => unavailable("the claim changed while it was read"),
    }
}
