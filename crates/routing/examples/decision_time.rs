//! Time of one decision against the size of the fleet.
//!
//! `cargo run --release -p chestnutreach-routing --example decision_time`
//!
//! The fleets of a way are measured in turns, so that their ratios hold on a
//! busy machine too. Times are of single decisions, in nanoseconds, and
//! include one reading of the clock. "half out" has half of the servers
//! absent; the mean cost tells what sampling gives away against a full scan.

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
/// Cuts of the layers; servers take the parts of each cut in turn.
const SPLITS: [&[u32]; 4] =
    [&[0, 40, 80], &[0, 20, 40, 60, 80], &[0, 27, 54, 80], &[0, 40, 60, 80]];

#[derive(Clone, Copy)]
struct Way {
    name: &'static str,
    is_full_scan: bool,
    has_half_out: bool,
}

const WAYS: [Way; 3] = [
    Way { name: "sampled", is_full_scan: false, has_half_out: false },
    Way { name: "half out", is_full_scan: false, has_half_out: true },
    Way { name: "full scan", is_full_scan: true, has_half_out: false },
];

/// A kind of accelerator.
struct Kind {
    price_micros_per_hour: u64,
    prompt_tokens_per_s: u32,
    output_tokens_per_s: u32,
}

const KINDS: [Kind; 4] = [
    Kind {
        price_micros_per_hour: 600_000,
        prompt_tokens_per_s: 2_500,
        output_tokens_per_s: 500,
    },
    Kind {
        price_micros_per_hour: 1_100_000,
        prompt_tokens_per_s: 6_000,
        output_tokens_per_s: 1_300,
    },
    Kind {
        price_micros_per_hour: 2_400_000,
        prompt_tokens_per_s: 14_000,
        output_tokens_per_s: 2_400,
    },
    Kind {
        price_micros_per_hour: 1_000_000,
        prompt_tokens_per_s: 3_000,
        output_tokens_per_s: 700,
    },
];

struct Case {
    way: Way,
    size: usize,
    fleet: Fleet,
    live: LiveState,
    times_ns: Vec<u64>,
    cost_sum: f64,
}

fn main() {
    let mut rng = fastrand::Rng::with_seed(11);
    let mut chooser = Chooser::new();
    print_head();
    for way in WAYS {
        let mut cases = FLEET_SIZES.map(|size| case(way, size, &mut rng));
        for _ in 0..ROUNDS {
            for case in &mut cases {
                measure(case, &mut chooser, &mut rng);
            }
        }
        print(&mut cases);
    }
}

fn case(way: Way, size: usize, rng: &mut fastrand::Rng) -> Case {
    let specs = (0..size).map(spec).collect();
    let network = Network::new(DATA_CENTRE_COUNT);
    let fleet = Fleet::try_new(LAYER_COUNT, specs, network).expect("valid");
    let live = LiveState::new(fleet.len());
    for index in fleet.indices() {
        // By rounds over the parts, so that every part keeps some.
        let round = index.0 as usize / part_count();
        let is_absent = way.has_half_out && !round.is_multiple_of(2);
        if !is_absent {
            live.set_presence(index, Presence::Serving);
        }
        live.record_report(index, &report(&fleet, index, rng), NOW_MS);
    }
    Case { way, size, fleet, live, times_ns: Vec::new(), cost_sum: 0.0 }
}

fn part_count() -> usize {
    SPLITS.iter().map(|cut| cut.len() - 1).sum()
}

fn spec(at: usize) -> BackendSpec {
    let parts: Vec<(u32, u32)> = SPLITS
        .iter()
        .flat_map(|cut| cut.windows(2).map(|part| (part[0], part[1])))
        .collect();
    let (first_layer, end_layer) = parts[at % parts.len()];
    let kind = &KINDS[at / parts.len() % KINDS.len()];
    BackendSpec {
        name: format!("server-{at}"),
        data_centre: at as u32 % DATA_CENTRE_COUNT,
        first_layer,
        end_layer,
        price_micros_per_hour: kind.price_micros_per_hour,
        prompt_tokens_per_s: kind.prompt_tokens_per_s,
        output_tokens_per_s: kind.output_tokens_per_s,
        max_running: 32,
        cache_tokens: 400_000,
    }
}

/// Learned speeds lie within a fifth of the first guess.
fn report(
    fleet: &Fleet,
    index: BackendIndex,
    rng: &mut fastrand::Rng,
) -> LoadReport {
    let spec = fleet.spec(index);
    let layers = (spec.end_layer - spec.first_layer) as f32;
    let speed_up = LAYER_COUNT as f32 / layers;
    let mut learned =
        |guess: u32| guess as f32 * speed_up * (0.8 + 0.4 * rng.f32());
    LoadReport {
        prompt_tokens_per_s: learned(spec.prompt_tokens_per_s),
        output_tokens_per_s: learned(spec.output_tokens_per_s),
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
        let choose = if case.way.is_full_scan {
            Chooser::choose_by_full_scan
        } else {
            Chooser::choose
        };
        let start = Instant::now();
        let need = ChainRequest::new(
            &case.fleet,
            &case.live,
            &shape,
            &policy,
            NOW_MS,
        )
        .avoid(&avoid);
        let choice = choose(chooser, &need, rng);
        let elapsed = start.elapsed();
        case.cost_sum += black_box(choice).expect("a chain").cost;
        case.times_ns.push(elapsed.as_nanos() as u64);
    }
}

fn print_head() {
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
            case.way.name,
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
