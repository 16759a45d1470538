//! Checks of the guarantees against the engines' records.

use std::collections::BTreeMap;

use chestnutreach_standins::{engine::RunRecord, record::Numbered};

/// An entry of an engine's record.
pub type NumberedRun = Numbered<RunRecord>;

/// Checks the guarantee that each layer runs exactly once for each position of
/// an attempt, in order. Returns a description of each violation.
///
/// `records` contains the record of each engine by name.
pub fn guarantee_violations(
    records: &BTreeMap<String, Vec<NumberedRun>>,
) -> Vec<String> {
    let mut violations = Vec::new();
    let mut runs_by_attempt: BTreeMap<(String, u32), Vec<LayerRun>> =
        BTreeMap::new();
    for (engine, numbered_runs) in records {
        for numbered_run in numbered_runs {
            let run = &numbered_run.entry;
            let key = (run.request.clone(), run.attempt);
            runs_by_attempt.entry(key).or_default().push(LayerRun {
                engine: engine.clone(),
                seq: numbered_run.seq,
                first_position: run.position,
                end_position: run.position + run.span,
                first_layer: run.first_layer,
                end_layer: run.end_layer,
            });
        }
    }
    for ((request, attempt), runs) in &runs_by_attempt {
        for problem in find_problems(runs) {
            violations.push(format!("{request}/{attempt}: {problem}"));
        }
    }
    violations
}

/// Returns the highest attempt that ran of each request.
pub fn highest_attempts(
    records: &BTreeMap<String, Vec<NumberedRun>>,
) -> BTreeMap<String, u32> {
    let mut highest = BTreeMap::new();
    for run in records.values().flatten() {
        let attempt = highest.entry(run.entry.request.clone()).or_insert(0);
        *attempt = run.entry.attempt.max(*attempt);
    }
    highest
}

/// Layers that one engine ran on a range of positions.
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
        let layers_overlap = self.first_layer < other.end_layer
            && other.first_layer < self.end_layer;
        let positions_overlap = self.first_position < other.end_position
            && other.first_position < self.end_position;
        layers_overlap && positions_overlap
    }
}

fn find_problems(runs: &[LayerRun]) -> Vec<String> {
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
            let is_out_of_order = run.engine == other.engine
                && run.seq < other.seq
                && run.first_position > other.first_position;
            if is_out_of_order {
                problems.push(format!(
                    "{} ran position {} before {}",
                    run.engine, run.first_position, other.first_position
                ));
            }
        }
    }
    problems.extend(find_missing_inputs(runs));
    problems
}

/// Finds positions that a stage ran without the output of the stage before.
fn find_missing_inputs(runs: &[LayerRun]) -> Vec<String> {
    let mut problems = Vec::new();
    for run in runs.iter().filter(|run| run.first_layer > 0) {
        for position in run.first_position..run.end_position {
            let has_input = runs.iter().any(|previous| {
                previous.end_layer == run.first_layer
                    && previous.first_position <= position
                    && position < previous.end_position
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
