//! Urgency of requests by account and route.

use std::time::Duration;

use agate_edge::config::{Account, Config, Kind, Limits, Route};

fn route(id: &str, tier: u8) -> Route {
    Route {
        id: id.to_owned(),
        host: "floor.example".to_owned(),
        prefix: format!("/{id}/"),
        kind: Kind::Idempotent,
        timeout: Duration::from_secs(1),
        target: Duration::from_secs(1),
        tier,
        split: vec![("floor".to_owned(), 1)],
        attempts: 1,
        open: false,
    }
}

fn config() -> Config {
    let limits = Limits {
        head_bytes: 1024,
        body_bytes: 1024,
        head_timeout: Duration::from_secs(1),
        idle_timeout: Duration::from_secs(1),
    };
    let routes = [route("question", 0), route("note", 1), route("dossier", 2)];
    Config::new(1, limits, [], None, routes)
}

fn account(tier: Option<u8>) -> Account {
    Account {
        id: "night".to_owned(),
        tier,
    }
}

/// Guards against an account's tier that replaces the route's. All accounts of both deployments
/// have the same tier, so engines preempted notes while dossiers continued to run.
#[test]
fn route_tier_orders_accounts_of_the_same_tier() {
    let config = config();
    let night = account(Some(1));
    let urgency = |path| {
        let route = config
            .route("floor.example", path)
            .expect("the path should match a route");
        config.urgency(Some(&night), route)
    };
    assert!(urgency("/question/x") < urgency("/note/x"));
    assert!(urgency("/note/x") < urgency("/dossier/x"));
}

#[test]
fn account_tier_precedes_route_tier() {
    let config = config();
    let question = config
        .route("floor.example", "/question/x")
        .expect("the path should match a route");
    let dossier = config
        .route("floor.example", "/dossier/x")
        .expect("the path should match a route");
    let (urgent, usual) = (account(Some(0)), account(Some(1)));
    assert!(config.urgency(Some(&urgent), dossier) < config.urgency(Some(&usual), question));
}
