//! Paths cover the requested layers at the lowest cost.

use chestnutreach_routing::{LayerHolder, PathRequest, PathStage, find_path};
use proptest::prelude::*;
use rstest::rstest;

const LAYERS: u32 = 12;

fn holder(data_centre: usize, first: u32, end: u32) -> LayerHolder {
    LayerHolder {
        data_centre,
        first_layer: first,
        end_layer: end,
        layer_ms: 1.0,
        prefill_share: 0.0,
        used_token_layers: 0,
        total_token_layers: 100_000,
        is_usable: true,
        can_be_first: true,
    }
}

fn request() -> PathRequest {
    PathRequest {
        first_layer: 0,
        end_layer: LAYERS,
        tokens: 100,
        data_centre: 0,
        is_start: true,
        interconnect_utilisation: 0.0,
        interconnect_prefill_ms: 0.0,
        max_stages: 32,
    }
}

fn path(holders: &[LayerHolder], request: &PathRequest) -> Option<Vec<usize>> {
    let mut rng = fastrand::Rng::with_seed(7);
    let stages = find_path(holders, request, &mut rng)?;
    assert_covers_range(&stages, holders, request);
    Some(stages.iter().map(|stage| stage.holder).collect())
}

fn assert_covers_range(
    stages: &[PathStage],
    holders: &[LayerHolder],
    request: &PathRequest,
) {
    let mut next = request.first_layer;
    let mut seen = Vec::new();
    for stage in stages {
        let holder = &holders[stage.holder];
        assert_eq!(stage.first_layer, next);
        assert!(stage.first_layer < stage.end_layer);
        assert!(holder.first_layer <= stage.first_layer);
        assert!(stage.end_layer <= holder.end_layer);
        assert!(!seen.contains(&stage.holder), "an engine occurs twice");
        seen.push(stage.holder);
        next = stage.end_layer;
    }
    assert_eq!(next, request.end_layer);
}

struct Case {
    holders: Vec<LayerHolder>,
    request: PathRequest,
    path: Option<Vec<usize>>,
}

#[rstest]
#[case::two_halves(Case {
    holders: vec![holder(0, 0, 6), holder(0, 6, 12)],
    request: request(),
    path: Some(vec![0, 1]),
})]
#[case::overlapping_ranges(Case {
    holders: vec![holder(0, 0, 8), holder(0, 4, 12)],
    request: request(),
    path: Some(vec![0, 1]),
})]
#[case::gap_between_ranges(Case {
    holders: vec![holder(0, 0, 6), holder(0, 7, 12)],
    request: request(),
    path: None,
})]
#[case::faster_of_two_engines(Case {
    holders: vec![
        holder(0, 0, 6),
        LayerHolder { layer_ms: 9.0, ..holder(0, 6, 12) },
        holder(0, 6, 12),
    ],
    request: request(),
    path: Some(vec![0, 2]),
})]
#[case::one_other_data_centre_rather_than_two(Case {
    holders: vec![
        holder(0, 0, 6),
        LayerHolder { layer_ms: 1.5, ..holder(1, 0, 6) },
        LayerHolder { layer_ms: 1.5, ..holder(1, 6, 12) },
    ],
    request: request(),
    path: Some(vec![1, 2]),
})]
#[case::interconnect_without_alternative(Case {
    holders: vec![holder(0, 0, 6), holder(1, 6, 12)],
    request: PathRequest { interconnect_utilisation: 0.5, ..request() },
    path: Some(vec![0, 1]),
})]
#[case::full_interconnect(Case {
    holders: vec![holder(0, 0, 6), holder(1, 6, 12)],
    request: PathRequest { interconnect_utilisation: 0.7, ..request() },
    path: None,
})]
#[case::fast_interconnect_instead_of_slow_engine(Case {
    holders: vec![
        holder(0, 0, 6),
        LayerHolder { layer_ms: 12.0, ..holder(0, 6, 12) },
        holder(1, 6, 12),
    ],
    request: PathRequest { interconnect_prefill_ms: 1.0, ..request() },
    path: Some(vec![0, 2]),
})]
#[case::slow_engine_instead_of_narrow_interconnect(Case {
    holders: vec![
        holder(0, 0, 6),
        LayerHolder { layer_ms: 12.0, ..holder(0, 6, 12) },
        holder(1, 6, 12),
    ],
    request: PathRequest { interconnect_prefill_ms: 70.0, ..request() },
    path: Some(vec![0, 1]),
})]
#[case::engine_busy_with_prefill(Case {
    holders: vec![
        holder(0, 0, 6),
        LayerHolder { prefill_share: 0.9, ..holder(0, 6, 12) },
        LayerHolder { layer_ms: 3.0, ..holder(0, 6, 12) },
    ],
    request: request(),
    path: Some(vec![0, 2]),
})]
#[case::memory_full(Case {
    holders: vec![
        holder(0, 0, 6),
        LayerHolder { used_token_layers: 99_500, ..holder(0, 6, 12) },
    ],
    request: request(),
    path: None,
})]
#[case::memory_on_another_engine(Case {
    holders: vec![
        holder(0, 0, 6),
        LayerHolder { used_token_layers: 99_500, ..holder(0, 6, 12) },
        LayerHolder { layer_ms: 5.0, ..holder(0, 6, 12) },
    ],
    request: request(),
    path: Some(vec![0, 2]),
})]
#[case::unusable_engine(Case {
    holders: vec![LayerHolder { is_usable: false, ..holder(0, 0, 12) }],
    request: request(),
    path: None,
})]
#[case::engine_that_cannot_be_first(Case {
    holders: vec![
        LayerHolder { can_be_first: false, ..holder(0, 0, 12) },
        LayerHolder { layer_ms: 5.0, ..holder(0, 0, 12) },
    ],
    request: request(),
    path: Some(vec![1]),
})]
#[case::middle_of_a_path(Case {
    holders: vec![holder(0, 3, 5), holder(0, 4, 9)],
    request: PathRequest {
        first_layer: 3, end_layer: 9, is_start: false, ..request()
    },
    path: Some(vec![0, 1]),
})]
fn finds_the_cheapest_path(#[case] case: Case) {
    assert_eq!(path(&case.holders, &case.request), case.path);
}

fn any_holder() -> impl Strategy<Value = LayerHolder> {
    (0_usize..3, 0_u32..LAYERS, 1_u32..LAYERS, 0.1_f64..9.0, 0_u64..100_000)
        .prop_map(|(data_centre, first, length, layer_ms, used)| LayerHolder {
            layer_ms,
            used_token_layers: used,
            ..holder(data_centre, first, (first + length).min(LAYERS))
        })
}

/// Whether any path exists, found by exhaustive search.
fn path_exists(
    holders: &[LayerHolder],
    request: &PathRequest,
    at: u32,
) -> bool {
    if at == request.end_layer {
        return true;
    }
    holders.iter().any(|h| {
        let holds = h.first_layer <= at && at < h.end_layer;
        let free = h.total_token_layers - h.used_token_layers;
        holds
            && free >= request.tokens
            && path_exists(holders, request, at + 1)
    })
}

proptest! {
    #[test]
    fn path_runs_each_layer_once(
        holders in prop::collection::vec(any_holder(), 1..12),
        seed in any::<u64>(),
    ) {
        let request = request();
        let mut rng = fastrand::Rng::with_seed(seed);
        match find_path(&holders, &request, &mut rng) {
            Some(stages) => assert_covers_range(&stages, &holders, &request),
            // An engine may have the memory for some layers of a stage but
            // not for the whole stage, so a missing path is only an error if
            // all engines are empty.
            None => {
                let without_memory = PathRequest { tokens: 0, ..request };
                let empty: Vec<LayerHolder> = holders
                    .iter()
                    .map(|h| LayerHolder { used_token_layers: 0, ..*h })
                    .collect();
                let covered = path_exists(&empty, &without_memory, 0);
                let full = holders.iter().any(|h| h.used_token_layers > 0);
                prop_assert!(!covered || full);
            }
        }
    }
}

/// Fast engines that hold few layers each, and slower ones that hold more. By
/// cost alone, a path goes from one small engine to the next.
fn small_and_large_engines(layers_each: u32) -> Vec<LayerHolder> {
    let small = (0..80 / layers_each).map(|at| {
        let first = at * layers_each;
        LayerHolder { layer_ms: 0.1, ..holder(0, first, first + layers_each) }
    });
    let large = (0..16).map(|at| LayerHolder {
        layer_ms: 3.0,
        total_token_layers: 100_000,
        ..holder(0, at * 5, at * 5 + 5)
    });
    small.chain(large).collect()
}

struct StageLimitCase {
    layers_each: u32,
    max_stages: usize,
    is_found: bool,
}

#[rstest]
#[case::limit_without_effect(StageLimitCase {
    layers_each: 1, max_stages: 80, is_found: true,
})]
#[case::some_large_engines(StageLimitCase {
    layers_each: 1, max_stages: 32, is_found: true,
})]
#[case::only_large_engines(StageLimitCase {
    layers_each: 1, max_stages: 16, is_found: true,
})]
#[case::limit_below_the_shortest_path(StageLimitCase {
    layers_each: 1, max_stages: 15, is_found: false,
})]
#[case::short_without_large_engines(StageLimitCase {
    layers_each: 4, max_stages: 32, is_found: true,
})]
fn path_has_no_more_stages_than_allowed(#[case] case: StageLimitCase) {
    let holders = small_and_large_engines(case.layers_each);
    let request = PathRequest {
        end_layer: 80,
        max_stages: case.max_stages,
        ..request()
    };
    let found = path(&holders, &request);
    assert_eq!(found.is_some(), case.is_found);
    assert!(found.is_none_or(|stages| stages.len() <= case.max_stages));
}
