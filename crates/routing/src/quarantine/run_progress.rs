//! Whether a run has lasted long enough to be harmless.

/// A run that began so recently may be why its server crashes.
const YOUNG_MS: u64 = 300;
/// The same in events, since a slow server takes longer to crash.
const YOUNG_EVENTS: u64 = 4;

/// The start of a run at a server.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct RunProgress {
    began_ms: Option<u64>,
    events: u64,
}

impl RunProgress {
    /// A run that has not begun: it was sent on, or is queued.
    pub fn new() -> RunProgress {
        RunProgress::default()
    }

    /// The server has begun to answer.
    pub fn record_start(&mut self, now_ms: u64) {
        self.began_ms = Some(now_ms);
    }

    /// An event of this run has come.
    pub fn record_event(&mut self) {
        self.events += 1;
    }

    /// Events of this run.
    pub fn events(&self) -> u64 {
        self.events
    }

    /// Time since it began; none before.
    pub fn age_ms(&self, now_ms: u64) -> Option<u64> {
        let began_ms = self.began_ms?;
        Some(now_ms.saturating_sub(began_ms))
    }

    /// Whether it has lasted so long that it would have crashed its server.
    pub fn has_survived(&self, now_ms: u64) -> bool {
        let age_ms = self.age_ms(now_ms);
        age_ms.is_some_and(|ms| ms >= YOUNG_MS) && self.events >= YOUNG_EVENTS
    }

    /// Whether a crash of its server now may be its doing.
    pub fn may_have_crashed_server(&self, now_ms: u64) -> bool {
        self.began_ms.is_some() && !self.has_survived(now_ms)
    }
}
