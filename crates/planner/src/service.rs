//! The input of a plan.

use std::{collections::BTreeMap, error, fmt};

/// The layers `first_layer..end_layer`.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub struct LayerRange {
    /// First layer.
    pub first_layer: u32,
    /// First layer after the range.
    pub end_layer: u32,
}

impl LayerRange {
    /// Creates a range of layers.
    pub fn new(first_layer: u32, end_layer: u32) -> LayerRange {
        LayerRange { first_layer, end_layer }
    }

    /// Number of layers in the range.
    pub fn layer_count(self) -> u32 {
        self.end_layer.saturating_sub(self.first_layer)
    }

    /// Whether the range contains every layer of another range.
    pub fn contains(self, other: LayerRange) -> bool {
        self.first_layer <= other.first_layer
            && other.end_layer <= self.end_layer
    }

    /// Number of layers of this range that another range does not contain.
    pub fn layers_not_in(self, other: Option<LayerRange>) -> u32 {
        let Some(other) = other else {
            return self.layer_count();
        };
        self.layer_count()
            - self.intersection(other).map_or(0, LayerRange::layer_count)
    }

    /// The layers that both ranges contain; `None` without any.
    pub fn intersection(self, other: LayerRange) -> Option<LayerRange> {
        let intersection = LayerRange {
            first_layer: self.first_layer.max(other.first_layer),
            end_layer: self.end_layer.min(other.end_layer),
        };
        (intersection.layer_count() > 0).then_some(intersection)
    }
}

impl fmt::Display for LayerRange {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}..{}", self.first_layer, self.end_layer)
    }
}

/// A kind of accelerator.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct AcceleratorKind {
    /// Tokens per second through all layers of the model.
    pub tokens_per_s: u64,
    /// Price per hour, in millionths of the deployment's currency.
    pub price_micros_per_hour: u64,
    /// Maximum number of layers that fit into the memory.
    pub max_layers: u32,
}

/// A backend server.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Server {
    pub(crate) name: String,
    pub(crate) kind: String,
    pub(crate) held: Option<LayerRange>,
    pub(crate) is_present: bool,
}

impl Server {
    /// A server that is present and holds no layers.
    pub fn new(name: &str, kind: &str) -> Server {
        Server {
            name: name.to_owned(),
            kind: kind.to_owned(),
            held: None,
            is_present: true,
        }
    }

    /// The same server with these layers.
    pub fn holds(mut self, range: LayerRange) -> Server {
        self.held = Some(range);
        self
    }

    /// The same server, unreachable or draining.
    pub fn absent(mut self) -> Server {
        self.is_present = false;
        self
    }
}

/// A service before validation.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Service {
    layer_count: u32,
    demand_tokens_per_s: u64,
    kinds: BTreeMap<String, AcceleratorKind>,
    servers: Vec<Server>,
}

impl Service {
    /// A service without demand, for a model with this number of layers.
    pub fn new(layer_count: u32) -> Service {
        Service { layer_count, ..Service::default() }
    }

    /// Sets the demand in tokens per second.
    pub fn demand_tokens_per_s(mut self, demand: u64) -> Service {
        self.demand_tokens_per_s = demand;
        self
    }

    /// Adds a kind of accelerator.
    pub fn kind(mut self, name: &str, kind: AcceleratorKind) -> Service {
        self.kinds.insert(name.to_owned(), kind);
        self
    }

    /// Adds a backend server.
    pub fn server(mut self, server: Server) -> Service {
        self.servers.push(server);
        self
    }

    /// Validates the service.
    ///
    /// # Errors
    ///
    /// Returns every problem that validation finds.
    pub fn try_build(self) -> Result<CheckedService, ServiceError> {
        let findings = self.findings();
        if !findings.is_empty() {
            return Err(ServiceError { findings });
        }
        let mut servers = self.servers;
        servers.sort_by(|a, b| a.name.cmp(&b.name));
        let kind = |s: &Server| self.kinds[&s.kind];
        let kinds = servers.iter().map(kind).collect();
        Ok(CheckedService {
            layer_count: self.layer_count,
            demand_tokens_per_s: self.demand_tokens_per_s,
            servers,
            kinds,
        })
    }

    fn findings(&self) -> Vec<String> {
        let mut findings = Vec::new();
        if self.layer_count == 0 {
            findings.push("layer_count is 0; it must be 1 or more".to_owned());
        }
        for (name, kind) in &self.kinds {
            if kind.max_layers == 0 {
                let finding = format!("kind {name}: max_layers is 0");
                findings.push(finding);
            }
            if kind.tokens_per_s == 0 {
                let finding = format!("kind {name}: tokens_per_s is 0");
                findings.push(finding);
            }
        }
        let mut names: Vec<&str> = Vec::new();
        for server in &self.servers {
            let name = server.name.as_str();
            if names.contains(&name) {
                findings.push(format!("server {name} is listed twice"));
            }
            names.push(name);
            if !self.kinds.contains_key(&server.kind) {
                let kind = &server.kind;
                findings.push(format!("server {name}: unknown kind {kind:?}"));
            }
            if let Some(range) = server.held
                && (range.layer_count() == 0
                    || range.end_layer > self.layer_count)
            {
                findings.push(format!(
                    "server {name}: layers {range} must be a non-empty range \
                     within 0..{}",
                    self.layer_count
                ));
            }
        }
        findings
    }
}

/// A valid service, with its servers sorted by name.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct CheckedService {
    pub(crate) layer_count: u32,
    pub(crate) demand_tokens_per_s: u64,
    pub(crate) servers: Vec<Server>,
    /// Kind of each server, in the order of `servers`.
    pub(crate) kinds: Vec<AcceleratorKind>,
}

/// Validation problems of a service.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ServiceError {
    /// One message for each problem.
    pub findings: Vec<String>,
}

impl fmt::Display for ServiceError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.findings.join("; "))
    }
}

impl error::Error for ServiceError {}
