//! Requests and responses that are sealed with a cluster key.

use std::time::{Duration, SystemTime};

use agate_member::seal::{self, CLOCK_SKEW, Refusal, Sealed};
use agate_member::secret::Secret;
use rstest::rstest;

fn secret(digit: char) -> Secret {
    Secret::from_hex(&digit.to_string().repeat(64)).expect("a cluster key")
}

fn now() -> SystemTime {
    SystemTime::UNIX_EPOCH + Duration::from_secs(1_700_000_000)
}

fn sealed() -> Sealed {
    seal::request(&secret('a'), "m", "host-1", now(), "{}".to_owned())
}

#[rstest]
#[case::unchanged(|_: &mut Sealed| {}, Ok("{}"))]
#[case::body(|request: &mut Sealed| request.body.push(' '), Err(Refusal::Code))]
#[case::sender(|request: &mut Sealed| request.sender = "host-2".to_owned(), Err(Refusal::Code))]
#[case::nonce(|request: &mut Sealed| request.nonce.clear(), Err(Refusal::Code))]
#[case::time(|request: &mut Sealed| request.time_ms += 1, Err(Refusal::Code))]
#[case::truncated(|request: &mut Sealed| request.code.truncate(2), Err(Refusal::Code))]
#[case::empty(|request: &mut Sealed| request.code.clear(), Err(Refusal::Code))]
fn changed_request_is_refused(
    #[case] change: fn(&mut Sealed),
    #[case] expected: Result<&str, Refusal>,
) {
    let mut request = sealed();
    change(&mut request);
    let opened = seal::open_request(&secret('a'), "m", &request, now());
    assert_eq!(opened, expected);
}

#[test]
fn other_key_other_method_and_late_request_are_refused() {
    let request = sealed();
    let opened = seal::open_request(&secret('b'), "m", &request, now());
    assert_eq!(opened, Err(Refusal::Code));
    let opened = seal::open_request(&secret('a'), "other", &request, now());
    assert_eq!(opened, Err(Refusal::Code));
    let late = now() + CLOCK_SKEW + Duration::from_millis(1);
    let opened = seal::open_request(&secret('a'), "m", &request, late);
    assert_eq!(opened, Err(Refusal::Time));
}

#[test]
fn response_opens_only_for_its_request() {
    let (first, second) = (sealed(), sealed());
    let response = seal::response(&secret('a'), "m", &first, "host-2", now(), "1".to_owned());
    assert_eq!(
        seal::open_response(&secret('a'), "m", &first, &response),
        Ok("1")
    );
    let other = seal::open_response(&secret('a'), "m", &second, &response);
    assert_eq!(other, Err(Refusal::Nonce));
    let request_as_response = seal::open_response(&secret('a'), "m", &first, &first);
    assert_eq!(request_as_response, Err(Refusal::Code));
}
