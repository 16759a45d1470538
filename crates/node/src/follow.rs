//! Following the platform: the manifest and the list of VMs.
//!
//! A process looks at one row, the manifest's head, with jitter so that many
//! processes do not look at the same moment, and fetches only the parts that
//! changed. A generation lower than the one in force is never applied. While
//! the store does not answer, what is in force stays in force.

use std::{
    collections::BTreeSet,
    sync::Arc,
    time::{Duration, Instant},
};

use async_io::Timer;
use chestnutreach_config::Manifest;
use chestnutreach_platform::{
    ManifestStore, VmListClient,
    manifest_store::{Head, PartCache},
    vm_list::VmState,
};
use chestnutreach_telemetry::{Event, emit};
use futures_lite::FutureExt as _;

use crate::{heard::Heard, in_force::InForce};

/// Follows the manifest of a deployment.
pub struct ManifestFollower {
    store: ManifestStore,
    heard: Arc<Heard>,
    poll_ms: u64,
    cache: PartCache,
    generation: u64,
    in_force: Arc<InForce>,
    outage: Outage,
}

impl ManifestFollower {
    /// A follower that has no generation yet.
    pub fn new(
        store: ManifestStore,
        heard: Arc<Heard>,
        poll_ms: u64,
    ) -> ManifestFollower {
        ManifestFollower {
            store,
            heard,
            poll_ms,
            cache: PartCache::new(),
            generation: 0,
            in_force: Arc::default(),
            outage: Outage::new("manifest"),
        }
    }

    /// Notes here which generation is in force.
    pub fn in_force(mut self, in_force: Arc<InForce>) -> ManifestFollower {
        self.in_force = in_force;
        self
    }

    /// Applies each higher generation until the process ends.
    pub async fn run(mut self, apply: impl Fn(u64, &Manifest)) {
        loop {
            self.look(&apply).await;
            let poll = jittered(self.poll_ms);
            let poll = async {
                Timer::after(poll).await;
            };
            self.heard.woken().or(poll).await;
        }
    }

    async fn look(&mut self, apply: &impl Fn(u64, &Manifest)) {
        match self.store.head().await {
            Ok(Some(head)) => {
                self.outage.worked();
                if head.generation > self.generation {
                    self.fetch(&head, apply).await;
                }
            }
            Ok(None) => self.outage.worked(),
            Err(e) => self.outage.failed(&e),
        }
    }

    async fn fetch(&mut self, head: &Head, apply: &impl Fn(u64, &Manifest)) {
        let started = Instant::now();
        let fetched = self.store.fetch(head, &mut self.cache).await;
        let sections = match fetched {
            Ok(sections) => sections,
            Err(e) => {
                emit(
                    Event::ManifestFetchFailed,
                    &[
                        ("generation", &head.generation),
                        ("source", &"store"),
                        ("error", &e),
                    ],
                );
                return;
            }
        };
        let name = format!("generation {}", head.generation);
        match Manifest::try_from_sections(&name, &sections) {
            Ok(manifest) => {
                self.generation = head.generation;
                apply(head.generation, &manifest);
                self.in_force.note(head);
                emit(
                    Event::ManifestInForce,
                    &[
                        ("generation", &head.generation),
                        ("submission", &head.submission),
                        ("source", &"store"),
                        ("elapsed_ms", &started.elapsed().as_millis()),
                    ],
                );
            }
            Err(findings) => emit(
                Event::ManifestUnusable,
                &[("generation", &head.generation), ("findings", &findings)],
            ),
        }
    }
}

/// Follows the platform's list until the process ends; hands on the VMs that
/// are listed as leaving.
pub async fn follow_vm_list(
    client: VmListClient,
    poll_ms: u64,
    apply: impl Fn(BTreeSet<String>),
) {
    let mut outage = Outage::new("vm_list");
    loop {
        match client.list().await {
            Ok(entries) => {
                outage.worked();
                let leaving = entries
                    .into_iter()
                    .filter(|entry| entry.state == VmState::Leaving)
                    .map(|entry| entry.vm)
                    .collect();
                apply(leaving);
            }
            Err(e) => outage.failed(&e),
        }
        Timer::after(jittered(poll_ms)).await;
    }
}

/// Half to all of an interval.
fn jittered(interval_ms: u64) -> Duration {
    Duration::from_millis(fastrand::u64(interval_ms / 2..=interval_ms))
}

/// Tells once that a service does not answer, and once that it does again.
struct Outage {
    store: &'static str,
    since: Option<Instant>,
}

impl Outage {
    fn new(store: &'static str) -> Outage {
        Outage { store, since: None }
    }

    fn failed(&mut self, error: &dyn std::fmt::Display) {
        if self.since.is_none() {
            self.since = Some(Instant::now());
            emit(
                Event::StoreUnavailable,
                &[("store", &self.store), ("error", error)],
            );
        }
    }

    fn worked(&mut self) {
        if let Some(since) = self.since.take() {
            emit(
                Event::StoreBack,
                &[
                    ("store", &self.store),
                    ("down_ms", &since.elapsed().as_millis()),
                ],
            );
        }
    }
}
