//! Process lifetimes of servers, and their rows in the store.

use std::{net::SocketAddr, time::Duration};

use async_io::Timer;
use serde_json::json;

use super::{BackendServers, FIRST_START_UNIX_MS, ServerStatus, State};
use crate::site::MODEL_SERVICE;

/// Table of backend servers in the store.
const TABLE: &str = "servers";
/// Time from the exit of a server to the removal of its row.
const ROW_EXPIRY: Duration = Duration::from_millis(1_200);
/// Time for which a draining server serves before it exits.
const DRAIN_TIME: Duration = Duration::from_millis(1_500);
/// One in this many engines has its row overwritten.
const OVERWRITE_STRIDE: usize = 4;

impl BackendServers {
    /// Terminates a server's process: connections are refused from then on.
    pub fn terminate(&self, address: SocketAddr) {
        self.terminate_with_late_removal(address, ROW_EXPIRY);
    }

    /// Terminates a server's process and keeps its row.
    pub fn terminate_keeping_row(&self, address: SocketAddr) {
        let mut state = self.lock();
        let State { servers, observations, .. } = &mut *state;
        let Some(server) = servers.get_mut(&address) else { return };
        server.status = ServerStatus::Exited;
        observations.record_end(&server.id);
        for stream in std::mem::take(&mut server.streams).into_keys() {
            *observations.first_stage_exits.entry(stream).or_default() += 1;
        }
    }

    /// Terminates a server's process and removes its row after a delay.
    pub fn terminate_with_late_removal(
        &self,
        address: SocketAddr,
        delay: Duration,
    ) {
        self.terminate_keeping_row(address);
        self.remove_row_later(address, delay);
    }

    /// Terminates all servers and closes their connections.
    pub(crate) fn terminate_all(&self) {
        let mut state = self.lock();
        for server in state.servers.values_mut() {
            server.status = ServerStatus::Exited;
            server.holds_port = false;
            server.streams.clear();
        }
        let relays = std::mem::take(&mut state.relays);
        // Dropping the relays closes their connections, which must not happen
        // under the lock.
        drop(state);
        drop(relays);
    }

    /// Removes a server's row while the server continues to serve.
    pub fn remove_row(&self, address: SocketAddr) {
        if let Some(server) = self.server(address) {
            self.shared.store.delete_row(TABLE, &server.id);
        }
    }

    /// Makes a server stop responding; its row expires.
    pub fn make_unresponsive(&self, address: SocketAddr) {
        let mut state = self.lock();
        let State { servers, observations, .. } = &mut *state;
        if let Some(server) = servers.get_mut(&address) {
            server.status = ServerStatus::Unresponsive;
            observations.record_end(&server.id);
        }
        drop(state);
        self.remove_row_later(address, ROW_EXPIRY);
    }

    /// Changes a server's row to draining; the server accepts no new requests
    /// and keeps running.
    pub fn report_draining(&self, address: SocketAddr) {
        self.update_server(address, |server| {
            server.status = ServerStatus::Draining
        });
        self.write_row(address);
    }

    /// Drains a server: its row changes to draining, and the server exits
    /// later.
    pub fn drain(&self, address: SocketAddr) {
        self.report_draining(address);
        let backends = self.clone();
        let exit = async move {
            Timer::after(DRAIN_TIME).await;
            backends.terminate(address);
        };
        self.shared.executor.spawn(exit).detach();
    }

    /// Writes rows with foreign content: additional rows that stay, and in
    /// place of the rows of some engines for the given time.
    pub fn overwrite_rows(&self, duration: Duration) {
        let store = &self.shared.store;
        for (number, value) in foreign_rows().iter().enumerate() {
            store.put(TABLE, &format!("other-{number}"), value);
        }
        let engines: Vec<SocketAddr> =
            self.engines().into_iter().step_by(OVERWRITE_STRIDE).collect();
        for (address, value) in engines.iter().zip(foreign_rows()) {
            if let Some(server) = self.server(*address) {
                store.put(TABLE, &server.id, &value);
            }
        }
        let backends = self.clone();
        let restore = async move {
            Timer::after(duration).await;
            engines
                .into_iter()
                .for_each(|address| backends.write_row(address));
        };
        self.shared.executor.spawn(restore).detach();
    }

    /// Handles a restore of the store: running servers write their rows
    /// again, and rows without a running server expire.
    pub(crate) fn rewrite_rows(&self) {
        let servers = self.lock().servers.clone();
        for (address, server) in &servers {
            if server.status.is_running() {
                self.write_row(*address);
            }
        }
        let backends = self.clone();
        let expire = async move {
            Timer::after(ROW_EXPIRY).await;
            let servers = backends.lock().servers.clone();
            let is_live = |id: &String| {
                servers.values().any(|s| s.id == *id && s.status.is_running())
            };
            let store = &backends.shared.store;
            let expired = store.keys(TABLE).into_iter();
            for id in expired.filter(|id| !is_live(id)) {
                store.delete_row(TABLE, &id);
            }
        };
        self.shared.executor.spawn(expire).detach();
    }

    fn remove_row_later(&self, address: SocketAddr, delay: Duration) {
        let Some(server) = self.server(address) else { return };
        let store = self.shared.store.clone();
        let remove = async move {
            Timer::after(delay).await;
            store.delete_row(TABLE, &server.id);
        };
        self.shared.executor.spawn(remove).detach();
    }

    fn count_heartbeat(&self, address: SocketAddr) -> u64 {
        let mut heartbeats = 0;
        self.update_server(address, |server| {
            server.heartbeats += 1;
            heartbeats = server.heartbeats;
        });
        heartbeats
    }

    /// Writes the server's row.
    pub fn write_row(&self, address: SocketAddr) {
        self.write_changed_row(address, |_| {});
    }

    /// Writes the server's row with a change, as another writer may do.
    pub fn write_changed_row(
        &self,
        address: SocketAddr,
        change: impl FnOnce(&mut serde_json::Value),
    ) {
        let Some(server) = self.server(address) else { return };
        let state = match server.status {
            ServerStatus::Draining => "draining",
            _ => "ready",
        };
        let mut row = json!({
            "service": server.service,
            "address": address.to_string(),
            "zone": server.data_centre,
            "slots": self.site().slots(),
            "state": state,
            "seq": self.count_heartbeat(address),
            "born": server.started_unix_ms,
        });
        if server.service == MODEL_SERVICE {
            row["kind"] = json!("card");
            row["layers"] = layers_json(server.layers);
        }
        change(&mut row);
        self.shared.store.put(TABLE, &server.id, &row);
    }
}

/// Invalid rows that no server writes.
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

/// Layers in the form of rows and reports.
pub(crate) fn layers_json(layers: Option<(u32, u32)>) -> serde_json::Value {
    match layers {
        Some((from, to)) => {
            json!({"from": from, "target": to, "version": 1})
        }
        None => serde_json::Value::Null,
    }
}
