//! Client of the platform's list of running and draining VMs.
//!
//! The list is delayed: what a process learns from its peers takes precedence.

use std::{error, fmt, net::SocketAddr, time::Duration};

use http_types::Method;
use serde::{Deserialize, Serialize};

use crate::transport::{Call, Transport};

/// Path of the list.
pub const VM_LIST_PATH: &str = "/vms";

/// State of a VM in the list.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum VmState {
    /// The VM is in service.
    Live,
    /// The VM is being shut down.
    Leaving,
}

/// List entry of a VM.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct VmEntry {
    /// Name of the VM.
    pub vm: String,
    /// State of the VM.
    pub state: VmState,
}

/// The list could not be read.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct VmListError {
    detail: String,
}

impl fmt::Display for VmListError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "could not read the VM list: {}", self.detail)
    }
}

impl error::Error for VmListError {}

/// A client of the VM list.
#[derive(Debug)]
pub struct VmListClient {
    transport: Transport,
}

impl VmListClient {
    /// Creates a client whose calls take at most `timeout`.
    pub fn new(address: SocketAddr, timeout: Duration) -> VmListClient {
        VmListClient { transport: Transport::new(address, timeout) }
    }

    /// Reads the current list.
    ///
    /// # Errors
    ///
    /// The service does not respond, or its response is invalid.
    pub async fn list(&self) -> Result<Vec<VmEntry>, VmListError> {
        let call = Call {
            method: Method::Get,
            target: VM_LIST_PATH,
            headers: &[],
            body: Vec::new(),
        };
        let response = self.transport.send(call).await.map_err(list_error)?;
        if response.status != 200 {
            return Err(list_error(format!("status {}", response.status)));
        }
        serde_json::from_slice(&response.body).map_err(list_error)
    }
}

fn list_error(detail: impl fmt::Display) -> VmListError {
    VmListError { detail: detail.to_string() }
}
