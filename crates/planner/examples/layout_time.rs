//! Time of a layout, by the number of engines in three data centres.
//!
//! `cargo run --release -p chestnutreach-planner --example layout_time`

use std::{hint::black_box, time::Instant};

use chestnutreach_planner::{LayoutEngine, LayoutModel, place_empty};

const MODEL: LayoutModel = LayoutModel {
    layer_count: 80,
    layer_mb: 1_750.0,
    token_layer_bytes: 4_100.0,
    first_stage_tokens: 192.0 * 950.0,
};
/// Memory in megabytes and time of a token through a layer in milliseconds.
const KINDS: [(f64, f64); 3] =
    [(72_000.0, 0.03), (14_400.0, 0.07), (21_600.0, 0.2)];
const DATA_CENTRES: usize = 3;

fn engines(count: usize) -> Vec<LayoutEngine> {
    let engine = |at: usize| {
        let kind = match at % 11 {
            0 => 0,
            1..=5 => 1,
            _ => 2,
        };
        LayoutEngine {
            data_centre: at % DATA_CENTRES,
            memory_mb: KINDS[kind].0,
            layer_ms: KINDS[kind].1,
            held: None,
            is_available: true,
            accepts_orders: true,
        }
    };
    (0..count).map(engine).collect()
}

fn main() {
    for count in [56, 300, 1_100, 3_000] {
        let engines = engines(count);
        let began = Instant::now();
        let placements = black_box(place_empty(&MODEL, &engines));
        let ms = began.elapsed().as_secs_f64() * 1e3;
        println!("{count} engines: {ms:.1} ms, {} ranges", placements.len());
    }
}
