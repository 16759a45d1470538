//! Why a call to an engine has no answer.
//!
//! What matters to the caller is whether the engine may have run the call:
//! a step that may have run is not sent again under the same attempt.

use std::{error, fmt, time::Duration};

use chestnutreach_http::ClientError;

/// Why a call to an engine has no answer.
#[derive(Debug)]
#[non_exhaustive]
pub enum EngineError {
    /// The engine was not reached.
    NotSent(ClientError),
    /// The connection broke after the call was sent.
    Lost(ClientError),
    /// No whole answer came in time.
    Timeout(ClientError),
    /// The engine refused or failed.
    Status {
        /// HTTP status.
        status: u16,
        /// What the engine said.
        message: String,
        /// For how long it wants nothing, if it said so.
        cooldown: Option<Duration>,
    },
    /// The engine has taken an order with a higher fencing number.
    OldFencingNumber {
        /// The number sent.
        sent: u64,
        /// The number the engine holds.
        held: u64,
    },
    /// The answer is not what the protocol asks for.
    Protocol(String),
}

impl EngineError {
    /// Of a call that is not made, since the engine asked for rest.
    pub fn in_cooldown(left: Duration) -> EngineError {
        let message = "the engine asked for rest".to_owned();
        EngineError::Status { status: 503, message, cooldown: Some(left) }
    }

    /// For how long the engine wants nothing, if it said so.
    pub fn cooldown(&self) -> Option<Duration> {
        match self {
            EngineError::Status { cooldown, .. } => *cooldown,
            _ => None,
        }
    }

    /// Whether the engine may have run the call. Of the statuses, those that
    /// refuse a call (4xx, and 503) say that it was not run.
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
                "the engine holds fencing number {held}, newer than {sent}"
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
