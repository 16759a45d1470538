//! What a cell of the matrix is.

use std::time::Duration;

use chestnutreach_fleet::{Caller, Response};
use chestnutreach_standins::engine::expected_answer;

/// Layers of the model.
pub const LAYER_COUNT: u32 = 24;
/// Tokens asked for.
pub const MAX_TOKENS: u32 = 12;
/// What is asked for.
pub const PROMPT: &str = "Write the repayment letter for loan 2417";
/// Tokens of the prompt: the engine takes each word for one.
pub const PROMPT_TOKENS: u32 = 7;
const RECEIPT: &str = "{\"loan\":2417,\"paid\":15000}";
const DEADLINE_MS: &str = "20000";

/// One cell: a request that meets a fault at a step.
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
    /// Streamed, and may be run again.
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

/// How far a request has come.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Step {
    /// The entry takes it when the fault is there already.
    Accepted,
    /// Likewise, and only the chain that is struck is there.
    AcceptedAlone,
    /// Its key is claimed; the entry does not know so yet.
    Claimed,
    /// It waits for a place at the side process.
    Queued,
    /// The engine has been called and has run nothing.
    Dispatched,
    /// The engine has run the prompt, or the plain service the call; the
    /// answer is on its way.
    Prefill,
    /// Some tokens have been delivered.
    BetweenTokens,
    /// The last step has run; its answer is on its way.
    LastToken,
    /// The answer is whole, its outcome not yet written to the table.
    Recording,
    /// Likewise written, and the entry does not know so yet.
    Recorded,
    /// The caller has the answer.
    Answered,
}

/// Which stage of the chain a fault strikes.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum At {
    First,
    Last,
}

/// When something frozen goes on.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Thaw {
    /// Before anybody counts it as lost.
    Soon,
    /// After it counts as lost, and before the request's end.
    Late,
    /// When the caller has its answer.
    Afterwards,
}

/// What happens.
#[derive(Clone, Copy, Debug)]
pub enum Fault {
    SideKilled(At),
    /// Killed and started again.
    SideRestarted(At),
    SideFrozen(At, Thaw),
    EngineKilled(At),
    EngineFrozen(At, Thaw),
    EntryKilled,
    EntryFrozen(Thaw),
    /// The connections to the side process are reset.
    Reset(At),
    /// The connections to the side process fall silent; new ones work.
    Silent(At),
    /// The connections to the side process are held up; what was sent over
    /// them arrives when the caller has its answer.
    Stalled(At),
    /// What goes to or from the side process is late.
    Slow(At),
    StoreDown,
    StoreSlow,
    /// The table applies the next write and its answer is lost.
    StoreAnswerLost,
    ListedLeaving(At),
    SideTerminated(At),
    EntryTerminated,
    /// Two at the same time.
    Both(&'static Fault, &'static Fault),
    /// Again when the request has come to the step again.
    Twice(&'static Fault),
}

/// What a caller is told.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Told {
    Completed,
    NotRun,
    Failed,
    Unknown,
    /// Nothing: its entry has gone.
    Broken,
}

/// What a cell expects.
#[derive(Clone, Copy, Debug)]
pub struct Expect {
    pub told: Told,
    /// Attempts that engines have run steps of; none for any count that the
    /// request allows.
    pub attempts: Option<usize>,
    /// What a repeat at the other entry is told in the end.
    pub repeat: Told,
    /// Longest time from the fault to the answer.
    pub within: Duration,
}

/// Time for an answer that waits for nobody beyond the limits on silence.
const SOON: Duration = Duration::from_secs(5);
/// Time for an answer after a side process was asked in vain.
const AFTER_ASKING: Duration = Duration::from_secs(9);

impl Expect {
    const fn new(told: Told, repeat: Told) -> Expect {
        Expect { told, attempts: None, repeat, within: SOON }
    }

    /// A whole answer.
    pub const fn completed() -> Expect {
        Expect::new(Told::Completed, Told::Completed)
    }

    /// A refusal, and that nothing has run.
    pub const fn not_run() -> Expect {
        Expect::new(Told::NotRun, Told::Completed).attempts(0)
    }

    /// The news that it began and failed.
    pub const fn failed() -> Expect {
        Expect::new(Told::Failed, Told::Failed)
    }

    /// The news that nobody can tell, after asking.
    pub const fn unknown() -> Expect {
        Expect::new(Told::Unknown, Told::Unknown).after_asking()
    }

    /// No news, since the entry has gone.
    pub const fn broken() -> Expect {
        Expect::new(Told::Broken, Told::Completed)
    }

    pub const fn attempts(mut self, count: usize) -> Expect {
        self.attempts = Some(count);
        self
    }

    pub const fn repeat(mut self, told: Told) -> Expect {
        self.repeat = told;
        self
    }

    pub const fn after_asking(mut self) -> Expect {
        self.within = AFTER_ASKING;
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

    /// Whether it may run at most once.
    pub fn is_once(self) -> bool {
        !matches!(self, Kind::Stream | Kind::Lookup)
    }
}

impl Fault {
    /// Whether an entry cannot know of it before it has sent something.
    pub fn is_hidden(&self) -> bool {
        matches!(
            self,
            Fault::SideFrozen(..) | Fault::Silent(_) | Fault::Stalled(_)
        )
    }

    /// The stage that it strikes first.
    pub fn at(&self) -> At {
        match self {
            Fault::SideKilled(at)
            | Fault::SideRestarted(at)
            | Fault::SideFrozen(at, _)
            | Fault::EngineKilled(at)
            | Fault::EngineFrozen(at, _)
            | Fault::Reset(at)
            | Fault::Silent(at)
            | Fault::Stalled(at)
            | Fault::Slow(at)
            | Fault::ListedLeaving(at)
            | Fault::SideTerminated(at) => *at,
            Fault::Both(first, _) | Fault::Twice(first) => first.at(),
            Fault::EntryKilled
            | Fault::EntryFrozen(_)
            | Fault::StoreDown
            | Fault::StoreSlow
            | Fault::StoreAnswerLost
            | Fault::EntryTerminated => At::First,
        }
    }
}

/// The model's answer.
pub fn expected_text() -> String {
    expected_answer(PROMPT, LAYER_COUNT, MAX_TOKENS)
        .into_iter()
        .map(|(_, text)| text)
        .collect()
}

/// What a caller was told.
pub fn told(answer: &Response) -> Told {
    match answer.outcome() {
        Some("completed") => Told::Completed,
        Some("not-run") => Told::NotRun,
        Some("failed") => Told::Failed,
        Some("unknown") => Told::Unknown,
        Some(other) => panic!("outcome {other:?} of {answer:?}"),
        None => Told::Broken,
    }
}
