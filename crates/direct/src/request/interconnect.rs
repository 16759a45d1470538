//! Traffic of this entry's requests over the interconnect.

use std::sync::Mutex;

use chestnutreach_routing::{InterconnectLimits, InterconnectQuota};

use crate::{clock::now_ms, cluster::peer_table::PeerTable, rate::Rate};

/// Recent interconnect traffic of this entry, and its remaining quota.
#[derive(Debug, Default)]
pub(crate) struct InterconnectTraffic {
    sent_rate: Rate,
    quota: Mutex<InterconnectQuota>,
}

impl InterconnectTraffic {
    /// Bytes per second that this entry sends.
    pub(crate) fn own_bytes_per_s(&self) -> f64 {
        self.sent_rate.per_s(now_ms())
    }

    /// Utilisation of the interconnect by this entry and as reported by its
    /// peers; 1 is full. Also 1 if the own quota is used up.
    pub(crate) fn utilisation(
        &self,
        peers: &PeerTable,
        interconnect_mbps: f64,
    ) -> f64 {
        let limits = limits(peers, interconnect_mbps);
        let mut quota = self.quota.lock().expect("no holder panics");
        if !quota.has_remaining(&limits, now_ms()) {
            return 1.0;
        }
        drop(quota);
        let total_bytes_per_s =
            self.own_bytes_per_s() + peers.interconnect_bytes_per_s();
        total_bytes_per_s / limits.bytes_per_s
    }

    /// Records the bytes that a request sends.
    pub(crate) fn record(
        &self,
        peers: &PeerTable,
        interconnect_mbps: f64,
        bytes: f64,
    ) {
        let limits = limits(peers, interconnect_mbps);
        let mut quota = self.quota.lock().expect("no holder panics");
        quota.consume(&limits, bytes, now_ms());
        drop(quota);
        self.sent_rate.record(bytes, now_ms());
    }
}

fn limits(peers: &PeerTable, interconnect_mbps: f64) -> InterconnectLimits {
    InterconnectLimits {
        bytes_per_s: interconnect_mbps.max(1.0) * 1e6 / 8.0,
        entries: peers.entry_count(),
        active_entries: peers.interconnect_user_count(now_ms()) + 1,
    }
}
