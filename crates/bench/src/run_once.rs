//! Time per operation of the run-once table, by count of records.

use std::{hint::black_box, process, time::Instant};

use chestnutreach_state::RunOnceTable;
use serde::Serialize;

use crate::{
    machine::resident_kib,
    report::{Show, Table, decimals},
};

/// Default of the daemon's setting `run-once-retention-ms`.
const RETENTION_MS: u64 = 600_000;
const ROUNDS: usize = 20;
const REQUESTS_PER_ROUND: u64 = 5_000;

/// Figures of all table sizes.
#[derive(Debug, Serialize)]
pub(crate) struct RunOnce {
    pub(crate) rows: Vec<Row>,
}

/// Median time per operation over all rounds.
#[derive(Debug, Serialize)]
pub(crate) struct Row {
    pub(crate) records: usize,
    pub(crate) admit_ns: f64,
    pub(crate) begin_ns: f64,
    pub(crate) finish_ns: f64,
    /// Memory per record, from the growth of this process; imprecise for few
    /// records.
    pub(crate) record_bytes: f64,
}

impl Row {
    /// Returns the time of all operations of one request.
    pub(crate) fn request_ns(&self) -> f64 {
        self.admit_ns + self.begin_ns + self.finish_ns
    }
}

/// Measures full tables of these sizes. Their rounds are interleaved, so that
/// background load affects all sizes alike.
pub(crate) fn measure(sizes: &[usize]) -> RunOnce {
    let mut cases: Vec<Case> = sizes.iter().map(|s| Case::new(*s)).collect();
    for _ in 0..ROUNDS {
        cases.iter_mut().for_each(Case::run_round);
    }
    RunOnce { rows: cases.into_iter().map(Case::into_row).collect() }
}

/// A table full of finished idempotent requests: each new record evicts the
/// oldest.
struct Case {
    records: usize,
    table: RunOnceTable,
    now_ms: u64,
    record_bytes: f64,
    times_ns: [Vec<f64>; 3],
}

impl Case {
    fn new(records: usize) -> Case {
        let before_kib = resident_kib(process::id());
        let mut table = RunOnceTable::new(records, RETENTION_MS);
        for _ in 0..records {
            let request = fastrand::u128(..);
            table.admit(request, 1, true, 0);
            table.begin(request, 1);
            table.finish(request, 1, 0);
        }
        let growth_kib = resident_kib(process::id()) - before_kib;
        let record_bytes = growth_kib as f64 * 1_024.0 / records as f64;
        let times_ns = Default::default();
        Case { records, table, now_ms: 1, record_bytes, times_ns }
    }

    fn run_round(&mut self) {
        self.now_ms += 1;
        let now_ms = self.now_ms;
        let requests: Vec<u128> = (0..REQUESTS_PER_ROUND
            .min(self.records as u64 / 2))
            .map(|_| fastrand::u128(..))
            .collect();
        let table = &mut self.table;
        let mut time_operation =
            |operation: usize, run: &mut dyn FnMut(u128)| {
                let start = Instant::now();
                requests.iter().for_each(|request| run(*request));
                let total_ns = start.elapsed().as_nanos() as f64;
                self.times_ns[operation]
                    .push(total_ns / requests.len() as f64);
            };
        time_operation(0, &mut |request| {
            black_box(table.admit(request, 1, true, now_ms));
        });
        time_operation(1, &mut |request| {
            black_box(table.begin(request, 1));
        });
        time_operation(2, &mut |request| {
            table.finish(request, 1, now_ms);
        });
    }

    fn into_row(self) -> Row {
        let [admit_ns, begin_ns, finish_ns] = self.times_ns.map(median);
        let Case { records, record_bytes, .. } = self;
        Row { records, admit_ns, begin_ns, finish_ns, record_bytes }
    }
}

fn median(mut values: Vec<f64>) -> f64 {
    values.sort_by(f64::total_cmp);
    values[values.len() / 2]
}

impl Show for RunOnce {
    fn show(&self) -> String {
        let mut table = Table::new(&[
            "records",
            "admit ns",
            "begin ns",
            "finish ns",
            "request ns",
            "bytes a record",
        ]);
        for row in &self.rows {
            table.push_row(vec![
                row.records.to_string(),
                decimals(row.admit_ns, 0),
                decimals(row.begin_ns, 0),
                decimals(row.finish_ns, 0),
                decimals(row.request_ns(), 0),
                decimals(row.record_bytes, 0),
            ]);
        }
        table.to_text()
    }
}
