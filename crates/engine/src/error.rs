//! Errors of calls to an engine.
//!
//! Callers need to know whether the engine may have run the call: a step that
//! may have run is not retried within the same attempt.

use std::{error, fmt, time::Duration};

use chestnutreach_http::ClientError;

/// Why a call to an engine failed.
#[derive(Debug)]
#[non_exhaustive]
pub enum EngineError {
    /// The request was not sent.
    NotSent(ClientError),
    /// The connection was lost after the request was sent.
    Lost(ClientError),
    /// The response was not complete before the timeout.
    Timeout(ClientError),
    /// The engine responded with an error status.
    Status {
        /// HTTP status.
        status: u16,
        /// Message of the engine.
        message: String,
        /// The cooldown that the engine requested, if any.
        cooldown: Option<Duration>,
    },
    /// The engine has accepted an order with a higher fencing number.
    OldFencingNumber {
        /// Fencing number of the order.
        sent: u64,
        /// Fencing number that the engine has accepted.
        held: u64,
    },
    /// The response violates the protocol.
    Protocol(String),
}

impl EngineError {
    /// Error for a call that is not sent because the engine is in a cooldown
    /// that it requested.
    pub fn in_cooldown(left: Duration) -> EngineError {
        let message = "the engine asked for rest".to_owned();
        EngineError::Status { status: 503, message, cooldown: Some(left) }
    }

    /// The cooldown that the engine requested, if any.
    pub fn cooldown(&self) -> Option<Duration> {
        match self {
            EngineError::Status { cooldown, .. } => *cooldown,
            _ => None,
        }
    }

    /// Whether the engine may have run the call. The statuses that refuse a
    /// call (4xx and 503) state that the engine did not run it.
    pub fn may_have_run(&self) -> bool {
        match self {
            EngineError::NotSent(_) => false,
            EngineError::OldFencingNumber { .. } => false,
            EngineError::Status { status, .. } => {
                !matches!(status, 400..=499 | 503)
            }
            EngineError::Lost(_)
            | EngineError::Timeout(_)
            | EngineError::Protocol(_) => true,
        }
    }
}

impl From<ClientError> for EngineError {
    fn from(e: ClientError) -> EngineError {
        match e {
            ClientError::NotSent { .. } => EngineError::NotSent(e),
            ClientError::Timeout { .. } => EngineError::Timeout(e),
            ClientError::TooLong { .. } => {
                EngineError::Protocol(e.to_string())
            }
            _ => EngineError::Lost(e),
        }
    }
}

impl fmt::Display for EngineError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            EngineError::NotSent(e)
            | EngineError::Lost(e)
            | EngineError::Timeout(e) => e.fmt(f),
            EngineError::Status { status, message, .. } => {
                write!(f, "the engine answered {status}: {message}")
            }
            EngineError::OldFencingNumber { sent, held } => write!(
                f,
                "fencing number {sent} is older than the engine's {held}"
            ),
            EngineError::Protocol(why) => {
                write!(f, "the engine broke the protocol: {why}")
            }
        }
    }
}

impl error::Error for EngineError {
    fn source(&self) -> Option<&(dyn error::Error + 'static)> {
        match self {
            EngineError::NotSent(e)
            | EngineError::Lost(e)
            | EngineError::Timeout(e) => Some(e),
            _ => None,
        }
    }
}
