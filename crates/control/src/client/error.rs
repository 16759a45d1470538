//! Errors of control calls.

use std::{error, fmt, io, net::SocketAddr};

use crate::refusal::ControlRefusal;

/// Why a control call failed.
#[derive(Debug)]
#[non_exhaustive]
pub enum ControlError {
    /// The process could not be reached.
    Unreachable {
        /// Address of the process.
        address: SocketAddr,
        /// Cause of the failure.
        source: io::Error,
    },
    /// No response within the timeout; the call may have been carried out.
    Timeout {
        /// Address of the process.
        address: SocketAddr,
        /// Name of the call.
        call: &'static str,
        /// Timeout of the call, in milliseconds.
        limit_ms: u64,
    },
    /// The connection was lost; the call may have been carried out.
    ConnectionLost {
        /// Address of the process.
        address: SocketAddr,
        /// Name of the call.
        call: &'static str,
        /// Cause of the failure.
        detail: String,
    },
    /// An earlier call closed this client; the call was not sent.
    Closed {
        /// Address of the process.
        address: SocketAddr,
    },
    /// The process refused the call.
    Refused(ControlRefusal),
}

impl fmt::Display for ControlError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            ControlError::Unreachable { address, source } => {
                write!(f, "could not reach {address}: {source}")
            }
            ControlError::Timeout { address, call, limit_ms } => write!(
                f,
                "no response from {address} to {call} within {limit_ms} ms"
            ),
            ControlError::ConnectionLost { address, call, detail } => {
                write!(
                    f,
                    "connection to {address} lost during {call}: {detail}"
                )
            }
            ControlError::Closed { address } => {
                write!(
                    f,
                    "connection to {address} was closed by an earlier failure"
                )
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
