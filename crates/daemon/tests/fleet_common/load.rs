//! Steady load on a fleet, as its callers see it.
//!
//! Callers go to entries that say they are ready, as a balancer in front of
//! them would: it looks a few times in a second, so that it notices a stop a
//! little late.

use std::{
    net::SocketAddr,
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, Ordering},
    },
    thread::{self, JoinHandle},
    time::{Duration, Instant},
};

use chestnutreach_fleet::{
    Caller, Fleet, Response,
    fleet::{ACCOUNTS, entry_name},
};
use chestnutreach_standins::engine::expected_answer;

/// Wait while no entry is ready.
const PAUSE: Duration = Duration::from_millis(20);
/// Layers of the model.
const LAYERS: u32 = 24;

/// What is sent, and how.
#[derive(Clone, Copy, Debug)]
pub struct LoadPlan {
    /// Entries, from the first.
    pub entries: usize,
    /// What is sent.
    pub kinds: &'static [Kind],
    /// Callers of each kind.
    pub callers: usize,
    /// Tokens of each answer.
    pub tokens: u32,
    /// Wait of a caller between two requests.
    pub pause_ms: u64,
    /// Time between two looks of the balancer.
    pub look_ms: u64,
}

impl Default for LoadPlan {
    fn default() -> LoadPlan {
        LoadPlan {
            entries: 2,
            kinds: &[Kind::Stream, Kind::Once, Kind::Keyed],
            callers: 2,
            tokens: 24,
            pause_ms: 0,
            look_ms: 50,
        }
    }
}

/// What a caller sends.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Kind {
    /// An idempotent streamed answer.
    Stream,
    /// A whole answer that may not be run twice.
    Once,
    /// A whole answer under a key.
    Keyed,
    /// A call of the plain service that may not be run twice.
    PlainOnce,
}

/// One request and what came of it.
#[derive(Clone, Debug)]
pub struct Sent {
    pub kind: Kind,
    pub entry: usize,
    pub sent: Instant,
    pub answer: Response,
    /// What is wrong with the answer; empty when it is whole and right.
    pub problem: String,
}

/// Callers that send one request after another.
pub struct Load {
    is_over: Arc<AtomicBool>,
    sent: Arc<Mutex<Vec<Sent>>>,
    tasks: Vec<JoinHandle<()>>,
}

/// Entries as the balancer knows them.
struct Balancer {
    entries: Vec<Balanced>,
}

struct Balanced {
    http: SocketAddr,
    ops: SocketAddr,
    is_ready: AtomicBool,
}

impl Balancer {
    fn new(fleet: &Fleet, entries: usize) -> Balancer {
        let ops = fleet.ops_addresses();
        let balanced = |entry| Balanced {
            http: fleet.entry_address(entry),
            ops: ops[&entry_name(entry)],
            is_ready: AtomicBool::new(true),
        };
        Balancer { entries: (0..entries).map(balanced).collect() }
    }

    fn look(&self) {
        for entry in &self.entries {
            let ready = Caller::new(entry.ops, "").call("GET", "/ready", "");
            entry.is_ready.store(ready.status == 200, Ordering::Release);
        }
    }

    fn choose(&self) -> Option<usize> {
        let is_ready =
            |entry: &Balanced| entry.is_ready.load(Ordering::Acquire);
        let ready: Vec<usize> = (0..self.entries.len())
            .filter(|at| is_ready(&self.entries[*at]))
            .collect();
        let at = fastrand::usize(..ready.len().max(1));
        ready.get(at).copied()
    }
}

impl Load {
    /// Starts the callers of a plan.
    pub fn start(fleet: &Fleet, plan: LoadPlan) -> Load {
        let is_over = Arc::new(AtomicBool::new(false));
        let sent = Arc::new(Mutex::new(Vec::new()));
        let balancer = Arc::new(Balancer::new(fleet, plan.entries));
        let mut tasks = Vec::new();
        let (until, looking) = (is_over.clone(), balancer.clone());
        tasks.push(thread::spawn(move || {
            while !until.load(Ordering::Acquire) {
                looking.look();
                thread::sleep(Duration::from_millis(plan.look_ms));
            }
        }));
        let callers = plan.kinds.len() * plan.callers;
        for (number, kind) in (0..callers).zip(plan.kinds.iter().cycle()) {
            let task = Sending {
                kind: *kind,
                number,
                plan,
                balancer: balancer.clone(),
                is_over: is_over.clone(),
                sent: sent.clone(),
            };
            tasks.push(thread::spawn(move || task.run()));
        }
        Load { is_over, sent, tasks }
    }

    /// Requests that have ended until now.
    pub fn ended(&self) -> usize {
        self.sent.lock().expect("no holder panics").len()
    }

    /// Ends the load; all that was sent.
    pub fn stop(self) -> Vec<Sent> {
        self.is_over.store(true, Ordering::Release);
        for task in self.tasks {
            task.join().expect("no caller panics");
        }
        let mut sent = self.sent.lock().expect("no holder panics");
        std::mem::take(&mut sent)
    }
}

struct Sending {
    kind: Kind,
    number: usize,
    plan: LoadPlan,
    balancer: Arc<Balancer>,
    is_over: Arc<AtomicBool>,
    sent: Arc<Mutex<Vec<Sent>>>,
}

impl Sending {
    fn run(&self) {
        let addresses = self.balancer.entries.iter().map(|e| e.http);
        let callers: Vec<Caller> =
            addresses.map(|http| Caller::new(http, ACCOUNTS[0].1)).collect();
        for count in 0.. {
            if self.is_over.load(Ordering::Acquire) {
                return;
            }
            let Some(entry) = self.balancer.choose() else {
                thread::sleep(PAUSE);
                continue;
            };
            let sent = Instant::now();
            let name = format!("n{}-{count}", self.number);
            let answer = self.send(&callers[entry], &name);
            let problem = self.problem(&name, &answer);
            let kind = self.kind;
            let sent = Sent { kind, entry, sent, answer, problem };
            self.sent.lock().expect("no holder panics").push(sent);
            thread::sleep(Duration::from_millis(self.plan.pause_ms));
        }
    }

    fn send(&self, caller: &Caller, name: &str) -> Response {
        let once = ("chestnutreach-non-idempotent", "true");
        match self.kind {
            Kind::Stream => caller.stream(name, self.plan.tokens, |_| {}),
            Kind::Once => {
                caller.header(once.0, once.1).chat(name, self.plan.tokens)
            }
            Kind::Keyed => caller
                .header("idempotency-key", name)
                .chat(name, self.plan.tokens),
            Kind::PlainOnce => caller.header("x-sleep-ms", "40").call(
                "POST",
                "/ledger-app/receipts",
                name,
            ),
        }
    }

    fn problem(&self, name: &str, answer: &Response) -> String {
        if answer.status != 200 || answer.outcome() != Some("completed") {
            return format!("{:?}: {answer:?}", answer.outcome());
        }
        if self.kind == Kind::PlainOnce {
            return match answer.json()["run"].as_u64() {
                Some(1) => String::new(),
                run => format!("ran {run:?} times"),
            };
        }
        let tokens = expected_answer(name, LAYERS, self.plan.tokens);
        let text: String = tokens.into_iter().map(|(_, text)| text).collect();
        match answer.content() == text {
            true => String::new(),
            false => format!("{:?} is not {text:?}", answer.content()),
        }
    }
}

/// The requests whose answer is not whole and right.
pub fn problems(sent: &[Sent]) -> Vec<String> {
    let wrong = sent.iter().filter(|sent| !sent.problem.is_empty());
    let tell = |sent: &Sent| {
        format!("{:?} at entry {}: {}", sent.kind, sent.entry, sent.problem)
    };
    wrong.map(tell).collect()
}
