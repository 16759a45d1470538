//! Brings a request to its step, strikes, and lets it go on.

use std::{
    collections::BTreeMap,
    thread::{self, JoinHandle},
    time::{Duration, Instant},
};

use chestnutreach_fleet::{
    Answer, Fleet, Plan, fleet::side_name, record::Ran,
};
use chestnutreach_standins::plain::PlainRecord;
use serde_json::json;

use crate::{
    cell::{
        At, Cell, Fault, Kind, LAYER_COUNT, MAX_TOKENS, PROMPT_TOKENS, Step,
        Told, told,
    },
    invariants,
    programs::Permit,
};

/// Position before which a request is held between tokens, and that of the
/// second time.
const BETWEEN: u32 = PROMPT_TOKENS + 4;
const BETWEEN_AGAIN: u32 = PROMPT_TOKENS + 7;
/// Position of the last step.
const LAST: u32 = PROMPT_TOKENS + MAX_TOKENS - 2;
/// Longest wait for a step to be reached, or for the fleet to be at rest.
const WAIT_LIMIT: Duration = Duration::from_secs(20);
/// Time between two looks.
const LOOK: Duration = Duration::from_millis(5);
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

type Call = JoinHandle<(Answer, Instant)>;

/// A cell under way.
pub struct Driver {
    pub cell: Cell,
    pub fleet: Fleet,
    pub chain: Chain,
    /// Records of stand-ins that were killed.
    pub lost_records: BTreeMap<String, Vec<Ran>>,
    pub lost_plain: Vec<PlainRecord>,
    /// Processes that go on when the caller has its answer.
    pub frozen: Vec<String>,
    /// Processes that were told to stop.
    pub stopping: Vec<String>,
    /// Time from the fault to the answer.
    pub waited: Duration,
    /// Requests that only took a place.
    pub fillers: Vec<String>,
    filler: Option<Call>,
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
            stopping: Vec::new(),
            waited: Duration::ZERO,
            fillers: Vec::new(),
            filler: None,
        }
    }

    /// The answer to the cell's request.
    fn answer(&mut self) -> Answer {
        match self.cell.step {
            Step::Accepted => self.struck_before(),
            Step::AcceptedAlone => self.struck_alone(),
            Step::Queued => self.struck_in_queue(),
            Step::Claimed => self.struck_at_table("hold_answers"),
            Step::Recording => self.struck_at_end("hold_requests"),
            Step::Recorded => self.struck_at_end("hold_answers"),
            Step::Answered => self.struck_afterwards(),
            Step::Dispatched
            | Step::Prefill
            | Step::BetweenTokens
            | Step::LastToken => self.struck_at_engine(),
        }
    }

    /// What shows at once is found by the first request that meets it,
    /// whichever chain that is; for the rest the request is led there.
    fn struck_before(&mut self) -> Answer {
        let is_hidden = self.cell.fault.is_hidden();
        if is_hidden {
            self.steer();
        } else {
            self.chain = self.first_chain();
        }
        self.strike();
        let call = self.call();
        let struck = Instant::now();
        if is_hidden {
            self.wait_until("the call to be in flight", |driver| {
                let status = driver.fleet.entry_status(0);
                status["in_flight"].as_u64() >= Some(1)
            });
            self.release_steering();
        }
        self.join(call, struck)
    }

    fn struck_alone(&mut self) -> Answer {
        self.steer();
        self.strike();
        let call = self.call();
        let answer = self.join(call, Instant::now());
        self.release_steering();
        answer
    }

    fn struck_in_queue(&mut self) -> Answer {
        self.steer();
        let names = vec![self.chain.first.clone()];
        self.hold(&names, json!({"hold_before_position": 0}));
        let filler = self.fleet.caller(1);
        self.filler = Some(spawn(Kind::Stream, filler));
        self.wait_held(&names, None);
        let call = self.call();
        self.wait_until("the call to be queued", |driver| {
            let status = driver.fleet.side_status(&names[0]);
            status["backends"][0]["queued"] == 1
        });
        let all = self.fleet.present(0).len() + 2;
        self.release_steering();
        self.wait_until("the entry to see who stays", |driver| {
            driver.fleet.present(0).len() == all
        });
        let struck = Instant::now();
        self.strike();
        self.release(&names);
        let answer = self.join(call, struck);
        self.thaw();
        if let Some(filler) = self.filler.take() {
            let (answer, _) = filler.join().expect("no caller panics");
            self.fillers.push(answer.request().to_owned());
        }
        answer
    }

    fn struck_at_table(&mut self, hold: &str) -> Answer {
        self.fleet.set_faults("table", &json!({hold: true}));
        let call = self.call();
        self.wait_held(&["table".to_owned()], Some(&call));
        let struck = Instant::now();
        if let Fault::StoreDown = self.cell.fault {
            let down = json!({hold: true, "down": "unavailable"});
            self.fleet.set_faults("table", &down);
        } else {
            self.strike();
            self.fleet.set_faults("table", &json!({}));
        }
        self.join(call, struck)
    }

    fn struck_at_end(&mut self, hold: &str) -> Answer {
        let names = self.stage(At::Last);
        let gate = match self.cell.kind.is_plain() {
            true => json!({"hold_after_position": 0}),
            false => json!({"hold_after_position": LAST}),
        };
        self.hold(&names, gate);
        let call = self.call();
        self.wait_held(&names, Some(&call));
        self.find_chain();
        self.fleet.set_faults("table", &json!({hold: true}));
        self.release(&names);
        self.wait_held(&["table".to_owned()], None);
        let answer = self.join(call, Instant::now());
        self.strike();
        if self.cell.step == Step::Recording {
            // What is held would still be written.
            self.fleet.set_faults("table", &json!({"lose_requests": 1}));
            self.wait_until("the write to be lost", |driver| {
                driver.fleet.held("table") == 0
            });
        }
        answer
    }

    fn struck_afterwards(&mut self) -> Answer {
        let names = self.stage(At::First);
        self.hold(&names, json!({"hold_before_position": 0}));
        let call = self.call();
        self.wait_held(&names, Some(&call));
        self.find_chain();
        self.release(&names);
        let answer = self.join(call, Instant::now());
        if self.cell.kind.is_keyed() {
            // The claim, and how the request ended.
            self.wait_until("the outcome to be written", |driver| {
                let stats = driver.fleet.stats("table");
                stats["rows_written"].as_u64() >= Some(claim_rows() + 1)
            });
        }
        self.strike();
        answer
    }

    fn struck_at_engine(&mut self) -> Answer {
        let names = self.stage(self.cell.fault.at());
        self.hold(&names, self.gate());
        let call = self.call();
        self.wait_held(&names, Some(&call));
        self.find_chain();
        let mut struck = Instant::now();
        if let Fault::Twice(_) = self.cell.fault {
            let held = self.chain.server(self.cell.fault.at()).to_owned();
            let others: Vec<String> =
                names.iter().filter(|n| **n != held).cloned().collect();
            let again = json!({"hold_before_position": BETWEEN_AGAIN});
            self.hold(&others, again);
            self.strike();
            self.release(&[held]);
            self.wait_held(&others, Some(&call));
            self.find_chain();
            struck = Instant::now();
        }
        self.strike();
        self.release(&names);
        self.join(call, struck)
    }

    /// Where the request is held.
    fn gate(&self) -> serde_json::Value {
        match self.cell.step {
            Step::Dispatched => json!({"hold_before_position": 0}),
            Step::BetweenTokens => json!({"hold_before_position": BETWEEN}),
            Step::LastToken if !self.cell.kind.is_plain() => {
                json!({"hold_after_position": LAST})
            }
            _ => json!({"hold_after_position": 0}),
        }
    }

    fn call(&self) -> Call {
        spawn(self.cell.kind, self.fleet.caller(0))
    }

    fn join(&mut self, call: Call, struck: Instant) -> Answer {
        let (answer, at) = call.join().expect("no caller panics");
        self.waited = at.saturating_duration_since(struck);
        answer
    }

    /// Names of the backend servers that may be struck.
    fn stage(&self, at: At) -> Vec<String> {
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

    fn hold(&self, names: &[String], gate: serde_json::Value) {
        for name in names {
            self.fleet.set_faults(name, &gate);
        }
    }

    /// Lets the calls at stand-ins go on that answer.
    fn release(&mut self, names: &[String]) {
        for name in names {
            let is_frozen = self.frozen.contains(name);
            if !is_frozen && self.fleet.process(name).is_running() {
                self.fleet.set_faults(name, &json!({}));
            }
        }
    }

    fn wait_held(&mut self, names: &[String], call: Option<&Call>) {
        self.wait_until(&format!("a call held at {names:?}"), |driver| {
            if call.is_some_and(JoinHandle::is_finished) {
                panic!("the call ended before its step was reached");
            }
            let running: Vec<String> = names.to_vec();
            running.iter().any(|name| driver.is_holding(name))
        });
    }

    fn is_holding(&mut self, name: &str) -> bool {
        self.fleet.process(name).is_running() && self.fleet.held(name) > 0
    }

    pub fn wait_until(
        &mut self,
        what: &str,
        mut is_true: impl FnMut(&mut Driver) -> bool,
    ) {
        let started = Instant::now();
        while !is_true(self) {
            if started.elapsed() > WAIT_LIMIT {
                let states = self.fleet.states();
                panic!("waited in vain for {what}; {states}");
            }
            thread::sleep(LOOK);
        }
    }

    /// Finds the chain of the request in flight.
    fn find_chain(&mut self) {
        self.chain.first = self.holder(At::First, "runs");
        self.chain.last = match self.cell.kind.is_plain() {
            true => self.chain.first.clone(),
            false => self.holder(At::Last, "seats"),
        };
    }

    fn holder(&mut self, at: At, what: &str) -> String {
        let names = self.stage(at);
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

    fn is_up(&mut self, process: &str) -> bool {
        !self.frozen.iter().any(|name| name == process)
            && self.fleet.process(process).is_running()
    }

    /// Has the next request take the first chain.
    fn steer(&mut self) {
        let plan = plan(&self.cell);
        self.chain = self.first_chain();
        let kept = [self.chain.first.clone(), self.chain.last.clone()];
        let names = [plan.engine_names(), plan.plain_names()].concat();
        let others: Vec<String> = names
            .iter()
            .filter(|name| !kept.contains(name))
            .map(|name| side_name(name))
            .collect();
        let others: Vec<&str> = others.iter().map(String::as_str).collect();
        self.fleet.list_leaving(&others);
        let left = names.len() - others.len();
        self.wait_until("the entries to see who leaves", |driver| {
            (0..2).all(|entry| driver.fleet.present(entry).len() <= left)
        });
    }

    fn first_chain(&self) -> Chain {
        let first = self.stage(At::First)[0].clone();
        let last = self.stage(At::Last)[0].clone();
        Chain { first, last }
    }

    fn release_steering(&mut self) {
        self.fleet.list_leaving(&[]);
    }

    /// Has all go on that stands still, and mends what is broken for good.
    fn heal(&mut self) {
        self.thaw();
        self.fleet.set_faults("table", &json!({}));
        let plan = plan(&self.cell);
        self.release(&[plan.engine_names(), plan.plain_names()].concat());
    }

    fn thaw(&mut self) {
        for name in std::mem::take(&mut self.frozen) {
            self.fleet.process(&name).thaw();
        }
    }

    /// The final answer to a repeat at the other entry, for requests that
    /// may be repeated.
    fn repeat(&mut self) -> Option<Answer> {
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
    fn rest(&mut self) {
        let plan = plan(&self.cell);
        let names = [plan.engine_names(), plan.plain_names()].concat();
        self.wait_until("the fleet to be at rest", |driver| {
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
    fn check_stops(&mut self) {
        for name in std::mem::take(&mut self.stopping) {
            let status = self.fleet.process(&name).wait(WAIT_LIMIT);
            let status = status.expect("a planned stop ends");
            assert_eq!(status.code(), Some(0), "{name} cut its requests");
        }
    }
}

fn spawn(kind: Kind, caller: chestnutreach_fleet::Caller) -> Call {
    thread::spawn(move || {
        let answer = kind.send(&caller);
        (answer, Instant::now())
    })
}

/// Rows that a fleet has written when it has claimed one key: the
/// manifest's head and the claim.
fn claim_rows() -> u64 {
    2
}

/// An entry hears that a VM stays after all with the next heartbeat.
fn quickly_steered(plan: Plan) -> Plan {
    plan.setting("links", "idle-interval-ms", "250")
}

/// The cell's fleet.
fn plan(cell: &Cell) -> Plan {
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
    if cell.kind.is_plain() {
        plan = plan.stages(&[0, LAYER_COUNT], 1);
    }
    match cell.step {
        Step::Queued => quickly_steered(plan.max_running(1)),
        Step::Accepted | Step::AcceptedAlone => quickly_steered(plan),
        Step::Claimed => {
            plan.setting("platform", "request-timeout-ms", "2000")
        }
        _ => plan,
    }
}
