//! Choice of the hosts to which a caller is sent.

use std::net::SocketAddr;

use agate_edge::directory::nearest;
use rstest::rstest;

fn address(port: u16) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], port))
}

/// `counts` are the numbers of hosts in three zones, `expected` the number of hosts to which a
/// caller in zone "a" is sent.
#[rstest]
#[case::even([4, 4, 4], 4)]
#[case::a_few_less([3, 4, 4], 3)]
#[case::half_of_them_gone([2, 5, 5], 12)]
#[case::one_left([1, 1, 1], 3)]
#[case::none_left([0, 4, 4], 8)]
fn callers_stay_in_their_zone_while_it_has_enough_hosts(
    #[case] counts: [u16; 3],
    #[case] expected: usize,
) {
    let zones = ["a", "b", "c"].map(str::to_owned);
    let mut candidates = Vec::new();
    for (zone, count) in zones.iter().zip(counts) {
        candidates.extend((0..count).map(|port| (zone, address(100 + port))));
    }
    assert_eq!(nearest(&candidates, Some(&zones[0])).len(), expected);
    assert_eq!(nearest(&candidates, None).len(), candidates.len());
    let unknown = "d".to_owned();
    assert_eq!(nearest(&candidates, Some(&unknown)).len(), candidates.len());
}
