//! Faults that can be switched on while a stand-in serves.

use std::{
    sync::{
        Mutex, MutexGuard,
        atomic::{AtomicU32, Ordering},
    },
    time::Duration,
};

use async_io::Timer;
use serde::{Deserialize, Serialize};

/// How a stand-in is down.
#[derive(
    Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize,
)]
#[serde(rename_all = "snake_case")]
pub enum Down {
    /// It is up.
    #[default]
    No,
    /// It closes each connection when a request has come.
    Closed,
    /// It answers 503 and does nothing.
    Unavailable,
}

/// Body of `PUT /faults`; what is left out is off.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct FaultSettings {
    /// Whether it is down.
    pub down: Down,
    /// Pause before each call.
    pub slow_ms: u64,
    /// Calls of 1,000 that are answered 500; of the writes among them half
    /// are applied.
    pub error_permille: u32,
    /// Next writes that are applied, and the connection closed.
    pub lose_answers: u64,
    /// Next writes that are dropped, and the connection closed.
    pub lose_requests: u64,
    /// Holds writes before they are applied, until switched off.
    pub hold_requests: bool,
    /// Holds the answers of writes that were applied, until switched off.
    pub hold_answers: bool,
    /// Age of the VM list that is shown.
    pub lag_ms: u64,
    /// Read requests taken in a second; 0 for no limit.
    pub max_reads_per_s: u64,
    /// Write requests taken in a second; 0 for no limit.
    pub max_writes_per_s: u64,
}

/// The faults of a stand-in, as they are set now.
#[derive(Debug, Default)]
pub struct Faults {
    settings: Mutex<FaultSettings>,
    held: AtomicU32,
}

/// Time between two looks at whether a write is still held.
const HOLD_LOOK: Duration = Duration::from_millis(1);

/// Where a write is held.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum HoldPoint {
    Request,
    Answer,
}

/// What is to happen to a call.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum Fate {
    Serve,
    CloseBefore,
    CloseAfter,
    FailBefore,
    FailAfter,
    Refuse,
}

impl Faults {
    /// No faults.
    pub fn new() -> Faults {
        Faults::default()
    }

    /// Sets all faults anew.
    pub fn set(&self, settings: FaultSettings) {
        *self.lock() = settings;
    }

    /// The faults as they are now; counts that were used up are lower.
    pub fn settings(&self) -> FaultSettings {
        self.lock().clone()
    }

    pub(super) fn pause(&self) -> Duration {
        Duration::from_millis(self.lock().slow_ms)
    }

    /// Decides on a call and uses up what it takes.
    pub(super) fn fate(&self, is_write: bool) -> Fate {
        let mut settings = self.lock();
        match settings.down {
            Down::No => {}
            Down::Closed => return Fate::CloseBefore,
            Down::Unavailable => return Fate::Refuse,
        }
        if fastrand::u32(..1000) < settings.error_permille {
            return match fastrand::bool() {
                true => Fate::FailBefore,
                false => Fate::FailAfter,
            };
        }
        if is_write && settings.lose_requests > 0 {
            settings.lose_requests -= 1;
            return Fate::CloseBefore;
        }
        if is_write && settings.lose_answers > 0 {
            settings.lose_answers -= 1;
            return Fate::CloseAfter;
        }
        Fate::Serve
    }

    /// Waits while a write is held.
    pub(super) async fn hold(&self, point: HoldPoint) {
        if !self.is_held(point) {
            return;
        }
        self.held.fetch_add(1, Ordering::AcqRel);
        while self.is_held(point) {
            Timer::after(HOLD_LOOK).await;
        }
        self.held.fetch_sub(1, Ordering::AcqRel);
    }

    fn is_held(&self, point: HoldPoint) -> bool {
        let settings = self.lock();
        match point {
            HoldPoint::Request => settings.hold_requests,
            HoldPoint::Answer => settings.hold_answers,
        }
    }

    /// Writes held now.
    pub(super) fn held(&self) -> u32 {
        self.held.load(Ordering::Acquire)
    }

    fn lock(&self) -> MutexGuard<'_, FaultSettings> {
        self.settings.lock().expect("no holder panics")
    }
}
