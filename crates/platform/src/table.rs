//! Rows of the table service.
//!
//! Every write is a transaction with a request token, also that of a single
//! row: the token makes it safe to send the same write again when an answer
//! was lost. Reads are consistent ones, since they settle lost answers.

use std::{
    collections::BTreeMap, error, fmt, net::SocketAddr, time::Duration,
};

use base64::{Engine as _, engine::general_purpose::STANDARD as BASE64};
use chestnutreach_http::ClientError;
use http_types::Method;
use serde::{Serialize, de::DeserializeOwned};

use crate::{
    transport::{Answer, Call, Transport},
    wire::{
        self, AttributeValue, BatchGetItemRequest, BatchGetItemResponse,
        ConditionFields, Delete, ErrorBody, GetItemRequest, GetItemResponse,
        Item, KeysAndAttributes, Put, TransactWriteItem,
        TransactWriteItemsRequest, Update,
    },
};

/// Name of the table unless another is set.
pub const DEFAULT_TABLE_NAME: &str = "chestnutreach";
/// Rounds in which a batch of reads must be whole.
const MAX_BATCH_ROUNDS: usize = 8;

/// A row as read.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Row {
    /// 1 for a new row, one more with each write. A row that was deleted
    /// begins at 1 again.
    pub version: u64,
    /// The value.
    pub value: Vec<u8>,
}

/// A write of one row.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Write {
    /// Key of the row.
    pub key: String,
    /// The new value; none deletes the row.
    pub value: Option<Vec<u8>>,
    /// When it may happen.
    pub condition: Condition,
}

/// When a write may happen.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Condition {
    /// Always.
    Any,
    /// There is no such row.
    Absent,
    /// The row has this version.
    Version(u64),
}

impl Condition {
    /// Whether the condition holds for a row as read.
    pub fn holds(self, row: Option<&Row>) -> bool {
        match self {
            Condition::Any => true,
            Condition::Absent => row.is_none(),
            Condition::Version(v) => row.is_some_and(|r| r.version == v),
        }
    }
}

/// A write whose row may be forgotten.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ExpiringWrite {
    /// The write.
    pub write: Write,
    /// The service deletes the row some time after this; none keeps it.
    pub expires_at_unix_s: Option<u64>,
}

impl From<Write> for ExpiringWrite {
    fn from(write: Write) -> ExpiringWrite {
        ExpiringWrite { write, expires_at_unix_s: None }
    }
}

/// Why a call to the table service failed.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum TableError {
    /// Surely not applied.
    Unavailable {
        /// What went wrong.
        detail: String,
        /// The service is up, and the call was over its rate.
        is_throttled: bool,
    },
    /// A write that may have been applied.
    Ambiguous {
        /// What went wrong.
        detail: String,
    },
    /// Not applied, since conditions failed.
    Conflict {
        /// Indexes of the writes whose condition failed.
        failed: Vec<usize>,
    },
    /// Not applied, since the two ends do not understand each other.
    Protocol {
        /// What went wrong.
        detail: String,
    },
}

impl fmt::Display for TableError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            TableError::Unavailable { detail, .. } => {
                write!(f, "the table service is unavailable: {detail}")
            }
            TableError::Ambiguous { detail } => {
                write!(f, "a write may have been applied: {detail}")
            }
            TableError::Conflict { failed } => {
                write!(f, "conditions of writes {failed:?} failed")
            }
            TableError::Protocol { detail } => {
                write!(f, "the table service's answer is wrong: {detail}")
            }
        }
    }
}

impl error::Error for TableError {}

/// A client of the table service.
#[derive(Debug)]
pub struct TableClient {
    transport: Transport,
    table_name: String,
}

impl TableClient {
    /// A client whose calls take at most `timeout`.
    pub fn new(address: SocketAddr, timeout: Duration) -> TableClient {
        let transport = Transport::new(address, timeout);
        let table_name = DEFAULT_TABLE_NAME.to_owned();
        TableClient { transport, table_name }
    }

    /// Uses another table.
    pub fn table_name(mut self, name: &str) -> TableClient {
        name.clone_into(&mut self.table_name);
        self
    }

    /// Reads a row.
    ///
    /// # Errors
    ///
    /// [`TableError::Unavailable`] and [`TableError::Protocol`] only.
    pub async fn read(&self, key: &str) -> Result<Option<Row>, TableError> {
        let request = GetItemRequest {
            table_name: self.table_name.clone(),
            key: key_item(key),
            consistent_read: true,
        };
        let response: GetItemResponse =
            self.call_read(wire::GET_ITEM, &request).await?;
        let item = response.item.as_ref();
        Ok(item.map(row_of).transpose()?.map(|(_, row)| row))
    }

    /// Reads rows; those that do not exist are left out.
    ///
    /// # Errors
    ///
    /// As of [`TableClient::read`].
    pub async fn read_many(
        &self,
        keys: &[String],
    ) -> Result<BTreeMap<String, Row>, TableError> {
        let mut rows = BTreeMap::new();
        for chunk in keys.chunks(wire::MAX_BATCH_KEYS) {
            self.read_chunk(chunk, &mut rows).await?;
        }
        Ok(rows)
    }

    /// Writes one row. See [`TableClient::transact`].
    ///
    /// # Errors
    ///
    /// See [`TableError`].
    pub async fn write(
        &self,
        write: Write,
        token: &str,
    ) -> Result<(), TableError> {
        self.transact(vec![write], token).await
    }

    /// Writes rows, all or none. The same writes with the same token are
    /// applied once, however often they are sent within ten minutes.
    ///
    /// # Errors
    ///
    /// See [`TableError`].
    pub async fn transact(
        &self,
        writes: Vec<Write>,
        token: &str,
    ) -> Result<(), TableError> {
        let writes = writes.into_iter().map(ExpiringWrite::from).collect();
        self.transact_expiring(writes, token).await
    }

    /// As [`TableClient::transact`], for rows that may be forgotten.
    ///
    /// # Errors
    ///
    /// See [`TableError`].
    pub async fn transact_expiring(
        &self,
        writes: Vec<ExpiringWrite>,
        token: &str,
    ) -> Result<(), TableError> {
        let count = writes.len();
        let items = writes.iter().map(|w| self.item_of(w)).collect();
        let request = TransactWriteItemsRequest {
            transact_items: items,
            client_request_token: token.to_owned(),
        };
        let call = self.call(wire::TRANSACT_WRITE_ITEMS, &request);
        let answer = call.await.map_err(|e| {
            let detail = e.to_string();
            match e.may_have_run() {
                true => TableError::Ambiguous { detail },
                false => {
                    TableError::Unavailable { detail, is_throttled: false }
                }
            }
        })?;
        match answer.status {
            200 => Ok(()),
            _ => Err(write_error(&answer, count)),
        }
    }

    async fn read_chunk(
        &self,
        keys: &[String],
        rows: &mut BTreeMap<String, Row>,
    ) -> Result<(), TableError> {
        let mut keys = keys.iter().map(|k| key_item(k)).collect();
        for _ in 0..MAX_BATCH_ROUNDS {
            let wanted = KeysAndAttributes { keys, consistent_read: true };
            let table_name = self.table_name.clone();
            let request_items = BTreeMap::from([(table_name, wanted)]);
            let request = BatchGetItemRequest { request_items };
            let mut response: BatchGetItemResponse =
                self.call_read(wire::BATCH_GET_ITEM, &request).await?;
            for item in response.responses.values().flatten() {
                let (key, row) = row_of(item)?;
                rows.insert(key, row);
            }
            match response.unprocessed_keys.remove(&self.table_name) {
                Some(rest) if !rest.keys.is_empty() => keys = rest.keys,
                _ => return Ok(()),
            }
        }
        let detail =
            format!("keys left unread after {MAX_BATCH_ROUNDS} rounds");
        Err(TableError::Unavailable { detail, is_throttled: true })
    }

    fn item_of(&self, expiring: &ExpiringWrite) -> TransactWriteItem {
        let ExpiringWrite { write, expires_at_unix_s } = expiring;
        let table_name = self.table_name.clone();
        let key = key_item(&write.key);
        let condition = condition_fields(write.condition);
        let version = match (&write.value, write.condition) {
            (None, _) => {
                let delete = Delete { table_name, key, condition };
                return TransactWriteItem::Delete(delete);
            }
            (Some(value), Condition::Any) => {
                return update_of(table_name, key, value, *expires_at_unix_s);
            }
            (Some(_), Condition::Absent) => 1,
            (Some(_), Condition::Version(old)) => old + 1,
        };
        let mut item = key;
        let value = write.value.as_deref().unwrap_or_default();
        item.insert(wire::VALUE.into(), bytes(value));
        item.insert(wire::VERSION.into(), number(version));
        if let Some(at) = expires_at_unix_s {
            item.insert(wire::EXPIRES_AT.into(), number(*at));
        }
        TransactWriteItem::Put(Put { table_name, item, condition })
    }

    async fn call_read<R: DeserializeOwned>(
        &self,
        target: &str,
        request: &impl Serialize,
    ) -> Result<R, TableError> {
        let answer = self.call(target, request).await.map_err(|e| {
            let detail = e.to_string();
            TableError::Unavailable { detail, is_throttled: false }
        })?;
        match answer.status {
            200 => decode(&answer.body),
            _ => Err(read_error(&answer)),
        }
    }

    async fn call(
        &self,
        target: &str,
        request: &impl Serialize,
    ) -> Result<Answer, ClientError> {
        let body = serde_json::to_vec(request)
            .expect("messages of plain fields can be written");
        let headers = [
            (wire::TARGET_HEADER, target),
            ("content-type", wire::CONTENT_TYPE),
        ];
        let method = Method::Post;
        let call = Call { method, target: "/", headers: &headers, body };
        self.transport.send(call).await
    }
}

fn update_of(
    table_name: String,
    key: Item,
    value: &[u8],
    expires_at_unix_s: Option<u64>,
) -> TransactWriteItem {
    let mut values = Item::from([
        (":v".to_owned(), bytes(value)),
        (":one".to_owned(), number(1)),
    ]);
    let update_expression = match expires_at_unix_s {
        None => wire::SET_VALUE,
        Some(at) => {
            values.insert(":expires_at".into(), number(at));
            wire::SET_VALUE_EXPIRING
        }
    };
    TransactWriteItem::Update(Update {
        table_name,
        key,
        update_expression: update_expression.to_owned(),
        expression_attribute_values: values,
    })
}

fn condition_fields(condition: Condition) -> ConditionFields {
    let (expression, values) = match condition {
        Condition::Any => return ConditionFields::default(),
        Condition::Absent => (wire::IF_ABSENT, Item::new()),
        Condition::Version(version) => {
            let values = Item::from([(":ver".into(), number(version))]);
            (wire::IF_VERSION, values)
        }
    };
    ConditionFields {
        condition_expression: Some(expression.to_owned()),
        expression_attribute_values: values,
    }
}

fn key_item(key: &str) -> Item {
    let value = AttributeValue::S(key.to_owned());
    Item::from([(wire::KEY.to_owned(), value)])
}

fn number(value: u64) -> AttributeValue {
    AttributeValue::N(value.to_string())
}

fn bytes(value: &[u8]) -> AttributeValue {
    AttributeValue::B(BASE64.encode(value))
}

fn row_of(item: &Item) -> Result<(String, Row), TableError> {
    let attribute = |name: &str| item.get(name);
    let key = match attribute(wire::KEY) {
        Some(AttributeValue::S(key)) => Some(key.clone()),
        _ => None,
    };
    let version = match attribute(wire::VERSION) {
        Some(AttributeValue::N(digits)) => digits.parse().ok(),
        _ => None,
    };
    let value = match attribute(wire::VALUE) {
        Some(AttributeValue::B(text)) => BASE64.decode(text).ok(),
        _ => None,
    };
    match (key, version, value) {
        (Some(key), Some(version), Some(value)) => {
            Ok((key, Row { version, value }))
        }
        _ => {
            let names: Vec<_> = item.keys().collect();
            let detail = format!("an item with {names:?} is no row");
            Err(TableError::Protocol { detail })
        }
    }
}

fn decode<R: DeserializeOwned>(body: &[u8]) -> Result<R, TableError> {
    serde_json::from_slice(body).map_err(|e| {
        let detail = e.to_string();
        TableError::Protocol { detail }
    })
}

/// The named error of an answer, if it has one.
fn error_body(answer: &Answer) -> ErrorBody {
    serde_json::from_slice(&answer.body).unwrap_or_default()
}

fn is_throttling(kind: &str) -> bool {
    matches!(
        kind,
        wire::THROUGHPUT_EXCEEDED
            | "ThrottlingException"
            | "ThrottlingError"
            | "ProvisionedThroughputExceeded"
            | "RequestLimitExceeded"
    )
}

fn short_kind(kind: &str) -> &str {
    kind.rsplit('#').next().unwrap_or(kind)
}

fn read_error(answer: &Answer) -> TableError {
    let body = error_body(answer);
    let kind = short_kind(&body.kind);
    let detail = format!("status {}, {kind} {}", answer.status, body.message);
    let is_throttled = is_throttling(kind);
    if is_throttled || answer.status >= 500 {
        return TableError::Unavailable { detail, is_throttled };
    }
    TableError::Protocol { detail }
}

/// A 5xx counts as "not applied" only when the service itself says that it
/// is unavailable; one of a balancer in between may come after the write.
fn write_error(answer: &Answer, write_count: usize) -> TableError {
    let body = error_body(answer);
    let kind = short_kind(&body.kind);
    let detail = format!("status {}, {kind} {}", answer.status, body.message);
    if kind == wire::TRANSACTION_CANCELED {
        return cancelled(&body, detail, write_count);
    }
    let is_throttled = is_throttling(kind);
    let is_overlap = kind == "TransactionInProgressException";
    match answer.status {
        400 if is_overlap => TableError::Ambiguous { detail },
        400 if is_throttled => {
            TableError::Unavailable { detail, is_throttled }
        }
        503 if kind == wire::SERVICE_UNAVAILABLE => {
            TableError::Unavailable { detail, is_throttled }
        }
        400..500 => TableError::Protocol { detail },
        _ => TableError::Ambiguous { detail },
    }
}

fn cancelled(
    body: &ErrorBody,
    detail: String,
    write_count: usize,
) -> TableError {
    let reasons = &body.cancellation_reasons;
    if reasons.len() != write_count {
        let detail = format!(
            "{} cancellation reasons for {write_count} writes: {detail}",
            reasons.len()
        );
        return TableError::Protocol { detail };
    }
    let is_condition = |i: &usize| reasons[*i].code == wire::REASON_CONDITION;
    let failed: Vec<_> = (0..write_count).filter(is_condition).collect();
    if !failed.is_empty() {
        return TableError::Conflict { failed };
    }
    // Another transaction held a row at that moment, or the rate was passed:
    // worth another try.
    let is_known = |code: &str| {
        code == wire::REASON_NONE
            || code == "TransactionConflict"
            || is_throttling(code)
    };
    match reasons.iter().all(|r| is_known(&r.code)) {
        true => TableError::Unavailable { detail, is_throttled: true },
        false => TableError::Protocol { detail },
    }
}
