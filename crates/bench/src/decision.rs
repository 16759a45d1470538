//! Time to choose a chain, by size of the fleet.
//!
//! A short form of the example `decision_time` of the routing package, which
//! also compares strategies of choice. The rounds of all sizes are
//! interleaved, so that their ratio is valid on a busy machine too.

use std::{hint::black_box, time::Instant};

use chestnutreach_routing::{
    BackendSpec, ChainRequest, Chooser, Fleet, LiveState, LoadReport, Network,
    Policy, Presence, RequestShape,
};
use serde::Serialize;

use crate::report::{Show, Table, decimals};

const LAYER_COUNT: u32 = 80;
const STAGE_LAYERS: [(u32, u32); 2] = [(0, 40), (40, 80)];
const DATA_CENTRE_COUNT: u32 = 16;
const ROUNDS: usize = 20;
const DECISIONS_PER_ROUND: usize = 500;
const NOW_MS: u64 = 1_000_000;

/// Figures of all fleet sizes.
#[derive(Debug, Serialize)]
pub(crate) struct Decision {
    pub(crate) rows: Vec<Row>,
}

/// Time of one choice in a fleet of one size.
#[derive(Debug, Serialize)]
pub(crate) struct Row {
    pub(crate) servers: usize,
    pub(crate) median_ns: f64,
    pub(crate) p99_ns: f64,
}

/// Measures fleets of these sizes, with interleaved rounds.
pub(crate) fn measure(sizes: &[usize]) -> Decision {
    let mut cases: Vec<Case> = sizes.iter().map(|s| Case::new(*s)).collect();
    let mut chooser = Chooser::new();
    let mut rng = fastrand::Rng::with_seed(11);
    for _ in 0..ROUNDS {
        for case in &mut cases {
            case.run_round(&mut chooser, &mut rng);
        }
    }
    Decision { rows: cases.into_iter().map(Case::into_row).collect() }
}

struct Case {
    servers: usize,
    fleet: Fleet,
    live: LiveState,
    times_ns: Vec<u64>,
}

impl Case {
    fn new(servers: usize) -> Case {
        let specs = (0..servers).map(backend_spec).collect();
        let network = Network::new(DATA_CENTRE_COUNT);
        let fleet = Fleet::try_new(LAYER_COUNT, specs, network)
            .expect("both stages have servers");
        let live = LiveState::new(fleet.len());
        for index in fleet.indices() {
            live.set_presence(index, Presence::Serving);
            live.record_report(index, &load_report(index.0), NOW_MS);
        }
        Case { servers, fleet, live, times_ns: Vec::new() }
    }

    fn run_round(&mut self, chooser: &mut Chooser, rng: &mut fastrand::Rng) {
        let policy = Policy::default();
        for _ in 0..DECISIONS_PER_ROUND {
            let shape =
                RequestShape::new(rng.u32(50..2_000), rng.u32(20..400))
                    .deadline_ms(600_000)
                    .prefix(rng.u64(..));
            let (fleet, live) = (&self.fleet, &self.live);
            let request =
                ChainRequest::new(fleet, live, &shape, &policy, NOW_MS);
            let start = Instant::now();
            let choice = chooser.choose(&request, rng);
            let elapsed_ns = start.elapsed().as_nanos() as u64;
            self.times_ns.push(elapsed_ns);
            black_box(choice).expect("a chain");
        }
    }

    fn into_row(mut self) -> Row {
        self.times_ns.sort_unstable();
        let last_index = self.times_ns.len() - 1;
        let quantile =
            |share: f64| self.times_ns[(last_index as f64 * share) as usize];
        Row {
            servers: self.servers,
            median_ns: quantile(0.5) as f64,
            p99_ns: quantile(0.99) as f64,
        }
    }
}

fn backend_spec(number: usize) -> BackendSpec {
    let (first_layer, end_layer) = STAGE_LAYERS[number % STAGE_LAYERS.len()];
    BackendSpec {
        name: format!("server-{number}"),
        data_centre: (number / STAGE_LAYERS.len()) as u32 % DATA_CENTRE_COUNT,
        first_layer,
        end_layer,
        price_micros_per_hour: 600_000 + number as u64 % 6 * 300_000,
        prompt_tokens_per_s: 3_000 + number as u32 % 6 * 1_000,
        output_tokens_per_s: 500 + number as u32 % 6 * 200,
        max_running: 32,
        cache_tokens: 400_000,
    }
}

fn load_report(number: u32) -> LoadReport {
    LoadReport {
        running: number % 32,
        queued: number % 4,
        pending_tokens: u64::from(number % 50) * 400,
        prompt_tokens_per_s: 4_000.0,
        output_tokens_per_s: 900.0,
        cache_used_permille: number % 900,
        is_healthy: true,
        queue_wait_ms: number % 200,
    }
}

impl Show for Decision {
    fn show(&self) -> String {
        let mut table = Table::new(&["servers", "median ns", "p99 ns"]);
        for row in &self.rows {
            table.push_row(vec![
                row.servers.to_string(),
                decimals(row.median_ns, 0),
                decimals(row.p99_ns, 0),
            ]);
        }
        table.to_text()
    }
}
