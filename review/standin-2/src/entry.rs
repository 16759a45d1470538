//! Entries: processes of the project, started by the deploy file's command.

use std::{
    fs,
    io::{self, Write},
    net::{SocketAddr, TcpListener, TcpStream},
    path::{Path, PathBuf},
    process::{Child, Command, Stdio},
    time::Duration,
};

use crate::{
    http::Conn,
    json::{self, Json},
    record::Record,
    store::Gate,
};

/// Where an entry runs, and its addresses.
pub struct EntryPlace {
    pub clients: SocketAddr,
    ready: SocketAddr,
    /// Where operators see its state.
    inner: SocketAddr,
    settings: PathBuf,
    log: PathBuf,
}

impl EntryPlace {
    /// Draws free ports and writes the settings file.
    pub fn new(
        (name, ip, zone): (&str, &str, &str),
        gate: &Gate,
        zones: &[&str],
        memory_mb: u64,
        folder: &Path,
    ) -> io::Result<EntryPlace> {
        let free = || TcpListener::bind((ip, 0)).and_then(|l| l.local_addr());
        let (clients, ready, control) = (free()?, free()?, free()?);
        let inner = inner_ports(ip)?;
        let list: Vec<String> =
            zones.iter().map(|zone| format!("{zone} = \"kaolack\"")).collect();
        let text = format!(
            "node-name = \"{name}\"\nrole = \"entry\"\n\
             machine-class = \"front\"\nserves = [\"front\"]\n\
             ip = \"{ip}\"\nzone = \"{zone}\"\nregion = \"kaolack\"\n\
             internal-ports = [{inner},{}]\nseeds = []\nbootstrap = true\n\
             fault-counted = false\ndiscovery = \"platform\"\n\
             entry = \"vip\"\nheartbeat-ms = 1200\n\
             contracts = [\"base\",\"drain\",\"config\",\"cost\",\"retry\",\
             \"recover\",\"engine\",\"stream\",\"tenants\",\"platform\",\
             \"layers\"]\n[zones]\n{}\n[listen]\nfront = \"{clients}\"\n\
             ready = \"{ready}\"\ncontrol = \"{control}\"\n[limits]\n\
             cpu-share = 0.19\ncores = 1\nmemory-mb = {memory_mb}\n\
             max-fds = 4100\nlink-mbps = 1000.0\ndisk-mb = 0\n\
             [fault-tolerance]\nmachines = 2\nzones = 0\nregions = 0\n\
             [bounds]\nseed-lag-s = 3\naddr-reuse-s = 2\ncontact-ms = 3000\n\
             ack-ms = 4000\ncatch-up-s = 4\ndrain-ms = 2000\ngrace-s = 8\n\
             loss-slack-ms = 200\nconfig-apply-ms = 2000\n\
             rollback-slack-ms = 250\nstretch-max-ms = 5000\n\
             strict-revoke = true\nrevoke-ms = 5000\n\
             retry-budget-ratio = 0.2\nbudget-window-s = 10\n\
             budget-slack = 202\nrecover-s = 12\npass-ms = 120\n\
             retry-after-s = 0\nstall_ms = 3000\nfencing-enforced = false\n\
             [platform]\naddress = \"{}\"\nform = \"table\"\n\
             writes-per-s = 400\nreads-per-s = 2000\ntx-ms = 5.0\n\
             partition-writes-s = 200\nrow-bytes = 65536\nacross = false\n\
             history-s = 20\nblob-bytes = 8388608\nblob-ms = 25.0\n\
             blob-mb-s = 80.0\n",
            inner + 15,
            list.join("\n"),
            gate.address
        );
        let settings = folder.join(format!("{name}.toml"));
        fs::write(&settings, text)?;
        let log = folder.join(format!("{name}.log"));
        let inner = SocketAddr::new(clients.ip(), inner);
        Ok(EntryPlace { clients, ready, inner, settings, log })
    }

    /// Starts the process.
    pub fn start(&self, record: &Record) -> io::Result<Child> {
        let log = fs::OpenOptions::new()
            .create(true)
            .append(true)
            .open(&self.log)?;
        let port = TcpListener::bind((self.clients.ip(), 0))?;
        let port = port.local_addr()?.port();
        let child = Command::new("target/release/chestnutreachd")
            .args(["--users-platform", "--metrics-port", &port.to_string()])
            .env("CHESTNUTREACH_NODE_FILE", &self.settings)
            .stdin(Stdio::null())
            .stdout(log.try_clone()?)
            .stderr(log)
            .spawn()?;
        record.guard.started(child.id());
        record.say(&format!("starts process {}", child.id()));
        Ok(child)
    }

    /// Whether the entry says that it is ready.
    pub fn is_ready(&self) -> bool {
        get(self.ready, "/v1/ready").is_some()
    }

    /// What the entry tells operators of its state.
    pub fn status(&self) -> Option<Json> {
        json::parse(&get(self.inner, "/status")?)
    }
}

/// The body of a response with status 200.
fn get(to: SocketAddr, path: &str) -> Option<Vec<u8>> {
    let limit = Duration::from_millis(300);
    let stream = TcpStream::connect_timeout(&to, limit).ok()?;
    stream.set_read_timeout(Some(limit)).ok()?;
    let mut conn = Conn::new(stream);
    let call = format!("GET {path} HTTP/1.1\r\nhost: entry\r\n\r\n");
    conn.stream.write_all(call.as_bytes()).ok()?;
    let head = conn.head().ok()??;
    (head.status() == 200).then(|| conn.body(&head).ok())?
}

/// The first of 16 free ports in a row.
fn inner_ports(ip: &str) -> io::Result<u16> {
    for _ in 0..50 {
        let first = TcpListener::bind((ip, 0))?.local_addr()?.port();
        let is_free = |port| TcpListener::bind((ip, port)).is_ok();
        let last = first.checked_add(15);
        if last.is_some_and(|last| (first..=last).all(is_free)) {
            return Ok(first);
        }
    }
    Err(io::Error::other("no free ports in a row"))
}

/// Resident memory of a process in kilobytes, now.
pub fn resident_kb(id: u32) -> Option<u64> {
    let text = fs::read_to_string(format!("/proc/{id}/status")).ok()?;
    let line = text.lines().find(|line| line.starts_with("VmRSS:"))?;
    line.split_whitespace().nth(1)?.parse().ok()
}
