//! Values from their text; an error is the message of a finding.

use std::{fmt::Display, net::SocketAddr, num::IntErrorKind};

use crate::{
    document::truncated,
    fields::{
        AddressField, AddressListField, AddressUse, IntegerField, ListField,
        TextFormat,
    },
};

/// A whole number within the field's range.
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

/// An address with a port.
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
        return Err(format!("{address} is no address to connect to"));
    }
    Ok(address)
}

/// A text of the form.
pub(crate) fn parse_text(
    form: TextFormat,
    text: &str,
) -> Result<String, String> {
    if form.matches(text) {
        Ok(form.normalised(text))
    } else {
        Err(not_of_form(form, text))
    }
}

/// Items of the field's form, none twice.
pub(crate) fn parse_list(
    field: &ListField,
    text: &str,
) -> Result<Vec<String>, String> {
    parse_items(text, |item| parse_text(field.form, item))
}

/// Addresses to connect to, none twice, not more than the field allows.
pub(crate) fn parse_addresses(
    field: &AddressListField,
    text: &str,
) -> Result<Vec<SocketAddr>, String> {
    let item = AddressField::connect(field.key);
    let addresses = parse_items(text, |text| parse_address(&item, text))?;
    let (count, max) = (addresses.len(), field.max_count);
    if count > max {
        return Err(format!("{count} addresses; there may be {max} at most"));
    }
    Ok(addresses)
}

fn parse_items<T: PartialEq + Display>(
    text: &str,
    parse: impl Fn(&str) -> Result<T, String>,
) -> Result<Vec<T>, String> {
    if text.is_empty() {
        return Err("empty list; it needs one item or more".to_owned());
    }
    let mut items = Vec::new();
    for item in text.split(',') {
        let item = parse(item.trim())?;
        if items.contains(&item) {
            return Err(format!("{item} stands twice"));
        }
        items.push(item);
    }
    Ok(items)
}

/// Message for a text that hasn't the form.
pub(crate) fn not_of_form(form: TextFormat, text: &str) -> String {
    format!("{} is not a {}", quoted(text), form.describe())
}

fn quoted(text: &str) -> String {
    format!("{:?}", truncated(text))
}
