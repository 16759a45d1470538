//! Connections over their life: reuse, hanging up, streamed answers.

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

use support::{Answer, PATIENCE, Server, read_until, text_response};

const GET: &[u8] = b"GET /a HTTP/1.1\r\nhost: a\r\n\r\n";

/// The next item, or a panic when none comes.
fn next<T>(items: &Receiver<T>) -> T {
    let give_up = async {
        async_io::Timer::after(PATIENCE).await;
        panic!("nothing came")
    };
    block_on(items.recv().or(give_up)).unwrap()
}

/// A server that hands the connection of each request to the test and
/// answers only when that has hung up.
fn waiting_server() -> (Server, Receiver<()>, Receiver<()>) {
    let (send_begun, begun) = async_channel::unbounded();
    let (send_gone, gone) = async_channel::unbounded();
    let wait = move |received: ReceivedRequest| -> Answer {
        let (begun, gone) = (send_begun.clone(), send_gone.clone());
        Box::pin(async move {
            begun.send(()).await.unwrap();
            received.connection.peer_closed().await;
            gone.send(()).await.unwrap();
            text_response("too late")
        })
    };
    (Server::start(ServerOptions::new(), wait), begun, gone)
}

/// A server whose answers are written by the test.
fn streaming_server() -> (Server, Receiver<(BodyWriter, SharedStream)>) {
    let (send_writer, writers) = async_channel::unbounded();
    let stream = move |received: ReceivedRequest| -> Answer {
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
fn connection_is_used_again() {
    let server = Server::echo(ServerOptions::new());
    let mut socket = server.connect();
    for count in 1..=3 {
        socket.write_all(GET).unwrap();
        read_until(&mut socket, "GET /a ");
        assert_eq!(server.seen().len(), count);
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
fn slow_request_is_answered_408() {
    let options = ServerOptions::new().read_timeout(Duration::from_millis(50));
    let server = Server::echo(options);
    let part = b"POST / HTTP/1.1\r\nhost: a\r\ncontent-length: 9\r\n\r\nab";
    let answer = server.exchange(&[part], false);
    assert!(answer.starts_with("HTTP/1.1 408 "), "{answer}");
    assert!(server.seen().is_empty());
}

#[derive(Clone, Copy)]
enum HangUp {
    Close,
    HalfClose,
    /// The next request follows before the caller goes.
    CloseAfterMore,
}

#[rstest]
#[case::close(HangUp::Close)]
#[case::half_close(HangUp::HalfClose)]
#[case::close_after_more(HangUp::CloseAfterMore)]
fn hang_up_is_noticed(#[case] how: HangUp) {
    let (server, begun, gone) = waiting_server();
    let mut socket = server.connect();
    socket.write_all(GET).unwrap();
    next(&begun);
    assert!(gone.is_empty());
    match how {
        HangUp::Close => drop(socket),
        HangUp::HalfClose => socket.shutdown(Shutdown::Write).unwrap(),
        HangUp::CloseAfterMore => {
            socket.write_all(GET).unwrap();
            drop(socket);
        }
    }
    next(&gone);
}

#[test]
fn waiting_caller_has_not_hung_up() {
    let (server, begun, gone) = waiting_server();
    let mut socket = server.connect();
    socket.write_all(GET).unwrap();
    next(&begun);
    socket.write_all(GET).unwrap();
    std::thread::sleep(Duration::from_millis(300));
    assert!(gone.is_empty());
}

#[test]
fn streamed_parts_arrive_as_written() {
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
    // The connection goes on.
    socket.write_all(GET).unwrap();
    next(&writers).0.finish();
    read_until(&mut socket, "0\r\n\r\n");
}

/// Also when another task holds the connection to watch for a hang-up.
#[test]
fn dropped_body_ends_without_last_chunk() {
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
fn writer_hears_that_the_caller_has_gone() {
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

/// The end of the last answer shows at once, although the server reads on.
#[test]
fn refused_caller_sees_the_end_at_once() {
    const REFUSALS: u32 = 20;
    let server = Server::echo(ServerOptions::new());
    let start = Instant::now();
    for _ in 0..REFUSALS {
        server.exchange(&[b"GET\r\n\r\n"], false);
    }
    // Half a second for each would be ten seconds.
    assert!(start.elapsed() < Duration::from_secs(5));
}

/// A request that follows the last answered one must not reset the
/// connection before the answer is read.
#[test]
fn last_answer_survives_what_follows() {
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
