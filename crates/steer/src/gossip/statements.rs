//! Statements about versions, from and to answers.

use std::time::Duration;

use agate_conf::witness::Witness;
use agate_member::frame::{self, Frame, Response, Statement};
use tokio::time::Instant;

use crate::config::copy::Copy;

/// What this host can state about versions.
pub fn answer(copy: &Copy, own: &Witness) -> Response {
    let version = copy.version();
    let sets = copy.sets();
    let mut answer = Response {
        store: copy.store_proof().and_then(|it| {
            let age_ms = frame::age_ms(it.age)?;
            Some(Statement {
                version: it.version,
                age_ms,
            })
        }),
        proof_age_ms: copy.proof_age().and_then(frame::age_ms),
        ..Response::default()
    };
    let Some((since, set)) = sets.sets().last() else {
        return answer;
    };
    answer.set_since = *since;
    let attested = copy.attestations();
    let ages = set.members.iter().zip(attested).map(|(member, known)| {
        if member == own {
            return frame::encode_age(Some(Duration::ZERO));
        }
        let usable = known.filter(|it| it.version <= version);
        frame::encode_age(usable.map(|it| it.age))
    });
    answer.attestations = ages.collect();
    answer
}

/// Takes the statements of an answer to a question that was sent at `sent`.
pub fn take(copy: &Copy, frame: &Frame, sent: Instant) {
    copy.hear_of(frame.version);
    copy.accept(frame.accepted);
    let Some(answer) = &frame.response else {
        return;
    };
    if let Some(store) = answer.store {
        let age = Duration::from_millis(u64::from(store.age_ms));
        if let Some(at) = sent.checked_sub(age) {
            copy.observe(store.version, at);
        }
    }
    let sets = copy.sets();
    let named = sets
        .sets()
        .iter()
        .find(|(since, _)| *since == answer.set_since);
    let Some((_, set)) = named else {
        return;
    };
    for (member, age) in set.members.iter().zip(&answer.attestations) {
        let at = frame::decode_age(*age).and_then(|age| sent.checked_sub(age));
        if let Some(at) = at {
            copy.attest(member.clone(), frame.version, at);
        }
    }
}

/// Age of the sender's own proof.
pub fn proof_age(frame: &Frame) -> Option<Duration> {
    let age = frame.response.as_ref()?.proof_age_ms?;
    Some(Duration::from_millis(u64::from(age)))
}
