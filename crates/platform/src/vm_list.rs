//! The platform's list of live and leaving VMs.
//!
//! The list lags: what a process hears itself goes before it.

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
    /// It serves.
    Live,
    /// It is being stopped.
    Leaving,
}

/// One VM.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct VmEntry {
    /// Its name.
    pub vm: String,
    /// Its state.
    pub state: VmState,
}

/// The list could not be had.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct VmListError {
    detail: String,
}

impl fmt::Display for VmListError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "no list of VMs: {}", self.detail)
    }
}

impl error::Error for VmListError {}

/// A client of the VM list.
#[derive(Debug)]
pub struct VmListClient {
    transport: Transport,
}

impl VmListClient {
    /// A client whose calls take at most `timeout`.
    pub fn new(address: SocketAddr, timeout: Duration) -> VmListClient {
        VmListClient { transport: Transport::new(address, timeout) }
    }

    /// The list as the platform knows it now.
    ///
    /// # Errors
    ///
    /// There is no list, or it cannot be read.
    pub async fn list(&self) -> Result<Vec<VmEntry>, VmListError> {
        let call = Call {
            method: Method::Get,
            target: VM_LIST_PATH,
            headers: &[],
            body: Vec::new(),
        };
        let answer = self.transport.send(call).await.map_err(failed)?;
        if answer.status != 200 {
            return Err(failed(format!("status {}", answer.status)));
        }
        serde_json::from_slice(&answer.body).map_err(failed)
    }
}

fn failed(detail: impl fmt::Display) -> VmListError {
    VmListError { detail: detail.to_string() }
}
