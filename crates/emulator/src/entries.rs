//! Entry processes that run the real binary.

use std::{
    fs, io,
    net::SocketAddr,
    path::{Path, PathBuf},
    process::{Child, Command, Stdio},
    time::{Duration, Instant},
};

use chestnutreach_fleet::ports::free_address;
use chestnutreach_http::relay::{Outbound, push_header};
use rustix::process::{Pid, Signal, kill_process};

use crate::site::{EntryPorts, Site};

/// Environment variable with the path of the settings file.
const SETTINGS_VARIABLE: &str = "CHESTNUTREACH_NODE_FILE";
/// Timeout of each step of an HTTP request to an entry.
const CALL_TIMEOUT: Duration = Duration::from_millis(500);

/// The entries of an emulated site.
pub struct Entries {
    binary: PathBuf,
    dir: tempfile::TempDir,
    site: Site,
    /// Address of the store for each entry.
    stores: Vec<SocketAddr>,
    entries: Vec<Entry>,
    /// Metrics address passed to all entries; only the first entry can bind
    /// it, as all run on one machine.
    metrics: SocketAddr,
    /// Address and time of each start of a process.
    starts: Vec<(SocketAddr, Instant)>,
    /// Set when the entries are closed; no process is started after that.
    is_closed: bool,
}

struct Entry {
    ports: EntryPorts,
    child: Option<Child>,
}

impl Entries {
    /// Chooses the ports of a site's entries, each with an address of the
    /// store.
    ///
    /// # Errors
    ///
    /// A directory can't be created.
    pub fn try_new(
        binary: &Path,
        site: &Site,
        stores: &[SocketAddr],
    ) -> io::Result<Entries> {
        let mut entries = Entries {
            binary: binary.to_owned(),
            dir: tempfile::tempdir()?,
            site: site.clone(),
            stores: stores.to_vec(),
            entries: Vec::new(),
            metrics: free_address(),
            starts: Vec::new(),
            is_closed: false,
        };
        for index in 0..site.entries {
            let ports = free_ports(index);
            entries.entries.push(Entry { ports, child: None });
        }
        Ok(entries)
    }

    /// Starts all entries.
    ///
    /// # Errors
    ///
    /// As for [`Entries::start_entry`].
    pub fn start_all(&mut self) -> io::Result<()> {
        (0..self.count()).try_for_each(|index| self.start_entry(index))
    }

    /// Number of entries.
    pub fn count(&self) -> usize {
        self.entries.len()
    }

    /// Address at which clients connect to an entry.
    pub fn address(&self, index: usize) -> SocketAddr {
        ([127, 0, 0, 1], self.entries[index].ports.clients).into()
    }

    /// Address of an entry's metrics and status.
    /// Messages between entries have the same one, over UDP.
    pub fn ops_address(&self, index: usize) -> SocketAddr {
        ([127, 0, 0, 1], self.entries[index].ports.inner).into()
    }

    /// Additional address of the metrics of the first entry.
    pub fn metrics_address(&self) -> SocketAddr {
        self.metrics
    }

    /// Starts an entry that is not running.
    ///
    /// # Errors
    ///
    /// A file can't be written, the process can't be started, or the entries
    /// are closed.
    pub fn start_entry(&mut self, index: usize) -> io::Result<()> {
        if self.is_closed {
            return Err(io::Error::other("the entries are closed"));
        }
        let ports = self.entries[index].ports;
        let settings = self.dir.path().join(format!("entry-{index}.toml"));
        fs::write(&settings, self.site.settings(&ports, self.stores[index]))?;
        let log = fs::File::options()
            .create(true)
            .append(true)
            .open(self.log_path(index))?;
        let child = Command::new(&self.binary)
            .arg("--users-platform")
            .arg("--metrics-port")
            .arg(self.metrics.port().to_string())
            .env(SETTINGS_VARIABLE, &settings)
            .stdin(Stdio::null())
            .stderr(log.try_clone()?)
            .stdout(log)
            .spawn()?;
        self.entries[index].child = Some(child);
        self.starts.push((self.address(index), Instant::now()));
        Ok(())
    }

    /// Address and time of each start of a process, in order.
    pub fn starts(&self) -> &[(SocketAddr, Instant)] {
        &self.starts
    }

    /// The log of an entry so far.
    ///
    /// # Errors
    ///
    /// The file can't be read.
    pub fn log(&self, index: usize) -> io::Result<String> {
        fs::read_to_string(self.log_path(index))
    }

    /// Copies the logs of all entries to a directory.
    ///
    /// # Errors
    ///
    /// A file can't be written.
    pub fn copy_logs(&self, dir: &Path) -> io::Result<()> {
        fs::create_dir_all(dir)?;
        for index in 0..self.count() {
            let name = format!("entry-{index}.log");
            fs::copy(self.log_path(index), dir.join(name))?;
        }
        Ok(())
    }

    fn log_path(&self, index: usize) -> PathBuf {
        self.dir.path().join(format!("entry-{index}.log"))
    }

    /// Sends a signal to an entry.
    pub fn signal(&self, index: usize, signal: Signal) {
        let Some(child) = &self.entries[index].child else { return };
        let pid = Pid::from_child(child);
        // The process may have exited already.
        let _ = kill_process(pid, signal);
    }

    /// Kills an entry and waits until its process has exited.
    pub fn kill(&mut self, index: usize) {
        if let Some(mut child) = self.entries[index].child.take() {
            let _ = child.kill();
            let _ = child.wait();
        }
    }

    /// The exit code of an entry; `None` while it is running, if a signal
    /// ended it, or after [`Entries::kill`].
    pub fn exit_code(&mut self, index: usize) -> Option<i32> {
        let child = self.entries[index].child.as_mut()?;
        child.try_wait().ok().flatten().and_then(|status| status.code())
    }

    /// Most memory that an entry's process has held so far, in bytes; `None`
    /// if it is not running.
    pub fn peak_memory_bytes(&self, index: usize) -> Option<u64> {
        let pid = self.entries[index].child.as_ref()?.id();
        let status = fs::read_to_string(format!("/proc/{pid}/status")).ok()?;
        let line = status.lines().find_map(|l| l.strip_prefix("VmHWM:"))?;
        let kib: u64 = line.trim().strip_suffix("kB")?.trim().parse().ok()?;
        Some(kib << 10)
    }

    /// Processor time that an entry's process has used, and its process id;
    /// `None` if it is not running.
    pub fn core_time(&self, index: usize) -> Option<(u32, Duration)> {
        let pid = self.entries[index].child.as_ref()?.id();
        let tasks = fs::read_dir(format!("/proc/{pid}/task")).ok()?;
        let used_ns = |task: io::Result<fs::DirEntry>| -> Option<u64> {
            let path = task.ok()?.path().join("schedstat");
            let text = fs::read_to_string(path).ok()?;
            text.split(' ').next()?.parse().ok()
        };
        let used_ns = tasks.filter_map(used_ns).sum();
        Some((pid, Duration::from_nanos(used_ns)))
    }

    /// Whether an entry was started and not killed by [`Entries::kill`].
    pub fn is_running(&self, index: usize) -> bool {
        self.entries[index].child.is_some()
    }

    /// Address at which the load balancer checks an entry's readiness.
    pub fn ready_address(&self, index: usize) -> SocketAddr {
        ([127, 0, 0, 1], self.entries[index].ports.ready).into()
    }
}

impl Entries {
    /// Whether no process is started any more.
    pub fn is_closed(&self) -> bool {
        self.is_closed
    }

    /// Kills all entries and prevents further starts.
    pub fn close(&mut self) {
        self.is_closed = true;
        for index in 0..self.entries.len() {
            self.kill(index);
        }
    }
}

impl Drop for Entries {
    fn drop(&mut self) {
        self.close();
    }
}

/// Sends a GET request and returns the status and the body.
pub async fn get(address: SocketAddr, target: &str) -> Option<(u16, String)> {
    let mut connection =
        Outbound::connect(address, CALL_TIMEOUT).await.ok()?;
    let mut out = format!("GET {target} HTTP/1.1\r\n").into_bytes();
    push_header(&mut out, "host", &address.to_string());
    out.extend_from_slice(b"\r\n");
    connection.send(&out).await.ok()?;
    let head = connection.read_head().await.ok()?;
    let body = head.body("GET");
    let body = connection.read_body(body, 4 << 20).await.ok()?;
    Some((head.status, String::from_utf8_lossy(&body).into_owned()))
}

/// Ports for an entry that are free at present.
fn free_ports(index: usize) -> EntryPorts {
    let port = || free_address().port();
    EntryPorts { index, clients: port(), ready: port(), inner: port() }
}
