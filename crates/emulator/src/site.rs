//! Description of the emulated site: counts, layers, configuration.

use std::{net::SocketAddr, time::Duration};

use serde_json::{Value, json};

/// Name of the language service.
pub const MODEL_SERVICE: &str = "desk";
/// Name of the plain service.
pub const PLAIN_SERVICE: &str = "ledger";
/// Host name of all routes.
pub const HOST: &str = "desk.example";
/// Path prefix of resumable streams.
pub const STREAM_PATH: &str = "/stream/";
/// Path prefix of resumable streams that go before others.
pub const URGENT_STREAM_PATH: &str = "/urgent/";
/// Path prefix of idempotent requests.
pub const IDEMPOTENT_PATH: &str = "/lookup/";
/// Path prefix of non-idempotent requests.
pub const ONCE_PATH: &str = "/letter/";
/// Path of the health checks of all servers.
pub const HEALTH_PATH: &str = "/health";
/// API key that is valid from the start.
pub const KEY: &str = "key-one";
/// Client account of [`KEY`].
pub const ACCOUNT: &str = "kaolack";
/// Part of the prompt of every request of a load.
pub const COMMON_PART: &str = "5c1e07a2";
/// Retries allowed per request in every window.
pub const RETRY_RATIO: f64 = 0.2;
/// Window in which retries are counted.
pub const RETRY_WINDOW: Duration = Duration::from_secs(10);
/// Servers to which an attempt of a caller may be sent, unless it may run only
/// once.
pub const MAX_ATTEMPTS: u32 = 2;
/// Memory of a layer, in megabytes.
const LAYER_MB: f64 = 1_000.0;
/// Memory of an engine, in megabytes.
const ENGINE_MB: f64 = 5_600.0;
/// KV memory of a token over all layers, in bytes.
const TOKEN_BYTES: f64 = 160_000.0;
/// Requests that an engine accepts as their first stage.
const SLOTS: u32 = 64;
/// The same where requests compete: some thirty streams run at a time.
const FEW_SLOTS: u32 = 8;

/// The emulated site.
#[derive(Clone, Debug, PartialEq)]
pub struct Site {
    /// Number of layers of the model.
    pub layer_count: u32,
    /// Number of engines in each data centre.
    pub engines_each: usize,
    /// Names of the data centres.
    pub data_centres: Vec<String>,
    /// Number of backend servers of the plain service.
    pub plain_servers: usize,
    /// Number of entries.
    pub entries: usize,
    /// Events per stream.
    pub events: u64,
    /// Interval between the events of a stream, in milliseconds.
    pub event_ms: u64,
    /// Duration of a plain request, in milliseconds.
    pub plain_ms: u64,
    /// Retries allowed in every window of 10 s regardless of the number of
    /// requests.
    pub retry_slack: f64,
    /// Timeout of the route for streams, in milliseconds.
    pub stream_timeout_ms: u64,
    /// Timeout of the other routes, in milliseconds.
    pub plain_timeout_ms: u64,
    /// Target for the time to the response of the other routes, in
    /// milliseconds.
    pub plain_target_ms: u64,
    /// Time for which a stopping entry may serve, in seconds.
    pub grace_s: u64,
    /// Interval between two rows of a server, as the settings state it, in
    /// milliseconds.
    pub heartbeat_ms: u64,
    /// Time for which a draining server serves, in milliseconds.
    pub drain_ms: u64,
    /// Whether connections to the store and to servers go through relays.
    pub has_links: bool,
    /// Whether messages between entries go through relays.
    pub has_peer_links: bool,
    /// Number of routes that no request takes.
    pub extra_routes: usize,
    /// Whether there are urgent streams, and slots for only a few streams.
    pub has_competition: bool,
    /// Time after its revocation for which a key may be accepted, in
    /// milliseconds.
    pub revoke_ms: u64,
    /// Longest body of a request, in bytes.
    pub max_body_bytes: usize,
    /// Share of a core that each entry gets; `None` for as much as it needs.
    pub core_quota: Option<f64>,
    /// Share of a core that the first entry has, if it differs from that of
    /// the others.
    pub first_cpu_share: Option<f64>,
}

/// Memory of an entry's machine, in megabytes.
pub const MEMORY_MB: u64 = 260;
/// Share of a core of an entry.
const CPU_SHARE: f64 = 0.2;

impl Site {
    /// Two data centres with five engines each, and three entries.
    pub fn small() -> Site {
        Site {
            layer_count: 12,
            engines_each: 5,
            data_centres: vec!["hall-a".to_owned(), "hall-b".to_owned()],
            plain_servers: 2,
            entries: 3,
            events: 30,
            event_ms: 15,
            plain_ms: 10,
            retry_slack: 200.0,
            stream_timeout_ms: 15_000,
            plain_timeout_ms: 2_000,
            plain_target_ms: 300,
            grace_s: 5,
            heartbeat_ms: 400,
            drain_ms: 1_000,
            has_links: false,
            has_peer_links: false,
            extra_routes: 0,
            has_competition: false,
            revoke_ms: 5_000,
            max_body_bytes: 65_536,
            core_quota: None,
            first_cpu_share: None,
        }
    }

    /// A small site whose streams are of two urgencies and need more slots than
    /// there are.
    pub fn with_competition() -> Site {
        Site { has_competition: true, events: 60, ..Site::small() }
    }

    /// One data centre with eight engines and six entries, of which one reads
    /// the store's feeds and serves them to the others.
    pub fn with_shared_feeds() -> Site {
        Site {
            engines_each: 8,
            data_centres: vec!["hall-a".to_owned()],
            entries: 6,
            ..Site::small()
        }
    }

    /// Three data centres with 39 engines and five entries, and the settings of
    /// a site of that size.
    pub fn with_forty_engines() -> Site {
        let centre = |name: &str| format!("hall-{name}");
        Site {
            layer_count: 20,
            engines_each: 13,
            data_centres: ["a", "b", "c"].map(centre).into(),
            plain_servers: 3,
            entries: 5,
            events: 84,
            event_ms: 20,
            retry_slack: 202.0,
            heartbeat_ms: 1_200,
            drain_ms: 2_000,
            ..Site::small()
        }
    }

    /// Three data centres with 57 engines and 23 entries, and the settings of a
    /// site of that size.
    pub fn with_sixty_engines() -> Site {
        Site {
            engines_each: 19,
            entries: 23,
            events: 34,
            event_ms: 40,
            retry_slack: 230.0,
            drain_ms: 3_000,
            ..Site::with_forty_engines()
        }
    }

    /// Number of layers that all engines together can hold.
    pub fn layer_capacity(&self) -> u32 {
        let per_engine = (ENGINE_MB / LAYER_MB) as u32;
        per_engine * (self.engines_each * self.data_centres.len()) as u32
    }

    /// Requests that an engine accepts as their first stage.
    pub(crate) fn slots(&self) -> u32 {
        match self.has_competition {
            true => FEW_SLOTS,
            false => SLOTS,
        }
    }

    /// Maximum number of layers on one engine.
    pub fn max_layers(&self) -> u32 {
        (ENGINE_MB / LAYER_MB) as u32
    }

    /// The operator's configuration with these keys for the only client
    /// account.
    pub fn configuration(&self, version: u64, keys: &[&str]) -> Value {
        let route = |name: &str, prefix: &str, kind: &str, service: &str| {
            json!({
                "name": name,
                "hostname": HOST,
                "prefix": prefix,
                "kind": kind,
                "timeout-ms": self.plain_timeout_ms,
                "target-latency-ms": self.plain_target_ms,
                "priority": 1,
                "service": service,
                "max-attempts": MAX_ATTEMPTS,
                "public": false,
            })
        };
        let mut stream =
            route("r-stream", STREAM_PATH, "streaming", MODEL_SERVICE);
        stream["resumable"] = json!(true);
        stream["sticky"] = json!(true);
        stream["gap-target-ms"] = json!(200);
        stream["target-latency-ms"] = json!(300);
        stream["timeout-ms"] = json!(self.stream_timeout_ms);
        let mut urgent = stream.clone();
        urgent["name"] = json!("r-urgent");
        urgent["prefix"] = json!(URGENT_STREAM_PATH);
        urgent["priority"] = json!(0);
        let mut once =
            route("r-once", ONCE_PATH, "non_idempotent", PLAIN_SERVICE);
        once["max-attempts"] = json!(1);
        let lookup =
            route("r-lookup", IDEMPOTENT_PATH, "idempotent", PLAIN_SERVICE);
        let mut routes = vec![stream, once, lookup];
        if self.has_competition {
            routes.push(urgent);
        }
        routes.extend((0..self.extra_routes).map(|at| {
            let (name, prefix) = (format!("r-{at}"), format!("/extra-{at}/"));
            route(&name, &prefix, "idempotent", PLAIN_SERVICE)
        }));
        json!({
            "version": version,
            "routes": routes,
            "services": [self.model_service(), {
                "name": PLAIN_SERVICE,
                "health-path": HEALTH_PATH,
                "max-connections": 200,
            }],
            "limits": {
                "max-header-bytes": 16_384,
                "max-body-bytes": self.max_body_bytes,
                "header-timeout-ms": 2_000,
                "idle-timeout-ms": 5_000,
            },
            "tenants": [{"name": ACCOUNT, "api-keys": keys, "priority": 1}],
        })
    }

    fn model_service(&self) -> Value {
        json!({
            "name": MODEL_SERVICE,
            "health-path": HEALTH_PATH,
            "max-connections": 1_000,
            "engine": {
                "slots": self.slots(),
                "stride": 1,
                "step_ms": self.event_ms,
                "read_per_s": 100_000.0,
                "report_lag_ms": 0.0,
                "usual": {"prompt": 100, "answer": 30},
                "layers": self.layer_count,
                "layer-mb": LAYER_MB,
                "kv-token-bytes": TOKEN_BYTES,
                "activation-bytes": 1_000,
                "pipe-mbps": 10_000.0,
                "models": [{"name": "m", "load-s": 1.0}],
                "kinds": [{
                    "name": "card", "mb": ENGINE_MB, "pace": 1.0,
                    "read-x": 1.0,
                }],
            },
        })
    }

    /// The settings file of an entry.
    pub fn settings(&self, entry: &EntryPorts, store: SocketAddr) -> String {
        let zones: Vec<String> = self
            .data_centres
            .iter()
            .map(|name| format!("{name} = \"region\""))
            .collect();
        let zone = &self.data_centres[entry.index % self.data_centres.len()];
        let first_share = self.first_cpu_share.filter(|_| entry.index == 0);
        let cpu_share = first_share.or(self.core_quota).unwrap_or(CPU_SHARE);
        format!(
            r#"node-name = "entry-{index}"
ip = "127.0.0.1"
zone = "{zone}"
internal-ports = [{inner}, {inner}]
heartbeat-ms = {heartbeat_ms}
[zones]
{zones}
[listen]
front = "127.0.0.1:{clients}"
ready = "127.0.0.1:{ready}"
[limits]
cpu-share = {cpu_share}
memory-mb = {MEMORY_MB}
max-fds = 4100
[bounds]
drain-ms = {drain_ms}
grace-s = {grace_s}
config-apply-ms = 2000
strict-revoke = true
revoke-ms = {revoke_ms}
retry-budget-ratio = {RETRY_RATIO}
budget-window-s = {window_s}
budget-slack = {slack}
pass-ms = 120
stall_ms = 3000
[platform]
address = "{store}"
writes-per-s = 400
reads-per-s = 2000
"#,
            index = entry.index,
            slack = self.retry_slack,
            window_s = RETRY_WINDOW.as_secs(),
            revoke_ms = self.revoke_ms,
            heartbeat_ms = self.heartbeat_ms,
            drain_ms = self.drain_ms,
            grace_s = self.grace_s,
            inner = entry.inner,
            clients = entry.clients,
            ready = entry.ready,
            zones = zones.join("\n"),
        )
    }
}

/// Ports of an entry.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct EntryPorts {
    /// Index of the entry.
    pub index: usize,
    /// Port for clients.
    pub clients: u16,
    /// Port for readiness checks of the load balancer.
    pub ready: u16,
    /// Port for other entries, metrics and status.
    pub inner: u16,
}
