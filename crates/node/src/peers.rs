//! Fetches the manifest from other processes.
//!
//! Used while the store is unavailable or cannot return all objects of a
//! generation. Objects from peers are verified by digest, so that a faulty
//! peer costs time but cannot corrupt the manifest.

use std::{collections::BTreeSet, net::SocketAddr, sync::Arc, time::Duration};

use chestnutreach_control::{ControlClient, ControlError, GenerationInfo};
use chestnutreach_platform::{
    concurrent::join_all,
    manifest_store::{Head, PartCache},
};

use crate::peer_reports::PeerReports;

/// Maximum number of peers queried at once.
const MAX_QUERIED_PEERS: usize = 16;
/// Maximum number of peers tried for the objects of one generation.
const MAX_SOURCE_PEERS: usize = 4;

/// Client for the manifests of peers.
#[derive(Debug)]
pub struct PeerManifests {
    seeds: Vec<SocketAddr>,
    reports: Arc<PeerReports>,
    timeout: Duration,
}

/// A generation, and the peers that have it in force.
pub(crate) struct PeerGeneration {
    pub(crate) head: Head,
    pub(crate) peers: Vec<SocketAddr>,
}

impl PeerManifests {
    /// Creates a client for the seed peers of the settings and the peers that
    /// have reported a generation. `timeout` applies to each call.
    pub fn new(
        seeds: Vec<SocketAddr>,
        reports: Arc<PeerReports>,
        timeout: Duration,
    ) -> PeerManifests {
        PeerManifests { seeds, reports, timeout }
    }

    /// Whether the settings list seed peers.
    pub(crate) fn has_seeds(&self) -> bool {
        !self.seeds.is_empty()
    }

    /// A random selection of the known peers.
    pub(crate) fn sample(&self) -> Vec<SocketAddr> {
        let reported = self.reports.control_addresses();
        let known: BTreeSet<SocketAddr> =
            self.seeds.iter().copied().chain(reported).collect();
        let mut known: Vec<SocketAddr> = known.into_iter().collect();
        fastrand::shuffle(&mut known);
        known.truncate(MAX_QUERIED_PEERS);
        known
    }

    /// Queries peers for the highest generation that any of them has in force.
    pub(crate) async fn highest(&self) -> Option<PeerGeneration> {
        let queried = self.sample();
        let mut calls = Vec::new();
        for address in &queried {
            calls.push(generation_of(*address, self.timeout));
        }
        let responses = join_all(calls).await;
        let heads: Vec<(SocketAddr, Head)> = queried
            .into_iter()
            .zip(responses)
            .filter_map(|(address, info)| Some((address, head_of(info?)?)))
            .collect();
        let highest = heads.iter().max_by_key(|(_, head)| head.generation)?;
        let head = highest.1.clone();
        let holders = heads.iter().filter(|(_, h)| h.root == head.root);
        let peers = holders.map(|(address, _)| *address).collect();
        Some(PeerGeneration { head, peers })
    }

    /// Fetches the missing objects of a generation from `peers`.
    pub(crate) async fn read_missing(
        &self,
        root: &[u8; 32],
        cache: &mut PartCache,
        peers: &[SocketAddr],
    ) {
        for address in peers.iter().take(MAX_SOURCE_PEERS) {
            if cache.missing(root).is_empty() {
                return;
            }
            // After any error, the next peer is tried.
            let _ = self.read_from(*address, root, cache).await;
        }
    }

    async fn read_from(
        &self,
        address: SocketAddr,
        root: &[u8; 32],
        cache: &mut PartCache,
    ) -> Result<(), ControlError> {
        let client = ControlClient::connect(address, self.timeout).await?;
        let client = client.call_timeout(self.timeout);
        loop {
            let missing = cache.missing(root);
            let mut has_progress = false;
            for digest in missing {
                let part = client.manifest_part(digest.as_bytes()).await?;
                let inserted = part.map(|bytes| cache.insert(digest, bytes));
                has_progress |= matches!(inserted, Some(Ok(())));
            }
            // The list of parts is known once the root object is cached.
            if !has_progress || cache.missing(root).is_empty() {
                return Ok(());
            }
        }
    }
}

async fn generation_of(
    address: SocketAddr,
    timeout: Duration,
) -> Option<GenerationInfo> {
    let client = ControlClient::connect(address, timeout).await.ok()?;
    client.call_timeout(timeout).generation().await.ok()
}

fn head_of(info: GenerationInfo) -> Option<Head> {
    let root = info.root_digest.as_slice().try_into().ok()?;
    let GenerationInfo { generation, submission, .. } = info;
    (generation > 0).then_some(Head {
        generation,
        submission,
        parent_submission: None,
        root,
    })
}
