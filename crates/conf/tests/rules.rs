//! Single cases of witness sets, evidence and acceptance.

use std::time::{Duration, Instant};

use agate_conf::acceptance::{Standing, is_accepted};
use agate_conf::freshness::{Evidence, Statement, age};
use agate_conf::witness::{History, Set, WITNESS_LIMIT, Witness};
use rstest::rstest;

fn witness(host: usize, incarnation: &str, zone: &str) -> Witness {
    Witness {
        host: format!("host-{host:02}"),
        incarnation: incarnation.to_owned(),
        zone: zone.to_owned(),
        gossip: format!("10.0.0.{host}:1")
            .parse()
            .expect("host numbers below 256 form an address"),
    }
}

fn set(count: usize, incarnation: &str, zone: &str) -> Set {
    let members = (0..count).map(|host| witness(host, incarnation, zone));
    Set {
        members: members.collect(),
    }
}

fn ms(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

fn statement(version: u64, age_ms: u64) -> Option<Statement> {
    Some(Statement {
        version,
        age: ms(age_ms),
    })
}

#[rstest]
#[case::no_proof(None, vec![], None)]
#[case::store(statement(5, 70), vec![], Some(70))]
#[case::store_of_older_head(statement(4, 70), vec![], Some(70))]
#[case::store_of_newer_head(statement(6, 70), vec![], None)]
#[case::majority(None, vec![statement(5, 10), statement(4, 30), None], Some(30))]
#[case::youngest_majority(None, vec![statement(5, 10), statement(5, 90), statement(5, 30)], Some(30))]
#[case::newer_witness(None, vec![statement(5, 10), statement(6, 10), None], None)]
#[case::no_majority(None, vec![statement(5, 10), None, None, None], None)]
#[case::half(None, vec![statement(5, 1), statement(5, 1), None, None], None)]
#[case::both(statement(5, 70), vec![statement(5, 90)], Some(70))]
fn age_is_that_of_the_newest_proof(
    #[case] store: Option<Statement>,
    #[case] attestations: Vec<Option<Statement>>,
    #[case] expected_ms: Option<u64>,
) {
    assert_eq!(age(5, store, &attestations), expected_ms.map(ms));
}

#[test]
fn evidence_for_an_older_version_outlives_a_newer_head() {
    let start = Instant::now();
    let mut evidence = Evidence::default();
    let sets = History::default();
    evidence.observe(5, start);
    evidence.observe(6, start + ms(100));
    let now = start + ms(200);
    assert_eq!(evidence.age(5, &sets, now), Some(ms(200)));
    assert_eq!(evidence.age(6, &sets, now), Some(ms(100)));
    evidence.observe(5, start + ms(50));
    assert_eq!(evidence.age(5, &sets, now), Some(ms(150)));
}

#[test]
fn statement_that_arrives_late_does_not_replace_a_newer_one() {
    let start = Instant::now();
    let mut evidence = Evidence::default();
    let member = witness(0, "a", "z");
    let sets = History::new(vec![(
        1,
        Set {
            members: vec![member.clone()],
        },
    )]);
    evidence.attest(member.clone(), 2, start + ms(100));
    evidence.attest(member, 1, start);
    assert_eq!(evidence.age(1, &sets, start + ms(150)), None);
    assert_eq!(evidence.age(2, &sets, start + ms(150)), Some(ms(50)));
}

#[test]
fn acceptance_needs_a_majority_of_every_older_set() {
    let old = set(3, "a", "z");
    let new = Set {
        members: (2..5).map(|host| witness(host, "a", "z")).collect(),
    };
    let sets = History::new(vec![(1, old), (2, new)]);
    let taken_up_by = |hosts: &[usize]| {
        let names: Vec<String> = hosts.iter().map(|host| format!("host-{host:02}")).collect();
        move |witness: &Witness| {
            if names.contains(&witness.host) {
                Standing::Has(3)
            } else {
                Standing::Unknown
            }
        }
    };
    assert!(!is_accepted(3, &sets, &taken_up_by(&[3, 4])));
    assert!(!is_accepted(3, &sets, &taken_up_by(&[0, 1])));
    assert!(is_accepted(3, &sets, &taken_up_by(&[1, 2, 3])));
    assert!(is_accepted(2, &sets, &taken_up_by(&[0, 1])));
}

#[test]
fn incarnation_replaced_at_its_address_has_ended() {
    let mut sets = History::new(vec![(1, set(3, "a", "z"))]);
    let unknown = |_: &Witness| Standing::Unknown;
    let second = sets
        .newest()
        .and_then(|set| set.joined(&witness(0, "b", "z")));
    sets.push(2, second.expect("the incarnation is new"));
    assert!(!is_accepted(3, &sets, &unknown));
    let third = sets
        .newest()
        .and_then(|set| set.joined(&witness(1, "b", "z")));
    sets.push(3, third.expect("the incarnation is new"));
    assert!(is_accepted(2, &sets, &unknown));
    let mut moved = witness(2, "b", "z");
    moved.gossip = "10.0.9.9:1".parse().expect("the address is valid");
    let old = witness(2, "a", "z");
    let fourth = sets.newest().and_then(|set| set.joined(&moved));
    sets.push(4, fourth.expect("the incarnation is new"));
    assert!(!sets.is_superseded(&old));
}

#[test]
fn declared_end_counts_until_its_set_is_dropped() {
    let mut sets = History::new(vec![(1, set(3, "a", "z")), (2, set(3, "b", "z"))]);
    let unknown = |_: &Witness| Standing::Unknown;
    sets.end(witness(0, "a", "z"));
    assert!(sets.has_ended(&witness(0, "a", "z")) && !sets.has_ended(&witness(1, "c", "z")));
    sets.end(witness(1, "b", "z"));
    assert!(is_accepted(2, &sets, &unknown));
    sets.prune(2);
    assert_eq!(sets.ended(), [witness(1, "b", "z")]);
}

#[test]
fn full_set_takes_members_of_less_represented_zones_only() {
    let full = set(WITNESS_LIMIT, "a", "zone-a");
    assert_eq!(full.joined(&witness(50, "a", "zone-a")), None);
    let joined = full
        .joined(&witness(51, "a", "zone-b"))
        .expect("zone-b is less represented");
    assert_eq!(joined.members.len(), WITNESS_LIMIT);
    assert!(joined.position("host-51", "a").is_some());
    assert_eq!(joined.joined(&witness(51, "a", "zone-b")), None);
    let replaced = joined
        .joined(&witness(51, "b", "zone-b"))
        .expect("the incarnation is new");
    assert!(replaced.position("host-51", "a").is_none());
    assert_eq!(
        replaced.without("host-51").map(|set| set.members.len()),
        Some(WITNESS_LIMIT - 1)
    );
}

#[test]
fn pruning_at_an_accepted_version_drops_older_sets() {
    let mut sets = History::new(vec![
        (1, set(1, "a", "z")),
        (3, set(2, "a", "z")),
        (7, set(3, "a", "z")),
    ]);
    sets.prune(6);
    assert_eq!(sets.at(2), None);
    assert_eq!(sets.at(6).map(|set| set.members.len()), Some(2));
    sets.prune(7);
    assert_eq!(sets.sets().len(), 1);
}
