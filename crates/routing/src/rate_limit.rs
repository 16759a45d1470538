//! The rate limit that a backend server announces in its responses.
//!
//! An overloaded server states in each response how many requests per second
//! it accepts from all entries together; a response without a limit ends the
//! limit. Responses can overtake each other, and entries report theirs to each
//! other in messages that may be lost, late or repeated. The state is
//! therefore reduced to two times that only grow: when a response with a limit
//! was last received, and when a request whose response had no limit was last
//! sent. The limit applies unless the second time is later, because only then
//! did the server certainly begin that response after the other one.

/// Lowest limit that is kept, in requests per second: if a server got no
/// requests, no entry would learn that its limit has ended.
pub const MIN_PER_S: f64 = 0.25;
/// Highest limit that is kept, beyond what any server handles.
const MOST_PER_S: f64 = 1e6;

/// A limit that a server announced.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct AnnouncedLimit {
    /// Requests per second.
    pub per_s: f64,
    /// When the response was received, in milliseconds.
    pub received_ms: u64,
}

/// What is known of a server's limit.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct ServerRateLimit {
    announced: Option<AnnouncedLimit>,
    absent_sent_ms: Option<u64>,
}

impl ServerRateLimit {
    /// Starts without responses.
    pub fn new() -> ServerRateLimit {
        ServerRateLimit::default()
    }

    /// Records a response with a limit. Of two responses received at the same
    /// time, the lower limit counts, in whatever order they are recorded.
    pub fn record_announced(&mut self, per_s: f64, received_ms: u64) {
        let per_s = per_s.clamp(MIN_PER_S, MOST_PER_S);
        let is_newer = self.announced.is_none_or(|old| {
            received_ms > old.received_ms
                || (received_ms == old.received_ms && per_s < old.per_s)
        });
        if is_newer {
            self.announced = Some(AnnouncedLimit { per_s, received_ms });
        }
    }

    /// Records a response without a limit to a request sent at `sent_ms`.
    pub fn record_absent(&mut self, sent_ms: u64) {
        self.absent_sent_ms = self.absent_sent_ms.max(Some(sent_ms));
    }

    /// The last announced limit, even if it has ended.
    pub fn last_announced(&self) -> Option<AnnouncedLimit> {
        self.announced
    }

    /// When a request whose response had no limit was last sent.
    pub fn absent_sent_ms(&self) -> Option<u64> {
        self.absent_sent_ms
    }

    /// The limit that applies now, if any.
    pub fn current(&self) -> Option<AnnouncedLimit> {
        let has_ended = |announced: &AnnouncedLimit| {
            self.absent_sent_ms
                .is_some_and(|sent| sent > announced.received_ms)
        };
        self.announced.filter(|announced| !has_ended(announced))
    }
}
