//! Stand-in of the platform's store: rows, transactions and feeds.

use std::{
    collections::BTreeMap,
    io,
    net::{SocketAddr, TcpListener, TcpStream},
    sync::{
        Arc, Condvar, Mutex,
        atomic::{AtomicBool, Ordering::SeqCst},
    },
    thread,
    time::{Duration, Instant},
};

use crate::{
    http::{Conn, Head, query},
    json::{self, Json},
};

const BASE64: &[u8; 64] =
    b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";

/// Encodes bytes as base64.
pub fn base64(bytes: &[u8]) -> String {
    let mut out = String::new();
    for part in bytes.chunks(3) {
        let mut word = 0_u32;
        for at in 0..3 {
            word = word << 8 | u32::from(*part.get(at).unwrap_or(&0));
        }
        for at in 0..4 {
            let code = (word >> (18 - 6 * at) & 63) as usize;
            let is_there = at <= part.len();
            out.push(if is_there { BASE64[code] as char } else { '=' });
        }
    }
    out
}

/// Reads a connection until the other side closes it.
fn wait_for_end(mut conn: Conn) {
    while matches!(conn.wait(), Ok(true)) {
        conn.discard();
    }
}

#[derive(Clone)]
struct Row {
    /// Base64, or `None` once the row is dropped.
    value: Option<String>,
    version: u64,
}

#[derive(Default)]
struct State {
    rows: BTreeMap<(String, String), Row>,
    version: u64,
}

/// The store; clones share the rows.
#[derive(Clone)]
pub struct Store {
    shared: Arc<(Mutex<State>, Condvar)>,
    began: Instant,
}

/// The store's address for one machine, and whether the store gives that
/// machine no response.
#[derive(Clone)]
pub struct Gate {
    pub address: SocketAddr,
    is_silent: Arc<AtomicBool>,
}

impl Gate {
    /// Lets the store respond to the machine, or not.
    pub fn set_silent(&self, is_silent: bool) {
        self.is_silent.store(is_silent, SeqCst);
    }

    fn is_silent(&self) -> bool {
        self.is_silent.load(SeqCst)
    }
}

impl Store {
    /// An empty store.
    pub fn new() -> Store {
        Store { shared: Arc::default(), began: Instant::now() }
    }

    /// Opens a free port for one machine.
    pub fn open(&self) -> io::Result<Gate> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let address = listener.local_addr()?;
        let gate = Gate { address, is_silent: Arc::default() };
        let (server, opened) = (self.clone(), gate.clone());
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let (server, gate) = (server.clone(), opened.clone());
                thread::spawn(move || server.serve(stream, &gate));
            }
        });
        Ok(gate)
    }

    /// Writes a row; returns its version.
    pub fn set(&self, table: &str, key: &str, value: &[u8]) -> u64 {
        self.change(table, key, Some(base64(value)))
    }

    /// Drops a row.
    pub fn drop_row(&self, table: &str, key: &str) -> u64 {
        self.change(table, key, None)
    }

    fn change(&self, table: &str, key: &str, value: Option<String>) -> u64 {
        let (lock, changed) = &*self.shared;
        let mut state = lock.lock().unwrap();
        state.version += 1;
        let version = state.version;
        let key = (table.to_owned(), key.to_owned());
        state.rows.insert(key, Row { value, version });
        changed.notify_all();
        version
    }

    fn serve(&self, stream: TcpStream, gate: &Gate) {
        let mut conn = Conn::new(stream);
        while let Ok(Some(head)) = conn.head() {
            let Ok(body) = conn.body(&head) else { return };
            // A call that gets no response is not performed either.
            if gate.is_silent() {
                return wait_for_end(conn);
            }
            thread::sleep(Duration::from_millis(4));
            let (status, text) = self.answer(&head, &body);
            // A connection on which a response is lost delivers nothing more.
            if gate.is_silent() {
                return wait_for_end(conn);
            }
            let kind = [("content-type", "application/json")];
            if conn.respond(status, &kind, text.as_bytes()).is_err() {
                return;
            }
        }
    }

    fn answer(&self, head: &Head, body: &[u8]) -> (u16, String) {
        let target = head.first.get(1).cloned().unwrap_or_default();
        let path = target.split('?').next().unwrap_or("");
        match path {
            "/v1/rows-get" => self.rows_get(&target),
            "/v1/rows-feed" => self.rows_feed(&target),
            "/v1/rows-tx" => self.rows_tx(body),
            _ => (400, "{\"error\":\"unknown call\"}".to_owned()),
        }
    }

    fn rows_get(&self, target: &str) -> (u16, String) {
        let table = query(target, "table").unwrap_or_default();
        let from = query(target, "from").unwrap_or_default();
        let limit = query(target, "limit").and_then(|n| n.parse().ok());
        let limit: usize = limit.unwrap_or(500).min(500);
        let state = self.shared.0.lock().unwrap();
        let rows: Vec<(&(String, String), &Row)> = state
            .rows
            .iter()
            .filter(|(key, row)| {
                key.0 == table && key.1 >= from && row.value.is_some()
            })
            .collect();
        let is_more = rows.len() > limit;
        let rows = rows.into_iter().take(limit);
        (200, self.rows_text(rows, is_more, state.version))
    }

    fn rows_feed(&self, target: &str) -> (u16, String) {
        let table = query(target, "table").unwrap_or_default();
        let number =
            |name| query(target, name).and_then(|n| n.parse::<u64>().ok());
        let after = number("after-rev").unwrap_or(0);
        let wait = Duration::from_millis(number("wait-ms").unwrap_or(0));
        let until = Instant::now() + wait;
        let (lock, changed) = &*self.shared;
        let mut state = lock.lock().unwrap();
        loop {
            let is_new = |(key, row): &(&(String, String), &Row)| {
                key.0 == table && row.version > after
            };
            let mut rows: Vec<(&(String, String), &Row)> =
                state.rows.iter().filter(is_new).collect();
            let left = until.saturating_duration_since(Instant::now());
            if !rows.is_empty() || left.is_zero() {
                rows.sort_by_key(|(_, row)| row.version);
                let rows = rows.into_iter();
                return (200, self.rows_text(rows, false, state.version));
            }
            state = changed.wait_timeout(state, left).unwrap().0;
        }
    }

    fn rows_tx(&self, body: &[u8]) -> (u16, String) {
        let Some(call) = json::parse(body) else {
            return (400, "{\"error\":\"no JSON\"}".to_owned());
        };
        let key_of = |row: &Json| {
            (row.text("table").to_owned(), row.text("key").to_owned())
        };
        let (lock, changed) = &*self.shared;
        let mut state = lock.lock().unwrap();
        let version_of = |state: &State, key: &(String, String)| {
            let row = state.rows.get(key).filter(|row| row.value.is_some());
            row.map_or(0, |row| row.version)
        };
        let expected = call.list("expect-rev");
        let holds = expected.iter().all(|row| {
            version_of(&state, &key_of(row)) == row.number("ver").unwrap_or(0)
        });
        if !holds {
            let keys: Vec<_> = expected.iter().map(key_of).collect();
            let rows = keys.iter().filter_map(|key| {
                let found = state.rows.get_key_value(key)?;
                found.1.value.is_some().then_some(found)
            });
            return (412, self.rows_text(rows, false, state.version));
        }
        let changes = call.list("set-keys").iter().map(|row| (row, true));
        let drops = call.list("remove").iter().map(|row| (row, false));
        state.version += 1;
        let version = state.version;
        for (row, is_set) in changes.chain(drops) {
            let key = key_of(row);
            if key.0 == "op" || key.0 == "servers" {
                return (403, "{\"error\":\"not yours\"}".to_owned());
            }
            let value = is_set.then(|| row.text("value").to_owned());
            state.rows.insert(key, Row { value, version });
        }
        changed.notify_all();
        let now = self.began.elapsed().as_millis();
        (200, format!("{{\"ver\":{version},\"now-ms\":{now}}}"))
    }

    fn rows_text<'a>(
        &self,
        rows: impl Iterator<Item = (&'a (String, String), &'a Row)>,
        is_more: bool,
        version: u64,
    ) -> String {
        let row = |(key, row): (&(String, String), &Row)| {
            let end = match &row.value {
                Some(value) => format!("\"value\":\"{value}\""),
                None => "\"deleted\":true".to_owned(),
            };
            format!(
                "{{\"table\":\"{}\",\"part\":\"\",\"key\":\"{}\",\
                 \"ver\":{},{end}}}",
                key.0, key.1, row.version
            )
        };
        let rows: Vec<String> = rows.map(row).collect();
        let now = self.began.elapsed().as_millis();
        format!(
            "{{\"rows\":[{}],\"truncated\":{is_more},\"ver\":{version},\
             \"now-ms\":{now}}}",
            rows.join(",")
        )
    }
}
