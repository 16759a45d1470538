//! Whether a process is ready for work, and what blocks it if not.

use std::{
    collections::BTreeMap,
    sync::{Mutex, MutexGuard},
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
}

impl Readiness {
    /// Blocked until each of these conditions is cleared.
    pub fn new(conditions: &[&'static str]) -> Readiness {
        let blocked = conditions.iter().map(|c| (*c, NOT_YET.to_owned()));
        Readiness { blocked: Mutex::new(blocked.collect()) }
    }

    /// Blocks the process on `condition`, or updates the reason.
    pub fn block(&self, condition: &'static str, reason: impl Into<String>) {
        self.lock().insert(condition, reason.into());
    }

    /// Removes a condition.
    pub fn clear(&self, condition: &str) {
        self.lock().remove(condition);
    }

    /// Whether no condition blocks the process.
    pub fn is_ready(&self) -> bool {
        self.lock().is_empty()
    }

    /// Blocking conditions with their reasons.
    pub fn reasons(&self) -> BTreeMap<&'static str, String> {
        self.lock().clone()
    }

    fn lock(&self) -> MutexGuard<'_, BTreeMap<&'static str, String>> {
        self.blocked.lock().expect("no holder panics")
    }
}
