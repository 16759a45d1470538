//! Whether a run has survived long enough to count as harmless.

/// A run that started more recently may have crashed its server.
const MIN_SURVIVAL_MS: u64 = 300;
/// The same threshold in events, because a slow server takes longer to crash.
const MIN_SURVIVAL_EVENTS: u64 = 4;

/// Progress of a run on a server.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct RunProgress {
    started_ms: Option<u64>,
    events: u64,
}

impl RunProgress {
    /// A run that has not started: it was sent to another server or is queued.
    pub fn new() -> RunProgress {
        RunProgress::default()
    }

    /// Records that the server has begun to respond.
    pub fn record_start(&mut self, now_ms: u64) {
        self.started_ms = Some(now_ms);
    }

    /// Records an event of the run.
    pub fn record_event(&mut self) {
        self.events += 1;
    }

    /// Number of events of the run.
    pub fn events(&self) -> u64 {
        self.events
    }

    /// Time since the run started, if it has.
    pub fn age_ms(&self, now_ms: u64) -> Option<u64> {
        let started_ms = self.started_ms?;
        Some(now_ms.saturating_sub(started_ms))
    }

    /// Whether the run has lasted so long that it would already have crashed
    /// its server.
    pub fn has_survived(&self, now_ms: u64) -> bool {
        let age_ms = self.age_ms(now_ms);
        age_ms.is_some_and(|ms| ms >= MIN_SURVIVAL_MS)
            && self.events >= MIN_SURVIVAL_EVENTS
    }

    /// Whether a crash of the server at this moment may be due to this run.
    pub fn may_have_crashed_server(&self, now_ms: u64) -> bool {
        self.started_ms.is_some() && !self.has_survived(now_ms)
    }
}
