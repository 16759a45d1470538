//! Stand-in for the platform's store: rows, transactions, feeds, and faults.

use std::{
    collections::{BTreeMap, VecDeque},
    io,
    net::{SocketAddr, TcpListener, TcpStream},
    sync::{
        Arc, Mutex, MutexGuard,
        atomic::{AtomicU64, Ordering::Relaxed},
    },
    time::{Duration, Instant},
};

use async_executor::Executor;
use async_io::{Async, Timer};
use base64::{Engine as _, engine::general_purpose::STANDARD as BASE64};
use chestnutreach_http::relay::{Inbound, InboundLimits, RelayRequest};
use serde_json::{Value, json};

/// Interval at which a waiting feed checks for changes.
const FEED_POLL_INTERVAL: Duration = Duration::from_millis(5);

/// How the store fails.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum StoreFault {
    /// No fault.
    None,
    /// Calls get no response.
    Silent,
    /// Connections close without a response.
    Away,
    /// Calls are rejected with status 503.
    Busy,
    /// Responses are delayed by this many milliseconds.
    Slow(u64),
    /// Writes are applied and get no response.
    LosesAnswers,
    /// Writes are applied this many milliseconds later and get no response.
    LateWrites(u64),
}

/// A row.
#[derive(Clone, Debug)]
struct Row {
    value: String,
    version: u64,
}

/// Contents of the store at one time, from which it can be restored.
#[derive(Clone, Debug)]
pub struct StoreCopy(State);

#[derive(Clone, Debug, Default)]
struct State {
    rows: BTreeMap<(String, String), Row>,
    /// Changes in order: version, table, key, and the value, `None` for a
    /// deletion.
    history: VecDeque<(u64, String, String, Option<String>)>,
    /// Changes up to this version are discarded; feeds must start at it or
    /// later.
    discarded_version: u64,
    version: u64,
    /// How often the store was restored from a copy.
    era: u64,
}

/// The platform's store.
#[derive(Clone, Debug)]
pub struct Store {
    shared: Arc<Shared>,
}

#[derive(Debug)]
struct Shared {
    state: Mutex<State>,
    fault: Mutex<StoreFault>,
    start: Instant,
    calls: AtomicU64,
    /// Public addresses of entries, by the addresses that they write.
    public_addresses: Mutex<BTreeMap<SocketAddr, SocketAddr>>,
    executor: Arc<Executor<'static>>,
}

impl Store {
    /// Starts an empty store on a free port.
    ///
    /// # Errors
    ///
    /// No port can be opened.
    pub fn start(
        executor: &Arc<Executor<'static>>,
    ) -> io::Result<(Store, SocketAddr)> {
        let listener = Async::<TcpListener>::bind(([127, 0, 0, 1], 0))?;
        let address = listener.get_ref().local_addr()?;
        let shared = Shared {
            state: Mutex::default(),
            fault: Mutex::new(StoreFault::None),
            start: Instant::now(),
            calls: AtomicU64::new(0),
            public_addresses: Mutex::default(),
            executor: executor.clone(),
        };
        let store = Store { shared: Arc::new(shared) };
        let accepting = store.clone();
        let accept = async move {
            while let Ok((socket, _)) = listener.accept().await {
                let serve = accepting.clone().serve(socket);
                accepting.shared.executor.spawn(serve).detach();
            }
        };
        executor.spawn(accept).detach();
        Ok((store, address))
    }

    /// Sets the fault of the store.
    pub fn set_fault(&self, fault: StoreFault) {
        *self.shared.fault.lock().expect("no holder panics") = fault;
    }

    /// Replaces the addresses that entries write by their public addresses.
    pub fn set_public_addresses(
        &self,
        addresses: BTreeMap<SocketAddr, SocketAddr>,
    ) {
        let mut public = self.public_addresses();
        *public = addresses;
    }

    fn public_addresses(
        &self,
    ) -> MutexGuard<'_, BTreeMap<SocketAddr, SocketAddr>> {
        self.shared.public_addresses.lock().expect("no holder panics")
    }

    /// The value that a row gets when this value is written.
    fn stored_value(&self, value: &str) -> String {
        let public = self.public_addresses();
        let address = BASE64.decode(value).ok();
        let address = address.and_then(|bytes| String::from_utf8(bytes).ok());
        let address = address.and_then(|text| text.parse().ok());
        let replaced = address.and_then(|own: SocketAddr| public.get(&own));
        replaced.map_or_else(
            || value.to_owned(),
            |address| BASE64.encode(address.to_string()),
        )
    }

    /// Number of calls received so far.
    pub fn calls(&self) -> u64 {
        self.shared.calls.load(Relaxed)
    }

    /// Writes a row as the operator or a server does and returns its version.
    pub fn put(&self, table: &str, key: &str, value: &Value) -> u64 {
        let value = BASE64.encode(value.to_string());
        self.lock().set(table, key, Some(value))
    }

    /// Writes a row with a text as its value, which need not be JSON.
    pub fn put_text(&self, table: &str, key: &str, text: &str) -> u64 {
        self.lock().set(table, key, Some(BASE64.encode(text)))
    }

    /// Writes a row whose value is not valid base64.
    pub fn put_invalid_base64(&self, table: &str, key: &str) -> u64 {
        self.lock().set(table, key, Some("\u{7}no base64".to_owned()))
    }

    /// Makes feeds deliver an old value of a row, while reads return its
    /// current value.
    pub fn push_stale_change(&self, table: &str, key: &str, value: &Value) {
        let value = BASE64.encode(value.to_string());
        let mut state = self.lock();
        state.version += 1;
        let change =
            (state.version, table.to_owned(), key.to_owned(), Some(value));
        state.history.push_back(change);
    }

    /// Deletes a row.
    pub fn delete_row(&self, table: &str, key: &str) {
        self.lock().set(table, key, None);
    }

    /// The value of a row, if the row exists and holds JSON.
    pub fn get(&self, table: &str, key: &str) -> Option<Value> {
        let state = self.lock();
        let row = state.rows.get(&(table.to_owned(), key.to_owned()))?;
        serde_json::from_slice(&BASE64.decode(&row.value).ok()?).ok()
    }

    /// Discards the history of changes: feeds that resume from an earlier
    /// version get status 410.
    pub fn discard_history(&self) {
        let mut state = self.lock();
        state.history.clear();
        state.discarded_version = state.version;
    }

    /// Copies the contents, for a restore later on.
    pub fn copy(&self) -> StoreCopy {
        StoreCopy(self.lock().clone())
    }

    /// Restores the contents from a copy: changes since the copy are lost,
    /// and their versions are given out again.
    pub fn restore(&self, copy: StoreCopy) {
        let mut state = self.lock();
        let era = state.era + 1;
        *state = State { era, ..copy.0 };
    }

    /// Keys of a table's rows.
    pub fn keys(&self, table: &str) -> Vec<String> {
        let state = self.lock();
        let of_table = state.rows.keys().filter(|name| name.0 == table);
        of_table.map(|name| name.1.clone()).collect()
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.shared.state.lock().expect("no holder panics")
    }

    fn fault(&self) -> StoreFault {
        *self.shared.fault.lock().expect("no holder panics")
    }

    async fn serve(self, socket: Async<TcpStream>) {
        let Ok(mut inbound) = Inbound::new(socket) else { return };
        let limits = InboundLimits {
            max_head_bytes: 16 << 10,
            max_body_bytes: 1 << 20,
            head_timeout: Duration::from_secs(5),
            body_timeout: Duration::from_secs(5),
            idle_timeout: Duration::from_secs(60),
        };
        while inbound.wait_for_bytes().await.is_ok() {
            let Ok(request) = inbound.receive(&limits).await else {
                return;
            };
            // The fault is read before the call is counted: a test that sees
            // the count knows that this fault applies to the call.
            let fault = self.fault();
            self.shared.calls.fetch_add(1, Relaxed);
            let response = self.respond(&request, fault).await;
            let Some((status, body)) = response else {
                if self.fault() != StoreFault::Away {
                    // Keep the connection open without a response.
                    Timer::after(Duration::from_secs(30)).await;
                }
                return;
            };
            let body = body.to_string();
            let era = self.lock().era;
            let head = format!(
                "HTTP/1.1 {status} x\r\nstore-era: {era}\r\n\
                 content-length: {}\r\n\r\n",
                body.len()
            );
            if inbound.write(head.as_bytes()).await.is_err()
                || inbound.write(body.as_bytes()).await.is_err()
            {
                return;
            }
        }
    }

    /// The response to a call; `None` if the fault suppresses the response.
    async fn respond(
        &self,
        request: &RelayRequest,
        fault: StoreFault,
    ) -> Option<(u16, Value)> {
        let is_write = request.method == "POST";
        match fault {
            StoreFault::None => {}
            StoreFault::Silent | StoreFault::Away => return None,
            StoreFault::Busy => return Some((503, json!({}))),
            StoreFault::Slow(ms) => {
                Timer::after(Duration::from_millis(ms)).await;
            }
            StoreFault::LosesAnswers if is_write => {
                self.transact(request);
                return None;
            }
            StoreFault::LateWrites(ms) if is_write => {
                Timer::after(Duration::from_millis(ms)).await;
                self.transact(request);
                return None;
            }
            StoreFault::LosesAnswers | StoreFault::LateWrites(_) => {}
        }
        let path = request.path().to_owned();
        match path.as_str() {
            "/v1/rows-tx" => Some(self.transact(request)),
            "/v1/rows-get" => Some(self.read(request)),
            "/v1/rows-feed" => self.feed(request).await,
            _ => Some((404, json!({}))),
        }
    }

    fn transact(&self, request: &RelayRequest) -> (u16, Value) {
        let Ok(body) = serde_json::from_slice::<Value>(&request.body) else {
            return (400, json!({}));
        };
        let list =
            |name: &str| body[name].as_array().cloned().unwrap_or_default();
        let mut state = self.lock();
        for row in list("expect-rev") {
            let current = state.rows.get(&table_and_key(&row));
            let version = current.map_or(0, |row| row.version);
            if row["ver"].as_u64() != Some(version) {
                return (412, json!({"rows": [], "ver": state.version}));
            }
        }
        for row in list("set-keys") {
            let (table, key) = table_and_key(&row);
            if matches!(table.as_str(), "op" | "servers") {
                return (403, json!({}));
            }
            let value = self.stored_value(row["value"].as_str().unwrap_or(""));
            state.set(&table, &key, Some(value));
        }
        for row in list("remove") {
            let (table, key) = table_and_key(&row);
            state.set(&table, &key, None);
        }
        (200, json!({"ver": state.version, "now-ms": self.now_ms()}))
    }

    fn read(&self, request: &RelayRequest) -> (u16, Value) {
        let query = Query::of(request);
        let table = query.text("table");
        let from = query.text("from");
        let limit = query.number("limit").unwrap_or(500) as usize;
        let state = self.lock();
        let first = (table.clone(), from);
        let rows = state.rows.range(first..).filter(|row| row.0.0 == table);
        let found: Vec<Value> = rows
            .take(limit + 1)
            .map(|((table, key), row)| {
                json!({"table": table, "part": "", "key": key,
                    "value": row.value, "ver": row.version})
            })
            .collect();
        let is_truncated = found.len() > limit;
        let rows = &found[..found.len().min(limit)];
        let body = json!({"rows": rows, "truncated": is_truncated,
            "ver": state.version, "now-ms": self.now_ms()});
        (200, body)
    }

    async fn feed(&self, request: &RelayRequest) -> Option<(u16, Value)> {
        let query = Query::of(request);
        let table = query.text("table");
        let after = query.number("after-rev").unwrap_or(0);
        let wait = query.number("wait-ms").unwrap_or(0);
        let until = Instant::now() + Duration::from_millis(wait);
        loop {
            let fault = self.fault();
            if matches!(fault, StoreFault::Silent | StoreFault::Away) {
                return None;
            }
            {
                let state = self.lock();
                if after < state.discarded_version || after > state.version {
                    return Some((410, json!({})));
                }
                let rows = state.changes(&table, after);
                if !rows.is_empty() || Instant::now() >= until {
                    let body = json!({"rows": rows, "ver": state.version,
                        "now-ms": self.now_ms()});
                    return Some((200, body));
                }
            }
            Timer::after(FEED_POLL_INTERVAL).await;
        }
    }

    fn now_ms(&self) -> u64 {
        self.shared.start.elapsed().as_millis() as u64
    }
}

impl State {
    fn set(&mut self, table: &str, key: &str, value: Option<String>) -> u64 {
        self.version += 1;
        let name = (table.to_owned(), key.to_owned());
        match &value {
            Some(value) => {
                let row = Row { value: value.clone(), version: self.version };
                self.rows.insert(name, row);
            }
            None => {
                self.rows.remove(&name);
            }
        }
        let change = (self.version, table.to_owned(), key.to_owned(), value);
        self.history.push_back(change);
        self.version
    }

    fn changes(&self, table: &str, after: u64) -> Vec<Value> {
        let changed = self.history.iter();
        let changed = changed.filter(|c| c.0 > after && c.1 == table);
        let row = |c: &(u64, String, String, Option<String>)| match &c.3 {
            Some(value) => json!({"table": c.1, "part": "", "key": c.2,
                "value": value, "ver": c.0}),
            None => json!({"table": c.1, "part": "", "key": c.2,
                "ver": c.0, "deleted": true}),
        };
        changed.map(row).collect()
    }
}

fn table_and_key(row: &Value) -> (String, String) {
    let text = |name: &str| row[name].as_str().unwrap_or("").to_owned();
    (text("table"), text("key"))
}

/// Query parameters of a request.
struct Query(BTreeMap<String, String>);

impl Query {
    fn of(request: &RelayRequest) -> Query {
        let query = request.target.split_once('?').map_or("", |q| q.1);
        let pair = |pair: &str| {
            let (name, value) = pair.split_once('=')?;
            Some((name.to_owned(), unescape(value)))
        };
        Query(query.split('&').filter_map(pair).collect())
    }

    fn text(&self, name: &str) -> String {
        self.0.get(name).cloned().unwrap_or_default()
    }

    fn number(&self, name: &str) -> Option<u64> {
        self.0.get(name)?.parse().ok()
    }
}

fn unescape(text: &str) -> String {
    let mut bytes = Vec::new();
    let mut rest = text.as_bytes();
    while let Some((first, tail)) = rest.split_first() {
        rest = tail;
        let digits = rest.get(..2).filter(|_| *first == b'%');
        let byte = digits
            .and_then(|d| std::str::from_utf8(d).ok())
            .and_then(|d| u8::from_str_radix(d, 16).ok());
        match byte {
            Some(byte) => {
                bytes.push(byte);
                rest = &rest[2..];
            }
            None => bytes.push(*first),
        }
    }
    String::from_utf8_lossy(&bytes).into_owned()
}
