//! What a host does with the row that it finds.

use agate_model::id::{HostId, Incarnation};
use agate_model::key::Digest;
use agate_model::refusal::{Execution, Reason};

use crate::record::{Answer, Record, State};

/// What to do with an arriving request.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum Decision {
    /// Claim it, with a check that the row is absent.
    Claim,
    /// Give this answer of the one execution.
    Replay(Answer),
    /// Refuse it; see [`execution`] for what the refusal may say.
    Refuse(Reason),
}

/// What became of a claim whose transaction was not answered, or conflicted.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum Settlement {
    /// The row is this claim; the request may be sent.
    Claimed,
    /// No row yet. The transaction may still take effect, so only the same one,
    /// with the same nonce, may be repeated; a host that gives up refuses with
    /// [`Reason::ClaimUnavailable`] and releases the row if it appears later.
    Absent,
    /// Another submission was first.
    Other(Decision),
}

/// What remains to be done to end a claim, by its host.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Ending {
    /// Write or delete the row, with a check of the revision just read.
    Write,
    /// Nothing: the row already shows the end, or belongs to another claim.
    Settled,
}

/// Decision for a request, given the row that exists for its idempotency key.
pub fn decide(existing: Option<&Record>, request: &Digest) -> Decision {
    let Some(record) = existing else {
        return Decision::Claim;
    };
    if !record.request.is_same(request) {
        return Decision::Refuse(Reason::ClaimMismatch);
    }
    match &record.state {
        State::Running { .. } => Decision::Refuse(Reason::ClaimPending),
        State::Done { answer } => Decision::Replay(answer.clone()),
        State::Unknown => Decision::Refuse(Reason::ClaimUnknown),
    }
}

/// What a refusal may say about execution. The caller asks about the request
/// that carries its idempotency key, not about one submission of it.
pub fn execution(reason: Reason) -> Execution {
    match reason {
        Reason::ClaimPending | Reason::ClaimUnknown => Execution::Unknown,
        _ => Execution::NotRun,
    }
}

/// Outcome of a claiming transaction with this nonce, from the row read after it.
pub fn settle(found: Option<&Record>, request: &Digest, nonce: &str) -> Settlement {
    match found {
        None => Settlement::Absent,
        Some(record) if record.nonce == nonce && is_running(record) => Settlement::Claimed,
        Some(record) => Settlement::Other(decide(Some(record), request)),
    }
}

/// What the host of the claim with this nonce still has to do to end it, from
/// the row read after a conflict or a lost answer. A claim that was set to
/// unknown by [`abandon`] is still its host's to end.
pub fn end(found: Option<&Record>, nonce: &str) -> Ending {
    match found {
        Some(record) if record.nonce == nonce => match record.state {
            State::Done { .. } => Ending::Settled,
            State::Running { .. } | State::Unknown => Ending::Write,
        },
        _ => Ending::Settled,
    }
}

/// The row to write, with a check of its revision, if the claim is held by a
/// run of a host that has ended. Any host that meets such a row may write it.
pub fn abandon(
    record: &Record,
    has_ended: impl FnOnce(&HostId, &Incarnation) -> bool,
) -> Option<Record> {
    match &record.state {
        State::Running { host, incarnation } if has_ended(host, incarnation) => {
            Some(record.unknown())
        }
        _ => None,
    }
}

fn is_running(record: &Record) -> bool {
    matches!(record.state, State::Running { .. })
}
