//! Brings a request to its step, strikes, and lets it go on.

use std::{
    collections::BTreeMap,
    thread::{self, JoinHandle},
    time::{Duration, Instant},
};

use chestnutreach_fleet::{
    Fleet, Plan, Response, fleet::side_name, record::NumberedRun,
};
use chestnutreach_standins::plain::PlainRecord;
use serde_json::json;

use crate::{
    cell::{At, Cell, Fault, Kind, LAYER_COUNT, Step, Told, told},
    invariants,
    programs::Permit,
};

/// Longest time until nothing is held for a request that is over: less than
/// what is left to its deadline, when all would be given up anyway.
const REST_LIMIT: Duration = Duration::from_secs(8);
/// Longest wait for a step to be reached.
const WAIT_LIMIT: Duration = Duration::from_secs(20);
/// Time between two looks.
const LOOK: Duration = Duration::from_millis(5);
/// Time in which what was held up has arrived, by far.
const ARRIVAL: Duration = Duration::from_millis(200);
/// How long a side process keeps requests without a key whose entry has gone,
/// in cells with a key.
pub const ORPHAN_LIMIT_MS: &str = "100";
/// Longest wait for a repeat's final answer, and time between two tries.
const REPEAT_LIMIT: Duration = Duration::from_secs(20);
const REPEAT_PAUSE: Duration = Duration::from_millis(200);

/// Runs a cell.
pub fn run(cell: Cell) {
    let _permit = Permit::take();
    let mut driver = Driver::start(cell);
    let answer = driver.answer();
    driver.heal();
    invariants::check_answer(&driver, &answer);
    if told(&answer) == Told::NotRun {
        driver.rest();
        invariants::check_nothing_ran(&driver);
    }
    let repeat = driver.repeat();
    driver.rest();
    invariants::check_records(&driver, &answer);
    if let Some(repeat) = repeat {
        invariants::check_repeat(&driver, &answer, &repeat);
    }
    driver.check_stops();
}

/// Backend servers that a request crosses.
#[derive(Clone, Debug, Default)]
pub struct Chain {
    pub first: String,
    pub last: String,
}

impl Chain {
    pub fn server(&self, at: At) -> &str {
        match at {
            At::First => &self.first,
            At::Last => &self.last,
        }
    }
}

pub type Call = JoinHandle<(Response, Instant)>;

/// A cell under way.
pub struct Driver {
    pub cell: Cell,
    pub fleet: Fleet,
    pub chain: Chain,
    /// Records of stand-ins that were killed.
    pub lost_records: BTreeMap<String, Vec<NumberedRun>>,
    pub lost_plain: Vec<PlainRecord>,
    /// Processes that go on when the caller has its answer.
    pub frozen: Vec<String>,
    /// Relays that pass on what they hold up when the caller has its answer.
    pub stalled: Vec<String>,
    /// Processes that were told to stop.
    pub stopping: Vec<String>,
    /// Time from the fault to the answer.
    pub waited: Duration,
    /// Requests that only took a place.
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
            lost_records: BTreeMap::new(),
            lost_plain: Vec::new(),
            frozen: Vec::new(),
            stalled: Vec::new(),
            stopping: Vec::new(),
            waited: Duration::ZERO,
            fillers: Vec::new(),
            filler: None,
        }
    }

    pub fn call(&self) -> Call {
        spawn(self.cell.kind, self.fleet.caller(0))
    }

    pub fn join(&mut self, call: Call, struck: Instant) -> Response {
        let (answer, at) = call.join().expect("no caller panics");
        self.waited = at.saturating_duration_since(struck);
        answer
    }

    /// Names of the backend servers that may be struck.
    pub fn stage(&self, at: At) -> Vec<String> {
        let plan = plan(&self.cell);
        match at {
            _ if self.cell.kind.is_plain() => plan.plain_names(),
            At::First => plan.stage_names(0),
            At::Last => plan.stage_names(1),
        }
    }

    /// Names of the plain servers.
    pub fn plain_names(&self) -> Vec<String> {
        plan(&self.cell).plain_names()
    }

    pub fn hold(&self, names: &[String], gate: serde_json::Value) {
        for name in names {
            self.fleet.set_faults(name, &gate);
        }
    }

    /// Lets the calls at stand-ins go on that answer.
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
            if call.is_some_and(JoinHandle::is_finished) {
                panic!("the call ended before its step was reached");
            }
            let running: Vec<String> = names.to_vec();
            running.iter().any(|name| driver.is_holding(name))
        });
    }

    pub fn is_holding(&mut self, name: &str) -> bool {
        self.fleet.process(name).is_running()
            && self.fleet.held_calls(name) > 0
    }

    pub fn wait_until(
        &mut self,
        what: &str,
        is_true: impl FnMut(&mut Driver) -> bool,
    ) {
        self.wait_within(WAIT_LIMIT, what, is_true);
    }

    fn wait_within(
        &mut self,
        limit: Duration,
        what: &str,
        mut is_true: impl FnMut(&mut Driver) -> bool,
    ) {
        let started = Instant::now();
        while !is_true(self) {
            if started.elapsed() > limit {
                let states = self.fleet.process_states();
                panic!("waited in vain for {what}; {states}");
            }
            thread::sleep(LOOK);
        }
    }

    /// Finds the chain of the request in flight.
    pub fn find_chain(&mut self) {
        self.find_chain_without("");
    }

    /// The same for the attempt after one that a server was struck in: that
    /// server may still hold its seat, where no release could reach it.
    pub fn find_chain_without(&mut self, struck: &str) {
        self.chain.first = self.holder(At::First, "runs", struck);
        self.chain.last = match self.cell.kind.is_plain() {
            true => self.chain.first.clone(),
            false => self.holder(At::Last, "seats", struck),
        };
    }

    pub fn holder(&mut self, at: At, what: &str, struck: &str) -> String {
        let mut names = self.stage(at);
        names.retain(|name| name != struck);
        let mut found = None;
        self.wait_until(&format!("{what} at one of {names:?}"), |driver| {
            let mut names = names.iter();
            let holder = names.find(|name| {
                driver.is_up(&side_name(name))
                    && driver.fleet.side_status(name)[what] == 1
            });
            found = holder.cloned();
            found.is_some()
        });
        found.expect("was waited for")
    }

    pub fn is_up(&mut self, process: &str) -> bool {
        !self.frozen.iter().any(|name| name == process)
            && self.fleet.process(process).is_running()
    }

    /// Has all go on that stands still, and mends what is broken for good.
    pub fn heal(&mut self) {
        self.thaw();
        for name in std::mem::take(&mut self.stalled) {
            self.fleet.relay(&name).resume();
            thread::sleep(ARRIVAL);
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

    /// The final answer to a repeat at the other entry, for requests that
    /// may be repeated.
    pub fn repeat(&mut self) -> Option<Response> {
        let kind = self.cell.kind;
        if kind.is_once() && !kind.is_keyed() {
            return None;
        }
        let started = Instant::now();
        loop {
            let answer = kind.send(&self.fleet.caller(1));
            let may_come = told(&answer) == Told::NotRun
                && answer.headers.contains_key("retry-after");
            if !may_come || started.elapsed() > REPEAT_LIMIT {
                return Some(answer);
            }
            thread::sleep(REPEAT_PAUSE);
        }
    }

    /// Waits until no process holds any work.
    pub fn rest(&mut self) {
        let plan = plan(&self.cell);
        let names = [plan.engine_names(), plan.plain_names()].concat();
        self.wait_within(REST_LIMIT, "the fleet to be at rest", |driver| {
            names.iter().all(|name| {
                if !driver.is_up(&side_name(name)) {
                    return true;
                }
                let status = driver.fleet.side_status(name);
                status.is_null()
                    || (status["runs"] == 0 && status["seats"] == 0)
            })
        });
    }

    /// Waits for the end of processes that were told to stop.
    pub fn check_stops(&mut self) {
        for name in std::mem::take(&mut self.stopping) {
            let status = self.fleet.process(&name).wait(WAIT_LIMIT);
            let status = status.expect("a planned stop ends");
            assert_eq!(status.code(), Some(0), "{name} cut its requests");
        }
    }
}

pub fn spawn(kind: Kind, caller: chestnutreach_fleet::Caller) -> Call {
    thread::spawn(move || {
        let answer = kind.send(&caller);
        (answer, Instant::now())
    })
}

/// An entry hears that a VM stays after all with the next heartbeat.
fn quickly_steered(plan: Plan) -> Plan {
    plan.setting("links", "idle-interval-ms", "250")
}

/// The cell's fleet.
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
        Step::Queued => quickly_steered(plan.max_running(1)),
        Step::Accepted => quickly_steered(plan),
        Step::Claimed => {
            plan.setting("platform", "request-timeout-ms", "2000")
        }
        _ => plan,
    }
}
