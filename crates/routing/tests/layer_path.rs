//! Paths over layers.

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
    let parts = find_path(holders, request, &mut rng)?;
    assert_tiles(&parts, holders, request);
    Some(parts.iter().map(|part| part.holder).collect())
}

fn assert_tiles(
    parts: &[PathStage],
    holders: &[LayerHolder],
    request: &PathRequest,
) {
    let mut next = request.first_layer;
    let mut seen = Vec::new();
    for part in parts {
        let holder = &holders[part.holder];
        assert_eq!(part.first_layer, next);
        assert!(part.first_layer < part.end_layer);
        assert!(holder.first_layer <= part.first_layer);
        assert!(part.end_layer <= holder.end_layer);
        assert!(!seen.contains(&part.holder), "an engine comes twice");
        seen.push(part.holder);
        next = part.end_layer;
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
#[case::overlap_is_cut(Case {
    holders: vec![holder(0, 0, 8), holder(0, 4, 12)],
    request: request(),
    path: Some(vec![0, 1]),
})]
#[case::a_gap_has_no_path(Case {
    holders: vec![holder(0, 0, 6), holder(0, 7, 12)],
    request: request(),
    path: None,
})]
#[case::the_faster_one_of_two(Case {
    holders: vec![
        holder(0, 0, 6),
        LayerHolder { layer_ms: 9.0, ..holder(0, 6, 12) },
        holder(0, 6, 12),
    ],
    request: request(),
    path: Some(vec![0, 2]),
})]
#[case::all_elsewhere_rather_than_across(Case {
    holders: vec![
        holder(0, 0, 6),
        LayerHolder { layer_ms: 1.5, ..holder(1, 0, 6) },
        LayerHolder { layer_ms: 1.5, ..holder(1, 6, 12) },
    ],
    request: request(),
    path: Some(vec![1, 2]),
})]
#[case::across_where_nothing_else_is(Case {
    holders: vec![holder(0, 0, 6), holder(1, 6, 12)],
    request: PathRequest { interconnect_utilisation: 0.5, ..request() },
    path: Some(vec![0, 1]),
})]
#[case::not_across_a_full_join(Case {
    holders: vec![holder(0, 0, 6), holder(1, 6, 12)],
    request: PathRequest { interconnect_utilisation: 0.7, ..request() },
    path: None,
})]
#[case::across_a_wide_join_past_a_slow_engine(Case {
    holders: vec![
        holder(0, 0, 6),
        LayerHolder { layer_ms: 12.0, ..holder(0, 6, 12) },
        holder(1, 6, 12),
    ],
    request: PathRequest { interconnect_prefill_ms: 1.0, ..request() },
    path: Some(vec![0, 2]),
})]
#[case::not_across_a_narrow_join(Case {
    holders: vec![
        holder(0, 0, 6),
        LayerHolder { layer_ms: 12.0, ..holder(0, 6, 12) },
        holder(1, 6, 12),
    ],
    request: PathRequest { interconnect_prefill_ms: 70.0, ..request() },
    path: Some(vec![0, 1]),
})]
#[case::past_a_busy_engine(Case {
    holders: vec![
        holder(0, 0, 6),
        LayerHolder { prefill_share: 0.9, ..holder(0, 6, 12) },
        LayerHolder { layer_ms: 3.0, ..holder(0, 6, 12) },
    ],
    request: request(),
    path: Some(vec![0, 2]),
})]
#[case::no_room(Case {
    holders: vec![
        holder(0, 0, 6),
        LayerHolder { used_token_layers: 99_500, ..holder(0, 6, 12) },
    ],
    request: request(),
    path: None,
})]
#[case::room_elsewhere(Case {
    holders: vec![
        holder(0, 0, 6),
        LayerHolder { used_token_layers: 99_500, ..holder(0, 6, 12) },
        LayerHolder { layer_ms: 5.0, ..holder(0, 6, 12) },
    ],
    request: request(),
    path: Some(vec![0, 2]),
})]
#[case::not_usable(Case {
    holders: vec![LayerHolder { is_usable: false, ..holder(0, 0, 12) }],
    request: request(),
    path: None,
})]
#[case::not_first(Case {
    holders: vec![
        LayerHolder { can_be_first: false, ..holder(0, 0, 12) },
        LayerHolder { layer_ms: 5.0, ..holder(0, 0, 12) },
    ],
    request: request(),
    path: Some(vec![1]),
})]
#[case::the_middle_of_a_path(Case {
    holders: vec![holder(0, 3, 5), holder(0, 4, 9)],
    request: PathRequest {
        first_layer: 3, end_layer: 9, is_start: false, ..request()
    },
    path: Some(vec![0, 1]),
})]
fn the_cheapest_path_is_found(#[case] case: Case) {
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

/// Whether some path exists, by trying all of them.
fn exists(holders: &[LayerHolder], request: &PathRequest, at: u32) -> bool {
    if at == request.end_layer {
        return true;
    }
    holders.iter().any(|h| {
        let holds = h.first_layer <= at && at < h.end_layer;
        let room = h.total_token_layers - h.used_token_layers;
        holds && room >= request.tokens && exists(holders, request, at + 1)
    })
}

proptest! {
    #[test]
    fn every_path_runs_each_layer_once(
        holders in prop::collection::vec(any_holder(), 1..12),
        seed in any::<u64>(),
    ) {
        let request = request();
        let mut rng = fastrand::Rng::with_seed(seed);
        match find_path(&holders, &request, &mut rng) {
            Some(parts) => assert_tiles(&parts, &holders, &request),
            // Room for a whole part may lack where room for layers of it
            // is: only the converse holds for all.
            None => {
                let roomy = PathRequest { tokens: 0, ..request };
                let empty: Vec<LayerHolder> = holders
                    .iter()
                    .map(|h| LayerHolder { used_token_layers: 0, ..*h })
                    .collect();
                let covered = exists(&empty, &roomy, 0);
                let full = holders.iter().any(|h| h.used_token_layers > 0);
                prop_assert!(!covered || full);
            }
        }
    }
}

/// Many engines that hold few layers beside few that hold many: by price
/// alone a path goes from one small engine to the next.
fn small_beside_large(layers_each: u32) -> Vec<LayerHolder> {
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

struct PartsCase {
    layers_each: u32,
    max_stages: usize,
    is_found: bool,
}

#[rstest]
#[case::by_price_alone(PartsCase {
    layers_each: 1, max_stages: 80, is_found: true,
})]
#[case::some_on_larger(PartsCase {
    layers_each: 1, max_stages: 32, is_found: true,
})]
#[case::all_on_larger(PartsCase {
    layers_each: 1, max_stages: 16, is_found: true,
})]
#[case::none_is_so_short(PartsCase {
    layers_each: 1, max_stages: 15, is_found: false,
})]
#[case::short_anyway(PartsCase {
    layers_each: 4, max_stages: 32, is_found: true,
})]
fn a_path_has_no_more_parts_than_engines_take(#[case] case: PartsCase) {
    let holders = small_beside_large(case.layers_each);
    let request = PathRequest {
        end_layer: 80,
        max_stages: case.max_stages,
        ..request()
    };
    let found = path(&holders, &request);
    assert_eq!(found.is_some(), case.is_found);
    assert!(found.is_none_or(|parts| parts.len() <= case.max_stages));
}
