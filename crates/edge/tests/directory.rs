//! Which hosts a caller is sent to.

use std::net::SocketAddr;

use agate_edge::directory::nearest;
use rstest::rstest;

fn address(n: u16) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], n))
}

/// Hosts of three zones, as many as given, and how many of them a caller of zone "a" is sent to.
#[rstest]
#[case::even([4, 4, 4], 4)]
#[case::a_few_less([3, 4, 4], 3)]
#[case::half_of_them_gone([2, 5, 5], 12)]
#[case::one_left([1, 1, 1], 3)]
#[case::none_left([0, 4, 4], 8)]
fn callers_stay_in_their_zone_while_it_has_hosts_enough(
    #[case] counts: [u16; 3],
    #[case] expected: usize,
) {
    let zones = ["a", "b", "c"].map(str::to_owned);
    let mut named = Vec::new();
    for (zone, count) in zones.iter().zip(counts) {
        named.extend((0..count).map(|n| (zone, address(100 + n))));
    }
    assert_eq!(nearest(&named, Some(&zones[0])).len(), expected);
    assert_eq!(nearest(&named, None).len(), named.len());
    let unknown = "d".to_owned();
    assert_eq!(nearest(&named, Some(&unknown)).len(), named.len());
}
