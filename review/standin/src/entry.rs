//! An entry: the project's daemon as a process of its own, started as the
//! deploy file says.

use std::fs::{self, File};
use std::io::Write as _;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::{Path, PathBuf};
use std::process::{Child, ChildStdin, Command, Stdio};
use std::sync::Mutex;
use std::thread;
use std::time::{Duration, Instant};

use crate::http::Conn;

pub struct Entry {
    pub name: String,
    pub clients: SocketAddr,
    pub ready: SocketAddr,
    pub child: Child,
    settings: PathBuf,
    log: PathBuf,
}

/// Entries that run, by the ids of their processes.
static RUNNING: Mutex<Vec<u32>> = Mutex::new(Vec::new());

/// Input of the guard, which outlives this program by moments.
static GUARD: Mutex<Option<ChildStdin>> = Mutex::new(None);

/// Starts a process that kills the entries which are left when this program
/// ends in any way, also by a kill.
pub fn start_guard() {
    let program = std::env::current_exe().expect("this program");
    let guard = Command::new(program)
        .arg("guard")
        .stdin(Stdio::piped())
        .stdout(Stdio::null())
        .stderr(Stdio::null())
        .spawn();
    let guard = guard.expect("the guard starts");
    *GUARD.lock().unwrap() = guard.stdin;
}

/// The program of the guard: reads which entries run until its input ends.
pub fn run_guard() {
    let mut running = Vec::new();
    for line in std::io::stdin().lines().map_while(Result::ok) {
        let (sign, pid) = line.split_at(1);
        let Ok(pid) = pid.parse::<u32>() else { continue };
        running.retain(|other| *other != pid);
        if sign == "+" {
            running.push(pid);
        }
    }
    running.into_iter().for_each(kill);
}

fn note_started(pid: u32) {
    RUNNING.lock().unwrap().push(pid);
    tell_guard(&format!("+{pid}"));
}

fn note_ended(pid: u32) {
    RUNNING.lock().unwrap().retain(|other| *other != pid);
    tell_guard(&format!("-{pid}"));
}

fn tell_guard(line: &str) {
    if let Some(guard) = GUARD.lock().unwrap().as_mut() {
        let _ = writeln!(guard, "{line}");
    }
}

/// Ends this program and all entries if a case takes too long.
pub fn end_after(limit: Duration) {
    thread::spawn(move || {
        thread::sleep(limit);
        for pid in RUNNING.lock().unwrap().iter() {
            kill(*pid);
        }
        eprintln!("the case could not run: it took too long");
        std::process::exit(2);
    });
}

/// Kills a process that this program started.
pub fn kill(pid: u32) {
    let pid = pid.to_string();
    let _ = Command::new("kill").args(["-KILL", &pid]).status();
}

fn free_port() -> u16 {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    listener.local_addr().expect("it is bound").port()
}

impl Entry {
    /// Starts `target/release/chestnutreachd --users-platform --metrics-port N`
    /// with settings like those of the deployment `rcca-kaolack`.
    pub fn start(
        name: &str,
        zone: &str,
        store: SocketAddr,
        dir: &Path,
    ) -> Entry {
        let (front, ready, inner) = (free_port(), free_port(), free_port());
        let settings = format!(
            r#"node-name = "{name}"
role = "entry"
machine-class = "front"
serves = ["front"]
ip = "127.0.0.1"
zone = "{zone}"
region = "kaolack"
internal-ports = [{inner},{inner}]
bootstrap = true
discovery = "platform"
entry = "vip"
heartbeat-ms = 1200
[zones]
hall-medina = "kaolack"
hall-leona = "kaolack"
[listen]
front = "127.0.0.1:{front}"
ready = "127.0.0.1:{ready}"
[limits]
cpu-share = 0.19
cores = 1
memory-mb = 260
max-fds = 4100
link-mbps = 1000.0
disk-mb = 0
[bounds]
seed-lag-s = 3
addr-reuse-s = 2
contact-ms = 3000
ack-ms = 4000
catch-up-s = 4
drain-ms = 2000
grace-s = 8
loss-slack-ms = 200
config-apply-ms = 2000
rollback-slack-ms = 250
stretch-max-ms = 5000
strict-revoke = true
revoke-ms = 5000
retry-budget-ratio = 0.2
budget-window-s = 10
budget-slack = 202
recover-s = 12
pass-ms = 120
retry-after-s = 0
stall_ms = 3000
fencing-enforced = false
[platform]
address = "{store}"
form = "table"
writes-per-s = 400
reads-per-s = 2000
tx-ms = 5.0
history-s = 20
"#
        );
        let path = dir.join(format!("{name}.toml"));
        fs::write(&path, settings).expect("the settings can be written");
        let log = dir.join(format!("{name}.log"));
        let at = |port: u16| SocketAddr::from(([127, 0, 0, 1], port));
        Entry {
            name: name.to_owned(),
            clients: at(front),
            ready: at(ready),
            child: spawn(&path, &log),
            settings: path,
            log,
        }
    }

    /// Kills the process, as the loss of its machine or the platform does.
    pub fn kill(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
        note_ended(self.child.id());
    }

    /// Starts the process again after a kill, with the same settings.
    pub fn start_again(&mut self) {
        self.child = spawn(&self.settings, &self.log);
    }

    /// Whether the entry says that it takes clients.
    pub fn is_ready(&self) -> bool {
        let ask = || -> std::io::Result<u16> {
            let timeout = Duration::from_millis(500);
            let socket = TcpStream::connect_timeout(&self.ready, timeout)?;
            socket.set_read_timeout(Some(timeout))?;
            let mut conn = Conn::new(socket);
            conn.send(b"GET /v1/ready HTTP/1.1\r\nhost: entry\r\n\r\n")?;
            Ok(conn.head()?.map_or(0, |head| head.status()))
        };
        ask().is_ok_and(|status| status == 200)
    }

    pub fn wait_until_ready(&self, limit: Duration) -> bool {
        let began = Instant::now();
        while began.elapsed() < limit {
            if self.is_ready() {
                return true;
            }
            thread::sleep(Duration::from_millis(50));
        }
        false
    }
}

impl Drop for Entry {
    fn drop(&mut self) {
        self.kill();
    }
}

/// Starts the program with the arguments of the deploy file.
fn spawn(settings: &Path, log: &Path) -> Child {
    let mut options = File::options();
    let log = options.create(true).append(true).open(log);
    let log = log.expect("the log can be written");
    let child = Command::new("target/release/chestnutreachd")
        .args(["--users-platform", "--metrics-port"])
        .arg(free_port().to_string())
        .env("CHESTNUTREACH_NODE_FILE", settings)
        .stdin(Stdio::null())
        .stderr(log.try_clone().expect("the log is open"))
        .stdout(log)
        .spawn()
        .expect("the daemon is built");
    note_started(child.id());
    child
}
