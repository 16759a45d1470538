//! Starting, stopping and observing a fleet.

use std::{
    collections::{BTreeMap, BTreeSet},
    fmt::Write as _,
    net::SocketAddr,
    path::{Path, PathBuf},
    thread,
    time::{Duration, Instant},
};

use anyhow::{Context as _, bail};
use chestnutreach_config::Manifest;
use serde_json::Value;
use tempfile::TempDir;

use crate::{
    client::Caller, plan::Plan, ports::free_address, process::Process,
    relay::Relay,
};

mod config_text;
mod daemons;
mod standins;

/// Timeout of every wait for a state of the fleet.
const READY_TIMEOUT: Duration = Duration::from_secs(30);
/// Timeout of a graceful stop of a process.
const STOP_TIMEOUT: Duration = Duration::from_secs(30);
/// Interval at which a wait polls the fleet.
const POLL_INTERVAL: Duration = Duration::from_millis(10);
/// Data centres of the fleet; backend servers are assigned to them in turn.
const DATA_CENTRES: [&str; 3] = ["hall-medina", "hall-leona", "hall-ndorong"];

/// Client accounts of the fleet: name, key and weight.
pub const ACCOUNTS: [(&str, &str, u32); 3] = [
    ("caisse-medina", "demo-key-caisse-medina", 30),
    ("caisse-leona", "demo-key-caisse-leona", 10),
    ("terrain-ndorong", "demo-key-terrain-ndorong", 10),
];

/// Addresses of a daemon.
#[derive(Clone, Copy, Debug)]
struct Daemon {
    inner: SocketAddr,
    ops: SocketAddr,
    control: SocketAddr,
}

impl Daemon {
    fn new() -> Daemon {
        Daemon {
            inner: free_address(),
            ops: free_address(),
            control: free_address(),
        }
    }
}

/// Addresses of the platform stand-ins.
#[derive(Clone, Copy, Debug)]
struct Platform {
    table: SocketAddr,
    objects: SocketAddr,
    vm_list: SocketAddr,
}

/// A running fleet; dropping it kills its processes.
pub struct Fleet {
    plan: Plan,
    program_dir: PathBuf,
    dir: TempDir,
    processes: BTreeMap<String, Process>,
    platform: Platform,
    entries: Vec<(Daemon, SocketAddr)>,
    sides: BTreeMap<String, Daemon>,
    relays: BTreeMap<String, Relay>,
    servers: BTreeMap<String, SocketAddr>,
}

impl Fleet {
    /// Starts a fleet and waits until each entry can route to all backend
    /// servers.
    ///
    /// # Errors
    ///
    /// Returns an error if a program is missing or the fleet isn't ready
    /// within the timeout.
    pub fn start(plan: Plan) -> anyhow::Result<Fleet> {
        let mut fleet = Fleet::start_platform(plan)?;
        for name in fleet.plan.engine_names() {
            fleet.start_engine(&name)?;
            fleet.start_side(&name)?;
        }
        for name in fleet.plan.plain_names() {
            fleet.start_plain(&name)?;
            fleet.start_side(&name)?;
        }
        for number in 0..fleet.plan.entries {
            fleet.start_entry(number)?;
        }
        fleet.wait_for_platform()?;
        fleet.apply(0)?;
        fleet.wait_until_ready()?;
        Ok(fleet)
    }

    fn start_platform(plan: Plan) -> anyhow::Result<Fleet> {
        let mut fleet = Fleet {
            plan,
            program_dir: program_directory()?,
            dir: tempfile::tempdir()?,
            processes: BTreeMap::new(),
            platform: Platform {
                table: free_address(),
                objects: free_address(),
                vm_list: free_address(),
            },
            entries: Vec::new(),
            sides: BTreeMap::new(),
            relays: BTreeMap::new(),
            servers: BTreeMap::new(),
        };
        let Platform { table, objects, vm_list } = fleet.platform;
        for (name, address) in
            [("table", table), ("objects", objects), ("vm-list", vm_list)]
        {
            fleet.servers.insert(name.to_owned(), address);
            fleet.start_standin(name, name, address, &[])?;
        }
        Ok(fleet)
    }

    fn start_standin(
        &mut self,
        name: &str,
        kind: &str,
        address: SocketAddr,
        extra_arguments: &[String],
    ) -> anyhow::Result<()> {
        let mut arguments =
            vec![kind.to_owned(), "--listen".to_owned(), address.to_string()];
        arguments.extend_from_slice(extra_arguments);
        self.start_process(name, "chestnutreach-standin", &arguments)
    }

    fn start_process(
        &mut self,
        name: &str,
        program: &str,
        arguments: &[String],
    ) -> anyhow::Result<()> {
        let program = self.program_dir.join(program);
        let log = self.dir.path().join(format!("{name}.log"));
        let process = Process::start(name, &program, arguments, &log)?;
        self.processes.insert(name.to_owned(), process);
        Ok(())
    }

    fn start_engine(&mut self, name: &str) -> anyhow::Result<()> {
        let address = free_address();
        self.servers.insert(name.to_owned(), address);
        let (first, end) = self.layers(name);
        let mut arguments = vec![
            format!("--first-layer={first}"),
            format!("--end-layer={end}"),
            format!("--layer-count={}", self.plan.layer_count),
        ];
        arguments.extend(self.plan.engine_arguments.iter().cloned());
        self.start_standin(name, "engine", address, &arguments)
    }

    fn layers(&self, name: &str) -> (u32, u32) {
        let stages = 0..self.plan.stages.len();
        stages
            .filter(|at| self.plan.stage_names(*at).iter().any(|n| n == name))
            .map(|at| &self.plan.stages[at])
            .map(|stage| (stage.first_layer, stage.end_layer))
            .next()
            .unwrap_or((0, 0))
    }

    fn start_plain(&mut self, name: &str) -> anyhow::Result<()> {
        let address = free_address();
        self.servers.insert(name.to_owned(), address);
        self.start_standin(name, "plain", address, &[])
    }

    fn start_side(&mut self, server: &str) -> anyhow::Result<()> {
        let daemon = Daemon::new();
        self.sides.insert(server.to_owned(), daemon);
        if self.plan.has_relays {
            let relay = Relay::start(daemon.inner);
            self.relays.insert(server.to_owned(), relay);
        }
        let name = side_name(server);
        let address = self.servers[server];
        let mut sections = self.section("side");
        let _ = write!(
            sections,
            "\n[backend-server {server}]\naddress = {address}\n"
        );
        let text = self.settings("side", &name, daemon, &sections);
        self.start_daemon(&name, &text)
    }

    fn start_entry(&mut self, number: usize) -> anyhow::Result<()> {
        let daemon = Daemon::new();
        let http = free_address();
        self.entries.push((daemon, http));
        let name = entry_name(number);
        let sections =
            format!("{}http-address = {http}\n", self.section("entry"));
        let text = self.settings("entry", &name, daemon, &sections);
        self.start_daemon(&name, &text)
    }

    fn start_daemon(&mut self, name: &str, text: &str) -> anyhow::Result<()> {
        let path = self.dir.path().join(format!("{name}.ini"));
        std::fs::write(&path, text)?;
        let arguments = ["--settings".to_owned(), path.display().to_string()];
        self.start_process(name, "chestnutreachd", &arguments)
    }

    /// Address at which other processes reach the side process of a backend
    /// server: that of the relay, if there is one.
    fn side_address(&self, server: &str) -> SocketAddr {
        match self.relays.get(server) {
            Some(relay) => relay.address(),
            None => self.sides[server].inner,
        }
    }

    /// The relay in front of the side process of a backend server.
    ///
    /// # Panics
    ///
    /// Panics if the plan has no relays or the fleet has no such backend
    /// server.
    pub fn relay(&self, server: &str) -> &Relay {
        &self.relays[server]
    }

    /// Submits the fleet's manifest as the successor of a generation. Returns
    /// the new generation.
    ///
    /// # Errors
    ///
    /// Returns an error if the manifest has findings or the store doesn't
    /// accept the manifest.
    pub fn apply(&self, base_generation: u64) -> anyhow::Result<u64> {
        self.apply_text(base_generation, &self.manifest_text())
    }

    /// Submits a manifest as the successor of a generation. Returns the new
    /// generation.
    ///
    /// # Errors
    ///
    /// Returns an error under the same conditions as [`Fleet::apply`].
    pub fn apply_text(
        &self,
        base_generation: u64,
        text: &str,
    ) -> anyhow::Result<u64> {
        let manifest = Manifest::try_parse("manifest", text)
            .with_context(|| format!("the manifest:\n{text}"))?;
        let store = self.manifest_store(Duration::from_secs(2));
        let submission = format!("{:032x}", fastrand::u128(..));
        let accepted = async_io::block_on(store.submit(
            base_generation,
            &manifest.to_sections(),
            &submission,
        ))?;
        Ok(accepted.generation)
    }

    /// Waits until the platform stand-ins respond. On a busy machine they may
    /// start later than the daemons that need them.
    fn wait_for_platform(&mut self) -> anyhow::Result<()> {
        for name in ["table", "objects", "vm-list"] {
            self.wait_for(&format!("the stand-in {name}"), |fleet| {
                let answer = fleet.standin(name).call("GET", "/stats", "");
                answer.status == 200
            })?;
        }
        Ok(())
    }

    fn wait_until_ready(&mut self) -> anyhow::Result<()> {
        let server_count = self.sides.len();
        for number in 0..self.entries.len() {
            self.wait_for(&format!("entry {number} to reach all"), |f| {
                f.routable_servers(number)
                    .is_some_and(|servers| servers.len() == server_count)
            })?;
        }
        let sides: Vec<String> = self.sides.keys().cloned().collect();
        for side in sides {
            self.wait_for(&format!("the side of {side}"), |fleet| {
                fleet.side_status(&side)["generation"].as_u64() >= Some(1)
            })?;
        }
        Ok(())
    }

    /// Waits until a condition on the fleet is true. `what` describes the
    /// condition in the error.
    ///
    /// # Errors
    ///
    /// Returns an error if the condition isn't true within the timeout.
    pub fn wait_for(
        &mut self,
        what: &str,
        is_true: impl Fn(&Fleet) -> bool,
    ) -> anyhow::Result<()> {
        let started = Instant::now();
        while !is_true(self) {
            if started.elapsed() > READY_TIMEOUT {
                bail!(
                    "timed out waiting for {what}; {}",
                    self.process_states()
                );
            }
            thread::sleep(POLL_INTERVAL);
        }
        Ok(())
    }

    /// Whether each process is running, and the last lines of its log.
    pub fn process_states(&mut self) -> String {
        let mut text = String::new();
        for (name, process) in &mut self.processes {
            let state =
                if process.is_running() { "is running" } else { "has exited" };
            let _ = writeln!(text, "{name} {state}");
            let log = process.log_text();
            let lines: Vec<&str> = log.lines().collect();
            for line in &lines[lines.len().saturating_sub(5)..] {
                let _ = writeln!(text, "    {line}");
            }
        }
        text
    }

    /// Backend servers that an entry may route to; none if its status is
    /// unavailable.
    pub fn routable_servers(&self, entry: usize) -> Option<BTreeSet<String>> {
        let status = self.entry_status(entry);
        let services = status["services"].as_object()?;
        let servers = services.values().filter_map(Value::as_object);
        let is_routable = |(_, state): &(&String, &Value)| {
            let presence = &state["presence"];
            presence != "absent" && presence != "leaving"
        };
        let routable = servers.flatten().filter(is_routable);
        Some(routable.map(|(name, _)| name.clone()).collect())
    }

    /// Status of an entry as shown to operators; null if it's unavailable.
    pub fn entry_status(&self, entry: usize) -> Value {
        status(self.entries[entry].0.ops)
    }

    /// Status of the side process of a backend server; null if it's
    /// unavailable.
    pub fn side_status(&self, server: &str) -> Value {
        status(self.sides[server].ops)
    }

    /// Address at which callers reach an entry.
    pub fn entry_address(&self, entry: usize) -> SocketAddr {
        self.entries[entry].1
    }

    /// Control addresses of the daemons by name.
    pub fn control_addresses(&self) -> BTreeMap<String, SocketAddr> {
        let entries = self.entries.iter().enumerate();
        let entries = entries.map(|(n, (d, _))| (entry_name(n), d.control));
        let sides = self.sides.iter();
        let sides = sides.map(|(n, d)| (side_name(n), d.control));
        entries.chain(sides).collect()
    }

    /// Addresses of the status and metrics pages of the daemons by name.
    pub fn ops_addresses(&self) -> BTreeMap<String, SocketAddr> {
        let entries = self.entries.iter().enumerate();
        let entries = entries.map(|(n, (d, _))| (entry_name(n), d.ops));
        let sides = self.sides.iter().map(|(n, d)| (side_name(n), d.ops));
        entries.chain(sides).collect()
    }

    /// Returns a caller of an entry with the key of the first account.
    pub fn caller(&self, entry: usize) -> Caller {
        Caller::new(self.entry_address(entry), ACCOUNTS[0].1)
    }

    /// A process by its name, such as `table`, `entry-0`, `side-desk-0a` or
    /// `desk-0a`.
    ///
    /// # Panics
    ///
    /// Panics if the fleet has no such process.
    pub fn process(&mut self, name: &str) -> &mut Process {
        self.processes
            .get_mut(name)
            .unwrap_or_else(|| panic!("the fleet has no process {name:?}"))
    }

    /// Process IDs of the running processes by name.
    pub fn process_ids(&self) -> BTreeMap<String, u32> {
        let processes = self.processes.iter();
        processes
            .filter_map(|(name, p)| Some((name.clone(), p.id()?)))
            .collect()
    }

    /// Stops the daemons gracefully, entries first. Returns their exit codes
    /// by name.
    ///
    /// # Errors
    ///
    /// Returns an error if a daemon doesn't stop within the timeout.
    pub fn stop_daemons(
        &mut self,
    ) -> anyhow::Result<BTreeMap<String, Option<i32>>> {
        let mut codes = BTreeMap::new();
        for prefix in ["entry-", "side-"] {
            let mut group: Vec<&mut Process> = self
                .processes
                .iter_mut()
                .filter(|(name, _)| name.starts_with(prefix))
                .map(|(_, process)| process)
                .collect();
            for process in &mut group {
                process.terminate();
            }
            for process in group {
                if process.has_started() {
                    let status = process.wait(STOP_TIMEOUT)?;
                    codes.insert(process.name().to_owned(), status.code());
                }
            }
        }
        Ok(codes)
    }

    /// Directory of the fleet's settings and logs.
    pub fn directory(&self) -> &Path {
        self.dir.path()
    }
}

/// Name of the side process of a backend server, and of its VM.
pub fn side_name(server: &str) -> String {
    format!("side-{server}")
}

/// Name of an entry, and of its VM.
pub fn entry_name(number: usize) -> String {
    format!("entry-{number}")
}

fn status(ops: SocketAddr) -> Value {
    Caller::new(ops, "").call("GET", "/status", "").json()
}

/// Directory of the built programs: that of the current executable, or the
/// parent directory for a test.
fn program_directory() -> anyhow::Result<PathBuf> {
    let executable = std::env::current_exe()?;
    let dirs = executable.ancestors().skip(1).take(2);
    for dir in dirs {
        if dir.join("chestnutreachd").exists() {
            return Ok(dir.to_owned());
        }
    }
    bail!("chestnutreachd is not built; run cargo build --workspace")
}
