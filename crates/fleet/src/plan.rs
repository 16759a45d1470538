//! What a fleet consists of.

use std::collections::BTreeMap;

/// Backend servers that hold the same layers.
#[derive(Clone, Debug)]
pub struct StagePlan {
    /// First layer held.
    pub first_layer: u32,
    /// Layer after the last held.
    pub end_layer: u32,
    /// How many hold them.
    pub count: usize,
}

/// What a fleet consists of, set by chained methods.
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
    /// Two entries, two chains of two stages, one plain server.
    pub fn new() -> Plan {
        Plan::default()
    }

    /// Count of entries.
    pub fn entries(mut self, count: usize) -> Plan {
        self.entries = count;
        self
    }

    /// Layer ranges by their bounds, with `count` backend servers each.
    pub fn stages(mut self, bounds: &[u32], count: usize) -> Plan {
        self.layer_count = bounds.last().copied().unwrap_or(0);
        self.stages = bounds
            .windows(2)
            .map(|b| StagePlan { first_layer: b[0], end_layer: b[1], count })
            .collect();
        self
    }

    /// Count of servers of the plain service.
    pub fn plain_servers(mut self, count: usize) -> Plan {
        self.plain_servers = count;
        self
    }

    /// Requests that each backend server runs at once.
    pub fn max_running(mut self, count: u32) -> Plan {
        self.max_running = count;
        self
    }

    /// Has every side process reached over a [`Relay`](crate::Relay).
    pub fn relays(mut self) -> Plan {
        self.has_relays = true;
        self
    }

    /// An argument of every engine, `--step-us=500` for instance.
    pub fn engine_argument(mut self, argument: &str) -> Plan {
        self.engine_arguments.push(argument.to_owned());
        self
    }

    /// A setting of every daemon that has the section.
    pub fn setting(mut self, section: &str, key: &str, value: &str) -> Plan {
        let keys = self.settings.entry(section.to_owned()).or_default();
        keys.insert(key.to_owned(), value.to_owned());
        self
    }

    /// Least important events that are logged.
    pub fn log_level(mut self, level: &str) -> Plan {
        self.log_level = level.to_owned();
        self
    }

    /// Names of backend servers of the model, in order of stages.
    pub fn engine_names(&self) -> Vec<String> {
        let numbers = 0..self.stages.len();
        numbers.flat_map(|stage| self.stage_names(stage)).collect()
    }

    /// Names of the backend servers of one stage.
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
