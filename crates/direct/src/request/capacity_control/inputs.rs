//! What the entry knows of the capacity of all engines and the demand at all
//! entries.

use chestnutreach_routing::{
    DemandRates, FleetFill,
    capacity_shares::hears_enough,
    fleet_fill::{ServerLoad, fleet_fill},
};
use chestnutreach_site::Model;

use crate::{
    clock::now_ms,
    cluster::{engine::Engine, fleet::accepts_work},
    core::Core,
    request::route::USABLE_MEMORY_SHARE,
};

/// How full the engines are and what is asked for, as far as this entry knows.
///
/// An entry that hears from less than half of the others does not know what
/// those use and ask for. It then counts its own requests alone, and no more
/// than its own part of the capacity.
pub(super) fn load_seen(
    core: &Core,
    service: &str,
    model: &Model,
    own: DemandRates,
    running_tokens: u64,
) -> (FleetFill, DemandRates) {
    let now_ms = now_ms();
    let engines = core.fleet.of_service(service);
    let without_report = core.entries_without_report();
    let loads: Vec<ServerLoad> = engines
        .all
        .iter()
        .filter_map(|e| server_load(model, e, without_report, now_ms))
        .collect();
    let utilisation =
        core.interconnect.utilisation(&core.peers, model.interconnect_mbps);
    let seen = fleet_fill(model.layer_count, &loads, utilisation);
    let sharing = core.peers.running_count(now_ms);
    let heard = core.peers.live(now_ms).len();
    if hears_enough(heard, sharing) {
        let mut demand = own;
        demand.add(&core.peers.demand_of_peers(service, now_ms));
        return (seen, demand);
    }
    (seen.own_part(sharing + 1, running_tokens), own)
}

fn server_load(
    model: &Model,
    engine: &Engine,
    entries_without_report: u64,
    now_ms: u64,
) -> Option<ServerLoad> {
    let state = engine.lock();
    let kind = model.kinds.get(state.row.kind.as_ref()?)?;
    let held = state.row.held?;
    if !accepts_work(&state, now_ms) {
        return None;
    }
    let layers = f64::from(held.layer_count().max(1));
    let total = model.token_layer_capacity(kind, held.layer_count()) as f64;
    let used = engine.estimated_token_layers(entries_without_report) as f64;
    Some(ServerLoad {
        data_centre: engine.data_centre,
        first_layer: held.first_layer,
        end_layer: held.end_layer,
        capacity_tokens: USABLE_MEMORY_SHARE * total / layers,
        used_tokens: used / layers,
        slots: u64::from(state.row.slots),
        used_slots: engine.first_count(),
    })
}
