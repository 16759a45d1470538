//! Messages of the table service, a subset of the published DynamoDB JSON
//! protocol (version 2012-08-10).
//!
//! `GetItem`, `BatchGetItem` and `TransactWriteItems` are used. `PutItem` is
//! not: it takes no request token, so a lost answer could not be settled by
//! sending it again. A row is one item with the key `pk`, the value `v`, its
//! version `ver` and, if it may be forgotten, the time-to-live `expires_at`.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

/// Header that names the operation.
pub const TARGET_HEADER: &str = "x-amz-target";
/// Content type of all messages.
pub const CONTENT_TYPE: &str = "application/x-amz-json-1.0";
/// Operation that reads one item.
pub const GET_ITEM: &str = "DynamoDB_20120810.GetItem";
/// Operation that reads many items.
pub const BATCH_GET_ITEM: &str = "DynamoDB_20120810.BatchGetItem";
/// Operation that writes items, all or none.
pub const TRANSACT_WRITE_ITEMS: &str = "DynamoDB_20120810.TransactWriteItems";

/// Attribute of the key.
pub const KEY: &str = "pk";
/// Attribute of the value.
pub const VALUE: &str = "v";
/// Attribute of the version.
pub const VERSION: &str = "ver";
/// Attribute of the time-to-live, in seconds since 1970.
pub const EXPIRES_AT: &str = "expires_at";

/// Condition that there is no such item.
pub const IF_ABSENT: &str = "attribute_not_exists(pk)";
/// Condition that the item has the version `:ver`.
pub const IF_VERSION: &str = "ver = :ver";
/// Change of an item of any version.
pub const SET_VALUE: &str = "SET v = :v ADD ver :one";
/// Likewise with a time-to-live.
pub const SET_VALUE_EXPIRING: &str =
    "SET v = :v, expires_at = :expires_at ADD ver :one";

/// Published limit of one transaction.
pub const MAX_TRANSACT_ITEMS: usize = 100;
/// Published limit of one batch of reads.
pub const MAX_BATCH_KEYS: usize = 100;

/// Attributes by name.
pub type Item = BTreeMap<String, AttributeValue>;

/// A typed value.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum AttributeValue {
    /// Text.
    S(String),
    /// A number, in decimal digits.
    N(String),
    /// Bytes, in base64.
    B(String),
}

/// Reads one item.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(rename_all = "PascalCase")]
pub struct GetItemRequest {
    /// Table.
    pub table_name: String,
    /// Key of the item.
    pub key: Item,
    /// Sees every write that was answered before.
    #[serde(default)]
    pub consistent_read: bool,
}

/// The item, if there is one.
#[derive(Clone, Debug, Default, Deserialize, Serialize)]
#[serde(rename_all = "PascalCase")]
pub struct GetItemResponse {
    /// The item.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub item: Option<Item>,
}

/// Reads many items.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(rename_all = "PascalCase")]
pub struct BatchGetItemRequest {
    /// What to read, by table.
    pub request_items: BTreeMap<String, KeysAndAttributes>,
}

/// Items to read of one table.
#[derive(Clone, Debug, Default, Deserialize, Serialize)]
#[serde(rename_all = "PascalCase")]
pub struct KeysAndAttributes {
    /// Keys of the items.
    pub keys: Vec<Item>,
    /// Sees every write that was answered before.
    #[serde(default)]
    pub consistent_read: bool,
}

/// Items found, and what is to be asked for again.
#[derive(Clone, Debug, Default, Deserialize, Serialize)]
#[serde(rename_all = "PascalCase")]
pub struct BatchGetItemResponse {
    /// Items by table, in any order.
    #[serde(default)]
    pub responses: BTreeMap<String, Vec<Item>>,
    /// Not looked up this time.
    #[serde(default)]
    pub unprocessed_keys: BTreeMap<String, KeysAndAttributes>,
}

/// Writes items, all or none.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "PascalCase")]
pub struct TransactWriteItemsRequest {
    /// The writes, each to another item.
    pub transact_items: Vec<TransactWriteItem>,
    /// Repeats with the same token within ten minutes are one transaction.
    pub client_request_token: String,
}

/// One write.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum TransactWriteItem {
    /// Sets a whole item.
    Put(Put),
    /// Changes attributes.
    Update(Update),
    /// Removes an item.
    Delete(Delete),
}

/// Sets a whole item.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "PascalCase")]
pub struct Put {
    /// Table.
    pub table_name: String,
    /// The new item.
    pub item: Item,
    /// When the write may happen.
    #[serde(flatten)]
    pub condition: ConditionFields,
}

/// Changes attributes.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "PascalCase")]
pub struct Update {
    /// Table.
    pub table_name: String,
    /// Key of the item.
    pub key: Item,
    /// [`SET_VALUE`] or [`SET_VALUE_EXPIRING`].
    pub update_expression: String,
    /// Values named in the expression.
    pub expression_attribute_values: Item,
}

/// Removes an item.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "PascalCase")]
pub struct Delete {
    /// Table.
    pub table_name: String,
    /// Key of the item.
    pub key: Item,
    /// When the write may happen.
    #[serde(flatten)]
    pub condition: ConditionFields,
}

/// When a write may happen.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "PascalCase")]
pub struct ConditionFields {
    /// [`IF_ABSENT`], [`IF_VERSION`] or none.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub condition_expression: Option<String>,
    /// Values named in the expression.
    #[serde(default, skip_serializing_if = "Item::is_empty")]
    pub expression_attribute_values: Item,
}

/// Body of an answer other than 200.
#[derive(Clone, Debug, Default, Deserialize, Serialize)]
pub struct ErrorBody {
    /// Name of the error, after a `#` if there is one.
    #[serde(rename = "__type", default)]
    pub kind: String,
    /// For people.
    #[serde(default, alias = "Message")]
    pub message: String,
    /// Of a cancelled transaction, one for each write.
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

/// Reason of a write that was not at fault.
pub const REASON_NONE: &str = "None";
/// Reason of a write whose condition failed.
pub const REASON_CONDITION: &str = "ConditionalCheckFailed";

/// The writes of a transaction were cancelled together.
pub const TRANSACTION_CANCELED: &str = "TransactionCanceledException";
/// A token was used with other writes.
pub const TOKEN_MISMATCH: &str = "IdempotentParameterMismatchException";
/// A request was over the rate.
pub const THROUGHPUT_EXCEEDED: &str = "ProvisionedThroughputExceededException";
/// The service is down and has done nothing.
pub const SERVICE_UNAVAILABLE: &str = "ServiceUnavailable";
/// The service failed at some point.
pub const INTERNAL_ERROR: &str = "InternalServerError";
/// A request is malformed.
pub const VALIDATION: &str = "ValidationException";
