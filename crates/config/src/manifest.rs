//! What the fleet serves.
//!
//! An accepted manifest is the whole truth, so it is checked as a whole
//! before it is accepted; what is held here is always consistent.
//!
//! | module | what it holds |
//! |---|---|
//! | [`schema`] | the keys of each section |
//! | `read` | text to sections to a manifest |
//! | `checks` | what must hold across sections |
//! | `layers` | whether layer ranges can tile a model |
//! | `sections` | a manifest as canonical sections |
//! | `difference` | two manifests side by side |

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

/// A checked manifest.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Manifest {
    /// The deployment as a whole.
    pub deployment: Deployment,
    /// Data centres by name.
    pub data_centres: BTreeMap<String, DataCentre>,
    /// Paths between data centres, both ways, by the two names in order.
    pub paths: BTreeMap<(String, String), NetworkPath>,
    /// Kinds of accelerators by name.
    pub accelerators: BTreeMap<String, Accelerator>,
    /// Services by name.
    pub services: BTreeMap<String, Service>,
    /// Client accounts by name.
    pub accounts: BTreeMap<String, Account>,
    /// Backend servers by name.
    pub backend_servers: BTreeMap<String, BackendServer>,
    /// Objectives that differ from the service's own, by service and class
    /// of account.
    pub objectives: BTreeMap<(String, String), Objective>,
}

impl Manifest {
    /// Reads and checks `text`; `file` names it in findings.
    ///
    /// # Errors
    ///
    /// Everything found wrong.
    pub fn try_parse(file: &str, text: &str) -> Result<Manifest, Findings> {
        read::parse_manifest(file, text)
    }

    /// Reads and checks what [`Manifest::to_sections`] gave.
    ///
    /// # Errors
    ///
    /// Everything found wrong.
    pub fn try_from_sections(
        file: &str,
        sections: &BTreeMap<String, String>,
    ) -> Result<Manifest, Findings> {
        Manifest::try_parse(file, &sections_to_ini(sections))
    }

    /// The canonical sections: heading without brackets to body. Two equal
    /// manifests give equal texts, whatever was written in their files.
    pub fn to_sections(&self) -> BTreeMap<String, String> {
        sections::from_manifest(self)
    }

    /// The canonical text.
    pub fn to_ini(&self) -> String {
        sections_to_ini(&self.to_sections())
    }

    /// The network between two data centres, in either order; none within
    /// one and where the manifest says nothing.
    pub fn path(&self, a: &str, b: &str) -> Option<&NetworkPath> {
        self.paths.get(&path_key(a, b))
    }

    /// The objective for a service and a class of account.
    pub fn objective(&self, service: &str, class: &str) -> Option<Objective> {
        let key = (service.to_owned(), class.to_owned());
        let own = || self.services.get(service).map(Service::objective);
        self.objectives.get(&key).copied().or_else(own)
    }
}

/// The two names in order, as paths are held by them.
fn path_key(a: &str, b: &str) -> (String, String) {
    let (first, second) = if a <= b { (a, b) } else { (b, a) };
    (first.to_owned(), second.to_owned())
}

/// The deployment as a whole.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Deployment {
    /// Its name.
    pub name: String,
    /// How much recovery time counts against throughput: 0 looks only at
    /// throughput and cost, 100 only at recovery.
    pub recovery_weight_percent: u32,
}

/// A data centre.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct DataCentre {
    /// Region it lies in.
    pub region: String,
}

/// The network between two data centres.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct NetworkPath {
    /// One way.
    pub latency_us: u64,
    /// Each way.
    pub bandwidth_mbit_per_s: u64,
}

/// A kind of accelerator.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Accelerator {
    /// Price of one backend server of the kind, in millionths of the
    /// deployment's currency an hour.
    pub price_micros_per_hour: u64,
    /// Prompt tokens a second through all layers of a model, as first guess
    /// until the speed is learned.
    pub prompt_tokens_per_s: u32,
    /// Output tokens a second, all sequences together; likewise.
    pub output_tokens_per_s: u32,
}

/// A service that callers ask for.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Service {
    /// What answers it.
    pub kind: ServiceKind,
    /// Time a caller gets that states none.
    pub default_deadline_ms: u64,
    /// Longest time a caller may ask for.
    pub max_deadline_ms: u64,
    /// Objective: share of requests answered whole, in parts of 10,000.
    pub objective_per_10000: u32,
    /// Objective: time to the first token or the answer.
    pub first_token_objective_ms: u64,
}

impl Service {
    /// The objective for accounts whose class has none of its own.
    pub fn objective(&self) -> Objective {
        Objective {
            objective_per_10000: self.objective_per_10000,
            first_token_objective_ms: self.first_token_objective_ms,
        }
    }
}

/// What is promised to the accounts of a class.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Objective {
    /// Share of requests answered whole, in parts of 10,000.
    pub objective_per_10000: u32,
    /// Time to the first token or the answer.
    pub first_token_objective_ms: u64,
}

/// What answers a service.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum ServiceKind {
    /// Model engines that hold layer ranges.
    Language {
        /// Model name that callers give.
        model: String,
        /// Layers of the model.
        layer_count: u32,
        /// Longest prompt and answer together, in tokens.
        max_context_tokens: u32,
    },
    /// A plain service under a path of its own.
    Plain {
        /// Path prefix, "/ledger-app".
        path: String,
    },
}

/// A client account.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Account {
    /// BLAKE3 digests of its bearer keys, 64 hexadecimal digits each.
    pub key_digests: BTreeSet<String>,
    /// Share against the other accounts.
    pub weight: u32,
    /// Services it may use.
    pub services: BTreeSet<String>,
    /// Class for objectives and reports.
    pub class: String,
    /// Least share of each of its services when all accounts ask at once.
    /// The weights must give it; the manifest is refused where they don't.
    pub guaranteed_percent: u32,
}

/// A backend server.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct BackendServer {
    /// Service it answers.
    pub service: String,
    /// Data centre it stands in.
    pub data_centre: String,
    /// VM of its side process.
    pub vm: String,
    /// Inner address of its side process.
    pub side_address: SocketAddr,
    /// Kind of accelerator; none for a plain service.
    pub accelerator: Option<String>,
    /// Layers first..end; 0..0 for a plain service.
    pub first_layer: u32,
    /// End of the layers.
    pub end_layer: u32,
    /// Requests it runs at once.
    pub max_running: u32,
    /// Tokens its cache holds; 0 for a plain service.
    pub cache_tokens: u64,
    /// Whether it refuses an order with an old fencing number.
    pub checks_fencing: bool,
}
