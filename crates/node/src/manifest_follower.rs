//! Following the manifest of a deployment.
//!
//! A process looks at one row, the manifest's head, with jitter so that many
//! processes do not look at the same moment, and fetches only the parts that
//! changed. A generation lower than the one in force is never applied, and
//! neither is a first one lower than a peer has told of.
//!
//! While the store does not answer, what is in force stays in force, and the
//! looks become rarer. Peers are asked when one of them has a higher
//! generation than the store gives, or when nothing is in force yet; parts
//! that the store cannot give are taken from them too.

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
    outage::{Outage, Pause},
    peer_reports::PeerReports,
    peers::{Offered, PeerManifests},
};

/// How long a process without seed peers waits, after its start, for peers
/// to come before it takes the highest generation of those that came:
/// longer than an entry takes to dial a side process again.
const GATHER: Duration = Duration::from_millis(2_500);

/// Follows the manifest of a deployment.
pub struct ManifestFollower {
    store: ManifestStore,
    peers: PeerManifests,
    heard: Arc<PeerReports>,
    cache: PartCache,
    generation: u64,
    in_force: Arc<ActiveManifest>,
    outage: Outage,
    pause: Pause,
    started: Instant,
}

/// Where a generation was got.
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
    /// A follower that has no generation yet.
    pub fn new(
        store: ManifestStore,
        peers: PeerManifests,
        heard: Arc<PeerReports>,
        poll_ms: u64,
    ) -> ManifestFollower {
        ManifestFollower {
            store,
            peers,
            heard,
            cache: PartCache::new(),
            generation: 0,
            in_force: Arc::default(),
            outage: Outage::new("manifest"),
            pause: Pause::new(poll_ms),
            started: Instant::now(),
        }
    }

    /// Notes here which generation is in force.
    pub fn active_manifest(
        mut self,
        in_force: Arc<ActiveManifest>,
    ) -> ManifestFollower {
        self.in_force = in_force;
        self
    }

    /// Applies each higher generation until the process ends.
    pub async fn run(mut self, apply: impl Fn(u64, &Manifest)) {
        loop {
            let has_worked = self.look(&apply).await;
            let pause = self.pause.after(has_worked);
            let pause = async {
                Timer::after(pause).await;
            };
            self.heard.wait_for_higher().or(pause).await;
        }
    }

    /// Looks once; false when there is cause to look again soon.
    async fn look(&mut self, apply: &impl Fn(u64, &Manifest)) -> bool {
        let head = self.store.head().await;
        match &head {
            Ok(_) => self.outage.worked(),
            Err(e) => self.outage.failed(e),
        }
        let has_answered = head.is_ok();
        if let Ok(Some(head)) = head
            && head.generation > self.generation
        {
            return self.fetch(&head, apply).await;
        }
        let is_behind = self.heard.highest_generation() > self.generation;
        let needs_first = !has_answered && self.generation == 0;
        if !is_behind && !needs_first {
            return has_answered;
        }
        self.look_at_peers(apply).await
    }

    /// Gets a generation that the store has named.
    async fn fetch(
        &mut self,
        head: &Head,
        apply: &impl Fn(u64, &Manifest),
    ) -> bool {
        let started = Instant::now();
        let read = self.store.read_missing(&head.root, &mut self.cache).await;
        let Err(error) = read else {
            return self.take(head, Source::Store, started, apply);
        };
        note_failed(head, Source::Store, &error);
        let peers = self.peers.some();
        self.take_from(&peers, head, started, apply).await
    }

    /// Gets the highest generation of the peers, if it is a higher one.
    async fn look_at_peers(
        &mut self,
        apply: &impl Fn(u64, &Manifest),
    ) -> bool {
        let is_first = self.generation == 0;
        let is_early = self.started.elapsed() < GATHER;
        if is_first && is_early && !self.peers.has_seeds() {
            return false;
        }
        let started = Instant::now();
        let Some(Offered { head, peers }) = self.peers.highest().await else {
            return false;
        };
        // A first one that is lower than another peer has told of would be
        // a step back if this VM had that one before it started anew.
        let least = self.heard.highest_generation().max(self.generation + 1);
        if head.generation < least {
            return false;
        }
        self.take_from(&peers, &head, started, apply).await
    }

    async fn take_from(
        &mut self,
        peers: &[SocketAddr],
        head: &Head,
        started: Instant,
        apply: &impl Fn(u64, &Manifest),
    ) -> bool {
        let cache = &mut self.cache;
        self.peers.read_missing(&head.root, cache, peers).await;
        self.take(head, Source::Peer, started, apply)
    }

    /// Puts a generation in force whose objects are all here.
    fn take(
        &mut self,
        head: &Head,
        source: Source,
        started: Instant,
        apply: &impl Fn(u64, &Manifest),
    ) -> bool {
        let sections = match self.cache.sections(&head.root) {
            Ok(sections) => sections,
            Err(e) => {
                note_failed(head, source, &e);
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

fn note_failed(head: &Head, source: Source, error: &FetchError) {
    emit(
        Event::ManifestFetchFailed,
        &[
            ("generation", &head.generation),
            ("source", &source.as_str()),
            ("error", error),
        ],
    );
}
