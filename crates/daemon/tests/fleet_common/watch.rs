//! Checks that no daemon returns to an older manifest generation.

use std::{
    collections::BTreeMap,
    net::SocketAddr,
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    thread::{self, JoinHandle},
    time::Duration,
};

use chestnutreach_fleet::{Caller, Fleet};

/// Polls the manifest generation of all daemons in a thread.
pub struct GenerationWatch {
    is_stopped: Arc<AtomicBool>,
    thread: JoinHandle<Observations>,
}

/// Observations of a watch.
#[derive(Debug, Default)]
pub struct Observations {
    /// Number of times that a daemon was polled.
    pub poll_count: usize,
    /// Daemon, its highest generation before, and the lower generation.
    pub decreases: Vec<(String, u64, u64)>,
}

impl GenerationWatch {
    /// Starts the watch. A daemon without a generation, because the daemon
    /// isn't running or has no manifest yet, is skipped.
    pub fn start(fleet: &Fleet) -> GenerationWatch {
        let is_stopped = Arc::new(AtomicBool::new(false));
        let daemons = fleet.ops_addresses();
        let until = is_stopped.clone();
        let thread = thread::spawn(move || {
            let mut highest: BTreeMap<String, u64> = BTreeMap::new();
            let mut observations = Observations::default();
            while !until.load(Ordering::Acquire) {
                for (name, address) in &daemons {
                    let generation = current_generation(*address);
                    let old = highest.entry(name.clone()).or_insert(0);
                    observations.poll_count += 1;
                    if (1..*old).contains(&generation) {
                        let decrease = (name.clone(), *old, generation);
                        observations.decreases.push(decrease);
                    }
                    *old = generation.max(*old);
                }
                thread::sleep(Duration::from_millis(5));
            }
            observations
        });
        GenerationWatch { is_stopped, thread }
    }

    /// Stops the watch and fails if a generation decreased.
    pub fn assert_no_decrease(self) {
        self.is_stopped.store(true, Ordering::Release);
        let observations =
            self.thread.join().expect("the watch does not panic");
        assert!(observations.poll_count > 0);
        assert!(observations.decreases.is_empty(), "{observations:?}");
    }
}

fn current_generation(ops: SocketAddr) -> u64 {
    let status = Caller::new(ops, "").call("GET", "/status", "").json();
    status["generation"].as_u64().unwrap_or(0)
}
