//! What a process learns at its start.

use std::net::{IpAddr, SocketAddr};

/// Settings of one process.
#[derive(Clone, Debug, PartialEq)]
pub struct NodeSettings {
    /// Name of the VM.
    pub vm: String,
    /// Address of the VM.
    pub ip: IpAddr,
    /// Data centre of the VM.
    pub data_centre: String,
    /// All data centres, in order of names.
    pub data_centres: Vec<String>,
    /// Where clients connect.
    pub clients_address: SocketAddr,
    /// Where the balancer asks whether to send clients.
    pub ready_address: SocketAddr,
    /// First and last port for traffic between our processes.
    pub internal_ports: (u16, u16),
    /// Share of a core that the VM gives.
    pub cpu_share: f64,
    /// Memory of the process, in megabytes.
    pub memory_mb: u64,
    /// Descriptors of the process.
    pub max_descriptors: usize,
    /// How often backend servers write their row, in milliseconds.
    pub heartbeat_ms: u64,
    /// Where the store listens.
    pub store_address: SocketAddr,
    /// What the store takes.
    pub store_rates: StoreRates,
    /// Times and shares that are promised.
    pub bounds: Bounds,
}

/// What the store takes from all processes together.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct StoreRates {
    /// Calls that write, a second.
    pub writes_per_s: f64,
    /// Calls that read, a second.
    pub reads_per_s: f64,
}

/// Times and shares that are promised.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Bounds {
    /// How long a leaving backend server may still get requests.
    pub drain_ms: u64,
    /// Time from a stop signal to the kill.
    pub grace_ms: u64,
    /// How long after its withdrawal a key may still be served.
    pub revoke_ms: u64,
    /// Whether that bound holds without exception.
    pub is_revoke_strict: bool,
    /// How long after its acceptance a configuration must be in force.
    pub config_apply_ms: u64,
    /// Further arrivals at a service for each request to it.
    pub retry_ratio: f64,
    /// Window over which further arrivals are counted.
    pub retry_window_ms: u64,
    /// Further arrivals that are free in each window.
    pub free_retries: f64,
    /// How long work that waits for a dead engine stalls.
    pub stall_ms: u64,
    /// Time within which an event must be passed on.
    pub pass_ms: u64,
}
