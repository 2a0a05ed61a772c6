//! Statements about configuration versions, in gossip responses.

use std::time::Duration;

use agate_conf::witness::Witness;
use agate_member::frame::{self, Frame, Response, Statement};
use tokio::time::Instant;

use crate::config::copy::Copy;

/// Returns a response with what this host can state: its newest store proof, the age of its own
/// proof, and the newest attestation of each member of the newest witness set.
///
/// An attestation of a version above this copy's is left out, as the receiver takes all of them as
/// attestations of this copy's version.
pub fn response(copy: &Copy, own: &Witness) -> Response {
    let version = copy.version();
    let sets = copy.sets();
    let mut response = Response {
        store: copy.store_proof().and_then(|proof| {
            let age_ms = frame::age_ms(proof.age)?;
            Some(Statement {
                version: proof.version,
                age_ms,
            })
        }),
        proof_age_ms: copy.proof_age().and_then(frame::age_ms),
        ..Response::default()
    };
    let Some((since, set)) = sets.sets().last() else {
        return response;
    };
    response.set_since = *since;
    let attested = copy.attestations();
    let ages = set
        .members
        .iter()
        .zip(attested)
        .map(|(member, attestation)| {
            if member == own {
                return frame::encode_age(Some(Duration::ZERO));
            }
            let usable = attestation.filter(|statement| statement.version <= version);
            frame::encode_age(usable.map(|statement| statement.age))
        });
    response.attestations = ages.collect();
    response
}

/// Applies the statements of a response to a request that was sent at `sent`. Ages are counted back
/// from `sent`, so that no statement seems younger than it is. Attestations are skipped if the
/// response's witness set isn't known here.
pub fn apply(copy: &Copy, frame: &Frame, sent: Instant) {
    copy.note_version(frame.version);
    copy.accept(frame.accepted);
    let Some(response) = &frame.response else {
        return;
    };
    if let Some(store) = response.store {
        let age = Duration::from_millis(u64::from(store.age_ms));
        if let Some(at) = sent.checked_sub(age) {
            copy.observe(store.version, at);
        }
    }
    let sets = copy.sets();
    let known_set = sets
        .sets()
        .iter()
        .find(|(since, _)| *since == response.set_since);
    let Some((_, set)) = known_set else {
        return;
    };
    for (member, age) in set.members.iter().zip(&response.attestations) {
        let at = frame::decode_age(*age).and_then(|age| sent.checked_sub(age));
        if let Some(at) = at {
            copy.attest(member.clone(), frame.version, at);
        }
    }
}

/// Returns the age of the sender's own proof; `None` for a request and for a sender without a
/// proof.
pub fn proof_age(frame: &Frame) -> Option<Duration> {
    let age = frame.response.as_ref()?.proof_age_ms?;
    Some(Duration::from_millis(u64::from(age)))
}
