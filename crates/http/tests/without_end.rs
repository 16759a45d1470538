//! Peers that send bytes without an end and without a pause.

use std::{
    future::poll_fn,
    io::{ErrorKind, Write as _},
    net::{Ipv4Addr, SocketAddr, TcpListener, TcpStream},
    sync::mpsc,
    task::Poll,
    thread,
    time::Duration,
};

use async_io::{Timer, block_on};
use chestnutreach_http::{
    Client, ClientError, ClientOptions,
    relay::{Outbound, OutboundError, ResponseBody},
};
use futures_lite::FutureExt as _;
use rstest::rstest;

/// Bytes that a reader may take before it lets others run: five reads.
const MAX_TURN_BYTES: usize = 5 * (16 << 10);
/// Largest piece of a body: one read.
const MAX_PIECE_BYTES: usize = 16 << 10;
const TEST_TIMEOUT: Duration = Duration::from_secs(10);

/// Starts a server that sends these bytes once and those again and again. The
/// receiver gets a message once the buffers of a connection are full.
fn server(
    begin: &'static [u8],
    repeated: Vec<u8>,
) -> (SocketAddr, mpsc::Receiver<()>) {
    let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).unwrap();
    let address = listener.local_addr().unwrap();
    let (sender, is_full) = mpsc::channel();
    thread::spawn(move || {
        let (mut socket, _) = listener.accept().unwrap();
        socket.write_all(begin).unwrap();
        send_without_end(&mut socket, &repeated, &sender);
    });
    (address, is_full)
}

fn send_without_end(
    socket: &mut TcpStream,
    repeated: &[u8],
    is_full: &mpsc::Sender<()>,
) {
    socket.set_nonblocking(true).unwrap();
    loop {
        match socket.write(repeated) {
            Ok(_) => {}
            Err(e) if e.kind() == ErrorKind::WouldBlock => {
                // The test may have ended.
                let _ = is_full.send(());
                thread::sleep(Duration::from_millis(1));
            }
            Err(_) => return,
        }
    }
}

#[test]
fn a_reader_lets_others_run_although_bytes_never_pause() {
    let begin = b"HTTP/1.1 200 x\r\n\r\n";
    let (address, is_full) = server(begin, vec![b'a'; 64 << 10]);
    block_on(async {
        let mut connection =
            Outbound::connect(address, TEST_TIMEOUT).await.unwrap();
        connection.read_head().await.unwrap();
        is_full.recv_timeout(TEST_TIMEOUT).unwrap();
        let mut received = 0;
        let mut body = ResponseBody::UntilClosed;
        let mut read = Box::pin(async {
            while let Ok(Some(bytes)) = connection.next_bytes(&mut body).await
            {
                received += bytes.len();
            }
        });
        let polled = poll_fn(|cx| Poll::Ready(read.as_mut().poll(cx))).await;

        assert!(polled.is_pending());
        drop(read);
        assert!(received <= MAX_TURN_BYTES, "{received} bytes in one turn");
    });
}

/// Where a server sends without an end.
#[derive(Clone, Copy, Debug)]
struct Case {
    begin: &'static [u8],
    repeated: &'static [u8],
    /// Words of the error, if the response is to fail at once.
    error: Option<&'static str>,
}

/// Reads a response without an end until it fails or a megabyte has arrived.
/// Returns the error, and the size of the largest piece of the body.
async fn read(address: SocketAddr) -> (Option<OutboundError>, usize) {
    let mut connection =
        Outbound::connect(address, TEST_TIMEOUT).await.unwrap();
    let head = match connection.read_head().await {
        Ok(head) => head,
        Err(e) => return (Some(e), 0),
    };
    let mut body = head.body("GET");
    let (mut received, mut largest) = (0, 0);
    while received < 1 << 20 {
        match connection.next_bytes(&mut body).await {
            Ok(Some(bytes)) => {
                received += bytes.len();
                largest = largest.max(bytes.len());
            }
            Ok(None) => panic!("the response has no end"),
            Err(e) => return (Some(e), largest),
        }
    }
    (None, largest)
}

#[rstest]
#[case::garbage(Case {
    begin: b"", repeated: b"a", error: Some("the head is longer"),
})]
#[case::header_lines(Case {
    begin: b"HTTP/1.1 200 x\r\n", repeated: b"x: 1\r\n",
    error: Some("the head is longer"),
})]
#[case::interim_responses(Case {
    begin: b"", repeated: b"HTTP/1.1 100 x\r\n\r\n",
    error: Some("more than 8 interim responses"),
})]
#[case::size_of_a_chunk(Case {
    begin: b"HTTP/1.1 200 x\r\ntransfer-encoding: chunked\r\n\r\n",
    repeated: b"0", error: Some("the chunks are malformed"),
})]
#[case::trailers(Case {
    begin: b"HTTP/1.1 200 x\r\ntransfer-encoding: chunked\r\n\r\n0\r\n",
    repeated: b"x: 1\r\n", error: Some("the chunks are malformed"),
})]
#[case::chunk(Case {
    begin: b"HTTP/1.1 200 x\r\ntransfer-encoding: chunked\r\n\r\n\
             e8d4a51000\r\n",
    repeated: b"a", error: None,
})]
#[case::body_with_a_length(Case {
    begin: b"HTTP/1.1 200 x\r\ncontent-length: 1000000000000\r\n\r\n",
    repeated: b"a", error: None,
})]
fn a_response_without_an_end_fails_or_arrives_in_small_pieces(
    #[case] case: Case,
) {
    let repeated = case.repeated.repeat(4_096);
    let (address, _is_full) = server(case.begin, repeated);
    let (error, largest) = block_on(read(address));
    assert!(largest <= MAX_PIECE_BYTES, "a piece of {largest} bytes");
    let error = error.map(|e| e.to_string());
    assert_eq!(error.is_some(), case.error.is_some(), "{error:?}");
    if let (Some(error), Some(words)) = (error, case.error) {
        assert!(error.contains(words), "{error}");
    }
}

#[test]
fn a_client_gives_up_after_interim_responses_without_an_end() {
    let repeated = b"HTTP/1.1 100 x\r\n\r\n".repeat(4_096);
    let (address, _is_full) = server(b"", repeated);
    let client = Client::new(address, ClientOptions::new());
    let request = client.get("/").unwrap();
    let error = block_on(client.send(request, TEST_TIMEOUT)).unwrap_err();
    assert!(matches!(error, ClientError::Lost { .. }), "{error}");
}

#[test]
fn an_idle_connection_ends_with_bytes_that_belong_to_no_response() {
    let (address, is_full) = server(b"", vec![b'a'; 64 << 10]);
    block_on(async {
        let connection =
            Outbound::connect(address, TEST_TIMEOUT).await.unwrap();
        is_full.recv_timeout(TEST_TIMEOUT).unwrap();
        let ended = async {
            connection.idle_ended().await;
            true
        };
        let limit = async {
            Timer::after(TEST_TIMEOUT).await;
            false
        };
        assert!(ended.or(limit).await);
    });
}
