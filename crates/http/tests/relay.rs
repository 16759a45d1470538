//! Requests and responses that are forwarded unchanged.

use std::{
    io::{Read as _, Write as _},
    net::{Shutdown, SocketAddr, TcpListener, TcpStream},
    thread,
    time::Duration,
};

use async_io::Async;
use chestnutreach_http::relay::{
    Inbound, InboundError, InboundLimits, Outbound, RelayRequest,
    is_end_to_end,
};
use proptest::prelude::*;
use rstest::rstest;

const LIMITS: InboundLimits = InboundLimits {
    max_head_bytes: 16 << 10,
    max_body_bytes: 1_000,
    head_timeout: Duration::from_secs(5),
    body_timeout: Duration::from_secs(5),
    idle_timeout: Duration::from_secs(5),
};

/// Sends bytes, closes the connection and returns what the server received.
fn receive(bytes: &[u8]) -> Result<RelayRequest, InboundError> {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    let bytes = bytes.to_vec();
    let caller = thread::spawn(move || {
        let mut stream = TcpStream::connect(address).unwrap();
        // The server may have responded and closed the connection already.
        let _ = stream.write_all(&bytes);
        let _ = stream.shutdown(Shutdown::Write);
        let mut rest = Vec::new();
        let _ = stream.read_to_end(&mut rest);
    });
    let result = async_io::block_on(async {
        let (socket, _) = listener.accept().unwrap();
        let mut inbound = Inbound::new(Async::new(socket).unwrap()).unwrap();
        inbound.wait_for_bytes().await?;
        inbound.receive(&LIMITS).await
    });
    caller.join().unwrap();
    result
}

#[test]
fn request_is_received_unchanged() {
    let request = receive(
        b"POST /a%20b/?x=1 HTTP/1.1\r\nHost: h.example\r\nX-Odd: a  b\r\n\
          x-odd: c\r\nContent-Length: 3\r\n\r\nabc",
    )
    .unwrap();
    assert_eq!(request.method, "POST");
    assert_eq!(request.target, "/a%20b/?x=1");
    assert_eq!(request.path(), "/a%20b/");
    assert_eq!(request.headers[1].name, "X-Odd");
    assert_eq!(request.headers[1].value, "a  b");
    assert_eq!(request.headers[2].name, "x-odd");
    assert_eq!(request.body, b"abc");
    assert!(!request.wants_close);
}

#[test]
fn long_head_within_the_limit_is_accepted() {
    let long = "y".repeat(12 << 10);
    let head = format!("GET / HTTP/1.1\r\nHost: h\r\nX: {long}\r\n\r\n");
    let request = receive(head.as_bytes()).unwrap();
    assert_eq!(request.header("x").unwrap().len(), 12 << 10);
}

struct Rejected {
    bytes: &'static [u8],
    status: u16,
}

#[rstest]
#[case(Rejected {
    bytes: b"GET / HTTP/1.0\r\nHost: h\r\n\r\n", status: 505
})]
#[case(Rejected { bytes: b"GET / HTTP/1.1\r\n\r\n", status: 400 })]
#[case(Rejected {
    bytes: b"GET h HTTP/1.1\r\nHost: h\r\n\r\n", status: 400
})]
#[case(Rejected {
    bytes: b"POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 9999\r\n\r\n",
    status: 413,
})]
#[case(Rejected {
    bytes: b"POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 9\r\n\r\nabc",
    status: 400,
})]
#[case(Rejected {
    bytes: b"POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: gzip\r\n\r\n",
    status: 501,
})]
fn malformed_request_gets_its_status(#[case] rejected: Rejected) {
    match receive(rejected.bytes) {
        Err(InboundError::Refused(why)) => {
            assert_eq!(why.status, rejected.status, "{why}");
        }
        other => panic!("{other:?}"),
    }
}

/// How a server ends the connection after the response.
#[derive(Clone, Copy, Debug)]
enum ConnectionEnd {
    Closes,
    Resets,
}

/// Starts a server that responds to one request with these bytes.
fn server(bytes: &'static [u8], end: ConnectionEnd) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    thread::spawn(move || {
        let (mut stream, _) = listener.accept().unwrap();
        if matches!(end, ConnectionEnd::Closes) {
            let mut request = [0; 64];
            let _ = stream.read(&mut request);
        }
        let _ = stream.write_all(bytes);
        // Closing with an unread request resets the connection.
        if matches!(end, ConnectionEnd::Resets) {
            thread::sleep(Duration::from_millis(100));
        }
    });
    address
}

fn fetch(address: SocketAddr) -> Result<(u16, Vec<u8>, bool), String> {
    async_io::block_on(async {
        let mut connection =
            Outbound::connect(address, Duration::from_secs(1))
                .await
                .map_err(|e| e.to_string())?;
        let send = connection.send(b"GET / HTTP/1.1\r\nHost: h\r\n\r\n");
        send.await.map_err(|e| e.to_string())?;
        let head = connection.read_head().await.map_err(|e| e.to_string())?;
        let body = connection.read_body(head.body("GET"), 1_000).await;
        let body = body.map_err(|e| e.to_string())?;
        connection.finish(&head);
        Ok((head.status, body, connection.is_reusable()))
    })
}

struct Case {
    bytes: &'static [u8],
    end: ConnectionEnd,
    body: Option<&'static [u8]>,
}

#[rstest]
#[case::length(Case {
    bytes: b"HTTP/1.1 200 x\r\nContent-Length: 2\r\n\r\nab",
    end: ConnectionEnd::Closes, body: Some(b"ab"),
})]
#[case::chunks(Case {
    bytes: b"HTTP/1.1 200 x\r\nTransfer-Encoding: chunked\r\n\r\n\
             1\r\na\r\n1\r\nb\r\n0\r\n\r\n",
    end: ConnectionEnd::Closes, body: Some(b"ab"),
})]
#[case::until_closed(Case {
    bytes: b"HTTP/1.1 200 x\r\n\r\nab", end: ConnectionEnd::Closes, body: Some(b"ab"),
})]
#[case::until_closed_and_reset(Case {
    bytes: b"HTTP/1.1 200 x\r\n\r\nab", end: ConnectionEnd::Resets, body: None,
})]
#[case::interim_first(Case {
    bytes: b"HTTP/1.1 100 x\r\n\r\nHTTP/1.1 200 x\r\n\
             Content-Length: 2\r\n\r\nab",
    end: ConnectionEnd::Closes, body: Some(b"ab"),
})]
#[case::body_shorter_than_stated(Case {
    bytes: b"HTTP/1.1 200 x\r\nContent-Length: 5\r\n\r\nab",
    end: ConnectionEnd::Closes, body: None,
})]
#[case::no_last_chunk(Case {
    bytes: b"HTTP/1.1 200 x\r\nTransfer-Encoding: chunked\r\n\r\n\
             1\r\na\r\n",
    end: ConnectionEnd::Closes, body: None,
})]
#[case::malformed_response(Case {
    bytes: b"what is this\r\n\r\n", end: ConnectionEnd::Closes, body: None,
})]
#[case::empty_response(Case { bytes: b"", end: ConnectionEnd::Closes, body: None })]
fn incomplete_response_is_an_error(#[case] case: Case) {
    let result = fetch(server(case.bytes, case.end));
    match case.body {
        Some(body) => assert_eq!(result.unwrap().1, body),
        None => assert!(result.is_err(), "{result:?}"),
    }
}

#[test]
fn connection_with_surplus_bytes_is_not_reused() {
    let bytes = b"HTTP/1.1 200 x\r\nContent-Length: 2\r\n\r\nabHTTP/1.1";
    let (_, body, is_reusable) =
        fetch(server(bytes, ConnectionEnd::Closes)).unwrap();
    assert_eq!(body, b"ab");
    assert!(!is_reusable);
}

#[rstest]
#[case("X-Any", None, true)]
#[case("Connection", None, false)]
#[case("transfer-encoding", None, false)]
#[case("X-Hop", Some("close, x-hop"), false)]
#[case("X-Hop", Some("close"), true)]
fn hop_by_hop_headers_are_not_forwarded(
    #[case] name: &str,
    #[case] connection: Option<&str>,
    #[case] is_forwarded: bool,
) {
    assert_eq!(is_end_to_end(name, connection), is_forwarded);
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(60))]

    #[test]
    fn arbitrary_bytes_are_received_rejected_or_closed(
        bytes in prop::collection::vec(any::<u8>(), 1..300),
    ) {
        // A rejected request has an error status.
        if let Err(InboundError::Refused(why)) = receive(&bytes) {
            prop_assert!((400..600).contains(&why.status));
        }
    }
}
