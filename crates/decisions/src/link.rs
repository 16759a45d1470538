//! Latency and bandwidth between data centres.
//!
//! Concurrent transfers do not share bandwidth.

use chestnutreach_config::manifest::NetworkPath;

const LOCAL_LATENCY_US: u64 = 200;
const LOCAL_BANDWIDTH_MBIT_PER_S: u64 = 10_000;
const BITS_PER_BYTE: u64 = 8;
/// Size of the activations of one token between stages.
const ACTIVATION_BYTES: u64 = 16_384;

/// Network paths between data centres.
#[derive(Clone, Debug)]
pub(crate) struct Links {
    count: usize,
    paths: Vec<NetworkPath>,
}

impl Links {
    pub(crate) fn new(
        count: usize,
        paths: &[(u32, u32, NetworkPath)],
    ) -> Links {
        let local = NetworkPath {
            latency_us: LOCAL_LATENCY_US,
            bandwidth_mbit_per_s: LOCAL_BANDWIDTH_MBIT_PER_S,
        };
        let mut all = vec![local; count * count];
        for &(a, b, path) in paths {
            let (a, b) = (a as usize, b as usize);
            all[a * count + b] = path;
            all[b * count + a] = path;
        }
        Links { count, paths: all }
    }

    pub(crate) fn data_centre_count(&self) -> usize {
        self.count
    }

    /// One-way latency.
    pub(crate) fn latency_us(&self, from: u32, to: u32) -> u64 {
        self.path(from, to).latency_us
    }

    /// Time until the activations of `tokens` tokens have arrived.
    pub(crate) fn transfer_us(&self, from: u32, to: u32, tokens: u32) -> u64 {
        let path = self.path(from, to);
        let bits = u64::from(tokens) * ACTIVATION_BYTES * BITS_PER_BYTE;
        // 1 Mbit/s is one bit per microsecond.
        path.latency_us + bits / path.bandwidth_mbit_per_s
    }

    fn path(&self, from: u32, to: u32) -> &NetworkPath {
        &self.paths[from as usize * self.count + to as usize]
    }
}
