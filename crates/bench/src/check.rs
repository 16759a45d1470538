//! Compares small runs of the benchmarks with the committed bounds.
//!
//! The bounds are counts, or ratios of figures of one run, so that they hold
//! on any machine. Ratios of times still vary on a busy machine, so the check
//! is meant for an idle machine and not for CI; only the counts are exact
//! anywhere.

use std::{collections::BTreeMap, time::Duration};

use anyhow::Context as _;
use serde::{Deserialize, Serialize};

use crate::{
    change, claims, decision, idle, memory, overhead,
    report::{Show, Table, decimals},
    run_once,
};

const BOUNDS_JSON: &str = include_str!("../bounds.json");

/// Upper bound of one figure.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub(crate) struct Bound {
    pub(crate) name: String,
    pub(crate) at_most: f64,
}

/// A figure and its bound.
#[derive(Debug, Serialize)]
pub(crate) struct CheckedFigure {
    pub(crate) bound: Bound,
    pub(crate) measured: f64,
}

/// All figures with their bounds.
#[derive(Debug, Serialize)]
pub(crate) struct Check {
    pub(crate) figures: Vec<CheckedFigure>,
}

impl CheckedFigure {
    fn is_exceeded(&self) -> bool {
        // NaN means that the figure could not be measured.
        self.measured.is_nan() || self.measured > self.bound.at_most
    }
}

impl Check {
    /// Whether any figure exceeds its bound.
    pub(crate) fn is_exceeded(&self) -> bool {
        self.figures.iter().any(CheckedFigure::is_exceeded)
    }
}

/// Measures all figures and compares them with their bounds.
pub(crate) fn measure() -> anyhow::Result<Check> {
    let bounds: Vec<Bound> = serde_json::from_str(BOUNDS_JSON)?;
    let mut measured = BTreeMap::new();
    measure_run_once(&mut measured);
    measure_decision(&mut measured);
    measure_claims(&mut measured)?;
    measure_overhead(&mut measured)?;
    measure_memory(&mut measured)?;
    measure_idle(&mut measured)?;
    measure_change(&mut measured)?;
    compare(bounds, &measured)
}

fn compare(
    bounds: Vec<Bound>,
    measured: &BTreeMap<&'static str, f64>,
) -> anyhow::Result<Check> {
    let check = |bound: Bound| {
        let value = measured.get(bound.name.as_str());
        let measured = *value.with_context(|| {
            format!("no figure was measured for the bound {:?}", bound.name)
        })?;
        Ok(CheckedFigure { bound, measured })
    };
    let figures: anyhow::Result<_> = bounds.into_iter().map(check).collect();
    Ok(Check { figures: figures? })
}

type Figures = BTreeMap<&'static str, f64>;

fn measure_run_once(measured: &mut Figures) {
    let rows = run_once::measure(&[1_000, 200_000]).rows;
    let ratio = rows[1].request_ns() / rows[0].request_ns();
    measured.insert("run-once time, 200,000 to 1,000 records", ratio);
}

fn measure_decision(measured: &mut Figures) {
    let rows = decision::measure(&[50, 1_100]).rows;
    let ratio = rows[1].median_ns / rows[0].median_ns;
    measured.insert("decision time, 1,100 to 50 servers", ratio);
}

fn measure_claims(measured: &mut Figures) -> anyhow::Result<()> {
    let duration = Duration::from_secs(3);
    let rows = claims::measure(&[10.0, 1_000.0], &[1], duration)?.rows;
    let writes = |index: usize| rows[index].writes_per_request;
    measured.insert("store writes a keyed request at 10/s", writes(0));
    measured.insert("store writes a keyed request at 1,000/s", writes(1));
    let failed = rows.iter().map(|row| row.failed as f64).sum();
    measured.insert("claims that failed", failed);
    Ok(())
}

fn measure_overhead(measured: &mut Figures) -> anyhow::Result<()> {
    let options = overhead::Options {
        rates_per_s: vec![200.0],
        max_tokens: 8,
        round_time: Duration::from_secs(2),
        rounds: 3,
        entries: 1,
        chains: 1,
        engine_arguments: Vec::new(),
        engine_calls: None,
    };
    let row = &overhead::measure(&options)?.rows[0];
    let first = row.first_token_ratio.p50_us;
    measured.insert("first token, routed to direct", first);
    let between = row.between_tokens_ratio.p50_us;
    measured.insert("between tokens, routed to direct", between);
    let cores = |route: &overhead::RouteFigures| -> f64 {
        route.cores.values().map(|rate| rate.cores).sum()
    };
    let ratio = cores(&row.routed) / cores(&row.direct);
    measured.insert("processor time, routed to direct", ratio);
    let incomplete = row.routed.begun - row.routed.whole;
    measured.insert("requests that were not whole", incomplete as f64);
    Ok(())
}

fn measure_memory(measured: &mut Figures) -> anyhow::Result<()> {
    let memory = memory::measure(&[0, 500], 1)?;
    let entry = memory.entry_kib_per_stream;
    measured.insert("KiB of an open stream at an entry", entry);
    let side = memory.side_kib_per_stage;
    measured.insert("KiB of an open stream at a side", side);
    Ok(())
}

fn measure_idle(measured: &mut Figures) -> anyhow::Result<()> {
    let rows = idle::measure(&[4, 16], &[1], 6)?.rows;
    let bytes = |row: &idle::Row| {
        let entry = &row.roles["entry"];
        entry.link_sent_bytes_per_s + entry.link_received_bytes_per_s
    };
    let per_side = (bytes(&rows[1]) - bytes(&rows[0])) / 12.0;
    measured.insert("idle link bytes/s of an entry a side", per_side);
    let reads = rows[1].table_reads_per_node_s;
    measured.insert("idle table reads/s of a node", reads);
    Ok(())
}

fn measure_change(measured: &mut Figures) -> anyhow::Result<()> {
    let options = change::Options {
        sides: 8,
        entries: 1,
        accounts: 400,
        changes: 3,
        request_timeout_ms: 2_000,
        is_healthy_only: true,
    };
    let row = &change::measure(options)?.rows[0];
    measured.insert("object reads a change and node", row.object_reads);
    measured.insert("object bytes a change and node", row.object_bytes);
    let not_in_force = row.not_in_force as f64;
    measured.insert("changes not in force in 20 s", not_in_force);
    Ok(())
}

impl Show for Check {
    fn show(&self) -> String {
        let mut table =
            Table::new(&["figure", "measured", "at most", "verdict"]);
        for figure in &self.figures {
            let CheckedFigure { bound, measured } = figure;
            let over = measured - bound.at_most;
            let verdict = match figure.is_exceeded() {
                true => format!("broken by {over:.2}"),
                false => "holds".to_owned(),
            };
            table.push_row(vec![
                bound.name.clone(),
                decimals(*measured, 2),
                decimals(bound.at_most, 2),
                verdict,
            ]);
        }
        table.to_text()
    }
}
