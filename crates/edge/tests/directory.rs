//! Choice of the hosts to which a caller is sent.

use std::net::SocketAddr;

use agate_edge::directory::{in_proportion, nearest};
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

// Load: uneven hosts. Callers choose a named host at random; named alike, a host with a quarter of the processor
// of another one gets as many callers.
#[test]
fn callers_are_sent_to_hosts_in_proportion_to_their_weight() {
    let weight = |port: u16| if port.is_multiple_of(2) { 0.48 } else { 0.12 };
    let hosts: Vec<_> = (0..12).map(|port| (address(port), weight(port))).collect();
    let mut shares = [0.0; 12];
    for directory in 0..400 {
        let named = in_proportion(hosts.clone(), &format!("host-{directory}"));
        assert!(named.len() >= 6, "{named:?}");
        for address in &named {
            shares[usize::from(address.port())] += 1.0 / named.len() as f64;
        }
    }
    let (small, large): (Vec<f64>, Vec<f64>) = (0..6)
        .map(|pair| (shares[2 * pair + 1], shares[2 * pair]))
        .unzip();
    let ratio = large.iter().sum::<f64>() / small.iter().sum::<f64>();
    assert!((3.0..5.0).contains(&ratio), "{ratio}");
    let least = small.iter().copied().fold(f64::INFINITY, f64::min);
    assert!(least > 0.0, "no host is left out");
}

// Load: all heavy hosts but one are lost.
#[test]
fn an_answer_names_enough_hosts_to_survive_the_loss_of_some() {
    let hosts: Vec<_> = (0..12)
        .map(|port| (address(port), if port == 0 { 8.0 } else { 0.1 }))
        .collect();
    for directory in 0..50 {
        let host = format!("host-{directory}");
        let named = in_proportion(hosts.clone(), &host);
        assert!(named.len() >= 6 && named.contains(&address(0)));
        assert_eq!(named, in_proportion(hosts.clone(), &host));
        assert_eq!(in_proportion(hosts[..3].to_vec(), &host).len(), 3);
    }
}
