//! Builds the programs of a fleet and limits the number of concurrent fleets.

use std::{
    env,
    process::Command,
    sync::{Condvar, Mutex, Once},
};

/// Concurrent fleets; each has about fifteen processes.
const MAX_FLEETS: usize = 4;

static RUNNING: Mutex<usize> = Mutex::new(0);
static SLOT_FREED: Condvar = Condvar::new();

/// The right to run one fleet, returned on drop.
pub struct FleetSlot(());

impl FleetSlot {
    /// Waits until a fleet may run.
    pub fn acquire() -> FleetSlot {
        build_standins();
        let running = RUNNING.lock().expect("no holder panics");
        let mut running = SLOT_FREED
            .wait_while(running, |count| *count >= MAX_FLEETS)
            .expect("no holder panics");
        *running += 1;
        FleetSlot(())
    }
}

impl Drop for FleetSlot {
    fn drop(&mut self) {
        *RUNNING.lock().expect("no holder panics") -= 1;
        SLOT_FREED.notify_one();
    }
}

/// Builds the stand-ins in the profile of the test, because cargo builds only
/// the programs of the package under test.
fn build_standins() {
    static BUILD: Once = Once::new();
    BUILD.call_once(|| {
        let Some(cargo) = env::var_os("CARGO") else {
            return;
        };
        let mut build = Command::new(cargo);
        build.args(["build", "--quiet", "--locked"]);
        build.args(["--package", "chestnutreach-standins"]);
        if !cfg!(debug_assertions) {
            build.arg("--release");
        }
        let status = build.status().expect("cargo starts");
        assert!(status.success(), "the stand-ins cannot be built");
    });
}
