//! Striking with a fault.

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

/// How long something stands still that nobody may count as lost.
const SHORT_STANDSTILL: Duration = Duration::from_millis(200);
/// How long something stands still that others count as lost by then: the
/// limit on silence, and the time to open a new connection.
const LONG_STANDSTILL: Duration = Duration::from_millis(1_500);
/// Longer than a process that stops waits for what was on its way to it.
const STOP_PAUSE: Duration = Duration::from_millis(600);
/// Longer than [`ORPHAN_LIMIT_MS`](crate::driver::ORPHAN_LIMIT_MS), after which only a request with a key
/// runs on and has its answer kept.
const ORPHAN_PAUSE: Duration = Duration::from_millis(400);
/// Longest time until a request without a key is given up; the shipped limit
/// is 3 s.
const ORPHANED: Duration = Duration::from_secs(6);
/// Delay of a slow connection, each way.
const SLOW: Duration = Duration::from_millis(50);
/// Pause of a slow table before each call.
const STORE_SLOW_MS: u64 = 150;

impl Driver {
    /// Strikes with the cell's fault.
    pub fn strike(&mut self) {
        self.strike_with(self.cell.fault);
    }

    fn strike_with(&mut self, fault: Fault) {
        match fault {
            Fault::SideKilled(at) => {
                let server = self.chain.server(at).to_owned();
                self.fleet.process(&side_name(&server)).kill();
                self.wait_until_noticed(&server);
            }
            Fault::SideRestarted(at) => {
                let name = side_name(self.chain.server(at));
                self.fleet.process(&name).kill();
                let started = self.fleet.process(&name).restart();
                started.expect("a side process starts");
            }
            Fault::SideFrozen(at, thaw) => {
                self.freeze(&side_name(self.chain.server(at)), thaw);
            }
            Fault::EngineKilled(at) => {
                let name = self.chain.server(at).to_owned();
                self.kill_server(&name);
            }
            Fault::EngineFrozen(at, thaw) => {
                let name = self.chain.server(at).to_owned();
                self.freeze(&name, thaw);
            }
            Fault::EntryKilled => {
                self.fleet.process(&entry_name(0)).kill();
                self.wait_for_orphan();
            }
            Fault::EntryFrozen(thaw) => self.freeze(&entry_name(0), thaw),
            Fault::Reset(at) => {
                self.fleet.relay(self.chain.server(at)).reset();
            }
            Fault::Silent(at) => {
                self.fleet.relay(self.chain.server(at)).blackhole();
            }
            Fault::Stalled(at) => {
                let name = self.chain.server(at).to_owned();
                self.fleet.relay(&name).stall();
                self.stalled.push(name);
            }
            Fault::Slow(at) => {
                self.fleet.relay(self.chain.server(at)).set_delay(SLOW);
            }
            Fault::StoreDown => {
                let down = json!({"down": "unavailable"});
                self.fleet.set_faults("table", &down);
            }
            Fault::StoreSlow => {
                let slow = json!({"slow_ms": STORE_SLOW_MS});
                self.fleet.set_faults("table", &slow);
            }
            Fault::StoreAnswerLost => {
                let lost = json!({"lose_answers": 1});
                self.fleet.set_faults("table", &lost);
            }
            Fault::ListedLeaving(at) => {
                let name = side_name(self.chain.server(at));
                self.fleet.set_leaving_vms(&[&name]);
            }
            Fault::SideTerminated(at) => {
                let server = self.chain.server(at).to_owned();
                self.terminate(side_name(&server));
                self.wait_until("the side process to leave", |driver| {
                    let status = driver.fleet.side_status(&server);
                    status.is_null() || status["is_leaving"] == true
                });
                thread::sleep(STOP_PAUSE);
            }
            Fault::EntryTerminated => {
                self.terminate(entry_name(0));
                self.wait_until("the entry to leave", |driver| {
                    let status = driver.fleet.entry_status(0);
                    status.is_null() || status["is_leaving"] == true
                });
                thread::sleep(STOP_PAUSE);
            }
            Fault::Both(first, second) => {
                self.strike_with(*first);
                self.strike_with(*second);
            }
            Fault::Twice(fault) => self.strike_with(*fault),
        }
    }

    /// Before a request is sent, waits until its entry knows that a side
    /// process has gone: what it sent there meanwhile might have arrived.
    fn wait_until_noticed(&mut self, server: &str) {
        let is_before =
            matches!(self.cell.step, Step::Accepted | Step::AcceptedAlone);
        if is_before {
            self.wait_until("the entry to notice", |driver| {
                let present = driver.fleet.routable_servers(0);
                present.is_some_and(|names| !names.contains(server))
            });
        }
    }

    /// Waits until a request without a key has been given up, while it is
    /// still held, or long enough for one with a key to have been.
    fn wait_for_orphan(&mut self) {
        if self.cell.kind.is_keyed() {
            thread::sleep(ORPHAN_PAUSE);
            return;
        }
        let started = Instant::now();
        self.rest();
        let waited = started.elapsed();
        assert!(waited < ORPHANED, "given up only after {waited:?}");
    }

    fn freeze(&mut self, name: &str, thaw: Thaw) {
        self.fleet.process(name).freeze();
        match thaw {
            Thaw::Soon => thread::sleep(SHORT_STANDSTILL),
            Thaw::Late => thread::sleep(LONG_STANDSTILL),
            Thaw::Afterwards => {
                self.frozen.push(name.to_owned());
                return;
            }
        }
        self.fleet.process(name).thaw();
    }

    /// Kills an engine or a plain service; what it has recorded is kept.
    fn kill_server(&mut self, name: &str) {
        if self.cell.kind.is_plain() {
            let record = self.fleet.plain_record(name);
            self.lost_plain.extend(record.into_iter().map(|r| r.entry));
        } else {
            let record = self.fleet.engine_record(name);
            let label = format!("{name} (killed)");
            self.lost_records.entry(label).or_default().extend(record);
        }
        self.fleet.process(name).kill();
    }

    fn terminate(&mut self, name: String) {
        self.fleet.process(&name).terminate();
        self.stopping.push(name);
    }
}
