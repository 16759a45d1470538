//! Faults, counts and records of a fleet's stand-ins.

use std::{collections::BTreeMap, net::SocketAddr};

use chestnutreach_standins::{plain::PlainRecord, record::Numbered};
use serde_json::{Value, json};

use super::{Fleet, side_name};
use crate::{client::Caller, record::NumberedRun};

impl Fleet {
    /// Address of a stand-in: `table`, `objects`, `vm-list`, or the name of
    /// a backend server.
    pub fn standin_address(&self, name: &str) -> SocketAddr {
        self.servers[name]
    }

    /// Replaces the faults of a stand-in.
    ///
    /// # Panics
    ///
    /// Panics if the stand-in doesn't accept the faults.
    pub fn set_faults(&self, name: &str, faults: &Value) {
        let response =
            self.standin(name).call("PUT", "/faults", &faults.to_string());
        assert!(
            (200..300).contains(&response.status),
            "faults of {name}: {response:?}"
        );
    }

    /// Sets which VMs the platform lists as leaving; all other VMs of side
    /// processes are listed as live.
    pub fn set_leaving_vms(&self, leaving: &[&str]) {
        let names = self.sides.keys().map(|name| side_name(name));
        let entries: Vec<Value> = names
            .map(|vm| {
                let is_leaving = leaving.contains(&vm.as_str());
                let state = if is_leaving { "leaving" } else { "live" };
                json!({"vm": vm, "state": state})
            })
            .collect();
        let body = Value::from(entries).to_string();
        self.standin("vm-list").call("PUT", "/vms", &body);
    }

    /// Number of calls that a stand-in currently holds.
    pub fn held_calls(&self, name: &str) -> u64 {
        let response = self.standin(name).call("GET", "/held", "");
        response.json().as_u64().unwrap_or(0)
    }

    /// Counts of the calls that a stand-in rejected with a cooldown, and of
    /// those that arrived during a cooldown.
    pub fn cooldown_stats(&self, name: &str) -> Value {
        self.standin(name).call("GET", "/rests", "").json()
    }

    /// Counts of a stand-in.
    pub fn stats(&self, name: &str) -> Value {
        self.standin(name).call("GET", "/stats", "").json()
    }

    pub(super) fn standin(&self, name: &str) -> Caller {
        Caller::new(self.servers[name], "")
    }

    /// Record of each engine. An engine that doesn't respond has an empty
    /// record, since the record was lost with its memory.
    pub fn engine_records(&self) -> BTreeMap<String, Vec<NumberedRun>> {
        let names = self.plan.engine_names();
        let records = names.into_iter().map(|name| {
            let runs = self.engine_record(&name);
            (name, runs)
        });
        records.collect()
    }

    /// Record of one engine.
    pub fn engine_record(&self, name: &str) -> Vec<NumberedRun> {
        self.record_lines(name)
    }

    /// Record of a plain server.
    pub fn plain_record(&self, name: &str) -> Vec<Numbered<PlainRecord>> {
        self.record_lines(name)
    }

    fn record_lines<T: serde::de::DeserializeOwned>(
        &self,
        name: &str,
    ) -> Vec<T> {
        let response = self.standin(name).call("GET", "/record", "");
        let lines = response.text.lines();
        lines.filter_map(|line| serde_json::from_str(line).ok()).collect()
    }
}
