//! Splits a stream into events.
//!
//! The entry forwards only complete events, so that a stream whose engine
//! fails within an event can be resumed at another engine.

use chestnutreach_adapter::engine::EVENT_ID_FIELD;

/// The terminator of an event.
const EVENT_END: &[u8] = b"\n\n";

/// A complete event.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct StreamEvent {
    /// The value of the id field.
    pub id: Option<u64>,
    /// The bytes of the event, including the empty line at its end.
    pub bytes: Vec<u8>,
}

/// Splits bytes into complete events.
#[derive(Debug, Default)]
pub struct EventSplitter {
    buffer: Vec<u8>,
    consumed: usize,
    /// Bytes after `consumed` that hold no end of an event.
    searched: usize,
}

impl EventSplitter {
    /// Creates an empty splitter.
    pub fn new() -> EventSplitter {
        EventSplitter::default()
    }

    /// Appends received bytes.
    pub fn push(&mut self, bytes: &[u8]) {
        self.buffer.drain(..self.consumed);
        self.consumed = 0;
        self.buffer.extend_from_slice(bytes);
    }

    /// The next complete event.
    pub fn next_event(&mut self) -> Option<StreamEvent> {
        let rest = &self.buffer[self.consumed..];
        // The end may have begun with the last byte searched.
        let from = self.searched.saturating_sub(EVENT_END.len() - 1);
        let mut ends = rest[from..].windows(EVENT_END.len());
        let Some(at) = ends.position(|w| w == EVENT_END) else {
            self.searched = rest.len();
            return None;
        };
        let bytes = rest[..from + at + EVENT_END.len()].to_vec();
        self.consumed += bytes.len();
        self.searched = 0;
        Some(StreamEvent { id: id_of(&bytes), bytes })
    }

    /// Whether the bytes end with an incomplete event.
    pub fn has_partial(&self) -> bool {
        self.partial_bytes() > 0
    }

    /// Size of the incomplete event at the end of the bytes.
    pub fn partial_bytes(&self) -> usize {
        self.buffer.len() - self.consumed
    }
}

fn id_of(event: &[u8]) -> Option<u64> {
    let lines = event.split(|byte| *byte == b'\n');
    let mut values = lines.filter_map(|l| l.strip_prefix(EVENT_ID_FIELD));
    std::str::from_utf8(values.next()?).ok()?.trim().parse().ok()
}
