//! Why a request has no whole answer.

use chestnutreach_state::{NotRunReason, Outcome};

/// Why a request has no whole answer.
#[derive(Clone, Debug)]
pub(crate) struct Ending {
    pub(crate) outcome: Outcome,
    pub(crate) cause: Cause,
    pub(crate) detail: String,
}

/// What ended a request that may have begun.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Cause {
    /// Its time was over.
    Deadline,
    /// The request itself is wrong.
    Request,
    /// Backend servers or connections failed.
    Backend,
}

impl Ending {
    pub(crate) fn not_run(
        reason: NotRunReason,
        retry_after_ms: Option<u64>,
        detail: &str,
    ) -> Ending {
        let outcome = Outcome::NotRun { reason, retry_after_ms };
        Ending::new(outcome, Cause::Backend, detail)
    }

    pub(crate) fn failed(detail: &str) -> Ending {
        Ending::new(Outcome::Failed, Cause::Backend, detail)
    }

    pub(super) fn new(outcome: Outcome, cause: Cause, detail: &str) -> Ending {
        Ending { outcome, cause, detail: detail.to_owned() }
    }
}
