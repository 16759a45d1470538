//! What the requests of this entry send between data centres.

use std::sync::Mutex;

use chestnutreach_routing::{InterconnectLimits, InterconnectQuota};

use crate::{clock::now_ms, cluster::peer_table::PeerTable, rate::Rate};

/// What was sent of late, and what is left of this entry's part.
#[derive(Debug, Default)]
pub(crate) struct InterconnectTraffic {
    sent: Rate,
    part: Mutex<InterconnectQuota>,
}

impl InterconnectTraffic {
    /// Bytes a second that this entry sends.
    pub(crate) fn own_bytes_per_s(&self) -> f64 {
        self.sent.per_s(now_ms())
    }

    /// Use of what joins data centres, as far as entries have told; 1 is
    /// full. It is full for this entry where its own part is used up.
    pub(crate) fn share(&self, peers: &PeerTable, pipe_mbps: f64) -> f64 {
        let bounds = bounds(peers, pipe_mbps);
        let mut part = self.part.lock().expect("no holder panics");
        if !part.has_remaining(&bounds, now_ms()) {
            return 1.0;
        }
        drop(part);
        let all = self.own_bytes_per_s() + peers.crossing_bytes_per_s();
        all / bounds.bytes_per_s
    }

    /// Counts what a request sends.
    pub(crate) fn note(&self, peers: &PeerTable, pipe_mbps: f64, bytes: f64) {
        let bounds = bounds(peers, pipe_mbps);
        let mut part = self.part.lock().expect("no holder panics");
        part.consume(&bounds, bytes, now_ms());
        drop(part);
        self.sent.record(bytes, now_ms());
    }
}

fn bounds(peers: &PeerTable, pipe_mbps: f64) -> InterconnectLimits {
    InterconnectLimits {
        bytes_per_s: pipe_mbps.max(1.0) * 1e6 / 8.0,
        entries: peers.entry_count(),
        active_entries: peers.interconnect_user_count(now_ms()) + 1,
    }
}
