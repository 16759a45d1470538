//! Requests and answers that are passed on as they came.

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

/// Sends bytes and closes; what the server makes of them.
fn receive(bytes: &[u8]) -> Result<RelayRequest, InboundError> {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    let bytes = bytes.to_vec();
    let caller = thread::spawn(move || {
        let mut stream = TcpStream::connect(address).unwrap();
        // The server may have answered and closed by then.
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
fn a_request_is_kept_as_it_came() {
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
fn a_long_head_within_the_limit_is_taken() {
    let long = "y".repeat(12 << 10);
    let head = format!("GET / HTTP/1.1\r\nHost: h\r\nX: {long}\r\n\r\n");
    let request = receive(head.as_bytes()).unwrap();
    assert_eq!(request.header("x").unwrap().len(), 12 << 10);
}

struct Refused {
    bytes: &'static [u8],
    status: u16,
}

#[rstest]
#[case(Refused {
    bytes: b"GET / HTTP/1.0\r\nHost: h\r\n\r\n", status: 505
})]
#[case(Refused { bytes: b"GET / HTTP/1.1\r\n\r\n", status: 400 })]
#[case(Refused {
    bytes: b"GET h HTTP/1.1\r\nHost: h\r\n\r\n", status: 400
})]
#[case(Refused {
    bytes: b"POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 9999\r\n\r\n",
    status: 413,
})]
#[case(Refused {
    bytes: b"POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 9\r\n\r\nabc",
    status: 400,
})]
#[case(Refused {
    bytes: b"POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: gzip\r\n\r\n",
    status: 501,
})]
fn what_is_malformed_has_its_status(#[case] refused: Refused) {
    match receive(refused.bytes) {
        Err(InboundError::Refused(why)) => {
            assert_eq!(why.status, refused.status, "{why}");
        }
        other => panic!("{other:?}"),
    }
}

/// How a server ends its connection after its bytes.
#[derive(Clone, Copy, Debug)]
enum End {
    Closes,
    Resets,
}

/// A server that reads a request and sends these bytes.
fn server(bytes: &'static [u8], end: End) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    thread::spawn(move || {
        let (mut stream, _) = listener.accept().unwrap();
        if matches!(end, End::Closes) {
            let mut request = [0; 64];
            let _ = stream.read(&mut request);
        }
        let _ = stream.write_all(bytes);
        // Closing with an unread request resets the connection.
        if matches!(end, End::Resets) {
            thread::sleep(Duration::from_millis(100));
        }
    });
    address
}

fn ask(address: SocketAddr) -> Result<(u16, Vec<u8>, bool), String> {
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

struct Answer {
    bytes: &'static [u8],
    end: End,
    body: Option<&'static [u8]>,
}

#[rstest]
#[case::length(Answer {
    bytes: b"HTTP/1.1 200 x\r\nContent-Length: 2\r\n\r\nab",
    end: End::Closes, body: Some(b"ab"),
})]
#[case::chunks(Answer {
    bytes: b"HTTP/1.1 200 x\r\nTransfer-Encoding: chunked\r\n\r\n\
             1\r\na\r\n1\r\nb\r\n0\r\n\r\n",
    end: End::Closes, body: Some(b"ab"),
})]
#[case::until_closed(Answer {
    bytes: b"HTTP/1.1 200 x\r\n\r\nab", end: End::Closes, body: Some(b"ab"),
})]
#[case::until_closed_and_reset(Answer {
    bytes: b"HTTP/1.1 200 x\r\n\r\nab", end: End::Resets, body: None,
})]
#[case::interim_first(Answer {
    bytes: b"HTTP/1.1 100 x\r\n\r\nHTTP/1.1 200 x\r\n\
             Content-Length: 2\r\n\r\nab",
    end: End::Closes, body: Some(b"ab"),
})]
#[case::short(Answer {
    bytes: b"HTTP/1.1 200 x\r\nContent-Length: 5\r\n\r\nab",
    end: End::Closes, body: None,
})]
#[case::no_last_chunk(Answer {
    bytes: b"HTTP/1.1 200 x\r\nTransfer-Encoding: chunked\r\n\r\n\
             1\r\na\r\n",
    end: End::Closes, body: None,
})]
#[case::no_answer(Answer {
    bytes: b"what is this\r\n\r\n", end: End::Closes, body: None,
})]
#[case::nothing(Answer { bytes: b"", end: End::Closes, body: None })]
fn an_answer_is_whole_or_an_error(#[case] answer: Answer) {
    let result = ask(server(answer.bytes, answer.end));
    match answer.body {
        Some(body) => assert_eq!(result.unwrap().1, body),
        None => assert!(result.is_err(), "{result:?}"),
    }
}

#[test]
fn a_connection_with_unasked_bytes_is_not_used_again() {
    let bytes = b"HTTP/1.1 200 x\r\nContent-Length: 2\r\n\r\nabHTTP/1.1";
    let (_, body, is_reusable) = ask(server(bytes, End::Closes)).unwrap();
    assert_eq!(body, b"ab");
    assert!(!is_reusable);
}

#[rstest]
#[case("X-Any", None, true)]
#[case("Connection", None, false)]
#[case("transfer-encoding", None, false)]
#[case("X-Hop", Some("close, x-hop"), false)]
#[case("X-Hop", Some("close"), true)]
fn headers_of_one_connection_are_not_passed_on(
    #[case] name: &str,
    #[case] connection: Option<&str>,
    #[case] is_passed: bool,
) {
    assert_eq!(is_end_to_end(name, connection), is_passed);
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(60))]

    #[test]
    fn no_bytes_of_a_client_do_harm(
        bytes in prop::collection::vec(any::<u8>(), 1..300),
    ) {
        // It is taken, refused with a status, or ended.
        if let Err(InboundError::Refused(why)) = receive(&bytes) {
            prop_assert!((400..600).contains(&why.status));
        }
    }
}
