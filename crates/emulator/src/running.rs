//! A running site: its store, its servers and its entries as processes.

use std::{
    collections::BTreeSet,
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

use crate::{
    backend_servers::BackendServers,
    caller::{RequestKind, RequestSpec, send_request},
    engines,
    entries::{Entries, get},
    experiment::Fault,
    load::{self, Load},
    report::Report,
    site::{KEY, Site},
    store::Store,
};

mod faults;

/// Time for a site to be ready.
const READY: Duration = Duration::from_secs(20);
/// Time within which it serves again after the last fault.
pub(crate) const RECOVER: Duration = Duration::from_secs(12);

/// A running site.
pub struct RunningSite {
    /// The store.
    pub store: Store,
    /// Engines and plain servers.
    pub backends: BackendServers,
    /// Entries.
    pub entries: Arc<Mutex<Entries>>,
    /// Where clients connect.
    pub addresses: Vec<SocketAddr>,
    version: Mutex<u64>,
    /// Relays between each entry and the store, where the site has links.
    store_links: Vec<Arc<Relay>>,
    /// Planned stops of entries, with their times.
    pub(crate) stops: Mutex<Vec<(SocketAddr, Instant)>>,
    /// Entries that were killed or paused.
    pub(crate) kills: Mutex<Vec<SocketAddr>>,
    executor: Arc<Executor<'static>>,
}

/// Starts a site and waits until it serves.
///
/// # Errors
///
/// Something could not be started, or is not ready in time.
pub async fn start(
    executor: &Arc<Executor<'static>>,
    binary: &Path,
    site: &Site,
) -> anyhow::Result<RunningSite> {
    let (store, address) = Store::start(executor)?;
    store.put("op", "config", &site.configuration(1, &[KEY]));
    let backends = BackendServers::new(site, &store, executor);
    engines::start_all(&backends)?;
    let store_links: Vec<Arc<Relay>> = match site.has_links {
        true => (0..site.entries)
            .map(|_| Arc::new(Relay::start(address)))
            .collect(),
        false => Vec::new(),
    };
    let own = |at: usize| store_links.get(at).map(|link| link.address());
    let stores: Vec<SocketAddr> =
        (0..site.entries).map(|at| own(at).unwrap_or(address)).collect();
    let entries = Entries::start(binary, site, &stores)
        .with_context(|| format!("entries of {}", binary.display()))?;
    let addresses = (0..entries.count()).map(|i| entries.address(i));
    let running = RunningSite {
        addresses: addresses.collect(),
        store,
        backends,
        entries: Arc::new(Mutex::new(entries)),
        version: Mutex::new(1),
        store_links,
        stops: Mutex::default(),
        kills: Mutex::default(),
        executor: executor.clone(),
    };
    let has_full_coverage = running
        .backends
        .wait_for(READY, BackendServers::has_full_coverage)
        .await;
    anyhow::ensure!(has_full_coverage, "no engine was ordered to hold layers");
    anyhow::ensure!(running.are_ready().await, "an entry is not ready");
    Ok(running)
}

impl Drop for RunningSite {
    /// Tasks of faults that last may hold the entries beyond the site: what
    /// they started later would outlive this process. Servers that went on
    /// would hold their descriptors through all later seeds.
    fn drop(&mut self) {
        self.entries().close();
        self.backends.terminate_all();
    }
}

impl RunningSite {
    async fn are_ready(&self) -> bool {
        let until = Instant::now() + READY;
        for index in 0..self.addresses.len() {
            loop {
                let wish = RequestSpec::new(RequestKind::Stream, "ready", 1);
                let wish = RequestSpec { max_attempts: 1, ..wish };
                let own = [self.addresses[index]];
                let outcome =
                    send_request(&wish, &own, 0, Duration::ZERO).await;
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

    /// Puts a new version of the configuration into the store.
    pub fn configure(&self, keys: &[&str]) -> u64 {
        let mut version = self.version.lock().expect("no holder panics");
        *version += 3;
        let new = self.backends.site().configuration(*version, keys);
        self.store.put("op", "config", &new);
        *version
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

    /// The exit code of an entry that has ended.
    pub fn exit_code(&self, entry: usize) -> Option<i32> {
        self.entries().exit_code(entry)
    }

    /// Where an entry shows its metrics and status.
    pub fn ops_address(&self, entry: usize) -> SocketAddr {
        self.entries().ops_address(entry)
    }

    /// The server that most requests reached: of the model service, or of the
    /// plain one.
    pub fn busiest_server(&self, is_model: bool) -> SocketAddr {
        let servers = match is_model {
            true => self.backends.engines(),
            false => self.backends.plain_servers(),
        };
        let observations = self.backends.observations();
        let arrivals = |address: &SocketAddr| {
            let id = self.backends.server(*address).map(|server| server.id);
            let here = observations.arrival_log.iter().filter(|arrival| {
                id.as_ref().is_some_and(|id| *id == arrival.server)
            });
            here.count()
        };
        let busiest_server = servers.into_iter().max_by_key(arrivals);
        busiest_server.unwrap_or(self.addresses[0])
    }

    /// Whether an entry tells the balancer that it is ready.
    pub async fn is_ready(&self, entry: usize) -> bool {
        let address = self.entries().ready_address(entry);
        matches!(get(address, "/v1/ready").await, Some((200, _)))
    }

    /// The lines of all entries.
    pub fn logs(&self) -> String {
        let entries = self.entries();
        let log = |entry| entries.log(entry).unwrap_or_default();
        (0..entries.count()).map(log).collect()
    }

    /// Fingerprints of requests that entries told as quarantined.
    pub fn quarantined_fingerprints(&self) -> BTreeSet<String> {
        let logs = self.logs();
        let fingerprint = |line| {
            let rest = str::split_once(line, "\"fingerprint\":\"")?.1;
            rest.split('"').next().map(str::to_owned)
        };
        let lines = logs.lines().filter(|l| l.contains("request_quarantined"));
        lines.filter_map(fingerprint).collect()
    }

    /// What an entry knows, as it says itself; none if it doesn't answer.
    pub async fn status(&self, entry: usize) -> Option<serde_json::Value> {
        let (_, text) = get(self.ops_address(entry), "/status").await?;
        serde_json::from_str(&text).ok()
    }

    /// Short hashes of the backend servers that an entry knows.
    pub async fn engine_hashes(&self, entry: usize) -> Vec<u32> {
        let status = self.status(entry).await.unwrap_or_default();
        let backends = status["backends"].as_array();
        let hash = |backend: &serde_json::Value| {
            u32::try_from(backend["hash"].as_u64()?).ok()
        };
        backends.into_iter().flatten().filter_map(hash).collect()
    }

    /// Which entry plans, as it says itself.
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

    fn later(
        &self,
        after: Duration,
        work: impl Future<Output = ()> + Send + 'static,
    ) {
        let task = async move {
            Timer::after(after).await;
            work.await;
        };
        self.executor.spawn(task).detach();
    }

    /// Kills an entry and starts it again.
    pub fn restart_entry(&self, entry: usize) {
        self.restart_later(entry, Duration::ZERO);
    }

    fn restart_later(&self, entry: usize, after: Duration) {
        let entries = self.entries.clone();
        self.later(after, async move {
            let mut entries = entries.lock().expect("no holder panics");
            entries.kill(entry);
            // What stays down shows in the report.
            let _ = entries.start_entry(entry);
        });
    }

    fn restart_when_ended(&self, entry: usize) {
        let entries = self.entries.clone();
        self.later(Duration::from_millis(50), async move {
            let until = Instant::now() + Duration::from_secs(8);
            loop {
                {
                    let mut entries =
                        entries.lock().expect("no holder panics");
                    let has_ended = entries.exit_code(entry).is_some();
                    if has_ended || Instant::now() >= until {
                        entries.kill(entry);
                        let _ = entries.start_entry(entry);
                        return;
                    }
                }
                Timer::after(Duration::from_millis(50)).await;
            }
        });
    }

    /// Runs load and faults; what came of them.
    pub async fn run(&self, load: &Load, faults: &[Fault]) -> Report {
        let mut rng = fastrand::Rng::with_seed(load.seed);
        let start = Instant::now();
        let strike = async {
            for fault in faults {
                Timer::at(start + fault.at).await;
                self.inject_fault(fault, &mut rng);
            }
        };
        let requests = load::run(&self.executor, load, &self.addresses);
        let (outcomes, ()) = futures_lite::future::zip(requests, strike).await;
        Report {
            start,
            outcomes,
            observations: self.backends.observations(),
            faults: faults.to_vec(),
            store_calls: self.store.calls(),
        }
    }

    /// Whether all entries serve within the time of a recovery.
    pub async fn recovers(&self) -> bool {
        let until = Instant::now() + RECOVER;
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
