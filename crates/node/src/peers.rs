//! The manifest as other processes have it.
//!
//! Asked when the store does not answer, or cannot give all of a generation.
//! What peers hand out is checked by digest, so that one that is wrong costs
//! time and nothing else.

use std::{collections::BTreeSet, net::SocketAddr, sync::Arc, time::Duration};

use chestnutreach_control::{ControlClient, ControlError, GenerationInfo};
use chestnutreach_platform::{
    concurrent::join_all,
    manifest_store::{Head, PartCache},
};

use crate::heard::Heard;

/// Most peers asked at once.
const MAX_ASKED: usize = 16;
/// Most peers tried for the objects of one generation.
const MAX_SOURCES: usize = 4;

/// Processes that may have the manifest.
#[derive(Debug)]
pub struct PeerManifests {
    seeds: Vec<SocketAddr>,
    heard: Arc<Heard>,
    timeout: Duration,
}

/// A generation, and who has it in force.
pub(crate) struct Offered {
    pub(crate) head: Head,
    pub(crate) peers: Vec<SocketAddr>,
}

impl PeerManifests {
    /// Peers from the settings, and those that were met; each gets this
    /// time for an answer.
    pub fn new(
        seeds: Vec<SocketAddr>,
        heard: Arc<Heard>,
        timeout: Duration,
    ) -> PeerManifests {
        PeerManifests { seeds, heard, timeout }
    }

    /// Whether the settings name peers.
    pub(crate) fn has_seeds(&self) -> bool {
        !self.seeds.is_empty()
    }

    /// Some of the known peers, in no order.
    pub(crate) fn some(&self) -> Vec<SocketAddr> {
        let met = self.heard.control_addresses();
        let known: BTreeSet<SocketAddr> =
            self.seeds.iter().copied().chain(met).collect();
        let mut known: Vec<SocketAddr> = known.into_iter().collect();
        fastrand::shuffle(&mut known);
        known.truncate(MAX_ASKED);
        known
    }

    /// The highest generation that any of the asked peers has in force.
    pub(crate) async fn highest(&self) -> Option<Offered> {
        let asked = self.some();
        let mut calls = Vec::new();
        for address in &asked {
            calls.push(generation_of(*address, self.timeout));
        }
        let answers = join_all(calls).await;
        let heads: Vec<(SocketAddr, Head)> = asked
            .into_iter()
            .zip(answers)
            .filter_map(|(address, info)| Some((address, head_of(info?)?)))
            .collect();
        let highest = heads.iter().max_by_key(|(_, head)| head.generation)?;
        let head = highest.1.clone();
        let has_it = heads.iter().filter(|(_, h)| h.root == head.root);
        let peers = has_it.map(|(address, _)| *address).collect();
        Some(Offered { head, peers })
    }

    /// Takes what a generation still needs from these peers.
    pub(crate) async fn read_missing(
        &self,
        root: &[u8; 32],
        cache: &mut PartCache,
        peers: &[SocketAddr],
    ) {
        for address in peers.iter().take(MAX_SOURCES) {
            if cache.missing(root).is_empty() {
                return;
            }
            // Whatever goes wrong with one, the next is asked.
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
            let mut has_got = false;
            for digest in missing {
                let part = client.manifest_part(digest.as_bytes()).await?;
                let taken = part.map(|bytes| cache.insert(digest, bytes));
                has_got |= matches!(taken, Some(Ok(())));
            }
            // The parts are known once the root is there.
            if !has_got || cache.missing(root).is_empty() {
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
