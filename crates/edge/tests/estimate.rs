//! Hashes that decide which endpoint holds a prompt.

use agate_edge::estimate::{hash, hash_pair};

/// Hosts of two builds must agree on the endpoint of a prompt during a rolling upgrade, so these
/// values never change.
#[test]
fn hashes_are_the_same_in_all_builds() {
    assert_eq!(hash(""), 0x2d06_8005_38d3_94c2);
    assert_eq!(hash("5c1e07a2"), 0xba82_743b_1896_2ce7);
    assert_eq!(hash_pair(7, "i-7f3a91c2"), 0x0fcf_1788_8245_1d49);
}
