//! The lives of servers, and their rows in the store.

use std::{net::SocketAddr, time::Duration};

use async_io::Timer;
use serde_json::json;

use super::{BackendServers, FIRST_START_UNIX_MS, ServerStatus, State};
use crate::site::MODEL_SERVICE;

/// Table of backend servers in the store.
const TABLE: &str = "servers";
/// After so long the row of a dead server is dropped.
const LAPSE: Duration = Duration::from_millis(1_200);
/// How long a server that drains still serves.
const DRAIN: Duration = Duration::from_millis(1_500);
/// One of so many engines has its row overwritten.
const OVERWRITTEN_EVERY: usize = 4;

impl BackendServers {
    /// Ends a server's process: it is refused from now on.
    pub fn terminate(&self, address: SocketAddr) {
        self.terminate_with_late_removal(address, LAPSE);
    }

    /// Ends a server's process, whose row stays.
    pub fn terminate_keeping_row(&self, address: SocketAddr) {
        let mut state = self.lock();
        let State { servers, observations, .. } = &mut *state;
        let Some(server) = servers.get_mut(&address) else { return };
        server.status = ServerStatus::Exited;
        for stream in std::mem::take(&mut server.streams).into_keys() {
            *observations.first_stage_exits.entry(stream).or_default() += 1;
        }
    }

    /// Ends a server's process, whose row stays for so long.
    pub fn terminate_with_late_removal(
        &self,
        address: SocketAddr,
        listed: Duration,
    ) {
        self.terminate_keeping_row(address);
        self.lapse_later(address, listed);
    }

    /// Ends all servers and closes their connections.
    pub(crate) fn terminate_all(&self) {
        let mut state = self.lock();
        for server in state.servers.values_mut() {
            server.status = ServerStatus::Exited;
            server.streams.clear();
        }
        let relays = std::mem::take(&mut state.relays);
        // They close their connections, outside the lock.
        drop(state);
        drop(relays);
    }

    /// Takes a server's row away while it serves on.
    pub fn remove_row(&self, address: SocketAddr) {
        if let Some(server) = self.server(address) {
            self.shared.store.delete_row(TABLE, &server.id);
        }
    }

    /// Lets a server fall silent.
    pub fn make_unresponsive(&self, address: SocketAddr) {
        self.update_server(address, |server| {
            server.status = ServerStatus::Unresponsive
        });
        self.lapse_later(address, LAPSE);
    }

    /// Has a server leave in order.
    pub fn drain(&self, address: SocketAddr) {
        self.update_server(address, |server| {
            server.status = ServerStatus::Draining
        });
        self.write_row(address);
        let backends = self.clone();
        let later = async move {
            Timer::after(DRAIN).await;
            backends.terminate(address);
        };
        self.shared.executor.spawn(later).detach();
    }

    /// Writes rows of another writer: for so long in place of the rows of some
    /// servers, and for good beside them.
    pub fn overwrite_rows(&self, duration: Duration) {
        let store = &self.shared.store;
        for (number, value) in foreign_rows().iter().enumerate() {
            store.put(TABLE, &format!("other-{number}"), value);
        }
        let engines: Vec<SocketAddr> =
            self.engines().into_iter().step_by(OVERWRITTEN_EVERY).collect();
        for (address, value) in engines.iter().zip(foreign_rows()) {
            if let Some(server) = self.server(*address) {
                store.put(TABLE, &server.id, &value);
            }
        }
        let backends = self.clone();
        let later = async move {
            Timer::after(duration).await;
            engines
                .into_iter()
                .for_each(|address| backends.write_row(address));
        };
        self.shared.executor.spawn(later).detach();
    }

    fn lapse_later(&self, address: SocketAddr, listed: Duration) {
        let Some(server) = self.server(address) else { return };
        let store = self.shared.store.clone();
        let later = async move {
            Timer::after(listed).await;
            store.delete_row(TABLE, &server.id);
        };
        self.shared.executor.spawn(later).detach();
    }

    /// Writes the server's row.
    pub fn write_row(&self, address: SocketAddr) {
        let Some(server) = self.server(address) else { return };
        let state = match server.status {
            ServerStatus::Draining => "draining",
            _ => "ready",
        };
        let mut row = json!({
            "service": server.service,
            "address": address.to_string(),
            "zone": server.data_centre,
            "slots": 64,
            "state": state,
            "seq": 7,
            "born": server.started_unix_ms,
        });
        if server.service == MODEL_SERVICE {
            row["kind"] = json!("card");
            row["layers"] = layers_json(server.layers);
        }
        self.shared.store.put(TABLE, &server.id, &row);
    }
}

/// Rows that no server writes.
fn foreign_rows() -> [serde_json::Value; 6] {
    let row = json!({
        "service": MODEL_SERVICE,
        "address": "127.0.0.1:9",
        "zone": "hall-a",
        "slots": 64,
        "state": "ready",
        "seq": 7,
        "born": FIRST_START_UNIX_MS,
        "kind": "card",
        "layers": {"from": 0, "target": 5, "version": 1},
    });
    let with = |name: &str, value: serde_json::Value| {
        let mut changed = row.clone();
        changed[name] = value;
        changed
    };
    [
        json!("no row"),
        with("state", json!("sleeping")),
        with("born", json!("yesterday")),
        with("address", json!(9)),
        with("layers", json!({"from": "first"})),
        with("slots", serde_json::Value::Null),
    ]
}

/// Layers as rows and reports tell them.
pub(crate) fn layers_json(layers: Option<(u32, u32)>) -> serde_json::Value {
    match layers {
        Some((from, to)) => {
            json!({"from": from, "target": to, "version": 1})
        }
        None => serde_json::Value::Null,
    }
}
