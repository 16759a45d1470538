//! Gaps that engines close which already hold layers.

use chestnutreach_planner::{
    LayerRange, LayoutEngine, LayoutModel, Placement, best_move,
    extend_into_gaps, extend_to_free_engine, place_empty, replica_counts,
};
use proptest::prelude::*;

const MODEL: LayoutModel = LayoutModel {
    layer_count: 80,
    layer_mb: 1_750.0,
    token_layer_bytes: 4_100.0,
    first_stage_tokens: f64::INFINITY,
};
/// Memory of four kinds of accelerators, in megabytes.
const KINDS_MB: [f64; 4] = [72_000.0, 36_000.0, 21_600.0, 14_400.0];

fn engine(memory_mb: f64, held: Option<(u32, u32)>) -> LayoutEngine {
    LayoutEngine {
        data_centre: 0,
        memory_mb,
        layer_ms: 1.0,
        held: held.map(|(first, end)| LayerRange::new(first, end)),
        is_available: true,
        accepts_orders: true,
    }
}

fn apply(engines: &mut [LayoutEngine], placements: &[Placement]) {
    for placement in placements {
        engines[placement.engine].held = Some(placement.range);
    }
}

struct Case {
    name: &'static str,
    /// Memory, first layer and end layer of each engine.
    engines: &'static [(f64, u32, u32)],
    /// Engines that are extended, with their new first and end layer.
    extended: &'static [(usize, u32, u32)],
}

const CASES: [Case; 6] = [
    Case {
        name: "no gap",
        engines: &[(72_000.0, 0, 40), (72_000.0, 40, 80)],
        extended: &[],
    },
    Case {
        name: "from both ends, as far as memory allows",
        engines: &[(72_000.0, 0, 32), (72_000.0, 36, 68), (21_600.0, 68, 80)],
        extended: &[(0, 0, 34), (1, 34, 68)],
    },
    Case {
        name: "a gap at the end of the model, from one side",
        engines: &[(72_000.0, 0, 36), (72_000.0, 36, 70), (36_000.0, 66, 76)],
        extended: &[(2, 66, 80)],
    },
    Case {
        name: "no partial closing of a gap",
        engines: &[(36_000.0, 0, 14), (36_000.0, 60, 80)],
        extended: &[],
    },
    Case {
        name: "not without enough KV capacity",
        engines: &[
            (21_600.0, 0, 12),
            (21_600.0, 13, 25),
            (72_000.0, 25, 61),
            (36_000.0, 61, 80),
        ],
        extended: &[],
    },
    Case {
        name: "the adjacent engine with the most KV capacity",
        engines: &[
            (36_000.0, 0, 19),
            (72_000.0, 0, 19),
            (72_000.0, 20, 50),
            (72_000.0, 50, 80),
        ],
        extended: &[(1, 0, 20)],
    },
];

#[test]
fn engines_extend_only_to_close_a_gap() {
    for case in CASES {
        let engines: Vec<LayoutEngine> = case
            .engines
            .iter()
            .map(|(memory, first, end)| engine(*memory, Some((*first, *end))))
            .collect();
        let extended: Vec<(usize, u32, u32)> =
            extend_into_gaps(&MODEL, &engines)
                .iter()
                .map(|p| (p.engine, p.range.first_layer, p.range.end_layer))
                .collect();
        assert_eq!(extended, case.extended, "{}", case.name);
    }
}

#[test]
fn others_extend_to_free_an_engine_if_none_can_move_or_extend() {
    // Layers 50..80 are lost. No engine can be extended that far, or holds
    // only layers with a second replica.
    let mut engines = [
        engine(36_000.0, Some((0, 6))),
        engine(72_000.0, Some((4, 34))),
        engine(36_000.0, Some((38, 50))),
        engine(72_000.0, Some((10, 38))),
    ];
    assert!(extend_into_gaps(&MODEL, &engines).is_empty());
    assert_eq!(best_move(&MODEL, &engines), None);
    let freed = extend_to_free_engine(&MODEL, &engines);
    // Engine 1 is the only holder of 6..10, to which engine 0 can extend.
    let range = LayerRange::new(0, 10);
    assert_eq!(freed, [Placement { engine: 0, range }]);
    apply(&mut engines, &freed);
    let moved = best_move(&MODEL, &engines).expect("engine 1 can move now");
    assert_eq!(moved.range.layer_count(), 30);
    apply(&mut engines, &[moved]);
    assert!(!replica_counts(&MODEL, &engines)[0].contains(&0), "{engines:?}");
}

/// A data centre with an initial layout, after the loss of some engines.
fn after_a_loss() -> impl Strategy<Value = Vec<LayoutEngine>> {
    let kinds = prop::collection::vec((0_usize..4, 0_u8..10), 8..24);
    kinds.prop_map(|kinds| {
        let memory = |(kind, _): &(usize, u8)| engine(KINDS_MB[*kind], None);
        let mut engines: Vec<LayoutEngine> =
            kinds.iter().map(memory).collect();
        let placements = place_empty(&MODEL, &engines);
        apply(&mut engines, &placements);
        for (engine, (_, chance)) in engines.iter_mut().zip(&kinds) {
            engine.is_available = *chance > 0;
            engine.accepts_orders = engine.is_available;
        }
        engines
    })
}

proptest! {
    #[test]
    fn extensions_release_no_layers_and_fit(engines in after_a_loss()) {
        for extended in [extend_into_gaps, extend_to_free_engine] {
            for placement in extended(&MODEL, &engines) {
                let engine = &engines[placement.engine];
                let range = placement.range;
                prop_assert!(engine.accepts_orders);
                prop_assert!(range.contains(engine.held.unwrap()));
                prop_assert!(range.end_layer <= MODEL.layer_count);
                let layers_mb =
                    f64::from(range.layer_count()) * MODEL.layer_mb;
                prop_assert!(layers_mb < engine.memory_mb);
            }
        }
    }

    #[test]
    fn extensions_close_gaps_completely(mut engines in after_a_loss()) {
        let before = replica_counts(&MODEL, &engines);
        let extended = extend_into_gaps(&MODEL, &engines);
        apply(&mut engines, &extended);
        let after = replica_counts(&MODEL, &engines);
        let gaps = |counts: &[u32]| {
            counts.iter().filter(|count| **count == 0).count()
        };
        prop_assert_eq!(
            extended.is_empty(),
            gaps(&before[0]) == gaps(&after[0])
        );
    }
}
