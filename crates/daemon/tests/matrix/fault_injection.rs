//! Injects faults into a fleet.

use std::{
    thread,
    time::{Duration, Instant},
};

use chestnutreach_fleet::fleet::{entry_name, side_name};
use serde_json::json;

use crate::{
    cell::{Fault, Step, Thaw},
    driver::Driver,
};

/// Length of a freeze after which no other process may consider the frozen
/// process lost.
const SHORT_FREEZE: Duration = Duration::from_millis(200);
/// Length of a freeze after which other processes consider the frozen process
/// lost: the timeout on silence, and the time to open a new connection.
const LONG_FREEZE: Duration = Duration::from_millis(1_500);
/// Longer than the idle period after which a stopping process exits.
const STOP_PAUSE: Duration = Duration::from_millis(600);
/// Longer than [`ORPHAN_LIMIT_MS`](crate::driver::ORPHAN_LIMIT_MS), after
/// which only a request with a key continues and has its response kept.
const ORPHAN_PAUSE: Duration = Duration::from_millis(400);
/// Maximum time until a request without a key is aborted after the exit of its
/// entry; the default limit is 3 s.
const ORPHAN_ABORT_LIMIT: Duration = Duration::from_secs(6);
/// Delay of a slow connection in each direction.
const CONNECTION_DELAY: Duration = Duration::from_millis(50);
/// Delay of a slow table before each call.
const STORE_DELAY_MS: u64 = 150;

impl Driver {
    /// Injects the fault of the cell.
    pub fn inject_fault(&mut self) {
        self.inject(self.cell.fault);
    }

    fn inject(&mut self, fault: Fault) {
        match fault {
            Fault::SideKilled(stage) => {
                let server = self.chain.server(stage).to_owned();
                self.fleet.process(&side_name(&server)).kill();
                self.wait_until_detected(&server);
            }
            Fault::SideRestarted(stage) => {
                let name = side_name(self.chain.server(stage));
                self.fleet.process(&name).kill();
                let started = self.fleet.process(&name).restart();
                started.expect("a side process starts");
            }
            Fault::SideFrozen(stage, thaw) => {
                self.freeze(&side_name(self.chain.server(stage)), thaw);
            }
            Fault::EngineKilled(stage) => {
                let name = self.chain.server(stage).to_owned();
                self.kill_server(&name);
            }
            Fault::EngineFrozen(stage, thaw) => {
                let name = self.chain.server(stage).to_owned();
                self.freeze(&name, thaw);
            }
            Fault::EntryKilled => {
                self.fleet.process(&entry_name(0)).kill();
                self.wait_for_orphan_abort();
            }
            Fault::EntryFrozen(thaw) => self.freeze(&entry_name(0), thaw),
            Fault::Reset(stage) => {
                self.fleet.relay(self.chain.server(stage)).reset();
            }
            Fault::Silent(stage) => {
                self.fleet.relay(self.chain.server(stage)).blackhole();
            }
            Fault::Stalled(stage) => {
                let name = self.chain.server(stage).to_owned();
                self.fleet.relay(&name).stall();
                self.stalled.push(name);
            }
            Fault::Slow(stage) => {
                self.fleet
                    .relay(self.chain.server(stage))
                    .set_delay(CONNECTION_DELAY);
            }
            Fault::StoreDown => {
                let down = json!({"down": "unavailable"});
                self.fleet.set_faults("table", &down);
            }
            Fault::StoreSlow => {
                let slow = json!({"slow_ms": STORE_DELAY_MS});
                self.fleet.set_faults("table", &slow);
            }
            Fault::StoreResponseLost => {
                let lost = json!({"lose_answers": 1});
                self.fleet.set_faults("table", &lost);
            }
            Fault::ListedLeaving(stage) => {
                let name = side_name(self.chain.server(stage));
                self.fleet.set_leaving_vms(&[&name]);
            }
            Fault::SideTerminated(stage) => {
                let server = self.chain.server(stage).to_owned();
                self.terminate(side_name(&server));
                self.wait_until("the side process to drain", |driver| {
                    let status = driver.fleet.side_status(&server);
                    status.is_null() || status["is_leaving"] == true
                });
                thread::sleep(STOP_PAUSE);
            }
            Fault::EntryTerminated => {
                self.terminate(entry_name(0));
                self.wait_until("the entry to drain", |driver| {
                    let status = driver.fleet.entry_status(0);
                    status.is_null() || status["is_leaving"] == true
                });
                thread::sleep(STOP_PAUSE);
            }
            Fault::Both(first, second) => {
                self.inject(*first);
                self.inject(*second);
            }
            Fault::Twice(fault) => self.inject(*fault),
        }
    }

    /// If the request isn't sent yet, waits until the entry detects the exit
    /// of a side process. Before that, the entry could send the request there
    /// and not know whether the request arrived.
    fn wait_until_detected(&mut self, server: &str) {
        let is_before = matches!(
            self.cell.step,
            Step::Accepted | Step::AcceptedSingleChain
        );
        if is_before {
            self.wait_until("the entry to detect the exit", |driver| {
                let present = driver.fleet.routable_servers(0);
                present.is_some_and(|names| !names.contains(server))
            });
        }
    }

    /// Waits until the held request is aborted if the request has no key, or
    /// for the time in which it would be aborted without the key.
    fn wait_for_orphan_abort(&mut self) {
        if self.cell.kind.is_keyed() {
            thread::sleep(ORPHAN_PAUSE);
            return;
        }
        let started = Instant::now();
        self.wait_until_released();
        let waited = started.elapsed();
        assert!(waited < ORPHAN_ABORT_LIMIT, "aborted only after {waited:?}");
    }

    fn freeze(&mut self, name: &str, thaw: Thaw) {
        self.fleet.process(name).freeze();
        match thaw {
            Thaw::Soon => thread::sleep(SHORT_FREEZE),
            Thaw::Late => thread::sleep(LONG_FREEZE),
            Thaw::Afterwards => {
                self.frozen.push(name.to_owned());
                return;
            }
        }
        self.fleet.process(name).thaw();
    }

    /// Kills an engine or a plain service and keeps the records.
    fn kill_server(&mut self, name: &str) {
        if self.cell.kind.is_plain() {
            let record = self.fleet.plain_record(name);
            self.killed_plain_records
                .extend(record.into_iter().map(|r| r.entry));
        } else {
            let record = self.fleet.engine_record(name);
            let label = format!("{name} (killed)");
            self.killed_engine_records
                .entry(label)
                .or_default()
                .extend(record);
        }
        self.fleet.process(name).kill();
    }

    fn terminate(&mut self, name: String) {
        self.fleet.process(&name).terminate();
        self.stopping.push(name);
    }
}
