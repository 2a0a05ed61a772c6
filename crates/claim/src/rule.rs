//! Decisions of a host, given the claim's row that it finds.

use agate_model::id::{HostId, Incarnation};
use agate_model::key::Digest;
use agate_model::refusal::{Execution, Reason};

use crate::record::{Record, Response, State};

/// What a host does with a request that arrives.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum Decision {
    /// Claim the request in a transaction that checks that the row is absent.
    Claim,
    /// Return this response, which the one execution gave.
    Replay(Response),
    /// Refuse the request for this reason; [`execution`] gives what the refusal may say of its
    /// execution.
    Refuse(Reason),
}

/// Outcome of a claim whose transaction got no response or conflicted.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum Settlement {
    /// The row holds this claim, so the request may be sent.
    Claimed,
    /// There is no row yet. The transaction may still take effect, so only the same one,
    /// with the same nonce, may be retried; a host that gives up refuses with
    /// [`Reason::ClaimUnavailable`] and deletes the row if it appears later.
    Absent,
    /// The row holds another submission's claim, or this claim after it ended; this decision
    /// follows from it.
    Other(Decision),
}

/// What the host of a claim still has to do to end it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Ending {
    /// Write or delete the row in a transaction that checks the revision just read.
    Write,
    /// Nothing: the row already shows the end, or belongs to another claim.
    Settled,
}

/// Decides what happens to a request, given the claim recorded for its idempotency key (`None` if
/// there is no row).
pub fn decide(existing: Option<&Record>, request: &Digest) -> Decision {
    let Some(record) = existing else {
        return Decision::Claim;
    };
    if !record.request.is_same(request) {
        return Decision::Refuse(Reason::ClaimMismatch);
    }
    match &record.state {
        State::Running { .. } => Decision::Refuse(Reason::ClaimPending),
        State::Done { response } => Decision::Replay(response.clone()),
        State::Unknown => Decision::Refuse(Reason::ClaimUnknown),
    }
}

/// Returns what a refusal for `reason` may say about execution. It concerns the request that
/// carries the idempotency key, not one submission of it.
pub fn execution(reason: Reason) -> Execution {
    match reason {
        Reason::ClaimPending | Reason::ClaimUnknown => Execution::Unknown,
        _ => Execution::NotRun,
    }
}

/// Resolves a claiming transaction with this nonce, from the claim read afterwards (`None` if there
/// is no row).
pub fn settle(found: Option<&Record>, request: &Digest, nonce: &str) -> Settlement {
    match found {
        None => Settlement::Absent,
        Some(record) if record.nonce == nonce && is_running(record) => Settlement::Claimed,
        Some(record) => Settlement::Other(decide(Some(record), request)),
    }
}

/// Returns what the host of the claim with this nonce still has to do to end it, from the claim
/// read after a conflict or a lost response (`None` if there is no row). A claim that [`abandon`]
/// set to unknown is still ended by its own host.
pub fn end(found: Option<&Record>, nonce: &str) -> Ending {
    match found {
        Some(record) if record.nonce == nonce => match record.state {
            State::Done { .. } => Ending::Settled,
            State::Running { .. } | State::Unknown => Ending::Write,
        },
        _ => Ending::Settled,
    }
}

/// Returns the claim to write, with a check of the row's revision, if the claim is held by a
/// process incarnation that has ended. Any host that reads such a row may write it.
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
