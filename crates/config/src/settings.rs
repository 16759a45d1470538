//! The settings of one daemon.
//!
//! Everything but names and addresses has a default. Ranges are checked here,
//! also across keys, so that no other crate has to.

use std::{fs, net::SocketAddr, path::Path};

use crate::findings::{Finding, Findings};

mod read;
pub mod schema;
mod sections;

/// Settings of a daemon in one of its roles.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum DaemonSettings {
    /// Speaks HTTP to callers.
    Entry(EntrySettings),
    /// Stands beside backend servers.
    Side(SideSettings),
}

impl DaemonSettings {
    /// Reads the settings from `text`; `file` names it in findings.
    ///
    /// # Errors
    ///
    /// Everything found wrong.
    pub fn try_parse(
        file: &str,
        text: &str,
    ) -> Result<DaemonSettings, Findings> {
        read::parse_daemon(file, text)
    }

    /// Reads the settings from the file at `path`.
    ///
    /// # Errors
    ///
    /// Everything found wrong; also that the file can't be read.
    pub fn try_load(path: &Path) -> Result<DaemonSettings, Findings> {
        let file = path.display().to_string();
        match fs::read_to_string(path) {
            Ok(text) => DaemonSettings::try_parse(&file, &text),
            Err(error) => Err(unreadable(file, error)),
        }
    }

    /// What both roles have.
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

/// What both roles have.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct NodeSettings {
    /// Name of the VM.
    pub vm: String,
    /// Data centre of the VM.
    pub data_centre: String,
    /// Where other processes of the system connect.
    pub inner_address: SocketAddr,
    /// Where metrics and readiness are served.
    pub ops_address: SocketAddr,
    /// Where the operators' tool and peers make control calls.
    pub control_address: SocketAddr,
    /// Threads that run requests.
    pub threads: usize,
    /// How long a planned stop may take before what is left is cut.
    pub drain_limit_ms: u64,
    /// Control addresses of processes that are asked for the manifest when
    /// the store does not answer, beside those that this one has links to.
    pub seed_peers: Vec<SocketAddr>,
    /// Logs.
    pub log: LogSettings,
    /// Connections between processes.
    pub links: LinkSettings,
    /// The platform's services.
    pub platform: PlatformSettings,
}

/// Form of the logs.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum LogFormat {
    /// One readable line an event.
    Text,
    /// One JSON object an event.
    Json,
}

/// Least important events that are written.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum LogLevel {
    /// Only what needs an operator.
    Error,
    /// Also what may soon need one.
    Warn,
    /// Also changes of state.
    Info,
    /// Also each request.
    Debug,
}

/// Logs.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct LogSettings {
    /// Form of each line.
    pub format: LogFormat,
    /// Least important events written.
    pub level: LogLevel,
}

/// Connections between processes; see the inner protocol's options.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct LinkSettings {
    /// Time for dialling and the first message together.
    pub connect_timeout_ms: u64,
    /// Quiet time after which a busy link's peer is asked.
    pub busy_interval_ms: u64,
    /// Quiet time after which an idle link's peer is asked.
    pub idle_interval_ms: u64,
    /// Quiet time after which a busy link counts as lost.
    pub silence_limit_ms: u64,
}

/// The platform's services.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct PlatformSettings {
    /// Table service.
    pub table_address: SocketAddr,
    /// Object store.
    pub object_address: SocketAddr,
    /// List of live and leaving VMs.
    pub vm_list_address: SocketAddr,
    /// Longest wait for one answer.
    pub request_timeout_ms: u64,
    /// Time between two looks at the manifest's head.
    pub manifest_poll_ms: u64,
    /// Time between two looks at the list of VMs.
    pub vm_list_poll_ms: u64,
}

/// Settings of the role `entry`.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct EntrySettings {
    /// What both roles have.
    pub node: NodeSettings,
    /// Where callers connect.
    pub http_address: SocketAddr,
    /// Longest request body.
    pub max_body_bytes: usize,
    /// Requests in flight at once; more are answered 503 at once.
    pub max_requests_in_flight: usize,
    /// Most attempts of one idempotent request that deliver nothing, one
    /// after another.
    pub max_attempts: u32,
    /// Further attempts allowed for each hundred requests of a service.
    pub retry_budget_percent: u32,
    /// How long a side process that went silent is asked again before the
    /// outcome of a non-idempotent request is told as unknown.
    pub recover_limit_ms: u64,
    /// Time between two group commits of claims.
    pub claim_flush_ms: u64,
    /// Most claims in one group commit.
    pub claim_batch: usize,
    /// How long a stopping entry still takes new requests, while the
    /// balancer notices.
    pub lame_duck_ms: u64,
}

/// Settings of the role `side`.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct SideSettings {
    /// What both roles have.
    pub node: NodeSettings,
    /// The backend servers beside this process.
    pub backends: Vec<BackendSettings>,
    /// Requests that the run-once table remembers.
    pub run_once_capacity: usize,
    /// How long an ended non-idempotent request is remembered.
    pub run_once_retention_ms: u64,
    /// Longest wait for one step of one token.
    pub step_timeout_ms: u64,
    /// Longest wait for the first step, which runs the whole prompt.
    pub prefill_timeout_ms: u64,
    /// Most requests in one call to an engine.
    pub max_batch: usize,
    /// Calls to one engine at once.
    pub engine_calls: usize,
    /// Requests that may wait for admission, in tokens of work.
    pub queue_limit_tokens: u64,
    /// How long a request runs on after its entry was lost, so that it can
    /// be asked for over a new connection.
    pub orphan_limit_ms: u64,
}

/// A backend server beside a side process.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct BackendSettings {
    /// Its name in the manifest.
    pub name: String,
    /// Where it listens.
    pub address: SocketAddr,
}
