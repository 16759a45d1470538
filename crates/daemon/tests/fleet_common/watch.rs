//! Watching that no daemon goes back to an older generation.

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

/// Watches the generations that all daemons show.
pub struct Watch {
    is_over: Arc<AtomicBool>,
    watching: JoinHandle<Seen>,
}

/// What a watch has seen.
#[derive(Debug, Default)]
pub struct Seen {
    /// Looks at one daemon.
    pub looks: usize,
    /// Steps back: a daemon, what it showed before, and what then.
    pub steps_back: Vec<(String, u64, u64)>,
}

impl Watch {
    /// Watches from now on. A daemon that shows no generation, because it
    /// does not run or has none yet, is left out of that look.
    pub fn start(fleet: &Fleet) -> Watch {
        let is_over = Arc::new(AtomicBool::new(false));
        let daemons = fleet.ops_addresses();
        let until = is_over.clone();
        let watching = thread::spawn(move || {
            let mut highest: BTreeMap<String, u64> = BTreeMap::new();
            let mut seen = Seen::default();
            while !until.load(Ordering::Acquire) {
                for (name, address) in &daemons {
                    let generation = shown_generation(*address);
                    let old = highest.entry(name.clone()).or_insert(0);
                    seen.looks += 1;
                    if (1..*old).contains(&generation) {
                        let step = (name.clone(), *old, generation);
                        seen.steps_back.push(step);
                    }
                    *old = generation.max(*old);
                }
                thread::sleep(Duration::from_millis(5));
            }
            seen
        });
        Watch { is_over, watching }
    }

    /// Ends the watch: nothing has stepped back.
    pub fn assert_no_step_back(self) {
        self.is_over.store(true, Ordering::Release);
        let seen = self.watching.join().expect("the watch does not panic");
        assert!(seen.looks > 0);
        assert!(seen.steps_back.is_empty(), "{seen:?}");
    }
}

fn shown_generation(ops: SocketAddr) -> u64 {
    let status = Caller::new(ops, "").call("GET", "/status", "").json();
    status["generation"].as_u64().unwrap_or(0)
}
