//! Why a request ended without a complete response.

use chestnutreach_protocol::wire::{FailureReason, RefusalReason};
use chestnutreach_state::{NotRunReason, Outcome};

/// Why a request ended without a complete response.
#[derive(Clone, Debug)]
pub(crate) struct RequestFailure {
    pub(crate) outcome: Outcome,
    pub(crate) cause: Cause,
    /// Delay before a retry; `None` where a retry does not help.
    pub(crate) retry_after_ms: Option<u64>,
    /// Message for the caller.
    pub(crate) detail: String,
    /// Additional detail for operators: names and addresses that are not
    /// disclosed to callers.
    pub(crate) operator_detail: String,
}

/// What ended a request that may have started.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Cause {
    /// The deadline has passed.
    Deadline,
    /// The request itself is invalid.
    Request,
    /// Backend servers or connections failed.
    Backend,
}

impl RequestFailure {
    pub(crate) fn not_run(
        reason: NotRunReason,
        retry_after_ms: Option<u64>,
        detail: &str,
    ) -> RequestFailure {
        let outcome = Outcome::NotRun { reason, retry_after_ms };
        RequestFailure::new(outcome, Cause::Backend, detail)
    }

    pub(crate) fn failed(detail: &str) -> RequestFailure {
        RequestFailure::new(Outcome::Failed, Cause::Backend, detail)
    }

    pub(super) fn new(
        outcome: Outcome,
        cause: Cause,
        detail: &str,
    ) -> RequestFailure {
        let retry_after_ms = match outcome {
            Outcome::NotRun { retry_after_ms, .. } => retry_after_ms,
            _ => None,
        };
        let detail = detail.to_owned();
        let operator_detail = String::new();
        RequestFailure {
            outcome,
            cause,
            retry_after_ms,
            detail,
            operator_detail,
        }
    }

    /// Sets the detail for operators.
    pub(super) fn with_operator_detail(
        mut self,
        operator_detail: &str,
    ) -> RequestFailure {
        self.operator_detail = operator_detail.to_owned();
        self
    }

    /// Sets the retry delay after a response that was interrupted.
    pub(super) fn with_retry_after_ms(
        mut self,
        after_ms: u64,
    ) -> RequestFailure {
        self.retry_after_ms = Some(after_ms);
        self
    }

    /// Sets the retry delay of an idempotent request that may have run,
    /// unless a delay is set already or a retry does not help.
    pub(super) fn with_default_retry_after_ms(
        mut self,
        after_ms: u64,
    ) -> RequestFailure {
        let may_have_run =
            matches!(self.outcome, Outcome::Failed | Outcome::Unknown);
        if may_have_run && self.cause != Cause::Request {
            self.retry_after_ms.get_or_insert(after_ms);
        }
        self
    }

    /// Removes the retry delay of a request that may have run: if it is not
    /// idempotent, the caller must not send it again.
    pub(super) fn without_retry_after_ms(mut self) -> RequestFailure {
        if !matches!(self.outcome, Outcome::NotRun { .. }) {
            self.retry_after_ms = None;
        }
        self
    }
}

/// Message to the caller about a failure.
pub(super) fn failure_message(reason: FailureReason) -> &'static str {
    match reason {
        FailureReason::BackendError => "a backend server failed",
        FailureReason::BackendSilent => "a backend server did not answer",
        FailureReason::StageLost => "a backend server was lost",
        FailureReason::Deadline => "the time was over",
        FailureReason::Cancelled => "the request was given up",
        FailureReason::Sequence => "the answer came out of order",
        FailureReason::Stopped => "a backend server stopped",
        FailureReason::BadRequest => "the model refused the request",
        FailureReason::AtRest => "a backend server asked for rest",
        FailureReason::Unspecified => "the request failed",
    }
}

/// Message to the caller about a refusal.
pub(super) fn refusal_message(reason: RefusalReason) -> &'static str {
    match reason {
        RefusalReason::Full | RefusalReason::TableFull => {
            "no backend server has room"
        }
        RefusalReason::Share => "the client account has used its share",
        RefusalReason::TooLate => "it could not finish in its time",
        RefusalReason::Leaving => "the backend server is leaving",
        RefusalReason::BackendDown
        | RefusalReason::StageUnreachable
        | RefusalReason::WrongTarget
        | RefusalReason::UnknownService => {
            "no backend server can be reached now"
        }
        RefusalReason::Fenced
        | RefusalReason::AlreadyRun
        | RefusalReason::Unspecified => "the request was given up",
    }
}
