//! Holders of one lease and the gate before one engine, whatever happens to
//! them: pauses, lost answers, writes that take effect late, orders that are
//! late or doubled, restarts of the gate, clocks of different rates.

mod support;

use std::marker::PhantomData;

use chestnutreach_state::{
    FencingGate, FencingNumber, GateAnswer, LeaseCommand, LeaseOptions,
    LeaseParticipant, LeaseRow, StoreResponse,
};
use proptest::prelude::*;
use proptest_state_machine::{ReferenceStateMachine, StateMachineTest};

const HOLDERS: usize = 3;
const DURATION_MS: u64 = 1_000;
const RENEW_BEFORE_MS: u64 = 500;
const MARGIN_MS: u64 = 100;
/// Rates of the holders' clocks, in parts of 100 of true time.
const CLOCK_RATES: [u64; HOLDERS] = [97, 100, 103];

#[derive(Clone, Debug)]
enum Event {
    /// Time passes for all; who gets no other event is paused.
    Advance {
        ms: u64,
    },
    Tick {
        holder: usize,
    },
    /// The table service does what it was told; no answer yet.
    TakeEffect {
        holder: usize,
    },
    /// It is done if it was not, and answered.
    Answer {
        holder: usize,
    },
    /// It is not done, and answered so.
    Refuse {
        holder: usize,
    },
    /// The answer is lost; what was not done may be done later.
    LoseAnswer {
        holder: usize,
    },
    /// A write whose answer was lost takes effect, if it still can.
    LateEffect,
    Release {
        holder: usize,
    },
    /// A tick that is answered at once.
    Exchange {
        holder: usize,
    },
    /// The holder sends an order if it may.
    Order {
        holder: usize,
    },
    /// An order that is under way reaches the gate, and may again.
    Arrive {
        index: prop::sample::Index,
        is_doubled: bool,
    },
    RestartGate {
        is_store_up: bool,
    },
}

#[derive(Clone, Debug)]
struct Anything;

impl ReferenceStateMachine for Anything {
    type State = Anything;
    type Transition = Event;

    fn init_state() -> BoxedStrategy<Anything> {
        Just(Anything).boxed()
    }

    fn transitions(_: &Anything) -> BoxedStrategy<Event> {
        let holder = || 0..HOLDERS;
        let index = any::<prop::sample::Index>();
        prop_oneof![
            4 => (1..DURATION_MS / 2).prop_map(|ms| Event::Advance { ms }),
            2 => (DURATION_MS - 40..DURATION_MS + 40)
                .prop_map(|ms| Event::Advance { ms }),
            14 => holder().prop_map(|holder| Event::Exchange { holder }),
            4 => holder().prop_map(|holder| Event::Tick { holder }),
            2 => holder().prop_map(|holder| Event::TakeEffect { holder }),
            4 => holder().prop_map(|holder| Event::Answer { holder }),
            1 => holder().prop_map(|holder| Event::Refuse { holder }),
            2 => holder().prop_map(|holder| Event::LoseAnswer { holder }),
            1 => Just(Event::LateEffect),
            2 => holder().prop_map(|holder| Event::Release { holder }),
            7 => holder().prop_map(|holder| Event::Order { holder }),
            7 => (index, any::<bool>()).prop_map(|(index, is_doubled)| {
                Event::Arrive { index, is_doubled }
            }),
            2 => any::<bool>()
                .prop_map(|is_store_up| Event::RestartGate { is_store_up }),
        ]
        .boxed()
    }

    fn apply(state: Anything, _: &Event) -> Anything {
        state
    }
}

/// What differs between the sound code and those broken on purpose.
trait Variant {
    const MARGIN_MS: u64 = MARGIN_MS;

    fn gate() -> FencingGate {
        FencingGate::new()
    }
}

struct Sound;

impl Variant for Sound {}

/// Broken: a holder acts to the very end of its lease.
struct NoMargin;

impl Variant for NoMargin {
    const MARGIN_MS: u64 = 1;
}

/// Broken: the gate takes the first number after a restart unconfirmed.
struct NoConfirmation;

impl Variant for NoConfirmation {
    fn gate() -> FencingGate {
        let mut gate = FencingGate::new();
        gate.confirm(FencingNumber::from_u64(0));
        gate
    }
}

/// A command at the table service, and its result once it has effect.
#[derive(Clone, Copy, Debug)]
struct Request {
    command: LeaseCommand,
    result: Option<StoreResponse>,
}

struct World<V> {
    true_ms: u64,
    holders: Vec<LeaseParticipant>,
    is_leaving: [bool; HOLDERS],
    next_id: u64,
    requests: [Option<Request>; HOLDERS],
    row: Option<LeaseRow>,
    late_writes: Vec<LeaseCommand>,
    orders: Vec<FencingNumber>,
    gate: FencingGate,
    is_store_up: bool,
    /// Number of the last order that took effect.
    effective: Option<FencingNumber>,
    variant: PhantomData<V>,
}

impl<V: Variant> World<V> {
    fn new() -> World<V> {
        let options = World::<V>::options();
        World {
            true_ms: 0,
            holders: (1..=HOLDERS as u64)
                .map(|id| LeaseParticipant::new(id, options))
                .collect(),
            is_leaving: [false; HOLDERS],
            next_id: HOLDERS as u64 + 1,
            requests: [None; HOLDERS],
            row: None,
            late_writes: Vec::new(),
            orders: Vec::new(),
            gate: V::gate(),
            is_store_up: true,
            effective: None,
            variant: PhantomData,
        }
    }

    fn options() -> LeaseOptions {
        LeaseOptions::new(DURATION_MS, RENEW_BEFORE_MS, V::MARGIN_MS).unwrap()
    }

    /// Time of a holder's clock; each starts elsewhere.
    fn clock_ms(&self, holder: usize) -> u64 {
        let start_ms = 10_000 * holder as u64;
        start_ms + self.true_ms * CLOCK_RATES[holder] / 100
    }

    fn send(&mut self, holder: usize, command: Option<LeaseCommand>) {
        if let Some(command) = command {
            assert!(self.requests[holder].is_none(), "two commands out");
            self.requests[holder] = Some(Request { command, result: None });
        }
    }

    fn execute(&mut self, command: LeaseCommand) -> StoreResponse {
        match command {
            LeaseCommand::Read => StoreResponse::Row(self.row),
            LeaseCommand::Write { expected, row } => {
                if self.row != expected {
                    return StoreResponse::Conflict;
                }
                self.row = Some(row);
                StoreResponse::Written
            }
        }
    }

    fn take_effect(&mut self, holder: usize) -> Option<StoreResponse> {
        let mut request = self.requests[holder]?;
        if request.result.is_none() {
            request.result = Some(self.execute(request.command));
            self.requests[holder] = Some(request);
        }
        request.result
    }

    fn answer(&mut self, holder: usize, answer: StoreResponse) {
        self.requests[holder] = None;
        let now_ms = self.clock_ms(holder);
        self.holders[holder].handle_response(answer, now_ms);
        if self.is_leaving[holder] {
            self.replace(holder);
        }
    }

    fn replace(&mut self, holder: usize) {
        self.holders[holder] =
            LeaseParticipant::new(self.next_id, World::<V>::options());
        self.is_leaving[holder] = false;
        self.next_id += 1;
    }

    fn tick(&mut self, holder: usize) {
        let now_ms = self.clock_ms(holder);
        let command = self.holders[holder].tick(now_ms);
        self.send(holder, command);
    }

    fn answer_now(&mut self, holder: usize) {
        if let Some(answer) = self.take_effect(holder) {
            self.answer(holder, answer);
        }
    }

    fn release(&mut self, holder: usize) {
        let now_ms = self.clock_ms(holder);
        let command = self.holders[holder].release(now_ms);
        self.send(holder, command);
        self.is_leaving[holder] = true;
        if self.requests[holder].is_none() {
            self.replace(holder);
        }
    }

    fn lose_answer(&mut self, holder: usize) {
        let Some(request) = self.requests[holder] else { return };
        if request.result.is_none() {
            self.late_writes.push(request.command);
        }
        self.answer(holder, StoreResponse::Ambiguous);
    }

    fn arrive(&mut self, number: FencingNumber) {
        let mut answer = self.gate.check(number);
        if answer == GateAnswer::NeedsConfirmation {
            let Some(row) = self.row.filter(|_| self.is_store_up) else {
                return;
            };
            self.gate.confirm(row.fencing_number);
            answer = self.gate.check(number);
        }
        if answer == GateAnswer::Accepted {
            assert!(Some(number) >= self.effective, "older order");
            self.effective = Some(number);
        }
    }

    fn check_acting(&self) {
        let acting: Vec<FencingNumber> = (0..HOLDERS)
            .filter_map(|h| {
                self.holders[h].active_fencing_number(self.clock_ms(h))
            })
            .collect();
        assert!(acting.len() <= 1, "two may act: {acting:?}");
        if let (Some(number), Some(row)) = (acting.first(), self.row) {
            assert!(*number <= row.fencing_number, "number not in the row");
        }
    }
}

struct Promise<V>(PhantomData<V>);

impl<V: Variant> StateMachineTest for Promise<V> {
    type SystemUnderTest = World<V>;
    type Reference = Anything;

    fn init_test(_: &Anything) -> World<V> {
        World::new()
    }

    fn apply(mut world: World<V>, _: &Anything, event: Event) -> World<V> {
        match event {
            Event::Advance { ms } => world.true_ms += ms,
            Event::Tick { holder } => world.tick(holder),
            Event::Exchange { holder } => {
                world.tick(holder);
                world.answer_now(holder);
            }
            Event::TakeEffect { holder } => {
                world.take_effect(holder);
            }
            Event::Answer { holder } => world.answer_now(holder),
            Event::Refuse { holder } => {
                let request = world.requests[holder];
                if request.is_some_and(|r| r.result.is_none()) {
                    world.answer(holder, StoreResponse::Unavailable);
                }
            }
            Event::LoseAnswer { holder } => world.lose_answer(holder),
            Event::LateEffect => {
                if let Some(command) = world.late_writes.pop() {
                    world.execute(command);
                }
            }
            Event::Release { holder } => world.release(holder),
            Event::Order { holder } => {
                let now_ms = world.clock_ms(holder);
                let number =
                    world.holders[holder].active_fencing_number(now_ms);
                world.orders.extend(number);
            }
            Event::Arrive { index, is_doubled } => {
                if !world.orders.is_empty() {
                    let at = index.index(world.orders.len());
                    let number = world.orders[at];
                    if !is_doubled {
                        world.orders.remove(at);
                    }
                    world.arrive(number);
                }
            }
            Event::RestartGate { is_store_up } => {
                world.gate = V::gate();
                world.is_store_up = is_store_up;
            }
        }
        world.check_acting();
        world
    }
}

#[test]
fn promise_holds() {
    assert_eq!(support::failure::<Promise<Sound>>(), None);
}

#[test]
fn missing_margin_is_caught() {
    let why = support::failure_of_broken::<Promise<NoMargin>>();
    assert!(why.contains("two may act"), "{why}");
}

#[test]
fn missing_confirmation_is_caught() {
    let why = support::failure_of_broken::<Promise<NoConfirmation>>();
    assert!(why.contains("older order"), "{why}");
}
