//! Chains cover all layers exactly, through servers that the request may use.

mod common;

use chestnutreach_routing::{
    BackendIndex, BackendSpec, ChainRequest, Choice, Chooser, Fleet,
    FleetFinding, LiveState, Network, NoChain, NoChainReason, Policy,
    Presence, Priority, RequestOutcome, RequestShape, choose, explain,
};
use common::{NOW_MS, fleet, numbered, report, serving, spec};
use proptest::prelude::*;
use rstest::rstest;

const CHOICES: usize = 200;

fn choose_chain(
    fleet: &Fleet,
    live: &LiveState,
    shape: &RequestShape,
    policy: &Policy,
    avoid: &[BackendIndex],
    seed: u64,
) -> Result<Choice, NoChain> {
    let mut rng = fastrand::Rng::with_seed(seed);
    let request =
        ChainRequest::new(fleet, live, shape, policy, NOW_MS).avoid(avoid);
    choose(&request, &mut rng)
}

/// Counts for each server how many chains it is part of, over many seeds.
fn counts(fleet: &Fleet, live: &LiveState, policy: &Policy) -> Vec<usize> {
    let shape = RequestShape::new(500, 100);
    let mut counts = vec![0; fleet.len()];
    for seed in 0..CHOICES as u64 {
        let choice = choose_chain(fleet, live, &shape, policy, &[], seed);
        for stage in choice.expect("a chain").stages {
            counts[stage.0 as usize] += 1;
        }
    }
    counts
}

#[derive(Clone, Debug)]
struct Server {
    first_layer: u32,
    end_layer: u32,
    presence: Presence,
    is_avoided: bool,
    is_suspect: bool,
}

impl Server {
    fn is_usable(&self) -> bool {
        let is_present =
            !matches!(self.presence, Presence::Absent | Presence::Leaving);
        is_present && !self.is_avoided
    }
}

fn presence() -> impl Strategy<Value = Presence> {
    prop_oneof![
        4 => Just(Presence::Serving),
        1 => Just(Presence::Joining { since_ms: NOW_MS - 10 }),
        1 => Just(Presence::Absent),
        1 => Just(Presence::Leaving),
    ]
}

fn server(layers: u32) -> impl Strategy<Value = Server> {
    let flags = (any::<bool>(), prop::bool::weighted(0.1));
    (0..layers, 1..=layers, presence(), flags).prop_map(
        move |(first_layer, length, presence, (is_suspect, is_avoided))| {
            let end_layer = (first_layer + length).min(layers);
            Server { first_layer, end_layer, presence, is_avoided, is_suspect }
        },
    )
}

fn servers() -> impl Strategy<Value = (u32, Vec<Server>)> {
    (1..7_u32).prop_flat_map(|layers| {
        (Just(layers), prop::collection::vec(server(layers), 0..60))
    })
}

fn chain_exists(layers: u32, servers: &[Server]) -> bool {
    let mut is_reached = vec![false; layers as usize + 1];
    is_reached[0] = true;
    for at in 0..layers as usize {
        for server in servers.iter().filter(|s| s.is_usable()) {
            if server.first_layer as usize == at && is_reached[at] {
                is_reached[server.end_layer as usize] = true;
            }
        }
    }
    is_reached[layers as usize]
}

fn build(layers: u32, servers: &[Server]) -> (Fleet, LiveState) {
    let ranges: Vec<(u32, u32)> =
        servers.iter().map(|s| (s.first_layer, s.end_layer)).collect();
    let fleet = fleet(layers, numbered(&ranges));
    let live = LiveState::new(fleet.len());
    for (index, server) in fleet.indices().zip(servers) {
        live.set_presence(index, server.presence);
        for _ in 0..3 * u32::from(server.is_suspect) {
            live.record_dispatch(index, 10, NOW_MS);
            live.record_outcome(index, 10, &RequestOutcome::Failed, NOW_MS);
        }
    }
    (fleet, live)
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 400,
        failure_persistence: None,
        rng_seed: prop::test_runner::RngSeed::Fixed(3),
        ..ProptestConfig::default()
    })]

    #[test]
    fn chain_covers_all_layers_and_is_found_if_one_exists(
        (layers, servers) in servers(),
        seed in any::<u64>(),
        sample_count in 1..8_u32,
    ) {
        let (fleet, live) = build(layers, &servers);
        let avoid: Vec<BackendIndex> = fleet
            .indices()
            .filter(|i| servers[i.0 as usize].is_avoided)
            .collect();
        let policy = Policy::default().sample_count(sample_count);
        let shape = RequestShape::new(100, 10).prefix(seed);
        // The explanation comes first, because a choice affects later ones.
        let mut rng = fastrand::Rng::with_seed(seed);
        let request =
            ChainRequest::new(&fleet, &live, &shape, &policy, NOW_MS);
        let explanation = explain(&request.avoid(&avoid), &mut rng);
        let result =
            choose_chain(&fleet, &live, &shape, &policy, &avoid, seed);
        prop_assert_eq!(result.is_ok(), chain_exists(layers, &servers));
        let Ok(choice) = result else { return Ok(()) };
        let mut layer = 0;
        for stage in &choice.stages {
            let server = &servers[stage.0 as usize];
            prop_assert_eq!(server.first_layer, layer);
            prop_assert!(server.is_usable());
            layer = server.end_layer;
        }
        prop_assert_eq!(layer, layers);
        prop_assert!(choice.first_token_ms <= choice.total_ms);

        let names: Vec<String> = choice
            .stages
            .iter()
            .map(|&i| fleet.spec(i).name.clone())
            .collect();
        prop_assert_eq!(explanation.stages, names);
    }
}

struct NoChainCase {
    presence: [Presence; 2],
    avoid: &'static [u32],
    deadline_ms: u64,
    expected: fn(&NoChainReason) -> bool,
}

#[rstest]
#[case::all_absent(NoChainCase {
    presence: [Presence::Absent; 2],
    avoid: &[],
    deadline_ms: u64::MAX,
    expected: |r| *r == NoChainReason::NoCandidate { first_layer: 0 },
})]
#[case::upper_server_draining(NoChainCase {
    presence: [Presence::Serving, Presence::Leaving],
    avoid: &[],
    deadline_ms: u64::MAX,
    expected: |r| *r == NoChainReason::NoCandidate { first_layer: 4 },
})]
#[case::upper_server_avoided(NoChainCase {
    presence: [Presence::Serving; 2],
    avoid: &[1],
    deadline_ms: u64::MAX,
    expected: |r| *r == NoChainReason::AllAvoided,
})]
#[case::deadline_too_short(NoChainCase {
    presence: [Presence::Serving; 2],
    avoid: &[],
    deadline_ms: 10,
    expected: |r| matches!(
        r,
        NoChainReason::TooLate { needed_ms } if *needed_ms > 10
    ),
})]
fn missing_chain_reports_its_reason(#[case] case: NoChainCase) {
    let fleet = fleet(8, numbered(&[(0, 4), (4, 8)]));
    let live = LiveState::new(2);
    for (index, presence) in fleet.indices().zip(case.presence) {
        live.set_presence(index, presence);
    }
    let avoid: Vec<_> = case.avoid.iter().map(|&i| BackendIndex(i)).collect();
    let shape = RequestShape::new(500, 100).deadline_ms(case.deadline_ms);
    let policy = Policy::default();
    let error =
        choose_chain(&fleet, &live, &shape, &policy, &avoid, 1).unwrap_err();
    assert!((case.expected)(&error.reason), "{error}");
    assert!(error.retry_after_ms > 0);
}

#[test]
fn suspect_servers_are_used_only_without_alternatives() {
    let fleet = fleet(0, numbered(&[(0, 0); 20]));
    let live = serving(&fleet, 2);
    let fail = |index| {
        for _ in 0..3 {
            live.record_dispatch(index, 10, NOW_MS);
            live.record_outcome(index, 10, &RequestOutcome::Failed, NOW_MS);
        }
    };
    let last = BackendIndex(19);
    fleet.indices().filter(|&i| i != last).for_each(fail);
    let policy = Policy::default();
    assert_eq!(counts(&fleet, &live, &policy)[19], CHOICES);
    fail(last);
    assert!(!live.is_eligible(last, NOW_MS));
    let spread = counts(&fleet, &live, &policy);
    assert!(spread.iter().filter(|&&count| count > 0).count() > 10);
}

#[test]
fn server_with_a_stale_report_does_not_attract_requests() {
    let fleet = fleet(0, numbered(&[(0, 0); 6]));
    let live = serving(&fleet, 8);
    let later_ms = NOW_MS + 60_000;
    // Servers 0 and 1 have stale reports; server 0 reported no load. The
    // reports of the others are recent.
    live.record_report(BackendIndex(0), &report(0), NOW_MS);
    let recent: Vec<_> = fleet.indices().skip(2).collect();
    recent.iter().for_each(|&i| live.record_report(i, &report(8), later_ms));
    let mut rng = fastrand::Rng::with_seed(5);
    let mut counts = [0; 6];
    for _ in 0..600 {
        let shape = RequestShape::new(500, 100);
        let policy = Policy::default();
        let request =
            ChainRequest::new(&fleet, &live, &shape, &policy, later_ms);
        let choice = choose(&request, &mut rng);
        counts[choice.expect("a chain").stages[0].0 as usize] += 1;
    }
    assert!(counts[0] < 2 * 600 / 6, "{counts:?}");
}

struct WeightCase {
    recovery_weight_percent: u32,
    expected: &'static [u32],
}

#[rstest]
#[case::throughput(WeightCase {
    recovery_weight_percent: 0,
    expected: &[1, 2, 3, 4],
})]
#[case::recovery(WeightCase {
    recovery_weight_percent: 100,
    expected: &[0],
})]
fn recovery_weight_trades_price_for_fewer_stages(#[case] case: WeightCase) {
    let ranges = [(0, 8), (0, 2), (2, 4), (4, 6), (6, 8)];
    let mut specs = numbered(&ranges);
    specs[0].price_micros_per_hour *= 4;
    let fleet = fleet(8, specs);
    let live = serving(&fleet, 4);
    let percent = case.recovery_weight_percent;
    let policy = Policy::default().recovery_weight_percent(percent);
    let shape = RequestShape::new(500, 100);
    let choice =
        choose_chain(&fleet, &live, &shape, &policy, &[], 3).expect("chain");
    let stages: Vec<u32> = choice.stages.iter().map(|i| i.0).collect();
    assert_eq!(stages, case.expected);
}

#[test]
fn expensive_server_is_used_if_the_cheap_one_misses_the_deadline() {
    let mut cheap = spec("cheap", 0, 8);
    cheap.output_tokens_per_s = 160;
    let mut fast = spec("fast", 0, 8);
    fast.price_micros_per_hour *= 100;
    let fleet = fleet(8, vec![cheap, fast]);
    let live = serving(&fleet, 4);
    let policy = Policy::default().recovery_weight_percent(0);
    let shape = RequestShape::new(500, 100).priority(Priority::Low);
    let stages = |shape: &RequestShape| {
        choose_chain(&fleet, &live, shape, &policy, &[], 3)
            .expect("chain")
            .stages
    };
    assert_eq!(stages(&shape), [BackendIndex(0)]);
    assert_eq!(stages(&shape.deadline_ms(2_000)), [BackendIndex(1)]);
}

#[test]
fn slow_link_is_avoided() {
    let mut specs = numbered(&[(0, 4), (4, 8), (4, 8)]);
    specs[1].data_centre = 1;
    let mut network = Network::new(2);
    network.set_path(0, 1, 20_000, 100);
    let fleet = Fleet::try_new(8, specs, network).expect("a fleet");
    let live = serving(&fleet, 4);
    assert_eq!(
        counts(&fleet, &live, &Policy::default()),
        [CHOICES, 0, CHOICES]
    );
}

#[test]
fn requests_with_the_same_prefix_share_a_server() {
    let fleet = fleet(0, numbered(&[(0, 0); 200]));
    let live = serving(&fleet, 2);
    let mut rng = fastrand::Rng::with_seed(9);
    let mut chooser = Chooser::new();
    let shape = RequestShape::new(4_000, 20).prefix(77);
    let policy = Policy::default();
    let mut counts = std::collections::BTreeMap::new();
    for _ in 0..50 {
        let request =
            ChainRequest::new(&fleet, &live, &shape, &policy, NOW_MS);
        let choice = chooser.choose(&request, &mut rng).expect("a chain");
        live.record_prefix(choice.stages[0], 77);
        *counts.entry(choice.stages[0]).or_insert(0) += 1;
    }
    let max = counts.values().max().copied().unwrap_or(0);
    assert!(max >= 25, "{counts:?}");
}

#[test]
fn new_generation_keeps_state_of_remaining_servers() {
    let old = fleet(0, numbered(&[(0, 0); 3]));
    let live = serving(&old, 5);
    live.record_dispatch(BackendIndex(2), 100, NOW_MS);
    let specs = vec![spec("new", 0, 0), spec("server-2", 0, 0)];
    let new = fleet(0, specs);
    let next = live.carry_over(&old, &new);
    assert_eq!(next.presence(BackendIndex(0)), Presence::Absent);
    assert_eq!(next.presence(BackendIndex(1)), Presence::Serving);
    assert_eq!(next.in_flight(BackendIndex(1)), 1);
    // The request ends under the generation under which it was sent.
    live.record_outcome(
        BackendIndex(2),
        100,
        &RequestOutcome::Cancelled,
        NOW_MS,
    );
    assert_eq!(next.in_flight(BackendIndex(1)), 0);
    assert_eq!(live.presence(BackendIndex(0)), Presence::Absent);
}

#[test]
fn server_replaced_under_the_same_name_starts_absent() {
    let old = fleet(0, numbered(&[(0, 0); 2]));
    let live = serving(&old, 5);
    live.record_dispatch(BackendIndex(0), 100, NOW_MS);
    live.record_dispatch(BackendIndex(1), 100, NOW_MS);
    let new = fleet(0, numbered(&[(0, 0); 2]));
    let next = live.carry_over_where(&old, &new, |name| name != "server-0");
    assert_eq!(next.presence(BackendIndex(0)), Presence::Absent);
    assert_eq!(next.in_flight(BackendIndex(0)), 0);
    assert_eq!(live.presence(BackendIndex(0)), Presence::Absent);
    assert_eq!(next.presence(BackendIndex(1)), Presence::Serving);
    assert_eq!(next.in_flight(BackendIndex(1)), 1);
}

#[test]
fn fleet_error_lists_all_findings() {
    let mut specs: Vec<BackendSpec> = numbered(&[(0, 4), (4, 9), (3, 3)]);
    specs[0].data_centre = 7;
    specs[1].max_running = 0;
    specs[2].name = "server-0".to_string();
    let error = Fleet::try_new(8, specs, Network::new(1)).unwrap_err();
    let is = |f: fn(&FleetFinding) -> bool| error.findings.iter().any(f);
    assert!(is(|f| matches!(f, FleetFinding::DataCentre { .. })));
    assert!(is(|f| matches!(f, FleetFinding::MaxRunning { .. })));
    assert!(is(|f| matches!(f, FleetFinding::DuplicateName { .. })));
    assert!(is(|f| matches!(f, FleetFinding::LayerRange { .. })));
    assert_eq!(error.findings.len(), 5, "{error}");
}
