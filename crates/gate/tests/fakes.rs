//! Streamed responses through the gate from a fake model engine that injects faults.

mod support;

use agate_fake::engine::stream::Script;
use agate_fake::engine::{self, Running, Settings};
use agate_wire::engine::Completion;
use agate_wire::fault::Faults;
use rstest::rstest;
use serde_json::json;
use support::{Deployment, KEY, run};

/// Number of tokens that each completion requests.
const TOKENS: u32 = 24;

fn start_engine(seed: u64) -> Running {
    let listen = ([127, 0, 0, 1], 0).into();
    engine::start(&Settings::new(listen, seed)).expect("a free port")
}

fn chat_body(prompt: &str) -> String {
    json!({"model": "prism", "stream": true, "max_tokens": TOKENS,
        "messages": [{"role": "user", "content": prompt}]})
    .to_string()
}

/// Returns the text that the fake engine generates for `prompt`.
fn expected_text(prompt: &str) -> String {
    let completion: Completion = serde_json::from_str(&chat_body(prompt)).expect("a completion");
    Script::new(&completion, 0).text()
}

async fn chat(deployment: &Deployment, prompt: &str) -> support::Reply {
    let bearer = format!("Bearer {KEY}");
    let headers = [("authorization", bearer.as_str())];
    deployment
        .call_with("POST", "/v1/chat/completions", &headers, &chat_body(prompt))
        .await
}

#[rstest]
#[case::none(Faults::default())]
#[case::scrambled(Faults { scramble: true, ..Faults::default() })]
#[case::breaking(Faults { break_after_chunks: 7, ..Faults::default() })]
#[case::both(Faults { scramble: true, break_after_chunks: 9, ..Faults::default() })]
fn streamed_responses_are_complete_despite_engine_faults(#[case] faults: Faults) {
    run(async {
        let engine = start_engine(1);
        engine.shared.faults.borrow_mut().set(None, faults);
        let deployment = Deployment::start(vec![support::engine("e1", engine.address)]).await;
        for prompt in ["one", "two", "three"] {
            let reply = chat(&deployment, prompt).await;
            assert_eq!(reply.text(), expected_text(prompt));
            assert_eq!(reply.events().last().map(String::as_str), Some("[DONE]"));
        }
    });
}

#[test]
fn a_stream_continues_on_another_engine_when_its_engine_fails() {
    run(async {
        let (failing, other) = (start_engine(1), start_engine(2));
        let endpoints = vec![
            support::engine("e1", failing.address),
            support::remote(support::engine("e2", other.address)),
        ];
        let deployment = Deployment::start(endpoints).await;
        let fail = async {
            support::until(|| {
                deployment.metric_or_zero("agate_gate_first_token_seconds_count{class=\"chat\"}")
                    > 0.0
            })
            .await;
            let cut = Faults {
                cut: true,
                break_after_chunks: 1,
                ..Faults::default()
            };
            failing.shared.faults.borrow_mut().set(None, cut);
        };
        let (reply, ()) = tokio::join!(chat(&deployment, "one"), fail);
        assert_eq!(reply.text(), expected_text("one"));
        assert_eq!(reply.events().last().map(String::as_str), Some("[DONE]"));
        assert!((deployment.retries("regenerate") - 1.0).abs() < f64::EPSILON);
    });
}
