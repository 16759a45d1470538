//! Faults that tests inject into a running stand-in of the platform.

use std::{
    sync::{
        Mutex, MutexGuard,
        atomic::{AtomicU32, Ordering},
    },
    time::Duration,
};

use async_io::Timer;
use serde::{Deserialize, Serialize};

/// Whether and how a stand-in is down.
#[derive(
    Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize,
)]
#[serde(rename_all = "snake_case")]
pub enum Down {
    /// Up.
    #[default]
    No,
    /// Closes the connection when a request has been received.
    Closed,
    /// Returns status 503 without handling the request.
    Unavailable,
}

/// Body of `PUT /faults`; omitted faults are off.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct FaultSettings {
    /// Whether and how the stand-in is down.
    pub down: Down,
    /// Delay before each call, in milliseconds.
    pub slow_ms: u64,
    /// Share of calls that get status 500, in thousandths. About half of the
    /// writes among them are applied nevertheless.
    pub error_permille: u32,
    /// Number of next writes that are applied but whose connection is closed
    /// without a response.
    pub lose_answers: u64,
    /// Number of next writes that are dropped and whose connection is closed.
    pub lose_requests: u64,
    /// Holds writes before they are applied, until the fault is switched off.
    pub hold_requests: bool,
    /// Holds the responses of applied writes until the fault is switched off.
    pub hold_answers: bool,
    /// Minimum age of the VM list that is returned, in milliseconds.
    pub lag_ms: u64,
    /// Maximum read requests per second; 0 for no limit.
    pub max_reads_per_s: u64,
    /// Maximum write requests per second; 0 for no limit.
    pub max_writes_per_s: u64,
}

/// Current faults of a stand-in.
#[derive(Debug, Default)]
pub struct Faults {
    settings: Mutex<FaultSettings>,
    held_writes: AtomicU32,
}

/// Interval at which a held write checks whether its fault is still on.
const HOLD_POLL_INTERVAL: Duration = Duration::from_millis(1);

/// Point at which a write is held.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum HoldPoint {
    Request,
    Response,
}

/// How a call is handled under the current faults.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum CallAction {
    Serve,
    CloseBefore,
    CloseAfter,
    FailBefore,
    FailAfter,
    Refuse,
}

impl Faults {
    /// Creates settings with all faults off.
    pub fn new() -> Faults {
        Faults::default()
    }

    /// Replaces all faults.
    pub fn set(&self, settings: FaultSettings) {
        *self.lock() = settings;
    }

    /// Current faults; counts are reduced by the writes they already affected.
    pub fn settings(&self) -> FaultSettings {
        self.lock().clone()
    }

    pub(super) fn delay(&self) -> Duration {
        Duration::from_millis(self.lock().slow_ms)
    }

    /// Decides how a call is handled, and decrements the count of the fault
    /// that applies.
    pub(super) fn next_action(&self, is_write: bool) -> CallAction {
        let mut settings = self.lock();
        match settings.down {
            Down::No => {}
            Down::Closed => return CallAction::CloseBefore,
            Down::Unavailable => return CallAction::Refuse,
        }
        if fastrand::u32(..1000) < settings.error_permille {
            return match fastrand::bool() {
                true => CallAction::FailBefore,
                false => CallAction::FailAfter,
            };
        }
        if is_write && settings.lose_requests > 0 {
            settings.lose_requests -= 1;
            return CallAction::CloseBefore;
        }
        if is_write && settings.lose_answers > 0 {
            settings.lose_answers -= 1;
            return CallAction::CloseAfter;
        }
        CallAction::Serve
    }

    /// Waits while writes are held at this point.
    pub(super) async fn hold(&self, point: HoldPoint) {
        if !self.is_held(point) {
            return;
        }
        self.held_writes.fetch_add(1, Ordering::AcqRel);
        while self.is_held(point) {
            Timer::after(HOLD_POLL_INTERVAL).await;
        }
        self.held_writes.fetch_sub(1, Ordering::AcqRel);
    }

    fn is_held(&self, point: HoldPoint) -> bool {
        let settings = self.lock();
        match point {
            HoldPoint::Request => settings.hold_requests,
            HoldPoint::Response => settings.hold_answers,
        }
    }

    /// Number of writes that are currently held.
    pub(super) fn held_writes(&self) -> u32 {
        self.held_writes.load(Ordering::Acquire)
    }

    fn lock(&self) -> MutexGuard<'_, FaultSettings> {
        self.settings.lock().expect("no holder panics")
    }
}
