//! Forwarding of chat completions and plain calls, and the checks before it.

mod support;

use serde_json::json;
use support::{
    DONE, Deployment, Endpoint, KEY, OTHER_KEY, engine, event, event_stream, run, service, text,
    until,
};

fn three_chunks() -> String {
    [
        event(0, "a", false),
        event(1, "b", false),
        event(2, "c", true),
        DONE.to_owned(),
    ]
    .concat()
}

#[test]
fn a_streamed_response_is_delivered_and_counted() {
    run(async {
        let upstream = Endpoint::start(|_| async { event_stream(three_chunks()) }).await;
        let deployment = Deployment::start(vec![engine("e1", upstream.address)]).await;
        let reply = deployment.chat(true).await;
        assert_eq!(reply.status, 200);
        assert_eq!(reply.text(), "abc");
        assert_eq!(reply.events().last().map(String::as_str), Some("[DONE]"));
        until(|| !deployment.steer.usage().is_empty()).await;
        let usage = deployment.steer.usage();
        assert_eq!(usage.len(), 1);
        assert_eq!(usage[0].account, "workshop");
        assert_eq!(usage[0].window, support::WINDOW);
        let counters = usage[0].figures;
        assert_eq!(
            (
                counters.requests,
                counters.prompt_tokens,
                counters.answer_tokens
            ),
            (1, 7, 3)
        );
    });
}

#[test]
fn a_buffered_response_is_delivered_and_counted() {
    run(async {
        let body = json!({"id": "x", "choices": [],
            "usage": {"prompt_tokens": 5, "completion_tokens": 9, "total_tokens": 14}});
        let upstream = Endpoint::start(move |_| {
            let body = body.to_string();
            async move { text(200, &body) }
        })
        .await;
        let deployment = Deployment::start(vec![engine("e1", upstream.address)]).await;
        let reply = deployment.chat(false).await;
        assert_eq!(
            (reply.status, reply.json()["id"].as_str()),
            (200, Some("x"))
        );
        until(|| !deployment.steer.usage().is_empty()).await;
        assert_eq!(deployment.steer.usage()[0].figures.answer_tokens, 9);
    });
}

#[test]
fn a_plain_call_keeps_method_query_and_body() {
    run(async {
        let upstream = Endpoint::start(|_| async { text(201, "booked") }).await;
        let deployment = Deployment::start(vec![service("s1", upstream.address)]).await;
        let reply = deployment.call("PUT", "/bookings/7?lap=3", "spindle").await;
        assert_eq!((reply.status, reply.body.as_str()), (201, "booked"));
        let received = upstream.received.borrow()[0].clone();
        assert_eq!(
            (received.method.as_str(), received.target.as_str()),
            ("PUT", "/bookings/7?lap=3")
        );
        assert_eq!(&received.body[..], b"spindle");
    });
}

#[test]
fn an_endpoint_sees_neither_the_key_nor_other_headers() {
    run(async {
        let upstream = Endpoint::start(|_| async { event_stream(three_chunks()) }).await;
        let deployment = Deployment::start(vec![engine("e1", upstream.address)]).await;
        let bearer = format!("Bearer {KEY}");
        let headers = [
            ("authorization", bearer.as_str()),
            ("x-api-key", KEY),
            ("cookie", "session=1"),
            ("x-forwarded-for", "10.0.0.1"),
            ("accept", "text/event-stream"),
        ];
        let body = support::chat_body(true);
        let reply = deployment
            .call_with("POST", "/v1/chat/completions", &headers, &body)
            .await;
        assert_eq!(reply.status, 200);
        let received = upstream.received.borrow()[0].clone();
        assert!(!format!("{received:?}").contains(KEY));
        assert_eq!(
            received.header("authorization"),
            Some("Bearer engine-credential")
        );
        let mut names: Vec<&str> = received
            .headers
            .iter()
            .map(|(name, _)| name.as_str())
            .collect();
        names.sort_unstable();
        insta::assert_yaml_snapshot!(names);
    });
}

#[test]
fn a_key_in_a_forwarded_part_of_the_request_is_refused() {
    run(async {
        let upstream = Endpoint::start(|_| async { text(200, "") }).await;
        let deployment = Deployment::start(vec![service("s1", upstream.address)]).await;
        let bearer = format!("Bearer {KEY}");
        let key = ("authorization", bearer.as_str());
        let path = format!("/records/{KEY}");
        let escaped = format!("/records/{}", KEY.replace('s', "%73"));
        let calls = [
            (path.as_str(), vec![key], ""),
            (escaped.as_str(), vec![key], ""),
            ("/records/1", vec![key, ("user-agent", KEY)], ""),
            ("/records/1", vec![key], KEY),
            ("/records/1?api_key=x", vec![], ""),
            ("/records/1?%6Bey=x", vec![], ""),
            ("/records/1", vec![("cookie", "a=1; access_token=x")], ""),
        ];
        for (target, headers, body) in calls {
            let reply = deployment.call_with("POST", target, &headers, body).await;
            assert_eq!(
                reply.refusal(),
                ("key_misplaced".into(), "not run".into()),
                "{target}"
            );
        }
        assert_eq!(upstream.count(), 0);
        assert!((deployment.refusals("key_misplaced") - 7.0).abs() < f64::EPSILON);
    });
}

#[test]
fn keys_are_checked() {
    run(async {
        let upstream = Endpoint::start(|_| async { text(200, "ok") }).await;
        let deployment = Deployment::start(vec![service("s1", upstream.address)]).await;
        let bearer = format!("Bearer {KEY}");
        let cases: [(&[(&str, &str)], &str); 6] = [
            (&[], "key_missing"),
            (&[("authorization", "Bearer wrong")], "key_invalid"),
            (&[("authorization", "Digest x")], "key_invalid"),
            (
                &[("authorization", &bearer), ("x-api-key", OTHER_KEY)],
                "key_ambiguous",
            ),
            (
                &[("authorization", &bearer), ("authorization", "Bearer x")],
                "key_ambiguous",
            ),
            (
                &[("authorization", &bearer), ("x-agate-class", "booking")],
                "class_forbidden",
            ),
        ];
        for (headers, code) in cases {
            let reply = deployment.call_with("GET", "/records/1", headers, "").await;
            assert_eq!(reply.refusal().0, code);
        }
        assert_eq!(upstream.count(), 0);
        // Basic authorization with the key as password and the same key in a second header are
        // accepted.
        let basic = "Basic ".to_owned() + &base64(&format!("anyone:{KEY}"));
        let reply = deployment
            .call_with(
                "GET",
                "/records/1",
                &[("authorization", &basic), ("x-api-key", KEY)],
                "",
            )
            .await;
        assert_eq!(reply.status, 200);
        // An open route needs no key.
        assert_eq!(
            deployment
                .call_with("GET", "/prices/1", &[], "")
                .await
                .status,
            200
        );
    });
}

fn base64(text: &str) -> String {
    use base64::Engine as _;
    base64::prelude::BASE64_STANDARD.encode(text)
}

#[test]
fn requests_that_match_no_target_are_refused() {
    run(async {
        let deployment = Deployment::start(vec![]).await;
        let unknown = json!({"model": "none", "messages": []}).to_string();
        let cases = [
            ("GET", "/elsewhere", "", "route_unknown"),
            ("GET", "/recordsx", "", "route_unknown"),
            ("GET", "/records/../prices", "", "bad_request"),
            ("GET", "/records/%2e%2e/prices", "", "bad_request"),
            ("POST", "/v1/chat/completions", "{", "bad_request"),
            (
                "POST",
                "/v1/chat/completions",
                unknown.as_str(),
                "model_unknown",
            ),
            ("GET", "/records/1", "", "no_endpoint"),
        ];
        for (method, target, body, code) in cases {
            let reply = deployment.call(method, target, body).await;
            assert_eq!(reply.refusal(), (code.into(), "not run".into()), "{target}");
        }
    });
}

#[test]
fn models_and_addresses_are_listed() {
    run(async {
        let deployment = Deployment::start(vec![]).await;
        let models = deployment.call("GET", "/v1/models", "").await.json();
        assert_eq!(models["data"][0]["id"], "prism");
        let reply = deployment.call_with("GET", "/v1/models", &[], "").await;
        assert_eq!(reply.refusal().0, "key_missing");
        let addresses = deployment
            .call_with("GET", "/v1/addresses", &[], "")
            .await
            .json();
        assert_eq!(addresses["hosts"][0]["host"], "host-1");
        assert_eq!(addresses["keep_seconds"], 1);
    });
}

#[test]
fn a_withdrawn_key_is_refused_for_a_connected_caller() {
    run(async {
        let upstream = Endpoint::start(|_| async { text(200, "ok") }).await;
        let deployment = Deployment::start(vec![service("s1", upstream.address)]).await;
        assert_eq!(deployment.call("GET", "/records/1", "").await.status, 200);
        let mut remaining = support::resources();
        remaining.retain(|resource| resource["id"] != "key-1");
        remaining.push(service("s1", upstream.address));
        deployment.steer.declare(remaining);
        until(|| deployment.gate.config.borrow().version() == 2).await;
        let reply = deployment.call("GET", "/records/1", "").await;
        assert_eq!(reply.refusal(), ("key_invalid".into(), "not run".into()));
    });
}

#[test]
fn a_configuration_without_fresh_evidence_serves_only_open_routes() {
    run(async {
        let upstream = Endpoint::start(|_| async { text(200, "ok") }).await;
        let mut settings = support::settings();
        settings.freshness = std::time::Duration::from_millis(100);
        let deployment = Deployment::with(settings, vec![service("s1", upstream.address)]).await;
        assert_eq!(deployment.call("GET", "/records/1", "").await.status, 200);
        deployment.steer.down.set(true);
        until(|| !deployment.gate.is_current()).await;
        let reply = deployment.call("GET", "/records/1", "").await;
        assert_eq!(reply.refusal(), ("config_stale".into(), "not run".into()));
        assert_eq!(
            deployment
                .call_with("GET", "/prices/1", &[], "")
                .await
                .status,
            200
        );
        assert_eq!(
            deployment.call_with("GET", "/readyz", &[], "").await.status,
            503
        );
        deployment.steer.down.set(false);
        until(|| deployment.gate.is_current()).await;
        assert_eq!(deployment.call("GET", "/records/1", "").await.status, 200);
    });
}
