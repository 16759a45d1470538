//! The client's handling of complete and broken responses.

mod support;

use std::{
    io::{Read as _, Write as _},
    net::{Ipv4Addr, SocketAddr, TcpListener, TcpStream},
    sync::{
        Arc,
        atomic::{AtomicUsize, Ordering},
    },
    thread,
    time::Duration,
};

use async_io::block_on;
use chestnutreach_http::{Client, ClientError, ClientOptions, ServerOptions};
use chestnutreach_standins::closed_address;
use http_types::{Method, Request};
use rstest::rstest;

use support::{Server, TEST_TIMEOUT};

const MAX_RESPONSE_BYTES: usize = 16;

/// Starts a server that responds to each request with the same bytes and
/// closes a connection after `responses_per_connection`. Also returns the
/// count of accepted connections.
fn scripted(
    response: &'static [u8],
    responses_per_connection: usize,
) -> (SocketAddr, Arc<AtomicUsize>) {
    let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).unwrap();
    let address = listener.local_addr().unwrap();
    let accepted = Arc::new(AtomicUsize::new(0));
    let count = accepted.clone();
    thread::spawn(move || {
        for socket in listener.incoming() {
            count.fetch_add(1, Ordering::SeqCst);
            let mut socket = socket.unwrap();
            for _ in 0..responses_per_connection {
                read_head(&mut socket);
                let _ = socket.write_all(response);
            }
        }
    });
    (address, accepted)
}

fn read_head(socket: &mut TcpStream) {
    let mut head = Vec::new();
    let mut byte = [0];
    while !head.ends_with(b"\r\n\r\n") {
        match socket.read(&mut byte) {
            Ok(1) => head.push(byte[0]),
            _ => return,
        }
    }
}

fn call(
    client: &Client,
    method: Method,
    timeout: Duration,
) -> Result<(u16, String), ClientError> {
    let request = Request::new(method, client.url("/a").unwrap());
    let (response, body) = block_on(client.send(request, timeout))?;
    Ok((response.status().into(), String::from_utf8(body).unwrap()))
}

fn client(address: SocketAddr) -> Client {
    let options = ClientOptions::new().max_response_bytes(MAX_RESPONSE_BYTES);
    Client::new(address, options)
}

/// Outcome of a call.
#[derive(Debug, Eq, PartialEq)]
enum Outcome {
    Response(u16, &'static str),
    NotSent,
    Lost,
    Timeout,
    TooLong,
}

fn matches(
    outcome: &Outcome,
    result: &Result<(u16, String), ClientError>,
) -> bool {
    match (outcome, result) {
        (Outcome::Response(status, body), Ok((s, b))) => {
            s == status && b == body
        }
        (Outcome::NotSent, Err(ClientError::NotSent { .. })) => true,
        (Outcome::Lost, Err(ClientError::Lost { .. })) => true,
        (Outcome::Timeout, Err(ClientError::Timeout { .. })) => true,
        (Outcome::TooLong, Err(ClientError::TooLong { .. })) => true,
        _ => false,
    }
}

struct Case {
    method: Method,
    response: &'static [u8],
    outcome: Outcome,
}

#[rstest]
#[case::complete(Case {
    method: Method::Get,
    response: b"HTTP/1.1 200 OK\r\ncontent-length: 3\r\n\r\nabc",
    outcome: Outcome::Response(200, "abc"),
})]
#[case::error_status_is_a_response(Case {
    method: Method::Get,
    response: b"HTTP/1.1 503 Busy\r\ncontent-length: 0\r\n\r\n",
    outcome: Outcome::Response(503, ""),
})]
#[case::chunked(Case {
    method: Method::Get,
    response: b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n\
        3\r\nabc\r\n0\r\n\r\n",
    outcome: Outcome::Response(200, "abc"),
})]
#[case::no_content(Case {
    method: Method::Get,
    response: b"HTTP/1.1 204 No Content\r\n\r\n",
    outcome: Outcome::Response(204, ""),
})]
#[case::head_has_no_body(Case {
    method: Method::Head,
    response: b"HTTP/1.1 200 OK\r\ncontent-length: 3\r\n\r\n",
    outcome: Outcome::Response(200, ""),
})]
#[case::interim_response_first(Case {
    method: Method::Get,
    response: b"HTTP/1.1 100 Continue\r\n\r\n\
        HTTP/1.1 200 OK\r\ncontent-length: 3\r\n\r\nabc",
    outcome: Outcome::Response(200, "abc"),
})]
#[case::body_shorter_than_stated(Case {
    method: Method::Get,
    response: b"HTTP/1.1 200 OK\r\ncontent-length: 9\r\n\r\nabc",
    outcome: Outcome::Lost,
})]
#[case::truncated_chunks(Case {
    method: Method::Get,
    response: b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n\
        3\r\nabc\r\n",
    outcome: Outcome::Lost,
})]
#[case::chunk_without_size(Case {
    method: Method::Get,
    response: b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n\
        3\r\nabc\r\n\r\n\r\n",
    outcome: Outcome::Lost,
})]
#[case::body_without_length(Case {
    method: Method::Get,
    response: b"HTTP/1.1 200 OK\r\nconnection: close\r\n\r\nabc",
    outcome: Outcome::Lost,
})]
#[case::two_lengths(Case {
    method: Method::Get,
    response: b"HTTP/1.1 200 OK\r\ncontent-length: 4\r\n\
        content-length: 3\r\n\r\nabcd",
    outcome: Outcome::Lost,
})]
#[case::length_and_chunked(Case {
    method: Method::Get,
    response: b"HTTP/1.1 200 OK\r\ncontent-length: 3\r\n\
        transfer-encoding: chunked\r\n\r\n0\r\n\r\n",
    outcome: Outcome::Lost,
})]
#[case::header_not_ascii(Case {
    method: Method::Get,
    response: b"HTTP/1.1 200 OK\r\ncontent-length: 3\r\n\
        x: \xc3\xa9\r\n\r\nabc",
    outcome: Outcome::Lost,
})]
#[case::malformed(Case {
    method: Method::Get,
    response: b"hello there\r\n\r\n",
    outcome: Outcome::Lost,
})]
#[case::no_response(Case {
    method: Method::Get,
    response: b"",
    outcome: Outcome::Lost,
})]
#[case::too_long(Case {
    method: Method::Get,
    response: b"HTTP/1.1 200 OK\r\ncontent-length: 17\r\n\r\n\
        12345678901234567",
    outcome: Outcome::TooLong,
})]
#[case::chunks_too_long(Case {
    method: Method::Get,
    response: b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n\
        9\r\n123456789\r\n9\r\n123456789\r\n0\r\n\r\n",
    outcome: Outcome::TooLong,
})]
fn incomplete_response_is_an_error(#[case] case: Case) {
    let (address, _) = scripted(case.response, 1);
    let result = call(&client(address), case.method, TEST_TIMEOUT);
    assert!(matches(&case.outcome, &result), "{result:?}");
    if let Err(e) = result {
        assert!(e.may_have_run(), "{e}");
    }
}

#[test]
fn refused_connection_is_not_sent() {
    let address = closed_address();
    let result = call(&client(address), Method::Post, TEST_TIMEOUT);
    assert!(matches(&Outcome::NotSent, &result), "{result:?}");
    assert!(!result.unwrap_err().may_have_run());
}

/// A timeout during the connection attempt means that nothing was sent. The
/// address either responds to no packet (TEST-NET-1) or is refused by the
/// system at once.
#[rstest]
#[case::by_the_connect_timeout(Duration::from_millis(50), TEST_TIMEOUT)]
#[case::by_the_call_timeout(TEST_TIMEOUT, Duration::from_millis(50))]
fn connect_timeout_is_not_sent(
    #[case] connect_timeout: Duration,
    #[case] timeout: Duration,
) {
    let address = SocketAddr::from((Ipv4Addr::new(192, 0, 2, 1), 9));
    let options = ClientOptions::new().connect_timeout(connect_timeout);
    let result = call(&Client::new(address, options), Method::Get, timeout);
    assert!(matches(&Outcome::NotSent, &result), "{result:?}");
}

#[test]
fn silent_server_times_out() {
    // The connection stays in the listener's backlog without a response.
    let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).unwrap();
    let address = listener.local_addr().unwrap();
    let timeout = Duration::from_millis(50);
    let result = call(&client(address), Method::Get, timeout);
    assert!(matches(&Outcome::Timeout, &result), "{result:?}");
    assert!(result.unwrap_err().may_have_run());
}

#[test]
fn complete_responses_share_a_connection() {
    let server = Server::echo(ServerOptions::new());
    let client = client(server.address);
    for _ in 0..3 {
        let (status, body) = call(&client, Method::Get, TEST_TIMEOUT).unwrap();
        assert_eq!((status, body.as_str()), (200, "GET /a "));
    }
    assert!(server.ended.is_empty());
}

struct ReuseCase {
    response: &'static [u8],
    responses_per_connection: usize,
    connections: usize,
}

#[rstest]
#[case::reused(ReuseCase {
    response: b"HTTP/1.1 200 OK\r\ncontent-length: 1\r\n\r\na",
    responses_per_connection: 3,
    connections: 1,
})]
#[case::close_requested(ReuseCase {
    response: b"HTTP/1.1 200 OK\r\ncontent-length: 1\r\n\
        connection: close\r\n\r\na",
    responses_per_connection: 1,
    connections: 3,
})]
#[case::close_requested_in_a_list(ReuseCase {
    response: b"HTTP/1.1 200 OK\r\ncontent-length: 1\r\n\
        connection: x, Close\r\n\r\na",
    responses_per_connection: 3,
    connections: 3,
})]
#[case::surplus_bytes(ReuseCase {
    response: b"HTTP/1.1 200 OK\r\ncontent-length: 1\r\n\r\na\
        HTTP/1.1 200 OK\r\ncontent-length: 1\r\n\r\nb",
    responses_per_connection: 3,
    connections: 3,
})]
fn only_clean_connection_is_reused(#[case] case: ReuseCase) {
    let per_connection = case.responses_per_connection;
    let (address, accepted) = scripted(case.response, per_connection);
    let client = client(address);
    for _ in 0..3 {
        let response = call(&client, Method::Get, TEST_TIMEOUT).unwrap();
        assert_eq!(response, (200, "a".to_owned()));
    }
    assert_eq!(accepted.load(Ordering::SeqCst), case.connections);
}

struct UrlCase {
    target: &'static str,
    path: Option<&'static str>,
}

#[rstest]
#[case::path(UrlCase { target: "/a/b?c=d", path: Some("/a/b") })]
#[case::double_slash(UrlCase { target: "//a/b", path: Some("//a/b") })]
#[case::other_host(UrlCase { target: "http://x/a", path: None })]
#[case::relative(UrlCase { target: "a", path: None })]
#[case::empty(UrlCase { target: "", path: None })]
#[case::user(UrlCase { target: "@x/a", path: None })]
fn target_cannot_change_the_host(#[case] case: UrlCase) {
    let address = SocketAddr::from((Ipv4Addr::LOCALHOST, 8080));
    let url = client(address).url(case.target).ok();
    assert_eq!(url.as_ref().map(|url| url.path()), case.path);
    if let Some(url) = url {
        assert_eq!(url.host_str(), Some("127.0.0.1"));
        assert_eq!(url.port(), Some(8080));
    }
}

/// Pieces of a body with pauses in between.
struct PausesCase {
    pieces: usize,
    pause_ms: u64,
    is_complete: bool,
}

/// Limit on a pause in the body, and on the time until the head arrives.
const STALL_TIMEOUT: Duration = Duration::from_millis(400);
const PIECE_BYTES: usize = 100;

#[rstest]
#[case::slow_but_steady(PausesCase {
    pieces: 12, pause_ms: 60, is_complete: true,
})]
#[case::stalled(PausesCase {
    pieces: 2, pause_ms: 60_000, is_complete: false,
})]
fn only_a_pause_ends_a_response_with_a_stall_timeout(
    #[case] case: PausesCase,
) {
    let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).unwrap();
    let address = listener.local_addr().unwrap();
    let pause = Duration::from_millis(case.pause_ms);
    let length = case.pieces * PIECE_BYTES;
    thread::spawn(move || {
        let (mut socket, _) = listener.accept().unwrap();
        read_head(&mut socket);
        let head =
            format!("HTTP/1.1 200 OK\r\ncontent-length: {length}\r\n\r\n");
        let _ = socket.write_all(head.as_bytes());
        for _ in 0..case.pieces {
            let _ = socket.write_all(&[b'a'; PIECE_BYTES]);
            thread::sleep(pause);
        }
    });
    let options = ClientOptions::new().stall_timeout(STALL_TIMEOUT);
    let client = Client::new(address, options);
    match call(&client, Method::Get, STALL_TIMEOUT) {
        Ok((200, body)) => {
            assert!(case.is_complete);
            assert_eq!(body.len(), length);
        }
        Err(ClientError::Timeout { received_bytes, .. }) => {
            assert!(!case.is_complete);
            assert!(received_bytes >= PIECE_BYTES as u64, "{received_bytes}");
        }
        other => panic!("{other:?}"),
    }
}

/// Connections that were open together may all go silent.
#[test]
fn a_timeout_ends_the_use_of_all_idle_connections() {
    let response = b"HTTP/1.1 200 OK\r\ncontent-length: 0\r\n\r\n";
    let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).unwrap();
    let address = listener.local_addr().unwrap();
    thread::spawn(move || {
        for socket in listener.incoming() {
            // Each connection has one response and is silent afterwards.
            thread::spawn(move || {
                let mut socket = socket.unwrap();
                read_head(&mut socket);
                thread::sleep(Duration::from_millis(100));
                let _ = socket.write_all(response);
                thread::sleep(TEST_TIMEOUT);
            });
        }
    });
    let client = Arc::new(client(address));
    let call_in_thread = || {
        let client = client.clone();
        thread::spawn(move || call(&client, Method::Get, TEST_TIMEOUT))
    };
    let calls: Vec<_> = (0..3).map(|_| call_in_thread()).collect();
    for call in calls {
        call.join().unwrap().unwrap();
    }
    let timeout = Duration::from_millis(300);
    let silent = call(&client, Method::Get, timeout);
    assert!(matches!(silent, Err(ClientError::Timeout { .. })), "{silent:?}");
    call(&client, Method::Get, TEST_TIMEOUT / 2).unwrap();
}
