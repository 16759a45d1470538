//! Layers for empty engines, and moves of engines that hold layers.

use chestnutreach_planner::{
    LayerRange, LayoutEngine, LayoutModel, Placement, best_move, place_empty,
    replica_counts,
};
use proptest::prelude::*;

const MODEL: LayoutModel = LayoutModel {
    layer_count: 80,
    layer_mb: 1_750.0,
    token_layer_bytes: 7_375.0,
    first_stage_tokens: f64::INFINITY,
};
/// Memory of four kinds of accelerators, in megabytes.
const KINDS_MB: [f64; 4] = [72_000.0, 36_000.0, 21_600.0, 14_400.0];

fn engine(data_centre: usize, memory_mb: f64) -> LayoutEngine {
    LayoutEngine {
        data_centre,
        memory_mb,
        layer_ms: 1.0,
        held: None,
        is_available: true,
        accepts_orders: true,
    }
}

fn apply(engines: &mut [LayoutEngine], placements: &[Placement]) {
    for placement in placements {
        engines[placement.engine].held = Some(placement.range);
    }
}

/// A data centre of one large, eight medium and three small engines.
fn mixed(data_centre: usize) -> Vec<LayoutEngine> {
    let kinds = [(1, 1), (2, 8), (3, 3)];
    let of_kind = |(kind, count): (usize, usize)| {
        vec![engine(data_centre, KINDS_MB[kind]); count]
    };
    kinds.into_iter().flat_map(of_kind).collect()
}

#[test]
fn each_data_centre_gets_all_layers_and_some_twice() {
    let mut engines = mixed(0);
    engines.extend(mixed(1));
    let placements = place_empty(&MODEL, &engines);
    apply(&mut engines, &placements);
    for counts in replica_counts(&MODEL, &engines) {
        assert!(counts.iter().all(|count| *count >= 1), "{counts:?}");
        assert!(counts.iter().any(|count| *count >= 2), "{counts:?}");
    }
}

#[test]
fn an_engine_that_restarted_empty_fills_its_gap() {
    let mut engines = mixed(0);
    let placements = place_empty(&MODEL, &engines);
    apply(&mut engines, &placements);
    let counts = replica_counts(&MODEL, &engines)[0].clone();
    let single = (0..engines.len()).find(|at| {
        let held = engines[*at].held.unwrap();
        (held.first_layer..held.end_layer)
            .all(|layer| counts[layer as usize] == 1)
    });
    let single = single.unwrap();
    let lost = engines[single].held.take().unwrap();
    let placements = place_empty(&MODEL, &engines);
    assert_eq!(placements.len(), 1);
    assert_eq!(placements[0].engine, single);
    assert_eq!(placements[0].range, lost);
}

#[test]
fn an_engine_with_a_second_replica_moves_to_a_gap() {
    let held = |first, end| LayoutEngine {
        held: Some(LayerRange::new(first, end)),
        ..engine(0, KINDS_MB[1])
    };
    let engines = [held(0, 20), held(0, 20), held(20, 40), held(40, 60)];
    let moved = best_move(&MODEL, &engines).unwrap();
    assert!(moved.engine < 2);
    assert_eq!(moved.range, LayerRange::new(60, 80));
}

#[test]
fn the_last_replica_does_not_move() {
    let held = |first, end| LayoutEngine {
        held: Some(LayerRange::new(first, end)),
        ..engine(0, KINDS_MB[1])
    };
    let engines = [held(0, 20), held(20, 40), held(40, 60)];
    assert_eq!(best_move(&MODEL, &engines), None);
}

#[test]
fn layers_beyond_the_model_are_ignored() {
    let held = |first, end| LayoutEngine {
        held: Some(LayerRange::new(first, end)),
        ..engine(0, KINDS_MB[1])
    };
    let engines = [held(70, 100), held(70, 100), held(0, 90), held(95, 99)];
    let moved = best_move(&MODEL, &engines);
    assert!(moved.is_none_or(|moved| moved.range.end_layer <= 80));
    let engines = [held(70, 100), held(70, 100), held(95, 99)];
    let moved = best_move(&MODEL, &engines).unwrap();
    assert!(moved.range.end_layer <= 80);
}

fn any_engines() -> impl Strategy<Value = Vec<LayoutEngine>> {
    let one = (0_usize..3, 0_usize..4, any::<bool>(), any::<bool>()).prop_map(
        |(data_centre, kind, is_available, accepts_orders)| LayoutEngine {
            is_available,
            accepts_orders: accepts_orders && is_available,
            ..engine(data_centre, KINDS_MB[kind])
        },
    );
    prop::collection::vec(one, 0..40)
}

proptest! {
    #[test]
    fn placements_fit_into_memory(mut engines in any_engines()) {
        for _ in 0..4 {
            let mut placements = place_empty(&MODEL, &engines);
            placements.extend(best_move(&MODEL, &engines));
            for placement in &placements {
                let engine = &engines[placement.engine];
                let layers = f64::from(placement.range.layer_count());
                prop_assert!(layers >= 1.0);
                prop_assert!(placement.range.end_layer <= MODEL.layer_count);
                prop_assert!(layers * MODEL.layer_mb <= engine.memory_mb);
                prop_assert!(engine.accepts_orders);
            }
            apply(&mut engines, &placements);
        }
    }

    #[test]
    fn a_move_never_causes_a_gap(mut engines in any_engines()) {
        let placements = place_empty(&MODEL, &engines);
        apply(&mut engines, &placements);
        // Some engines are lost at the same time.
        for engine in engines.iter_mut().step_by(3) {
            engine.is_available = false;
            engine.accepts_orders = false;
        }
        let before = replica_counts(&MODEL, &engines);
        if let Some(placement) = best_move(&MODEL, &engines) {
            apply(&mut engines, &[placement]);
            for (old, new) in
                before.iter().zip(replica_counts(&MODEL, &engines))
            {
                for (old, new) in old.iter().zip(new) {
                    prop_assert!(*old == 0 || new > 0);
                }
            }
        }
    }
}
