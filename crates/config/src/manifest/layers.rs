//! Whether layer ranges can tile a model.
//!
//! Ranges may overlap, since replicas do; what a chain needs is one way from
//! layer 0 to the last over ranges that meet end to start.

use std::{collections::BTreeSet, fmt};

/// Why no chain can be built.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(super) enum LayerFault {
    /// Layers `first..end` that no range holds.
    Uncovered {
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

impl fmt::Display for LayerFault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            LayerFault::Uncovered { first, end } => {
                write!(f, "no backend server holds the layers {first}..{end}")
            }
            LayerFault::NoContinuation { boundary } => write!(
                f,
                "no chain can go on after layer boundary {boundary}: \
                 backend servers end there and none starts there",
            ),
        }
    }
}

/// Everything that keeps `ranges` from tiling `0..layer_count`. Empty and
/// overlong ranges must be left out before.
pub(super) fn faults(
    ranges: &BTreeSet<(u32, u32)>,
    layer_count: u32,
) -> Vec<LayerFault> {
    let uncovered = uncovered(ranges, layer_count);
    if !uncovered.is_empty() {
        return uncovered;
    }
    let reached = reached(ranges);
    if reached.contains(&layer_count) {
        return Vec::new();
    }
    let starts: BTreeSet<u32> = ranges.iter().map(|range| range.0).collect();
    let dead_ends = reached.difference(&starts);
    dead_ends
        .map(|&boundary| LayerFault::NoContinuation { boundary })
        .collect()
}

fn uncovered(
    ranges: &BTreeSet<(u32, u32)>,
    layer_count: u32,
) -> Vec<LayerFault> {
    let mut faults = Vec::new();
    let mut covered_end = 0;
    let last = (layer_count, layer_count);
    for &(first, end) in ranges.iter().chain([&last]) {
        if first > covered_end {
            faults.push(LayerFault::Uncovered {
                first: covered_end,
                end: first,
            });
        }
        covered_end = covered_end.max(end);
    }
    faults
}

/// Boundaries that chains from layer 0 reach. Ranges are in the order of
/// their starts, so one pass is enough.
fn reached(ranges: &BTreeSet<(u32, u32)>) -> BTreeSet<u32> {
    let mut reached = BTreeSet::from([0]);
    for &(first, end) in ranges {
        if reached.contains(&first) {
            reached.insert(end);
        }
    }
    reached
}
