//! No caller's key reaches an endpoint.

use agate_proof::caller::{booking, chat, completion};
use agate_proof::deployment::{Deployment, Options};
use agate_proof::http::Request;
use awc::http::Method;

/// Every place of a request in which a caller might show its key.
fn requests(deployment: &Deployment, key: &str) -> Vec<Request> {
    let gate = deployment.gate(0);
    let plain = |path: &str| Request::new(Method::POST, gate, path.to_owned());
    let keyed = |path: &str| plain(path).header("authorization", format!("Bearer {key}"));
    let escaped: String = key.bytes().map(|it| format!("%{it:02x}")).collect();
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
        plain("/spindles/3").header("x-api-key", key),
        keyed("/spindles/4").header("x-note", key),
        keyed("/spindles/5").header("user-agent", key),
        keyed("/spindles/6").header("traceparent", key),
        keyed("/spindles/7").header("content-type", format!("text/{key}")),
        keyed("/spindles/8").header("idempotency-key", key),
        keyed("/spindles/9").header("cookie", format!("session={key}")),
        plain("/spindles/10").header("cookie", format!("key={key}")),
        plain(&format!("/spindles/11?key={key}")),
        plain(&format!("/spindles/12?api_key={escaped}")),
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
    let key = deployment.key("secrecy").await;
    let mut answered = 0;
    for request in requests(&deployment, &key) {
        let response = request.send().await.expect("gate answers");
        answered += u32::from(response.status == 200);
    }
    assert!(answered >= 4, "only {answered} requests were answered");
    for standin in deployment.engines.iter().chain(&deployment.services) {
        let ledger = standin.ledger().await;
        assert!(!ledger.is_empty(), "endpoint received requests");
        for entry in ledger {
            let query = agate_fake::http::decode(&entry.query);
            let path = agate_fake::http::decode(&entry.path);
            let is_shown = entry.contains(&key) || query.contains(&key) || path.contains(&key);
            assert!(
                !is_shown,
                "key in {} {}?{}",
                entry.method, entry.path, entry.query
            );
            assert_eq!(entry.header("authorization"), None);
            assert_eq!(entry.header("cookie"), None);
        }
    }
    for host in &deployment.hosts {
        for log in [host.gate.whole_log(), host.steer.whole_log()] {
            assert!(!log.contains(&key), "key in a log");
        }
    }
}
