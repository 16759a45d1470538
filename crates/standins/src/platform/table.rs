//! The table service: a subset of the published DynamoDB JSON protocol.

use std::{
    collections::BTreeMap,
    io,
    net::TcpListener,
    sync::{Arc, Mutex},
    time::{Duration, Instant},
};

use async_executor::Executor;
use async_io::Async;
use chestnutreach_http::ReceivedRequest;
use chestnutreach_platform::wire::{
    self, AttributeValue, BatchGetItemRequest, BatchGetItemResponse,
    CancellationReason, ConditionFields, ErrorBody, GetItemRequest,
    GetItemResponse, Item, KeysAndAttributes, TransactWriteItem,
    TransactWriteItemsRequest,
};
use serde::{Deserialize, Serialize, de::DeserializeOwned};

use super::{
    faults::Faults,
    serve::{Answer, RateCount, Service, serve},
};

/// How long a request token is remembered, as published.
const TOKEN_TIME: Duration = Duration::from_secs(600);
/// Keys looked up in one batch of reads; the rest comes back unprocessed.
const MAX_BATCH_READS: usize = 50;

/// Answer to `GET /stats`.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct TableStats {
    /// Read requests.
    pub reads: u64,
    /// Write requests, the cancelled and the repeated among them.
    pub writes: u64,
    /// Transactions applied.
    pub transactions: u64,
    /// Rows written by them.
    pub rows_written: u64,
    /// Requests over the rate.
    pub throttled: u64,
}

/// Serves a table that is empty at first until the listener fails.
///
/// # Errors
///
/// The listener failed.
pub async fn serve_table(
    listener: Async<TcpListener>,
    faults: Arc<Faults>,
    executor: Arc<Executor<'static>>,
) -> io::Result<()> {
    let table = Table {
        state: Mutex::default(),
        faults: faults.clone(),
        reads: RateCount::default(),
        writes: RateCount::default(),
    };
    serve(listener, faults, executor, Arc::new(table)).await
}

struct Table {
    state: Mutex<State>,
    faults: Arc<Faults>,
    reads: RateCount,
    writes: RateCount,
}

#[derive(Default)]
struct State {
    items: BTreeMap<String, Item>,
    tokens: BTreeMap<String, (Instant, TransactWriteItemsRequest)>,
    stats: TableStats,
}

impl Service for Table {
    fn is_write(&self, received: &ReceivedRequest) -> bool {
        target(received) == wire::TRANSACT_WRITE_ITEMS
    }

    fn call(&self, received: &ReceivedRequest) -> Answer {
        let limits = self.faults.settings();
        let is_write = self.is_write(received);
        let mut state = self.state.lock().expect("no holder panics");
        let is_admitted = match is_write {
            true => {
                state.stats.writes += 1;
                self.writes.admit(limits.max_writes_per_s)
            }
            false => {
                state.stats.reads += 1;
                self.reads.admit(limits.max_reads_per_s)
            }
        };
        if !is_admitted {
            state.stats.throttled += 1;
            return error(400, wire::THROUGHPUT_EXCEEDED);
        }
        let body = &received.body;
        match target(received) {
            wire::GET_ITEM => with(body, |r| state.get(&r)),
            wire::BATCH_GET_ITEM => with(body, |r| state.batch_get(r)),
            wire::TRANSACT_WRITE_ITEMS => with(body, |r| state.transact(r)),
            _ => error(400, "UnknownOperationException"),
        }
    }

    fn stats(&self) -> Answer {
        let state = self.state.lock().expect("no holder panics");
        Answer::json(&state.stats)
    }

    fn unavailable(&self) -> Answer {
        error(503, wire::SERVICE_UNAVAILABLE)
    }

    fn failed(&self) -> Answer {
        error(500, wire::INTERNAL_ERROR)
    }
}

impl State {
    fn get(&self, request: &GetItemRequest) -> Answer {
        let Some(key) = key_of(&request.key) else {
            return error(400, wire::VALIDATION);
        };
        let item = self.items.get(key).cloned();
        Answer::json(&GetItemResponse { item })
    }

    fn batch_get(&self, request: BatchGetItemRequest) -> Answer {
        let mut response = BatchGetItemResponse::default();
        for (table, mut wanted) in request.request_items {
            if wanted.keys.len() > wire::MAX_BATCH_KEYS {
                return error(400, wire::VALIDATION);
            }
            let now = wanted.keys.len().min(MAX_BATCH_READS);
            let rest = wanted.keys.split_off(now);
            let found = wanted.keys.iter().filter_map(key_of);
            let found = found.filter_map(|key| self.items.get(key)).cloned();
            response.responses.insert(table.clone(), found.collect());
            if !rest.is_empty() {
                let rest = KeysAndAttributes { keys: rest, ..wanted };
                response.unprocessed_keys.insert(table, rest);
            }
        }
        Answer::json(&response)
    }

    fn transact(&mut self, request: TransactWriteItemsRequest) -> Answer {
        self.tokens.retain(|_, (since, _)| since.elapsed() < TOKEN_TIME);
        let token = request.client_request_token.clone();
        match self.tokens.get(&token) {
            Some((_, first)) if *first == request => return done(),
            Some(_) => return error(400, wire::TOKEN_MISMATCH),
            None => {}
        }
        if !is_valid(&request) {
            return error(400, wire::VALIDATION);
        }
        let writes = &request.transact_items;
        let holds: Vec<_> = writes.iter().map(|w| self.holds(w)).collect();
        if !holds.iter().all(|holds| *holds) {
            return cancelled(&holds);
        }
        for write in writes {
            self.apply(write);
        }
        self.stats.transactions += 1;
        self.stats.rows_written += writes.len() as u64;
        self.tokens.insert(token, (Instant::now(), request));
        done()
    }

    fn holds(&self, write: &TransactWriteItem) -> bool {
        let item = write_key(write).and_then(|key| self.items.get(key));
        let fields = match write {
            TransactWriteItem::Put(put) => &put.condition,
            TransactWriteItem::Delete(delete) => &delete.condition,
            TransactWriteItem::Update(_) => return true,
        };
        match fields.condition_expression.as_deref() {
            None => true,
            Some(wire::IF_ABSENT) => item.is_none(),
            _ => {
                let version = item.and_then(|i| i.get(wire::VERSION));
                let wanted = fields.expression_attribute_values.get(":ver");
                version.is_some() && version == wanted
            }
        }
    }

    fn apply(&mut self, write: &TransactWriteItem) {
        let Some(key) = write_key(write) else {
            return;
        };
        match write {
            TransactWriteItem::Put(put) => {
                self.items.insert(key.to_owned(), put.item.clone());
            }
            TransactWriteItem::Delete(_) => {
                self.items.remove(key);
            }
            TransactWriteItem::Update(update) => {
                let values = &update.expression_attribute_values;
                let item = self.items.entry(key.to_owned());
                let item = item.or_insert_with(|| update.key.clone());
                set_value(item, values);
            }
        }
    }
}

/// Applies the one update expression that is known.
fn set_value(item: &mut Item, values: &Item) {
    let old = match item.get(wire::VERSION) {
        Some(AttributeValue::N(digits)) => digits.parse().unwrap_or(0),
        _ => 0_u64,
    };
    let version = AttributeValue::N((old + 1).to_string());
    item.insert(wire::VERSION.into(), version);
    let names = [(":v", wire::VALUE), (":expires_at", wire::EXPIRES_AT)];
    for (placeholder, name) in names {
        if let Some(value) = values.get(placeholder) {
            item.insert(name.into(), value.clone());
        }
    }
}

/// Checks limits, expressions, and that no item is written twice.
fn is_valid(request: &TransactWriteItemsRequest) -> bool {
    let writes = &request.transact_items;
    let mut keys: Vec<_> = writes.iter().filter_map(write_key).collect();
    keys.sort_unstable();
    keys.dedup();
    let is_in_range = (1..=wire::MAX_TRANSACT_ITEMS).contains(&writes.len());
    let has_token = (1..=36).contains(&request.client_request_token.len());
    is_in_range
        && has_token
        && keys.len() == writes.len()
        && writes.iter().all(is_known)
}

fn is_known(write: &TransactWriteItem) -> bool {
    let is_condition = |fields: &ConditionFields| {
        let condition = fields.condition_expression.as_deref();
        matches!(condition, None | Some(wire::IF_ABSENT | wire::IF_VERSION))
    };
    match write {
        TransactWriteItem::Put(put) => is_condition(&put.condition),
        TransactWriteItem::Delete(delete) => is_condition(&delete.condition),
        TransactWriteItem::Update(update) => matches!(
            update.update_expression.as_str(),
            wire::SET_VALUE | wire::SET_VALUE_EXPIRING
        ),
    }
}

fn write_key(write: &TransactWriteItem) -> Option<&str> {
    match write {
        TransactWriteItem::Put(put) => key_of(&put.item),
        TransactWriteItem::Delete(delete) => key_of(&delete.key),
        TransactWriteItem::Update(update) => key_of(&update.key),
    }
}

fn key_of(item: &Item) -> Option<&str> {
    match item.get(wire::KEY) {
        Some(AttributeValue::S(key)) => Some(key),
        _ => None,
    }
}

fn target(received: &ReceivedRequest) -> &str {
    let header = received.request.header(wire::TARGET_HEADER);
    header.map_or("", |values| values.as_str())
}

fn with<R: DeserializeOwned>(
    body: &[u8],
    call: impl FnOnce(R) -> Answer,
) -> Answer {
    match serde_json::from_slice(body) {
        Ok(request) => call(request),
        Err(_) => error(400, "SerializationException"),
    }
}

fn done() -> Answer {
    Answer::ok(b"{}".to_vec())
}

fn error(status: u16, name: &str) -> Answer {
    let kind = format!("com.amazonaws.dynamodb.v20120810#{name}");
    let body = ErrorBody { kind, ..ErrorBody::default() };
    Answer { status, ..Answer::json(&body) }
}

fn cancelled(holds: &[bool]) -> Answer {
    let reason = |holds: &bool| {
        let code = match holds {
            true => wire::REASON_NONE,
            false => wire::REASON_CONDITION,
        };
        CancellationReason { code: code.to_owned() }
    };
    let body = ErrorBody {
        kind: wire::TRANSACTION_CANCELED.to_owned(),
        message: "the transaction was cancelled".to_owned(),
        cancellation_reasons: holds.iter().map(reason).collect(),
    };
    Answer { status: 400, ..Answer::json(&body) }
}
