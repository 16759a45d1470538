//! `EventSplitter` yields complete events from bytes in arbitrary chunks.

use chestnutreach_direct::events::{EventSplitter, StreamEvent};
use rstest::rstest;

struct Case {
    chunks: &'static [&'static str],
    ids: &'static [Option<u64>],
    has_partial: bool,
}

/// The bytes after the last event are counted, so that an event without an
/// end can be cut off.
#[test]
fn bytes_of_an_incomplete_event_are_counted() {
    let mut splitter = EventSplitter::new();
    splitter.push(b"id: 1\n");
    for size in 1..=100 {
        splitter.push(b"a");
        assert!(splitter.next_event().is_none());
        assert_eq!(splitter.partial_bytes(), 6 + size);
    }
    splitter.push(b"\n\nid: 2");
    assert_eq!(splitter.next_event().unwrap().id, Some(1));
    assert_eq!(splitter.partial_bytes(), 5);
}

#[rstest]
#[case::one_event(Case {
    chunks: &["id: 1\ndata: a\n\n"], ids: &[Some(1)], has_partial: false,
})]
#[case::events_split_across_chunks(Case {
    chunks: &["id", ": 1\nda", "ta: a\n", "\nid: 2"],
    ids: &[Some(1)], has_partial: true,
})]
#[case::several_events_in_one_chunk(Case {
    chunks: &["id: 1\n\nid: 2\n\nid: 3\n\n"],
    ids: &[Some(1), Some(2), Some(3)], has_partial: false,
})]
#[case::other_field_before_the_id(Case {
    chunks: &["x-weight-versions: 3\nid: 9\ndata: x\n\n"],
    ids: &[Some(9)], has_partial: false,
})]
#[case::event_without_id(Case {
    chunks: &["data: x\n\n"], ids: &[None], has_partial: false,
})]
fn splitter_yields_complete_events_and_leaves_bytes_unchanged(
    #[case] case: Case,
) {
    let mut splitter = EventSplitter::new();
    let mut events: Vec<StreamEvent> = Vec::new();
    for chunk in case.chunks {
        splitter.push(chunk.as_bytes());
        while let Some(event) = splitter.next_event() {
            events.push(event);
        }
    }
    let ids: Vec<Option<u64>> = events.iter().map(|e| e.id).collect();
    assert_eq!(ids, case.ids);
    assert_eq!(splitter.has_partial(), case.has_partial);
    let yielded: Vec<u8> = events.into_iter().flat_map(|e| e.bytes).collect();
    let all = case.chunks.concat().into_bytes();
    assert!(all.starts_with(&yielded), "the splitter changed the bytes");
}
