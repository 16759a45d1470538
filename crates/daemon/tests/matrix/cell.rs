//! Definition of a cell of the matrix: request, step, fault and expectation.

use std::time::Duration;

use chestnutreach_fleet::{Caller, Response};
use chestnutreach_standins::engine::expected_answer;

/// Layers of the model.
pub const LAYER_COUNT: u32 = 24;
/// Maximum of output tokens.
pub const MAX_TOKENS: u32 = 12;
/// Prompt of the requests to the model.
pub const PROMPT: &str = "Write the repayment letter for loan 2417";
/// Tokens of the prompt: the engine stand-in counts each word as one token.
pub const PROMPT_TOKENS: u32 = 7;
const RECEIPT: &str = "{\"loan\":2417,\"paid\":15000}";
const DEADLINE_MS: &str = "20000";

/// One cell: a request, the step at which the fault occurs, and the fault.
#[derive(Clone, Copy, Debug)]
pub struct Cell {
    pub kind: Kind,
    pub step: Step,
    pub fault: Fault,
    pub expect: Expect,
}

/// Kind of a request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Kind {
    /// Streamed and idempotent.
    Stream,
    /// Runs at most once, without a key.
    Once,
    /// Runs at most once, with a key.
    Keyed,
    /// A lookup at a plain service.
    Lookup,
    /// A write to a plain service, without a key.
    Post,
    /// A write to a plain service, with a key.
    Receipt,
}

/// Progress of a request when the fault occurs.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Step {
    /// The fault occurs before the request is sent.
    Accepted,
    /// The fault occurs before the request is sent, and the affected chain is
    /// the only one.
    AcceptedSingleChain,
    /// The key is claimed, and the entry has no response to the claim yet.
    Claimed,
    /// The request waits for a slot at the side process.
    Queued,
    /// The engine has received a call and has run nothing.
    Dispatched,
    /// The engine has run the prefill, or the plain service has run the call,
    /// and the response is in transit.
    Prefill,
    /// Some tokens have been delivered.
    BetweenTokens,
    /// The engine has run the last step, and the response is in transit.
    LastToken,
    /// The response is complete, and the outcome isn't written to the table
    /// yet.
    Recording,
    /// The outcome is written, and the entry has no response to the write yet.
    Recorded,
    /// The caller has the response.
    Answered,
}

/// Stage of the chain that a fault affects.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Stage {
    First,
    Last,
}

/// When a frozen process resumes.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Thaw {
    /// Before any other process considers the frozen process lost.
    Soon,
    /// After other processes consider the frozen process lost, and before the
    /// request ends.
    Late,
    /// When the caller has the response.
    Afterwards,
}

/// Fault that a cell injects.
#[derive(Clone, Copy, Debug)]
pub enum Fault {
    SideKilled(Stage),
    /// The side process is killed and restarted.
    SideRestarted(Stage),
    SideFrozen(Stage, Thaw),
    EngineKilled(Stage),
    EngineFrozen(Stage, Thaw),
    EntryKilled,
    EntryFrozen(Thaw),
    /// The connections to the side process are reset.
    Reset(Stage),
    /// The open connections to the side process stop transferring data; new
    /// connections work.
    Silent(Stage),
    /// The connections to the side process are stalled; what was sent over
    /// them arrives when the caller has the response.
    Stalled(Stage),
    /// The connections to the side process are delayed in both directions.
    Slow(Stage),
    StoreDown,
    StoreSlow,
    /// The table applies the next write, and the response is lost.
    StoreResponseLost,
    ListedLeaving(Stage),
    SideTerminated(Stage),
    EntryTerminated,
    /// Two faults at the same time.
    Both(&'static Fault, &'static Fault),
    /// The fault occurs again when the next attempt reaches the step.
    Twice(&'static Fault),
}

/// Outcome that the response reports to the caller.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Outcome {
    Completed,
    NotRun,
    Failed,
    Unknown,
    /// The connection closed without an outcome: the entry has exited.
    NoResponse,
}

/// Expected result of a cell.
#[derive(Clone, Copy, Debug)]
pub struct Expect {
    pub outcome: Outcome,
    /// Attempts of which engines have run steps; none accepts any count that
    /// the kind of request allows.
    pub attempts: Option<usize>,
    /// Final outcome of a repeat at the other entry.
    pub repeat: Outcome,
    /// Maximum time from the fault to the response.
    pub max_latency: Duration,
}

/// Maximum time to a response that waits only for the timeouts on silence.
const RESPONSE_LIMIT: Duration = Duration::from_secs(5);
/// Maximum time to a response if a side process is queried for the state of
/// the request and doesn't respond.
const RESPONSE_LIMIT_AFTER_QUERY: Duration = Duration::from_secs(9);

impl Expect {
    const fn new(outcome: Outcome, repeat: Outcome) -> Expect {
        Expect { outcome, attempts: None, repeat, max_latency: RESPONSE_LIMIT }
    }

    /// A complete response.
    pub const fn completed() -> Expect {
        Expect::new(Outcome::Completed, Outcome::Completed)
    }

    /// A refusal that states that nothing has run.
    pub const fn not_run() -> Expect {
        Expect::new(Outcome::NotRun, Outcome::Completed).attempts(0)
    }

    /// A response that the request has begun to run and failed.
    pub const fn failed() -> Expect {
        Expect::new(Outcome::Failed, Outcome::Failed)
    }

    /// A response that the outcome is unknown, after an unanswered query.
    pub const fn unknown() -> Expect {
        Expect::new(Outcome::Unknown, Outcome::Unknown).after_query()
    }

    /// No response, because the entry has exited.
    pub const fn no_response() -> Expect {
        Expect::new(Outcome::NoResponse, Outcome::Completed)
    }

    pub const fn attempts(mut self, count: usize) -> Expect {
        self.attempts = Some(count);
        self
    }

    pub const fn repeat(mut self, outcome: Outcome) -> Expect {
        self.repeat = outcome;
        self
    }

    pub const fn after_query(mut self) -> Expect {
        self.max_latency = RESPONSE_LIMIT_AFTER_QUERY;
        self
    }
}

impl Kind {
    /// Sends the request.
    pub fn send(self, caller: &Caller) -> Response {
        let caller = caller.header("chestnutreach-deadline-ms", DEADLINE_MS);
        let keyed = caller.header("idempotency-key", "letter-2417");
        let once = caller.header("chestnutreach-non-idempotent", "true");
        match self {
            Kind::Stream => caller.stream(PROMPT, MAX_TOKENS, |_| {}),
            Kind::Once => once.chat(PROMPT, MAX_TOKENS),
            Kind::Keyed => keyed.chat(PROMPT, MAX_TOKENS),
            Kind::Lookup => {
                caller.call("GET", "/ledger-app/schedules/2417", "")
            }
            Kind::Post => caller.call("POST", "/ledger-app/receipts", RECEIPT),
            Kind::Receipt => {
                keyed.call("POST", "/ledger-app/receipts", RECEIPT)
            }
        }
    }

    pub fn is_plain(self) -> bool {
        matches!(self, Kind::Lookup | Kind::Post | Kind::Receipt)
    }

    pub fn is_keyed(self) -> bool {
        matches!(self, Kind::Keyed | Kind::Receipt)
    }

    /// Whether the request may run at most once.
    pub fn is_once(self) -> bool {
        !matches!(self, Kind::Stream | Kind::Lookup)
    }
}

impl Fault {
    /// Whether an entry can detect the fault only after it has sent a message.
    pub fn is_hidden(&self) -> bool {
        matches!(
            self,
            Fault::SideFrozen(..) | Fault::Silent(_) | Fault::Stalled(_)
        )
    }

    /// Returns the stage that the fault affects first.
    pub fn first_affected_stage(&self) -> Stage {
        match self {
            Fault::SideKilled(stage)
            | Fault::SideRestarted(stage)
            | Fault::SideFrozen(stage, _)
            | Fault::EngineKilled(stage)
            | Fault::EngineFrozen(stage, _)
            | Fault::Reset(stage)
            | Fault::Silent(stage)
            | Fault::Stalled(stage)
            | Fault::Slow(stage)
            | Fault::ListedLeaving(stage)
            | Fault::SideTerminated(stage) => *stage,
            Fault::Both(first, _) | Fault::Twice(first) => {
                first.first_affected_stage()
            }
            Fault::EntryKilled
            | Fault::EntryFrozen(_)
            | Fault::StoreDown
            | Fault::StoreSlow
            | Fault::StoreResponseLost
            | Fault::EntryTerminated => Stage::First,
        }
    }
}

/// Returns the expected output of the model.
pub fn expected_text() -> String {
    expected_answer(PROMPT, LAYER_COUNT, MAX_TOKENS)
        .into_iter()
        .map(|(_, text)| text)
        .collect()
}

/// Returns the outcome that a response reports.
pub fn outcome_of(answer: &Response) -> Outcome {
    match answer.outcome() {
        Some("completed") => Outcome::Completed,
        Some("not-run") => Outcome::NotRun,
        Some("failed") => Outcome::Failed,
        Some("unknown") => Outcome::Unknown,
        Some(other) => panic!("outcome {other:?} of {answer:?}"),
        None => Outcome::NoResponse,
    }
}
