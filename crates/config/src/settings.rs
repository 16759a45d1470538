//! Settings of one daemon.
//!
//! All keys except names and addresses have defaults. Ranges, including those
//! that depend on several keys, are validated here, so that other crates need
//! not validate them.

use std::{fs, net::SocketAddr, path::Path};

use crate::findings::{Finding, Findings};

mod read;
pub mod schema;
mod sections;

/// Settings of a daemon in one of its roles.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum DaemonSettings {
    /// Accepts HTTP requests of callers.
    Entry(EntrySettings),
    /// Runs next to backend servers.
    Side(SideSettings),
}

impl DaemonSettings {
    /// Parses `text`; findings refer to it as `file`.
    ///
    /// # Errors
    ///
    /// All errors of the file.
    pub fn try_parse(
        file: &str,
        text: &str,
    ) -> Result<DaemonSettings, Findings> {
        read::parse_daemon(file, text)
    }

    /// Loads the file at `path`.
    ///
    /// # Errors
    ///
    /// All errors of the file, or that the file cannot be read.
    pub fn try_load(path: &Path) -> Result<DaemonSettings, Findings> {
        let file = path.display().to_string();
        match fs::read_to_string(path) {
            Ok(text) => DaemonSettings::try_parse(&file, &text),
            Err(error) => Err(unreadable(file, error)),
        }
    }

    /// Settings that both roles have.
    pub fn node(&self) -> &NodeSettings {
        match self {
            DaemonSettings::Entry(entry) => &entry.node,
            DaemonSettings::Side(side) => &side.node,
        }
    }
}

fn unreadable(file: String, error: std::io::Error) -> Findings {
    let mut findings = Findings::new();
    findings.push(Finding {
        file,
        line: None,
        section: String::new(),
        key: String::new(),
        message: format!("can't be read: {error}"),
    });
    findings
}

/// Settings that both roles have.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct NodeSettings {
    /// Name of the VM.
    pub vm: String,
    /// Data centre of the VM.
    pub data_centre: String,
    /// Listen address for other processes of the system.
    pub inner_address: SocketAddr,
    /// Listen address of the operators' HTTP port.
    pub ops_address: SocketAddr,
    /// Listen address for control calls of the operators' tool and of peers.
    pub control_address: SocketAddr,
    /// Threads that run requests.
    pub threads: usize,
    /// Maximum duration of a planned stop; remaining work is aborted
    /// afterwards.
    pub drain_limit_ms: u64,
    /// Control addresses of processes that are queried for the manifest while
    /// the store is unavailable, in addition to the linked processes.
    pub seed_peers: Vec<SocketAddr>,
    /// Log settings.
    pub log: LogSettings,
    /// Links between processes.
    pub links: LinkSettings,
    /// Services of the platform.
    pub platform: PlatformSettings,
}

/// Format of the log lines.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum LogFormat {
    /// A human-readable line per event.
    Text,
    /// A JSON object per event.
    Json,
}

/// Minimum severity of logged events.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum LogLevel {
    /// Events that need an operator.
    Error,
    /// Also events that may soon need an operator.
    Warn,
    /// Also state changes.
    Info,
    /// Also every request.
    Debug,
}

/// Log settings.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct LogSettings {
    /// Format of the log lines.
    pub format: LogFormat,
    /// Minimum severity of logged events.
    pub level: LogLevel,
}

/// Links between processes; see the options of the inner protocol.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct LinkSettings {
    /// Timeout for connecting and receiving the first message.
    pub connect_timeout_ms: u64,
    /// Time without a message after which the peer of a busy link is probed.
    pub busy_interval_ms: u64,
    /// Time without a message after which the peer of an idle link is probed.
    pub idle_interval_ms: u64,
    /// Time without a message after which a busy link is considered lost.
    pub silence_limit_ms: u64,
}

/// Services of the platform.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct PlatformSettings {
    /// Address of the table service.
    pub table_address: SocketAddr,
    /// Address of the object store.
    pub object_address: SocketAddr,
    /// Address of the list of VMs, which includes those that are draining.
    pub vm_list_address: SocketAddr,
    /// Timeout of a request to a platform service.
    pub request_timeout_ms: u64,
    /// Poll interval of the manifest head.
    pub manifest_poll_ms: u64,
    /// Poll interval of the list of VMs.
    pub vm_list_poll_ms: u64,
}

/// Settings of the role `entry`.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct EntrySettings {
    /// Settings that both roles have.
    pub node: NodeSettings,
    /// Listen address for callers.
    pub http_address: SocketAddr,
    /// Maximum size of a request body.
    pub max_body_bytes: usize,
    /// Maximum number of requests in flight; additional ones are refused
    /// immediately with status 503.
    pub max_requests_in_flight: usize,
    /// Maximum number of consecutive attempts of an idempotent request that
    /// deliver nothing.
    pub max_attempts: u32,
    /// Retries allowed per hundred requests of a service.
    pub retry_budget_percent: u32,
    /// How long an unresponsive side process is queried for the outcome of a
    /// non-idempotent request before the outcome is reported as unknown.
    pub recover_limit_ms: u64,
    /// Interval between group commits of claims.
    pub claim_flush_ms: u64,
    /// Maximum number of claims in a group commit.
    pub claim_batch: usize,
    /// How long a stopping entry still accepts new requests, until the load
    /// balancer notices.
    pub lame_duck_ms: u64,
}

/// Settings of the role `side`.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct SideSettings {
    /// Settings that both roles have.
    pub node: NodeSettings,
    /// Backend servers next to this process.
    pub backends: Vec<BackendSettings>,
    /// Capacity of the run-once table.
    pub run_once_capacity: usize,
    /// How long the record of a finished non-idempotent request is kept.
    pub run_once_retention_ms: u64,
    /// Timeout of a step that computes one token.
    pub step_timeout_ms: u64,
    /// Timeout of the first step, which computes the prefill.
    pub prefill_timeout_ms: u64,
    /// Maximum number of requests in one call to an engine.
    pub max_batch: usize,
    /// Maximum number of concurrent calls to an engine.
    pub engine_calls: usize,
    /// Maximum length of the admission queue, in tokens of work.
    pub queue_limit_tokens: u64,
    /// How long a request continues to run after its entry was lost, so that
    /// it can be queried over a new connection.
    pub orphan_limit_ms: u64,
}

/// A backend server next to a side process.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct BackendSettings {
    /// Name in the manifest.
    pub name: String,
    /// Address of the backend server.
    pub address: SocketAddr,
}
