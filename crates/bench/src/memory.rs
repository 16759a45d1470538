//! Memory that an open stream takes at entries and sides.
//!
//! Engines take two seconds for an iteration, so that streams stay open with
//! little work. Each count has a fleet of its own, and its streams are opened
//! before the first iteration ends: once the engines are known to be slow,
//! more would be refused as too late.

use std::{
    collections::BTreeMap,
    thread,
    time::{Duration, Instant},
};

use anyhow::ensure;
use async_io::block_on;
use chestnutreach_fleet::Fleet;
use futures_lite::future;
use serde::Serialize;

use crate::{
    load::{Routed, Target},
    machine::resident_by_role,
    overhead::plan,
    report::{Show, Table, places},
};

/// Tokens of a stream: more than come while it is measured.
const TOKENS: u32 = 60;
/// Time between two streams that are opened.
const OPEN_GAP: Duration = Duration::from_micros(500);
/// Time for first tokens to reach callers before memory is read.
const SETTLE: Duration = Duration::from_secs(12);
const CHAINS: usize = 2;
/// Stages that a stream crosses: it is open at one side of each.
const STAGES: f64 = 2.0;

/// Memory at each count of streams.
#[derive(Debug, Serialize)]
pub(crate) struct Memory {
    pub(crate) entries: usize,
    pub(crate) sides: usize,
    pub(crate) rows: Vec<Row>,
    /// From the first row to the last.
    pub(crate) entry_kib_per_stream: f64,
    /// From the first row to the last; of one stage.
    pub(crate) side_kib_per_stage: f64,
}

/// Memory of one process of each role, in KiB.
#[derive(Debug, Serialize)]
pub(crate) struct Row {
    pub(crate) streams: usize,
    pub(crate) resident_kib: BTreeMap<&'static str, f64>,
}

/// Opens as many streams as each count says.
pub(crate) fn measure(
    counts: &[usize],
    entries: usize,
) -> anyhow::Result<Memory> {
    let rows: anyhow::Result<Vec<Row>> =
        counts.iter().map(|count| row(*count, entries)).collect();
    Ok(summary(entries, rows?))
}

fn row(streams: usize, entries: usize) -> anyhow::Result<Row> {
    let plan = plan(entries, CHAINS)
        .max_running(4_096)
        .engine_argument("--step-us=2000000")
        .engine_argument("--max-batch=4096")
        .setting("side", "max-batch", "4096")
        .setting("side", "step-timeout-ms", "60000")
        .setting("side", "prefill-timeout-ms", "60000");
    let fleet = Fleet::start(plan)?;
    let routed = Routed::new(&fleet, entries);
    // They end with this process or the fleet.
    thread::spawn(move || block_on(open_streams(&routed, streams)));
    thread::sleep(SETTLE);
    let resident_kib = resident_by_role(&fleet);
    let in_flight = in_flight(&fleet, entries);
    ensure!(in_flight == streams, "{in_flight} of {streams} are open");
    Ok(Row { streams, resident_kib })
}

async fn open_streams(routed: &Routed, count: usize) {
    let executor = async_executor::LocalExecutor::new();
    let open = async {
        for _ in 0..count {
            let stream = routed.request(Instant::now(), TOKENS);
            executor.spawn(stream).detach();
            async_io::Timer::after(OPEN_GAP).await;
        }
        future::pending::<()>().await;
    };
    executor.run(open).await;
}

fn in_flight(fleet: &Fleet, entries: usize) -> usize {
    let count = |entry| fleet.entry_status(entry)["in_flight"].as_u64();
    (0..entries).filter_map(count).sum::<u64>() as usize
}

fn summary(entries: usize, rows: Vec<Row>) -> Memory {
    let sides = CHAINS * STAGES as usize;
    let growth = |role| {
        let of = |row: Option<&Row>| row.map_or(0.0, |r| r.resident_kib[role]);
        of(rows.last()) - of(rows.first())
    };
    let streams = rows.last().map_or(0, |row| row.streams) as f64;
    let per_entry = streams / entries as f64;
    let per_side = streams * STAGES / sides as f64;
    Memory {
        entry_kib_per_stream: growth("entry") / per_entry,
        side_kib_per_stage: growth("side") / per_side,
        entries,
        sides,
        rows,
    }
}

impl Show for Memory {
    fn show(&self) -> String {
        let mut table = Table::new(&["open streams", "entry MiB", "side MiB"]);
        for row in &self.rows {
            let mib = |role| places(row.resident_kib[role] / 1_024.0, 1);
            table.row(vec![
                row.streams.to_string(),
                mib("entry"),
                mib("side"),
            ]);
        }
        format!(
            "{} entries, {} sides, each stream at 1 entry and 2 sides; \
             memory of one process\n\n{}\n{:.1} KiB a stream at an entry, \
             {:.1} KiB a stream and stage at a side\n",
            self.entries,
            self.sides,
            table.to_text(),
            self.entry_kib_per_stream,
            self.side_kib_per_stage
        )
    }
}
