//! The platform's store: rows, conditional writes and feeds.

use std::collections::BTreeMap;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::http::Conn;
use crate::json::{Json, base64, parse};

/// Version, table, key and value of a change; no value for a deletion.
type Change = (u64, String, String, Option<String>);

#[derive(Default)]
struct State {
    rows: BTreeMap<(String, String), (String, u64)>,
    history: Vec<Change>,
    version: u64,
}

#[derive(Clone)]
pub struct Store {
    shared: Arc<(Mutex<State>, Condvar)>,
    start: Instant,
    pub address: SocketAddr,
}

impl Store {
    pub fn start() -> Store {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let address = listener.local_addr().expect("it is bound");
        let shared = Arc::new((Mutex::default(), Condvar::new()));
        let store = Store { shared, start: Instant::now(), address };
        let serving = store.clone();
        thread::spawn(move || {
            for socket in listener.incoming().flatten() {
                let store = serving.clone();
                thread::spawn(move || store.serve(socket));
            }
        });
        store
    }

    /// Writes a row as the operator or an engine does; the return is the
    /// acknowledgement.
    pub fn put(&self, table: &str, key: &str, json: &str) -> u64 {
        let mut state = self.shared.0.lock().unwrap();
        let value = Some(base64(json.as_bytes()));
        let version = state.set(table, key, value);
        self.shared.1.notify_all();
        version
    }

    pub fn has(&self, table: &str, key: &str) -> bool {
        let state = self.shared.0.lock().unwrap();
        state.rows.contains_key(&(table.to_owned(), key.to_owned()))
    }

    pub fn delete(&self, table: &str, key: &str) -> u64 {
        let mut state = self.shared.0.lock().unwrap();
        let version = state.set(table, key, None);
        self.shared.1.notify_all();
        version
    }

    fn serve(&self, socket: TcpStream) {
        let mut conn = Conn::new(socket);
        while let Ok(Some(head)) = conn.head() {
            let Ok(body) = conn.body(&head) else { return };
            let target = head.word(1).to_owned();
            let (path, query) =
                target.split_once('?').unwrap_or((&target, ""));
            let (status, answer) = match path {
                "/v1/rows-tx" => self.transact(&body),
                "/v1/rows-get" => self.read(query),
                "/v1/rows-feed" => self.feed(query),
                // Calls of engines that run as processes of their own.
                "/engine/put" => {
                    let json = String::from_utf8_lossy(&body);
                    self.put("servers", &text(query, "key"), &json);
                    (200, "{}".to_owned())
                }
                "/engine/delete" => {
                    self.delete("servers", &text(query, "key"));
                    (200, "{}".to_owned())
                }
                _ => (404, "{}".to_owned()),
            };
            let kind = "content-type: application/json\r\n";
            if conn.respond(status, kind, &answer).is_err() {
                return;
            }
        }
    }

    fn now_ms(&self) -> u128 {
        self.start.elapsed().as_millis()
    }

    fn transact(&self, body: &[u8]) -> (u16, String) {
        let text = String::from_utf8_lossy(body);
        let Some(json) = parse(&text) else { return (400, "{}".into()) };
        let name = |row: &Json| {
            let text = |field: &str| row.get(field).text().to_owned();
            (text("table"), text("key"))
        };
        let mut state = self.shared.0.lock().unwrap();
        for row in json.get("expect-rev").list() {
            let version = state.rows.get(&name(row)).map_or(0, |r| r.1);
            if row.get("ver").number() != Some(version as f64) {
                let ver = state.version;
                return (412, format!("{{\"rows\":[],\"ver\":{ver}}}"));
            }
        }
        for row in json.get("set-keys").list() {
            let (table, key) = name(row);
            if matches!(table.as_str(), "op" | "servers") {
                return (403, "{}".into());
            }
            let value = row.get("value").text().to_owned();
            state.set(&table, &key, Some(value));
        }
        for row in json.get("remove").list() {
            let (table, key) = name(row);
            state.set(&table, &key, None);
        }
        self.shared.1.notify_all();
        let (ver, now) = (state.version, self.now_ms());
        (200, format!("{{\"ver\":{ver},\"now-ms\":{now}}}"))
    }

    fn read(&self, query: &str) -> (u16, String) {
        let (table, from) = (text(query, "table"), text(query, "from"));
        let limit = text(query, "limit").parse().unwrap_or(500_usize);
        let state = self.shared.0.lock().unwrap();
        let rows: Vec<String> = state
            .rows
            .iter()
            .filter(|((t, key), _)| *t == table && *key >= from)
            .map(|((t, key), (value, ver))| {
                row_text(t, key, Some(value), *ver)
            })
            .collect();
        let truncated = rows.len() > limit;
        let rows = rows[..rows.len().min(limit)].join(",");
        let (ver, now) = (state.version, self.now_ms());
        let text = format!(
            "{{\"rows\":[{rows}],\"truncated\":{truncated},\"ver\":{ver},\
             \"now-ms\":{now}}}"
        );
        (200, text)
    }

    fn feed(&self, query: &str) -> (u16, String) {
        let table = text(query, "table");
        let after: u64 = text(query, "after-rev").parse().unwrap_or(0);
        let wait: u64 = text(query, "wait-ms").parse().unwrap_or(0);
        let until = Instant::now() + Duration::from_millis(wait);
        let mut state = self.shared.0.lock().unwrap();
        loop {
            let changed = state.history.iter();
            let changed = changed.filter(|c| c.0 > after && c.1 == table);
            let rows: Vec<String> = changed
                .map(|c| row_text(&c.1, &c.2, c.3.as_ref(), c.0))
                .collect();
            let left = until.saturating_duration_since(Instant::now());
            if !rows.is_empty() || left.is_zero() {
                let (ver, now) = (state.version, self.now_ms());
                let rows = rows.join(",");
                let text = format!(
                    "{{\"rows\":[{rows}],\"ver\":{ver},\"now-ms\":{now}}}"
                );
                return (200, text);
            }
            state = self.shared.1.wait_timeout(state, left).unwrap().0;
        }
    }
}

impl State {
    fn set(&mut self, table: &str, key: &str, value: Option<String>) -> u64 {
        self.version += 1;
        let name = (table.to_owned(), key.to_owned());
        match &value {
            Some(value) => {
                self.rows.insert(name, (value.clone(), self.version));
            }
            None => {
                self.rows.remove(&name);
            }
        }
        let change = (self.version, table.to_owned(), key.to_owned(), value);
        self.history.push(change);
        self.version
    }
}

fn row_text(
    table: &str,
    key: &str,
    value: Option<&String>,
    ver: u64,
) -> String {
    let rest = match value {
        Some(value) => format!("\"value\":\"{value}\""),
        None => "\"deleted\":true".to_owned(),
    };
    format!(
        "{{\"table\":\"{table}\",\"part\":\"\",\"key\":\"{key}\",{rest},\
         \"ver\":{ver}}}"
    )
}

/// A parameter of a query, unescaped.
fn text(query: &str, name: &str) -> String {
    let value = query
        .split('&')
        .filter_map(|pair| pair.split_once('='))
        .find(|(key, _)| *key == name)
        .map_or("", |(_, value)| value);
    let (mut out, bytes, mut at) = (Vec::new(), value.as_bytes(), 0);
    while at < bytes.len() {
        let hex = value.get(at + 1..at + 3);
        let byte = hex.and_then(|hex| u8::from_str_radix(hex, 16).ok());
        match byte.filter(|_| bytes[at] == b'%') {
            Some(byte) => {
                out.push(byte);
                at += 3;
            }
            None => {
                out.push(bytes[at]);
                at += 1;
            }
        }
    }
    String::from_utf8_lossy(&out).into_owned()
}
