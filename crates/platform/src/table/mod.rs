//! Client for the rows of the table service.
//!
//! Every write, even of a single row, is a transaction with a request token.
//! The token makes it safe to repeat a write whose response was lost. Reads
//! are strongly consistent, since they determine whether such a write was
//! applied.

use std::{collections::BTreeMap, net::SocketAddr, time::Duration};

use chestnutreach_http::ClientError;
use http_types::Method;
use serde::{Serialize, de::DeserializeOwned};

use crate::{
    transport::{Call, Response, Transport},
    wire::{
        self, BatchGetItemRequest, BatchGetItemResponse, GetItemRequest,
        GetItemResponse, KeysAndAttributes, TransactWriteItemsRequest,
    },
};

mod encoding;
mod errors;
mod observer;
mod response;
mod row;

pub use errors::TableError;
pub use observer::{CallResult, TableCall};
pub use row::{Condition, ExpiringWrite, Row, Write};

/// Default name of the table.
pub const DEFAULT_TABLE_NAME: &str = "chestnutreach";
/// Maximum requests to read one batch; the service can return it in parts.
const MAX_BATCH_ROUNDS: usize = 8;

/// A client of the table service.
#[derive(Debug)]
pub struct TableClient {
    transport: Transport,
    table_name: String,
    observer: observer::Observer,
}

impl TableClient {
    /// Creates a client whose calls take at most `timeout`.
    pub fn new(address: SocketAddr, timeout: Duration) -> TableClient {
        let transport = Transport::new(address, timeout);
        let table_name = DEFAULT_TABLE_NAME.to_owned();
        let observer = observer::Observer::default();
        TableClient { transport, table_name, observer }
    }

    /// Sets a callback that receives the result of each call, for metrics.
    pub fn on_call(
        mut self,
        observe: impl Fn(TableCall, CallResult) + Send + Sync + 'static,
    ) -> TableClient {
        self.observer = observer::Observer::new(observe);
        self
    }

    /// Sets the name of the table.
    pub fn table_name(mut self, name: &str) -> TableClient {
        name.clone_into(&mut self.table_name);
        self
    }

    /// Reads a row, or returns none if it does not exist.
    ///
    /// # Errors
    ///
    /// Only [`TableError::Unavailable`] and [`TableError::Protocol`].
    pub async fn read(&self, key: &str) -> Result<Option<Row>, TableError> {
        let request = GetItemRequest {
            table_name: self.table_name.clone(),
            key: encoding::key_item(key),
            consistent_read: true,
        };
        let response: GetItemResponse =
            self.call_read(wire::GET_ITEM, &request).await?;
        let item = response.item.as_ref();
        Ok(item.map(encoding::decode_row).transpose()?.map(|(_, row)| row))
    }

    /// Reads rows by key; rows that do not exist are omitted.
    ///
    /// # Errors
    ///
    /// As for [`TableClient::read`].
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

    /// Writes rows atomically. The same writes with the same token are applied
    /// once, however often they are sent within ten minutes.
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

    /// As [`TableClient::transact`], for rows that can expire.
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
        self.observer.record(TableCall::Write, result)
    }

    async fn send_writes(
        &self,
        request: &TransactWriteItemsRequest,
        count: usize,
    ) -> Result<(), TableError> {
        let call = self.call(wire::TRANSACT_WRITE_ITEMS, request);
        let response = call.await.map_err(|e| {
            let detail = e.to_string();
            match e.may_have_run() {
                true => TableError::Ambiguous { detail },
                false => {
                    TableError::Unavailable { detail, is_throttled: false }
                }
            }
        })?;
        match response.status {
            200 => Ok(()),
            _ => Err(response::write_error(&response, count)),
        }
    }

    async fn read_chunk(
        &self,
        keys: &[String],
        rows: &mut BTreeMap<String, Row>,
    ) -> Result<(), TableError> {
        let mut keys = keys.iter().map(|k| encoding::key_item(k)).collect();
        for _ in 0..MAX_BATCH_ROUNDS {
            let requested = KeysAndAttributes { keys, consistent_read: true };
            let table_name = self.table_name.clone();
            let request_items = BTreeMap::from([(table_name, requested)]);
            let request = BatchGetItemRequest { request_items };
            let mut response: BatchGetItemResponse =
                self.call_read(wire::BATCH_GET_ITEM, &request).await?;
            for item in response.responses.values().flatten() {
                let (key, row) = encoding::decode_row(item)?;
                rows.insert(key, row);
            }
            match response.unprocessed_keys.remove(&self.table_name) {
                Some(rest) if !rest.keys.is_empty() => keys = rest.keys,
                _ => return Ok(()),
            }
        }
        let detail = format!(
            "some keys are still unprocessed after {MAX_BATCH_ROUNDS} requests"
        );
        Err(TableError::Unavailable { detail, is_throttled: true })
    }

    async fn call_read<R: DeserializeOwned>(
        &self,
        target: &str,
        request: &impl Serialize,
    ) -> Result<R, TableError> {
        let result = match self.call(target, request).await {
            Ok(response) if response.status == 200 => {
                response::decode(&response.body)
            }
            Ok(response) => Err(response::read_error(&response)),
            Err(e) => {
                let detail = e.to_string();
                Err(TableError::Unavailable { detail, is_throttled: false })
            }
        };
        self.observer.record(TableCall::Read, result)
    }

    async fn call(
        &self,
        target: &str,
        request: &impl Serialize,
    ) -> Result<Response, ClientError> {
        let body = serde_json::to_vec(request)
            .expect("plain fields always serialize");
        let headers = [
            (wire::TARGET_HEADER, target),
            ("content-type", wire::CONTENT_TYPE),
        ];
        let method = Method::Post;
        let call = Call { method, target: "/", headers: &headers, body };
        self.transport.send(call).await
    }
}
