//! A running site: its store, its servers and its entries as processes.

use std::{
    collections::{BTreeMap, BTreeSet},
    io,
    net::SocketAddr,
    path::Path,
    sync::{Arc, Mutex},
    time::{Duration, Instant},
};

use anyhow::Context as _;
use async_executor::Executor;
use async_io::Timer;
use chestnutreach_fleet::Relay;
use rustix::process::Signal;
use serde_json::Value;

use crate::{
    backend_servers::BackendServers,
    caller::{Outcome, RequestKind, RequestSpec, send_request},
    core_quota, engines,
    entries::{Entries, get},
    experiment::Fault,
    link::LinkFault,
    load::{self, Load},
    peer_links::PeerLinks,
    report::Report,
    site::{KEY, MEMORY_MB, Site},
    store::{Store, StoreCopy, StoreFault},
};

mod faults;

/// Time within which a site must become ready.
const READY_TIMEOUT: Duration = Duration::from_secs(20);
/// Time within which the site must serve all requests again after the last
/// fault.
pub(crate) const RECOVERY_TIMEOUT: Duration = Duration::from_secs(12);

/// Time within which a configuration must be in force at all entries:
/// `config-apply-ms` of the settings.
const CONFIGURATION_TIMEOUT: Duration = Duration::from_millis(2_000);

/// A running site.
pub struct RunningSite {
    /// The store.
    pub store: Store,
    /// Engines and servers of the plain service.
    pub backends: BackendServers,
    /// Entry processes.
    pub entries: Arc<Mutex<Entries>>,
    /// Addresses at which clients connect, by entry.
    pub addresses: Vec<SocketAddr>,
    /// The operator's last configuration.
    configuration: Arc<Mutex<Value>>,
    /// Relays between each entry and the store, if the site emulates links.
    store_links: Vec<Arc<Relay>>,
    /// Links between the entries, if the site emulates them.
    peer_links: Option<Arc<PeerLinks>>,
    /// Planned stops: address of the entry and time.
    pub(crate) stops: Mutex<Vec<(SocketAddr, Instant)>>,
    /// Addresses of entries that were killed or paused.
    pub(crate) kills: Mutex<Vec<SocketAddr>>,
    executor: Arc<Executor<'static>>,
}

/// Starts a site and waits until all entries serve.
///
/// # Errors
///
/// A part of the site can't be started or is not ready within the timeout.
pub async fn start(
    executor: &Arc<Executor<'static>>,
    binary: &Path,
    site: &Site,
) -> anyhow::Result<RunningSite> {
    let (store, address) = Store::start(executor)?;
    let configuration = site.configuration(1, &[KEY]);
    store.put("op", "config", &configuration);
    let backends = BackendServers::new(site, &store, executor);
    engines::start_all(&backends)?;
    let store_links: Vec<Arc<Relay>> = match site.has_links {
        true => (0..site.entries)
            .map(|_| Arc::new(Relay::start(address)))
            .collect(),
        false => Vec::new(),
    };
    let relayed = |at: usize| store_links.get(at).map(|link| link.address());
    let stores: Vec<SocketAddr> =
        (0..site.entries).map(|at| relayed(at).unwrap_or(address)).collect();
    let mut entries = Entries::try_new(binary, site, &stores)?;
    let peer_links = match site.has_peer_links {
        true => Some(Arc::new(link_entries(executor, &entries, &store)?)),
        false => None,
    };
    let started = entries.start_all();
    started.with_context(|| format!("entries of {}", binary.display()))?;
    let addresses: Vec<SocketAddr> =
        (0..entries.count()).map(|i| entries.address(i)).collect();
    let entries = Arc::new(Mutex::new(entries));
    if let Some(share) = site.core_quota {
        core_quota::limit(&entries, share)?;
    }
    let running = RunningSite {
        addresses,
        store,
        backends,
        entries,
        configuration: Arc::new(Mutex::new(configuration)),
        store_links,
        peer_links,
        stops: Mutex::default(),
        kills: Mutex::default(),
        executor: executor.clone(),
    };
    let has_full_coverage = running
        .backends
        .wait_for(READY_TIMEOUT, BackendServers::has_full_coverage)
        .await;
    anyhow::ensure!(
        has_full_coverage,
        "some layers are held by no engine when the timeout ends"
    );
    anyhow::ensure!(
        running.wait_until_ready().await,
        "an entry serves no request when the timeout ends"
    );
    Ok(running)
}

/// Opens the links between entries, which learn each other's public addresses
/// from the store.
fn link_entries(
    executor: &Arc<Executor<'static>>,
    entries: &Entries,
    store: &Store,
) -> anyhow::Result<PeerLinks> {
    let own: Vec<SocketAddr> =
        (0..entries.count()).map(|e| entries.ops_address(e)).collect();
    let links = PeerLinks::start(executor, &own)?;
    let mut public = BTreeMap::new();
    for (entry, own) in own.into_iter().enumerate() {
        public.insert(own, links.public_address(entry)?);
    }
    store.set_public_addresses(public);
    Ok(links)
}

fn version_of(configuration: &Value) -> u64 {
    configuration["version"].as_u64().expect("a version is a number")
}

impl Drop for RunningSite {
    /// Closes the entries and terminates the servers. Tasks of lasting faults
    /// may keep the entries alive longer than the site, and a process that
    /// they start later would outlive this process. Servers that keep running
    /// would keep their file descriptors open during all later seeds.
    fn drop(&mut self) {
        self.entries().close();
        self.backends.terminate_all();
    }
}

impl RunningSite {
    async fn wait_until_ready(&self) -> bool {
        let until = Instant::now() + READY_TIMEOUT;
        for index in 0..self.addresses.len() {
            loop {
                let spec = RequestSpec::new(RequestKind::Stream, "ready", 1);
                let spec = RequestSpec { max_attempts: 1, ..spec };
                let entry = [self.addresses[index]];
                let outcome =
                    send_request(&spec, &entry, 0, Duration::ZERO).await;
                if outcome.time_to_first.is_some() {
                    break;
                }
                if Instant::now() >= until {
                    return false;
                }
                Timer::after(Duration::from_millis(50)).await;
            }
        }
        true
    }

    /// Writes a new version of the configuration to the store and returns the
    /// version.
    pub fn configure(&self, keys: &[&str]) -> u64 {
        let mut last = self.configuration.lock().expect("no holder panics");
        let version = version_of(&last) + 3;
        *last = self.backends.site().configuration(version, keys);
        self.store.put("op", "config", &last);
        version
    }

    /// Version of the operator's last configuration.
    fn configured_version(&self) -> u64 {
        version_of(&self.configuration.lock().expect("no holder panics"))
    }

    /// Restores the store from a copy, and makes it available. The operator
    /// and the servers write their rows again after a delay.
    pub fn restore_store(&self, copy: StoreCopy, delay: Duration) {
        self.store.restore(copy);
        self.store.set_fault(StoreFault::None);
        self.spawn_after(delay, self.rewrite_rows());
    }

    /// Makes the operator and the servers write their rows again.
    fn rewrite_rows(&self) -> impl Future<Output = ()> + Send + 'static {
        let (store, backends) = (self.store.clone(), self.backends.clone());
        let configuration = self.configuration.clone();
        async move {
            let last = configuration.lock().expect("no holder panics").clone();
            store.put("op", "config", &last);
            backends.rewrite_rows();
        }
    }

    /// Starts or ends a fault of the links between all entries and the store.
    pub fn set_store_links(&self, fault: LinkFault, is_on: bool) {
        for link in &self.store_links {
            fault.set(link, is_on);
        }
    }

    /// Starts or ends a fault of the link between an entry and the store.
    pub fn set_store_link(&self, entry: usize, fault: LinkFault, is_on: bool) {
        fault.set(&self.store_links[entry], is_on);
    }

    /// Cuts the links between entries of different groups; `group` returns the
    /// group of an entry.
    ///
    /// # Panics
    ///
    /// Panics if the site does not emulate these links.
    pub fn cut_entries(&self, group: impl Fn(usize) -> usize) {
        let links = self.peer_links.as_deref();
        links.expect("the site has links between entries").cut(group);
    }

    fn record_stop(&self, entry: usize) {
        let mut stops = self.stops.lock().expect("no holder panics");
        stops.push((self.addresses[entry], Instant::now()));
    }

    fn record_kill(&self, entry: usize) {
        let mut kills = self.kills.lock().expect("no holder panics");
        kills.push(self.addresses[entry]);
    }

    /// Sends a signal to an entry.
    pub fn signal(&self, entry: usize, signal: Signal) {
        self.entries().signal(entry, signal);
    }

    /// Kills an entry.
    pub fn kill(&self, entry: usize) {
        self.entries().kill(entry);
    }

    /// The exit code of an entry whose process has exited.
    pub fn exit_code(&self, entry: usize) -> Option<i32> {
        self.entries().exit_code(entry)
    }

    /// Kills and restarts each entry that holds more memory than its machine
    /// has, as the platform does; returns how many.
    pub fn kill_oversized_entries(&self) -> usize {
        let mut entries = self.entries();
        let mut killed = 0;
        for entry in 0..entries.count() {
            let peak_bytes = entries.peak_memory_bytes(entry).unwrap_or(0);
            if peak_bytes > MEMORY_MB << 20 {
                entries.kill(entry);
                // An entry that fails to start shows up in the report.
                let _ = entries.start_entry(entry);
                killed += 1;
            }
        }
        killed
    }

    /// Most memory that any entry's process has held so far, in bytes.
    pub fn peak_memory_bytes(&self) -> u64 {
        let entries = self.entries();
        let peaks = (0..entries.count()).map(|e| entries.peak_memory_bytes(e));
        peaks.flatten().max().unwrap_or(0)
    }

    /// Address of an entry's metrics and status.
    pub fn ops_address(&self, entry: usize) -> SocketAddr {
        self.entries().ops_address(entry)
    }

    /// The server that received most requests, among the engines or among the
    /// servers of the plain service.
    pub fn busiest_server(&self, is_model: bool) -> SocketAddr {
        let servers = match is_model {
            true => self.backends.engines(),
            false => self.backends.plain_servers(),
        };
        let observations = self.backends.observations();
        let arrivals = |address: &SocketAddr| {
            let id = self.backends.server(*address).map(|server| server.id);
            let at_server =
                observations.arrival_log.iter().filter(|arrival| {
                    id.as_ref().is_some_and(|id| *id == arrival.server)
                });
            at_server.count()
        };
        let busiest = servers.into_iter().max_by_key(arrivals);
        busiest.unwrap_or(self.addresses[0])
    }

    /// Whether an entry reports to the load balancer that it is ready.
    pub async fn is_ready(&self, entry: usize) -> bool {
        let address = self.entries().ready_address(entry);
        matches!(get(address, "/v1/ready").await, Some((200, _)))
    }

    /// Logs of all entries, concatenated.
    pub fn logs(&self) -> String {
        (0..self.addresses.len()).map(|entry| self.log(entry)).collect()
    }

    /// Copies the logs of all entries to a directory.
    ///
    /// # Errors
    ///
    /// A log can't be copied.
    pub fn copy_logs(&self, dir: &Path) -> io::Result<()> {
        self.entries().copy_logs(dir)
    }

    /// Log of one entry; empty if it can't be read.
    pub fn log(&self, entry: usize) -> String {
        self.entries().log(entry).unwrap_or_default()
    }

    /// Fingerprints of requests that entries logged as quarantined.
    pub fn quarantined_fingerprints(&self) -> BTreeSet<String> {
        let logs = self.logs();
        let fingerprint = |line| {
            let rest = str::split_once(line, "\"fingerprint\":\"")?.1;
            rest.split('"').next().map(str::to_owned)
        };
        let lines = logs.lines().filter(|l| l.contains("request_quarantined"));
        lines.filter_map(fingerprint).collect()
    }

    /// The status document of an entry; `None` if the entry doesn't respond.
    pub async fn status(&self, entry: usize) -> Option<serde_json::Value> {
        let (_, text) = get(self.ops_address(entry), "/status").await?;
        serde_json::from_str(&text).ok()
    }

    /// Short hashes of the backend servers in an entry's status document.
    pub async fn engine_hashes(&self, entry: usize) -> Vec<u32> {
        let status = self.status(entry).await.unwrap_or_default();
        let backends = status["backends"].as_array();
        let hash = |backend: &serde_json::Value| {
            u32::try_from(backend["hash"].as_u64()?).ok()
        };
        backends.into_iter().flatten().filter_map(hash).collect()
    }

    /// The entry whose status document says that it is the planner.
    pub async fn planner(&self) -> Option<usize> {
        for entry in 0..self.addresses.len() {
            let status = self.status(entry).await;
            if status.is_some_and(|status| status["is_planner"] == true) {
                return Some(entry);
            }
        }
        None
    }

    pub(crate) fn entries(&self) -> std::sync::MutexGuard<'_, Entries> {
        self.entries.lock().expect("no holder panics")
    }

    fn spawn_after(
        &self,
        delay: Duration,
        work: impl Future<Output = ()> + Send + 'static,
    ) {
        let task = async move {
            Timer::after(delay).await;
            work.await;
        };
        self.executor.spawn(task).detach();
    }

    /// Kills and restarts an entry.
    pub fn restart_entry(&self, entry: usize) {
        self.restart_later(entry, Duration::ZERO);
    }

    fn restart_later(&self, entry: usize, delay: Duration) {
        let entries = self.entries.clone();
        self.spawn_after(delay, async move {
            let mut entries = entries.lock().expect("no holder panics");
            entries.kill(entry);
            // An entry that fails to start shows up in the report.
            let _ = entries.start_entry(entry);
        });
    }

    fn restart_after_exit(&self, entry: usize) {
        let entries = self.entries.clone();
        self.spawn_after(Duration::from_millis(50), async move {
            let until = Instant::now() + Duration::from_secs(8);
            loop {
                {
                    let mut entries =
                        entries.lock().expect("no holder panics");
                    let has_exited = entries.exit_code(entry).is_some();
                    if has_exited || Instant::now() >= until {
                        entries.kill(entry);
                        let _ = entries.start_entry(entry);
                        return;
                    }
                }
                Timer::after(Duration::from_millis(50)).await;
            }
        });
    }

    /// Runs load and faults and returns the report.
    pub async fn run(&self, load: &Load, faults: &[Fault]) -> Report {
        let mut rng = fastrand::Rng::with_seed(load.seed);
        let start = Instant::now();
        let inject = async {
            for fault in faults {
                Timer::at(start + fault.at).await;
                self.inject_fault(fault, &mut rng);
            }
        };
        let requests = load::run(&self.executor, load, &self.addresses);
        let (outcomes, ()) = futures_lite::future::zip(requests, inject).await;
        Report { faults: faults.to_vec(), ..self.report(start, outcomes) }
    }

    /// Report of requests that were sent from `start` on, without faults.
    pub fn report(&self, start: Instant, outcomes: Vec<Outcome>) -> Report {
        Report {
            start,
            outcomes,
            observations: self.backends.observations(),
            faults: Vec::new(),
            store_calls: self.store.calls(),
            entry_starts: self.entries().starts().to_vec(),
        }
    }

    /// Entries that do not have the last configuration in force within the
    /// time that the settings state.
    pub async fn entries_with_outdated_configuration(&self) -> Vec<usize> {
        let until = Instant::now() + CONFIGURATION_TIMEOUT;
        loop {
            let last = self.configured_version();
            let mut outdated = Vec::new();
            for entry in 0..self.addresses.len() {
                let status = self.status(entry).await.unwrap_or_default();
                if status["configuration"].as_u64() != Some(last) {
                    outdated.push(entry);
                }
            }
            if outdated.is_empty() || Instant::now() >= until {
                return outdated;
            }
            Timer::after(Duration::from_millis(50)).await;
        }
    }

    /// Whether the site serves all requests of a probe load again before the
    /// recovery timeout.
    pub async fn recovers(&self) -> bool {
        let until = Instant::now() + RECOVERY_TIMEOUT;
        while Instant::now() < until {
            let load = Load {
                per_s: [
                    (RequestKind::Stream, 10.0),
                    (RequestKind::Idempotent, 10.0),
                ]
                .into(),
                duration: Duration::from_secs(1),
                events: self.backends.site().events,
                seed: fastrand::u64(..),
            };
            let report = self.run(&load, &[]).await;
            if report.outcomes.iter().all(|o| o.is_served()) {
                return true;
            }
        }
        false
    }
}
