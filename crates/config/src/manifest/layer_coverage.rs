//! Whether layer ranges can form a complete chain of a model.
//!
//! Ranges may overlap, since layers are replicated. A chain needs a sequence
//! of ranges from layer 0 to the last layer, each of which starts where the
//! previous range ends.

use std::{collections::BTreeSet, fmt};

/// Reason why no complete chain exists.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(super) enum CoverageError {
    /// No range contains the layers `first..end`.
    Gap {
        /// First layer of the gap.
        first: u32,
        /// End of the gap, exclusive.
        end: u32,
    },
    /// Reachable ranges end at the boundary, but no range starts there.
    NoContinuation {
        /// Layer boundary.
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
                "no chain can continue after layer boundary {boundary}: \
                 layer ranges end there, but none starts there",
            ),
        }
    }
}

/// Finds every reason why `ranges` do not form a chain over `0..layer_count`.
/// `ranges` must not contain empty ranges or ranges beyond `layer_count`.
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

/// Boundaries that partial chains from layer 0 reach. Ranges are sorted by
/// their start, so a single pass is sufficient.
fn reachable_boundaries(ranges: &BTreeSet<(u32, u32)>) -> BTreeSet<u32> {
    let mut boundaries = BTreeSet::from([0]);
    for &(first, end) in ranges {
        if boundaries.contains(&first) {
            boundaries.insert(end);
        }
    }
    boundaries
}
