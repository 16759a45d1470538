//! Rows of the table service.
//!
//! Every write is a transaction with a request token, also that of a single
//! row: the token makes it safe to send the same write again when an answer
//! was lost. Reads are consistent ones, since they settle lost answers.

use std::{collections::BTreeMap, net::SocketAddr, time::Duration};

use chestnutreach_http::ClientError;
use http_types::Method;
use serde::{Serialize, de::DeserializeOwned};

use crate::{
    transport::{Answer, Call, Transport},
    wire::{
        self, BatchGetItemRequest, BatchGetItemResponse, GetItemRequest,
        GetItemResponse, KeysAndAttributes, TransactWriteItemsRequest,
    },
};

mod answer;
mod encoding;
mod errors;
mod observer;
mod row;

pub use errors::TableError;
pub use observer::{CallResult, TableCall};
pub use row::{Condition, ExpiringWrite, Row, Write};

/// Name of the table unless another is set.
pub const DEFAULT_TABLE_NAME: &str = "chestnutreach";
/// Rounds in which a batch of reads must be whole.
const MAX_BATCH_ROUNDS: usize = 8;

/// A client of the table service.
#[derive(Debug)]
pub struct TableClient {
    transport: Transport,
    table_name: String,
    observer: observer::Observer,
}

impl TableClient {
    /// A client whose calls take at most `timeout`.
    pub fn new(address: SocketAddr, timeout: Duration) -> TableClient {
        let transport = Transport::new(address, timeout);
        let table_name = DEFAULT_TABLE_NAME.to_owned();
        let observer = observer::Observer::default();
        TableClient { transport, table_name, observer }
    }

    /// Has each call told of, to count it.
    pub fn on_call(
        mut self,
        tell: impl Fn(TableCall, CallResult) + Send + Sync + 'static,
    ) -> TableClient {
        self.observer = observer::Observer::new(tell);
        self
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
            key: encoding::key_item(key),
            consistent_read: true,
        };
        let response: GetItemResponse =
            self.call_read(wire::GET_ITEM, &request).await?;
        let item = response.item.as_ref();
        Ok(item.map(encoding::row_of).transpose()?.map(|(_, row)| row))
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
        let items = writes
            .iter()
            .map(|w| encoding::write_item(&self.table_name, w))
            .collect();
        let request = TransactWriteItemsRequest {
            transact_items: items,
            client_request_token: token.to_owned(),
        };
        let result = self.send_writes(&request, count).await;
        self.observer.note(TableCall::Write, result)
    }

    async fn send_writes(
        &self,
        request: &TransactWriteItemsRequest,
        count: usize,
    ) -> Result<(), TableError> {
        let call = self.call(wire::TRANSACT_WRITE_ITEMS, request);
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
            _ => Err(answer::write_error(&answer, count)),
        }
    }

    async fn read_chunk(
        &self,
        keys: &[String],
        rows: &mut BTreeMap<String, Row>,
    ) -> Result<(), TableError> {
        let mut keys = keys.iter().map(|k| encoding::key_item(k)).collect();
        for _ in 0..MAX_BATCH_ROUNDS {
            let wanted = KeysAndAttributes { keys, consistent_read: true };
            let table_name = self.table_name.clone();
            let request_items = BTreeMap::from([(table_name, wanted)]);
            let request = BatchGetItemRequest { request_items };
            let mut response: BatchGetItemResponse =
                self.call_read(wire::BATCH_GET_ITEM, &request).await?;
            for item in response.responses.values().flatten() {
                let (key, row) = encoding::row_of(item)?;
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

    async fn call_read<R: DeserializeOwned>(
        &self,
        target: &str,
        request: &impl Serialize,
    ) -> Result<R, TableError> {
        let result = match self.call(target, request).await {
            Ok(answer) if answer.status == 200 => answer::decode(&answer.body),
            Ok(answer) => Err(answer::read_error(&answer)),
            Err(e) => {
                let detail = e.to_string();
                Err(TableError::Unavailable { detail, is_throttled: false })
            }
        };
        self.observer.note(TableCall::Read, result)
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
