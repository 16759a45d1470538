//! Members that come, go and are asked one by one.

use std::{
    net::SocketAddr,
    sync::Arc,
    thread,
    time::{Duration, Instant},
};

use anyhow::{Context as _, ensure};
use chestnutreach_platform::{ManifestStore, ObjectClient, TableClient};
use serde_json::Value;

use super::{Fleet, LOOK, Platform, READY_LIMIT, STOP_LIMIT, status};
use crate::client::Caller;

impl Fleet {
    /// Starts one more engine of a stage with its side process; its name.
    /// The manifest that is applied next has it.
    ///
    /// # Errors
    ///
    /// A program cannot be started.
    pub fn add_engine(&mut self, stage: usize) -> anyhow::Result<String> {
        self.plan.stages[stage].count += 1;
        let name = self.plan.stage_names(stage).pop();
        let name = name.context("a stage has at most 26 engines")?;
        self.start_engine(&name)?;
        self.start_side(&name)?;
        Ok(name)
    }

    /// Stops a daemon as an operator would; its exit code.
    ///
    /// # Errors
    ///
    /// It does not stop in time.
    pub fn stop(&mut self, name: &str) -> anyhow::Result<Option<i32>> {
        let process = self.process(name);
        process.terminate();
        Ok(process.wait(STOP_LIMIT)?.code())
    }

    /// Starts a daemon that has ended again, with an empty memory and the
    /// addresses it had.
    ///
    /// # Errors
    ///
    /// The program cannot be started.
    pub fn restart(&mut self, name: &str) -> anyhow::Result<()> {
        self.process(name).restart()
    }

    /// Adds a line to the `[node]` section of a daemon's settings, which
    /// hold from its next start.
    ///
    /// # Errors
    ///
    /// The settings cannot be read or written.
    pub fn add_node_setting(
        &self,
        name: &str,
        key: &str,
        value: &str,
    ) -> anyhow::Result<()> {
        self.replace_setting(
            name,
            "[node]\n",
            &format!("[node]\n{key} = {value}\n"),
        )
    }

    /// Replaces a text in a daemon's settings, which hold from its next
    /// start.
    ///
    /// # Errors
    ///
    /// The settings cannot be read or written, or lack the text.
    pub fn replace_setting(
        &self,
        name: &str,
        from: &str,
        to: &str,
    ) -> anyhow::Result<()> {
        let path = self.dir.path().join(format!("{name}.ini"));
        let text = std::fs::read_to_string(&path)?;
        ensure!(text.contains(from), "{name} has no {from:?} in {text}");
        std::fs::write(path, text.replacen(from, to, 1))?;
        Ok(())
    }

    /// The manifest store of the fleet's platform.
    pub fn manifest_store(&self, timeout: Duration) -> ManifestStore {
        let Platform { table, objects, .. } = self.platform;
        ManifestStore::new(
            Arc::new(TableClient::new(table, timeout)),
            Arc::new(ObjectClient::new(objects, timeout)),
        )
    }

    /// State of any daemon by its name; null if it does not show it.
    pub fn status(&self, name: &str) -> Value {
        match self.ops_addresses().get(name) {
            Some(address) => status(*address),
            None => Value::Null,
        }
    }

    /// Whether a daemon says that it should get work.
    pub fn is_ready(&self, name: &str) -> bool {
        let address: Option<SocketAddr> =
            self.ops_addresses().get(name).copied();
        address.is_some_and(|address| {
            Caller::new(address, "").call("GET", "/ready", "").status == 200
        })
    }

    /// Names of all daemons, entries first.
    pub fn daemon_names(&self) -> Vec<String> {
        let names = self.ops_addresses().into_keys();
        names.collect()
    }

    /// Waits until a process has logged an event.
    ///
    /// # Errors
    ///
    /// It has not in time.
    pub fn wait_for_event(
        &mut self,
        name: &str,
        event: &str,
    ) -> anyhow::Result<()> {
        let started = Instant::now();
        while self.events(name, event).is_empty() {
            ensure!(
                started.elapsed() < READY_LIMIT,
                "{name} has not logged {event}"
            );
            thread::sleep(LOOK);
        }
        Ok(())
    }

    /// Lines of a process's log that tell of an event.
    pub fn events(&mut self, name: &str, event: &str) -> Vec<String> {
        let log = self.process(name).log_text();
        let lines = log.lines().filter(|line| {
            let fields: Value =
                serde_json::from_str(line).unwrap_or(Value::Null);
            has_name(&fields, event)
        });
        lines.map(str::to_owned).collect()
    }
}

fn has_name(fields: &Value, event: &str) -> bool {
    match fields {
        Value::Object(map) => {
            map.get("name").is_some_and(|name| name == event)
                || map.values().any(|value| has_name(value, event))
        }
        _ => false,
    }
}
