//! Steady load on a fleet, and a check of every response.
//!
//! Callers choose among the entries that report to be ready, as a load
//! balancer would. Readiness is polled a few times a second, so the balancer
//! notices a stop with a delay.

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

/// Pause of a caller while no entry is ready.
const NOT_READY_PAUSE: Duration = Duration::from_millis(20);
/// Layers of the model.
const LAYERS: u32 = 24;

/// Requests to send, and their rate.
#[derive(Clone, Copy, Debug)]
pub struct LoadPlan {
    /// Number of entries that get requests, from the first on.
    pub entries: usize,
    /// Kinds of requests.
    pub kinds: &'static [Kind],
    /// Concurrent callers of each kind.
    pub callers: usize,
    /// Output tokens of each request.
    pub tokens: u32,
    /// Pause of a caller between two requests.
    pub pause_ms: u64,
    /// Interval at which the balancer polls readiness.
    pub ready_poll_ms: u64,
}

impl Default for LoadPlan {
    fn default() -> LoadPlan {
        LoadPlan {
            entries: 2,
            kinds: &[Kind::Stream, Kind::Once, Kind::Keyed],
            callers: 2,
            tokens: 24,
            pause_ms: 0,
            ready_poll_ms: 50,
        }
    }
}

/// What a caller sends.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Kind {
    /// An idempotent request with a streamed response.
    Stream,
    /// A non-idempotent request with a full response.
    Once,
    /// A request with an idempotency key and a full response.
    Keyed,
    /// A non-idempotent call of the plain service.
    PlainOnce,
}

/// One request and its response.
#[derive(Clone, Debug)]
pub struct SentRequest {
    pub kind: Kind,
    pub entry: usize,
    pub sent_at: Instant,
    pub answer: Response,
    /// What is wrong with the response; empty if it is complete and correct.
    pub problem: String,
}

/// Callers that each send one request after another.
pub struct Load {
    is_stopped: Arc<AtomicBool>,
    sent: Arc<Mutex<Vec<SentRequest>>>,
    tasks: Vec<JoinHandle<()>>,
}

/// Entries and their readiness, as of the last poll.
struct Balancer {
    entries: Vec<BalancedEntry>,
}

struct BalancedEntry {
    http: SocketAddr,
    ops: SocketAddr,
    is_ready: AtomicBool,
}

impl Balancer {
    fn new(fleet: &Fleet, entries: usize) -> Balancer {
        let ops = fleet.ops_addresses();
        let to_balanced = |entry| BalancedEntry {
            http: fleet.entry_address(entry),
            ops: ops[&entry_name(entry)],
            is_ready: AtomicBool::new(true),
        };
        Balancer { entries: (0..entries).map(to_balanced).collect() }
    }

    fn poll_readiness(&self) {
        for entry in &self.entries {
            let ready = Caller::new(entry.ops, "").call("GET", "/ready", "");
            entry.is_ready.store(ready.status == 200, Ordering::Release);
        }
    }

    fn choose(&self) -> Option<usize> {
        let is_ready =
            |entry: &BalancedEntry| entry.is_ready.load(Ordering::Acquire);
        let ready: Vec<usize> = (0..self.entries.len())
            .filter(|at| is_ready(&self.entries[*at]))
            .collect();
        let at = fastrand::usize(..ready.len().max(1));
        ready.get(at).copied()
    }
}

impl Load {
    /// Starts the callers and the balancer of a plan.
    pub fn start(fleet: &Fleet, plan: LoadPlan) -> Load {
        let is_stopped = Arc::new(AtomicBool::new(false));
        let sent = Arc::new(Mutex::new(Vec::new()));
        let balancer = Arc::new(Balancer::new(fleet, plan.entries));
        let mut tasks = Vec::new();
        let (until, polled) = (is_stopped.clone(), balancer.clone());
        tasks.push(thread::spawn(move || {
            while !until.load(Ordering::Acquire) {
                polled.poll_readiness();
                thread::sleep(Duration::from_millis(plan.ready_poll_ms));
            }
        }));
        let callers = plan.kinds.len() * plan.callers;
        for (number, kind) in (0..callers).zip(plan.kinds.iter().cycle()) {
            let task = CallerTask {
                kind: *kind,
                number,
                plan,
                balancer: balancer.clone(),
                is_stopped: is_stopped.clone(),
                sent: sent.clone(),
            };
            tasks.push(thread::spawn(move || task.run()));
        }
        Load { is_stopped, sent, tasks }
    }

    /// Number of requests that have finished.
    pub fn finished_count(&self) -> usize {
        self.sent.lock().expect("no holder panics").len()
    }

    /// Stops the load and returns all requests that were sent.
    pub fn stop(self) -> Vec<SentRequest> {
        self.is_stopped.store(true, Ordering::Release);
        for task in self.tasks {
            task.join().expect("no caller panics");
        }
        let mut sent = self.sent.lock().expect("no holder panics");
        std::mem::take(&mut sent)
    }
}

struct CallerTask {
    kind: Kind,
    number: usize,
    plan: LoadPlan,
    balancer: Arc<Balancer>,
    is_stopped: Arc<AtomicBool>,
    sent: Arc<Mutex<Vec<SentRequest>>>,
}

impl CallerTask {
    fn run(&self) {
        let addresses = self.balancer.entries.iter().map(|e| e.http);
        let callers: Vec<Caller> =
            addresses.map(|http| Caller::new(http, ACCOUNTS[0].1)).collect();
        for count in 0.. {
            if self.is_stopped.load(Ordering::Acquire) {
                return;
            }
            let Some(entry) = self.balancer.choose() else {
                thread::sleep(NOT_READY_PAUSE);
                continue;
            };
            let sent_at = Instant::now();
            let name = format!("n{}-{count}", self.number);
            let answer = self.send(&callers[entry], &name);
            let problem = self.problem(&name, &answer);
            let kind = self.kind;
            let sent = SentRequest { kind, entry, sent_at, answer, problem };
            self.sent.lock().expect("no holder panics").push(sent);
            thread::sleep(Duration::from_millis(self.plan.pause_ms));
        }
    }

    fn send(&self, caller: &Caller, name: &str) -> Response {
        let non_idempotent = ("chestnutreach-non-idempotent", "true");
        match self.kind {
            Kind::Stream => caller.stream(name, self.plan.tokens, |_| {}),
            Kind::Once => caller
                .header(non_idempotent.0, non_idempotent.1)
                .chat(name, self.plan.tokens),
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

/// Describes the requests with an incomplete or incorrect response.
pub fn problems(sent: &[SentRequest]) -> Vec<String> {
    let wrong = sent.iter().filter(|sent| !sent.problem.is_empty());
    let describe = |sent: &SentRequest| {
        format!("{:?} at entry {}: {}", sent.kind, sent.entry, sent.problem)
    };
    wrong.map(describe).collect()
}
