//! The servers and settings of a fleet.

use std::collections::BTreeMap;

/// Backend servers that serve the same layers.
#[derive(Clone, Debug)]
pub struct StagePlan {
    /// First layer served.
    pub first_layer: u32,
    /// Layer after the last one served.
    pub end_layer: u32,
    /// Number of backend servers.
    pub count: usize,
}

/// The servers and settings of a fleet, set by chained methods.
#[derive(Clone, Debug)]
pub struct Plan {
    pub(crate) entries: usize,
    pub(crate) layer_count: u32,
    pub(crate) stages: Vec<StagePlan>,
    pub(crate) plain_servers: usize,
    pub(crate) max_running: u32,
    pub(crate) has_relays: bool,
    pub(crate) engine_arguments: Vec<String>,
    pub(crate) settings: BTreeMap<String, BTreeMap<String, String>>,
    pub(crate) log_level: String,
}

impl Default for Plan {
    fn default() -> Plan {
        Plan {
            entries: 2,
            layer_count: 24,
            stages: vec![
                StagePlan { first_layer: 0, end_layer: 12, count: 2 },
                StagePlan { first_layer: 12, end_layer: 24, count: 2 },
            ],
            plain_servers: 1,
            max_running: 32,
            has_relays: false,
            engine_arguments: Vec::new(),
            settings: BTreeMap::new(),
            log_level: "info".to_owned(),
        }
    }
}

impl Plan {
    /// Creates a plan with two entries, two stages of two engines each, and
    /// one plain server.
    pub fn new() -> Plan {
        Plan::default()
    }

    /// Sets the number of entries.
    pub fn entries(mut self, count: usize) -> Plan {
        self.entries = count;
        self
    }

    /// Sets the stages by the bounds of their layer ranges, with `count`
    /// backend servers each. The last bound is the layer count of the model.
    pub fn stages(mut self, bounds: &[u32], count: usize) -> Plan {
        self.layer_count = bounds.last().copied().unwrap_or(0);
        self.stages = bounds
            .windows(2)
            .map(|b| StagePlan { first_layer: b[0], end_layer: b[1], count })
            .collect();
        self
    }

    /// Sets the number of servers of the plain service.
    pub fn plain_servers(mut self, count: usize) -> Plan {
        self.plain_servers = count;
        self
    }

    /// Sets the maximum number of requests that a backend server runs at once.
    pub fn max_running(mut self, count: u32) -> Plan {
        self.max_running = count;
        self
    }

    /// Puts a [`Relay`](crate::Relay) in front of every side process.
    pub fn relays(mut self) -> Plan {
        self.has_relays = true;
        self
    }

    /// Adds an argument for every engine, such as `--step-us=500`.
    pub fn engine_argument(mut self, argument: &str) -> Plan {
        self.engine_arguments.push(argument.to_owned());
        self
    }

    /// Adds a setting for every daemon that has the section.
    pub fn setting(mut self, section: &str, key: &str, value: &str) -> Plan {
        let keys = self.settings.entry(section.to_owned()).or_default();
        keys.insert(key.to_owned(), value.to_owned());
        self
    }

    /// Sets the minimum level of events that are logged.
    pub fn log_level(mut self, level: &str) -> Plan {
        self.log_level = level.to_owned();
        self
    }

    /// Names of the engines, in the order of the stages.
    pub fn engine_names(&self) -> Vec<String> {
        let numbers = 0..self.stages.len();
        numbers.flat_map(|stage| self.stage_names(stage)).collect()
    }

    /// Names of the engines of one stage, at most 26.
    pub fn stage_names(&self, stage: usize) -> Vec<String> {
        let letters = 'a'..='z';
        letters
            .take(self.stages[stage].count)
            .map(|letter| format!("desk-{stage}{letter}"))
            .collect()
    }

    /// Names of the plain servers.
    pub fn plain_names(&self) -> Vec<String> {
        (0..self.plain_servers).map(|n| format!("ledger-{n}")).collect()
    }
}
