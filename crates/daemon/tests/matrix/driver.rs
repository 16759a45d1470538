//! Runs a cell: sends the request, restores the fleet after the fault, and
//! checks the result.

use std::{
    collections::BTreeMap,
    sync::{Arc, OnceLock},
    thread::{self, JoinHandle},
    time::{Duration, Instant},
};

use chestnutreach_fleet::{
    Fleet, Plan, Response, fleet::side_name, record::NumberedRun,
};
use chestnutreach_standins::plain::PlainRecord;
use serde_json::json;

use crate::{
    cell::{Cell, Fault, Kind, LAYER_COUNT, Outcome, Stage, Step, outcome_of},
    invariants,
    programs::FleetSlot,
};

/// Maximum time until all resources of a finished request are released: less
/// than the time to the deadline, when they would be released in any case.
const RELEASE_LIMIT: Duration = Duration::from_secs(8);
/// Maximum wait until a step is reached.
const WAIT_LIMIT: Duration = Duration::from_secs(20);
/// Interval at which conditions are polled.
const POLL_INTERVAL: Duration = Duration::from_millis(5);
/// Time within which the data of a stalled connection arrives after the stall.
const TRANSIT_TIME: Duration = Duration::from_millis(200);
/// How long a side process keeps requests without a key after the exit of
/// their entry, in cells with a key.
pub const ORPHAN_LIMIT_MS: &str = "100";
/// Maximum wait for the final response to a repeat, and time between two
/// attempts.
const REPEAT_LIMIT: Duration = Duration::from_secs(20);
const REPEAT_PAUSE: Duration = Duration::from_millis(200);

/// Runs a cell.
pub fn run(cell: Cell) {
    let _slot = FleetSlot::acquire();
    let mut driver = Driver::start(cell);
    let answer = driver.send_with_fault();
    driver.end_faults();
    invariants::check_answer(&driver, &answer);
    if outcome_of(&answer) == Outcome::NotRun {
        driver.wait_until_released();
        invariants::check_nothing_ran(&driver);
    }
    let repeat = driver.repeat();
    driver.wait_until_released();
    invariants::check_records(&driver, &answer);
    if let Some(repeat) = repeat {
        invariants::check_repeat(&driver, &answer, &repeat);
    }
    driver.check_stops();
}

/// Backend servers of the path of a request.
#[derive(Clone, Debug, Default)]
pub struct Chain {
    pub first: String,
    pub last: String,
}

impl Chain {
    pub fn server(&self, stage: Stage) -> &str {
        match stage {
            Stage::First => &self.first,
            Stage::Last => &self.last,
        }
    }
}

/// A call in a thread of its own.
pub struct Call {
    thread: JoinHandle<()>,
    /// The response and when it was received, once there is one.
    end: Arc<OnceLock<(Response, Instant)>>,
}

impl Call {
    fn spawn(send: impl FnOnce() -> Response + Send + 'static) -> Call {
        let end = Arc::new(OnceLock::new());
        let own_end = end.clone();
        let thread = thread::spawn(move || {
            let answer = send();
            own_end.get_or_init(|| (answer, Instant::now()));
        });
        Call { thread, end }
    }

    /// The response, if the call has ended.
    pub fn response(&self) -> Option<&Response> {
        self.end.get().map(|(answer, _)| answer)
    }

    pub fn is_finished(&self) -> bool {
        self.end.get().is_some()
    }

    /// Waits for the response, and when it was received.
    pub fn join(self) -> (Response, Instant) {
        self.thread.join().expect("no caller panics");
        self.end.get().cloned().expect("the call has ended")
    }
}

/// State of a running cell.
pub struct Driver {
    pub cell: Cell,
    pub fleet: Fleet,
    pub chain: Chain,
    /// Records of killed stand-ins.
    pub killed_engine_records: BTreeMap<String, Vec<NumberedRun>>,
    pub killed_plain_records: Vec<PlainRecord>,
    /// Processes that are thawed when the caller has the response.
    pub frozen: Vec<String>,
    /// Relays whose connections resume when the caller has the response.
    pub stalled: Vec<String>,
    /// Processes that got a signal to stop.
    pub stopping: Vec<String>,
    /// Time from the fault to the response.
    pub latency: Duration,
    /// Ids of requests that only occupied a slot.
    pub fillers: Vec<String>,
    pub filler: Option<Call>,
}

impl Driver {
    fn start(cell: Cell) -> Driver {
        let fleet = Fleet::start(plan(&cell)).expect("a fleet starts");
        Driver {
            cell,
            fleet,
            chain: Chain::default(),
            killed_engine_records: BTreeMap::new(),
            killed_plain_records: Vec::new(),
            frozen: Vec::new(),
            stalled: Vec::new(),
            stopping: Vec::new(),
            latency: Duration::ZERO,
            fillers: Vec::new(),
            filler: None,
        }
    }

    pub fn call(&self) -> Call {
        spawn(self.cell.kind, self.fleet.caller(0))
    }

    pub fn join(&mut self, call: Call, fault_time: Instant) -> Response {
        let (answer, at) = call.join();
        self.latency = at.saturating_duration_since(fault_time);
        answer
    }

    /// Returns the names of the backend servers of a stage.
    pub fn servers_of(&self, stage: Stage) -> Vec<String> {
        let plan = plan(&self.cell);
        match stage {
            _ if self.cell.kind.is_plain() => plan.plain_names(),
            Stage::First => plan.stage_names(0),
            Stage::Last => plan.stage_names(1),
        }
    }

    /// Returns the names of the plain servers.
    pub fn plain_names(&self) -> Vec<String> {
        plan(&self.cell).plain_names()
    }

    pub fn hold(&self, names: &[String], hold_point: serde_json::Value) {
        for name in names {
            self.fleet.set_faults(name, &hold_point);
        }
    }

    /// Releases the calls held at the stand-ins that run.
    pub fn release(&mut self, names: &[String]) {
        for name in names {
            let is_frozen = self.frozen.contains(name);
            if !is_frozen && self.fleet.process(name).is_running() {
                self.fleet.set_faults(name, &json!({}));
            }
        }
    }

    pub fn wait_held(&mut self, names: &[String], call: Option<&Call>) {
        self.wait_until(&format!("a call held at {names:?}"), |driver| {
            if let Some(answer) = call.and_then(Call::response) {
                let states = driver.fleet.process_states();
                panic!("the call ended early: {answer:?}; {states}");
            }
            let names: Vec<String> = names.to_vec();
            names.iter().any(|name| driver.is_holding(name))
        });
    }

    pub fn is_holding(&mut self, name: &str) -> bool {
        self.fleet.process(name).is_running()
            && self.fleet.held_calls(name) > 0
    }

    pub fn wait_until(
        &mut self,
        what: &str,
        condition: impl FnMut(&mut Driver) -> bool,
    ) {
        self.wait_within(WAIT_LIMIT, what, condition);
    }

    fn wait_within(
        &mut self,
        limit: Duration,
        what: &str,
        mut condition: impl FnMut(&mut Driver) -> bool,
    ) {
        let started = Instant::now();
        while !condition(self) {
            if started.elapsed() > limit {
                let states = self.fleet.process_states();
                panic!("timed out waiting for {what}; {states}");
            }
            thread::sleep(POLL_INTERVAL);
        }
    }

    /// Finds the chain of the request in flight.
    pub fn find_chain(&mut self) {
        self.find_chain_excluding("");
    }

    /// Finds the chain of the attempt after a fault, without the affected
    /// server: that server may still hold the reservation of the earlier
    /// attempt if the release didn't arrive.
    pub fn find_chain_excluding(&mut self, excluded: &str) {
        self.chain.first = self.find_server(Stage::First, "runs", excluded);
        self.chain.last = match self.cell.kind.is_plain() {
            true => self.chain.first.clone(),
            false => self.find_server(Stage::Last, "seats", excluded),
        };
    }

    pub fn find_server(
        &mut self,
        stage: Stage,
        status_key: &str,
        excluded: &str,
    ) -> String {
        let mut names = self.servers_of(stage);
        names.retain(|name| name != excluded);
        let mut found = None;
        self.wait_until(
            &format!("{status_key} at one of {names:?}"),
            |driver| {
                let mut names = names.iter();
                let server = names.find(|name| {
                    driver.is_up(&side_name(name))
                        && driver.fleet.side_status(name)[status_key] == 1
                });
                found = server.cloned();
                found.is_some()
            },
        );
        found.expect("the wait succeeded")
    }

    pub fn is_up(&mut self, process: &str) -> bool {
        !self.frozen.iter().any(|name| name == process)
            && self.fleet.process(process).is_running()
    }

    /// Ends all faults: thaws processes, resumes connections, and resets the
    /// stand-ins.
    pub fn end_faults(&mut self) {
        self.thaw();
        for name in std::mem::take(&mut self.stalled) {
            self.fleet.relay(&name).resume();
            thread::sleep(TRANSIT_TIME);
        }
        self.fleet.set_faults("table", &json!({}));
        let plan = plan(&self.cell);
        self.release(&[plan.engine_names(), plan.plain_names()].concat());
    }

    pub fn thaw(&mut self) {
        for name in std::mem::take(&mut self.frozen) {
            self.fleet.process(&name).thaw();
        }
    }

    /// Returns the final response to a repeat at the other entry, if the
    /// request may be repeated.
    pub fn repeat(&mut self) -> Option<Response> {
        let kind = self.cell.kind;
        if kind.is_once() && !kind.is_keyed() {
            return None;
        }
        let started = Instant::now();
        loop {
            let answer = kind.send(&self.fleet.caller(1));
            let may_retry = outcome_of(&answer) == Outcome::NotRun
                && answer.headers.contains_key("retry-after");
            if !may_retry || started.elapsed() > REPEAT_LIMIT {
                return Some(answer);
            }
            thread::sleep(REPEAT_PAUSE);
        }
    }

    /// Waits until no side process has runs or reservations.
    pub fn wait_until_released(&mut self) {
        let plan = plan(&self.cell);
        let names = [plan.engine_names(), plan.plain_names()].concat();
        self.wait_within(
            RELEASE_LIMIT,
            "all runs and reservations to end",
            |driver| {
                names.iter().all(|name| {
                    if !driver.is_up(&side_name(name)) {
                        return true;
                    }
                    let status = driver.fleet.side_status(name);
                    status.is_null()
                        || (status["runs"] == 0 && status["seats"] == 0)
                })
            },
        );
    }

    /// Waits until the stopping processes exit, and fails if one aborted
    /// requests.
    pub fn check_stops(&mut self) {
        for name in std::mem::take(&mut self.stopping) {
            let status = self.fleet.process(&name).wait(WAIT_LIMIT);
            let status = status.expect("a planned stop ends");
            assert_eq!(status.code(), Some(0), "{name} aborted its requests");
        }
    }
}

pub fn spawn(kind: Kind, caller: chestnutreach_fleet::Caller) -> Call {
    Call::spawn(move || kind.send(&caller))
}

/// Shortens the heartbeat interval: an entry learns from the next heartbeat
/// that a VM is no longer listed as leaving.
fn with_short_heartbeat(plan: Plan) -> Plan {
    plan.setting("links", "idle-interval-ms", "250")
}

/// Returns the plan of the fleet of a cell.
pub fn plan(cell: &Cell) -> Plan {
    let count = match cell.fault {
        Fault::Both(..) | Fault::Twice(_) => 3,
        _ => 2,
    };
    let mut plan = Plan::new()
        .stages(&[0, LAYER_COUNT / 2, LAYER_COUNT], count)
        .plain_servers(if cell.kind.is_plain() { count } else { 0 })
        .relays()
        .setting("platform", "vm-list-poll-ms", "100")
        .setting("side", "step-timeout-ms", "15000");
    if cell.kind.is_keyed() {
        plan = plan.setting("side", "orphan-limit-ms", ORPHAN_LIMIT_MS);
    }
    if cell.kind.is_plain() {
        plan = plan.stages(&[0, LAYER_COUNT], 1);
    }
    match cell.step {
        Step::Queued => with_short_heartbeat(plan.max_running(1)),
        Step::Accepted => with_short_heartbeat(plan),
        Step::Claimed => {
            plan.setting("platform", "request-timeout-ms", "2000")
        }
        _ => plan,
    }
}
