//! The monotonic clock of a process.

use std::time::{Duration, Instant};

/// Measures milliseconds since its creation.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    start: Instant,
}

impl Clock {
    /// A clock that starts now.
    pub fn new() -> Clock {
        Clock { start: Instant::now() }
    }

    /// Milliseconds since the start.
    pub fn now_ms(&self) -> u64 {
        self.start.elapsed().as_millis() as u64
    }

    /// Time left until `at_ms` on this clock; zero if that time has passed.
    pub fn until(&self, at_ms: u64) -> Duration {
        let at = self.start + Duration::from_millis(at_ms);
        at.saturating_duration_since(Instant::now())
    }
}

impl Default for Clock {
    fn default() -> Clock {
        Clock::new()
    }
}
