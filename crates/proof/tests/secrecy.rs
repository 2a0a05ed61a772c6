//! Guards against a caller's key that the gate forwards to an endpoint or writes to a log, wherever
//! in a request the caller puts it.

use agate_proof::caller::{booking, chat, completion};
use agate_proof::deployment::{Deployment, Options};
use agate_proof::http::Request;
use awc::http::Method;

/// Returns requests that carry the key in every header, path, query and body where a caller might
/// put it.
fn requests_with_key(deployment: &Deployment, key: &str) -> Vec<Request> {
    let gate = deployment.gate(0);
    let unkeyed = |path: &str| Request::new(Method::POST, gate, path.to_owned());
    let keyed = |path: &str| unkeyed(path).header("authorization", format!("Bearer {key}"));
    let escaped: String = key.bytes().map(|byte| format!("%{byte:02x}")).collect();
    vec![
        chat(gate, key, &completion("in the header", 3, false)),
        chat(gate, key, &completion("in the header", 3, true)),
        chat(
            gate,
            key,
            &completion(&format!("my key is {key}"), 3, false),
        ),
        booking(gate, key, "1"),
        booking(gate, key, "2").header("x-api-key", key),
        unkeyed("/spindles/3").header("x-api-key", key),
        keyed("/spindles/4").header("x-note", key),
        keyed("/spindles/5").header("user-agent", key),
        keyed("/spindles/6").header("traceparent", key),
        keyed("/spindles/7").header("content-type", format!("text/{key}")),
        keyed("/spindles/8").header("idempotency-key", key),
        keyed("/spindles/9").header("cookie", format!("session={key}")),
        unkeyed("/spindles/10").header("cookie", format!("key={key}")),
        unkeyed(&format!("/spindles/11?key={key}")),
        unkeyed(&format!("/spindles/12?api_key={escaped}")),
        keyed(&format!("/spindles/13?note={key}")),
        keyed(&format!("/spindles/14?note={escaped}")),
        keyed(&format!("/spindles/{key}")),
        keyed(&format!("/spindles/{escaped}")),
        keyed("/spindles/15").json(&key),
        keyed("/spindles/16").header("x-api-key", "another-key-of-somebody"),
        keyed("/spindles/17").header("x-request-id", key),
        keyed("/spindles/18").header("x-agate-class", key),
    ]
}

#[actix_rt::test]
async fn no_key_reaches_an_endpoint() {
    let deployment = Deployment::start(Options::default()).await;
    let key = deployment.grant_key("secrecy").await;
    let mut succeeded = 0;
    for request in requests_with_key(&deployment, &key) {
        let response = request.send().await.expect("gate responds");
        succeeded += u32::from(response.status == 200);
    }
    assert!(
        succeeded >= 4,
        "{succeeded} requests succeeded, expected at least 4"
    );
    for standin in deployment.engines.iter().chain(&deployment.services) {
        let ledger = standin.ledger().await;
        assert!(!ledger.is_empty(), "endpoint has received requests");
        for entry in ledger {
            let query = agate_fake::http::decode(&entry.query);
            let path = agate_fake::http::decode(&entry.path);
            let contains_key = entry.contains(&key) || query.contains(&key) || path.contains(&key);
            assert!(
                !contains_key,
                "endpoint received the key in {} {}?{}",
                entry.method, entry.path, entry.query
            );
            assert_eq!(entry.header("authorization"), None);
            assert_eq!(entry.header("cookie"), None);
        }
    }
    for host in &deployment.hosts {
        for log in [host.gate.output(), host.steer.output()] {
            assert!(!log.contains(&key), "output of the process contains no key");
        }
    }
}
