//! Invariants of several processes that share a lease, and of the fencing gate
//! before one engine. Events include pauses, lost responses, writes that take
//! effect late, late and duplicate orders and restarts of the gate. The clocks
//! run at different rates.

mod support;

use std::marker::PhantomData;

use chestnutreach_state::{
    FencingDecision, FencingGate, FencingNumber, LeaseCommand, LeaseOptions,
    LeaseParticipant, LeaseRow, StoreResponse,
};
use proptest::prelude::*;
use proptest_state_machine::{ReferenceStateMachine, StateMachineTest};

const PARTICIPANTS: usize = 3;
const DURATION_MS: u64 = 1_000;
const RENEW_BEFORE_MS: u64 = 500;
const MARGIN_MS: u64 = 100;
/// Clock rates of the processes, in percent of real time.
const CLOCK_RATES: [u64; PARTICIPANTS] = [97, 100, 103];

#[derive(Clone, Debug)]
enum Event {
    /// Time passes for all processes. A process without other events is
    /// paused.
    Advance {
        ms: u64,
    },
    Tick {
        participant: usize,
    },
    /// The table service executes the command and does not respond yet.
    TakeEffect {
        participant: usize,
    },
    /// The table service executes the command, if still necessary, and
    /// responds.
    Respond {
        participant: usize,
    },
    /// The table service refuses the command.
    Refuse {
        participant: usize,
    },
    /// The response is lost. A command that was not executed may be executed
    /// later.
    LoseResponse {
        participant: usize,
    },
    /// A write whose response was lost is executed.
    LateEffect,
    Release {
        participant: usize,
    },
    /// A tick with an immediate response.
    Exchange {
        participant: usize,
    },
    /// The process sends an order if it holds the lease.
    Order {
        participant: usize,
    },
    /// An order in transit reaches the gate; if duplicated, a copy stays in
    /// transit.
    Arrive {
        index: prop::sample::Index,
        is_duplicated: bool,
    },
    RestartGate {
        is_store_up: bool,
    },
}

#[derive(Clone, Debug)]
struct NoReference;

impl ReferenceStateMachine for NoReference {
    type State = NoReference;
    type Transition = Event;

    fn init_state() -> BoxedStrategy<NoReference> {
        Just(NoReference).boxed()
    }

    fn transitions(_: &NoReference) -> BoxedStrategy<Event> {
        let participant = || 0..PARTICIPANTS;
        let index = any::<prop::sample::Index>();
        prop_oneof![
            4 => (1..DURATION_MS / 2).prop_map(|ms| Event::Advance { ms }),
            2 => (DURATION_MS - 40..DURATION_MS + 40)
                .prop_map(|ms| Event::Advance { ms }),
            14 => participant()
                .prop_map(|participant| Event::Exchange { participant }),
            4 => participant()
                .prop_map(|participant| Event::Tick { participant }),
            2 => participant()
                .prop_map(|participant| Event::TakeEffect { participant }),
            4 => participant()
                .prop_map(|participant| Event::Respond { participant }),
            1 => participant()
                .prop_map(|participant| Event::Refuse { participant }),
            2 => participant()
                .prop_map(|participant| Event::LoseResponse { participant }),
            1 => Just(Event::LateEffect),
            2 => participant()
                .prop_map(|participant| Event::Release { participant }),
            7 => participant()
                .prop_map(|participant| Event::Order { participant }),
            7 => (index, any::<bool>()).prop_map(|(index, is_duplicated)| {
                Event::Arrive { index, is_duplicated }
            }),
            2 => any::<bool>()
                .prop_map(|is_store_up| Event::RestartGate { is_store_up }),
        ]
        .boxed()
    }

    fn apply(state: NoReference, _: &Event) -> NoReference {
        state
    }
}

/// Differences between the correct code and code with a deliberate fault.
trait Variant {
    const MARGIN_MS: u64 = MARGIN_MS;

    fn gate() -> FencingGate {
        FencingGate::new()
    }
}

struct Correct;

impl Variant for Correct {}

/// Deliberate fault: a holder issues orders until the end of the lease.
struct NoMargin;

impl Variant for NoMargin {
    const MARGIN_MS: u64 = 1;
}

/// Deliberate fault: after a restart, the gate accepts the first number
/// without a confirmation.
struct NoConfirmation;

impl Variant for NoConfirmation {
    fn gate() -> FencingGate {
        let mut gate = FencingGate::new();
        gate.confirm(FencingNumber::from_u64(0));
        gate
    }
}

/// A command at the table service, with its response once it is executed.
#[derive(Clone, Copy, Debug)]
struct Request {
    command: LeaseCommand,
    response: Option<StoreResponse>,
}

struct Simulation<V> {
    real_ms: u64,
    participants: Vec<LeaseParticipant>,
    is_released: [bool; PARTICIPANTS],
    next_id: u64,
    requests: [Option<Request>; PARTICIPANTS],
    row: Option<LeaseRow>,
    late_writes: Vec<LeaseCommand>,
    orders: Vec<FencingNumber>,
    gate: FencingGate,
    is_store_up: bool,
    /// Number of the last order that took effect.
    last_effective: Option<FencingNumber>,
    variant: PhantomData<V>,
}

impl<V: Variant> Simulation<V> {
    fn new() -> Simulation<V> {
        let options = Simulation::<V>::options();
        Simulation {
            real_ms: 0,
            participants: (1..=PARTICIPANTS as u64)
                .map(|id| LeaseParticipant::new(id, options))
                .collect(),
            is_released: [false; PARTICIPANTS],
            next_id: PARTICIPANTS as u64 + 1,
            requests: [None; PARTICIPANTS],
            row: None,
            late_writes: Vec::new(),
            orders: Vec::new(),
            gate: V::gate(),
            is_store_up: true,
            last_effective: None,
            variant: PhantomData,
        }
    }

    fn options() -> LeaseOptions {
        LeaseOptions::new(DURATION_MS, RENEW_BEFORE_MS, V::MARGIN_MS).unwrap()
    }

    /// Time of the clock of a process; each clock has its own start.
    fn clock_ms(&self, participant: usize) -> u64 {
        let start_ms = 10_000 * participant as u64;
        start_ms + self.real_ms * CLOCK_RATES[participant] / 100
    }

    fn send(&mut self, participant: usize, command: Option<LeaseCommand>) {
        if let Some(command) = command {
            assert!(
                self.requests[participant].is_none(),
                "two commands in flight"
            );
            self.requests[participant] =
                Some(Request { command, response: None });
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

    fn take_effect(&mut self, participant: usize) -> Option<StoreResponse> {
        let mut request = self.requests[participant]?;
        if request.response.is_none() {
            request.response = Some(self.execute(request.command));
            self.requests[participant] = Some(request);
        }
        request.response
    }

    fn respond(&mut self, participant: usize, response: StoreResponse) {
        self.requests[participant] = None;
        let now_ms = self.clock_ms(participant);
        self.participants[participant].handle_response(response, now_ms);
        if self.is_released[participant] {
            self.replace(participant);
        }
    }

    fn replace(&mut self, participant: usize) {
        self.participants[participant] =
            LeaseParticipant::new(self.next_id, Simulation::<V>::options());
        self.is_released[participant] = false;
        self.next_id += 1;
    }

    fn tick(&mut self, participant: usize) {
        let now_ms = self.clock_ms(participant);
        let command = self.participants[participant].tick(now_ms);
        self.send(participant, command);
    }

    fn respond_now(&mut self, participant: usize) {
        if let Some(response) = self.take_effect(participant) {
            self.respond(participant, response);
        }
    }

    fn release(&mut self, participant: usize) {
        let now_ms = self.clock_ms(participant);
        let command = self.participants[participant].release(now_ms);
        self.send(participant, command);
        self.is_released[participant] = true;
        if self.requests[participant].is_none() {
            self.replace(participant);
        }
    }

    fn lose_response(&mut self, participant: usize) {
        let Some(request) = self.requests[participant] else { return };
        if request.response.is_none() {
            self.late_writes.push(request.command);
        }
        self.respond(participant, StoreResponse::Ambiguous);
    }

    fn arrive(&mut self, number: FencingNumber) {
        let mut decision = self.gate.check(number);
        if decision == FencingDecision::NeedsConfirmation {
            let Some(row) = self.row.filter(|_| self.is_store_up) else {
                return;
            };
            self.gate.confirm(row.fencing_number);
            decision = self.gate.check(number);
        }
        if decision == FencingDecision::Accepted {
            assert!(
                Some(number) >= self.last_effective,
                "older order takes effect"
            );
            self.last_effective = Some(number);
        }
    }

    fn check_acting(&self) {
        let acting: Vec<FencingNumber> = (0..PARTICIPANTS)
            .filter_map(|h| {
                self.participants[h].active_fencing_number(self.clock_ms(h))
            })
            .collect();
        assert!(acting.len() <= 1, "two active participants: {acting:?}");
        if let (Some(number), Some(row)) = (acting.first(), self.row) {
            assert!(
                *number <= row.fencing_number,
                "number is higher than in the row"
            );
        }
    }
}

struct Invariants<V>(PhantomData<V>);

impl<V: Variant> StateMachineTest for Invariants<V> {
    type SystemUnderTest = Simulation<V>;
    type Reference = NoReference;

    fn init_test(_: &NoReference) -> Simulation<V> {
        Simulation::new()
    }

    fn apply(
        mut simulation: Simulation<V>,
        _: &NoReference,
        event: Event,
    ) -> Simulation<V> {
        match event {
            Event::Advance { ms } => simulation.real_ms += ms,
            Event::Tick { participant } => simulation.tick(participant),
            Event::Exchange { participant } => {
                simulation.tick(participant);
                simulation.respond_now(participant);
            }
            Event::TakeEffect { participant } => {
                simulation.take_effect(participant);
            }
            Event::Respond { participant } => {
                simulation.respond_now(participant)
            }
            Event::Refuse { participant } => {
                let request = simulation.requests[participant];
                if request.is_some_and(|r| r.response.is_none()) {
                    simulation
                        .respond(participant, StoreResponse::Unavailable);
                }
            }
            Event::LoseResponse { participant } => {
                simulation.lose_response(participant)
            }
            Event::LateEffect => {
                if let Some(command) = simulation.late_writes.pop() {
                    simulation.execute(command);
                }
            }
            Event::Release { participant } => simulation.release(participant),
            Event::Order { participant } => {
                let now_ms = simulation.clock_ms(participant);
                let number = simulation.participants[participant]
                    .active_fencing_number(now_ms);
                simulation.orders.extend(number);
            }
            Event::Arrive { index, is_duplicated } => {
                if !simulation.orders.is_empty() {
                    let at = index.index(simulation.orders.len());
                    let number = simulation.orders[at];
                    if !is_duplicated {
                        simulation.orders.remove(at);
                    }
                    simulation.arrive(number);
                }
            }
            Event::RestartGate { is_store_up } => {
                simulation.gate = V::gate();
                simulation.is_store_up = is_store_up;
            }
        }
        simulation.check_acting();
        simulation
    }
}

#[test]
fn invariants_hold() {
    assert_eq!(support::find_failure::<Invariants<Correct>>(), None);
}

#[test]
fn missing_margin_is_detected() {
    let why = support::find_failure_of_faulty::<Invariants<NoMargin>>();
    assert!(why.contains("two active participants"), "{why}");
}

#[test]
fn missing_confirmation_is_detected() {
    let why = support::find_failure_of_faulty::<Invariants<NoConfirmation>>();
    assert!(why.contains("older order takes effect"), "{why}");
}
