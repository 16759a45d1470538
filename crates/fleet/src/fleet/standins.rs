//! The stand-ins of a fleet: their faults, counts and records.

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

    /// Sets the faults of a stand-in.
    ///
    /// # Panics
    ///
    /// The stand-in does not take them.
    pub fn set_faults(&self, name: &str, faults: &Value) {
        let answer =
            self.standin(name).call("PUT", "/faults", &faults.to_string());
        assert!(
            (200..300).contains(&answer.status),
            "faults of {name}: {answer:?}"
        );
    }

    /// Sets which VMs the platform lists as leaving; all others are live.
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

    /// Calls that a stand-in holds now.
    pub fn held_calls(&self, name: &str) -> u64 {
        let answer = self.standin(name).call("GET", "/held", "");
        answer.json().as_u64().unwrap_or(0)
    }

    /// Calls that a stand-in turned away, and those of them that came while
    /// it had asked for rest.
    pub fn cooldown_stats(&self, name: &str) -> Value {
        self.standin(name).call("GET", "/rests", "").json()
    }

    /// A stand-in's counts.
    pub fn stats(&self, name: &str) -> Value {
        self.standin(name).call("GET", "/stats", "").json()
    }

    pub(super) fn standin(&self, name: &str) -> Caller {
        Caller::new(self.servers[name], "")
    }

    /// What each engine has run. One that does not answer has lost its
    /// record with its memory and is left out.
    pub fn engine_records(&self) -> BTreeMap<String, Vec<NumberedRun>> {
        let names = self.plan.engine_names();
        let records = names.into_iter().map(|name| {
            let runs = self.engine_record(&name);
            (name, runs)
        });
        records.collect()
    }

    /// What one engine has run.
    pub fn engine_record(&self, name: &str) -> Vec<NumberedRun> {
        self.record_lines(name)
    }

    /// What a plain server has run.
    pub fn plain_record(&self, name: &str) -> Vec<Numbered<PlainRecord>> {
        self.record_lines(name)
    }

    fn record_lines<T: serde::de::DeserializeOwned>(
        &self,
        name: &str,
    ) -> Vec<T> {
        let answer = self.standin(name).call("GET", "/record", "");
        let lines = answer.text.lines();
        lines.filter_map(|line| serde_json::from_str(line).ok()).collect()
    }
}
