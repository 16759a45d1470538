//! What the tests over fleets of processes share.

use std::{
    collections::BTreeMap,
    net::SocketAddr,
    sync::{
        Arc, Condvar, Mutex,
        atomic::{AtomicBool, Ordering},
    },
    thread::{self, JoinHandle},
    time::Duration,
};

use chestnutreach_fleet::{Caller, Fleet, Plan};
use serde_json::Value;

/// Fleets that may run at the same time.
const FLEETS: usize = 2;

static RUNNING: Mutex<usize> = Mutex::new(0);
static ENDED: Condvar = Condvar::new();

/// Leave to run a fleet, until it is dropped.
struct Turn;

impl Turn {
    fn wait() -> Turn {
        let running = RUNNING.lock().expect("no holder panics");
        let mut running = ENDED
            .wait_while(running, |running| *running >= FLEETS)
            .expect("no holder panics");
        *running += 1;
        Turn
    }
}

impl Drop for Turn {
    fn drop(&mut self) {
        *RUNNING.lock().expect("no holder panics") -= 1;
        ENDED.notify_one();
    }
}

/// Runs a test on a fleet; a failed one tells the state of its processes.
pub fn with_fleet(plan: Plan, test: impl FnOnce(&mut Fleet)) {
    let _turn = Turn::wait();
    let mut fleet = Fleet::start(plan).expect("the fleet starts");
    let states = StatesOnPanic(&mut fleet);
    test(states.0);
}

struct StatesOnPanic<'a>(&'a mut Fleet);

impl Drop for StatesOnPanic<'_> {
    fn drop(&mut self) {
        if std::thread::panicking() {
            eprintln!("{}", self.0.states());
        }
    }
}

/// What an entry shows of a backend server of the model.
#[allow(dead_code)]
pub fn server_of(fleet: &Fleet, entry: usize, server: &str) -> Value {
    fleet.entry_status(entry)["services"]["desk-llm"][server].clone()
}

/// Watches the generations that all daemons show.
#[allow(dead_code)]
pub struct Watch {
    is_over: Arc<AtomicBool>,
    watching: JoinHandle<Seen>,
}

/// What a watch has seen.
#[allow(dead_code)]
#[derive(Debug, Default)]
pub struct Seen {
    /// Looks at one daemon.
    pub looks: usize,
    /// Steps back: a daemon, what it showed before, and what then.
    pub steps_back: Vec<(String, u64, u64)>,
}

#[allow(dead_code)]
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

#[allow(dead_code)]
fn shown_generation(ops: SocketAddr) -> u64 {
    let status = Caller::new(ops, "").call("GET", "/status", "").json();
    status["generation"].as_u64().unwrap_or(0)
}
