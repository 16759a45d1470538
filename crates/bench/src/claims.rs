//! Store writes and latency of the claims of keyed requests.
//!
//! Each request claims its key and later stores its response, as an entry
//! does. Requests arrive open-loop and are spread over several claim stores,
//! one per simulated entry.

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
    polls::start_executor,
    report::{Show, Table, decimals},
};

/// Time between a claim and its response.
const RESPONSE_DELAY: Duration = Duration::from_millis(300);
/// Default of the daemon's setting `claim-flush-ms`.
const CLAIM_FLUSH_MS: u64 = 10;
/// Time until the last responses are stored.
const SETTLE_TIME: Duration = Duration::from_secs(2);
const KEY_RETENTION_S: u64 = 3_600;

/// Figures of all rates and entry counts.
#[derive(Debug, Serialize)]
pub(crate) struct Claims {
    pub(crate) rows: Vec<Row>,
}

/// Figures of one rate and entry count.
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
    duration: Duration,
) -> anyhow::Result<Claims> {
    let mut rows = Vec::new();
    for entries in entries {
        for rate in rates_per_s {
            rows.push(measure_row(*rate, *entries, duration)?);
        }
    }
    Ok(Claims { rows })
}

/// State of one run.
struct Run {
    stores: Vec<ClaimStore>,
    times: Mutex<Histogram<u64>>,
    failed: Mutex<u64>,
}

fn measure_row(
    rate_per_s: f64,
    entries: usize,
    duration: Duration,
) -> anyhow::Result<Row> {
    let table_executor = start_executor();
    let listener = Async::<std::net::TcpListener>::bind(([127, 0, 0, 1], 0))?;
    let address = listener.get_ref().local_addr()?;
    let faults = Arc::new(Faults::new());
    let serve = serve_table(listener, faults, table_executor.clone());
    table_executor.spawn(serve).detach();
    let store_executor = start_executor();
    let store = |_| {
        let table = TableClient::new(address, Duration::from_millis(800));
        let options = ClaimOptions::new().flush_ms(CLAIM_FLUSH_MS);
        ClaimStore::new(Arc::new(table), options, store_executor.clone())
    };
    let run = Arc::new(Run {
        stores: (0..entries).map(store).collect(),
        times: Mutex::new(histogram()),
        failed: Mutex::new(0),
    });
    let started = Instant::now();
    let requests =
        block_on(send_requests(&run, &store_executor, rate_per_s, duration));
    let elapsed_s = started.elapsed().as_secs_f64();
    thread::sleep(SETTLE_TIME);
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

async fn send_requests(
    run: &Arc<Run>,
    executor: &Arc<Executor<'static>>,
    rate_per_s: f64,
    duration: Duration,
) -> u64 {
    let start = Instant::now();
    let mut scheduled = start;
    let mut requests = 0;
    while scheduled < start + duration {
        Timer::at(scheduled).await;
        let run = run.clone();
        executor.spawn(async move { run.request(scheduled).await }).detach();
        requests += 1;
        let uniform = 1.0 - fastrand::f64();
        scheduled += Duration::from_secs_f64(-uniform.ln() / rate_per_s);
    }
    requests
}

impl Run {
    async fn request(&self, scheduled: Instant) {
        let store = &self.stores[fastrand::usize(..self.stores.len())];
        let key = format!("letter-{}", fastrand::u64(..));
        let key = ClaimKey::new("caisse-medina", &key);
        let mut claim = new_claim();
        let claimed = store.claim(&key, claim.clone()).await;
        if claimed.is_err() {
            return self.record_failed();
        }
        self.record_claimed(scheduled.elapsed());
        Timer::after(RESPONSE_DELAY).await;
        claim.state = ClaimState::Completed { answer: stored_response() };
        if store.update(&key, claim).await.is_err() {
            self.record_failed();
        }
    }

    fn record_claimed(&self, duration: Duration) {
        let mut times = self.times.lock().expect("no holder panics");
        times.saturating_record(duration.as_nanos() as u64);
    }

    fn record_failed(&self) {
        *self.failed.lock().expect("no holder panics") += 1;
    }
}

fn new_claim() -> Claim {
    let now = std::time::SystemTime::now();
    let unix_time = now.duration_since(std::time::UNIX_EPOCH);
    Claim {
        claim_id: fastrand::u128(1..),
        request_digest: [7; 32],
        request: fastrand::u128(..),
        entry_vm: "entry-0".to_owned(),
        entry_boot_id: 1,
        side_address: ([127, 0, 0, 1], 9).into(),
        side_boot_id: 1,
        state: ClaimState::Claimed,
        expires_at_unix_s: unix_time.map_or(0, |d| d.as_secs())
            + KEY_RETENTION_S,
    }
}

/// Returns a response as long as a typical generated letter.
fn stored_response() -> StoredResponse {
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
            table.push_row(vec![
                row.entries.to_string(),
                decimals(row.requests_per_s, 0),
                row.requests.to_string(),
                row.failed.to_string(),
                decimals(row.writes_per_request, 3),
                decimals(row.writes_per_s, 1),
                decimals(row.claim.p50_us, 0),
                decimals(row.claim.p95_us, 0),
                decimals(row.claim.p99_us, 0),
            ]);
        }
        format!(
            "each keyed request is claimed and its response stored; flush \
             every {CLAIM_FLUSH_MS} ms at an entry\n\n{}",
            table.to_text()
        )
    }
}
