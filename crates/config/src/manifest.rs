//! Manifest of a deployment: its services, accounts and backend servers.
//!
//! An accepted manifest is authoritative, so it is validated as a whole before
//! it is accepted. A [`Manifest`] value is therefore always consistent.
//!
//! | module | contents |
//! |---|---|
//! | [`schema`] | schema of each section |
//! | `read` | parser |
//! | `checks` | validation across sections |
//! | `layer_coverage` | whether layer ranges form a complete chain |
//! | `sections` | conversion to canonical sections |
//! | `difference` | comparison of two manifests |

use std::{
    collections::{BTreeMap, BTreeSet},
    net::SocketAddr,
};

use crate::findings::Findings;

mod checks;
mod difference;
mod layer_coverage;
mod read;
pub mod schema;
mod sections;

pub use difference::{Difference, SectionChange, diff};
pub use sections::sections_to_ini;

/// A validated manifest.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Manifest {
    /// Deployment-wide settings.
    pub deployment: Deployment,
    /// Data centres by name.
    pub data_centres: BTreeMap<String, DataCentre>,
    /// Network paths by the names of their two data centres in alphabetical
    /// order; each path applies to both directions.
    pub paths: BTreeMap<(String, String), NetworkPath>,
    /// Kinds of accelerators by name.
    pub accelerators: BTreeMap<String, Accelerator>,
    /// Services by name.
    pub services: BTreeMap<String, Service>,
    /// Client accounts by name.
    pub accounts: BTreeMap<String, Account>,
    /// Backend servers by name.
    pub backend_servers: BTreeMap<String, BackendServer>,
    /// Objectives that override those of the service, by service and account
    /// class.
    pub objectives: BTreeMap<(String, String), Objective>,
}

impl Manifest {
    /// Parses and validates `text`; findings refer to it as `file`.
    ///
    /// # Errors
    ///
    /// All errors of the manifest.
    pub fn try_parse(file: &str, text: &str) -> Result<Manifest, Findings> {
        read::parse_manifest(file, text)
    }

    /// Parses and validates the output of [`Manifest::to_sections`].
    ///
    /// # Errors
    ///
    /// All errors of the manifest.
    pub fn try_from_sections(
        file: &str,
        sections: &BTreeMap<String, String>,
    ) -> Result<Manifest, Findings> {
        Manifest::try_parse(file, &sections_to_ini(sections))
    }

    /// Canonical sections: heading without brackets to body. Equal manifests
    /// have equal sections, regardless of the formatting of their files.
    pub fn to_sections(&self) -> BTreeMap<String, String> {
        sections::from_manifest(self)
    }

    /// Canonical text.
    pub fn to_ini(&self) -> String {
        sections_to_ini(&self.to_sections())
    }

    /// Network path between two data centres, in either order; `None` within a
    /// data centre and if the manifest does not define the path.
    pub fn path(&self, a: &str, b: &str) -> Option<&NetworkPath> {
        self.paths.get(&path_key(a, b))
    }

    /// Objective of a service for an account class.
    pub fn objective(&self, service: &str, class: &str) -> Option<Objective> {
        let key = (service.to_owned(), class.to_owned());
        let own = || self.services.get(service).map(Service::objective);
        self.objectives.get(&key).copied().or_else(own)
    }
}

/// Key of a network path: the two names in alphabetical order.
fn path_key(a: &str, b: &str) -> (String, String) {
    let (first, second) = if a <= b { (a, b) } else { (b, a) };
    (first.to_owned(), second.to_owned())
}

/// Deployment-wide settings.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Deployment {
    /// Name of the deployment.
    pub name: String,
    /// Weight of recovery time against throughput: 0 considers only throughput
    /// and cost, 100 only recovery.
    pub recovery_weight_percent: u32,
}

/// A data centre.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct DataCentre {
    /// Region of the data centre.
    pub region: String,
}

/// Network path between two data centres.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct NetworkPath {
    /// One-way latency.
    pub latency_us: u64,
    /// Bandwidth in each direction.
    pub bandwidth_mbit_per_s: u64,
}

/// A kind of accelerator.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Accelerator {
    /// Price of a backend server with this accelerator per hour, in millionths
    /// of the currency of the deployment.
    pub price_micros_per_hour: u64,
    /// Prefill tokens per second through all layers of a model; initial
    /// estimate until the actual speed is measured.
    pub prompt_tokens_per_s: u32,
    /// Output tokens per second of all sequences together; initial estimate
    /// until the actual speed is measured.
    pub output_tokens_per_s: u32,
}

/// A service that callers request.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Service {
    /// Kind of the service.
    pub kind: ServiceKind,
    /// Deadline of requests that do not specify one.
    pub default_deadline_ms: u64,
    /// Maximum deadline that a caller may request.
    pub max_deadline_ms: u64,
    /// Objective: share of requests that complete, in parts per 10,000.
    pub objective_per_10000: u32,
    /// Objective: time to the first token or the response.
    pub first_token_objective_ms: u64,
}

impl Service {
    /// Objective for accounts whose class has no objective of its own.
    pub fn objective(&self) -> Objective {
        Objective {
            objective_per_10000: self.objective_per_10000,
            first_token_objective_ms: self.first_token_objective_ms,
        }
    }
}

/// Service level objective for the accounts of a class.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Objective {
    /// Share of requests that complete, in parts per 10,000.
    pub objective_per_10000: u32,
    /// Time to the first token or the response.
    pub first_token_objective_ms: u64,
}

/// Kind of a service.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum ServiceKind {
    /// A language model whose layers are distributed over engines.
    Language {
        /// Model name in requests of callers.
        model: String,
        /// Number of layers of the model.
        layer_count: u32,
        /// Maximum length of prompt and answer together.
        max_context_tokens: u32,
    },
    /// A plain HTTP service with its own URL path.
    Plain {
        /// URL path prefix, such as "/ledger-app".
        path: String,
    },
}

/// A client account.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Account {
    /// BLAKE3 digests of the bearer keys, 64 hexadecimal digits each.
    pub key_digests: BTreeSet<String>,
    /// Capacity share relative to the other accounts.
    pub weight: u32,
    /// Services that the account may use.
    pub services: BTreeSet<String>,
    /// Account class, for objectives and reports.
    pub class: String,
    /// Guaranteed share of each of the account's services under contention. A
    /// manifest whose weights do not yield this share is rejected.
    pub guaranteed_percent: u32,
}

/// A backend server.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct BackendServer {
    /// Service that the backend server provides.
    pub service: String,
    /// Data centre of the backend server.
    pub data_centre: String,
    /// VM of the side process.
    pub vm: String,
    /// Inner address of the side process.
    pub side_address: SocketAddr,
    /// Kind of accelerator; `None` for a plain service.
    pub accelerator: Option<String>,
    /// First layer of the layer range; 0 for a plain service.
    pub first_layer: u32,
    /// End of the layer range, exclusive; 0 for a plain service.
    pub end_layer: u32,
    /// Maximum number of running requests.
    pub max_running: u32,
    /// Capacity of the KV cache in tokens; 0 for a plain service.
    pub cache_tokens: u64,
    /// Whether the backend server refuses orders with an outdated fencing
    /// number.
    pub checks_fencing: bool,
}
