//! The control calls over loopback, and the limits of the port.

use std::{
    io::{Read as _, Write as _},
    net::{SocketAddr, TcpListener, TcpStream},
    sync::{Arc, Mutex},
    thread,
    time::Duration,
};

use async_executor::Executor;
use async_io::{Async, block_on};
use chestnutreach_control::{
    BackendStatus, ControlClient, ControlError, ControlHandler,
    ControlRefusal, DescribedRequest, ExplainQuery, GenerationInfo,
    MAX_FRAME_BYTES, NodeInfo, NodeRole, NodeStatus, PROTOCOL_VERSION,
    PeerStatus, RequestPriority, ServeOptions, serve_control_with,
};
use chestnutreach_standins::closed_address;

const TIMEOUT: Duration = Duration::from_secs(10);
const SHORT_TIMEOUT: Duration = Duration::from_millis(100);

/// Handler that returns fixed values and records the orders.
#[derive(Default)]
struct Node {
    orders: Mutex<Vec<String>>,
}

fn status() -> NodeStatus {
    NodeStatus {
        vm: "vm-7".to_owned(),
        role: NodeRole::Side,
        data_centre: "hall-a".to_owned(),
        boot_id: u64::MAX,
        generation: 12,
        is_ready: true,
        is_draining: false,
        requests_in_flight: 3,
        backends: vec![BackendStatus {
            name: "engine-1".to_owned(),
            running: 2,
            queued: 1,
            is_healthy: true,
            is_leaving: false,
        }],
        links: vec![PeerStatus {
            vm: "vm-8".to_owned(),
            is_connected: true,
            ..PeerStatus::default()
        }],
    }
}

fn generation() -> GenerationInfo {
    GenerationInfo {
        generation: 12,
        submission: "s-1".to_owned(),
        root_digest: (0..=255).collect(),
    }
}

fn described() -> ExplainQuery {
    ExplainQuery::Described(DescribedRequest {
        service: "letters".to_owned(),
        account: "halls".to_owned(),
        prompt_tokens: 900,
        output_tokens: 200,
        deadline_ms: 8_000,
        priority: RequestPriority::High,
    })
}

impl ControlHandler for Node {
    fn info(&self) -> NodeInfo {
        NodeInfo { vm: "vm-7".to_owned(), ..NodeInfo::default() }
    }

    fn status(&self) -> NodeStatus {
        status()
    }

    fn drain(&self, backend: Option<&str>) -> Result<(), ControlRefusal> {
        match backend {
            None | Some("engine-1") => {
                let order = format!("drain {backend:?}");
                self.orders.lock().unwrap().push(order);
                Ok(())
            }
            Some("slow") => {
                thread::sleep(SHORT_TIMEOUT * 5);
                Ok(())
            }
            Some("panic") => panic!("a handler that panics"),
            Some(backend) => Err(ControlRefusal::UnknownBackend {
                backend: backend.to_owned(),
            }),
        }
    }

    fn undrain(&self, backend: Option<&str>) -> Result<(), ControlRefusal> {
        let order = format!("undrain {backend:?}");
        self.orders.lock().unwrap().push(order);
        Ok(())
    }

    fn generation(&self) -> GenerationInfo {
        generation()
    }

    fn manifest_part(&self, digest: &[u8]) -> Option<Vec<u8>> {
        match digest {
            b"known" => Some((0..=255).cycle().take(1 << 20).collect()),
            b"long" => Some(vec![0; MAX_FRAME_BYTES]),
            _ => None,
        }
    }

    fn explain(&self, query: &ExplainQuery) -> Result<String, ControlRefusal> {
        match query {
            ExplainQuery::Request { request_id } => {
                Err(ControlRefusal::UnknownRequest {
                    request_id: request_id.clone(),
                })
            }
            ExplainQuery::Described(request) => {
                Ok(format!("{{\"service\":\"{}\"}}", request.service))
            }
        }
    }
}

fn start_with(options: ServeOptions) -> (SocketAddr, Arc<Node>) {
    let listener = Async::<TcpListener>::bind(([127, 0, 0, 1], 0)).unwrap();
    let address = listener.get_ref().local_addr().unwrap();
    let node = Arc::new(Node::default());
    let served = node.clone();
    thread::spawn(move || {
        let executor = Arc::new(Executor::new());
        let serving =
            serve_control_with(listener, executor.clone(), served, options);
        block_on(executor.run(serving))
    });
    (address, node)
}

fn start() -> (SocketAddr, Arc<Node>) {
    start_with(ServeOptions::new())
}

fn connect(address: SocketAddr) -> ControlClient {
    block_on(ControlClient::connect(address, TIMEOUT)).unwrap()
}

/// Opens a raw connection, to send hand-written frames.
fn connect_raw(address: SocketAddr) -> TcpStream {
    let socket = TcpStream::connect(address).unwrap();
    socket.set_read_timeout(Some(TIMEOUT)).unwrap();
    socket
}

/// Returns whether the server closes the connection, whatever it sends before.
fn is_closed_by_server(mut socket: TcpStream) -> bool {
    match socket.read_to_end(&mut Vec::new()) {
        Ok(_) => true,
        Err(e) => e.kind() == std::io::ErrorKind::ConnectionReset,
    }
}

fn frame(json: &str) -> Vec<u8> {
    let mut bytes = (json.len() as u32).to_be_bytes().to_vec();
    bytes.extend_from_slice(json.as_bytes());
    bytes
}

/// Encodes a call as a frame.
fn request_frame(id: u64, deadline_s: u64, message: &str) -> Vec<u8> {
    let zeros = ["0"; 16].join(",");
    frame(&format!(
        "{{\"Request\":{{\"context\":{{\"deadline\":{{\"secs\":{deadline_s},\
         \"nanos\":0}},\"trace_context\":{{\"trace_id\":[{zeros}],\
         \"span_id\":0,\"sampling_decision\":\"Unsampled\"}}}},\"id\":{id},\
         \"message\":{message}}}}}"
    ))
}

#[test]
fn each_call_reaches_the_handler_and_returns_its_result() {
    let (address, node) = start();
    let client = connect(address);
    assert_eq!(client.info().vm, "vm-7");
    assert_eq!(client.info().protocol_version, PROTOCOL_VERSION);
    block_on(async {
        assert_eq!(client.status().await.unwrap(), status());
        assert_eq!(client.generation().await.unwrap(), generation());
        client.drain(None).await.unwrap();
        client.drain(Some("engine-1")).await.unwrap();
        client.undrain(None).await.unwrap();
        let part = client.manifest_part(b"known").await.unwrap().unwrap();
        assert_eq!(part.len(), 1 << 20);
        assert_eq!(part[..256], (0..=255).collect::<Vec<_>>());
        assert_eq!(client.manifest_part(b"x").await.unwrap(), None);
        let text = client.explain(&described()).await.unwrap();
        assert_eq!(text, r#"{"service":"letters"}"#);
    });
    let orders = node.orders.lock().unwrap();
    let expected = ["drain None", "drain Some(\"engine-1\")", "undrain None"];
    assert_eq!(*orders, expected);
}

struct RefusalCase {
    call: fn(&ControlClient) -> Result<(), ControlError>,
    refusal: ControlRefusal,
    text: &'static str,
}

#[test]
fn refusals_of_the_handler_reach_the_client() {
    let cases = [
        RefusalCase {
            call: |c| block_on(c.drain(Some("other"))),
            refusal: ControlRefusal::UnknownBackend {
                backend: "other".to_owned(),
            },
            text: "no backend server \"other\" is beside this process",
        },
        RefusalCase {
            call: |c| {
                let request_id = "a1".to_owned();
                let query = ExplainQuery::Request { request_id };
                block_on(c.explain(&query)).map(drop)
            },
            refusal: ControlRefusal::UnknownRequest {
                request_id: "a1".to_owned(),
            },
            text: "this process has no record of request \"a1\"",
        },
        RefusalCase {
            call: |c| block_on(c.manifest_part(b"long")).map(drop),
            refusal: ControlRefusal::TooLong {
                length_bytes: MAX_FRAME_BYTES as u64,
                limit_bytes: MAX_FRAME_BYTES as u64 / 2,
            },
            text: "the response has 4194304 bytes, but the limit is 2097152",
        },
    ];
    let (address, _) = start();
    let client = connect(address);
    for case in cases {
        let error = (case.call)(&client).unwrap_err();
        assert_eq!(error.to_string(), case.text);
        match error {
            ControlError::Refused(refusal) => {
                assert_eq!(refusal, case.refusal);
            }
            other => panic!("{other:?}"),
        }
        // A refusal does not close the connection.
        assert!(block_on(client.status()).is_ok());
    }
}

#[test]
fn an_unsupported_version_is_refused_with_a_specific_error() {
    let (address, _) = start();
    let connecting = ControlClient::connect_with_version(
        address,
        TIMEOUT,
        PROTOCOL_VERSION + 6,
    );
    let error = block_on(connecting).err().unwrap();
    let expected = ControlRefusal::UnknownVersion {
        offered: PROTOCOL_VERSION + 6,
        supported: PROTOCOL_VERSION,
    };
    assert!(
        matches!(&error, ControlError::Refused(r) if *r == expected),
        "{error:?}"
    );
    assert_eq!(
        error.to_string(),
        "control protocol version 7 is not supported; \
         this process supports 1"
    );
}

#[test]
fn a_call_before_hello_is_refused() {
    let (address, node) = start();
    let mut socket = connect_raw(address);
    let call = request_frame(0, 5, r#"{"Drain":{"backend":null}}"#);
    socket.write_all(&call).unwrap();
    let mut response = [0; 64];
    let count = socket.read(&mut response).unwrap();
    let text = String::from_utf8_lossy(&response[4..count]);
    assert!(text.contains("NoHello"), "{text}");
    assert!(node.orders.lock().unwrap().is_empty());
}

#[test]
fn connecting_to_an_unresponsive_server_times_out() {
    let listener = TcpListener::bind(("127.0.0.1", 0)).unwrap();
    let address = listener.local_addr().unwrap();
    let error = block_on(ControlClient::connect(address, SHORT_TIMEOUT));
    match error.err().unwrap() {
        ControlError::Timeout { call, .. } => assert_eq!(call, "hello"),
        other => panic!("{other:?}"),
    }
}

#[test]
fn a_slow_call_times_out_and_closes_its_client() {
    let (address, _) = start();
    let client = connect(address).call_timeout(SHORT_TIMEOUT);
    let error = block_on(client.drain(Some("slow"))).unwrap_err();
    let text = format!("no response from {address} to drain within 100 ms");
    assert_eq!(error.to_string(), text);
    let error = block_on(client.status()).unwrap_err();
    assert!(matches!(error, ControlError::Closed { .. }), "{error:?}");
    assert!(block_on(connect(address).status()).is_ok());
}

#[test]
fn a_refused_connection_is_reported_as_unreachable() {
    let address = closed_address();
    let error = block_on(ControlClient::connect(address, TIMEOUT));
    let error = error.err().unwrap();
    assert!(matches!(error, ControlError::Unreachable { .. }), "{error:?}");
}

#[test]
fn an_oversized_frame_closes_its_connection() {
    let (address, _) = start();
    let mut socket = connect_raw(address);
    let length = MAX_FRAME_BYTES as u32 + 1;
    socket.write_all(&length.to_be_bytes()).unwrap();
    assert!(is_closed_by_server(socket));
    assert!(block_on(connect(address).status()).is_ok());
}

#[test]
fn an_oversized_response_is_an_error() {
    let listener = TcpListener::bind(("127.0.0.1", 0)).unwrap();
    let address = listener.local_addr().unwrap();
    thread::spawn(move || {
        let (mut socket, _) = listener.accept().unwrap();
        let length = MAX_FRAME_BYTES as u32 + 1;
        socket.write_all(&length.to_be_bytes()).unwrap();
        socket.read_to_end(&mut Vec::new()).ok();
    });
    let error = block_on(ControlClient::connect(address, TIMEOUT));
    let error = error.err().unwrap();
    assert!(matches!(error, ControlError::ConnectionLost { .. }), "{error:?}");
}

struct InvalidCall {
    name: &'static str,
    bytes: Vec<u8>,
}

#[test]
fn invalid_calls_close_only_their_connection() {
    let hello = r#"{"Hello":{"protocol_version":1}}"#;
    let drain = r#"{"Drain":{"backend":"panic"}}"#;
    let cases = [
        InvalidCall {
            name: "deadline out of range",
            bytes: request_frame(0, u64::MAX, hello),
        },
        InvalidCall {
            name: "deadline beyond the range of the timer wheel",
            bytes: request_frame(0, 1 << 40, hello),
        },
        InvalidCall { name: "not JSON", bytes: frame("hello?") },
        InvalidCall {
            name: "unknown call",
            bytes: request_frame(0, 5, r#""Erase""#),
        },
        InvalidCall {
            name: "handler that panics",
            bytes: [request_frame(0, 5, hello), request_frame(1, 5, drain)]
                .concat(),
        },
    ];
    let (address, _) = start();
    for case in cases {
        let mut socket = connect_raw(address);
        socket.write_all(&case.bytes).unwrap();
        assert!(is_closed_by_server(socket), "{}", case.name);
        let status = block_on(connect(address).status());
        assert!(status.is_ok(), "after {}", case.name);
    }
}

#[test]
fn idle_connections_are_closed() {
    let options = ServeOptions::new()
        .hello_timeout(SHORT_TIMEOUT)
        .idle_timeout(SHORT_TIMEOUT * 2);
    let (address, _) = start_with(options);
    // One connection never sends `hello`; the other is idle after `hello`.
    assert!(is_closed_by_server(connect_raw(address)));
    let client = connect(address);
    thread::sleep(SHORT_TIMEOUT * 4);
    let error = block_on(client.status()).unwrap_err();
    assert!(matches!(error, ControlError::ConnectionLost { .. }), "{error:?}");
}

#[test]
fn connections_above_the_limit_are_closed() {
    let (address, _) = start_with(ServeOptions::new().max_connections(1));
    let client = connect(address);
    assert!(is_closed_by_server(connect_raw(address)));
    assert!(block_on(client.status()).is_ok());
}
