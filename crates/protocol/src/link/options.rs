//! Settings of links, and who the process is.

use std::{net::SocketAddr, time::Duration};

use crate::wire::{Hello, Role};

/// Who this process is, as it tells its peers.
#[derive(Clone, Debug)]
pub struct Identity {
    /// Name of the VM.
    pub vm: String,
    /// What the process does.
    pub role: Role,
    /// Data centre of the VM.
    pub data_centre: String,
    /// New at each start of the process; never 0.
    pub boot_id: u64,
    /// Where the process takes control calls.
    pub control_address: Option<SocketAddr>,
}

impl Identity {
    /// An identity with a new boot id.
    pub fn new(vm: &str, role: Role, data_centre: &str) -> Identity {
        Identity {
            vm: vm.to_owned(),
            role,
            data_centre: data_centre.to_owned(),
            boot_id: fastrand::u64(1..),
            control_address: None,
        }
    }

    /// The same identity with the address for control calls.
    pub fn with_control_address(mut self, address: SocketAddr) -> Identity {
        self.control_address = Some(address);
        self
    }

    pub(crate) fn to_hello(&self, generation: u64) -> Hello {
        Hello {
            protocol_version: crate::PROTOCOL_VERSION,
            vm: self.vm.clone(),
            role: self.role.into(),
            data_centre: self.data_centre.clone(),
            boot_id: self.boot_id,
            generation,
            control_address: self
                .control_address
                .map_or_else(String::new, |address| address.to_string()),
        }
    }
}

/// Times and limits of links, set by chained methods.
#[derive(Clone, Debug)]
pub struct LinkOptions {
    pub(crate) connect_timeout: Duration,
    pub(crate) busy_interval: Duration,
    pub(crate) idle_interval: Duration,
    pub(crate) silence_timeout: Duration,
    pub(crate) queue_limit_bytes: usize,
    pub(crate) max_frame_bytes: usize,
}

impl Default for LinkOptions {
    fn default() -> LinkOptions {
        LinkOptions {
            connect_timeout: Duration::from_millis(500),
            busy_interval: Duration::from_millis(200),
            idle_interval: Duration::from_millis(2_000),
            silence_timeout: Duration::from_millis(800),
            queue_limit_bytes: 32 << 20,
            max_frame_bytes: 16 << 20,
        }
    }
}

impl LinkOptions {
    /// The shipped settings.
    pub fn new() -> LinkOptions {
        LinkOptions::default()
    }

    /// How long dialling and the first message may take together.
    pub fn connect_timeout(mut self, timeout: Duration) -> LinkOptions {
        self.connect_timeout = timeout;
        self
    }

    /// How long a link with requests in flight may be quiet before the peer
    /// is asked for a heartbeat.
    pub fn busy_interval(mut self, interval: Duration) -> LinkOptions {
        self.busy_interval = interval;
        self
    }

    /// As [`LinkOptions::busy_interval`], for a link without requests.
    pub fn idle_interval(mut self, interval: Duration) -> LinkOptions {
        self.idle_interval = interval;
        self
    }

    /// How long a link with requests in flight may be quiet before it counts
    /// as lost. An idle link is given this time and two idle intervals more.
    pub fn silence_timeout(mut self, limit: Duration) -> LinkOptions {
        self.silence_timeout = limit;
        self
    }

    /// Bytes that may wait for a peer that does not read.
    pub fn queue_limit_bytes(mut self, limit: usize) -> LinkOptions {
        self.queue_limit_bytes = limit;
        self
    }

    /// Longest frame taken from a peer.
    pub fn max_frame_bytes(mut self, limit: usize) -> LinkOptions {
        self.max_frame_bytes = limit;
        self
    }
}
