//! Parsers of values; an error is the message of a finding.

use std::{fmt::Display, net::SocketAddr, num::IntErrorKind};

use crate::{
    document::truncated,
    fields::{
        AddressField, AddressListField, AddressUse, IntegerField, ListField,
        TextFormat,
    },
};

/// Parses an integer and checks its range.
pub(crate) fn parse_integer(
    field: &IntegerField,
    text: &str,
) -> Result<u64, String> {
    let range = format!("{} {}", field.range(), field.unit);
    match text.parse::<u64>() {
        Ok(value) if (field.min..=field.max).contains(&value) => Ok(value),
        Ok(_) => Err(out_of_range(text, &range)),
        Err(error) if *error.kind() == IntErrorKind::PosOverflow => {
            Err(out_of_range(text, &range))
        }
        Err(_) => Err(format!(
            "{} is not a whole number; it must be {range}",
            quoted(text),
        )),
    }
}

fn out_of_range(text: &str, range: &str) -> String {
    format!("{} is out of range; it must be {range}", truncated(text))
}

/// Parses a socket address and checks that it suits its use.
pub(crate) fn parse_address(
    field: &AddressField,
    text: &str,
) -> Result<SocketAddr, String> {
    let Ok(address) = text.parse::<SocketAddr>() else {
        return Err(format!("{} is not ip:port", quoted(text)));
    };
    if address.port() == 0 {
        return Err(format!("{address} has port 0; it must be 1..=65535"));
    }
    let is_connected = field.address_use == AddressUse::Connect;
    if is_connected && address.ip().is_unspecified() {
        return Err(format!("{address} is not a valid address to connect to"));
    }
    Ok(address)
}

/// Parses a text of a format.
pub(crate) fn parse_text(
    format: TextFormat,
    text: &str,
) -> Result<String, String> {
    if format.matches(text) {
        Ok(format.to_canonical(text))
    } else {
        Err(invalid_format(format, text))
    }
}

/// Parses a non-empty list without duplicates.
pub(crate) fn parse_list(
    field: &ListField,
    text: &str,
) -> Result<Vec<String>, String> {
    parse_items(text, |item| parse_text(field.format, item))
}

/// Parses a non-empty list of addresses without duplicates, and checks the
/// number of addresses.
pub(crate) fn parse_addresses(
    field: &AddressListField,
    text: &str,
) -> Result<Vec<SocketAddr>, String> {
    let item = AddressField::connect(field.key);
    let addresses = parse_items(text, |text| parse_address(&item, text))?;
    let (count, max) = (addresses.len(), field.max_count);
    if count > max {
        return Err(format!("{count} addresses; at most {max} are allowed"));
    }
    Ok(addresses)
}

fn parse_items<T: PartialEq + Display>(
    text: &str,
    parse: impl Fn(&str) -> Result<T, String>,
) -> Result<Vec<T>, String> {
    if text.is_empty() {
        return Err(
            "the list is empty; it must have at least one item".to_owned()
        );
    }
    let mut items = Vec::new();
    for item in text.split(',') {
        let item = parse(item.trim())?;
        if items.contains(&item) {
            return Err(format!("{item} is listed twice"));
        }
        items.push(item);
    }
    Ok(items)
}

/// Message for a text that does not have the format.
pub(crate) fn invalid_format(format: TextFormat, text: &str) -> String {
    format!("{} is not a {}", quoted(text), format.describe())
}

fn quoted(text: &str) -> String {
    format!("{:?}", truncated(text))
}
