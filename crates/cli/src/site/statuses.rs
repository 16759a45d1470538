//! What the entries say that they know, gathered from all of them.

use std::{collections::BTreeMap, net::SocketAddr, time::Duration};

use serde_json::Value;

use super::state;
use crate::{exit::Exit, output};

/// Items by their names, as each entry tells of them.
pub(super) type ItemsByEntry = BTreeMap<String, BTreeMap<String, Value>>;

/// The statuses of entries by their names; none where one did not answer.
pub(super) struct Statuses {
    by_entry: BTreeMap<String, Option<Value>>,
}

impl Statuses {
    /// Asks these entries.
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

    /// How many were asked.
    pub(super) fn len(&self) -> usize {
        self.by_entry.len()
    }

    /// How the tool ends: lagging if one did not answer.
    pub(super) fn exit(&self) -> Exit {
        match self.by_entry.values().any(Option::is_none) {
            true => Exit::Lagging,
            false => Exit::Done,
        }
    }

    /// Tells which did not answer.
    pub(super) fn print_unresponsive(&self) -> anyhow::Result<()> {
        for (entry, status) in &self.by_entry {
            if status.is_none() {
                output::print_text(&format!("{entry} does not answer"))?;
            }
        }
        Ok(())
    }

    /// The entry whose field has this value.
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

    /// Items of a list in each status, by a field that names them.
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
