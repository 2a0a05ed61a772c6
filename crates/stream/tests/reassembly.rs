//! Properties of reassembly under late, doubled, swapped and lost chunks.

use agate_stream::assembler::{Assembler, State};
use agate_stream::replay::{Divergence, Piece, Replay};
use agate_stream::sse::{Event, Oversize, Parser};
use bytes::Bytes;
use proptest::prelude::*;
use rstest::rstest;

/// Cases of each property.
const CASES: u32 = 512;

const BOUND: usize = 8;
const EVENT_BOUND: usize = 1024;

/// Delivers connections one after the other; returns what came out and the last state.
fn deliver(connections: &[Vec<u64>], count: u64) -> (Vec<u64>, State) {
    let mut assembler = Assembler::new(BOUND);
    let mut out = Vec::new();
    for offsets in connections {
        for offset in offsets {
            assembler
                .push(*offset, *offset)
                .expect("offsets lie within the answer");
            while let Some(chunk) = assembler.pop() {
                out.push(chunk);
            }
        }
        assembler.finish(None);
        assembler.disconnect();
        let closed = out.last() == Some(&(count - 1));
        if assembler.state(closed) == State::Whole {
            return (out, State::Whole);
        }
        assembler.reconnect();
    }
    let state = assembler.state(false);
    (out, state)
}

#[test]
fn delivers_a_prefix_in_order_whatever_arrives() {
    let arrivals = (1..40u64).prop_flat_map(|count| {
        let offsets = prop::collection::vec(0..count, 0..120);
        (Just(count), prop::collection::vec(offsets, 1..4))
    });
    agate_check::runner(CASES)
        .run(&arrivals, |(count, connections)| {
            let (out, _) = deliver(&connections, count);
            let expected: Vec<u64> = (0..out.len() as u64).collect();
            prop_assert_eq!(&out, &expected);
            Ok(())
        })
        .expect("property holds");
}

#[test]
fn a_resumed_connection_completes_any_loss() {
    let arrivals =
        (1..40u64).prop_flat_map(|count| (Just(count), prop::collection::vec(0..count, 0..120)));
    agate_check::runner(CASES)
        .run(&arrivals, |(count, first)| {
            let rest: Vec<u64> = (0..count).collect();
            let (out, state) = deliver(&[first, rest.clone()], count);
            prop_assert_eq!(out, rest);
            prop_assert_eq!(state, State::Whole);
            Ok(())
        })
        .expect("property holds");
}

#[test]
fn too_many_early_chunks_ask_for_the_first_missing_one() {
    let mut assembler = Assembler::new(2);
    for offset in [0, 2, 3, 4] {
        assembler.push(offset, offset).expect("within the answer");
        while assembler.pop().is_some() {}
    }
    assert_eq!(assembler.state(false), State::Missing { from: 1 });
    assert_eq!(assembler.held(), 2);
}

#[test]
fn an_end_marker_that_overtakes_chunks_does_not_end_the_answer() {
    let mut assembler = Assembler::new(BOUND);
    assembler.push(0, ()).expect("within the answer");
    assert!(assembler.pop().is_some());
    assembler.finish(None);
    assert_eq!(assembler.state(false), State::Open);
    assembler.disconnect();
    assert_eq!(assembler.state(false), State::Missing { from: 1 });
    assembler.reconnect();
    assembler.finish(None);
    assembler.disconnect();
    assert_eq!(assembler.state(false), State::Whole);
}

#[test]
fn a_marker_with_a_count_ends_the_answer_at_once() {
    let mut assembler = Assembler::new(BOUND);
    assembler.finish(Some(1));
    assert_eq!(assembler.state(false), State::Open);
    assembler.push(0, ()).expect("within the answer");
    assert!(assembler.pop().is_some());
    assert_eq!(assembler.state(false), State::Whole);
    assert!(assembler.push(1, ()).is_err());
}

#[test]
fn events_do_not_depend_on_how_the_bytes_are_cut() {
    let text = b": note\nid: 0\ndata: {\"a\":1}\n\nid:1\r\ndata: x\r\ndata: y\r\n\r\nevent: z\n\ndata: [DONE]\n\n";
    let expected =
        [(Some(0), "{\"a\":1}"), (Some(1), "x\ny"), (None, "[DONE]")].map(|(offset, data)| Event {
            offset,
            data: Bytes::from_static(data.as_bytes()),
        });
    let cuts = prop::collection::vec(0..text.len(), 0..20);
    agate_check::runner(CASES)
        .run(&cuts, |mut cuts| {
            cuts.sort_unstable();
            cuts.push(text.len());
            let mut parser = Parser::new(EVENT_BOUND);
            let mut events = Vec::new();
            let mut start = 0;
            for cut in cuts {
                parser.feed(&text[start..cut]);
                start = cut;
                while let Some(event) = parser.next_event().expect("below the bound") {
                    events.push(event);
                }
            }
            prop_assert_eq!(&events[..], &expected[..]);
            Ok(())
        })
        .expect("property holds");
}

#[test]
fn an_endless_line_is_refused() {
    let mut parser = Parser::new(16);
    parser.feed(&[b'x'; 17]);
    assert_eq!(parser.next_event(), Err(Oversize { bound: 16 }));
}

#[rstest]
#[case::same_cuts(&["ab", "cd"], &["ab", "cd", "ef"], Ok("ef"))]
#[case::other_cuts(&["ab", "cd"], &["a", "bcde", "f"], Ok("ef"))]
#[case::nothing_delivered(&[], &["ab"], Ok("ab"))]
#[case::different(&["ab", "cd"], &["ab", "ce"], Err(Divergence { position: 2 }))]
fn regenerated_text_continues_only_an_identical_prefix(
    #[case] delivered: &[&str],
    #[case] regenerated: &[&str],
    #[case] expected: Result<&str, Divergence>,
) {
    let mut replay = Replay::default();
    delivered.iter().for_each(|text| replay.deliver(text));
    replay.restart();
    let mut new = String::new();
    let mut outcome = Ok(());
    for text in regenerated {
        match replay.accept(text) {
            Ok(Piece::Skip) => {}
            Ok(Piece::Rest(text) | Piece::New(text)) => {
                new.push_str(text);
                replay.deliver(text);
            }
            Err(err) => {
                outcome = Err(err);
                break;
            }
        }
    }
    assert_eq!(outcome.map(|()| new.as_str()), expected);
}
