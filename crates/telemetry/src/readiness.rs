//! Whether a process is ready for work, and what blocks it if not.

use std::{
    collections::BTreeMap,
    sync::{
        Mutex, MutexGuard,
        atomic::{AtomicBool, Ordering::Relaxed},
    },
};

/// Reason of a condition that has not been met since startup.
const NOT_YET: &str = "not yet";

/// Named conditions that block a process; the process is ready when none is
/// left.
///
/// # Example
///
/// ```
/// use chestnutreach_telemetry::Readiness;
///
/// let readiness = Readiness::new(&["manifest"]);
/// assert!(!readiness.is_ready());
/// readiness.clear("manifest");
/// assert!(readiness.is_ready());
/// readiness.block("drain", "an operator drains this VM");
/// assert_eq!(readiness.reasons()["drain"], "an operator drains this VM");
/// ```
#[derive(Debug, Default)]
pub struct Readiness {
    blocked: Mutex<BTreeMap<&'static str, String>>,
    /// Whether there is any, so that each request may clear a condition
    /// without a lock.
    is_blocked: AtomicBool,
}

impl Readiness {
    /// Blocked until each of these conditions is cleared.
    pub fn new(conditions: &[&'static str]) -> Readiness {
        let blocked = conditions.iter().map(|c| (*c, NOT_YET.to_owned()));
        let blocked: BTreeMap<_, _> = blocked.collect();
        Readiness {
            is_blocked: AtomicBool::new(!blocked.is_empty()),
            blocked: Mutex::new(blocked),
        }
    }

    /// Blocks the process on `condition`, or updates the reason; true if the
    /// condition did not block it before.
    pub fn block(
        &self,
        condition: &'static str,
        reason: impl Into<String>,
    ) -> bool {
        let mut blocked = self.lock();
        self.is_blocked.store(true, Relaxed);
        blocked.insert(condition, reason.into()).is_none()
    }

    /// Removes a condition.
    pub fn clear(&self, condition: &str) {
        if self.is_ready() {
            return;
        }
        let mut blocked = self.lock();
        blocked.remove(condition);
        self.is_blocked.store(!blocked.is_empty(), Relaxed);
    }

    /// Whether no condition blocks the process.
    pub fn is_ready(&self) -> bool {
        !self.is_blocked.load(Relaxed)
    }

    /// Blocking conditions with their reasons.
    pub fn reasons(&self) -> BTreeMap<&'static str, String> {
        self.lock().clone()
    }

    fn lock(&self) -> MutexGuard<'_, BTreeMap<&'static str, String>> {
        self.blocked.lock().expect("no holder panics")
    }
}
