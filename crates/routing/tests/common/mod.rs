//! Test fleets.
#![allow(dead_code)]

use chestnutreach_routing::{
    BackendSpec, Fleet, LiveState, LoadReport, Network, Presence,
};

pub const NOW_MS: u64 = 1_000_000;

pub fn spec(name: &str, first_layer: u32, end_layer: u32) -> BackendSpec {
    BackendSpec {
        name: name.to_string(),
        data_centre: 0,
        first_layer,
        end_layer,
        price_micros_per_hour: 900_000,
        prompt_tokens_per_s: 8_000,
        output_tokens_per_s: 1_600,
        max_running: 16,
        cache_tokens: 400_000,
    }
}

pub fn numbered(ranges: &[(u32, u32)]) -> Vec<BackendSpec> {
    let numbered_spec = |(at, &(first, end)): (usize, &(u32, u32))| {
        spec(&format!("server-{at}"), first, end)
    };
    ranges.iter().enumerate().map(numbered_spec).collect()
}

pub fn fleet(layer_count: u32, specs: Vec<BackendSpec>) -> Fleet {
    Fleet::try_new(layer_count, specs, Network::new(3)).expect("a fleet")
}

/// State in which all servers serve and have just reported the given load.
pub fn serving(fleet: &Fleet, running: u32) -> LiveState {
    let live = LiveState::new(fleet.len());
    for index in fleet.indices() {
        live.set_presence(index, Presence::Serving);
        live.record_report(index, &report(running), NOW_MS);
    }
    live
}

pub fn report(running: u32) -> LoadReport {
    LoadReport { running, is_healthy: true, ..LoadReport::default() }
}
