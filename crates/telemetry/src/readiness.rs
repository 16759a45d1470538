//! Whether a process should get work, and what it waits for if not.

use std::{
    collections::BTreeMap,
    sync::{Mutex, MutexGuard},
};

/// Reason of a condition that was never met.
const NOT_YET: &str = "not yet";

/// Named conditions that hold a process back; ready when there is none.
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
    /// Held back until each of these conditions is cleared.
    pub fn new(conditions: &[&'static str]) -> Readiness {
        let blocked = conditions.iter().map(|c| (*c, NOT_YET.to_owned()));
        Readiness { blocked: Mutex::new(blocked.collect()) }
    }

    /// Holds the process back.
    pub fn block(&self, condition: &'static str, reason: impl Into<String>) {
        self.lock().insert(condition, reason.into());
    }

    /// A condition no longer holds the process back.
    pub fn clear(&self, condition: &str) {
        self.lock().remove(condition);
    }

    /// Whether nothing holds the process back.
    pub fn is_ready(&self) -> bool {
        self.lock().is_empty()
    }

    /// What holds the process back, and why.
    pub fn reasons(&self) -> BTreeMap<&'static str, String> {
        self.lock().clone()
    }

    fn lock(&self) -> MutexGuard<'_, BTreeMap<&'static str, String>> {
        self.blocked.lock().expect("no holder panics")
    }
}
