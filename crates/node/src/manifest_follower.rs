//! Follows the manifest of a deployment.
//!
//! A process polls one row, the manifest's head, with jitter so that many
//! processes do not poll at the same time, and fetches only the parts that
//! changed. The follower never applies a generation lower than the generation
//! in force, and no first generation lower than a generation that a peer has
//! reported.
//!
//! While the store is unavailable, the manifest in force stays in force, and
//! the polls back off. The follower queries peers if a peer has a higher
//! generation than the store returns, or if no manifest is in force yet. Parts
//! that the store cannot return are fetched from peers as well.

use std::{
    net::SocketAddr,
    sync::Arc,
    time::{Duration, Instant},
};

use async_io::Timer;
use chestnutreach_config::Manifest;
use chestnutreach_platform::{
    ManifestStore,
    manifest_store::{FetchError, Head, PartCache},
};
use chestnutreach_telemetry::{Event, emit};
use futures_lite::FutureExt as _;

use crate::{
    active_manifest::ActiveManifest,
    outage::{Outage, PollInterval},
    peer_reports::PeerReports,
    peers::{PeerGeneration, PeerManifests},
};

/// How long a process without seed peers collects peers after its start before
/// it takes the highest generation among them: longer than an entry takes to
/// reconnect to a side process.
const PEER_DISCOVERY_TIME: Duration = Duration::from_millis(2_500);

/// Follows the manifest of a deployment.
pub struct ManifestFollower {
    store: ManifestStore,
    peers: PeerManifests,
    reports: Arc<PeerReports>,
    cache: PartCache,
    generation: u64,
    in_force: Arc<ActiveManifest>,
    outage: Outage,
    poll_interval: PollInterval,
    started: Instant,
}

/// Where a generation was fetched from.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Source {
    Store,
    Peer,
}

impl Source {
    fn as_str(self) -> &'static str {
        match self {
            Source::Store => "store",
            Source::Peer => "peer",
        }
    }
}

impl ManifestFollower {
    /// Creates a follower that has no generation yet.
    pub fn new(
        store: ManifestStore,
        peers: PeerManifests,
        reports: Arc<PeerReports>,
        poll_ms: u64,
    ) -> ManifestFollower {
        ManifestFollower {
            store,
            peers,
            reports,
            cache: PartCache::new(),
            generation: 0,
            in_force: Arc::default(),
            outage: Outage::new("manifest"),
            poll_interval: PollInterval::new(poll_ms),
            started: Instant::now(),
        }
    }

    /// Sets where the follower publishes the manifest in force.
    pub fn active_manifest(
        mut self,
        in_force: Arc<ActiveManifest>,
    ) -> ManifestFollower {
        self.in_force = in_force;
        self
    }

    /// Applies each higher generation; never returns.
    pub async fn run(mut self, apply: impl Fn(u64, &Manifest)) {
        loop {
            let has_succeeded = self.poll(&apply).await;
            let delay = self.poll_interval.next(has_succeeded);
            let delay = async {
                Timer::after(delay).await;
            };
            self.reports.wait_for_higher().or(delay).await;
        }
    }

    /// Polls the manifest once. Returns false if the poll failed and should be
    /// retried soon.
    async fn poll(&mut self, apply: &impl Fn(u64, &Manifest)) -> bool {
        let head = self.store.head().await;
        match &head {
            Ok(_) => self.outage.record_success(),
            Err(e) => self.outage.record_failure(e),
        }
        let is_store_available = head.is_ok();
        if let Ok(Some(head)) = head
            && head.generation > self.generation
        {
            return self.fetch(&head, apply).await;
        }
        let is_behind_peer =
            self.reports.highest_generation() > self.generation;
        let needs_first_generation =
            !is_store_available && self.generation == 0;
        if !is_behind_peer && !needs_first_generation {
            return is_store_available;
        }
        self.fetch_from_peers(apply).await
    }

    /// Fetches a generation whose head the store has returned.
    async fn fetch(
        &mut self,
        head: &Head,
        apply: &impl Fn(u64, &Manifest),
    ) -> bool {
        let started = Instant::now();
        let result =
            self.store.read_missing(&head.root, &mut self.cache).await;
        let Err(error) = result else {
            return self.apply_cached(head, Source::Store, started, apply);
        };
        log_fetch_failed(head, Source::Store, &error);
        let peers = self.peers.sample();
        self.fetch_parts_from_peers(&peers, head, started, apply).await
    }

    /// Fetches the highest generation of the peers if it is higher than the
    /// one in force.
    async fn fetch_from_peers(
        &mut self,
        apply: &impl Fn(u64, &Manifest),
    ) -> bool {
        let is_first = self.generation == 0;
        let is_early = self.started.elapsed() < PEER_DISCOVERY_TIME;
        if is_first && is_early && !self.peers.has_seeds() {
            return false;
        }
        let started = Instant::now();
        let Some(PeerGeneration { head, peers }) = self.peers.highest().await
        else {
            return false;
        };
        // A first generation lower than what a peer has reported could be
        // a rollback: this VM may have had the higher one in force before its
        // restart.
        let min_generation =
            self.reports.highest_generation().max(self.generation + 1);
        if head.generation < min_generation {
            return false;
        }
        self.fetch_parts_from_peers(&peers, &head, started, apply).await
    }

    async fn fetch_parts_from_peers(
        &mut self,
        peers: &[SocketAddr],
        head: &Head,
        started: Instant,
        apply: &impl Fn(u64, &Manifest),
    ) -> bool {
        let cache = &mut self.cache;
        self.peers.read_missing(&head.root, cache, peers).await;
        self.apply_cached(head, Source::Peer, started, apply)
    }

    /// Puts a generation in force. All of its objects must be in the cache.
    fn apply_cached(
        &mut self,
        head: &Head,
        source: Source,
        started: Instant,
        apply: &impl Fn(u64, &Manifest),
    ) -> bool {
        let sections = match self.cache.sections(&head.root) {
            Ok(sections) => sections,
            Err(e) => {
                log_fetch_failed(head, source, &e);
                return false;
            }
        };
        let name = format!("generation {}", head.generation);
        let manifest = match Manifest::try_from_sections(&name, &sections) {
            Ok(manifest) => manifest,
            Err(findings) => {
                emit(
                    Event::ManifestUnusable,
                    &[
                        ("generation", &head.generation),
                        ("findings", &findings),
                    ],
                );
                return true;
            }
        };
        self.generation = head.generation;
        apply(head.generation, &manifest);
        self.in_force.set(head, &self.cache);
        emit(
            Event::ManifestInForce,
            &[
                ("generation", &head.generation),
                ("submission", &head.submission),
                ("source", &source.as_str()),
                ("elapsed_ms", &started.elapsed().as_millis()),
            ],
        );
        true
    }
}

fn log_fetch_failed(head: &Head, source: Source, error: &FetchError) {
    emit(
        Event::ManifestFetchFailed,
        &[
            ("generation", &head.generation),
            ("source", &source.as_str()),
            ("error", error),
        ],
    );
}
