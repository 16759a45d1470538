//! Fetches the status of all entries.

use std::{collections::BTreeMap, net::SocketAddr, time::Duration};

use serde_json::Value;

use super::state;
use crate::{exit::Exit, output};

/// Items by name and by the entry that reports them.
pub(super) type ItemsByEntry = BTreeMap<String, BTreeMap<String, Value>>;

/// Statuses by entry name, `None` for an entry that did not respond.
pub(super) struct Statuses {
    by_entry: BTreeMap<String, Option<Value>>,
}

impl Statuses {
    /// Fetches the status of each entry.
    pub(super) fn fetch_all(
        entries: Vec<(String, SocketAddr)>,
        timeout: Duration,
    ) -> Statuses {
        let status = |(name, address)| {
            let status = state::fetch_status(address, timeout);
            (name, async_io::block_on(status))
        };
        Statuses { by_entry: entries.into_iter().map(status).collect() }
    }

    /// Number of queried entries.
    pub(super) fn len(&self) -> usize {
        self.by_entry.len()
    }

    /// The exit code: lagging if an entry did not respond.
    pub(super) fn exit(&self) -> Exit {
        match self.by_entry.values().any(Option::is_none) {
            true => Exit::Lagging,
            false => Exit::Done,
        }
    }

    /// Prints the entries that did not respond.
    pub(super) fn print_unresponsive(&self) -> anyhow::Result<()> {
        for (entry, status) in &self.by_entry {
            if status.is_none() {
                output::print_text(&format!("{entry} does not answer"))?;
            }
        }
        Ok(())
    }

    /// The entry whose status has this value in a field.
    pub(super) fn entry_with(
        &self,
        field: &str,
        value: &Value,
    ) -> Option<&str> {
        let mut entries = self.by_entry.iter();
        let matches = |status: &Value| status[field] == *value;
        let found =
            entries.find(|(_, status)| status.as_ref().is_some_and(matches));
        found.map(|(name, _)| name.as_str())
    }

    /// Collects the items of a list in each status by the value of the field
    /// `name`.
    pub(super) fn items(&self, list: &str, name: &str) -> ItemsByEntry {
        let mut items = ItemsByEntry::new();
        for (entry, status) in &self.by_entry {
            let list_items = status.as_ref().and_then(|s| s[list].as_array());
            for item in list_items.into_iter().flatten() {
                let Some(name) = item[name].as_str() else { continue };
                let by_entry = items.entry(name.to_owned()).or_default();
                by_entry.insert(entry.clone(), item.clone());
            }
        }
        items
    }
}

/// Text of a value in a table; a dash for a missing one.
pub(super) fn format_cell(value: &Value) -> String {
    match value {
        Value::Null => "-".to_owned(),
        value => value.to_string(),
    }
}
