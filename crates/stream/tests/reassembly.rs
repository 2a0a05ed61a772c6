//! Reassembly with late, duplicated, reordered and lost chunks, parsing of events, and comparison
//! of regenerated text.

use agate_stream::assembler::{Assembler, State};
use agate_stream::replay::{Divergence, Piece, Replay};
use agate_stream::sse::{Event, Oversize, Parser};
use bytes::Bytes;
use proptest::prelude::*;
use rstest::rstest;

/// Number of random cases of each property.
const CASES: u32 = 512;

/// Most chunks that an assembler holds.
const MAX_HELD: usize = 8;
/// Largest event in bytes.
const EVENT_LIMIT: usize = 1024;

/// Pushes the offsets of each connection as chunks, one connection after the other. Returns the
/// chunks in the order of the assembler and its last state.
fn reassemble(connections: &[Vec<u64>], count: u64) -> (Vec<u64>, State) {
    let mut assembler = Assembler::new(MAX_HELD);
    let mut popped = Vec::new();
    for offsets in connections {
        for offset in offsets {
            assembler
                .push(*offset, *offset)
                .expect("offsets are below the number of chunks");
            while let Some(chunk) = assembler.pop() {
                popped.push(chunk);
            }
        }
        assembler.finish(None);
        assembler.disconnect();
        let closed = popped.last() == Some(&(count - 1));
        if assembler.state(closed) == State::Complete {
            return (popped, State::Complete);
        }
        assembler.reconnect();
    }
    let state = assembler.state(false);
    (popped, state)
}

#[test]
fn chunks_come_out_in_order_without_gaps_whatever_arrives() {
    let arrivals = (1..40u64).prop_flat_map(|count| {
        let offsets = prop::collection::vec(0..count, 0..120);
        (Just(count), prop::collection::vec(offsets, 1..4))
    });
    agate_check::runner(CASES)
        .run(&arrivals, |(count, connections)| {
            let (popped, _) = reassemble(&connections, count);
            let expected: Vec<u64> = (0..popped.len() as u64).collect();
            prop_assert_eq!(&popped, &expected);
            Ok(())
        })
        .expect("the property holds in all cases");
}

#[test]
fn a_resumed_connection_completes_a_response_with_any_loss() {
    let arrivals =
        (1..40u64).prop_flat_map(|count| (Just(count), prop::collection::vec(0..count, 0..120)));
    agate_check::runner(CASES)
        .run(&arrivals, |(count, first)| {
            let all_offsets: Vec<u64> = (0..count).collect();
            let (popped, state) = reassemble(&[first, all_offsets.clone()], count);
            prop_assert_eq!(popped, all_offsets);
            prop_assert_eq!(state, State::Complete);
            Ok(())
        })
        .expect("the property holds in all cases");
}

#[test]
fn too_many_early_chunks_report_the_first_missing_offset() {
    let mut assembler = Assembler::new(2);
    for offset in [0, 2, 3, 4] {
        assembler
            .push(offset, offset)
            .expect("the offset is below the end of the response");
        while assembler.pop().is_some() {}
    }
    assert_eq!(assembler.state(false), State::Missing { from: 1 });
    assert_eq!(assembler.held(), 2);
}

#[test]
fn an_end_marker_that_overtakes_chunks_does_not_complete_the_response() {
    let mut assembler = Assembler::new(MAX_HELD);
    assembler
        .push(0, ())
        .expect("the offset is below the end of the response");
    assert!(assembler.pop().is_some());
    assembler.finish(None);
    assert_eq!(assembler.state(false), State::Open);
    assembler.disconnect();
    assert_eq!(assembler.state(false), State::Missing { from: 1 });
    assembler.reconnect();
    assembler.finish(None);
    assembler.disconnect();
    assert_eq!(assembler.state(false), State::Complete);
}

#[test]
fn an_end_marker_with_a_count_completes_the_response_at_once() {
    let mut assembler = Assembler::new(MAX_HELD);
    assembler.finish(Some(1));
    assert_eq!(assembler.state(false), State::Open);
    assembler
        .push(0, ())
        .expect("the offset is below the end of the response");
    assert!(assembler.pop().is_some());
    assert_eq!(assembler.state(false), State::Complete);
    assert!(assembler.push(1, ()).is_err());
}

#[test]
fn events_do_not_depend_on_how_the_bytes_are_split() {
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
            let mut parser = Parser::new(EVENT_LIMIT);
            let mut events = Vec::new();
            let mut start = 0;
            for cut in cuts {
                parser.feed(&text[start..cut]);
                start = cut;
                while let Some(event) = parser.next_event().expect("the event is within the limit")
                {
                    events.push(event);
                }
            }
            prop_assert_eq!(&events[..], &expected[..]);
            Ok(())
        })
        .expect("the property holds in all cases");
}

#[test]
fn a_line_beyond_the_limit_is_an_error() {
    let mut parser = Parser::new(16);
    parser.feed(&[b'x'; 17]);
    assert_eq!(parser.next_event(), Err(Oversize { limit: 16 }));
}

#[rstest]
#[case::same_pieces(&["ab", "cd"], &["ab", "cd", "ef"], Ok("ef"))]
#[case::other_pieces(&["ab", "cd"], &["a", "bcde", "f"], Ok("ef"))]
#[case::nothing_delivered(&[], &["ab"], Ok("ab"))]
#[case::divergent(&["ab", "cd"], &["ab", "ce"], Err(Divergence { position: 2 }))]
fn regenerated_text_continues_only_after_an_identical_prefix(
    #[case] delivered: &[&str],
    #[case] regenerated: &[&str],
    #[case] expected: Result<&str, Divergence>,
) {
    let mut replay = Replay::default();
    delivered.iter().for_each(|text| replay.deliver(text));
    replay.restart();
    let mut sent = String::new();
    let mut outcome = Ok(());
    for text in regenerated {
        match replay.accept(text) {
            Ok(Piece::Skip) => {}
            Ok(Piece::Rest(text) | Piece::New(text)) => {
                sent.push_str(text);
                replay.deliver(text);
            }
            Err(err) => {
                outcome = Err(err);
                break;
            }
        }
    }
    assert_eq!(outcome.map(|()| sent.as_str()), expected);
}
