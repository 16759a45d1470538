//! Lifecycle of connections: reuse, disconnects, streamed responses.

mod support;

use std::{
    io::{Read as _, Write as _},
    net::Shutdown,
    time::{Duration, Instant},
};

use async_channel::Receiver;
use async_io::block_on;
use chestnutreach_http::{
    ReceivedRequest, ServerOptions, SharedStream,
    body::{self, BodyWriter},
};
use futures_lite::FutureExt as _;
use http_types::{Response, StatusCode};
use rstest::rstest;

use support::{
    ResponseFuture, Server, TEST_TIMEOUT, read_until, text_response,
};

const GET: &[u8] = b"GET /a HTTP/1.1\r\nhost: a\r\n\r\n";

/// Returns the next item; panics on a timeout.
fn next<T>(items: &Receiver<T>) -> T {
    let timeout = async {
        async_io::Timer::after(TEST_TIMEOUT).await;
        panic!("nothing was received")
    };
    block_on(items.recv().or(timeout)).unwrap()
}

/// A server that responds to a request only after the caller has
/// disconnected. The channels signal the start of each request and the
/// disconnect.
fn waiting_server() -> (Server, Receiver<()>, Receiver<()>) {
    let (send_started, started) = async_channel::unbounded();
    let (send_closed, closed) = async_channel::unbounded();
    let wait = move |received: ReceivedRequest| -> ResponseFuture {
        let (started, closed) = (send_started.clone(), send_closed.clone());
        Box::pin(async move {
            started.send(()).await.unwrap();
            received.connection.peer_closed().await;
            closed.send(()).await.unwrap();
            text_response("too late")
        })
    };
    (Server::start(ServerOptions::new(), wait), started, closed)
}

/// A server whose response bodies the test writes.
fn streaming_server() -> (Server, Receiver<(BodyWriter, SharedStream)>) {
    let (send_writer, writers) = async_channel::unbounded();
    let stream = move |received: ReceivedRequest| -> ResponseFuture {
        let (writer, body) = body::channel();
        let connection = received.connection;
        send_writer.try_send((writer, connection)).ok().unwrap();
        let mut response = Response::new(StatusCode::Ok);
        response.set_body(body);
        Box::pin(async move { response })
    };
    (Server::start(ServerOptions::new(), stream), writers)
}

#[test]
fn connection_is_reused() {
    let server = Server::echo(ServerOptions::new());
    let mut socket = server.connect();
    for count in 1..=3 {
        socket.write_all(GET).unwrap();
        read_until(&mut socket, "GET /a ");
        assert_eq!(server.handled().len(), count);
    }
    socket.shutdown(Shutdown::Write).unwrap();
    let mut rest = Vec::new();
    socket.read_to_end(&mut rest).unwrap();
    assert!(rest.is_empty());
    assert!(next(&server.ended).is_ok());
}

#[test]
fn idle_connection_is_closed() {
    let options = ServerOptions::new().idle_timeout(Duration::from_millis(50));
    let server = Server::echo(options);
    assert_eq!(server.exchange(&[], false), "");
    assert!(next(&server.ended).is_ok());
}

#[test]
fn slow_request_gets_status_408() {
    let options = ServerOptions::new().read_timeout(Duration::from_millis(50));
    let server = Server::echo(options);
    let part = b"POST / HTTP/1.1\r\nhost: a\r\ncontent-length: 9\r\n\r\nab";
    let response = server.exchange(&[part], false);
    assert!(response.starts_with("HTTP/1.1 408 "), "{response}");
    assert!(server.handled().is_empty());
}

#[derive(Clone, Copy)]
enum Disconnect {
    Close,
    HalfClose,
    /// The caller sends the next request before it disconnects.
    CloseAfterRequest,
}

#[rstest]
#[case::close(Disconnect::Close)]
#[case::half_close(Disconnect::HalfClose)]
#[case::close_after_request(Disconnect::CloseAfterRequest)]
fn disconnect_of_the_caller_is_detected(#[case] how: Disconnect) {
    let (server, started, closed) = waiting_server();
    let mut socket = server.connect();
    socket.write_all(GET).unwrap();
    next(&started);
    assert!(closed.is_empty());
    match how {
        Disconnect::Close => drop(socket),
        Disconnect::HalfClose => socket.shutdown(Shutdown::Write).unwrap(),
        Disconnect::CloseAfterRequest => {
            socket.write_all(GET).unwrap();
            drop(socket);
        }
    }
    next(&closed);
}

#[test]
fn pipelined_request_does_not_count_as_disconnect() {
    let (server, started, closed) = waiting_server();
    let mut socket = server.connect();
    socket.write_all(GET).unwrap();
    next(&started);
    socket.write_all(GET).unwrap();
    std::thread::sleep(Duration::from_millis(300));
    assert!(closed.is_empty());
}

#[test]
fn streamed_chunks_arrive_as_written() {
    let (server, writers) = streaming_server();
    let mut socket = server.connect();
    socket.write_all(GET).unwrap();
    let (writer, _) = next(&writers);
    assert!(writer.write(b"first".to_vec()));
    read_until(&mut socket, "5\r\nfirst\r\n");
    assert!(writer.write(b"second".to_vec()));
    read_until(&mut socket, "6\r\nsecond\r\n");
    writer.finish();
    read_until(&mut socket, "0\r\n\r\n");
    // The connection stays open.
    socket.write_all(GET).unwrap();
    next(&writers).0.finish();
    read_until(&mut socket, "0\r\n\r\n");
}

/// The connection closes even if another task holds the connection to detect
/// a disconnect.
#[test]
fn dropped_body_closes_the_connection_without_last_chunk() {
    let (server, writers) = streaming_server();
    let mut socket = server.connect();
    socket.write_all(GET).unwrap();
    let (writer, connection) = next(&writers);
    writer.write(b"part".to_vec());
    read_until(&mut socket, "4\r\npart\r\n");
    drop(writer);
    let mut rest = Vec::new();
    socket.read_to_end(&mut rest).expect("the server closes");
    assert!(rest.is_empty(), "{rest:?}");
    assert!(next(&server.ended).is_err());
    drop(connection);
}

#[test]
fn writer_detects_disconnect_of_the_caller() {
    let (server, writers) = streaming_server();
    let mut socket = server.connect();
    socket.write_all(GET).unwrap();
    let (writer, connection) = next(&writers);
    drop(socket);
    block_on(connection.peer_closed());
    // A write to the closed connection fails, at the latest the second one.
    while writer.write(vec![b'x'; 1024]) {
        std::thread::sleep(Duration::from_millis(5));
    }
    block_on(writer.reader_dropped());
}

/// The caller sees the end of the last response at once, although the server
/// still drains the connection.
#[test]
fn rejected_caller_sees_the_end_of_the_response_at_once() {
    const REJECTED_REQUESTS: u32 = 20;
    let server = Server::echo(ServerOptions::new());
    let start = Instant::now();
    for _ in 0..REJECTED_REQUESTS {
        server.exchange(&[b"GET\r\n\r\n"], false);
    }
    // Waiting half a second for each would take ten seconds.
    assert!(start.elapsed() < Duration::from_secs(5));
}

/// A request after the last response must not reset the connection before the
/// caller has read the response.
#[test]
fn last_response_arrives_despite_another_request() {
    let server = Server::start(ServerOptions::new(), |_| {
        let mut response = text_response(&"x".repeat(100_000));
        response.insert_header("connection", "close");
        Box::pin(async move { response })
    });
    for _ in 0..20 {
        let mut socket = server.connect();
        socket.write_all(GET).unwrap();
        read_until(&mut socket, "HTTP/1.1 200 OK");
        socket.write_all(GET).unwrap();
        std::thread::sleep(Duration::from_millis(10));
        let mut rest = Vec::new();
        socket.read_to_end(&mut rest).expect("no reset");
        assert!(rest.ends_with(b"xxx"));
    }
}
