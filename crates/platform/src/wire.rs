//! Messages of the table service, a subset of the DynamoDB JSON protocol
//! (version 2012-08-10).
//!
//! The client uses `GetItem`, `BatchGetItem` and `TransactWriteItems`. It does
//! not use `PutItem`, which takes no request token: after a lost response, a
//! `PutItem` could not be repeated safely. A row is one item with the key
//! `pk`, the value `v`, the version `ver` and optionally the time-to-live
//! `expires_at`.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

/// Header with the name of the operation.
pub const TARGET_HEADER: &str = "x-amz-target";
/// Content type of all messages.
pub const CONTENT_TYPE: &str = "application/x-amz-json-1.0";
/// Operation that reads one item.
pub const GET_ITEM: &str = "DynamoDB_20120810.GetItem";
/// Operation that reads many items.
pub const BATCH_GET_ITEM: &str = "DynamoDB_20120810.BatchGetItem";
/// Operation that writes items atomically.
pub const TRANSACT_WRITE_ITEMS: &str = "DynamoDB_20120810.TransactWriteItems";

/// Attribute of the key.
pub const KEY: &str = "pk";
/// Attribute of the value.
pub const VALUE: &str = "v";
/// Attribute of the version.
pub const VERSION: &str = "ver";
/// Attribute of the time-to-live, in Unix seconds.
pub const EXPIRES_AT: &str = "expires_at";

/// Condition that the item does not exist.
pub const IF_ABSENT: &str = "attribute_not_exists(pk)";
/// Condition that the item has the version `:ver`.
pub const IF_VERSION: &str = "ver = :ver";
/// Update of an item of any version.
pub const SET_VALUE: &str = "SET v = :v ADD ver :one";
/// Update of an item of any version, with a time-to-live.
pub const SET_VALUE_EXPIRING: &str =
    "SET v = :v, expires_at = :expires_at ADD ver :one";

/// Documented limit of items in one transaction.
pub const MAX_TRANSACT_ITEMS: usize = 100;
/// Documented limit of keys in one batch read.
pub const MAX_BATCH_KEYS: usize = 100;

/// Attribute values by attribute name.
pub type Item = BTreeMap<String, AttributeValue>;

/// A typed attribute value.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum AttributeValue {
    /// Text.
    S(String),
    /// A number, in decimal digits.
    N(String),
    /// Bytes, in base64.
    B(String),
}

/// Request of `GetItem`.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(rename_all = "PascalCase")]
pub struct GetItemRequest {
    /// Table.
    pub table_name: String,
    /// Key of the item.
    pub key: Item,
    /// Whether the read reflects all writes acknowledged before it.
    #[serde(default)]
    pub consistent_read: bool,
}

/// Response of `GetItem`.
#[derive(Clone, Debug, Default, Deserialize, Serialize)]
#[serde(rename_all = "PascalCase")]
pub struct GetItemResponse {
    /// The item, if it exists.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub item: Option<Item>,
}

/// Request of `BatchGetItem`.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(rename_all = "PascalCase")]
pub struct BatchGetItemRequest {
    /// Items to read, by table.
    pub request_items: BTreeMap<String, KeysAndAttributes>,
}

/// Items to read from one table.
#[derive(Clone, Debug, Default, Deserialize, Serialize)]
#[serde(rename_all = "PascalCase")]
pub struct KeysAndAttributes {
    /// Keys of the items.
    pub keys: Vec<Item>,
    /// Whether the read reflects all writes acknowledged before it.
    #[serde(default)]
    pub consistent_read: bool,
}

/// Response of `BatchGetItem`.
#[derive(Clone, Debug, Default, Deserialize, Serialize)]
#[serde(rename_all = "PascalCase")]
pub struct BatchGetItemResponse {
    /// Items by table, in any order.
    #[serde(default)]
    pub responses: BTreeMap<String, Vec<Item>>,
    /// Keys that were not processed and must be requested again.
    #[serde(default)]
    pub unprocessed_keys: BTreeMap<String, KeysAndAttributes>,
}

/// Request of `TransactWriteItems`.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "PascalCase")]
pub struct TransactWriteItemsRequest {
    /// The writes, each to a different item.
    pub transact_items: Vec<TransactWriteItem>,
    /// Idempotency token: repeats with the same token within ten minutes count
    /// as one transaction.
    pub client_request_token: String,
}

/// One write of a transaction.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum TransactWriteItem {
    /// Replaces a whole item.
    Put(Put),
    /// Changes attributes of an item.
    Update(Update),
    /// Deletes an item.
    Delete(Delete),
}

/// Replaces a whole item.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "PascalCase")]
pub struct Put {
    /// Table.
    pub table_name: String,
    /// The new item.
    pub item: Item,
    /// Precondition of the write.
    #[serde(flatten)]
    pub condition: ConditionFields,
}

/// Changes attributes of an item.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "PascalCase")]
pub struct Update {
    /// Table.
    pub table_name: String,
    /// Key of the item.
    pub key: Item,
    /// [`SET_VALUE`] or [`SET_VALUE_EXPIRING`].
    pub update_expression: String,
    /// Values of the placeholders in the expression.
    pub expression_attribute_values: Item,
}

/// Deletes an item.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "PascalCase")]
pub struct Delete {
    /// Table.
    pub table_name: String,
    /// Key of the item.
    pub key: Item,
    /// Precondition of the write.
    #[serde(flatten)]
    pub condition: ConditionFields,
}

/// Precondition of a write.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "PascalCase")]
pub struct ConditionFields {
    /// [`IF_ABSENT`], [`IF_VERSION`] or none.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub condition_expression: Option<String>,
    /// Values of the placeholders in the expression.
    #[serde(default, skip_serializing_if = "Item::is_empty")]
    pub expression_attribute_values: Item,
}

/// Body of a response with a status other than 200.
#[derive(Clone, Debug, Default, Deserialize, Serialize)]
pub struct ErrorBody {
    /// Name of the error; if the text contains a `#`, the name follows it.
    #[serde(rename = "__type", default)]
    pub kind: String,
    /// Human-readable description.
    #[serde(default, alias = "Message")]
    pub message: String,
    /// For a cancelled transaction, one reason for each write.
    #[serde(
        rename = "CancellationReasons",
        default,
        skip_serializing_if = "Vec::is_empty"
    )]
    pub cancellation_reasons: Vec<CancellationReason>,
}

/// Why one write cancelled its transaction.
#[derive(Clone, Debug, Default, Deserialize, Serialize)]
#[serde(rename_all = "PascalCase")]
pub struct CancellationReason {
    /// [`REASON_NONE`], [`REASON_CONDITION`] or another.
    #[serde(default)]
    pub code: String,
}

/// Reason code of a write that did not cause the cancellation.
pub const REASON_NONE: &str = "None";
/// Reason code of a write whose condition failed.
pub const REASON_CONDITION: &str = "ConditionalCheckFailed";

/// The transaction was cancelled.
pub const TRANSACTION_CANCELED: &str = "TransactionCanceledException";
/// The token was used before with different writes.
pub const TOKEN_MISMATCH: &str = "IdempotentParameterMismatchException";
/// The request exceeded the rate limit.
pub const THROUGHPUT_EXCEEDED: &str = "ProvisionedThroughputExceededException";
/// The service is unavailable and did not carry out the request.
pub const SERVICE_UNAVAILABLE: &str = "ServiceUnavailable";
/// The service failed; the request may have been carried out.
pub const INTERNAL_ERROR: &str = "InternalServerError";
/// The request is malformed.
pub const VALIDATION: &str = "ValidationException";
