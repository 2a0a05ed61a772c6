//! Sealed calls.

use std::time::{Duration, SystemTime};

use agate_member::secret::Secret;
use agate_member::token::{self, CLOCK_SKEW, Refusal, Sealed};
use rstest::rstest;

fn secret(digit: char) -> Secret {
    Secret::from_hex(&digit.to_string().repeat(64)).expect("a cluster key")
}

fn now() -> SystemTime {
    SystemTime::UNIX_EPOCH + Duration::from_secs(1_700_000_000)
}

fn sealed() -> Sealed {
    token::request(&secret('a'), "m", "host-1", now(), "{}".to_owned())
}

#[rstest]
#[case::whole(|_: &mut Sealed| {}, Ok("{}"))]
#[case::body(|it: &mut Sealed| it.body.push(' '), Err(Refusal::Code))]
#[case::sender(|it: &mut Sealed| it.sender = "host-2".to_owned(), Err(Refusal::Code))]
#[case::nonce(|it: &mut Sealed| it.nonce.clear(), Err(Refusal::Code))]
#[case::time(|it: &mut Sealed| it.time_ms += 1, Err(Refusal::Code))]
#[case::truncated(|it: &mut Sealed| it.code.truncate(2), Err(Refusal::Code))]
#[case::empty(|it: &mut Sealed| it.code.clear(), Err(Refusal::Code))]
fn a_changed_request_is_refused(
    #[case] change: fn(&mut Sealed),
    #[case] expected: Result<&str, Refusal>,
) {
    let mut request = sealed();
    change(&mut request);
    let opened = token::open_request(&secret('a'), "m", &request, now());
    assert_eq!(opened, expected);
}

#[test]
fn a_stranger_is_refused() {
    let request = sealed();
    let opened = token::open_request(&secret('b'), "m", &request, now());
    assert_eq!(opened, Err(Refusal::Code));
    let opened = token::open_request(&secret('a'), "other", &request, now());
    assert_eq!(opened, Err(Refusal::Code));
    let late = now() + CLOCK_SKEW + Duration::from_millis(1);
    let opened = token::open_request(&secret('a'), "m", &request, late);
    assert_eq!(opened, Err(Refusal::Time));
}

#[test]
fn an_answer_belongs_to_one_request() {
    let (first, second) = (sealed(), sealed());
    let answer = token::answer(&secret('a'), "m", &first, "host-2", now(), "1".to_owned());
    assert_eq!(
        token::open_answer(&secret('a'), "m", &first, &answer),
        Ok("1")
    );
    let other = token::open_answer(&secret('a'), "m", &second, &answer);
    assert_eq!(other, Err(Refusal::Nonce));
    let request_as_answer = token::open_answer(&secret('a'), "m", &first, &first);
    assert_eq!(request_as_answer, Err(Refusal::Code));
}
