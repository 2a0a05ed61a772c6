//! The HTTP API for operators, and the sync calls that bring changes to a gate.

mod common;

use std::rc::Rc;

use agate_fake::memory::Fault;
use agate_wire::api::{Failure, KeyIssued, Listing, Outcome, State, Watch};
use agate_wire::sync::{self, Request, Response, Update};
use awc::http::Method;
use common::{Fake, Host, account, put, settings, start};
use jsonrpsee::core::client::ClientT as _;
use jsonrpsee::http_client::HttpClientBuilder;
use jsonrpsee::rpc_params;
use rstest::rstest;
use serde_json::json;

async fn single() -> (Rc<Fake>, Host) {
    single_with("").await
}

async fn single_with(extra: &str) -> (Rc<Fake>, Host) {
    let fake = Rc::new(Fake::default());
    let host = start(&fake, settings("host-1", "zone-a", extra)).await;
    let copy = Rc::clone(&host.process.context.copy);
    common::wait_until("the host is a witness", || copy.version() >= 1).await;
    (fake, host)
}

async fn sync(host: &Host, version: u64) -> Response {
    let client = HttpClientBuilder::default()
        .build(format!("http://{}", host.rpc))
        .expect("client");
    let request = Request {
        host: "host-1".to_owned(),
        incarnation: "run".to_owned(),
        version,
        ..Request::default()
    };
    client
        .request(sync::METHOD, rpc_params![request])
        .await
        .expect("a response")
}

#[actix_rt::test]
async fn a_change_reaches_the_gate_with_a_proof() {
    // The gate's calls aren't sealed here; another test covers the seal.
    let (_fake, host) = single_with("require_token: false").await;
    let response = host
        .apply(json!([put(&account("a", 2)), put(&account("b", 1))]))
        .await;
    assert_eq!(response.status, 200, "{}", response.body);
    let outcome: Outcome = response.parse();
    assert_eq!(outcome.state, State::Accepted);

    let listing: Listing = host
        .call(Method::GET, "/api/v1/resources?kind=account", None)
        .await
        .parse();
    assert_eq!(listing.version, outcome.version);
    assert_eq!(listing.resources.len(), 2);

    let synced = sync(&host, 0).await;
    assert_eq!(synced.version, outcome.version);
    assert!(synced.proof_age_ms.is_some_and(|age| age < 2500));
    assert_eq!(synced.hosts.len(), 1);
    let Some(Update::Changes(changes)) = synced.update else {
        panic!("changes are missing");
    };
    assert_eq!(
        changes.last().map(|change| change.version),
        Some(outcome.version)
    );
    assert!(sync(&host, outcome.version).await.update.is_none());
}

#[actix_rt::test]
async fn a_conflict_returns_the_requested_and_the_current_resource() {
    let (_fake, host) = single().await;
    let path = "/api/v1/resources/account/a";
    let put = async |weight, condition| {
        let body = Some(account("a", weight));
        host.call_as(common::CREDENTIAL, Method::PUT, path, body, &[condition])
            .await
    };
    let created: Outcome = put(1, ("if-none-match", "*")).await.parse();
    let version = format!("\"{}\"", created.version);
    assert_eq!(put(2, ("if-match", &version)).await.status, 200);
    let response = put(3, ("if-match", &version)).await;
    assert_eq!(response.status, 409);
    let failure: Failure = response.parse();
    let conflict = &failure.conflicts[0];
    assert_eq!(conflict.expected, created.version);
    let yours = serde_json::to_value(&conflict.yours).expect("json");
    let current = serde_json::to_value(&conflict.current).expect("json");
    assert_eq!(
        (&yours["weight"], &current["manifest"]["weight"]),
        (&json!(3), &json!(2))
    );
}

#[actix_rt::test]
async fn a_retried_request_makes_no_second_change() {
    let (_fake, host) = single().await;
    let put = async |weight, key| {
        let path = "/api/v1/resources/account/a";
        let headers = [("idempotency-key", key)];
        let body = Some(account("a", weight));
        host.call_as(common::CREDENTIAL, Method::PUT, path, body, &headers)
            .await
    };
    let first: Outcome = put(1, "k").await.parse();
    let other: Outcome = put(2, "l").await.parse();
    let retried: Outcome = put(1, "k").await.parse();
    assert!(other.version > first.version && retried.repeated);
    assert_eq!(retried.version, first.version);
    assert_eq!(put(5, "k").await.status, 409);
}

#[actix_rt::test]
async fn a_lost_store_response_is_resolved_by_the_nonce() {
    let (fake, host) = single().await;
    let store = Rc::clone(&fake);
    fake.lose_commit.set(true);
    let response = host.apply(json!([put(&account("a", 1))])).await;
    let outcome: Outcome = response.parse();
    assert!(
        outcome.repeated,
        "the second attempt finds the change of the first"
    );
    let head = store
        .tables
        .tables
        .borrow()
        .get("config", "head")
        .expect("a head");
    assert_eq!(head.value, outcome.version.to_string());
}

#[actix_rt::test]
async fn all_faults_are_reported_and_nothing_is_stored() {
    let (_fake, host) = single().await;
    let before = host.process.context.copy.version();
    let class = json!({"kind": "class", "id": "c", "tier": 9, "weight": 0,
        "target": {"first_token": "1s", "between_tokens": "1ms", "deadline": "2s"}});
    let response = host
        .apply(json!([put(&class), put(&account("a b", 0))]))
        .await;
    assert_eq!(response.status, 422);
    let failure: Failure = response.parse();
    assert_eq!(failure.findings.len(), 4, "{failure:?}");

    let key = json!({"kind": "key", "id": "k", "account": "nobody", "digest": "0".repeat(64)});
    let response = host.apply(json!([put(&key)])).await;
    assert_eq!(response.status, 422, "{}", response.body);
    assert_eq!(host.process.context.copy.version(), before);
}

#[actix_rt::test]
async fn a_change_during_a_store_outage_is_refused_as_unavailable() {
    let (fake, host) = single().await;
    fake.set_down(true);
    let response = host.apply(json!([put(&account("a", 1))])).await;
    assert_eq!(response.status, 503);
    assert_eq!(response.parse::<Failure>().code, "store_unavailable");
    fake.set_down(false);
    assert_eq!(host.apply(json!([put(&account("a", 1))])).await.status, 200);
}

// Guards against: a failed read is reported as "outcome unknown" and "nothing was changed" in one message.
#[actix_rt::test]
async fn a_change_whose_reads_fail_has_no_unknown_outcome() {
    let (fake, host) = single().await;
    let before = host.process.context.copy.version();
    fake.tables.fault.set(Fault::ResponseLost);
    let response = host.apply(json!([put(&account("a", 1))])).await;
    assert_eq!(response.status, 503);
    let failure: Failure = response.parse();
    assert_eq!(failure.code, "store_unavailable");
    assert!(
        failure.message.contains("nothing was changed"),
        "{failure:?}"
    );
    assert!(!failure.message.contains("unknown"), "{failure:?}");
    fake.tables.fault.set(Fault::None);
    assert_eq!(host.apply(json!([put(&account("a", 1))])).await.status, 200);
    assert_eq!(host.process.context.copy.version(), before + 1);
}

#[actix_rt::test]
async fn a_key_is_shown_once_and_stored_as_a_digest() {
    let (_fake, host) = single().await;
    host.apply(json!([put(&account("a", 1))])).await;
    let path = "/api/v1/keys/a";
    let issued: KeyIssued = host
        .call(Method::POST, path, Some(json!({"id": "k"})))
        .await
        .parse();
    let digest = agate_model::key::Digest::of(issued.key.as_bytes());
    let snapshot = host.process.context.copy.snapshot();
    assert_eq!(snapshot.key(&digest).map(|key| key.id.as_str()), Some("k"));
    let second = host
        .call(Method::POST, path, Some(json!({"id": "k"})))
        .await;
    assert_eq!(second.status, 409);
    assert_eq!(
        host.call(Method::DELETE, "/api/v1/keys/k", None)
            .await
            .status,
        200
    );
    let snapshot = host.process.context.copy.snapshot();
    assert!(snapshot.key(&digest).is_none());
    assert_eq!(
        host.call(Method::DELETE, "/api/v1/keys/k", None)
            .await
            .status,
        404
    );
}

#[rstest]
#[case("viewer", Method::GET, "/api/v1/resources", 200)]
#[case("viewer", Method::PUT, "/api/v1/resources/account/a", 403)]
#[case("editor", Method::PUT, "/api/v1/resources/account/a", 200)]
#[case("editor", Method::PUT, "/api/v1/resources/operator/x", 403)]
#[case("admin", Method::PUT, "/api/v1/resources/operator/x", 200)]
#[case("nobody", Method::GET, "/api/v1/status", 401)]
#[actix_rt::test]
async fn requests_need_a_sufficient_role(
    #[case] operator: &str,
    #[case] method: Method,
    #[case] path: &str,
    #[case] status: u16,
) {
    let (_fake, host) = single().await;
    let digest =
        |credential: &str| hex::encode(agate_model::key::Digest::of(credential.as_bytes()).0);
    let declared = ["viewer", "editor", "admin"].map(|role| {
        put(&json!({"kind": "operator", "id": role, "role": role, "digest": digest(role)}))
    });
    assert_eq!(host.apply(json!(declared)).await.status, 200);
    let body = match path.rsplit('/').nth(1) {
        Some("operator") => {
            json!({"kind": "operator", "id": "x", "role": "viewer", "digest": digest("x")})
        }
        _ => account("a", 1),
    };
    let body = (method == Method::PUT).then_some(body);
    let response = host.call_as(operator, method, path, body, &[]).await;
    assert_eq!(response.status, status, "{}", response.body);
}

#[actix_rt::test]
async fn watch_waits_for_the_next_change() {
    let (_fake, host) = single().await;
    let from = host.process.context.copy.version();
    let path = format!("/api/v1/watch?from={from}&wait=5");
    let change = async { host.apply(json!([put(&account("a", 1))])).await };
    let (watched, _) = tokio::join!(host.call(Method::GET, &path, None), change);
    let watch: Watch = watched.parse();
    assert_eq!(watch.changes.len(), 1);
    assert_eq!(watch.version, from + 1);
}

#[actix_rt::test]
async fn unsealed_calls_are_refused_if_a_token_is_required() {
    let fake = Rc::new(Fake::default());
    let host = start(&fake, settings("host-1", "zone-a", "require_token: true")).await;
    let client = HttpClientBuilder::default()
        .build(format!("http://{}", host.rpc))
        .expect("client");
    for method in [
        sync::METHOD,
        agate_wire::peer::FETCH,
        agate_wire::peer::PUSH,
    ] {
        let outcome: Result<serde_json::Value, _> = client
            .request(method, rpc_params![json!({"above": 0})])
            .await;
        assert!(outcome.is_err(), "{method} was accepted without a seal");
    }
}
