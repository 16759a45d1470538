//! Whether layer ranges can tile a model.
//!
//! Ranges may overlap, since replicas do; what a chain needs is one way from
//! layer 0 to the last over ranges that meet end to start.

use std::{collections::BTreeSet, fmt};

/// Why no chain can be built.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(super) enum CoverageError {
    /// Layers `first..end` that no range holds.
    Gap {
        /// First such layer.
        first: u32,
        /// End of them.
        end: u32,
    },
    /// Ranges end at the boundary and none starts there.
    NoContinuation {
        /// The boundary.
        boundary: u32,
    },
}

impl fmt::Display for CoverageError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            CoverageError::Gap { first, end } => {
                write!(f, "no backend server holds the layers {first}..{end}")
            }
            CoverageError::NoContinuation { boundary } => write!(
                f,
                "no chain can go on after layer boundary {boundary}: \
                 backend servers end there and none starts there",
            ),
        }
    }
}

/// Everything that keeps `ranges` from tiling `0..layer_count`. Empty and
/// overlong ranges must be left out before.
pub(super) fn coverage_errors(
    ranges: &BTreeSet<(u32, u32)>,
    layer_count: u32,
) -> Vec<CoverageError> {
    let gaps = find_gaps(ranges, layer_count);
    if !gaps.is_empty() {
        return gaps;
    }
    let reachable = reachable_boundaries(ranges);
    if reachable.contains(&layer_count) {
        return Vec::new();
    }
    let starts: BTreeSet<u32> = ranges.iter().map(|range| range.0).collect();
    let dead_ends = reachable.difference(&starts);
    dead_ends
        .map(|&boundary| CoverageError::NoContinuation { boundary })
        .collect()
}

fn find_gaps(
    ranges: &BTreeSet<(u32, u32)>,
    layer_count: u32,
) -> Vec<CoverageError> {
    let mut gaps = Vec::new();
    let mut covered_end = 0;
    let last = (layer_count, layer_count);
    for &(first, end) in ranges.iter().chain([&last]) {
        if first > covered_end {
            gaps.push(CoverageError::Gap { first: covered_end, end: first });
        }
        covered_end = covered_end.max(end);
    }
    gaps
}

/// Boundaries that chains from layer 0 reach. Ranges are in the order of
/// their starts, so one pass is enough.
fn reachable_boundaries(ranges: &BTreeSet<(u32, u32)>) -> BTreeSet<u32> {
    let mut boundaries = BTreeSet::from([0]);
    for &(first, end) in ranges {
        if boundaries.contains(&first) {
            boundaries.insert(end);
        }
    }
    boundaries
}
