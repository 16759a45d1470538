//! The generation of a node never decreases while the node runs, and after a
//! restart it is at least that of the polled peers.

mod support;

use std::marker::PhantomData;

use chestnutreach_state::{
    GenerationGate, NextGeneration, StartupDecision, StartupPoll,
};
use proptest::prelude::*;
use proptest_state_machine::{ReferenceStateMachine, StateMachineTest};
use rstest::rstest;

const MAX_GENERATION: u64 = 6;

#[derive(Clone, Debug)]
enum Event {
    Observe(u64),
    BeginFetch,
    FetchSucceeded(u64),
    FetchFailed(u64),
    Abandon(u64),
    PutInForce(u64),
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
        let generation = || 1..=MAX_GENERATION;
        prop_oneof![
            generation().prop_map(Event::Observe),
            Just(Event::BeginFetch),
            generation().prop_map(Event::FetchSucceeded),
            generation().prop_map(Event::FetchFailed),
            generation().prop_map(Event::Abandon),
            generation().prop_map(Event::PutInForce),
        ]
        .boxed()
    }

    fn apply(state: NoReference, _: &Event) -> NoReference {
        state
    }
}

/// A node under test.
trait Node: Default {
    fn apply(&mut self, event: &Event);
    fn in_force(&self) -> Option<u64>;
}

impl Node for GenerationGate {
    fn apply(&mut self, event: &Event) {
        match event {
            Event::Observe(generation) => {
                self.observe(*generation);
            }
            Event::BeginFetch => {
                self.begin_fetch();
            }
            Event::FetchSucceeded(generation) => {
                self.fetch_succeeded(*generation);
            }
            Event::FetchFailed(generation) => self.fetch_failed(*generation),
            Event::Abandon(generation) => self.abandon(*generation),
            Event::PutInForce(generation) => {
                self.put_in_force(*generation);
            }
        }
    }

    fn in_force(&self) -> Option<u64> {
        GenerationGate::in_force(self)
    }
}

/// Deliberate fault: puts the generation that was fetched last in force.
#[derive(Default)]
struct LastFetched {
    highest_observed: u64,
    in_force: Option<u64>,
}

impl Node for LastFetched {
    fn apply(&mut self, event: &Event) {
        match event {
            Event::Observe(generation) => {
                self.highest_observed = self.highest_observed.max(*generation);
            }
            Event::FetchSucceeded(generation)
                if *generation <= self.highest_observed =>
            {
                self.in_force = Some(*generation);
            }
            _ => {}
        }
    }

    fn in_force(&self) -> Option<u64> {
        self.in_force
    }
}

#[derive(Default)]
struct Observed<N> {
    node: N,
    highest_observed: Option<u64>,
}

struct Invariant<N>(PhantomData<N>);

impl<N: Node> StateMachineTest for Invariant<N> {
    type SystemUnderTest = Observed<N>;
    type Reference = NoReference;

    fn init_test(_: &NoReference) -> Observed<N> {
        Observed::default()
    }

    fn apply(
        mut observed: Observed<N>,
        _: &NoReference,
        event: Event,
    ) -> Observed<N> {
        if let Event::Observe(generation) = event {
            observed.highest_observed =
                observed.highest_observed.max(Some(generation));
        }
        let before = observed.node.in_force();
        observed.node.apply(&event);
        let after = observed.node.in_force();
        assert!(after >= before, "decreased from {before:?} to {after:?}");
        assert!(after <= observed.highest_observed, "not observed: {after:?}");
        observed
    }
}

#[test]
fn generation_never_decreases() {
    assert_eq!(support::find_failure::<Invariant<GenerationGate>>(), None);
}

#[test]
fn using_the_last_fetched_generation_is_detected() {
    let why = support::find_failure_of_faulty::<Invariant<LastFetched>>();
    assert!(why.contains("decreased from"), "{why}");
}

struct Case {
    events: &'static [Event],
    in_force: Option<u64>,
    next: NextGeneration,
}

#[rstest]
#[case::known(Case {
    events: &[Event::Observe(3)],
    in_force: None,
    next: NextGeneration::Known(3),
})]
#[case::fetching(Case {
    events: &[Event::Observe(3), Event::BeginFetch],
    in_force: None,
    next: NextGeneration::Fetching(3),
})]
#[case::checked(Case {
    events: &[Event::Observe(3), Event::BeginFetch, Event::FetchSucceeded(3)],
    in_force: None,
    next: NextGeneration::Checked(3),
})]
#[case::in_force(Case {
    events: &[Event::Observe(3), Event::BeginFetch, Event::FetchSucceeded(3),
        Event::PutInForce(3)],
    in_force: Some(3),
    next: NextGeneration::Unknown,
})]
#[case::unchecked(Case {
    events: &[Event::Observe(3), Event::BeginFetch, Event::PutInForce(3)],
    in_force: None,
    next: NextGeneration::Fetching(3),
})]
#[case::fetch_failed(Case {
    events: &[Event::Observe(3), Event::BeginFetch, Event::FetchFailed(3)],
    in_force: None,
    next: NextGeneration::Known(3),
})]
#[case::newer_during_the_fetch(Case {
    events: &[Event::Observe(3), Event::BeginFetch, Event::Observe(4),
        Event::FetchSucceeded(3), Event::PutInForce(3)],
    in_force: None,
    next: NextGeneration::Known(4),
})]
#[case::newer_after_the_check(Case {
    events: &[Event::Observe(3), Event::BeginFetch, Event::FetchSucceeded(3),
        Event::Observe(4), Event::PutInForce(3)],
    in_force: None,
    next: NextGeneration::Known(4),
})]
#[case::lower_one_after_abandoning(Case {
    events: &[Event::Observe(4), Event::BeginFetch, Event::Abandon(4),
        Event::Observe(3)],
    in_force: None,
    next: NextGeneration::Known(3),
})]
#[case::abandons_another_one(Case {
    events: &[Event::Observe(4), Event::Abandon(3)],
    in_force: None,
    next: NextGeneration::Known(4),
})]
#[case::not_below_the_one_in_force(Case {
    events: &[Event::Observe(3), Event::BeginFetch, Event::FetchSucceeded(3),
        Event::PutInForce(3), Event::Observe(4), Event::Abandon(4),
        Event::Observe(2)],
    in_force: Some(3),
    next: NextGeneration::Unknown,
})]
#[case::older_observed(Case {
    events: &[Event::Observe(3), Event::BeginFetch, Event::FetchSucceeded(3),
        Event::PutInForce(3), Event::Observe(2), Event::Observe(3)],
    in_force: Some(3),
    next: NextGeneration::Unknown,
})]
fn events_lead_to_state(#[case] case: Case) {
    let mut gate = GenerationGate::new();
    for event in case.events {
        gate.apply(event);
    }
    assert_eq!(gate.in_force(), case.in_force);
    assert_eq!(gate.next_generation(), case.next);
}

/// The generation that one polled process reports; the outer `None` stands
/// for a process that is down.
type PollResult = Option<Option<u64>>;

struct StartCase {
    /// `None` while the table service has not responded yet.
    store: Option<PollResult>,
    /// Results of the peers that have responded or failed, of three.
    peers: &'static [PollResult],
    outcome: StartupDecision,
}

#[rstest]
#[case::store_response_alone(StartCase {
    store: Some(Some(Some(5))),
    peers: &[],
    outcome: StartupDecision::Adopt(5),
})]
#[case::peer_ahead_of_store(StartCase {
    store: Some(Some(Some(5))),
    peers: &[Some(Some(6))],
    outcome: StartupDecision::Adopt(6),
})]
#[case::store_down_and_peers_pending(StartCase {
    store: Some(None),
    peers: &[Some(Some(6)), None],
    outcome: StartupDecision::Wait,
})]
#[case::store_pending(StartCase {
    store: None,
    peers: &[Some(Some(6)), None, Some(None)],
    outcome: StartupDecision::Wait,
})]
#[case::store_down(StartCase {
    store: Some(None),
    peers: &[Some(Some(6)), None, Some(Some(4))],
    outcome: StartupDecision::Adopt(6),
})]
#[case::all_failed(StartCase {
    store: Some(None),
    peers: &[None, None, None],
    outcome: StartupDecision::PollAgain,
})]
#[case::no_generation_reported(StartCase {
    store: Some(Some(None)),
    peers: &[Some(None), None, None],
    outcome: StartupDecision::PollAgain,
})]
fn restarted_node_adopts_the_highest_generation(#[case] case: StartCase) {
    let mut poll = StartupPoll::new(3);
    match case.store {
        Some(Some(generation)) => poll.store_responded(generation),
        Some(None) => poll.store_failed(),
        None => {}
    }
    for peer in case.peers {
        match peer {
            Some(generation) => poll.peer_responded(*generation),
            None => poll.peer_failed(),
        }
    }
    assert_eq!(poll.decision(), case.outcome);
}

/// A peer: its generation, whether it responds, and how many fetches from it
/// fail first.
type Peer = (u64, bool, usize);

/// Restarts a node while the table service is down. The node fetches from
/// peers that have the next generation.
fn restart(peers: &[Peer]) -> Option<u64> {
    let mut poll = StartupPoll::new(peers.len());
    poll.store_failed();
    for (generation, is_up, _) in peers {
        match is_up {
            true => poll.peer_responded(Some(*generation)),
            false => poll.peer_failed(),
        }
    }
    let mut gate = GenerationGate::new();
    if let StartupDecision::Adopt(generation) = poll.decision() {
        gate.observe(generation);
    }
    for (generation, is_up, failures) in peers {
        for round in 0..=*failures {
            let Some(next) = gate.begin_fetch() else { break };
            if *is_up && *generation == next && round == *failures {
                gate.fetch_succeeded(next);
                gate.put_in_force(next);
            } else {
                gate.fetch_failed(next);
            }
        }
    }
    gate.in_force()
}

proptest! {
    #![proptest_config(ProptestConfig {
        failure_persistence: None,
        // Use the same cases in every run.
        rng_seed: proptest::test_runner::RngSeed::Fixed(7),
        ..ProptestConfig::default()
    })]

    #[test]
    fn restarted_node_is_not_behind_polled_peers(
        peers in proptest::collection::vec(
            (1..=MAX_GENERATION, any::<bool>(), 0usize..3),
            1..6,
        )
    ) {
        let responses = peers.iter().filter(|(_, is_up, _)| *is_up);
        let highest = responses.map(|(generation, ..)| *generation).max();
        prop_assert!(restart(&peers) >= highest);
    }
}
