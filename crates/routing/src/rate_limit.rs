//! The limit on requests that a backend server names in its answers.
//!
//! A server in need names in each answer how many requests a second it takes
//! from all entries together; an answer without one ends that. Answers
//! overtake each other, and entries tell each other of theirs by messages
//! that are lost, late and repeated. So all that is kept is two times that
//! only grow: when an answer that names a limit was last received, and when
//! the request of an answer that names none was last sent. The limit holds
//! unless the second is later, since only then did the server surely begin
//! that answer after the other one.

/// Lowest limit that is kept, in requests a second: of a server that gets
/// nothing nobody would learn that its need is over.
pub const MIN_PER_S: f64 = 0.25;
/// Highest limit that is kept, beyond what any server takes.
const MOST_PER_S: f64 = 1e6;

/// A limit that was named.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct AnnouncedLimit {
    /// Requests a second.
    pub per_s: f64,
    /// When its answer was received, in milliseconds.
    pub received_ms: u64,
}

/// What is known of a server's limit.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct ServerRateLimit {
    named: Option<AnnouncedLimit>,
    absent_sent_ms: Option<u64>,
}

impl ServerRateLimit {
    /// No answer is known.
    pub fn new() -> ServerRateLimit {
        ServerRateLimit::default()
    }

    /// An answer named a limit. Of two that were received at the same time
    /// the lower counts, whichever comes to be known first.
    pub fn record_announced(&mut self, per_s: f64, received_ms: u64) {
        let per_s = per_s.clamp(MIN_PER_S, MOST_PER_S);
        let is_newer = self.named.is_none_or(|old| {
            received_ms > old.received_ms
                || (received_ms == old.received_ms && per_s < old.per_s)
        });
        if is_newer {
            self.named = Some(AnnouncedLimit { per_s, received_ms });
        }
    }

    /// An answer to a request that was sent then named no limit.
    pub fn record_absent(&mut self, sent_ms: u64) {
        self.absent_sent_ms = self.absent_sent_ms.max(Some(sent_ms));
    }

    /// The limit that was named last, also if it has ended.
    pub fn last_announced(&self) -> Option<AnnouncedLimit> {
        self.named
    }

    /// When the request of an answer without one was last sent.
    pub fn absent_sent_ms(&self) -> Option<u64> {
        self.absent_sent_ms
    }

    /// The limit that holds.
    pub fn current(&self) -> Option<AnnouncedLimit> {
        let is_over = |named: &AnnouncedLimit| {
            self.absent_sent_ms.is_some_and(|sent| sent > named.received_ms)
        };
        self.named.filter(|named| !is_over(named))
    }
}
