//! Why a call has no answer.

use std::{error, fmt, io, net::SocketAddr};

use crate::refusal::ControlRefusal;

/// Why a call has no answer.
#[derive(Debug)]
#[non_exhaustive]
pub enum ControlError {
    /// The process was not reached.
    Unreachable {
        /// Its address.
        address: SocketAddr,
        /// What went wrong.
        source: io::Error,
    },
    /// No answer came in time; the call may have been done.
    Timeout {
        /// Address of the process.
        address: SocketAddr,
        /// The call.
        call: &'static str,
        /// Time given.
        limit_ms: u64,
    },
    /// The connection broke; the call may have been done.
    ConnectionLost {
        /// Address of the process.
        address: SocketAddr,
        /// The call.
        call: &'static str,
        /// What went wrong.
        detail: String,
    },
    /// An earlier call closed this client; the call was not made.
    Closed {
        /// Address of the process.
        address: SocketAddr,
    },
    /// The process does not do what it was asked.
    Refused(ControlRefusal),
}

impl fmt::Display for ControlError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            ControlError::Unreachable { address, source } => {
                write!(f, "{address} was not reached: {source}")
            }
            ControlError::Timeout { address, call, limit_ms } => write!(
                f,
                "{address} gave no answer to {call} within {limit_ms} ms"
            ),
            ControlError::ConnectionLost { address, call, detail } => {
                write!(f, "{address} was lost during {call}: {detail}")
            }
            ControlError::Closed { address } => {
                write!(f, "the connection to {address} was given up before")
            }
            ControlError::Refused(refusal) => refusal.fmt(f),
        }
    }
}

impl error::Error for ControlError {
    fn source(&self) -> Option<&(dyn error::Error + 'static)> {
        match self {
            ControlError::Unreachable { source, .. } => Some(source),
            _ => None,
        }
    }
}
