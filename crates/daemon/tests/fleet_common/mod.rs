//! What the tests over fleets of processes share.

// Each test program uses a part of it.
#![allow(dead_code)]

pub mod load;
pub mod watch;

use std::sync::{Condvar, Mutex};

use chestnutreach_fleet::{Fleet, Plan};
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
            eprintln!("{}", self.0.process_states());
        }
    }
}

/// What an entry shows of a backend server of the model.
pub fn server_of(fleet: &Fleet, entry: usize, server: &str) -> Value {
    fleet.entry_status(entry)["services"]["desk-llm"][server].clone()
}
