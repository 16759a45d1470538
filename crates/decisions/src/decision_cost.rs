//! Candidates and time per decision, by fleet size.
//!
//! The number of candidates that a choice evaluates is the same on every
//! machine. Times are from the real clock, and only their ratios within one
//! run are comparable: the fleets are measured in alternation, so that a busy
//! machine slows all of them.

use std::{hint::black_box, time::Instant};

use chestnutreach_routing::{
    BackendIndex, BackendSpec, ChainRequest, Chooser, Fleet, LiveState,
    LoadReport, Network, Policy, Presence, RequestShape, explain,
};
use hdrhistogram::Histogram;
use serde::Serialize;

use crate::text;

/// Number of servers of each measured fleet.
pub const FLEET_SIZES: [usize; 3] = [50, 500, 1_100];

const LAYER_COUNT: u32 = 80;
const DATA_CENTRE_COUNT: u32 = 3;
const ROUNDS: usize = 40;
const DECISIONS_PER_ROUND: usize = 500;
const NOW_MS: u64 = 1_000_000;
const SEED: u64 = 11;
const MAX_RUNNING: u32 = 32;
/// Layer ranges of three partitions; servers get them in round-robin order.
const LAYER_RANGES: [(u32, u32); 9] = [
    (0, 40),
    (40, 80),
    (0, 20),
    (20, 40),
    (40, 60),
    (60, 80),
    (0, 27),
    (27, 54),
    (54, 80),
];
/// Price per hour in micros, prompt and output tokens per second.
const ACCELERATOR_KINDS: [(u64, u32, u32); 4] = [
    (600_000, 2_500, 500),
    (1_100_000, 6_000, 1_300),
    (2_400_000, 14_000, 2_400),
    (1_000_000, 3_000, 700),
];

/// Candidates per decision at one fleet size.
#[derive(Clone, Debug, Serialize)]
pub struct WorkRow {
    /// Number of backend servers.
    pub servers: usize,
    /// Mean number of servers that a choice evaluates.
    pub looked_at: f64,
    /// Mean cost of the chosen chains over that of a full scan.
    pub cost_times_full_scan: f64,
}

/// Time per decision at one fleet size, on the real clock.
#[derive(Clone, Debug, Serialize)]
pub struct TimeRow {
    /// Number of backend servers.
    pub servers: usize,
    /// Median time of a decision, clock overhead included.
    pub median_ns: u64,
    /// 99th percentile of the time of a decision, clock overhead included.
    pub p99_ns: u64,
    /// Median over that of the smallest fleet.
    pub median_times: f64,
    /// 99th percentile over that of the smallest fleet.
    pub p99_times: f64,
    /// Mean cost of the chosen chains over that of a full scan.
    pub cost_times_full_scan: f64,
}

struct Snapshot {
    fleet: Fleet,
    live: LiveState,
}

/// Measures the candidates per decision by fleet size.
pub fn rows() -> Vec<WorkRow> {
    FLEET_SIZES
        .iter()
        .map(|&servers| {
            let snapshot = snapshot(servers);
            let mut rng = fastrand::Rng::with_seed(SEED);
            let count = 200;
            let sum: usize =
                (0..count).map(|_| candidate_count(&snapshot, &mut rng)).sum();
            let looked_at = sum as f64 / f64::from(count);
            let mut chooser = Chooser::new();
            let mut times = histogram();
            let cost_times_full_scan =
                measure(&snapshot, &mut times, &mut chooser, &mut rng);
            WorkRow { servers, looked_at, cost_times_full_scan }
        })
        .collect()
}

fn candidate_count(snapshot: &Snapshot, rng: &mut fastrand::Rng) -> usize {
    let shape = shape(rng);
    let policy = Policy::default();
    let Snapshot { fleet, live } = snapshot;
    let request = ChainRequest::new(fleet, live, &shape, &policy, NOW_MS);
    let explanation = explain(&request, rng);
    explanation.candidates.len()
}

/// Measures the time per decision by fleet size.
pub fn times() -> Vec<TimeRow> {
    let snapshots = FLEET_SIZES.map(snapshot);
    let mut times = FLEET_SIZES.map(|_| histogram());
    let mut costs = [0.0; FLEET_SIZES.len()];
    let mut chooser = Chooser::new();
    let mut rng = fastrand::Rng::with_seed(SEED);
    for _ in 0..ROUNDS {
        for (at, snapshot) in snapshots.iter().enumerate() {
            let times = &mut times[at];
            costs[at] += measure(snapshot, times, &mut chooser, &mut rng);
        }
    }
    let median = |h: &Histogram<u64>| h.value_at_quantile(0.5);
    let p99 = |h: &Histogram<u64>| h.value_at_quantile(0.99);
    let base = (median(&times[0]) as f64, p99(&times[0]) as f64);
    (0..FLEET_SIZES.len())
        .map(|at| TimeRow {
            servers: FLEET_SIZES[at],
            median_ns: median(&times[at]),
            p99_ns: p99(&times[at]),
            median_times: median(&times[at]) as f64 / base.0,
            p99_times: p99(&times[at]) as f64 / base.1,
            cost_times_full_scan: costs[at] / ROUNDS as f64,
        })
        .collect()
}

/// Records the decision times of a round and returns the cost of its
/// chains over that of a full scan.
fn measure(
    snapshot: &Snapshot,
    times: &mut Histogram<u64>,
    chooser: &mut Chooser,
    rng: &mut fastrand::Rng,
) -> f64 {
    let policy = Policy::default();
    let (mut sampled, mut scanned) = (0.0, 0.0);
    let Snapshot { fleet, live } = snapshot;
    for at in 0..DECISIONS_PER_ROUND {
        let shape = shape(rng);
        let avoid = [BackendIndex((at % fleet.len()) as u32)];
        let request = ChainRequest::new(fleet, live, &shape, &policy, NOW_MS)
            .avoid(&avoid);
        let start = Instant::now();
        let choice = chooser.choose(&request, rng);
        let elapsed = start.elapsed();
        sampled += black_box(choice).expect("a chain").cost;
        // `saturating_record` would clamp instead of resizing the histogram.
        times
            .record(elapsed.as_nanos() as u64)
            .expect("an auto-resizing histogram accepts any value");
        let choice = chooser.choose_by_full_scan(&request, rng);
        scanned += choice.expect("a chain").cost;
    }
    sampled / scanned
}

fn histogram() -> Histogram<u64> {
    Histogram::new(3).expect("three significant digits are valid")
}

fn shape(rng: &mut fastrand::Rng) -> RequestShape {
    RequestShape::new(rng.u32(50..2_000), rng.u32(20..400))
        .deadline_ms(600_000)
        .prefix(rng.u64(..))
}

fn snapshot(servers: usize) -> Snapshot {
    let specs = (0..servers).map(spec).collect();
    let network = Network::new(DATA_CENTRE_COUNT);
    let fleet = Fleet::try_new(LAYER_COUNT, specs, network).expect("valid");
    let live = LiveState::new(fleet.len());
    let mut rng = fastrand::Rng::with_seed(SEED);
    for index in fleet.indices() {
        live.set_presence(index, Presence::Serving);
        live.record_report(index, &report(&mut rng), NOW_MS);
    }
    Snapshot { fleet, live }
}

fn spec(at: usize) -> BackendSpec {
    let (first_layer, end_layer) = LAYER_RANGES[at % LAYER_RANGES.len()];
    let kind =
        ACCELERATOR_KINDS[at / LAYER_RANGES.len() % ACCELERATOR_KINDS.len()];
    BackendSpec {
        name: format!("server-{at}"),
        data_centre: at as u32 % DATA_CENTRE_COUNT,
        first_layer,
        end_layer,
        price_micros_per_hour: kind.0,
        prompt_tokens_per_s: kind.1,
        output_tokens_per_s: kind.2,
        max_running: MAX_RUNNING,
        cache_tokens: 400_000,
    }
}

fn report(rng: &mut fastrand::Rng) -> LoadReport {
    LoadReport {
        running: rng.u32(0..MAX_RUNNING),
        queued: rng.u32(0..4),
        pending_tokens: rng.u64(0..20_000),
        cache_used_permille: rng.u32(0..900),
        is_healthy: true,
        queue_wait_ms: rng.u32(0..200),
        ..LoadReport::default()
    }
}

/// The decision times as a table.
pub fn table(rows: &[TimeRow]) -> String {
    let mut table = text::head(&[
        "servers",
        "median ns",
        "p99 ns",
        "median x",
        "p99 x",
        "cost over full scan",
    ]);
    for row in rows {
        table.push_str(&format!(
            "| {} | {} | {} | {:.2} | {:.2} | {:.3} |\n",
            row.servers,
            row.median_ns,
            row.p99_ns,
            row.median_times,
            row.p99_times,
            row.cost_times_full_scan,
        ));
    }
    table
}
