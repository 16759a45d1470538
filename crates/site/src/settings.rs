//! Settings that a process reads at startup.

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
    /// All data centres, sorted by name.
    pub data_centres: Vec<String>,
    /// Listen address for callers.
    pub clients_address: SocketAddr,
    /// Listen address for the readiness checks of the load balancer.
    pub ready_address: SocketAddr,
    /// First and last port for traffic between processes of this system.
    pub internal_ports: (u16, u16),
    /// CPU share of the process, in cores.
    pub cpu_share: f64,
    /// Memory limit of the process, in megabytes.
    pub memory_mb: u64,
    /// Maximum number of open file descriptors.
    pub max_descriptors: usize,
    /// Bandwidth of the VM's link, in megabits per second, if known.
    pub link_mbps: Option<f64>,
    /// Interval at which backend servers write their row, in milliseconds.
    pub heartbeat_ms: u64,
    /// Address of the store.
    pub store_address: SocketAddr,
    /// Rate limits of the store.
    pub store_rates: StoreRates,
    /// Time limits and rates that the system guarantees.
    pub bounds: Bounds,
}

/// Rate limits of the store, for all processes together.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct StoreRates {
    /// Write calls per second.
    pub writes_per_s: f64,
    /// Read calls per second.
    pub reads_per_s: f64,
}

/// Time limits and rates that the system guarantees.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Bounds {
    /// Time for which a draining backend server may still receive requests.
    pub drain_ms: u64,
    /// Time from the stop signal until the process is killed.
    pub grace_ms: u64,
    /// Time after its revocation for which a key may still be accepted.
    pub revoke_ms: u64,
    /// Whether `revoke_ms` holds without exception.
    pub is_revoke_strict: bool,
    /// Time after its acceptance until a configuration must be in force.
    pub config_apply_ms: u64,
    /// Allowed retries per request to a service.
    pub retry_ratio: f64,
    /// Window over which retries are counted.
    pub retry_window_ms: u64,
    /// Retries allowed in each window in addition to `retry_ratio`.
    pub free_retries: f64,
    /// Maximum time for which a request stalls when its engine has failed.
    pub stall_ms: u64,
    /// Maximum time until an event is forwarded to the caller.
    pub pass_ms: u64,
}
