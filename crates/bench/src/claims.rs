//! Store writes and time of the claims of keyed requests.
//!
//! Each request claims its key and later notes its answer, as an entry does.
//! The requests come open-loop and are spread over several claim stores, as
//! over several entries.

use std::{
    sync::{Arc, Mutex},
    thread,
    time::{Duration, Instant},
};

use async_executor::Executor;
use async_io::{Async, Timer, block_on};
use chestnutreach_fleet::Caller;
use chestnutreach_platform::{
    ClaimOptions, ClaimStore, TableClient,
    claims::{Claim, ClaimKey, ClaimState, StoredResponse},
};
use chestnutreach_standins::platform::{Faults, serve_table};
use hdrhistogram::Histogram;
use serde::Serialize;

use crate::{
    load::{Quantiles, histogram},
    polls::executor,
    report::{Show, Table, places},
};

/// Time between a claim and its answer.
const RUN_TIME: Duration = Duration::from_millis(300);
/// The daemon's setting `claim-flush-ms` as shipped.
const FLUSH_MS: u64 = 10;
/// Time for the last answers to be noted.
const SETTLE: Duration = Duration::from_secs(2);
/// Seconds that a key is kept.
const KEEP_S: u64 = 3_600;

/// Figures of all rates.
#[derive(Debug, Serialize)]
pub(crate) struct Claims {
    pub(crate) rows: Vec<Row>,
}

/// Figures of one rate and count of stores.
#[derive(Debug, Serialize)]
pub(crate) struct Row {
    pub(crate) entries: usize,
    pub(crate) requests_per_s: f64,
    pub(crate) requests: u64,
    pub(crate) failed: u64,
    pub(crate) writes_per_request: f64,
    pub(crate) writes_per_s: f64,
    pub(crate) claim: Quantiles,
}

/// Measures each rate with each count of entries.
pub(crate) fn measure(
    rates_per_s: &[f64],
    entries: &[usize],
    time: Duration,
) -> anyhow::Result<Claims> {
    let mut rows = Vec::new();
    for entries in entries {
        for rate in rates_per_s {
            rows.push(row(*rate, *entries, time)?);
        }
    }
    Ok(Claims { rows })
}

/// Claims of one run.
struct Run {
    stores: Vec<ClaimStore>,
    times: Mutex<Histogram<u64>>,
    failed: Mutex<u64>,
}

fn row(
    rate_per_s: f64,
    entries: usize,
    time: Duration,
) -> anyhow::Result<Row> {
    let table_executor = executor();
    let listener = Async::<std::net::TcpListener>::bind(([127, 0, 0, 1], 0))?;
    let address = listener.get_ref().local_addr()?;
    let faults = Arc::new(Faults::new());
    let serve = serve_table(listener, faults, table_executor.clone());
    table_executor.spawn(serve).detach();
    let store_executor = executor();
    let store = |_| {
        let table = TableClient::new(address, Duration::from_millis(800));
        let options = ClaimOptions::new().flush_ms(FLUSH_MS);
        ClaimStore::new(Arc::new(table), options, store_executor.clone())
    };
    let run = Arc::new(Run {
        stores: (0..entries).map(store).collect(),
        times: Mutex::new(histogram()),
        failed: Mutex::new(0),
    });
    let started = Instant::now();
    let requests = block_on(load(&run, &store_executor, rate_per_s, time));
    let elapsed_s = started.elapsed().as_secs_f64();
    thread::sleep(SETTLE);
    let stats = Caller::new(address, "").call("GET", "/stats", "").json();
    let writes = stats["writes"].as_f64().unwrap_or(0.0);
    let times = run.times.lock().expect("no holder panics");
    Ok(Row {
        entries,
        requests_per_s: requests as f64 / elapsed_s,
        requests,
        failed: *run.failed.lock().expect("no holder panics"),
        writes_per_request: writes / requests as f64,
        writes_per_s: writes / elapsed_s,
        claim: Quantiles::of(&times),
    })
}

async fn load(
    run: &Arc<Run>,
    executor: &Arc<Executor<'static>>,
    rate_per_s: f64,
    time: Duration,
) -> u64 {
    let start = Instant::now();
    let mut intended = start;
    let mut requests = 0;
    while intended < start + time {
        Timer::at(intended).await;
        let run = run.clone();
        executor.spawn(async move { run.request(intended).await }).detach();
        requests += 1;
        let share = 1.0 - fastrand::f64();
        intended += Duration::from_secs_f64(-share.ln() / rate_per_s);
    }
    requests
}

impl Run {
    async fn request(&self, intended: Instant) {
        let store = &self.stores[fastrand::usize(..self.stores.len())];
        let key = format!("letter-{}", fastrand::u64(..));
        let key = ClaimKey::new("caisse-medina", &key);
        let mut claim = claim();
        let claimed = store.claim(&key, claim.clone()).await;
        if claimed.is_err() {
            return self.note_failed();
        }
        self.note_claimed(intended.elapsed());
        Timer::after(RUN_TIME).await;
        claim.state = ClaimState::Completed { answer: answer() };
        if store.update(&key, claim).await.is_err() {
            self.note_failed();
        }
    }

    fn note_claimed(&self, time: Duration) {
        let mut times = self.times.lock().expect("no holder panics");
        times.saturating_record(time.as_nanos() as u64);
    }

    fn note_failed(&self) {
        *self.failed.lock().expect("no holder panics") += 1;
    }
}

fn claim() -> Claim {
    let now = std::time::SystemTime::now();
    let since = now.duration_since(std::time::UNIX_EPOCH);
    Claim {
        claim_id: fastrand::u128(1..),
        request_digest: [7; 32],
        request: fastrand::u128(..),
        entry_vm: "entry-0".to_owned(),
        entry_boot_id: 1,
        side_address: ([127, 0, 0, 1], 9).into(),
        side_boot_id: 1,
        state: ClaimState::Claimed,
        expires_at_unix_s: since.map_or(0, |d| d.as_secs()) + KEEP_S,
    }
}

/// An answer of the length of a letter.
fn answer() -> StoredResponse {
    StoredResponse {
        status: 200,
        headers: std::collections::BTreeMap::new(),
        body: vec![b'a'; 1_500],
    }
}

impl Show for Claims {
    fn show(&self) -> String {
        let mut table = Table::new(&[
            "entries",
            "requests/s",
            "requests",
            "failed",
            "writes a request",
            "writes/s",
            "claim p50 us",
            "p95 us",
            "p99 us",
        ]);
        for row in &self.rows {
            table.row(vec![
                row.entries.to_string(),
                places(row.requests_per_s, 0),
                row.requests.to_string(),
                row.failed.to_string(),
                places(row.writes_per_request, 3),
                places(row.writes_per_s, 1),
                places(row.claim.p50_us, 0),
                places(row.claim.p95_us, 0),
                places(row.claim.p99_us, 0),
            ]);
        }
        format!(
            "each keyed request is claimed and its answer noted; flush \
             every {FLUSH_MS} ms at an entry\n\n{}",
            table.to_text()
        )
    }
}
