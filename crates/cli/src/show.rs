//! `show`: shows the state of each daemon and which daemons lag behind.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use chestnutreach_control::{BackendStatus, NodeStatus};
use chestnutreach_platform::{ManifestStore, ObjectClient, TableClient};
use clap::{ArgMatches, Command};
use serde::Serialize;

use crate::{
    args, daemons,
    exit::Exit,
    output::{self, Table, yes_no},
};

pub(crate) const NAME: &str = "show";
const TABLE: &str = "table";

/// Defines the subcommand.
pub(crate) fn command() -> Command {
    Command::new(NAME)
        .about("Shows the state of daemons and which of them lag behind")
        .arg(daemons::control())
        .arg(args::address(
            TABLE,
            "Table service, to compare with the accepted generation",
        ))
        .arg(args::timeout(daemons::TIMEOUT_MS))
        .arg(args::json())
}

/// Queries the daemons and prints their state.
pub(crate) fn run(matches: &ArgMatches) -> anyhow::Result<Exit> {
    let addresses = args::addresses_of(matches, daemons::CONTROL);
    let timeout = args::timeout_of(matches);
    let table = matches.get_one::<SocketAddr>(TABLE).copied();
    let report = async_io::block_on(async {
        let store = match table {
            Some(table) => Some(fetch_accepted(table, timeout).await),
            None => None,
        };
        let query = |address| fetch_status(address, timeout);
        let daemons = daemons::query_all(&addresses, query).await;
        Report::new(daemons, store)
    });
    match args::is_json(matches) {
        true => output::print_json(&report)?,
        false => output::print_text(&report.text())?,
    }
    Ok(if report.is_current() { Exit::Done } else { Exit::Lagging })
}

async fn fetch_status(address: SocketAddr, timeout: Duration) -> Daemon {
    let status =
        async { daemons::connect(address, timeout).await?.status().await };
    let (status, error) = match status.await {
        Ok(status) => (Some(status), None),
        Err(e) => (None, Some(e.to_string())),
    };
    Daemon { address, status, error, behind: None }
}

async fn fetch_accepted(table: SocketAddr, timeout: Duration) -> Accepted {
    // `head` reads only the table service, so the address of the object store
    // does not matter.
    let objects = ObjectClient::new(table, timeout);
    let table = TableClient::new(table, timeout);
    let store = ManifestStore::new(Arc::new(table), Arc::new(objects));
    match store.head().await {
        Ok(head) => Accepted {
            generation: Some(head.map_or(0, |head| head.generation)),
            error: None,
        },
        Err(e) => Accepted { generation: None, error: Some(e.to_string()) },
    }
}

#[derive(Serialize)]
struct Report {
    /// Accepted generation, or `None` without `--table`.
    store: Option<Accepted>,
    /// Highest generation of the daemons and the store.
    highest_generation: u64,
    daemons: Vec<Daemon>,
}

#[derive(Serialize)]
struct Accepted {
    generation: Option<u64>,
    error: Option<String>,
}

#[derive(Serialize)]
struct Daemon {
    address: SocketAddr,
    status: Option<NodeStatus>,
    error: Option<String>,
    /// Number of generations behind the highest.
    behind: Option<u64>,
}

impl Report {
    fn new(mut daemons: Vec<Daemon>, store: Option<Accepted>) -> Report {
        let accepted = store.as_ref().and_then(|s| s.generation);
        let generations = daemons.iter().filter_map(Daemon::generation);
        let highest_generation =
            generations.chain(accepted).max().unwrap_or(0);
        for daemon in &mut daemons {
            let generation = daemon.generation();
            daemon.behind = generation.map(|g| highest_generation - g);
        }
        Report { store, highest_generation, daemons }
    }

    /// Whether all daemons and the store responded, and all daemons have the
    /// highest generation.
    fn is_current(&self) -> bool {
        let store_responded =
            self.store.as_ref().is_none_or(|s| s.error.is_none());
        store_responded && self.daemons.iter().all(|d| d.behind == Some(0))
    }

    fn text(&self) -> String {
        let mut paragraphs = vec![self.daemon_table()];
        paragraphs.extend(self.backend_table());
        let mut lines: Vec<String> =
            self.daemons.iter().filter_map(Daemon::problem).collect();
        lines.push(self.summary());
        paragraphs.push(lines.join("\n"));
        paragraphs.join("\n\n")
    }

    fn daemon_table(&self) -> String {
        let mut table = Table::new([
            "ADDRESS",
            "VM",
            "ROLE",
            "DATA CENTRE",
            "GENERATION",
            "READY",
            "DRAINING",
            "IN FLIGHT",
            "LINKS",
        ]);
        for daemon in &self.daemons {
            table.push(daemon.row());
        }
        table.to_string()
    }

    fn backend_table(&self) -> Option<String> {
        let mut table = Table::new([
            "BACKEND SERVER",
            "VM",
            "RUNNING",
            "QUEUED",
            "HEALTHY",
            "LEAVING",
        ]);
        let statuses = self.daemons.iter().filter_map(|d| d.status.as_ref());
        for status in statuses {
            for backend in &status.backends {
                table.push(backend_row(status, backend));
            }
        }
        (!table.is_empty()).then(|| table.to_string())
    }

    fn summary(&self) -> String {
        let highest = self.highest_generation;
        let count = self.daemons.len();
        let current = self.daemons.iter().filter(|d| d.behind == Some(0));
        let current = current.count();
        let mut text =
            format!("generation {highest} on {current} of {count} daemons");
        match &self.store {
            None => {}
            Some(Accepted { error: Some(e), .. }) => {
                text.push_str(&format!("; the accepted one is not known: {e}"))
            }
            Some(Accepted { generation, .. }) => {
                let accepted = generation.unwrap_or(0);
                text.push_str(&format!("; accepted: {accepted}"));
            }
        }
        text
    }
}

impl Daemon {
    fn generation(&self) -> Option<u64> {
        self.status.as_ref().map(|status| status.generation)
    }

    fn row(&self) -> [String; 9] {
        let address = self.address.to_string();
        let Some(status) = &self.status else {
            let mut row: [String; 9] = std::array::from_fn(|_| "?".into());
            row[0] = address;
            return row;
        };
        [
            address,
            status.vm.clone(),
            status.role.to_string(),
            status.data_centre.clone(),
            status.generation.to_string(),
            yes_no(status.is_ready),
            yes_no(status.is_draining),
            status.requests_in_flight.to_string(),
            status.links.len().to_string(),
        ]
    }

    /// Why the daemon is not current, if it is not.
    fn problem(&self) -> Option<String> {
        let address = self.address;
        match (&self.status, &self.error, self.behind) {
            (Some(status), _, Some(behind)) if behind > 0 => Some(format!(
                "behind: {} at {address} has generation {}, {behind} behind",
                status.vm, status.generation,
            )),
            (None, Some(error), _) => Some(format!("not reached: {error}")),
            _ => None,
        }
    }
}

fn backend_row(status: &NodeStatus, backend: &BackendStatus) -> [String; 6] {
    [
        backend.name.clone(),
        status.vm.clone(),
        backend.running.to_string(),
        backend.queued.to_string(),
        yes_no(backend.is_healthy),
        yes_no(backend.is_leaving),
    ]
}
