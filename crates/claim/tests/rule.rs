//! Decisions for single rows, and keys and expiry of claims.

use std::time::{Duration, SystemTime};

use agate_claim::digest::{request, row_key};
use agate_claim::record::{MAX_RESPONSE_BYTES, RETENTION_SECONDS};
use agate_claim::{
    Decision, Ending, Record, Response, Settlement, State, abandon, decide, end, execution, settle,
};
use agate_model::refusal::{Execution, Reason};
use rstest::rstest;

fn running(nonce: &str) -> Record {
    Record::running(
        request("POST", "/bids", b"10"),
        nonce.to_owned(),
        SystemTime::UNIX_EPOCH,
        "host-1".to_owned(),
        "incarnation-1".to_owned(),
    )
}

fn response(bytes: usize) -> Response {
    Response {
        status: 201,
        headers: Vec::new(),
        body: vec![0; bytes],
    }
}

#[rstest]
#[case(None, Decision::Claim)]
#[case(Some(running("a")), Decision::Refuse(Reason::ClaimPending))]
#[case(Some(running("a").unknown()), Decision::Refuse(Reason::ClaimUnknown))]
#[case(Some(running("a").done(response(1))), Decision::Replay(response(1)))]
fn same_request_follows_the_state_of_its_claim(
    #[case] found: Option<Record>,
    #[case] expected: Decision,
) {
    let digest = request("POST", "/bids", b"10");
    assert_eq!(decide(found.as_ref(), &digest), expected);
}

#[rstest]
#[case(running("a"))]
#[case(running("a").unknown())]
#[case(running("a").done(response(1)))]
fn another_request_is_refused_and_not_run(#[case] found: Record) {
    let digest = request("POST", "/bids", b"11");
    let decision = decide(Some(&found), &digest);
    assert_eq!(decision, Decision::Refuse(Reason::ClaimMismatch));
    assert_eq!(execution(Reason::ClaimMismatch), Execution::NotRun);
}

#[rstest]
#[case(None, Settlement::Absent)]
#[case(Some(running("a")), Settlement::Claimed)]
#[case(
    Some(running("b")),
    Settlement::Other(Decision::Refuse(Reason::ClaimPending))
)]
#[case(Some(running("a").unknown()), Settlement::Other(Decision::Refuse(Reason::ClaimUnknown)))]
fn lost_response_to_a_claim_is_settled_by_the_row(
    #[case] found: Option<Record>,
    #[case] expected: Settlement,
) {
    let digest = request("POST", "/bids", b"10");
    assert_eq!(settle(found.as_ref(), &digest, "a"), expected);
}

#[rstest]
#[case(None, Ending::Settled)]
#[case(Some(running("a")), Ending::Write)]
#[case(Some(running("a").unknown()), Ending::Write)]
#[case(Some(running("a").done(response(1))), Ending::Settled)]
#[case(Some(running("b").unknown()), Ending::Settled)]
fn lost_response_to_an_end_is_settled_by_the_row(
    #[case] found: Option<Record>,
    #[case] expected: Ending,
) {
    assert_eq!(end(found.as_ref(), "a"), expected);
}

#[test]
fn only_a_running_claim_of_an_ended_incarnation_is_abandoned() {
    assert_eq!(abandon(&running("a"), |_, _| false), None);
    let unknown = abandon(&running("a"), |host, incarnation| {
        (host.as_str(), incarnation.as_str()) == ("host-1", "incarnation-1")
    });
    assert_eq!(unknown, Some(running("a").unknown()));
    assert_eq!(abandon(&running("a").done(response(1)), |_, _| true), None);
}

#[test]
fn response_that_is_too_large_is_not_kept() {
    assert!(matches!(
        running("a").done(response(MAX_RESPONSE_BYTES)).state,
        State::Done { .. }
    ));
    assert_eq!(
        running("a").done(response(MAX_RESPONSE_BYTES + 1)).state,
        State::Unknown
    );
}

#[test]
fn only_ended_claims_expire() {
    let expiry = SystemTime::UNIX_EPOCH + Duration::from_secs(RETENTION_SECONDS);
    assert!(running("a").unknown().is_expired(expiry));
    assert!(
        !running("a")
            .unknown()
            .is_expired(expiry - Duration::from_secs(1))
    );
    assert!(!running("a").is_expired(expiry));
}

#[test]
fn keys_differ_by_account_and_digests_by_the_parts_of_the_request() {
    assert_ne!(row_key("a", "k"), row_key("b", "k"));
    assert_ne!(request("POST", "/a", b"b"), request("POST", "/ab", b""));
}
