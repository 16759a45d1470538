//! The table service, a subset of the published DynamoDB JSON protocol.

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
    serve::{RateLimiter, Service, ServiceResponse, serve},
};

/// Lifetime of a client request token, as in the published protocol.
const TOKEN_LIFETIME: Duration = Duration::from_secs(600);
/// Maximum keys looked up in one batch read; the rest are returned as
/// unprocessed keys.
const MAX_BATCH_READS: usize = 50;

/// Response to `GET /stats`.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct TableStats {
    /// Number of read requests.
    pub reads: u64,
    /// Number of write requests, including cancelled and repeated ones.
    pub writes: u64,
    /// Number of applied transactions.
    pub transactions: u64,
    /// Number of rows written by applied transactions.
    pub rows_written: u64,
    /// Number of requests rejected by the rate limits.
    pub throttled: u64,
}

/// Serves an initially empty table until the listener fails.
///
/// # Errors
///
/// Returns the error of the listener.
pub async fn serve_table(
    listener: Async<TcpListener>,
    faults: Arc<Faults>,
    executor: Arc<Executor<'static>>,
) -> io::Result<()> {
    let table = Table {
        state: Mutex::default(),
        faults: faults.clone(),
        reads: RateLimiter::default(),
        writes: RateLimiter::default(),
    };
    serve(listener, faults, executor, Arc::new(table)).await
}

struct Table {
    state: Mutex<State>,
    faults: Arc<Faults>,
    reads: RateLimiter,
    writes: RateLimiter,
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

    fn handle(&self, received: &ReceivedRequest) -> ServiceResponse {
        let fault_settings = self.faults.settings();
        let is_write = self.is_write(received);
        let mut state = self.state.lock().expect("no holder panics");
        let is_admitted = match is_write {
            true => {
                state.stats.writes += 1;
                self.writes.admit(fault_settings.max_writes_per_s)
            }
            false => {
                state.stats.reads += 1;
                self.reads.admit(fault_settings.max_reads_per_s)
            }
        };
        if !is_admitted {
            state.stats.throttled += 1;
            return error(400, wire::THROUGHPUT_EXCEEDED);
        }
        let body = &received.body;
        match target(received) {
            wire::GET_ITEM => with_request(body, |r| state.get(&r)),
            wire::BATCH_GET_ITEM => with_request(body, |r| state.batch_get(r)),
            wire::TRANSACT_WRITE_ITEMS => {
                with_request(body, |r| state.transact(r))
            }
            _ => error(400, "UnknownOperationException"),
        }
    }

    fn stats(&self) -> ServiceResponse {
        let state = self.state.lock().expect("no holder panics");
        ServiceResponse::json(&state.stats)
    }

    fn unavailable(&self) -> ServiceResponse {
        error(503, wire::SERVICE_UNAVAILABLE)
    }

    fn failed(&self) -> ServiceResponse {
        error(500, wire::INTERNAL_ERROR)
    }
}

impl State {
    fn get(&self, request: &GetItemRequest) -> ServiceResponse {
        let Some(key) = key_of(&request.key) else {
            return error(400, wire::VALIDATION);
        };
        let item = self.items.get(key).cloned();
        ServiceResponse::json(&GetItemResponse { item })
    }

    fn batch_get(&self, request: BatchGetItemRequest) -> ServiceResponse {
        let mut response = BatchGetItemResponse::default();
        for (table, mut requested) in request.request_items {
            if requested.keys.len() > wire::MAX_BATCH_KEYS {
                return error(400, wire::VALIDATION);
            }
            let count = requested.keys.len().min(MAX_BATCH_READS);
            let unprocessed = requested.keys.split_off(count);
            let found = requested.keys.iter().filter_map(key_of);
            let found = found.filter_map(|key| self.items.get(key)).cloned();
            response.responses.insert(table.clone(), found.collect());
            if !unprocessed.is_empty() {
                let unprocessed =
                    KeysAndAttributes { keys: unprocessed, ..requested };
                response.unprocessed_keys.insert(table, unprocessed);
            }
        }
        ServiceResponse::json(&response)
    }

    fn transact(
        &mut self,
        request: TransactWriteItemsRequest,
    ) -> ServiceResponse {
        self.tokens.retain(|_, (since, _)| since.elapsed() < TOKEN_LIFETIME);
        let token = request.client_request_token.clone();
        match self.tokens.get(&token) {
            Some((_, first)) if *first == request => return empty_response(),
            Some(_) => return error(400, wire::TOKEN_MISMATCH),
            None => {}
        }
        if !is_valid(&request) {
            return error(400, wire::VALIDATION);
        }
        let writes = &request.transact_items;
        let condition_results: Vec<_> =
            writes.iter().map(|w| self.condition_holds(w)).collect();
        if !condition_results.iter().all(|holds| *holds) {
            return cancelled(&condition_results);
        }
        for write in writes {
            self.apply(write);
        }
        self.stats.transactions += 1;
        self.stats.rows_written += writes.len() as u64;
        self.tokens.insert(token, (Instant::now(), request));
        empty_response()
    }

    fn condition_holds(&self, write: &TransactWriteItem) -> bool {
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
                let expected = fields.expression_attribute_values.get(":ver");
                version.is_some() && version == expected
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

/// Applies the supported update expressions: increments the version and sets
/// the value, and the expiry if there is one.
fn set_value(item: &mut Item, values: &Item) {
    let old_version = match item.get(wire::VERSION) {
        Some(AttributeValue::N(digits)) => digits.parse().unwrap_or(0),
        _ => 0_u64,
    };
    let version = AttributeValue::N((old_version + 1).to_string());
    item.insert(wire::VERSION.into(), version);
    let names = [(":v", wire::VALUE), (":expires_at", wire::EXPIRES_AT)];
    for (placeholder, name) in names {
        if let Some(value) = values.get(placeholder) {
            item.insert(name.into(), value.clone());
        }
    }
}

/// Checks the limits, that each expression is supported, and that no item is
/// written twice.
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
        && writes.iter().all(is_supported)
}

fn is_supported(write: &TransactWriteItem) -> bool {
    let has_supported_condition = |fields: &ConditionFields| {
        let condition = fields.condition_expression.as_deref();
        matches!(condition, None | Some(wire::IF_ABSENT | wire::IF_VERSION))
    };
    match write {
        TransactWriteItem::Put(put) => has_supported_condition(&put.condition),
        TransactWriteItem::Delete(delete) => {
            has_supported_condition(&delete.condition)
        }
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

fn with_request<R: DeserializeOwned>(
    body: &[u8],
    handle: impl FnOnce(R) -> ServiceResponse,
) -> ServiceResponse {
    match serde_json::from_slice(body) {
        Ok(request) => handle(request),
        Err(_) => error(400, "SerializationException"),
    }
}

fn empty_response() -> ServiceResponse {
    ServiceResponse::ok(b"{}".to_vec())
}

fn error(status: u16, name: &str) -> ServiceResponse {
    let kind = format!("com.amazonaws.dynamodb.v20120810#{name}");
    let body = ErrorBody { kind, ..ErrorBody::default() };
    ServiceResponse { status, ..ServiceResponse::json(&body) }
}

fn cancelled(condition_results: &[bool]) -> ServiceResponse {
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
        cancellation_reasons: condition_results.iter().map(reason).collect(),
    };
    ServiceResponse { status: 400, ..ServiceResponse::json(&body) }
}
