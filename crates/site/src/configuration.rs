//! Routes, services and client accounts of a deployment.

use std::{cmp::Ordering, collections::BTreeMap};

use crate::{backend::Model, store_version::StoreVersion};

/// A configuration of a deployment.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Configuration {
    /// Version; a newer configuration has a higher one.
    pub version: u64,
    /// Routes by host, ordered by falling length of the prefix.
    pub routes: BTreeMap<String, Vec<Route>>,
    /// Services by name.
    pub services: BTreeMap<String, Service>,
    /// Limits on requests from callers.
    pub limits: Limits,
    /// Client accounts by key; `None` if requests need no key.
    pub accounts: Option<BTreeMap<String, Account>>,
    /// Invalid entries, which are left out of the other fields.
    pub findings: Vec<Finding>,
}

impl Configuration {
    /// Whether this configuration replaces the one in force, given the
    /// versions of both rows at the store.
    ///
    /// A lower version never does, whatever the store has lost. A version that
    /// was lost with its content may be given out again, for other content.
    pub fn replaces(
        &self,
        in_force: &Configuration,
        row: StoreVersion,
        row_in_force: StoreVersion,
    ) -> bool {
        match self.version.cmp(&in_force.version) {
            Ordering::Less => false,
            Ordering::Equal => {
                row.era() > row_in_force.era() && self != in_force
            }
            Ordering::Greater => true,
        }
    }

    /// Whether every stream that routes send to a service can be resumed at
    /// another backend server.
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

/// An error in a configuration.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Finding {
    /// Location in the configuration.
    pub place: String,
    /// Description of the error.
    pub message: String,
}

/// A client account.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Account {
    /// Its name.
    pub name: String,
    /// Priority of its requests, which overrides that of the route; 0 is the
    /// most urgent.
    pub priority: Option<u8>,
}

/// Kind of the requests of a route, which decides about retries.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum RouteKind {
    /// Requests that may run more than once.
    Idempotent,
    /// Requests that run at most once.
    NonIdempotent,
    /// Event streams that run at most once.
    Stream,
    /// Event streams that another backend server can resume after the last
    /// event.
    ResumableStream,
}

impl RouteKind {
    /// Whether the response is an event stream.
    pub fn is_stream(self) -> bool {
        matches!(self, RouteKind::Stream | RouteKind::ResumableStream)
    }

    /// Whether a request that may have run can be retried.
    pub fn allows_retry(self) -> bool {
        matches!(self, RouteKind::Idempotent | RouteKind::ResumableStream)
    }
}

/// A route.
#[derive(Clone, Debug, PartialEq)]
pub struct Route {
    /// Its name.
    pub name: String,
    /// Path prefix of the requests that the route matches.
    pub prefix: String,
    /// Kind of its requests.
    pub kind: RouteKind,
    /// Maximum time until the response, in milliseconds.
    pub timeout_ms: u64,
    /// Target for the response time, in milliseconds.
    pub target_ms: u64,
    /// Priority; 0 is the most urgent.
    pub priority: u8,
    /// Maximum number of backend servers that a request may be sent to.
    pub max_attempts: u32,
    /// Whether requests need no key.
    pub is_public: bool,
    /// Target for the gap between events, in milliseconds.
    pub gap_target_ms: Option<u64>,
    /// Services that serve the route, with weights.
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
    /// Target of a request that its servers answer with their id.
    pub health_path: Option<String>,
    /// Maximum number of connections to one backend server, for all callers
    /// together.
    pub max_connections: usize,
    /// The model that its engines run, if they do.
    pub model: Option<Model>,
}

/// Limits on the size and timing of requests from callers.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Limits {
    /// Maximum size of a request head.
    pub max_head_bytes: usize,
    /// Maximum size of a request body.
    pub max_body_bytes: usize,
    /// Timeout for receiving a request head.
    pub head_timeout_ms: u64,
    /// Timeout of a connection without a request.
    pub idle_timeout_ms: u64,
}

impl Default for Limits {
    /// The limits in force until the first configuration is read.
    fn default() -> Limits {
        Limits {
            max_head_bytes: 16 << 10,
            max_body_bytes: 4 << 20,
            head_timeout_ms: 3_000,
            idle_timeout_ms: 15_000,
        }
    }
}
