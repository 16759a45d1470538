//! Gaps that engines which hold layers close.

use chestnutreach_planner::{
    LayerRange, LayoutEngine, LayoutModel, Placement, grow_into_gaps,
    grow_to_free, move_one, place_empty, replica_counts,
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

struct Growing {
    name: &'static str,
    /// Memory and layers of each engine.
    engines: &'static [(f64, u32, u32)],
    /// Engines that grow, with their layers then.
    grown: &'static [(usize, u32, u32)],
}

const GROWING: [Growing; 6] = [
    Growing {
        name: "no gap",
        engines: &[(72_000.0, 0, 40), (72_000.0, 40, 80)],
        grown: &[],
    },
    Growing {
        name: "from both ends, each by what its memory allows",
        engines: &[(72_000.0, 0, 32), (72_000.0, 36, 68), (21_600.0, 68, 80)],
        grown: &[(0, 0, 34), (1, 34, 68)],
    },
    Growing {
        name: "the end of the model from one side",
        engines: &[(72_000.0, 0, 36), (72_000.0, 36, 70), (36_000.0, 66, 76)],
        grown: &[(2, 66, 80)],
    },
    Growing {
        name: "only as a whole",
        engines: &[(36_000.0, 0, 14), (36_000.0, 60, 80)],
        grown: &[],
    },
    Growing {
        name: "not where no room would be left",
        engines: &[
            (21_600.0, 0, 12),
            (21_600.0, 13, 25),
            (72_000.0, 25, 61),
            (36_000.0, 61, 80),
        ],
        grown: &[],
    },
    Growing {
        name: "of two beside it the one with more room",
        engines: &[
            (36_000.0, 0, 19),
            (72_000.0, 0, 19),
            (72_000.0, 20, 50),
            (72_000.0, 50, 80),
        ],
        grown: &[(1, 0, 20)],
    },
];

#[test]
fn engines_grow_where_they_close_a_gap() {
    for case in GROWING {
        let engines: Vec<LayoutEngine> = case
            .engines
            .iter()
            .map(|(memory, first, end)| engine(*memory, Some((*first, *end))))
            .collect();
        let grown: Vec<(usize, u32, u32)> = grow_into_gaps(&MODEL, &engines)
            .iter()
            .map(|p| (p.engine, p.range.first_layer, p.range.end_layer))
            .collect();
        assert_eq!(grown, case.grown, "{}", case.name);
    }
}

#[test]
fn an_engine_is_freed_where_none_can_move_or_close_the_gap() {
    // Layers 50..80 are lost; none is doubled as a whole or has the room.
    let mut engines = [
        engine(36_000.0, Some((0, 6))),
        engine(72_000.0, Some((4, 34))),
        engine(36_000.0, Some((38, 50))),
        engine(72_000.0, Some((10, 38))),
    ];
    assert!(grow_into_gaps(&MODEL, &engines).is_empty());
    assert_eq!(move_one(&MODEL, &engines), None);
    let freed = grow_to_free(&MODEL, &engines);
    // The second one holds 6..10 alone, which the first one can take on.
    let range = LayerRange::new(0, 10);
    assert_eq!(freed, [Placement { engine: 0, range }]);
    apply(&mut engines, &freed);
    let moved = move_one(&MODEL, &engines).expect("one is free now");
    assert_eq!(moved.range.layer_count(), 30);
    apply(&mut engines, &[moved]);
    assert!(!replica_counts(&MODEL, &engines)[0].contains(&0), "{engines:?}");
}

/// A data centre as the layout leaves it, without some of its engines.
fn after_a_loss() -> impl Strategy<Value = Vec<LayoutEngine>> {
    let kinds = prop::collection::vec((0_usize..4, 0_u8..10), 8..24);
    kinds.prop_map(|kinds| {
        let memory = |(kind, _): &(usize, u8)| engine(KINDS_MB[*kind], None);
        let mut engines: Vec<LayoutEngine> =
            kinds.iter().map(memory).collect();
        let placements = place_empty(&MODEL, &engines);
        apply(&mut engines, &placements);
        for (engine, (_, luck)) in engines.iter_mut().zip(&kinds) {
            engine.is_available = *luck > 0;
            engine.accepts_orders = engine.is_available;
        }
        engines
    })
}

proptest! {
    #[test]
    fn growth_gives_nothing_up_and_fits(engines in after_a_loss()) {
        for grown in [grow_into_gaps, grow_to_free] {
            for placement in grown(&MODEL, &engines) {
                let engine = &engines[placement.engine];
                let range = placement.range;
                prop_assert!(engine.accepts_orders);
                prop_assert!(range.contains(engine.held.unwrap()));
                prop_assert!(range.end_layer <= MODEL.layer_count);
                let layers_mb = f64::from(range.layer_count()) * MODEL.layer_mb;
                prop_assert!(layers_mb < engine.memory_mb);
            }
        }
    }

    #[test]
    fn growth_closes_gaps_as_a_whole(mut engines in after_a_loss()) {
        let before = replica_counts(&MODEL, &engines);
        let grown = grow_into_gaps(&MODEL, &engines);
        apply(&mut engines, &grown);
        let after = replica_counts(&MODEL, &engines);
        let gaps = |counts: &[u32]| {
            counts.iter().filter(|count| **count == 0).count()
        };
        prop_assert_eq!(grown.is_empty(), gaps(&before[0]) == gaps(&after[0]));
    }
}
