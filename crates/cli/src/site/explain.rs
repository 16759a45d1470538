//! `site explain`: shows the path of a described request.
//!
//! The path is computed from the tables of the store only, without what the
//! entries know about load and failed engines.

use std::net::SocketAddr;

use chestnutreach_adapter::engine::MAX_PATH_STAGES;
use chestnutreach_routing::{LayerHolder, PathRequest, find_path};
use chestnutreach_site::{Backend, BackendState, Model};
use clap::{Arg, ArgMatches, Command, value_parser};
use serde_json::json;

use super::state::{self, STORE};
use crate::{args, daemons, exit::Exit, output};

pub(crate) const NAME: &str = "explain";
const SERVICE: &str = "service";
const DATA_CENTRE: &str = "data-centre";
const TOKENS: &str = "tokens";

/// Defines the subcommand.
pub(crate) fn command() -> Command {
    Command::new(NAME)
        .about("Shows the engines that would run a described request")
        .arg(args::address(STORE, "Store of the platform").required(true))
        .arg(
            Arg::new(SERVICE)
                .long(SERVICE)
                .required(true)
                .help("Name of the language service"),
        )
        .arg(
            Arg::new(DATA_CENTRE)
                .long(DATA_CENTRE)
                .required(true)
                .help("Data centre of the entry"),
        )
        .arg(
            Arg::new(TOKENS)
                .long(TOKENS)
                .value_parser(value_parser!(u64))
                .default_value("1000")
                .help("Tokens that the request holds in KV memory"),
        )
        .arg(args::timeout(daemons::TIMEOUT_MS))
        .arg(args::json())
}

/// Prints the path.
pub(crate) fn run(matches: &ArgMatches) -> anyhow::Result<Exit> {
    let store: SocketAddr = *args::required(matches, STORE);
    let service: &String = args::required(matches, SERVICE);
    let data_centre: &String = args::required(matches, DATA_CENTRE);
    let tokens: u64 = *args::required(matches, TOKENS);
    let timeout = args::timeout_of(matches);
    let store_state = async_io::block_on(state::read_store(store, timeout))?;
    let service_configuration =
        store_state.configuration.services.get(service);
    let Some(model) = service_configuration.and_then(|s| s.model.as_ref())
    else {
        eprintln!("the configuration has no language service {service:?}");
        return Ok(Exit::Findings);
    };
    let engines: Vec<&Backend> = store_state
        .backends
        .iter()
        .filter(|b| b.service == *service)
        .collect();
    let mut data_centres: Vec<&str> =
        engines.iter().map(|b| b.data_centre.as_str()).collect();
    data_centres.push(data_centre);
    data_centres.sort_unstable();
    data_centres.dedup();
    let data_centre_index =
        |name: &str| data_centres.binary_search(&name).unwrap_or(0);
    let holders: Vec<LayerHolder> = engines
        .iter()
        .map(|b| holder(model, b, data_centre_index(&b.data_centre)))
        .collect();
    let request = PathRequest {
        first_layer: 0,
        end_layer: model.layer_count,
        tokens,
        data_centre: data_centre_index(data_centre),
        is_start: true,
        interconnect_utilisation: 0.0,
        interconnect_prefill_ms: model.interconnect_prefill_ms(tokens),
        max_stages: MAX_PATH_STAGES,
    };
    let mut rng = fastrand::Rng::with_seed(0);
    let Some(stages) = find_path(&holders, &request, &mut rng) else {
        eprintln!("no path: {}", no_path_reason(model, &holders));
        return Ok(Exit::Failed);
    };
    let rows: Vec<_> = stages
        .iter()
        .map(|stage| {
            let engine = engines[stage.holder];
            json!({"engine": engine.id, "address": engine.address,
                "data_centre": engine.data_centre, "kind": engine.kind,
                "layers": format!("{}..{}", stage.first_layer,
                    stage.end_layer)})
        })
        .collect();
    if args::is_json(matches) {
        output::print_json(&rows)?;
        return Ok(Exit::Done);
    }
    for row in rows {
        let text = |name: &str| row[name].as_str().unwrap_or("").to_owned();
        let line = format!(
            "{:<9} {} {} {} {}",
            text("layers"),
            text("engine"),
            text("address"),
            text("data_centre"),
            text("kind")
        );
        output::print_text(&line)?;
    }
    Ok(Exit::Done)
}

fn holder(
    model: &Model,
    backend: &Backend,
    data_centre: usize,
) -> LayerHolder {
    let kind = backend.kind.as_ref().and_then(|k| model.kinds.get(k));
    let held = backend.held;
    let is_ready = backend.state == BackendState::Ready;
    let layers = held.map_or(0, |held| held.layer_count());
    LayerHolder {
        data_centre,
        first_layer: held.map_or(0, |held| held.first_layer),
        end_layer: held.map_or(0, |held| held.end_layer),
        layer_ms: kind.map_or(0.0, |kind| model.layers_step_ms(kind, 1)),
        used_token_layers: 0,
        prefill_share: 0.0,
        total_token_layers: kind
            .map_or(0, |kind| model.token_layer_capacity(kind, layers)),
        is_usable: is_ready && kind.is_some() && held.is_some(),
        can_be_first: true,
    }
}

/// Reason why no path exists: layers that no ready engine holds, or
/// insufficient KV capacity.
fn no_path_reason(model: &Model, holders: &[LayerHolder]) -> String {
    let is_held = |layer: &u32| {
        holders.iter().any(|h| {
            h.is_usable && h.first_layer <= *layer && *layer < h.end_layer
        })
    };
    let missing: Vec<String> = (0..model.layer_count)
        .filter(|layer| !is_held(layer))
        .map(|layer| layer.to_string())
        .collect();
    match missing.is_empty() {
        true => {
            "all layers are held, but KV capacity is insufficient".to_owned()
        }
        false => format!("no ready engine holds {}", missing.join(" ")),
    }
}
