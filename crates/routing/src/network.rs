//! Latency and bandwidth between data centres.
//!
//! The paths are stored as a dense matrix by data centre index. A path that is
//! not configured counts as a local link, so that a fleet in one building
//! needs no settings.

const LOCAL_LATENCY_US: u64 = 200;
const LOCAL_BANDWIDTH_MBIT_PER_S: u64 = 10_000;
const US_PER_MS: f64 = 1_000.0;
const BITS_PER_BYTE: f64 = 8.0;
/// Bits per millisecond at a bandwidth of one Mbit/s.
const BITS_PER_MS_OF_MBIT: f64 = 1_000.0;

/// Network paths between data centres.
#[derive(Clone, Debug)]
pub struct Network {
    data_centre_count: u32,
    paths: Vec<Path>,
}

/// One direction of a path, in the units of the cost function.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Path {
    pub(crate) latency_ms: f64,
    ms_per_byte: f64,
}

impl Path {
    fn new(latency_us: u64, bandwidth_mbit_per_s: u64) -> Path {
        let mbit_per_s = bandwidth_mbit_per_s.max(1) as f64;
        Path {
            latency_ms: latency_us as f64 / US_PER_MS,
            ms_per_byte: BITS_PER_BYTE / (mbit_per_s * BITS_PER_MS_OF_MBIT),
        }
    }

    /// Time to transfer `bytes`, including the latency.
    pub(crate) fn transfer_ms(&self, bytes: f64) -> f64 {
        self.latency_ms + bytes * self.ms_per_byte
    }
}

impl Network {
    /// A network of local links between `data_centre_count` data centres.
    pub fn new(data_centre_count: u32) -> Network {
        let count = data_centre_count as usize;
        let path = Path::new(LOCAL_LATENCY_US, LOCAL_BANDWIDTH_MBIT_PER_S);
        Network { data_centre_count, paths: vec![path; count * count] }
    }

    /// Number of data centres.
    pub fn data_centre_count(&self) -> u32 {
        self.data_centre_count
    }

    /// Sets the path between two data centres, in both directions.
    ///
    /// # Panics
    ///
    /// Panics if an index is not below [`Network::data_centre_count`].
    pub fn set_path(
        &mut self,
        a: u32,
        b: u32,
        latency_us: u64,
        bandwidth_mbit_per_s: u64,
    ) {
        let path = Path::new(latency_us, bandwidth_mbit_per_s);
        for (from, to) in [(a, b), (b, a)] {
            let slot = self.slot(from, to).unwrap_or_else(|| {
                panic!(
                    "data centre {} is outside 0..{}",
                    a.max(b),
                    self.data_centre_count
                )
            });
            self.paths[slot] = path;
        }
    }

    /// The path from one data centre to another, or a local link if an index
    /// is out of range.
    pub(crate) fn path(&self, from: u32, to: u32) -> Path {
        match self.slot(from, to) {
            Some(slot) => self.paths[slot],
            None => Path::new(LOCAL_LATENCY_US, LOCAL_BANDWIDTH_MBIT_PER_S),
        }
    }

    fn slot(&self, from: u32, to: u32) -> Option<usize> {
        let count = self.data_centre_count;
        if from >= count || to >= count {
            return None;
        }
        Some(from as usize * count as usize + to as usize)
    }
}
