//! The manifest in force, indexed for requests.
//!
//! A view is immutable; each manifest generation gets a new one. The live
//! state of a backend server is carried over to the new view, also when other
//! servers of its service are added or removed, until the manifest replaces
//! that server.

use std::{collections::BTreeMap, net::SocketAddr, sync::Arc};

use chestnutreach_config::{
    Manifest,
    manifest::{Account, BackendServer, Service, ServiceKind},
};
use chestnutreach_routing::{
    BackendIndex, BackendSpec, Fleet, LiveState, Network, Policy, RetryBudget,
};

/// One manifest generation, indexed for requests.
pub(crate) struct View {
    pub(crate) generation: u64,
    accounts: BTreeMap<String, Arc<AccountView>>,
    models: BTreeMap<String, Arc<ServiceView>>,
    paths: BTreeMap<String, Arc<ServiceView>>,
    pub(crate) services: BTreeMap<String, Arc<ServiceView>>,
    pub(crate) policy: Policy,
}

/// A client account.
pub(crate) struct AccountView {
    pub(crate) name: String,
    pub(crate) account: Account,
}

/// A service with its backend servers.
pub(crate) struct ServiceView {
    pub(crate) name: String,
    pub(crate) service: Service,
    pub(crate) fleet: Fleet,
    pub(crate) live: Arc<LiveState>,
    pub(crate) budget: Arc<RetryBudget>,
    /// Address of the side process of each backend server, by index.
    pub(crate) sides: Vec<SocketAddr>,
    /// Index of this entry's data centre in the fleet.
    pub(crate) data_centre: u32,
    specs: Vec<BackendServer>,
}

impl View {
    /// Returns a view without services.
    pub(crate) fn empty() -> View {
        View {
            generation: 0,
            accounts: BTreeMap::new(),
            models: BTreeMap::new(),
            paths: BTreeMap::new(),
            services: BTreeMap::new(),
            policy: Policy::default(),
        }
    }

    /// Builds the view of a manifest and carries over the live state and the
    /// retry budgets of `old`.
    pub(crate) fn new(
        generation: u64,
        manifest: &Manifest,
        data_centre: &str,
        retry_budget_percent: u32,
        old: &View,
    ) -> View {
        let weight = manifest.deployment.recovery_weight_percent;
        let mut view = View {
            generation,
            policy: Policy::default().recovery_weight_percent(weight),
            ..View::empty()
        };
        for (name, account) in &manifest.accounts {
            let (name, account) = (name.clone(), account.clone());
            let account = Arc::new(AccountView { name, account });
            for digest in &account.account.key_digests {
                view.accounts.insert(digest.clone(), account.clone());
            }
        }
        let data_centres = DataCentres::new(manifest, data_centre);
        for (name, service) in &manifest.services {
            let old = old.services.get(name);
            let budget = old.map(|o| o.budget.clone()).unwrap_or_else(|| {
                Arc::new(RetryBudget::new(retry_budget_percent))
            });
            let service = data_centres
                .service_view(manifest, name, service, old, budget);
            view.insert(Arc::new(service));
        }
        view
    }

    fn insert(&mut self, service: Arc<ServiceView>) {
        match &service.service.kind {
            ServiceKind::Language { model, .. } => {
                self.models.insert(model.clone(), service.clone());
            }
            ServiceKind::Plain { path } => {
                self.paths.insert(path.clone(), service.clone());
            }
        }
        self.services.insert(service.name.clone(), service);
    }

    /// Finds an account by the digest of its bearer key.
    pub(crate) fn account(&self, digest: &str) -> Option<&Arc<AccountView>> {
        self.accounts.get(digest)
    }

    /// Finds the service of a model.
    pub(crate) fn model(&self, model: &str) -> Option<&Arc<ServiceView>> {
        self.models.get(model)
    }

    /// Iterates over the models by name.
    pub(crate) fn models(
        &self,
    ) -> impl Iterator<Item = (&String, &Arc<ServiceView>)> {
        self.models.iter()
    }

    /// Finds the plain service whose path is a prefix of `path`, and returns
    /// it with the remaining path.
    pub(crate) fn plain<'a>(
        &self,
        path: &'a str,
    ) -> Option<(&Arc<ServiceView>, &'a str)> {
        self.paths.iter().rev().find_map(|(prefix, service)| {
            let remaining_path = path.strip_prefix(prefix.as_str())?;
            let is_segment_end =
                remaining_path.is_empty() || remaining_path.starts_with('/');
            is_segment_end.then_some((service, remaining_path))
        })
    }

    /// Backend servers by the address of their side process.
    pub(crate) fn backends_by_side(
        &self,
    ) -> BTreeMap<SocketAddr, Vec<BackendRef>> {
        let mut sides: BTreeMap<SocketAddr, Vec<BackendRef>> = BTreeMap::new();
        for service in self.services.values() {
            for (position, address) in service.sides.iter().enumerate() {
                let index = BackendIndex(position as u32);
                let backend = BackendRef { service: service.clone(), index };
                sides.entry(*address).or_default().push(backend);
            }
        }
        sides
    }
}

impl ServiceView {
    /// Live state for the new fleet `to`. The state is shared with this view
    /// if no server changed, and otherwise copied for the unchanged servers.
    fn carry_over_live(
        &self,
        to: &Fleet,
        specs: &[BackendServer],
    ) -> Arc<LiveState> {
        let is_same = |name: &str| {
            let old = self.fleet.find(name).map(|i| &self.specs[position(i)]);
            let new = to.find(name).map(|i| &specs[position(i)]);
            old.zip(new).is_some_and(|(old, new)| is_same_server(old, new))
        };
        let names = self.fleet.indices().map(|i| &self.fleet.spec(i).name);
        let is_same_size = to.len() == self.fleet.len();
        if is_same_size && names.into_iter().all(|name| is_same(name)) {
            return self.live.clone();
        }
        Arc::new(self.live.carry_over_where(&self.fleet, to, is_same))
    }

    /// Presence and circuit state of each backend server, as status JSON.
    pub(crate) fn status(&self, now_ms: u64) -> serde_json::Value {
        let backends: serde_json::Map<String, serde_json::Value> = self
            .fleet
            .indices()
            .map(|index| {
                let name = self.fleet.spec(index).name.clone();
                let presence = self.live.presence(index);
                let in_flight = self.live.in_flight(index);
                let state = serde_json::json!({
                    "presence": presence,
                    "in_flight": in_flight,
                    "circuit": self.live.circuit_state(index, now_ms).name(),
                });
                (name, state)
            })
            .collect();
        backends.into()
    }
}

fn position(index: BackendIndex) -> usize {
    index.0 as usize
}

/// Whether the live state of `old` applies to `new`: the same process next to
/// the same kind of accelerator with the same layers.
fn is_same_server(old: &BackendServer, new: &BackendServer) -> bool {
    old.side_address == new.side_address
        && old.vm == new.vm
        && old.data_centre == new.data_centre
        && old.accelerator == new.accelerator
        && (old.first_layer, old.end_layer) == (new.first_layer, new.end_layer)
}

/// A backend server of a service.
#[derive(Clone)]
pub(crate) struct BackendRef {
    pub(crate) service: Arc<ServiceView>,
    pub(crate) index: BackendIndex,
}

/// Data centres by the indices that fleets use.
struct DataCentres {
    indices: BTreeMap<String, u32>,
    network: Network,
    local: u32,
}

impl DataCentres {
    fn new(manifest: &Manifest, data_centre: &str) -> DataCentres {
        let names = manifest.data_centres.keys();
        let indices: BTreeMap<String, u32> =
            names.zip(0..).map(|(name, n)| (name.clone(), n)).collect();
        let mut network = Network::new(indices.len() as u32);
        for ((a, b), path) in &manifest.paths {
            network.set_path(
                indices[a],
                indices[b],
                path.latency_us,
                path.bandwidth_mbit_per_s,
            );
        }
        // An entry outside the manifest's data centres is assigned to the
        // first data centre: validation of its settings does not see the
        // manifest.
        let local = indices.get(data_centre).copied().unwrap_or(0);
        DataCentres { indices, network, local }
    }

    fn service_view(
        &self,
        manifest: &Manifest,
        name: &str,
        service: &Service,
        old: Option<&Arc<ServiceView>>,
        budget: Arc<RetryBudget>,
    ) -> ServiceView {
        let (names, servers): (Vec<&String>, Vec<&BackendServer>) = manifest
            .backend_servers
            .iter()
            .filter(|(_, server)| server.service == name)
            .unzip();
        let specs: Vec<BackendServer> =
            servers.iter().map(|s| (*s).clone()).collect();
        let layer_count = match service.kind {
            ServiceKind::Language { layer_count, .. } => layer_count,
            ServiceKind::Plain { .. } => 0,
        };
        let backends = names
            .iter()
            .zip(&servers)
            .map(|(name, server)| self.backend_spec(manifest, name, server))
            .collect();
        let fleet =
            Fleet::try_new(layer_count, backends, self.network.clone())
                .expect("an accepted manifest tiles its layers");
        let live = match old {
            Some(old) => old.carry_over_live(&fleet, &specs),
            None => Arc::new(LiveState::new(specs.len())),
        };
        ServiceView {
            name: name.to_owned(),
            service: service.clone(),
            fleet,
            live,
            budget,
            sides: servers.iter().map(|s| s.side_address).collect(),
            data_centre: self.local,
            specs,
        }
    }

    fn backend_spec(
        &self,
        manifest: &Manifest,
        name: &str,
        server: &BackendServer,
    ) -> BackendSpec {
        let kind = server.accelerator.as_ref();
        let kind = kind.and_then(|k| manifest.accelerators.get(k));
        BackendSpec {
            name: name.to_owned(),
            data_centre: self.indices[&server.data_centre],
            first_layer: server.first_layer,
            end_layer: server.end_layer,
            price_micros_per_hour: kind.map_or(0, |k| k.price_micros_per_hour),
            prompt_tokens_per_s: kind.map_or(0, |k| k.prompt_tokens_per_s),
            output_tokens_per_s: kind.map_or(0, |k| k.output_tokens_per_s),
            max_running: server.max_running,
            cache_tokens: server.cache_tokens,
        }
    }
}
