//! The layout against a bound and simple baselines, on random data centres.
//!
//! Four figures of a data centre: the share of the engines that hold layers
//! whose loss leaves every layer held; the room for requests, in tokens, which
//! is the least sum over the engines that hold a layer; that room as a share
//! of the bound that the same layers would allow if their engines could share
//! all their memory; and the
//! flow over layer boundaries, the least sum of rates of the engines that
//! hold a layer, as a share of the bound that the same layers would allow if
//! they could be dealt out evenly.

use chestnutreach_planner::{
    LayerRange, LayoutEngine, LayoutModel, place_empty,
};

const MODEL: LayoutModel = LayoutModel {
    layer_count: 80,
    layer_mb: 1_750.0,
    token_layer_bytes: 7_375.0,
    first_stage_tokens: f64::INFINITY,
};
/// Memory in megabytes and rate of each kind of accelerator.
const KINDS: [(f64, f64); 4] =
    [(72_000.0, 71.0), (36_000.0, 32.0), (21_600.0, 6.2), (14_400.0, 6.7)];
/// Data centres that are tried.
const TRIES: u64 = 60;

#[derive(Clone, Copy, Debug)]
enum Method {
    Layout,
    /// Every engine as full as it goes, in sequence.
    Filled,
    /// One copy on the largest engines.
    OneCopy,
    /// As many layers as the layout gives, anywhere.
    Anywhere,
}

#[derive(Clone, Copy, Debug, Default)]
struct Figures {
    survived: f64,
    room_tokens: f64,
    room_share: f64,
    flow_share: f64,
}

fn data_centre(rng: &mut fastrand::Rng) -> (Vec<LayoutEngine>, Vec<f64>) {
    let counts =
        [rng.usize(0..2), rng.usize(1..3), rng.usize(6..13), rng.usize(3..12)];
    let kinds = counts
        .iter()
        .enumerate()
        .flat_map(|(kind, count)| std::iter::repeat_n(KINDS[kind], *count));
    kinds
        .map(|(memory_mb, rate)| {
            let engine = LayoutEngine {
                data_centre: 0,
                memory_mb,
                layer_ms: 1.0,
                held: None,
                is_available: true,
                accepts_orders: true,
            };
            (engine, rate)
        })
        .unzip()
}

fn most_layers(engine: &LayoutEngine) -> u32 {
    (engine.memory_mb / MODEL.layer_mb) as u32
}

fn ranges(
    method: Method,
    engines: &[LayoutEngine],
    rng: &mut fastrand::Rng,
) -> Vec<Option<LayerRange>> {
    let mut ranges = vec![None; engines.len()];
    let placed = place_empty(&MODEL, engines);
    match method {
        Method::Layout => {
            for placement in placed {
                ranges[placement.engine] = Some(placement.range);
            }
        }
        Method::Anywhere => {
            for placement in placed {
                let layers = placement.range.layer_count();
                let first = rng.u32(0..=MODEL.layer_count - layers);
                let range = LayerRange::new(first, first + layers);
                ranges[placement.engine] = Some(range);
            }
        }
        Method::Filled | Method::OneCopy => {
            let mut next = 0;
            let mut copies = 0;
            for (at, engine) in engines.iter().enumerate() {
                if matches!(method, Method::OneCopy) && copies == 1 {
                    break;
                }
                let end = (next + most_layers(engine)).min(MODEL.layer_count);
                ranges[at] = Some(LayerRange::new(next, end));
                next = end % MODEL.layer_count;
                copies += u32::from(next == 0);
            }
        }
    }
    ranges
}

fn holds(range: &Option<LayerRange>, layer: u32) -> bool {
    range.is_some_and(|r| r.first_layer <= layer && layer < r.end_layer)
}

fn figures(
    engines: &[LayoutEngine],
    rates: &[f64],
    ranges: &[Option<LayerRange>],
) -> Figures {
    let held_without = |lost: usize| {
        (0..MODEL.layer_count).all(|layer| {
            let others = ranges.iter().enumerate().filter(|r| r.0 != lost);
            others.map(|r| r.1).any(|range| holds(range, layer))
        })
    };
    let placed = || {
        ranges.iter().enumerate().filter_map(|(at, range)| {
            Some((at, range.as_ref()?.layer_count()))
        })
    };
    let room = |at: usize| {
        let layers =
            ranges[at].map_or(1.0, |range| range.layer_count().into());
        let free_mb = engines[at].memory_mb - layers * MODEL.layer_mb;
        free_mb * 1e6 / (MODEL.token_layer_bytes * layers)
    };
    let room_tokens = (0..MODEL.layer_count)
        .map(|layer| {
            let holders =
                (0..engines.len()).filter(|at| holds(&ranges[*at], layer));
            holders.map(room).sum()
        })
        .fold(f64::MAX, f64::min);
    let free_mb: f64 = placed()
        .map(|(at, layers)| {
            engines[at].memory_mb - f64::from(layers) * MODEL.layer_mb
        })
        .sum();
    let room_bound = free_mb * 1e6
        / (MODEL.token_layer_bytes * f64::from(MODEL.layer_count));
    let flow = (0..MODEL.layer_count)
        .map(|layer| {
            let of = |at: usize| holds(&ranges[at], layer);
            (0..engines.len()).filter(|at| of(*at)).map(|at| rates[at]).sum()
        })
        .fold(f64::MAX, f64::min);
    let bound: f64 =
        placed().map(|(at, layers)| rates[at] * f64::from(layers)).sum();
    let holding: Vec<usize> = placed().map(|(at, _)| at).collect();
    let survived = holding.iter().filter(|at| held_without(**at)).count();
    Figures {
        survived: survived as f64 / holding.len() as f64,
        room_tokens,
        room_share: room_tokens / room_bound,
        flow_share: flow / (bound / f64::from(MODEL.layer_count)),
    }
}

/// Means over all tries.
fn means(method: Method) -> Figures {
    let mut sum = Figures::default();
    for seed in 0..TRIES {
        let mut rng = fastrand::Rng::with_seed(seed);
        let (engines, rates) = data_centre(&mut rng);
        let ranges = ranges(method, &engines, &mut rng);
        let one = figures(&engines, &rates, &ranges);
        sum.survived += one.survived / TRIES as f64;
        sum.room_tokens += one.room_tokens / TRIES as f64;
        sum.room_share += one.room_share / TRIES as f64;
        sum.flow_share += one.flow_share / TRIES as f64;
    }
    sum
}

#[test]
fn the_layout_is_better_than_the_baselines() {
    let layout = means(Method::Layout);
    let filled = means(Method::Filled);
    let one_copy = means(Method::OneCopy);
    let anywhere = means(Method::Anywhere);
    for (name, figures) in [
        ("layout", layout),
        ("filled", filled),
        ("one copy", one_copy),
        ("anywhere", anywhere),
    ] {
        println!("{name}: {figures:?}");
    }
    // Filled engines have no room for requests at all.
    assert!(layout.room_tokens > 10.0 * filled.room_tokens);
    assert!(layout.survived > one_copy.survived + 0.5);
    assert!(layout.survived > anywhere.survived + 0.5);
    assert!(layout.flow_share > anywhere.flow_share);
    // Regression bounds; seeds are fixed, so figures are exact: 0.882,
    // 207,100, 0.854 and 0.451. With the same room at every engine instead of
    // every layer they were 0.867, 129,266, 0.716 and 0.313. Filled engines
    // survive more (0.986) with 12,873 tokens of room, which no deployment
    // could serve with.
    assert!(layout.survived >= 0.87, "{layout:?}");
    assert!(layout.room_tokens >= 200_000.0, "{layout:?}");
    assert!(layout.room_share >= 0.84, "{layout:?}");
    assert!(layout.flow_share >= 0.44, "{layout:?}");
}
