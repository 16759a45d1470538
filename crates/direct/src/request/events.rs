//! Events of a stream.
//!
//! Only whole events are passed on, so that a stream whose engine breaks off
//! in the middle of one can go on elsewhere without a seam.

use chestnutreach_adapter::engine::EVENT_ID_FIELD;

/// Ends an event.
const EVENT_END: &[u8] = b"\n\n";

/// A whole event.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct StreamEvent {
    /// Its id, where it has one.
    pub id: Option<u64>,
    /// Its bytes, with the empty line that ends it.
    pub bytes: Vec<u8>,
}

/// Splits bytes into whole events.
#[derive(Debug, Default)]
pub struct EventSplitter {
    unread: Vec<u8>,
    taken: usize,
}

impl EventSplitter {
    /// A splitter without bytes.
    pub fn new() -> EventSplitter {
        EventSplitter::default()
    }

    /// Adds bytes as they came.
    pub fn push(&mut self, bytes: &[u8]) {
        self.unread.drain(..self.taken);
        self.taken = 0;
        self.unread.extend_from_slice(bytes);
    }

    /// The next whole event.
    pub fn next_event(&mut self) -> Option<StreamEvent> {
        let left = &self.unread[self.taken..];
        let end = left.windows(EVENT_END.len()).position(|w| w == EVENT_END);
        let bytes = left[..end? + EVENT_END.len()].to_vec();
        self.taken += bytes.len();
        Some(StreamEvent { id: id_of(&bytes), bytes })
    }

    /// Whether an event has begun and not ended.
    pub fn has_partial(&self) -> bool {
        self.taken < self.unread.len()
    }
}

fn id_of(event: &[u8]) -> Option<u64> {
    let lines = event.split(|byte| *byte == b'\n');
    let mut values = lines.filter_map(|l| l.strip_prefix(EVENT_ID_FIELD));
    std::str::from_utf8(values.next()?).ok()?.trim().parse().ok()
}
