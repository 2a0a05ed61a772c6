//! Patches between versions of the configuration, and lookups in large ones.

use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::time::{Duration, Instant};

use agate_check::clock::used_time;
use agate_edge::config::{Account, Config, Kind, Limits, Patch, Route, Scale, Service, Unpatched};
use proptest::collection::{btree_map, btree_set};
use proptest::prelude::*;

/// Routes of the largest deployment today, after its configuration has grown three times.
const ROUTES_TODAY: usize = 4_249;

fn route(host: &str, prefix: &str, tier: u8) -> Route {
    Route {
        id: format!("r{prefix}"),
        host: host.to_owned(),
        prefix: prefix.to_owned(),
        kind: Kind::Idempotent,
        timeout: Duration::from_millis(1_500),
        target: Duration::from_millis(300),
        tier,
        split: vec![("floor".to_owned(), 1)],
        attempts: 2,
        open: false,
    }
}

fn service(id: &str, connections: u32) -> Service {
    Service {
        id: id.to_owned(),
        health_path: "/health".to_owned(),
        connections,
        engine: None,
        scale: None,
        cold: None,
    }
}

/// Parts of a configuration: routes by host and prefix with their tiers, services with their
/// connections, and keys with the tiers of their accounts.
type Parts = (
    BTreeMap<(bool, String), u8>,
    BTreeMap<String, u32>,
    Option<BTreeMap<String, u8>>,
);

fn parts() -> impl Strategy<Value = Parts> {
    (
        btree_map((any::<bool>(), "/([ab]/){0,4}"), 0..3_u8, 0..20),
        btree_map("[st]", 0..3_u32, 0..3),
        proptest::option::of(btree_map("k[0-9]", 0..3_u8, 0..8)),
    )
}

fn config(version: u64, (routes, services, keys): &Parts) -> Config {
    let routes = routes.iter().map(|((is_first, prefix), tier)| {
        let host = if *is_first {
            "One.example"
        } else {
            "two.example"
        };
        route(host, prefix, *tier)
    });
    let services = services.iter().map(|(id, count)| service(id, *count));
    let keys = keys.as_ref().map(|keys| {
        let account = |tier| Account {
            id: "night".to_owned(),
            tier: Some(tier),
        };
        let keys = keys.iter();
        keys.map(|(key, tier)| (key.clone(), account(*tier)))
            .collect::<HashMap<_, _>>()
    });
    Config::new(version, Limits::default(), services, keys, routes)
}

fn transfer(patch: &Patch) -> Patch {
    let text = patch.encode().expect("a patch can be encoded");
    Patch::decode(text.as_bytes()).expect("a patch can be decoded")
}

proptest! {
    /// A host that applies a patch has the very configuration that the reader read from the store.
    #[test]
    fn a_patch_makes_the_configuration_that_it_was_made_from(old in parts(), new in parts()) {
        let (old, new) = (config(1, &old), config(2, &new));
        let patch = transfer(&Patch::new(Some((7, &old)), &new));
        prop_assert_eq!(&patch.apply(Some((7, &old))).expect("it applies"), &new);
        let whole = transfer(&Patch::new(None, &new));
        prop_assert_eq!(&whole.apply(Some((9, &old))).expect("it applies"), &new);
        prop_assert_eq!(new.checksum() == old.checksum(), new == old);
    }

    /// Guards against prices that a host reads a little differently than the reader: the checksums of
    /// the two would differ, and the host would read every version from the store.
    #[test]
    fn prices_arrive_as_they_were_sent(price in 0.0..1e6_f64, zone_price in 0.0..1e-3_f64) {
        let scale = Scale {
            min: 1,
            max: 9,
            boot: Duration::from_secs(4),
            reclaimable_price: Some(price),
            zone_prices: BTreeMap::from([("a".to_owned(), zone_price)]),
        };
        let service = Service { scale: Some(scale), ..service("s", 1) };
        let config = Config::new(2, Limits::default(), [service], None, []);
        let whole = transfer(&Patch::new(None, &config));
        prop_assert_eq!(&whole.apply(None).expect("it applies"), &config);
    }

    /// A path gets the route with the longest prefix, whatever other prefixes there are.
    #[test]
    fn a_path_gets_the_route_with_the_longest_prefix(
        prefixes in btree_set("/([abc]{1,2}/){0,4}", 0..30),
        path in "/([abc]{1,2}/){0,5}[abc]?",
    ) {
        let routes = prefixes.iter().map(|prefix| route("floor.example", prefix, 0));
        let config = Config::new(1, Limits::default(), [], None, routes);
        let matching = prefixes.iter().filter(|prefix| path.starts_with(prefix.as_str()));
        let expected = matching.max_by_key(|prefix| prefix.len());
        let found = config.route("floor.example", &path);
        prop_assert_eq!(found.map(|route| &route.prefix), expected);
    }
}

/// Returns a configuration with `count` routes, as names of a deployment look.
fn grown(version: u64, count: usize) -> Config {
    let routes = (0..count).map(|n| {
        let name = agate_edge::estimate::hash(&n.to_string());
        route("floor.example", &format!("/{name:x}/"), (n % 3) as u8)
    });
    Config::new(version, Limits::default(), [], None, routes)
}

/// Guards against a change that costs as much as the whole configuration: 1,400 routes more were
/// handed on as all 2,849, and a single one as all 4,249.
#[test]
fn a_change_has_the_same_size_at_any_number_of_routes() {
    let sizes = [49, ROUTES_TODAY, 10 * ROUTES_TODAY].map(|count| {
        let (old, new) = (grown(1, count), grown(2, count + 1));
        let patch = Patch::new(Some((1, &old)), &new);
        patch.encode().expect("a patch").len()
    });
    // A heartbeat has about this size.
    assert!(sizes.iter().all(|size| *size < 1_000), "{sizes:?}");
}

/// Guards against a change whose cost on a host grows with the configuration: one route costs a small
/// part of what all of them cost.
#[test]
fn a_small_change_costs_a_small_part_of_a_whole_version() {
    let count = 10 * ROUTES_TODAY;
    let (old, new) = (grown(1, count), grown(2, count + 1));
    let time = |patch: &Patch, base: Option<(u64, &Config)>| {
        let text = patch.encode().expect("a patch");
        let times = (0..5).map(|_| {
            let started = used_time();
            let patch = Patch::decode(text.as_bytes()).expect("a patch");
            let applied = patch.apply(base).expect("it applies");
            let took = used_time() - started;
            assert_eq!(applied.route_count(), count + 1);
            took
        });
        times.min().expect("five times")
    };
    let whole = time(&Patch::new(None, &new), None);
    let change = time(&Patch::new(Some((1, &old)), &new), Some((1, &old)));
    assert!(
        change * 10 < whole,
        "{change:?} for a route, {whole:?} for all"
    );
}

/// 1,400 routes more reach 49 hosts of a zone from a reader with 20 Mbit/s, and the whole configuration
/// at ten times today's size a host with 10 Mbit/s, within the three seconds that a change may take.
#[test]
fn large_changes_fit_through_thin_links_in_time() {
    let old = grown(1, 10 * ROUTES_TODAY - 1_400);
    let new = grown(2, 10 * ROUTES_TODAY);
    let change = Patch::new(Some((1, &old)), &new).encode().expect("a patch");
    let reader_rate = 20e6 / 8.0;
    assert!(
        49.0 * change.len() as f64 / reader_rate < 3.0,
        "{}",
        change.len()
    );
    let whole = Patch::new(None, &new).encode().expect("a patch");
    let host_rate = 10e6 / 8.0;
    assert!(whole.len() as f64 / host_rate < 3.0, "{}", whole.len());
}

/// Guards against a lookup that compares a request with each route: it took a hundred times as long among
/// a hundred times the routes.
#[test]
fn lookups_do_not_slow_down_with_the_number_of_routes() {
    let time = |count: usize| {
        let config = grown(1, count);
        let paths = (0..2_000).map(|n| {
            let name = agate_edge::estimate::hash(&(n * 7 % count).to_string());
            format!("/{name:x}/2f")
        });
        let paths: Vec<String> = paths.collect();
        let times = (0..7).map(|_| {
            let started = Instant::now();
            for path in &paths {
                assert!(config.route("floor.example", path).is_some());
                assert!(config.route("floor.example", &path[..9]).is_none());
            }
            started.elapsed()
        });
        times.min().expect("seven times")
    };
    let (few, many) = (time(ROUTES_TODAY / 10), time(10 * ROUTES_TODAY));
    assert!(many < few * 10, "{few:?} among few, {many:?} among many");
}

/// A patch that is made for another version, or was changed on the way, gives no configuration.
#[test]
fn a_patch_for_another_version_is_refused() {
    let (old, new) = (grown(1, 5), grown(2, 6));
    let patch = || Patch::new(Some((7, &old)), &new);
    for base in [None, Some((6, &old))] {
        let refused = patch().apply(base);
        assert!(
            matches!(refused, Err(Unpatched::OtherBase(Some(7)))),
            "{refused:?}"
        );
    }
    // Another build may have read other contents from the same revision.
    let refused = patch().apply(Some((7, &grown(1, 4))));
    assert!(
        matches!(refused, Err(Unpatched::Checksum { .. })),
        "{refused:?}"
    );
}

/// No bytes of another host take the process down.
#[test]
fn malformed_patches_are_refused() {
    let good = Patch::new(None, &grown(1, 20)).encode().expect("a patch");
    let good = good.as_bytes();
    let cut = (0..good.len()).step_by(7).map(|end| good[..end].to_vec());
    let changed = (0..good.len()).step_by(5).map(|index| {
        let mut bytes = good.to_vec();
        bytes[index] ^= 1;
        bytes
    });
    let refused: BTreeSet<bool> = cut
        .chain(changed)
        .map(|bytes| {
            Patch::decode(&bytes)
                .and_then(|patch| patch.apply(None))
                .is_err()
        })
        .collect();
    assert_eq!(refused, BTreeSet::from([true]));
}
