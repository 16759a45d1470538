//! Runs the tool and the services that the tool calls.

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
use chestnutreach_emulator::start_executor;
use chestnutreach_standins::platform::{Faults, serve_objects, serve_table};
use chestnutreach_telemetry::{Metrics, OpsState, Readiness, serve_ops};
use serde_json::Value;

/// Exit code and output of a finished run.
#[derive(Debug)]
pub struct CommandOutput {
    pub exit_code: i32,
    pub stdout: String,
    pub stderr: String,
}

impl CommandOutput {
    pub fn json(&self) -> serde_json::Value {
        serde_json::from_str(&self.stdout).expect(&self.stdout)
    }
}

/// Starts the tool without waiting for its exit.
pub fn start(arguments: &[&str]) -> Child {
    Command::new(env!("CARGO_BIN_EXE_chestnutreach"))
        .args(arguments)
        .stdout(Stdio::piped())
        .stderr(Stdio::piped())
        .spawn()
        .unwrap()
}

/// Waits for the exit of the tool.
pub fn finish(child: Child) -> CommandOutput {
    let process_output = child.wait_with_output().unwrap();
    CommandOutput {
        exit_code: process_output.status.code().unwrap(),
        stdout: String::from_utf8(process_output.stdout).unwrap(),
        stderr: String::from_utf8(process_output.stderr).unwrap(),
    }
}

/// Runs the tool with arguments separated by spaces.
pub fn run(line: &str) -> CommandOutput {
    let arguments: Vec<&str> = line.split_whitespace().collect();
    finish(start(&arguments))
}

/// A unique path in the temporary directory of the tests.
pub fn path(name: &str) -> String {
    static NEXT: AtomicU32 = AtomicU32::new(0);
    let number = NEXT.fetch_add(1, Ordering::Relaxed);
    let directory = PathBuf::from(env!("CARGO_TARGET_TMPDIR"));
    let directory = directory.join(format!("{}", std::process::id()));
    fs::create_dir_all(&directory).unwrap();
    let path = directory.join(format!("{number}-{name}"));
    path.to_str().unwrap().to_owned()
}

/// Creates a file with this content and returns its path.
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

/// The example manifest of Kaolack with another recovery weight.
pub fn manifest_with_weight(percent: u32) -> String {
    let line = "recovery-weight-percent = 20";
    let text = manifest();
    assert!(text.contains(line));
    text.replace(line, &format!("recovery-weight-percent = {percent}"))
}

/// An executor on its own thread, which runs until the tests end.
pub fn executor() -> Arc<Executor<'static>> {
    let executor = Arc::new(Executor::new());
    let driven_executor = executor.clone();
    thread::spawn(move || {
        block_on(driven_executor.run(std::future::pending::<()>()))
    });
    executor
}

/// Listens on a free port.
pub fn listen() -> (Async<TcpListener>, SocketAddr) {
    let listener = Async::<TcpListener>::bind(([127, 0, 0, 1], 0)).unwrap();
    let address = listener.get_ref().local_addr().unwrap();
    (listener, address)
}

/// Stand-ins of the platform's services.
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

    /// Arguments of `apply` with the addresses of the stand-ins.
    pub fn apply(&self, extra_arguments: &str) -> String {
        let Platform { table, objects, .. } = self;
        format!("apply --table {table} --objects {objects} {extra_arguments}")
    }
}

/// Serves the operators' port of an entry with this status.
pub fn serve_status(status: Value) -> SocketAddr {
    let state = OpsState {
        metrics: Arc::new(Metrics::new("entry", "vm-1")),
        readiness: Arc::new(Readiness::new(&[])),
        status: Box::new(move || status.clone()),
        command: Box::new(|_| None),
    };
    let (listener, address) = listen();
    let executor = start_executor().unwrap();
    let serving = serve_ops(listener, executor.clone(), Arc::new(state));
    executor.spawn(serving).detach();
    address
}
