//! Time of the choice of a chain against the size of the fleet.
//!
//! A short form of the example `decision_time` of the routing package, which
//! also compares the ways to choose. Sizes are measured in turns, so that
//! their ratio holds on a busy machine too.

use std::{hint::black_box, time::Instant};

use chestnutreach_routing::{
    BackendSpec, ChainRequest, Chooser, Fleet, LiveState, LoadReport, Network,
    Policy, Presence, RequestShape,
};
use serde::Serialize;

use crate::report::{Show, Table, places};

const LAYER_COUNT: u32 = 80;
const STAGES: [(u32, u32); 2] = [(0, 40), (40, 80)];
const DATA_CENTRES: u32 = 16;
const ROUNDS: usize = 20;
const CHOICES_PER_ROUND: usize = 500;
const NOW_MS: u64 = 1_000_000;

/// Figures of all sizes.
#[derive(Debug, Serialize)]
pub(crate) struct Decision {
    pub(crate) rows: Vec<Row>,
}

/// Nanoseconds of one choice.
#[derive(Debug, Serialize)]
pub(crate) struct Row {
    pub(crate) servers: usize,
    pub(crate) median_ns: f64,
    pub(crate) p99_ns: f64,
}

/// Measures fleets of these sizes in turns.
pub(crate) fn measure(sizes: &[usize]) -> Decision {
    let mut cases: Vec<Case> = sizes.iter().map(|s| Case::new(*s)).collect();
    let mut chooser = Chooser::new();
    let mut rng = fastrand::Rng::with_seed(11);
    for _ in 0..ROUNDS {
        for case in &mut cases {
            case.round(&mut chooser, &mut rng);
        }
    }
    Decision { rows: cases.into_iter().map(Case::row).collect() }
}

struct Case {
    servers: usize,
    fleet: Fleet,
    live: LiveState,
    times_ns: Vec<u64>,
}

impl Case {
    fn new(servers: usize) -> Case {
        let specs = (0..servers).map(spec).collect();
        let network = Network::new(DATA_CENTRES);
        let fleet = Fleet::try_new(LAYER_COUNT, specs, network)
            .expect("both stages are held");
        let live = LiveState::new(fleet.len());
        for index in fleet.indices() {
            live.set_presence(index, Presence::Serving);
            live.record_report(index, &report(index.0), NOW_MS);
        }
        Case { servers, fleet, live, times_ns: Vec::new() }
    }

    fn round(&mut self, chooser: &mut Chooser, rng: &mut fastrand::Rng) {
        let policy = Policy::default();
        for _ in 0..CHOICES_PER_ROUND {
            let shape =
                RequestShape::new(rng.u32(50..2_000), rng.u32(20..400))
                    .deadline_ms(600_000)
                    .prefix(rng.u64(..));
            let (fleet, live) = (&self.fleet, &self.live);
            let need = ChainRequest::new(fleet, live, &shape, &policy, NOW_MS);
            let start = Instant::now();
            let choice = chooser.choose(&need, rng);
            let elapsed_ns = start.elapsed().as_nanos() as u64;
            self.times_ns.push(elapsed_ns);
            black_box(choice).expect("a chain");
        }
    }

    fn row(mut self) -> Row {
        self.times_ns.sort_unstable();
        let last = self.times_ns.len() - 1;
        let at = |share: f64| self.times_ns[(last as f64 * share) as usize];
        Row {
            servers: self.servers,
            median_ns: at(0.5) as f64,
            p99_ns: at(0.99) as f64,
        }
    }
}

fn spec(at: usize) -> BackendSpec {
    let (first_layer, end_layer) = STAGES[at % STAGES.len()];
    BackendSpec {
        name: format!("server-{at}"),
        data_centre: (at / STAGES.len()) as u32 % DATA_CENTRES,
        first_layer,
        end_layer,
        price_micros_per_hour: 600_000 + at as u64 % 6 * 300_000,
        prompt_tokens_per_s: 3_000 + at as u32 % 6 * 1_000,
        output_tokens_per_s: 500 + at as u32 % 6 * 200,
        max_running: 32,
        cache_tokens: 400_000,
    }
}

fn report(at: u32) -> LoadReport {
    LoadReport {
        running: at % 32,
        queued: at % 4,
        pending_tokens: u64::from(at % 50) * 400,
        prompt_tokens_per_s: 4_000.0,
        output_tokens_per_s: 900.0,
        cache_used_permille: at % 900,
        is_healthy: true,
        queue_wait_ms: at % 200,
    }
}

impl Show for Decision {
    fn show(&self) -> String {
        let mut table = Table::new(&["servers", "median ns", "p99 ns"]);
        for row in &self.rows {
            table.row(vec![
                row.servers.to_string(),
                places(row.median_ns, 0),
                places(row.p99_ns, 0),
            ]);
        }
        table.to_text()
    }
}
