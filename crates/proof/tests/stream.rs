//! Streams whose chunks come late, doubled, swapped or in parts; callers that go away.

use agate_fake::ledger::{Entry, Outcome};
use agate_proof::caller::{chat, completion, expected, stream};
use agate_proof::deployment::{Deployment, Options};
use agate_proof::wait::{START, until};
use agate_wire::fault::Faults;

/// Streams at once.
const STREAMS: usize = 8;

async fn all_whole(faults: &Faults) {
    let deployment = Deployment::start(Options {
        engines: vec![Vec::new(), Vec::new()],
        ..Options::default()
    })
    .await;
    let key = deployment.key("stream").await;
    for engine in &deployment.engines {
        engine.set_faults(faults).await;
    }
    let calls = (0..STREAMS).map(|number| {
        let completion = completion(&format!("stream {number}"), 40, true);
        let request = chat(deployment.gate(0), &key, &completion);
        async move { (stream(&request, |_| {}).await, completion) }
    });
    for (streamed, completion) in futures_util::future::join_all(calls).await {
        assert_eq!(streamed.error, None);
        assert!(streamed.whole, "stream has its end marker");
        assert_eq!(streamed.text, expected(&completion));
    }
}

#[actix_rt::test]
async fn scrambled_streams_are_whole() {
    all_whole(&Faults {
        scramble: true,
        ..Faults::default()
    })
    .await;
}

#[actix_rt::test]
async fn streams_that_break_off_are_whole() {
    all_whole(&Faults {
        break_after_chunks: 12,
        scramble: true,
        ..Faults::default()
    })
    .await;
}

#[actix_rt::test]
async fn stream_of_a_caller_that_goes_away_is_cancelled() {
    let deployment = Deployment::start(Options::default()).await;
    let key = deployment.key("stream").await;
    let request = chat(
        deployment.gate(0),
        &key,
        &completion("abandoned-stream", 2000, true),
    );
    let call = actix_rt::spawn(async move { stream(&request, |_| {}).await });
    until("the engine has the request", START, || async {
        (deployment.received("abandoned-stream").await > 0).then_some(())
    })
    .await;
    call.abort();
    until("the engine has cancelled it", START, || async {
        let ledger = deployment.engines[0].ledger().await;
        let is_it = |it: &&Entry| it.contains("abandoned-stream");
        let found = ledger.iter().find(is_it)?;
        (found.outcome == Outcome::Cancelled).then_some(())
    })
    .await;
}
