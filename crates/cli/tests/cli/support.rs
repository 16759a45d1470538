//! Running the tool, and what it talks to.

use std::{
    fs,
    net::{SocketAddr, TcpListener},
    path::PathBuf,
    process::{Child, Command, Stdio},
    sync::{
        Arc,
        atomic::{AtomicU32, Ordering},
    },
    thread,
};

use async_executor::Executor;
use async_io::{Async, block_on};
use chestnutreach_standins::platform::{Faults, serve_objects, serve_table};

/// How a run ended.
#[derive(Debug)]
pub struct Ran {
    pub code: i32,
    pub out: String,
    pub err: String,
}

impl Ran {
    pub fn json(&self) -> serde_json::Value {
        serde_json::from_str(&self.out).expect(&self.out)
    }
}

/// Starts the tool.
pub fn start(arguments: &[&str]) -> Child {
    Command::new(env!("CARGO_BIN_EXE_chestnutreach"))
        .args(arguments)
        .stdout(Stdio::piped())
        .stderr(Stdio::piped())
        .spawn()
        .unwrap()
}

/// Waits for a run.
pub fn finish(child: Child) -> Ran {
    let output = child.wait_with_output().unwrap();
    Ran {
        code: output.status.code().unwrap(),
        out: String::from_utf8(output.stdout).unwrap(),
        err: String::from_utf8(output.stderr).unwrap(),
    }
}

/// Runs the tool with arguments divided by spaces.
pub fn run(line: &str) -> Ran {
    let arguments: Vec<&str> = line.split_whitespace().collect();
    finish(start(&arguments))
}

/// A path in a directory of tests that no other call gives.
pub fn path(name: &str) -> String {
    static NEXT: AtomicU32 = AtomicU32::new(0);
    let number = NEXT.fetch_add(1, Ordering::Relaxed);
    let directory = PathBuf::from(env!("CARGO_TARGET_TMPDIR"));
    let directory = directory.join(format!("{}", std::process::id()));
    fs::create_dir_all(&directory).unwrap();
    let path = directory.join(format!("{number}-{name}"));
    path.to_str().unwrap().to_owned()
}

/// A file with this content.
pub fn file(name: &str, content: &str) -> String {
    let path = path(name);
    fs::write(&path, content).unwrap();
    path
}

/// The example manifest of Kaolack.
pub fn manifest() -> String {
    let examples = concat!(env!("CARGO_MANIFEST_DIR"), "/../../examples/");
    fs::read_to_string(format!("{examples}kaolack.ini")).unwrap()
}

/// It with another recovery weight.
pub fn manifest_with_weight(percent: u32) -> String {
    let line = "recovery-weight-percent = 20";
    let text = manifest();
    assert!(text.contains(line));
    text.replace(line, &format!("recovery-weight-percent = {percent}"))
}

/// An executor on a thread of its own, until the tests end.
pub fn executor() -> Arc<Executor<'static>> {
    let executor = Arc::new(Executor::new());
    let running = executor.clone();
    thread::spawn(move || block_on(running.run(std::future::pending::<()>())));
    executor
}

/// A free port.
pub fn listen() -> (Async<TcpListener>, SocketAddr) {
    let listener = Async::<TcpListener>::bind(([127, 0, 0, 1], 0)).unwrap();
    let address = listener.get_ref().local_addr().unwrap();
    (listener, address)
}

/// An address where nobody listens.
pub fn closed_address() -> SocketAddr {
    let (listener, address) = listen();
    drop(listener);
    address
}

/// The platform's stand-ins.
pub struct Platform {
    pub table: SocketAddr,
    pub objects: SocketAddr,
    pub table_faults: Arc<Faults>,
}

impl Platform {
    pub fn start() -> Platform {
        let executor = executor();
        let table_faults = Arc::new(Faults::new());
        let (listener, table) = listen();
        let serving =
            serve_table(listener, table_faults.clone(), executor.clone());
        executor.spawn(serving).detach();
        let (listener, objects) = listen();
        let faults = Arc::new(Faults::new());
        let serving = serve_objects(listener, faults, executor.clone());
        executor.spawn(serving).detach();
        Platform { table, objects, table_faults }
    }

    /// Arguments of `apply`.
    pub fn apply(&self, rest: &str) -> String {
        let Platform { table, objects, .. } = self;
        format!("apply --table {table} --objects {objects} {rest}")
    }
}
