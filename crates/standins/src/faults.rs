//! Faults that tests inject into a running stand-in.
//!
//! `PUT /faults` replaces all faults; a fault that the body omits is off. The
//! paths `/faults`, `/held`, `/rests`, `/record` and `/stats` are not affected
//! by faults. A held call continues as soon as its fault is switched off.

use std::{
    sync::{
        Mutex, MutexGuard,
        atomic::{AtomicU32, Ordering},
    },
    time::{Duration, Instant},
};

use async_io::Timer;
use serde::{Deserialize, Serialize};

/// Faults of a stand-in, the body of `PUT /faults`.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct Faults {
    /// Closes the connection when a call arrives.
    pub down: bool,
    /// Reads calls and never responds.
    pub silent: bool,
    /// Delay of responses after the run, in milliseconds.
    pub slow_ms: u64,
    /// Share of calls that get status 500 without a run, in thousandths.
    pub error_permille: u32,
    /// Switches `down` on after this many more positions have run.
    pub fail_after_positions: Option<u64>,
    /// Runs calls and closes the connection instead of responding.
    pub lose_answers: bool,
    /// Rejects calls without a run and requests a cooldown of this many
    /// milliseconds.
    pub rest_ms: Option<u64>,
    /// Holds calls with a step that starts at this position, before the run.
    pub hold_before_position: Option<u32>,
    /// Holds the responses of calls with a step that starts at this position,
    /// after the run.
    pub hold_after_position: Option<u32>,
}

/// Interval at which a held call checks whether its fault is still on.
const HOLD_POLL_INTERVAL: Duration = Duration::from_millis(1);

/// Point at which a call is held, relative to its run.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum HoldPoint {
    Before,
    After,
}

/// How a call is handled under the current faults.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum CallAction {
    Run,
    Close,
    Hang,
    Fail,
    /// The call is rejected with a cooldown of this length.
    Reject(Duration),
}

/// Response to `GET /rests`.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq, Serialize)]
pub(crate) struct CooldownStats {
    /// Calls that were rejected with a cooldown.
    turned_away: u64,
    /// Rejected calls that arrived during the cooldown of an earlier one.
    in_rest: u64,
    /// Maximum of `in_rest` over single cooldowns. A call that arrives during
    /// a cooldown extends it.
    most_in_one: u64,
    #[serde(skip)]
    in_current_cooldown: u64,
    #[serde(skip)]
    ends_at: Option<Instant>,
}

/// Current faults of one stand-in, and counts of the calls they affected.
#[derive(Debug, Default)]
pub(crate) struct FaultSwitches {
    faults: Mutex<Faults>,
    held_calls: AtomicU32,
    cooldowns: Mutex<CooldownStats>,
}

impl FaultSwitches {
    fn lock(&self) -> MutexGuard<'_, Faults> {
        self.faults.lock().expect("no holder panics")
    }

    pub(crate) fn read(&self) -> Faults {
        self.lock().clone()
    }

    pub(crate) fn replace(&self, faults: Faults) {
        *self.lock() = faults;
    }

    pub(crate) fn next_action(&self) -> CallAction {
        let faults = self.lock();
        if faults.down {
            CallAction::Close
        } else if faults.silent {
            CallAction::Hang
        } else if fastrand::u32(0..1000) < faults.error_permille {
            CallAction::Fail
        } else if let Some(rest_ms) = faults.rest_ms {
            let cooldown = Duration::from_millis(rest_ms);
            self.record_rejection(cooldown);
            CallAction::Reject(cooldown)
        } else {
            CallAction::Run
        }
    }

    fn record_rejection(&self, cooldown: Duration) {
        let now = Instant::now();
        let mut cooldowns = self.cooldowns.lock().expect("no holder panics");
        cooldowns.turned_away += 1;
        if cooldowns.ends_at.is_some_and(|ends_at| now < ends_at) {
            cooldowns.in_rest += 1;
            cooldowns.in_current_cooldown += 1;
            cooldowns.most_in_one =
                cooldowns.most_in_one.max(cooldowns.in_current_cooldown);
        } else {
            cooldowns.in_current_cooldown = 0;
        }
        cooldowns.ends_at = Some(now + cooldown);
    }

    /// Counts of the calls rejected with a cooldown so far.
    pub(crate) fn cooldown_stats(&self) -> CooldownStats {
        *self.cooldowns.lock().expect("no holder panics")
    }

    /// Whether the response of a call that ran is lost.
    pub(crate) fn loses_response(&self) -> bool {
        let faults = self.lock();
        faults.down || faults.lose_answers
    }

    pub(crate) fn delay(&self) -> Duration {
        Duration::from_millis(self.lock().slow_ms)
    }

    pub(crate) fn is_down(&self) -> bool {
        self.lock().down
    }

    /// Counts positions that ran towards `fail_after_positions`.
    pub(crate) fn count_positions(&self, count: u32) {
        let mut faults = self.lock();
        let Some(left) = faults.fail_after_positions else { return };
        let left = left.saturating_sub(count.into());
        faults.fail_after_positions = Some(left);
        faults.down |= left == 0;
    }

    /// Waits while calls with steps that start at these positions are held.
    pub(crate) async fn hold(&self, point: HoldPoint, positions: &[u32]) {
        if !self.is_held(point, positions) {
            return;
        }
        self.held_calls.fetch_add(1, Ordering::AcqRel);
        while self.is_held(point, positions) {
            Timer::after(HOLD_POLL_INTERVAL).await;
        }
        self.held_calls.fetch_sub(1, Ordering::AcqRel);
    }

    fn is_held(&self, point: HoldPoint, positions: &[u32]) -> bool {
        let faults = self.lock();
        let held_position = match point {
            HoldPoint::Before => faults.hold_before_position,
            HoldPoint::After => faults.hold_after_position,
        };
        held_position.is_some_and(|at| positions.contains(&at))
    }

    /// Number of calls that are currently held.
    pub(crate) fn held_calls(&self) -> u32 {
        self.held_calls.load(Ordering::Acquire)
    }
}
