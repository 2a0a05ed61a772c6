//! Which endpoints may get requests after which notices.

use std::collections::HashMap;
use std::time::{Duration, Instant};

use agate_check::runner;
use agate_notice::retry_after::{Malformed, parse};
use agate_notice::{MAX_PAUSE, Notices};
use proptest::prelude::*;
use rstest::rstest;

/// Id and birth of an endpoint.
type Key = (u8, u8);

fn seconds(seconds: f64) -> Duration {
    Duration::from_secs_f64(seconds)
}

#[test]
fn a_leaving_incarnation_stays_closed_and_the_next_one_is_open() {
    let mut notices = Notices::<Key>::default();
    let start = Instant::now();
    assert!(notices.leave(start, &(1, 0)), "news");
    assert!(!notices.leave(start, &(1, 0)), "no news");
    let later = start + MAX_PAUSE * 10;
    assert!(!notices.is_open(later, &(1, 0)) && notices.is_leaving(&(1, 0)));
    assert!(notices.is_open(start, &(1, 1)) && notices.is_open(start, &(2, 0)));
    // A pause does not bring it back.
    notices.pause(start, &(1, 0), seconds(1.0));
    assert!(!notices.is_open(later, &(1, 0)));
    assert_eq!(notices.paused_until(start, &(1, 0)), None);
}

#[test]
fn a_pause_ends_with_its_time_and_a_shorter_one_ends_no_longer_one() {
    let mut notices = Notices::<Key>::default();
    let start = Instant::now();
    let end = start + seconds(4.0);
    assert_eq!(notices.pause(start, &(1, 0), seconds(4.0)), Some(end));
    assert_eq!(notices.pause(start, &(1, 0), seconds(1.0)), None);
    assert!(!notices.is_open(end - Duration::from_millis(1), &(1, 0)));
    assert!(notices.is_open(end, &(1, 0)));
    assert_eq!(notices.pause(end, &(1, 0), Duration::ZERO), None);
    let longest = notices.pause(end, &(1, 0), Duration::MAX);
    assert_eq!(longest, Some(end + MAX_PAUSE));
}

#[rstest]
#[case::whole("3", Ok(3.0))]
#[case::fraction("0.25", Ok(0.25))]
#[case::spaces(" 2 ", Ok(2.0))]
#[case::zero("0", Ok(0.0))]
#[case::a_day("86400", Ok(86400.0))]
#[case::a_year("31536000", Ok(86400.0))]
#[case::huge("1e300", Ok(86400.0))]
#[case::negative("-1", Err(Malformed::Range))]
#[case::infinite("inf", Err(Malformed::Range))]
#[case::no_number("NaN", Err(Malformed::Range))]
#[case::text("soon", Err(Malformed::Syntax))]
#[case::empty("", Err(Malformed::Syntax))]
#[case::list("1, 2", Err(Malformed::Syntax))]
#[case::date("Sun, 06 Nov 1994 08:49:47 GMT", Ok(10.0))]
#[case::past("Sun, 06 Nov 1994 08:49:07 GMT", Ok(0.0))]
fn a_value_is_read(#[case] value: &str, #[case] expected: Result<f64, Malformed>) {
    let date = Some("Sun, 06 Nov 1994 08:49:37 GMT");
    assert_eq!(parse(value, date), expected.map(seconds));
}

// Guards against: the time of day of this host decides how long an endpoint is left alone.
#[test]
fn a_date_counts_only_against_the_date_of_its_response() {
    let value = "Sun, 06 Nov 1994 08:49:47 GMT";
    assert_eq!(parse(value, None), Err(Malformed::Undated));
    assert_eq!(parse(value, Some("yesterday")), Err(Malformed::Undated));
}

#[test]
fn notices_are_bounded_and_the_newest_are_kept() {
    let mut notices = Notices::<u32>::default();
    let start = Instant::now();
    for key in 0..50_000 {
        notices.leave(start + Duration::from_millis(u64::from(key)), &key);
    }
    assert!(notices.len() <= 8_192, "{}", notices.len());
    assert!(!notices.is_open(start, &49_999) && !notices.is_open(start, &47_000));
}

/// What happens to one endpoint.
#[derive(Clone, Debug)]
enum Event {
    Leave(Key),
    Pause(Key, u16),
    /// The host restarts and knows nothing.
    Restart,
    /// Time passes without any work, as on a frozen host.
    Wait(u16),
    Choose(Key),
}

fn event() -> impl Strategy<Value = Event> {
    let key = || (0..3u8, 0..2u8);
    prop_oneof![
        1 => key().prop_map(Event::Leave),
        4 => (key(), 0..5_000u16).prop_map(|(key, millis)| Event::Pause(key, millis)),
        1 => Just(Event::Restart),
        4 => (0..3_000u16).prop_map(Event::Wait),
        10 => key().prop_map(Event::Choose),
    ]
}

#[test]
fn no_request_goes_to_an_endpoint_that_leaves_or_is_paused() {
    runner(500)
        .run(&proptest::collection::vec(event(), 1..200), |events| {
            let mut notices = Notices::<Key>::default();
            let mut now = Instant::now();
            // End of the pause of each incarnation, and whether it leaves.
            let mut expected: HashMap<Key, (Instant, bool)> = HashMap::new();
            for event in events {
                match event {
                    Event::Leave(key) => {
                        notices.leave(now, &key);
                        expected.entry(key).or_insert((now, false)).1 = true;
                    }
                    Event::Pause(key, millis) => {
                        let wait = Duration::from_millis(u64::from(millis));
                        notices.pause(now, &key, wait);
                        let known = expected.entry(key).or_insert((now, false));
                        known.0 = known.0.max(now + wait);
                    }
                    Event::Restart => {
                        notices = Notices::default();
                        expected.clear();
                    }
                    Event::Wait(millis) => now += Duration::from_millis(u64::from(millis)),
                    Event::Choose(key) => {
                        let (until, is_leaving) =
                            expected.get(&key).copied().unwrap_or((now, false));
                        let is_open = !is_leaving && until <= now;
                        prop_assert_eq!(notices.is_open(now, &key), is_open);
                    }
                }
            }
            Ok(())
        })
        .expect("both rules hold");
}
