//! What may still be done for a request, from what became of its attempts.
//!
//! A request that was handed to a backend server counts as one that may have
//! run there until the server states that it has not, so a lost answer
//! forbids another attempt of what must run once. What may be repeated is
//! bounded by the number of backend servers that may have run it; one whose
//! process has ended no longer counts.

use std::collections::BTreeSet;

/// Which backend servers the bound of a route counts.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum CountedBackends {
    /// All to which the request was handed.
    Contacted,
    /// Those that may have run it.
    MayHaveRun,
}

/// The attempts of one request; one is open at a time.
#[derive(Clone, Debug)]
pub struct Attempts {
    may_repeat: bool,
    most_backends: usize,
    counted: CountedBackends,
    may_have_run: bool,
    /// Backend servers that count.
    counting: BTreeSet<String>,
    made: u32,
    /// What stood before the last attempt.
    before: Option<Before>,
}

#[derive(Clone, Debug)]
struct Before {
    backend: String,
    may_have_run: bool,
    did_count: bool,
}

impl Attempts {
    /// None yet, for a request of this kind and route.
    pub fn new(
        may_repeat: bool,
        most_backends: usize,
        counted: CountedBackends,
    ) -> Attempts {
        Attempts {
            may_repeat,
            most_backends,
            counted,
            may_have_run: false,
            counting: BTreeSet::new(),
            made: 0,
            before: None,
        }
    }

    /// Whether another attempt may be made.
    pub fn may_retry(&self) -> bool {
        let is_safe = self.may_repeat || !self.may_have_run;
        is_safe && self.counting.len() < self.most_backends
    }

    /// How many were made.
    pub fn count(&self) -> u32 {
        self.made
    }

    /// Whether the request may have run somewhere.
    pub fn may_have_run(&self) -> bool {
        self.may_have_run
    }

    /// The request is about to be handed to a backend server.
    pub fn begin(&mut self, backend: &str) {
        self.made += 1;
        let is_new = self.counting.insert(backend.to_owned());
        self.before = Some(Before {
            backend: backend.to_owned(),
            may_have_run: self.may_have_run,
            did_count: !is_new,
        });
        self.may_have_run = true;
    }

    /// The backend server of the last attempt states that it did not run it.
    pub fn record_not_run(&mut self) {
        let Some(before) = self.before.take() else { return };
        self.may_have_run = before.may_have_run;
        if self.counted == CountedBackends::MayHaveRun && !before.did_count {
            self.counting.remove(&before.backend);
        }
    }

    /// The process of a backend server has ended.
    pub fn record_backend_exit(&mut self, backend: &str) {
        if self.counted == CountedBackends::MayHaveRun {
            self.counting.remove(backend);
        }
    }
}
