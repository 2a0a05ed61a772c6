//! Guards against streams that reach the caller incomplete or out of order when an engine delays,
//! duplicates, swaps or splits chunks or closes the connection, and against requests that keep
//! running on an engine after the caller has disconnected.

use agate_fake::ledger::{Entry, Outcome};
use agate_proof::caller::{chat, completion, expected_text, stream};
use agate_proof::deployment::{Deployment, Options};
use agate_proof::wait::{START_TIMEOUT, until};
use agate_wire::fault::Faults;

/// Number of concurrent streams.
const STREAMS: usize = 8;

/// Sends streams to two engines with `faults` and checks that each is complete and correct.
async fn check_streams(faults: &Faults) {
    let deployment = Deployment::start(Options {
        engine_args: vec![Vec::new(), Vec::new()],
        ..Options::default()
    })
    .await;
    let key = deployment.grant_key("stream").await;
    for engine in &deployment.engines {
        engine.set_faults(faults).await;
    }
    let calls = (0..STREAMS).map(|number| {
        let completion = completion(&format!("stream {number}"), 40, true);
        let request = chat(deployment.gate(0), &key, &completion);
        async move { (stream(&request, |_| {}).await, completion) }
    });
    for (transcript, completion) in futures_util::future::join_all(calls).await {
        assert_eq!(transcript.error, None);
        assert!(transcript.is_complete, "stream has its end marker");
        assert_eq!(transcript.text, expected_text(&completion));
    }
}

#[actix_rt::test]
async fn streams_are_complete_when_engines_scramble_chunks() {
    check_streams(&Faults {
        scramble: true,
        ..Faults::default()
    })
    .await;
}

#[actix_rt::test]
async fn streams_are_complete_when_engines_break_off() {
    check_streams(&Faults {
        break_after_chunks: 12,
        scramble: true,
        ..Faults::default()
    })
    .await;
}

#[actix_rt::test]
async fn stream_of_a_disconnected_caller_is_cancelled() {
    let deployment = Deployment::start(Options::default()).await;
    let key = deployment.grant_key("stream").await;
    let request = chat(
        deployment.gate(0),
        &key,
        &completion("abandoned-stream", 2000, true),
    );
    let call = actix_rt::spawn(async move { stream(&request, |_| {}).await });
    until("the engine has the request", START_TIMEOUT, || async {
        (deployment.received_count("abandoned-stream").await > 0).then_some(())
    })
    .await;
    call.abort();
    until(
        "the engine has cancelled the request",
        START_TIMEOUT,
        || async {
            let ledger = deployment.engines[0].ledger().await;
            let is_abandoned = |entry: &&Entry| entry.contains("abandoned-stream");
            let entry = ledger.iter().find(is_abandoned)?;
            (entry.outcome == Outcome::Cancelled).then_some(())
        },
    )
    .await;
}
