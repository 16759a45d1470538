//! Why a process does not do what it is asked.

use std::{error, fmt};

use serde::{Deserialize, Serialize};

/// An answer that is no error of the connection.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[non_exhaustive]
pub enum ControlRefusal {
    /// The caller speaks another version of the protocol.
    UnknownVersion {
        /// Version of the caller.
        offered: u32,
        /// Version of this process.
        supported: u32,
    },
    /// The first call on the connection was not `hello`.
    NoHello,
    /// No such backend server is beside this process.
    UnknownBackend {
        /// Name that was asked for.
        backend: String,
    },
    /// No such request is remembered.
    UnknownRequest {
        /// Identity that was asked for.
        request_id: String,
    },
    /// The manifest in force has no such service.
    UnknownService {
        /// Name that was asked for.
        service: String,
    },
    /// A process of this role has no such thing to do.
    NotForRole {
        /// What it would have to do.
        call: String,
    },
    /// The process stops.
    Stopping,
    /// The answer does not fit into a frame.
    TooLong {
        /// Length of the answer.
        length_bytes: u64,
        /// Longest answer.
        limit_bytes: u64,
    },
    /// Anything else.
    Other {
        /// Why.
        reason: String,
    },
}

impl fmt::Display for ControlRefusal {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            ControlRefusal::UnknownVersion { offered, supported } => write!(
                f,
                "control protocol {offered} is not known; this process \
                 speaks {supported}"
            ),
            ControlRefusal::NoHello => {
                f.write_str("the first call must be hello")
            }
            ControlRefusal::UnknownBackend { backend } => write!(
                f,
                "no backend server {backend:?} is beside this process"
            ),
            ControlRefusal::UnknownRequest { request_id } => {
                write!(f, "no request {request_id:?} is remembered here")
            }
            ControlRefusal::UnknownService { service } => {
                write!(f, "the manifest in force has no service {service:?}")
            }
            ControlRefusal::NotForRole { call } => {
                write!(f, "a process of this role does not answer {call}")
            }
            ControlRefusal::Stopping => f.write_str("the process stops"),
            ControlRefusal::TooLong { length_bytes, limit_bytes } => write!(
                f,
                "the answer has {length_bytes} bytes, of at most \
                 {limit_bytes}"
            ),
            ControlRefusal::Other { reason } => f.write_str(reason),
        }
    }
}

impl error::Error for ControlRefusal {}
