//! `site show`: shows the current state, from the store and the entries.

use std::{collections::BTreeMap, net::SocketAddr, time::Duration};

use anyhow::Context as _;
use chestnutreach_adapter::{
    backends, configuration,
    store::{Row, StoreClient},
};
use chestnutreach_http::{Client, ClientOptions};
use chestnutreach_site::{
    Backend, BackendState, Configuration,
    tables::{ENTRIES, LEASE, LEASE_KEY},
};
use clap::{ArgMatches, Command};
use serde_json::{Value, json};

use crate::{args, daemons, exit::Exit, output, output::Table};

pub(crate) const NAME: &str = "show";
pub(crate) const STORE: &str = "store";

/// Defines the subcommand.
pub(crate) fn command() -> Command {
    Command::new(NAME)
        .about("Shows the current configuration, layers and entries")
        .arg(args::address(STORE, "Store of the platform").required(true))
        .arg(args::timeout(daemons::TIMEOUT_MS))
        .arg(args::json())
        .after_help(
            "The entries are those that the store lists. An entry lags \
             behind if it does not respond or if its configuration \
             differs from that of the store.",
        )
}

/// State of an installation in the store.
pub(crate) struct StoreState {
    pub(crate) configuration: Configuration,
    pub(crate) backends: Vec<Backend>,
    lease: Value,
    entries: Vec<(String, SocketAddr)>,
}

/// Reads the state of the store.
pub(crate) async fn read_store(
    store: SocketAddr,
    timeout: Duration,
) -> anyhow::Result<StoreState> {
    let client = StoreClient::new(store);
    let (_, row) = client
        .read_row(configuration::TABLE, configuration::KEY, timeout)
        .await
        .with_context(|| format!("the store at {store}"))?;
    let row = row.context("the store holds no configuration")?;
    let configuration = configuration::try_parse(&row.value)
        .map_err(|e| anyhow::anyhow!("the configuration: {e}"))?;
    let rows = client.read_table(backends::TABLE, timeout).await?.rows;
    let backends = rows.iter().map(backends::parse_backend);
    let backends = backends.collect::<Result<Vec<_>, String>>();
    let (_, lease) = client.read_row(LEASE, LEASE_KEY, timeout).await?;
    let lease = lease.and_then(|r| serde_json::from_slice(&r.value).ok());
    Ok(StoreState {
        configuration,
        backends: backends.map_err(|e| anyhow::anyhow!(e))?,
        lease: lease.unwrap_or(Value::Null),
        entries: list_entries(store, timeout).await?,
    })
}

fn parse_entry(row: &Row) -> Option<(String, SocketAddr)> {
    let text = std::str::from_utf8(&row.value).ok()?;
    Some((row.key.clone(), text.parse().ok()?))
}

/// Prints the current state.
pub(crate) fn run(matches: &ArgMatches) -> anyhow::Result<Exit> {
    let store: SocketAddr = *args::required(matches, STORE);
    let timeout = args::timeout_of(matches);
    let (stored, entries) = async_io::block_on(async {
        let stored = read_store(store, timeout).await?;
        let mut entries = BTreeMap::new();
        for (name, address) in &stored.entries {
            let status = fetch_status(*address, timeout).await;
            entries.insert(name.clone(), status);
        }
        anyhow::Ok((stored, entries))
    })?;
    let version = stored.configuration.version;
    let is_behind = |status: &Option<Value>| {
        status.as_ref().is_none_or(|s| s["configuration"] != version)
    };
    let is_lagging = entries.values().any(is_behind);
    let coverage = coverage(&stored);
    if args::is_json(matches) {
        let findings = stored.configuration.findings.iter();
        let findings: Vec<String> =
            findings.map(|f| format!("{} {}", f.place, f.message)).collect();
        output::print_json(&json!({
            "configuration": version,
            "findings": findings,
            "lease": stored.lease,
            "entries": entries,
            "cover": coverage,
        }))?;
    } else {
        print(&stored, &entries, &coverage)?;
    }
    Ok(if is_lagging { Exit::Lagging } else { Exit::Done })
}

/// Fetches the status of an entry, or `None` if the entry does not respond.
pub(crate) async fn fetch_status(
    address: SocketAddr,
    timeout: Duration,
) -> Option<Value> {
    let client = Client::new(address, ClientOptions::new());
    let request = client.get("/status").ok()?;
    let (_, body) = client.send(request, timeout).await.ok()?;
    serde_json::from_slice(&body).ok()
}

/// Reads the entries that the store lists.
pub(crate) async fn list_entries(
    store: SocketAddr,
    timeout: Duration,
) -> anyhow::Result<Vec<(String, SocketAddr)>> {
    let rows = StoreClient::new(store).read_table(ENTRIES, timeout).await;
    let rows = rows.with_context(|| format!("the store at {store}"))?.rows;
    Ok(rows.iter().filter_map(parse_entry).collect())
}

/// Number of ready engines that hold each layer, by service and data centre.
fn coverage(
    stored: &StoreState,
) -> BTreeMap<String, BTreeMap<String, Vec<u32>>> {
    let mut coverage: BTreeMap<String, BTreeMap<String, Vec<u32>>> =
        BTreeMap::new();
    for service in stored.configuration.services.values() {
        let Some(model) = &service.model else { continue };
        let by_data_centre = coverage.entry(service.name.clone()).or_default();
        for backend in &stored.backends {
            let counts = by_data_centre
                .entry(backend.data_centre.clone())
                .or_insert_with(|| vec![0; model.layer_count as usize]);
            let is_ready = backend.service == service.name
                && backend.state == BackendState::Ready;
            let Some(held) = backend.held.filter(|_| is_ready) else {
                continue;
            };
            let last = held.end_layer.min(model.layer_count);
            for layer in held.first_layer..last {
                counts[layer as usize] += 1;
            }
        }
    }
    coverage
}

fn print(
    stored: &StoreState,
    entries: &BTreeMap<String, Option<Value>>,
    coverage: &BTreeMap<String, BTreeMap<String, Vec<u32>>>,
) -> anyhow::Result<()> {
    let version = stored.configuration.version;
    output::print_text(&format!("configuration {version}"))?;
    for f in &stored.configuration.findings {
        output::print_text(&format!("  {} {}", f.place, f.message))?;
    }
    output::print_text(&format!("lease {}", stored.lease))?;
    let mut table = Table::new([
        "entry",
        "configuration",
        "age ms",
        "planner",
        "orders",
        "in flight",
        "retries left",
        "suspects",
    ]);
    for (name, status) in entries {
        table.push(row(name, status.as_ref()));
    }
    output::print_text(&table.to_string())?;
    let mut table = Table::new([
        "service",
        "data centre",
        "least copies",
        "most",
        "without",
    ]);
    for (service, by_data_centre) in coverage {
        for (data_centre, counts) in by_data_centre {
            let none = counts.iter().filter(|count| **count == 0).count();
            table.push([
                service.clone(),
                data_centre.clone(),
                counts.iter().min().unwrap_or(&0).to_string(),
                counts.iter().max().unwrap_or(&0).to_string(),
                format!("{none} layers"),
            ]);
        }
    }
    output::print_text(&table.to_string())
}

fn row(name: &str, status: Option<&Value>) -> [String; 8] {
    let Some(status) = status else {
        let dash = || "-".to_owned();
        let name = format!("{name} (no answer)");
        return [name, dash(), dash(), dash(), dash(), dash(), dash(), dash()];
    };
    let array =
        |name: &str| status[name].as_array().cloned().unwrap_or_default();
    let left: Vec<String> = array("retries")
        .iter()
        .map(|r| {
            format!(
                "{}={}",
                format_value(&r["service"]),
                format_value(&r["left"])
            )
        })
        .collect();
    let suspects: Vec<String> = array("backends")
        .iter()
        .filter(|backend| backend["is_suspect"] == true)
        .map(|backend| format_value(&backend["id"]))
        .collect();
    [
        name.to_owned(),
        format_value(&status["configuration"]),
        format_value(&status["configuration_age_ms"]),
        output::yes_no(status["is_planner"] == true),
        format_value(&status["orders_waiting"]),
        format_value(&status["in_flight"]),
        left.join(" "),
        suspects.join(" "),
    ]
}

fn format_value(value: &Value) -> String {
    match value {
        Value::String(text) => text.clone(),
        value => value.to_string(),
    }
}
