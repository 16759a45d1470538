//! Routes, services and keys in force.

use std::collections::BTreeMap;

use crate::backend::Model;

/// A whole configuration.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Configuration {
    /// Higher for a newer one.
    pub version: u64,
    /// Routes by host, those with the longest prefix first.
    pub routes: BTreeMap<String, Vec<Route>>,
    /// Services by name.
    pub services: BTreeMap<String, Service>,
    /// What a client may send.
    pub limits: Limits,
    /// Client account of each key; none where requests carry no key.
    pub accounts: Option<BTreeMap<String, Account>>,
    /// What is wrong with it, with place; the rest holds.
    pub findings: Vec<Finding>,
}

impl Configuration {
    /// Whether every stream that a service may get can go on elsewhere.
    pub fn streams_are_resumable(&self, service: &str) -> bool {
        let routes = self.routes.values().flatten();
        let mut here =
            routes.filter(|r| r.shares.iter().any(|s| s.service == service));
        here.all(|route| route.kind != RouteKind::Stream)
    }

    /// The route of a request, by host and longest prefix of the path.
    pub fn route(&self, host: &str, path: &str) -> Option<&Route> {
        let host = host.split(':').next().unwrap_or(host);
        let routes = match self.routes.get(host) {
            Some(routes) => routes,
            None => self.routes.get(&host.to_ascii_lowercase())?,
        };
        routes.iter().find(|route| path.starts_with(&route.prefix))
    }
}

/// One thing that is wrong with a configuration.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Finding {
    /// Where.
    pub place: String,
    /// What.
    pub message: String,
}

/// A client account.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Account {
    /// Its name.
    pub name: String,
    /// Rank of its requests, before that of the route; 0 is first.
    pub priority: Option<u8>,
}

/// What may be repeated.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum RouteKind {
    /// A request that may run more than once.
    Idempotent,
    /// A request that runs at most once.
    NonIdempotent,
    /// A stream of events that runs at most once.
    Stream,
    /// A stream of events that may go on elsewhere after its last event.
    ResumableStream,
}

impl RouteKind {
    /// Whether the answer is a stream of events.
    pub fn is_stream(self) -> bool {
        matches!(self, RouteKind::Stream | RouteKind::ResumableStream)
    }

    /// Whether a request that may have run can be sent again.
    pub fn allows_retry(self) -> bool {
        matches!(self, RouteKind::Idempotent | RouteKind::ResumableStream)
    }
}

/// A route.
#[derive(Clone, Debug, PartialEq)]
pub struct Route {
    /// Its name.
    pub name: String,
    /// Paths that begin so belong to it.
    pub prefix: String,
    /// What may be repeated.
    pub kind: RouteKind,
    /// Longest time a client is kept waiting.
    pub timeout_ms: u64,
    /// Time within which an answer earns its full credit.
    pub target_ms: u64,
    /// Rank, 0 is first.
    pub priority: u8,
    /// Most backend servers that one request may be sent to.
    pub max_attempts: u32,
    /// Whether no key is asked for.
    pub is_public: bool,
    /// Longest pause between events that is on time, in milliseconds.
    pub gap_target_ms: Option<u64>,
    /// Services that serve it, with weights.
    pub shares: Vec<Share>,
}

/// A service's share of a route.
#[derive(Clone, Debug, PartialEq)]
pub struct Share {
    /// Name of the service.
    pub service: String,
    /// Weight among the shares of the route.
    pub weight: f64,
}

/// A service.
#[derive(Clone, Debug, PartialEq)]
pub struct Service {
    /// Its name.
    pub name: String,
    /// Most connections to one backend server, of all callers together.
    pub max_connections: usize,
    /// The model that its engines share, if it has one.
    pub model: Option<Model>,
}

/// What a client may send, and how long it may take.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Limits {
    /// Longest head.
    pub max_head_bytes: usize,
    /// Longest body.
    pub max_body_bytes: usize,
    /// Longest time for a head to arrive.
    pub head_timeout_ms: u64,
    /// Longest time without a request.
    pub idle_timeout_ms: u64,
}

impl Default for Limits {
    /// Used until a configuration is known.
    fn default() -> Limits {
        Limits {
            max_head_bytes: 16 << 10,
            max_body_bytes: 4 << 20,
            head_timeout_ms: 3_000,
            idle_timeout_ms: 15_000,
        }
    }
}
