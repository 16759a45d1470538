//! What engines have run, and whether that was right.

use std::collections::BTreeMap;

use chestnutreach_standins::{engine::RunRecord, record::Numbered};

/// One entry of an engine's record.
pub type NumberedRun = Numbered<RunRecord>;

/// Finds what breaks the promise that each layer runs exactly once for each
/// position of an attempt, in order; nothing when it held.
///
/// `records` holds the record of each engine by name.
pub fn guarantee_violations(
    records: &BTreeMap<String, Vec<NumberedRun>>,
) -> Vec<String> {
    let mut broken = Vec::new();
    let mut seen: BTreeMap<(String, u32), Vec<LayerRun>> = BTreeMap::new();
    for (engine, runs) in records {
        for ran in runs {
            let run = &ran.entry;
            let key = (run.request.clone(), run.attempt);
            seen.entry(key).or_default().push(LayerRun {
                engine: engine.clone(),
                seq: ran.seq,
                first_position: run.position,
                end_position: run.position + run.span,
                first_layer: run.first_layer,
                end_layer: run.end_layer,
            });
        }
    }
    for ((request, attempt), runs) in &seen {
        for problem in problems_of(runs) {
            broken.push(format!("{request}/{attempt}: {problem}"));
        }
    }
    broken
}

/// Highest attempt that ran of each request.
pub fn highest_attempts(
    records: &BTreeMap<String, Vec<NumberedRun>>,
) -> BTreeMap<String, u32> {
    let mut highest = BTreeMap::new();
    for ran in records.values().flatten() {
        let attempt = highest.entry(ran.entry.request.clone()).or_insert(0);
        *attempt = ran.entry.attempt.max(*attempt);
    }
    highest
}

/// Layers run on positions by one engine.
struct LayerRun {
    engine: String,
    seq: u64,
    first_position: u32,
    end_position: u32,
    first_layer: u32,
    end_layer: u32,
}

impl LayerRun {
    fn overlaps(&self, other: &LayerRun) -> bool {
        let in_layers = self.first_layer < other.end_layer
            && other.first_layer < self.end_layer;
        let in_positions = self.first_position < other.end_position
            && other.first_position < self.end_position;
        in_layers && in_positions
    }
}

fn problems_of(runs: &[LayerRun]) -> Vec<String> {
    let mut problems = Vec::new();
    for (at, run) in runs.iter().enumerate() {
        for other in &runs[at + 1..] {
            if run.overlaps(other) {
                problems.push(format!(
                    "layers {}..{} ran on positions {}..{} both on {} and \
                     on {}",
                    run.first_layer.max(other.first_layer),
                    run.end_layer.min(other.end_layer),
                    run.first_position.max(other.first_position),
                    run.end_position.min(other.end_position),
                    run.engine,
                    other.engine,
                ));
            }
            let is_reversed = run.engine == other.engine
                && run.seq < other.seq
                && run.first_position > other.first_position;
            if is_reversed {
                problems.push(format!(
                    "{} ran position {} before {}",
                    run.engine, run.first_position, other.first_position
                ));
            }
        }
    }
    problems.extend(gaps(runs));
    problems
}

/// Positions that a later layer ran without the layers before it.
fn gaps(runs: &[LayerRun]) -> Vec<String> {
    let mut problems = Vec::new();
    for run in runs.iter().filter(|run| run.first_layer > 0) {
        for position in run.first_position..run.end_position {
            let has_input = runs.iter().any(|before| {
                before.end_layer == run.first_layer
                    && before.first_position <= position
                    && position < before.end_position
            });
            if !has_input {
                problems.push(format!(
                    "{} ran layer {} on position {position} without the \
                     layer before it",
                    run.engine, run.first_layer
                ));
            }
        }
    }
    problems
}
