//! Invariants of several processes that share a lease, and of the fencing gate
//! before one engine. Events include pauses, lost responses, writes that take
//! effect late, late and duplicate orders and restarts of the gate. The clocks
//! run at different rates. In some variants the table service is restored from
//! older copies.

mod support;

use std::{cmp::Ordering, collections::BTreeMap, marker::PhantomData};

use chestnutreach_state::{
    FencingDecision, FencingGate, FencingNumber, LeaseCommand, LeaseOptions,
    LeaseParticipant, LeaseRow, StoreResponse,
};
use proptest::prelude::*;
use proptest_state_machine::{ReferenceStateMachine, StateMachineTest};

const PARTICIPANTS: usize = 3;
/// More terms than any history has.
const NUMBERS_PER_ERA: u64 = 1_000;
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
    /// The table service is restored from a copy.
    Restore {
        copy: prop::sample::Index,
    },
    /// The process learns of a restore by another call.
    LearnEra {
        participant: usize,
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
            2 => any::<prop::sample::Index>()
                .prop_map(|copy| Event::Restore { copy }),
            2 => participant()
                .prop_map(|participant| Event::LearnEra { participant }),
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
    /// Whether the table service is restored. Gates read the row to confirm a
    /// number, and are not used with such a service.
    const HAS_RESTORES: bool = false;

    /// Tells a process that the table service was restored.
    fn tell_restored(
        participant: &mut LeaseParticipant,
        era: u64,
        now_ms: u64,
    ) {
        participant.store_restored(era * NUMBERS_PER_ERA, now_ms);
    }

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

struct Restored;

impl Variant for Restored {
    const HAS_RESTORES: bool = true;
}

/// Deliberate fault: processes compare the rows of two histories.
struct RestoreUnnoticed;

impl Variant for RestoreUnnoticed {
    const HAS_RESTORES: bool = true;

    fn tell_restored(_: &mut LeaseParticipant, _: u64, _: u64) {}
}

/// Deliberate fault: numbers are given out again.
struct NumbersRepeated;

impl Variant for NumbersRepeated {
    const HAS_RESTORES: bool = true;

    fn tell_restored(participant: &mut LeaseParticipant, _: u64, now_ms: u64) {
        participant.store_restored(0, now_ms);
    }
}

/// A command at the table service, with its response once it is executed.
#[derive(Clone, Copy, Debug)]
struct Request {
    command: LeaseCommand,
    response: Option<StoreResponse>,
    /// History in which the command was executed.
    era: u64,
}

struct Simulation<V> {
    real_ms: u64,
    participants: Vec<LeaseParticipant>,
    is_released: [bool; PARTICIPANTS],
    ids: [u64; PARTICIPANTS],
    next_id: u64,
    requests: [Option<Request>; PARTICIPANTS],
    row: Option<LeaseRow>,
    /// All rows that the table service has had.
    copies: Vec<Option<LeaseRow>>,
    era: u64,
    /// The history that each process knows.
    known_eras: [u64; PARTICIPANTS],
    /// Terms by number: the process that held it.
    terms: BTreeMap<FencingNumber, u64>,
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
            ids: std::array::from_fn(|at| at as u64 + 1),
            next_id: PARTICIPANTS as u64 + 1,
            requests: [None; PARTICIPANTS],
            row: None,
            copies: vec![None],
            era: 0,
            known_eras: [0; PARTICIPANTS],
            terms: BTreeMap::new(),
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
                Some(Request { command, response: None, era: 0 });
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
                self.copies.push(self.row);
                StoreResponse::Written
            }
        }
    }

    fn take_effect(&mut self, participant: usize) -> Option<StoreResponse> {
        let mut request = self.requests[participant]?;
        if request.response.is_none() {
            request.response = Some(self.execute(request.command));
            request.era = self.era;
            self.requests[participant] = Some(request);
        }
        request.response
    }

    fn learn_era(&mut self, participant: usize, era: u64) {
        if self.known_eras[participant] >= era {
            return;
        }
        self.known_eras[participant] = era;
        let now_ms = self.clock_ms(participant);
        V::tell_restored(&mut self.participants[participant], era, now_ms);
    }

    fn restore(&mut self, copy: prop::sample::Index) {
        self.era += 1;
        self.row = self.copies[copy.index(self.copies.len())];
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
        self.ids[participant] = self.next_id;
        self.participants[participant] =
            LeaseParticipant::new(self.next_id, Simulation::<V>::options());
        self.is_released[participant] = false;
        self.next_id += 1;
        // A new process hears from the others which lease is held.
        self.known_eras[participant] = 0;
        self.learn_era(participant, self.era);
    }

    fn tick(&mut self, participant: usize) {
        let now_ms = self.clock_ms(participant);
        let command = self.participants[participant].tick(now_ms);
        self.send(participant, command);
    }

    fn respond_now(&mut self, participant: usize) {
        let Some(response) = self.take_effect(participant) else { return };
        let Some(request) = self.requests[participant] else { return };
        let known = self.known_eras[participant];
        self.learn_era(participant, request.era);
        let is_write = matches!(request.command, LeaseCommand::Write { .. });
        let response = match request.era.cmp(&known) {
            Ordering::Less => StoreResponse::Ambiguous,
            // The condition is of an earlier history.
            Ordering::Greater if is_write => StoreResponse::Conflict,
            _ => response,
        };
        self.respond(participant, response);
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

    fn check_acting(&mut self) {
        let acting: Vec<(usize, FencingNumber)> = (0..PARTICIPANTS)
            .filter_map(|h| {
                let now_ms = self.clock_ms(h);
                Some((h, self.participants[h].active_fencing_number(now_ms)?))
            })
            .collect();
        assert!(acting.len() <= 1, "two active participants: {acting:?}");
        let Some((holder, number)) = acting.first().copied() else { return };
        let id = self.ids[holder];
        let first = *self.terms.entry(number).or_insert(id);
        assert!(first == id, "a number was given out twice");
        if V::HAS_RESTORES {
            return;
        }
        if let Some(row) = self.row {
            assert!(
                number <= row.fencing_number,
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
                if !V::HAS_RESTORES && !simulation.orders.is_empty() {
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
            Event::Restore { copy } if V::HAS_RESTORES => {
                simulation.restore(copy);
            }
            Event::LearnEra { participant } => {
                simulation.learn_era(participant, simulation.era);
            }
            Event::Restore { .. } => {}
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
fn invariants_hold_while_the_table_service_is_restored() {
    assert_eq!(support::find_failure::<Invariants<Restored>>(), None);
}

#[test]
fn unnoticed_restore_is_detected() {
    let why =
        support::find_failure_of_faulty::<Invariants<RestoreUnnoticed>>();
    assert!(why.contains("two active participants"), "{why}");
}

#[test]
fn repeated_numbers_are_detected() {
    let why = support::find_failure_of_faulty::<Invariants<NumbersRepeated>>();
    // Rows of two histories cannot be told apart either.
    let is_expected = why.contains("a number was given out twice")
        || why.contains("two active participants");
    assert!(is_expected, "{why}");
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
