//! Reasons for which a process refuses a call.

use std::{error, fmt};

use serde::{Deserialize, Serialize};

/// Why a process refused a call. The connection stays usable.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[non_exhaustive]
pub enum ControlRefusal {
    /// The client uses an unsupported version of the protocol.
    UnknownVersion {
        /// Version of the client.
        offered: u32,
        /// Version of this process.
        supported: u32,
    },
    /// The first call on the connection was not `hello`.
    NoHello,
    /// This process is not attached to such a backend server.
    UnknownBackend {
        /// Requested name.
        backend: String,
    },
    /// The process has no record of such a request.
    UnknownRequest {
        /// Requested id.
        request_id: String,
    },
    /// The active manifest has no such service.
    UnknownService {
        /// Requested name.
        service: String,
    },
    /// Processes of this role do not support the call.
    NotForRole {
        /// Name of the call.
        call: String,
    },
    /// The process is shutting down.
    Stopping,
    /// The response does not fit into a frame.
    TooLong {
        /// Length of the response.
        length_bytes: u64,
        /// Maximum length.
        limit_bytes: u64,
    },
    /// Any other reason.
    Other {
        /// Description of the reason.
        reason: String,
    },
}

impl fmt::Display for ControlRefusal {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            ControlRefusal::UnknownVersion { offered, supported } => write!(
                f,
                "control protocol version {offered} is not supported; \
                 this process supports {supported}"
            ),
            ControlRefusal::NoHello => {
                f.write_str("the first call on a connection must be hello")
            }
            ControlRefusal::UnknownBackend { backend } => write!(
                f,
                "no backend server {backend:?} is beside this process"
            ),
            ControlRefusal::UnknownRequest { request_id } => {
                write!(
                    f,
                    "this process has no record of request {request_id:?}"
                )
            }
            ControlRefusal::UnknownService { service } => {
                write!(f, "the active manifest has no service {service:?}")
            }
            ControlRefusal::NotForRole { call } => {
                write!(
                    f,
                    "a process of this role does not support the call {call}"
                )
            }
            ControlRefusal::Stopping => {
                f.write_str("the process is shutting down")
            }
            ControlRefusal::TooLong { length_bytes, limit_bytes } => write!(
                f,
                "the response has {length_bytes} bytes, but the limit is \
                 {limit_bytes}"
            ),
            ControlRefusal::Other { reason } => f.write_str(reason),
        }
    }
}

impl error::Error for ControlRefusal {}
