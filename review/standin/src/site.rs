//! A small deployment: the store, engines and entries.

use std::collections::BTreeMap;
use std::io::{BufRead, BufReader, Write};
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::{Child, ChildStdin, Command, Stdio};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::client::{Answer, Client, Request};
use crate::config::{KEY_ONE, configuration};
use crate::engine::{Engine, Spec};
use crate::entry::Entry;
use crate::record::Record;
use crate::store::Store;

/// Which engine ran a request, and when it arrived there.
#[derive(Clone, Debug)]
pub struct Run {
    pub request: String,
    pub engine: String,
    pub at_ms: u64,
}

/// All runs at the engines, as the engines saw them, and what else they say.
#[derive(Clone, Default)]
pub struct Runs(Arc<Mutex<Vec<Run>>>, Arc<Mutex<Vec<Line>>>);

/// Engine, line and time of a line of an engine's log.
type Line = (String, String, u64);

impl Runs {
    /// Takes a line of an engine's log.
    pub fn note(&self, engine: &str, line: &str, at_ms: u64) {
        let words: Vec<&str> = line.split(' ').collect();
        if let ["request", id, "runs"] = words[..] {
            let (request, engine) = (id.to_owned(), engine.to_owned());
            self.0.lock().unwrap().push(Run { request, engine, at_ms });
        } else if words[0] != "request" {
            let line = (engine.to_owned(), line.to_owned(), at_ms);
            self.1.lock().unwrap().push(line);
        }
    }

    /// When an engine first said this.
    pub fn said_ms(&self, engine: &str, what: &str) -> Option<u64> {
        let lines = self.1.lock().unwrap();
        let mut said = lines.iter().filter(|l| l.0 == engine && l.1 == what);
        said.next().map(|line| line.2)
    }

    pub fn all(&self) -> Vec<Run> {
        self.0.lock().unwrap().clone()
    }

    pub fn last_of(&self, request: &str) -> Option<Run> {
        let runs = self.0.lock().unwrap();
        runs.iter().rev().find(|run| run.request == request).cloned()
    }
}

/// A backend server in a process of its own.
pub struct EngineProcess {
    pub id: String,
    child: Child,
    commands: ChildStdin,
}

impl EngineProcess {
    fn start(
        id: &str,
        service: &str,
        zone: &str,
        store: SocketAddr,
    ) -> EngineProcess {
        let program = std::env::current_exe().expect("this program");
        let mut child = Command::new(program)
            .args(["engine", id, service, zone, &store.to_string()])
            .stdin(Stdio::piped())
            .stdout(Stdio::piped())
            .spawn()
            .expect("an engine starts");
        let commands = child.stdin.take().expect("it is piped");
        EngineProcess { id: id.to_owned(), child, commands }
    }

    /// The engine crashes: its process is killed.
    pub fn crash(&mut self) {
        let _ = self.child.kill();
    }

    /// The engine leaves: it reports `draining`, serves for this long after
    /// the store has accepted the report, and exits.
    pub fn leave(&mut self, serves: Duration) {
        let _ = writeln!(self.commands, "leave {}", serves.as_millis());
    }
}

impl Drop for EngineProcess {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// The program of an engine process.
pub fn run_engine_process(arguments: &[String]) {
    let [id, service, zone, store] = arguments else { return };
    let spec = Spec {
        id: id.clone(),
        service: service.clone(),
        zone: zone.clone(),
        is_model: service == "desk",
        store: store.parse().expect("an address"),
    };
    let engine = Engine::start(spec, Box::new(|line| println!("{line}")));
    for line in std::io::stdin().lines().map_while(Result::ok) {
        let time = line.strip_prefix("leave ").and_then(|t| t.parse().ok());
        if let Some(ms) = time {
            engine.leave_and_exit(Duration::from_millis(ms));
        }
    }
}

pub struct Site {
    pub record: Record,
    pub runs: Runs,
    pub store: Store,
    pub engines: Vec<EngineProcess>,
    pub plain: Vec<EngineProcess>,
    pub entries: Vec<Entry>,
    pub logs: PathBuf,
}

impl Site {
    /// Starts a deployment without entries.
    pub fn start(dir: &Path, engines: usize, plain: usize) -> Site {
        let record = Record::create(&dir.join("record.txt"));
        let logs = std::env::temp_dir()
            .join(format!("review-{}", std::process::id()));
        std::fs::create_dir_all(&logs).expect("a temporary folder");
        let store = Store::start();
        store.put("op", "config", &configuration(3));
        let runs = Runs::default();
        let zone = |at: usize| ["hall-medina", "hall-leona"][at % 2];
        let start = |service: &str, at: usize| {
            let id = format!("i-{service}-{at}");
            let mut engine =
                EngineProcess::start(&id, service, zone(at), store.address);
            let out = engine.child.stdout.take().expect("it is piped");
            let (record, runs) = (record.clone(), runs.clone());
            thread::spawn(move || {
                for line in BufReader::new(out).lines().map_while(Result::ok) {
                    runs.note(&id, &line, record.now_ms());
                    record.line(&format!("{id} {line}"));
                }
            });
            engine
        };
        let engines = (0..engines).map(|at| start("desk", at)).collect();
        let plain = (0..plain).map(|at| start("ledger", at)).collect();
        let entries = Vec::new();
        Site { record, runs, store, engines, plain, entries, logs }
    }

    /// Starts an entry that reaches the store at this address.
    pub fn start_entry(&mut self, store: SocketAddr) {
        let at = self.entries.len();
        let zone = ["hall-medina", "hall-leona"][at % 2];
        let name = format!("front-{at}");
        self.entries.push(Entry::start(&name, zone, store, &self.logs));
    }

    /// Waits until all entries are ready and each has served a request of
    /// each kind.
    pub fn wait_until_serving(&self) -> Result<(), String> {
        let limit = Duration::from_secs(20);
        for entry in &self.entries {
            if !entry.wait_until_ready(limit) {
                return Err(format!("{} is not ready", entry.name));
            }
            let began = Instant::now();
            let is_served = |target: &str, tokens: Option<&str>| {
                let mut at = 0;
                while began.elapsed() < limit {
                    at += 1;
                    let id = format!("first-{}-{at}", entry.name);
                    let request = Request {
                        method: "POST",
                        target,
                        id: &id,
                        key: KEY_ONE,
                        deadline_ms: "1500",
                        token_count: tokens,
                    };
                    let mut client = Client::new(entry.clients);
                    let answer = client.send(&request, Duration::from_secs(2));
                    if answer.status == 200 && answer.is_complete {
                        return true;
                    }
                    thread::sleep(Duration::from_millis(100));
                }
                false
            };
            if !self.engines.is_empty()
                && !is_served("/st/3-20", Some("100,6"))
            {
                return Err(format!("{} serves no stream", entry.name));
            }
            if !self.plain.is_empty() && !is_served("/lk/10", None) {
                return Err(format!("{} serves no request", entry.name));
            }
        }
        Ok(())
    }
}

impl Drop for Site {
    fn drop(&mut self) {
        self.entries.clear();
        self.engines.clear();
        self.plain.clear();
        if std::env::var("KEEP_LOGS").is_err() {
            let _ = std::fs::remove_dir_all(&self.logs);
        }
    }
}

/// What clients sent and got, by the id of the request.
pub type Answers = Arc<Mutex<BTreeMap<String, (u64, Answer)>>>;
