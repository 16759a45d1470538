//! How far a run has come, and whether that shows that it is harmless.

/// A run that started more recently may have crashed its server.
const MIN_SURVIVAL_MS: u64 = 300;
/// The same threshold in events, because a slow server takes longer to crash.
const MIN_SURVIVAL_EVENTS: u64 = 4;
/// A run has passed a point at which servers crashed if it came this many times
/// as far.
const PASSING_FACTOR: u64 = 2;

/// Point of a run.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct RunPoint {
    /// Time since the server began to respond; 0 if it has not.
    pub age_ms: u64,
    /// Number of events.
    pub events: u64,
}

impl RunPoint {
    /// The farther of two points, in each respect.
    pub(super) fn max(self, other: RunPoint) -> RunPoint {
        RunPoint {
            age_ms: self.age_ms.max(other.age_ms),
            events: self.events.max(other.events),
        }
    }

    /// This point, or a later one at which a run no longer has just begun.
    pub(super) fn at_least_lasted(self) -> RunPoint {
        self.max(RunPoint {
            age_ms: MIN_SURVIVAL_MS,
            events: MIN_SURVIVAL_EVENTS,
        })
    }

    /// Whether a run that came to this point has just begun.
    pub fn is_early(self) -> bool {
        !self.passes(RunPoint::default())
    }

    /// Whether a run that comes to this point would have crashed its server if
    /// it did what other runs did at another point.
    pub fn passes(self, other: RunPoint) -> bool {
        let min_ms =
            MIN_SURVIVAL_MS.max(other.age_ms.saturating_mul(PASSING_FACTOR));
        let min_events = MIN_SURVIVAL_EVENTS
            .max(other.events.saturating_mul(PASSING_FACTOR));
        self.age_ms >= min_ms && self.events >= min_events
    }
}

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

    /// The point that the run has reached.
    pub fn point(&self, now_ms: u64) -> RunPoint {
        let age_ms = self.age_ms(now_ms).unwrap_or(0);
        RunPoint { age_ms, events: self.events }
    }

    /// Whether the run has lasted so long that it did not crash its server
    /// when it began.
    pub fn has_survived(&self, now_ms: u64) -> bool {
        !self.point(now_ms).is_early()
    }

    /// How a crash of the server at this moment speaks against the run.
    pub fn suspicion(&self, now_ms: u64) -> RunSuspicion {
        let has_just_begun =
            self.started_ms.is_some() && !self.has_survived(now_ms);
        match has_just_begun {
            true => RunSuspicion::Strong,
            false => RunSuspicion::Weak,
        }
    }
}

/// How much a crash of a server speaks against a run that was there.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum RunSuspicion {
    /// One crash makes a suspect: few of the runs on a server have just begun,
    /// or the run was on trial.
    Strong,
    /// Only another crash makes a suspect, since many runs wait on a server or
    /// have lasted.
    Weak,
}

impl RunSuspicion {
    /// Name for logs.
    pub fn as_str(self) -> &'static str {
        match self {
            RunSuspicion::Strong => "strong",
            RunSuspicion::Weak => "weak",
        }
    }
}
