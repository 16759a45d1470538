//! Measures the time of a chain choice by the size of the fleet.
//!
//! `cargo run --release -p chestnutreach-routing --example decision_time`
//!
//! The measurements alternate between the fleet sizes, so that their ratios
//! are valid on a busy machine too. Each time is that of a single choice, in
//! nanoseconds, and includes one reading of the clock. In "half out", half of
//! the servers are absent. The mean cost shows how much worse the chains of
//! sampling are than those of a full scan.

use std::{hint::black_box, time::Instant};

use chestnutreach_routing::{
    BackendIndex, BackendSpec, ChainRequest, Chooser, Fleet, LiveState,
    LoadReport, Network, Policy, Presence, RequestShape,
};

const FLEET_SIZES: [usize; 3] = [50, 500, 1_100];
const LAYER_COUNT: u32 = 80;
const DATA_CENTRE_COUNT: u32 = 3;
const ROUNDS: usize = 40;
const DECISIONS_PER_ROUND: usize = 500;
const NOW_MS: u64 = 1_000_000;
/// Splits of the layers into ranges; servers take the ranges in turn.
const LAYER_SPLITS: [&[u32]; 4] =
    [&[0, 40, 80], &[0, 20, 40, 60, 80], &[0, 27, 54, 80], &[0, 40, 60, 80]];

#[derive(Clone, Copy)]
struct Variant {
    name: &'static str,
    uses_full_scan: bool,
    has_half_absent: bool,
}

const VARIANTS: [Variant; 3] = [
    Variant { name: "sampled", uses_full_scan: false, has_half_absent: false },
    Variant { name: "half out", uses_full_scan: false, has_half_absent: true },
    Variant {
        name: "full scan",
        uses_full_scan: true,
        has_half_absent: false,
    },
];

/// A type of accelerator.
struct Accelerator {
    price_micros_per_hour: u64,
    prompt_tokens_per_s: u32,
    output_tokens_per_s: u32,
}

const ACCELERATORS: [Accelerator; 4] = [
    Accelerator {
        price_micros_per_hour: 600_000,
        prompt_tokens_per_s: 2_500,
        output_tokens_per_s: 500,
    },
    Accelerator {
        price_micros_per_hour: 1_100_000,
        prompt_tokens_per_s: 6_000,
        output_tokens_per_s: 1_300,
    },
    Accelerator {
        price_micros_per_hour: 2_400_000,
        prompt_tokens_per_s: 14_000,
        output_tokens_per_s: 2_400,
    },
    Accelerator {
        price_micros_per_hour: 1_000_000,
        prompt_tokens_per_s: 3_000,
        output_tokens_per_s: 700,
    },
];

struct Case {
    variant: Variant,
    size: usize,
    fleet: Fleet,
    live: LiveState,
    times_ns: Vec<u64>,
    cost_sum: f64,
}

fn main() {
    let mut rng = fastrand::Rng::with_seed(11);
    let mut chooser = Chooser::new();
    print_header();
    for variant in VARIANTS {
        let mut cases = FLEET_SIZES.map(|size| case(variant, size, &mut rng));
        for _ in 0..ROUNDS {
            for case in &mut cases {
                measure(case, &mut chooser, &mut rng);
            }
        }
        print(&mut cases);
    }
}

fn case(variant: Variant, size: usize, rng: &mut fastrand::Rng) -> Case {
    let specs = (0..size).map(spec).collect();
    let network = Network::new(DATA_CENTRE_COUNT);
    let fleet = Fleet::try_new(LAYER_COUNT, specs, network).expect("valid");
    let live = LiveState::new(fleet.len());
    for index in fleet.indices() {
        // Every other round over the ranges is absent, so that each range
        // keeps some servers.
        let round = index.0 as usize / range_count();
        let is_absent = variant.has_half_absent && !round.is_multiple_of(2);
        if !is_absent {
            live.set_presence(index, Presence::Serving);
        }
        live.record_report(index, &report(&fleet, index, rng), NOW_MS);
    }
    Case { variant, size, fleet, live, times_ns: Vec::new(), cost_sum: 0.0 }
}

fn range_count() -> usize {
    LAYER_SPLITS.iter().map(|split| split.len() - 1).sum()
}

fn spec(at: usize) -> BackendSpec {
    let ranges: Vec<(u32, u32)> = LAYER_SPLITS
        .iter()
        .flat_map(|split| split.windows(2).map(|range| (range[0], range[1])))
        .collect();
    let (first_layer, end_layer) = ranges[at % ranges.len()];
    let accelerator = &ACCELERATORS[at / ranges.len() % ACCELERATORS.len()];
    BackendSpec {
        name: format!("server-{at}"),
        data_centre: at as u32 % DATA_CENTRE_COUNT,
        first_layer,
        end_layer,
        price_micros_per_hour: accelerator.price_micros_per_hour,
        prompt_tokens_per_s: accelerator.prompt_tokens_per_s,
        output_tokens_per_s: accelerator.output_tokens_per_s,
        max_running: 32,
        cache_tokens: 400_000,
    }
}

/// A load report whose speeds are within 20 % of the configured estimates.
fn report(
    fleet: &Fleet,
    index: BackendIndex,
    rng: &mut fastrand::Rng,
) -> LoadReport {
    let spec = fleet.spec(index);
    let layers = (spec.end_layer - spec.first_layer) as f32;
    let speed_up = LAYER_COUNT as f32 / layers;
    let mut measured = |configured: u32| {
        configured as f32 * speed_up * (0.8 + 0.4 * rng.f32())
    };
    LoadReport {
        prompt_tokens_per_s: measured(spec.prompt_tokens_per_s),
        output_tokens_per_s: measured(spec.output_tokens_per_s),
        running: rng.u32(0..32),
        queued: rng.u32(0..4),
        pending_tokens: rng.u64(0..20_000),
        cache_used_permille: rng.u32(0..900),
        is_healthy: true,
        queue_wait_ms: rng.u32(0..200),
    }
}

fn measure(case: &mut Case, chooser: &mut Chooser, rng: &mut fastrand::Rng) {
    let policy = Policy::default();
    for at in 0..DECISIONS_PER_ROUND {
        let shape = RequestShape::new(rng.u32(50..2_000), rng.u32(20..400))
            .deadline_ms(600_000)
            .prefix(rng.u64(..));
        let avoid = [BackendIndex(at as u32 % case.size as u32)];
        let choose = if case.variant.uses_full_scan {
            Chooser::choose_by_full_scan
        } else {
            Chooser::choose
        };
        let start = Instant::now();
        let request = ChainRequest::new(
            &case.fleet,
            &case.live,
            &shape,
            &policy,
            NOW_MS,
        )
        .avoid(&avoid);
        let choice = choose(chooser, &request, rng);
        let elapsed = start.elapsed();
        case.cost_sum += black_box(choice).expect("a chain").cost;
        case.times_ns.push(elapsed.as_nanos() as u64);
    }
}

fn print_header() {
    println!(
        "{:>10} {:>8} {:>10} {:>10} {:>8} {:>8} {:>9}",
        "way",
        "servers",
        "median ns",
        "p99 ns",
        "median x",
        "p99 x",
        "mean cost"
    );
}

fn print(cases: &mut [Case]) {
    let mut base = (1.0, 1.0);
    for case in cases {
        case.times_ns.sort_unstable();
        let median = quantile(&case.times_ns, 0.5);
        let p99 = quantile(&case.times_ns, 0.99);
        if case.size == FLEET_SIZES[0] {
            base = (median as f64, p99 as f64);
        }
        println!(
            "{:>10} {:>8} {:>10} {:>10} {:>8.2} {:>8.2} {:>9.0}",
            case.variant.name,
            case.size,
            median,
            p99,
            median as f64 / base.0,
            p99 as f64 / base.1,
            case.cost_sum / case.times_ns.len() as f64,
        );
    }
}

fn quantile(sorted: &[u64], share: f64) -> u64 {
    sorted[((sorted.len() - 1) as f64 * share) as usize]
}
