//! The gate with the stand-in of a model engine and its faults.

mod support;

use agate_fake::engine::stream::Script;
use agate_fake::engine::{self, Running, Settings};
use agate_wire::engine::Completion;
use agate_wire::fault::Faults;
use rstest::rstest;
use serde_json::json;
use support::{Deployment, KEY, run};

const TOKENS: u32 = 24;

fn start(seed: u64) -> Running {
    let listen = ([127, 0, 0, 1], 0).into();
    engine::start(&Settings::new(listen, seed)).expect("a free port")
}

fn body(prompt: &str) -> String {
    json!({"model": "prism", "stream": true, "max_tokens": TOKENS,
        "messages": [{"role": "user", "content": prompt}]})
    .to_string()
}

fn expected(prompt: &str) -> String {
    let completion: Completion = serde_json::from_str(&body(prompt)).expect("a completion");
    Script::new(&completion, 0).text()
}

async fn chat(deployment: &Deployment, prompt: &str) -> support::Reply {
    let bearer = format!("Bearer {KEY}");
    let headers = [("authorization", bearer.as_str())];
    deployment
        .call_with("POST", "/v1/chat/completions", &headers, &body(prompt))
        .await
}

#[rstest]
#[case::none(Faults::default())]
#[case::scrambled(Faults { scramble: true, ..Faults::default() })]
#[case::breaking(Faults { break_after_chunks: 7, ..Faults::default() })]
#[case::both(Faults { scramble: true, break_after_chunks: 9, ..Faults::default() })]
fn answers_are_whole_under_faults_of_an_engine(#[case] faults: Faults) {
    run(async {
        let engine = start(1);
        engine.shared.faults.borrow_mut().set(None, faults);
        let deployment = Deployment::start(vec![support::engine("e1", engine.address)]).await;
        for prompt in ["one", "two", "three"] {
            let reply = chat(&deployment, prompt).await;
            assert_eq!(reply.text(), expected(prompt));
            assert_eq!(reply.events().last().map(String::as_str), Some("[DONE]"));
        }
    });
}

#[test]
fn an_answer_goes_on_when_its_engine_is_lost() {
    run(async {
        let (lost, other) = (start(1), start(2));
        let endpoints = vec![
            support::engine("e1", lost.address),
            support::remote(support::engine("e2", other.address)),
        ];
        let deployment = Deployment::start(endpoints).await;
        let lose = async {
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
            lost.shared.faults.borrow_mut().set(None, cut);
        };
        let (reply, ()) = tokio::join!(chat(&deployment, "one"), lose);
        assert_eq!(reply.text(), expected("one"));
        assert_eq!(reply.events().last().map(String::as_str), Some("[DONE]"));
        assert!((deployment.retries("regenerate") - 1.0).abs() < f64::EPSILON);
    });
}
