//! Claims in the store, which limit a non-idempotent request with an idempotency key to one
//! execution across all hosts.

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

/// Wait before the first retry of a store call; it doubles up to [`MAX_BACKOFF`].
const FIRST_BACKOFF: Duration = Duration::from_millis(20);
/// Longest wait between two retries of a store call.
const MAX_BACKOFF: Duration = Duration::from_secs(1);
/// Time to find out whether a claim was recorded; the request is refused when it has passed.
const SETTLE_TIMEOUT: Duration = Duration::from_secs(2);
/// Time to record the end of a claim, or to release one whose transaction may commit late.
const END_TIMEOUT: Duration = Duration::from_secs(300);

/// Why a request was not claimed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Declined {
    /// An earlier submission was executed, with this response.
    Replay(agate_claim::Response),
    /// The request is refused. [`agate_claim::execution`] returns what is known of its execution.
    Refused(Denial),
}

/// How a claimed request ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum End {
    /// It was executed, with this response.
    Done(agate_claim::Response),
    /// It may have been executed; no response is known.
    Unknown,
    /// No byte of it was sent.
    NotRun,
}

/// Records claims in the name of one process incarnation of the gate.
#[derive(Clone)]
pub struct Claims {
    tables: Rc<dyn Tables>,
    host: HostId,
    incarnation: Incarnation,
}

/// A claim that this process incarnation holds.
pub struct Claim {
    claims: Claims,
    key: String,
    record: agate_claim::Record,
    revision: u64,
}

/// Result of recording a claim: held at a store revision, declined, or unknown because the store
/// did not confirm within [`SETTLE_TIMEOUT`] whether the transaction took effect.
enum Outcome {
    Held(u64),
    Declined(Declined),
    Unknown,
}

impl Claims {
    /// Creates the claims of the given incarnation of a host.
    pub fn new(tables: Rc<dyn Tables>, host: HostId, incarnation: Incarnation) -> Self {
        Self {
            tables,
            host,
            incarnation,
        }
    }

    /// Records that this process incarnation executes the request. `is_live` returns whether an
    /// entry host exists.
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
        match claim.acquire(is_live).await {
            Outcome::Held(revision) => {
                claim.revision = revision;
                Ok(claim)
            }
            Outcome::Declined(declined) => Err(declined),
            Outcome::Unknown => {
                actix_rt::spawn(claim.release_late_claim());
                Err(unavailable(
                    "the store did not say whether the claim was recorded",
                ))
            }
        }
    }

    fn has_ended(
        &self,
        host: &HostId,
        incarnation: &Incarnation,
        is_live: &dyn Fn(&HostId) -> bool,
    ) -> bool {
        if *host == self.host {
            *incarnation != self.incarnation
        } else {
            !is_live(host)
        }
    }
}

impl Claim {
    async fn acquire(&self, is_live: &dyn Fn(&HostId) -> bool) -> Outcome {
        let deadline = Instant::now() + SETTLE_TIMEOUT;
        let mut replaced = None;
        let mut uncertain = false;
        let mut backoff = backoff();
        while Instant::now() < deadline {
            let transaction = self.write(replaced, Some(&self.record));
            match self.claims.tables.commit(&transaction).await {
                Ok(commit) => return Outcome::Held(commit.revision),
                Err(Error::Conflict(conflict)) => {
                    match self.resolve_conflict(conflict.found, is_live).await {
                        Resolution::Final(outcome) => return outcome,
                        Resolution::Expired(revision) => replaced = Some(revision),
                    }
                }
                Err(Error::Unreached(_) | Error::Refused { .. }) if !uncertain => {
                    let message = "the store that keeps claims can't be reached";
                    return Outcome::Declined(unavailable(message));
                }
                Err(Error::Unreached(_) | Error::Refused { .. } | Error::Unknown(_)) => {
                    uncertain = true;
                    // Without a row, only the same transaction is sent again.
                    if let Some(outcome) = self.settle(deadline, &mut backoff).await {
                        return outcome;
                    }
                }
            }
        }
        Outcome::Unknown
    }

    /// Reads the row to find out whether a transaction without a response took effect. Returns
    /// `None` if there is no row, so that the transaction may be sent again.
    async fn settle(
        &self,
        deadline: Instant,
        backoff: &mut impl Iterator<Item = Duration>,
    ) -> Option<Outcome> {
        loop {
            if let Ok(row) = self.claims.tables.get(TABLE, &self.key).await {
                let revision = row.as_ref().map_or(0, |row| row.revision);
                let Ok(found) = read(row.as_ref()) else {
                    return Some(Outcome::Declined(unavailable("the claim can't be read")));
                };
                let request = &self.record.request;
                return match agate_claim::settle(found.as_ref(), request, &self.record.nonce) {
                    Settlement::Claimed => Some(Outcome::Held(revision)),
                    Settlement::Other(decision) => Some(Outcome::Declined(declined(decision))),
                    Settlement::Absent => None,
                };
            }
            if Instant::now() >= deadline {
                return Some(Outcome::Unknown);
            }
            tokio::time::sleep(backoff.next().unwrap_or(MAX_BACKOFF)).await;
        }
    }

    /// Decides what follows from the row that another submission wrote.
    async fn resolve_conflict(
        &self,
        row: Option<Row>,
        is_live: &dyn Fn(&HostId) -> bool,
    ) -> Resolution {
        let Some(row) = row else {
            let declined = unavailable("the store reports a conflict without a row");
            return Resolution::Final(Outcome::Declined(declined));
        };
        let Ok(Some(mut record)) = read(Some(&row)) else {
            let declined = unavailable("the claim can't be read");
            return Resolution::Final(Outcome::Declined(declined));
        };
        if record.nonce == self.record.nonce {
            // An earlier attempt of this transaction took effect.
            return Resolution::Final(Outcome::Held(row.revision));
        }
        if record.is_expired(SystemTime::now()) {
            return Resolution::Expired(row.revision);
        }
        let ended = |host: &HostId, incarnation: &Incarnation| {
            self.claims.has_ended(host, incarnation, is_live)
        };
        if let Some(abandoned) = agate_claim::abandon(&record, ended) {
            let transaction = self.write(Some(row.revision), Some(&abandoned));
            // If this write fails, the next submission retries it.
            let _ = self.claims.tables.commit(&transaction).await;
            record = abandoned;
        }
        let decision = agate_claim::decide(Some(&record), &self.record.request);
        Resolution::Final(Outcome::Declined(declined(decision)))
    }

    /// Records how the request ended. Retries while the store is unavailable, for at most
    /// `END_TIMEOUT`.
    pub async fn close(self, end: End) {
        let final_record = match end {
            End::Done(response) => Some(self.record.done(response)),
            End::Unknown => Some(self.record.unknown()),
            End::NotRun => None,
        };
        let deadline = Instant::now() + END_TIMEOUT;
        let mut revision = self.revision;
        for wait in backoff() {
            let transaction = self.write(Some(revision), final_record.as_ref());
            if self.claims.tables.commit(&transaction).await.is_ok() {
                return;
            }
            match self.read_end().await {
                Ok(None) => return,
                Ok(Some(current)) => revision = current,
                Err(()) if Instant::now() >= deadline => break,
                Err(()) => tokio::time::sleep(wait).await,
            }
        }
        tracing::error!(
            event = "claim_not_ended",
            "the end of the claim is not recorded; a later submission gets an unknown outcome"
        );
    }

    /// Returns the revision to replace, or `None` if the row already records the end or does not
    /// exist. Fails if the row can't be read.
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

    /// Deletes the claim if its transaction commits after the request was refused.
    async fn release_late_claim(self) {
        let deadline = Instant::now() + END_TIMEOUT;
        let backoff = backoff().take_while(|_| Instant::now() < deadline);
        for wait in backoff {
            tokio::time::sleep(wait).await;
            if let Ok(Some(revision)) = self.read_end().await {
                let transaction = self.write(Some(revision), None);
                if self.claims.tables.commit(&transaction).await.is_ok() {
                    return;
                }
            }
        }
    }

    fn write(&self, revision: Option<u64>, record: Option<&agate_claim::Record>) -> Transaction {
        let value = record.map(|record| claim::Record::from(record.clone()).to_row());
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

/// Result of a conflict with another claim: final, or an expired row to replace at its revision.
enum Resolution {
    Final(Outcome),
    Expired(u64),
}

fn read(row: Option<&Row>) -> Result<Option<agate_claim::Record>, claim::Malformed> {
    row.map(|row| claim::Record::from_row(&row.value))
        .transpose()
}

fn backoff() -> impl Iterator<Item = Duration> {
    std::iter::successors(Some(FIRST_BACKOFF), |wait| {
        Some((*wait * 2).min(MAX_BACKOFF))
    })
}

fn unavailable(message: &str) -> Declined {
    Declined::Refused(Denial::new(Reason::ClaimUnavailable, message))
}

fn declined(decision: Decision) -> Declined {
    match decision {
        Decision::Replay(response) => Declined::Replay(response),
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
        // The conflicting row has been deleted since; the caller may retry.
        Decision::Claim => unavailable("the claim changed while it was read"),
    }
}
