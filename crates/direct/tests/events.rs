//! Whole events out of bytes that come in any pieces.

use chestnutreach_direct::events::{EventSplitter, StreamEvent};
use rstest::rstest;

struct Case {
    parts: &'static [&'static str],
    ids: &'static [Option<u64>],
    has_partial: bool,
}

#[rstest]
#[case::one(Case {
    parts: &["id: 1\ndata: a\n\n"], ids: &[Some(1)], has_partial: false,
})]
#[case::in_pieces(Case {
    parts: &["id", ": 1\nda", "ta: a\n", "\nid: 2"],
    ids: &[Some(1)], has_partial: true,
})]
#[case::several_at_once(Case {
    parts: &["id: 1\n\nid: 2\n\nid: 3\n\n"],
    ids: &[Some(1), Some(2), Some(3)], has_partial: false,
})]
#[case::weights_before_the_id(Case {
    parts: &["x-weight-versions: 3\nid: 9\ndata: x\n\n"],
    ids: &[Some(9)], has_partial: false,
})]
#[case::no_id(Case {
    parts: &["data: x\n\n"], ids: &[None], has_partial: false,
})]
fn events_are_whole(#[case] case: Case) {
    let mut splitter = EventSplitter::new();
    let mut events: Vec<StreamEvent> = Vec::new();
    for part in case.parts {
        splitter.push(part.as_bytes());
        while let Some(event) = splitter.next_event() {
            events.push(event);
        }
    }
    let ids: Vec<Option<u64>> = events.iter().map(|e| e.id).collect();
    assert_eq!(ids, case.ids);
    assert_eq!(splitter.has_partial(), case.has_partial);
    let whole: Vec<u8> = events.into_iter().flat_map(|e| e.bytes).collect();
    let all = case.parts.concat().into_bytes();
    assert!(all.starts_with(&whole), "bytes are unchanged");
}
