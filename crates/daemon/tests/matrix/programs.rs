//! The programs that fleets are made of, and how many fleets run at once.

use std::{
    env,
    process::Command,
    sync::{Condvar, Mutex, Once},
};

/// Fleets at once: each is about fifteen processes.
const MAX_FLEETS: usize = 4;

static RUNNING: Mutex<usize> = Mutex::new(0);
static ENDED: Condvar = Condvar::new();

/// The right to run a fleet, given back when dropped.
pub struct Permit(());

impl Permit {
    /// Waits until a fleet may run.
    pub fn take() -> Permit {
        build_standins();
        let running = RUNNING.lock().expect("no holder panics");
        let mut running = ENDED
            .wait_while(running, |count| *count >= MAX_FLEETS)
            .expect("no holder panics");
        *running += 1;
        Permit(())
    }
}

impl Drop for Permit {
    fn drop(&mut self) {
        *RUNNING.lock().expect("no holder panics") -= 1;
        ENDED.notify_one();
    }
}

/// Builds the stand-ins as the test was built: cargo builds only the programs
/// of the package under test by itself.
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
