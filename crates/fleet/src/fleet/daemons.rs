//! Adding, stopping, restarting and observing single daemons.

use std::{
    net::SocketAddr,
    sync::Arc,
    thread,
    time::{Duration, Instant},
};

use anyhow::{Context as _, ensure};
use chestnutreach_platform::{ManifestStore, ObjectClient, TableClient};
use serde_json::Value;

use super::{
    Fleet, POLL_INTERVAL, Platform, READY_TIMEOUT, STOP_TIMEOUT, status,
};
use crate::client::Caller;

impl Fleet {
    /// Starts an additional engine of a stage with its side process, and
    /// returns its name. The engine is part of the manifest that is applied
    /// next.
    ///
    /// # Errors
    ///
    /// Returns an error if a program can't be started.
    pub fn add_engine(&mut self, stage: usize) -> anyhow::Result<String> {
        self.plan.stages[stage].count += 1;
        let name = self.plan.stage_names(stage).pop();
        let name = name.context("a stage has at most 26 engines")?;
        self.start_engine(&name)?;
        self.start_side(&name)?;
        Ok(name)
    }

    /// Stops a daemon gracefully and returns its exit code.
    ///
    /// # Errors
    ///
    /// Returns an error if the daemon doesn't stop within the timeout.
    pub fn stop(&mut self, name: &str) -> anyhow::Result<Option<i32>> {
        let process = self.process(name);
        process.terminate();
        Ok(process.wait(STOP_TIMEOUT)?.code())
    }

    /// Restarts a daemon that has exited, with empty memory and the same
    /// addresses.
    ///
    /// # Errors
    ///
    /// Returns an error if the program can't be started.
    pub fn restart(&mut self, name: &str) -> anyhow::Result<()> {
        self.process(name).restart()
    }

    /// Adds a line to the `[node]` section of a daemon's settings. The change
    /// takes effect at its next start.
    ///
    /// # Errors
    ///
    /// Returns an error if the settings can't be read or written, or have no
    /// `[node]` section.
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

    /// Replaces a text in a daemon's settings. The change takes effect at its
    /// next start.
    ///
    /// # Errors
    ///
    /// Returns an error if the settings can't be read or written, or don't
    /// contain the text.
    pub fn replace_setting(
        &self,
        name: &str,
        from: &str,
        to: &str,
    ) -> anyhow::Result<()> {
        let path = self.dir.path().join(format!("{name}.ini"));
        let text = std::fs::read_to_string(&path)?;
        ensure!(
            text.contains(from),
            "the settings of {name} don't contain {from:?}: {text}"
        );
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

    /// Status of a daemon by its name; null if it's unavailable.
    pub fn status(&self, name: &str) -> Value {
        match self.ops_addresses().get(name) {
            Some(address) => status(*address),
            None => Value::Null,
        }
    }

    /// Whether a daemon reports that it is ready for requests.
    pub fn is_ready(&self, name: &str) -> bool {
        let address: Option<SocketAddr> =
            self.ops_addresses().get(name).copied();
        address.is_some_and(|address| {
            Caller::new(address, "").call("GET", "/ready", "").status == 200
        })
    }

    /// Names of all daemons; `entry-` names sort before `side-` names.
    pub fn daemon_names(&self) -> Vec<String> {
        let names = self.ops_addresses().into_keys();
        names.collect()
    }

    /// Waits until a process has logged an event.
    ///
    /// # Errors
    ///
    /// Returns an error if the event isn't logged within the timeout.
    pub fn wait_for_event(
        &mut self,
        name: &str,
        event: &str,
    ) -> anyhow::Result<()> {
        let started = Instant::now();
        while self.events(name, event).is_empty() {
            ensure!(
                started.elapsed() < READY_TIMEOUT,
                "timed out waiting for {name} to log {event}"
            );
            thread::sleep(POLL_INTERVAL);
        }
        Ok(())
    }

    /// Log lines of a process that contain an event.
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
