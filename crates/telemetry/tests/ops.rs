//! Requests to the operators' port over loopback.

use std::{
    io::{Read as _, Write as _},
    net::{SocketAddr, TcpListener, TcpStream},
    sync::Arc,
    thread,
    time::Duration,
};

use async_executor::Executor;
use async_io::Async;
use chestnutreach_telemetry::{
    Metrics, OpsState, Readiness, ops::MAX_CONNECTIONS, serve_ops,
};
use serde_json::json;

/// Starts a port that is not ready because of one unmet condition.
fn start() -> (SocketAddr, Arc<OpsState>) {
    let listener = Async::<TcpListener>::bind(([127, 0, 0, 1], 0)).unwrap();
    let address = listener.get_ref().local_addr().unwrap();
    let state = Arc::new(OpsState {
        metrics: Arc::new(Metrics::new("entry", "vm-1")),
        readiness: Arc::new(Readiness::new(&["manifest"])),
        status: Box::new(|| json!({"vm": "vm-1"})),
        command: Box::new(|path| {
            (path == "/order").then(|| json!({"is_done": true}))
        }),
    });
    let shared_state = state.clone();
    thread::spawn(move || {
        let executor = Arc::new(Executor::new());
        let serving = serve_ops(listener, executor.clone(), shared_state);
        async_io::block_on(executor.run(serving))
    });
    (address, state)
}

fn connect(address: SocketAddr) -> TcpStream {
    let socket = TcpStream::connect(address).unwrap();
    socket.set_read_timeout(Some(Duration::from_secs(3))).unwrap();
    socket
}

/// Returns head and body of the response, and checks that the server closes
/// the connection after it.
fn call(address: SocketAddr, method: &str, path: &str) -> (String, String) {
    let mut socket = connect(address);
    let head = format!("{method} {path} HTTP/1.1\r\nhost: x\r\n\r\n");
    socket.write_all(head.as_bytes()).unwrap();
    let mut response = String::new();
    socket.read_to_string(&mut response).unwrap();
    let (head, body) = response.split_once("\r\n\r\n").unwrap();
    (head.to_lowercase(), body.to_owned())
}

struct Case {
    request: (&'static str, &'static str),
    status: &'static str,
    content_type: &'static str,
    body: &'static str,
}

const CASES: &[Case] = &[
    Case {
        request: ("GET", "/metrics"),
        status: "200",
        content_type: "text/plain; version=0.0.4",
        body: "\nchestnutreach_links_open{",
    },
    Case {
        request: ("GET", "/live"),
        status: "200",
        content_type: "application/json",
        body: r#"{"is_live":true}"#,
    },
    Case {
        request: ("GET", "/status"),
        status: "200",
        content_type: "application/json",
        body: r#"{"vm":"vm-1"}"#,
    },
    Case {
        request: ("GET", "/ready"),
        status: "503",
        content_type: "application/json",
        body: r#"{"is_ready":false,"reasons":{"manifest":"not yet"}}"#,
    },
    Case {
        request: ("GET", "/nothing"),
        status: "404",
        content_type: "",
        body: "",
    },
    Case {
        request: ("POST", "/order"),
        status: "200",
        content_type: "application/json",
        body: r#"{"is_done":true}"#,
    },
    Case {
        request: ("GET", "/order"),
        status: "404",
        content_type: "",
        body: "",
    },
    Case {
        request: ("POST", "/metrics"),
        status: "405",
        content_type: "",
        body: "",
    },
];

#[test]
fn each_path_returns_the_documented_status_and_body() {
    let (address, _) = start();
    for case in CASES {
        let (method, path) = case.request;
        let (head, body) = call(address, method, path);
        let status = format!("http/1.1 {} ", case.status);
        assert!(head.starts_with(&status), "{method} {path}: {head}");
        assert!(head.contains(case.content_type), "{path}: {head}");
        assert!(body.contains(case.body), "{path}: {body}");
    }
}

#[test]
fn ready_reports_the_blocking_conditions() {
    let (address, state) = start();
    state.readiness.clear("manifest");
    let (head, body) = call(address, "GET", "/ready");
    assert!(head.starts_with("http/1.1 200"), "{head}");
    assert_eq!(body, r#"{"is_ready":true,"reasons":{}}"#);

    state.readiness.block("drain", "an operator drains this VM");
    let (head, body) = call(address, "GET", "/ready");
    assert!(head.starts_with("http/1.1 503"), "{head}");
    assert!(body.contains("an operator drains this VM"), "{body}");
}

#[test]
fn connections_above_the_limit_are_closed_until_a_slot_is_free() {
    let (address, _) = start();
    let idle: Vec<_> =
        (0..MAX_CONNECTIONS).map(|_| connect(address)).collect();
    let mut refused = connect(address);
    let mut response = [0];
    assert_eq!(refused.read(&mut response).unwrap_or(0), 0);
    drop(idle);
    // The server frees the slots of the closed connections asynchronously.
    let accepts_again = (0..100).any(|_| {
        thread::sleep(Duration::from_millis(20));
        let mut socket = connect(address);
        let head = b"GET /live HTTP/1.1\r\nhost: x\r\n\r\n";
        let mut response = String::new();
        socket.write_all(head).is_ok()
            && socket.read_to_string(&mut response).is_ok()
            && response.contains("is_live")
    });
    assert!(accepts_again);
}
