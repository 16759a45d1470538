//! Settings of links, and the identity of the process.

use std::{net::SocketAddr, time::Duration};

use crate::wire::{Hello, Role};

/// Identity that this process announces to its peers.
#[derive(Clone, Debug)]
pub struct Identity {
    /// Name of the VM.
    pub vm: String,
    /// Role of the process.
    pub role: Role,
    /// Data centre of the VM.
    pub data_centre: String,
    /// New at each start of the process; never 0.
    pub boot_id: u64,
    /// Address for control calls to the process, if any.
    pub control_address: Option<SocketAddr>,
}

impl Identity {
    /// Creates an identity with a new boot id.
    pub fn new(vm: &str, role: Role, data_centre: &str) -> Identity {
        Identity {
            vm: vm.to_owned(),
            role,
            data_centre: data_centre.to_owned(),
            boot_id: fastrand::u64(1..),
            control_address: None,
        }
    }

    /// Sets the address for control calls.
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

/// Timeouts and limits of links, set by chained methods.
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
    /// The default settings.
    pub fn new() -> LinkOptions {
        LinkOptions::default()
    }

    /// How long the connection attempt and the handshake may take together.
    pub fn connect_timeout(mut self, timeout: Duration) -> LinkOptions {
        self.connect_timeout = timeout;
        self
    }

    /// How long a link with requests in flight may receive nothing before the
    /// peer is asked for a heartbeat.
    pub fn busy_interval(mut self, interval: Duration) -> LinkOptions {
        self.busy_interval = interval;
        self
    }

    /// Like [`LinkOptions::busy_interval`], for a link without requests.
    pub fn idle_interval(mut self, interval: Duration) -> LinkOptions {
        self.idle_interval = interval;
        self
    }

    /// How long a link with requests in flight may receive nothing before the
    /// link closes. An idle link gets two idle intervals in addition.
    pub fn silence_timeout(mut self, timeout: Duration) -> LinkOptions {
        self.silence_timeout = timeout;
        self
    }

    /// Longest send queue of a link, in bytes.
    pub fn queue_limit_bytes(mut self, limit: usize) -> LinkOptions {
        self.queue_limit_bytes = limit;
        self
    }

    /// Longest frame accepted from a peer, in bytes.
    pub fn max_frame_bytes(mut self, limit: usize) -> LinkOptions {
        self.max_frame_bytes = limit;
        self
    }
}
