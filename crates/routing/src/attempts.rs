//! Whether a request may get another attempt, from the outcome of earlier
//! attempts.
//!
//! A request that was sent to a backend server may have run there until the
//! server states that it has not, so a lost response forbids another attempt
//! of a request that must run at most once. A request that may run repeatedly
//! is limited by the number of backend servers that may have run it. A server
//! whose process has exited no longer counts.

use std::collections::BTreeSet;

/// Which backend servers count against the limit of a route.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum CountedBackends {
    /// All servers to which the request was sent.
    Contacted,
    /// The servers that may have run the request.
    MayHaveRun,
}

/// The attempts of one request, of which at most one is in progress.
#[derive(Clone, Debug)]
pub struct Attempts {
    may_repeat: bool,
    max_backends: usize,
    counting_rule: CountedBackends,
    may_have_run: bool,
    /// Names of the backend servers that count against the limit.
    counted_backends: BTreeSet<String>,
    count: u32,
    /// State before the last attempt, restored if that attempt did not run.
    previous: Option<PreviousState>,
}

#[derive(Clone, Debug)]
struct PreviousState {
    backend: String,
    may_have_run: bool,
    was_counted: bool,
}

impl Attempts {
    /// Starts without attempts, for a request of this kind and route.
    pub fn new(
        may_repeat: bool,
        max_backends: usize,
        counting_rule: CountedBackends,
    ) -> Attempts {
        Attempts {
            may_repeat,
            max_backends,
            counting_rule,
            may_have_run: false,
            counted_backends: BTreeSet::new(),
            count: 0,
            previous: None,
        }
    }

    /// Whether another attempt may be made.
    pub fn may_retry(&self) -> bool {
        let is_safe = self.may_repeat || !self.may_have_run;
        is_safe && self.counted_backends.len() < self.max_backends
    }

    /// Number of attempts made.
    pub fn count(&self) -> u32 {
        self.count
    }

    /// Whether the request may have run on some server.
    pub fn may_have_run(&self) -> bool {
        self.may_have_run
    }

    /// Records that the request is about to be sent to a backend server.
    pub fn begin(&mut self, backend: &str) {
        self.count += 1;
        let is_new = self.counted_backends.insert(backend.to_owned());
        self.previous = Some(PreviousState {
            backend: backend.to_owned(),
            may_have_run: self.may_have_run,
            was_counted: !is_new,
        });
        self.may_have_run = true;
    }

    /// Records that the backend server of the last attempt states that it did
    /// not run the request.
    pub fn record_not_run(&mut self) {
        let Some(previous) = self.previous.take() else { return };
        self.may_have_run = previous.may_have_run;
        if self.counting_rule == CountedBackends::MayHaveRun
            && !previous.was_counted
        {
            self.counted_backends.remove(&previous.backend);
        }
    }

    /// Records that the process of a backend server has exited.
    pub fn record_backend_exit(&mut self, backend: &str) {
        if self.counting_rule == CountedBackends::MayHaveRun {
            self.counted_backends.remove(backend);
        }
    }
}
