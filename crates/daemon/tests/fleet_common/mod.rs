//! Helpers of the tests that run fleets of processes.

// Each test program uses only some of these helpers.
#![allow(dead_code)]

pub mod load;
pub mod watch;

use std::sync::{Condvar, Mutex};

use chestnutreach_fleet::{Fleet, Plan};
use serde_json::Value;

/// Fleets of one test program that run at the same time.
const MAX_FLEETS: usize = 2;

static RUNNING: Mutex<usize> = Mutex::new(0);
static SLOT_FREED: Condvar = Condvar::new();

/// The right to run one fleet, returned on drop.
struct FleetSlot;

impl FleetSlot {
    fn acquire() -> FleetSlot {
        let running = RUNNING.lock().expect("no holder panics");
        let mut running = SLOT_FREED
            .wait_while(running, |running| *running >= MAX_FLEETS)
            .expect("no holder panics");
        *running += 1;
        FleetSlot
    }
}

impl Drop for FleetSlot {
    fn drop(&mut self) {
        *RUNNING.lock().expect("no holder panics") -= 1;
        SLOT_FREED.notify_one();
    }
}

/// Runs a test on a fleet and prints the states of its processes on failure.
pub fn with_fleet(plan: Plan, test: impl FnOnce(&mut Fleet)) {
    let _slot = FleetSlot::acquire();
    let mut fleet = Fleet::start(plan).expect("the fleet starts");
    let guard = PrintStatesOnPanic(&mut fleet);
    test(guard.0);
}

struct PrintStatesOnPanic<'a>(&'a mut Fleet);

impl Drop for PrintStatesOnPanic<'_> {
    fn drop(&mut self) {
        if std::thread::panicking() {
            eprintln!("{}", self.0.process_states());
        }
    }
}

/// Returns the state of a backend server of the model in an entry's status.
pub fn server_status(fleet: &Fleet, entry: usize, server: &str) -> Value {
    fleet.entry_status(entry)["services"]["desk-llm"][server].clone()
}
