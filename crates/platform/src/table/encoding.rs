//! Conversion between rows and items of the protocol.

use base64::{Engine as _, engine::general_purpose::STANDARD as BASE64};

use super::{Condition, ExpiringWrite, Row, TableError};
use crate::wire::{
    self, AttributeValue, ConditionFields, Delete, Item, Put,
    TransactWriteItem, Update,
};

/// Encodes one write of a transaction.
pub(super) fn write_item(
    table_name: &str,
    expiring: &ExpiringWrite,
) -> TransactWriteItem {
    let ExpiringWrite { write, expires_at_unix_s } = expiring;
    let table_name = table_name.to_owned();
    let key = key_item(&write.key);
    let condition = condition_fields(write.condition);
    let version = match (&write.value, write.condition) {
        (None, _) => {
            let delete = Delete { table_name, key, condition };
            return TransactWriteItem::Delete(delete);
        }
        (Some(value), Condition::Any) => {
            return update_item(table_name, key, value, *expires_at_unix_s);
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

fn update_item(
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

/// Encodes the key of a row.
pub(super) fn key_item(key: &str) -> Item {
    let value = AttributeValue::S(key.to_owned());
    Item::from([(wire::KEY.to_owned(), value)])
}

fn number(value: u64) -> AttributeValue {
    AttributeValue::N(value.to_string())
}

fn bytes(value: &[u8]) -> AttributeValue {
    AttributeValue::B(BASE64.encode(value))
}

/// Decodes the key and the row of an item.
pub(super) fn decode_row(item: &Item) -> Result<(String, Row), TableError> {
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
            let detail =
                format!("an item with the attributes {names:?} is not a row");
            Err(TableError::Protocol { detail })
        }
    }
}
