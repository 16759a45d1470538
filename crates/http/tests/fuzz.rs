//! Arbitrary and nearly valid requests, with fixed seeds.
//!
//! `PROPTEST_CASES` sets the number of cases.

mod support;

use std::{
    io,
    pin::Pin,
    sync::{Arc, Mutex},
    task::{Context, Poll},
};

use async_io::block_on;
use chestnutreach_http::{
    ServerOptions,
    head::{self, BodyFraming},
};
use futures_lite::{AsyncRead, AsyncWrite, FutureExt as _};
use proptest::{
    prelude::*,
    sample::select,
    test_runner::{Config, RngAlgorithm, TestRng, TestRunner},
};

use support::{Server, TEST_TIMEOUT};

fn runner() -> TestRunner {
    let config = Config { failure_persistence: None, ..Config::default() };
    let seed = TestRng::deterministic_rng(RngAlgorithm::ChaCha);
    TestRunner::new_with_rng(config, seed)
}

/// A head whose lines are mostly valid.
fn head() -> impl Strategy<Value = Vec<u8>> {
    let request_line = select(vec![
        "GET /a?b=c HTTP/1.1",
        "POST /a HTTP/1.1",
        "DELETE http://b/a HTTP/1.1",
        "CONNECT b:80 HTTP/1.1",
        "OPTIONS * HTTP/1.1",
        "BREW /a HTTP/1.1",
        "GET /é HTTP/1.1",
        "GET / HTTP/1.0",
        "GET  / HTTP/1.1",
    ]);
    let name = select(vec![
        "host",
        "Host",
        "content-length",
        "Content-Length",
        "transfer-encoding",
        "connection",
        "x",
        "x y",
        "",
    ]);
    let value = select(vec![
        "a",
        "[::1]:80",
        "a b",
        "a/b",
        "0",
        "3",
        "03",
        "+3",
        "-1",
        "3,3",
        "18446744073709551616",
        "chunked",
        "Chunked",
        "gzip, chunked",
        "chunked, chunked",
        "close",
        "é",
        "",
        "\t3 ",
        "\u{b}",
    ]);
    let end = prop_oneof![9 => Just("\r\n"), 1 => Just("\n"), 1 => Just("\r")];
    let line = (name, select(vec![":", ": ", " :", ""]), value, end).prop_map(
        |(name, colon, value, end)| format!("{name}{colon}{value}{end}"),
    );
    let valid_line = select(vec![
        "x: a\r\n",
        "connection: close\r\n",
        "content-length: 0\r\n",
        "content-length: 3\r\n",
        "transfer-encoding: chunked\r\n",
    ]);
    let line = prop_oneof![4 => valid_line.prop_map(str::to_owned), 1 => line];
    let lines = proptest::collection::vec(line, 0..4);
    let has_host = proptest::bool::weighted(0.9);
    (request_line, has_host, lines).prop_map(
        |(request_line, has_host, lines)| {
            let host = if has_host { "host: a\r\n" } else { "" };
            let lines = lines.concat();
            format!("{request_line}\r\n{host}{lines}\r\n").into_bytes()
        },
    )
}

/// Overwrites up to two bytes.
fn mutated(
    bytes: impl Strategy<Value = Vec<u8>>,
) -> impl Strategy<Value = Vec<u8>> {
    let change = (any::<prop::sample::Index>(), any::<u8>());
    let changes = prop_oneof![
        Just(Vec::new()),
        proptest::collection::vec(change, 1..3),
    ];
    (bytes, changes).prop_map(|(mut bytes, changes)| {
        for (index, byte) in changes {
            if !bytes.is_empty() {
                let at = index.index(bytes.len());
                bytes[at] = byte;
            }
        }
        bytes
    })
}

/// The body framing that `async-h1` determines, or None if `async-h1` rejects
/// the head.
fn decoded_framing(head: Vec<u8>) -> Option<BodyFraming> {
    let stream = HeadStream(Arc::new(Mutex::new(io::Cursor::new(head))));
    let decoded = block_on(async_h1::server::decode(stream)).ok()??;
    let (request, reader) = decoded;
    Some(match format!("{reader:?}").as_str() {
        "BodyReader::Chunked" => BodyFraming::Chunked,
        "BodyReader::Fixed" => match request.len() {
            Some(0) => BodyFraming::None,
            length => BodyFraming::Length(length.unwrap() as u64),
        },
        _ => BodyFraming::None,
    })
}

#[test]
fn accepted_heads_have_the_framing_of_async_h1() {
    let agreed = Mutex::new(0);
    let outcome = runner().run(&mutated(head()), |head| {
        if let Ok(info) = head::check_request(&head)
            && let Some(framing) = decoded_framing(head)
        {
            prop_assert_eq!(info.framing, framing);
            *agreed.lock().unwrap() += 1;
        }
        Ok(())
    });
    outcome.unwrap();
    let agreed = agreed.into_inner().unwrap();
    assert!(agreed >= 10, "only {agreed} heads accepted");
}

#[test]
fn arbitrary_head_does_not_panic() {
    let bytes = proptest::collection::vec(any::<u8>(), 0..200);
    let outcome = runner().run(&bytes, |mut bytes| {
        bytes.extend_from_slice(b"\r\n\r\n");
        let _ = head::check_request(&bytes);
        Ok(())
    });
    outcome.unwrap();
}

/// A complete request, and what the handler should receive.
fn complete_request() -> impl Strategy<Value = (Vec<u8>, String)> {
    let part = || proptest::collection::vec(b'a'..=b'z', 1..9);
    let sized = part().prop_map(|body| {
        let body = String::from_utf8(body).unwrap();
        let length = body.len();
        let request = format!(
            "POST /s HTTP/1.1\r\nhost: a\r\n\
             content-length: {length}\r\n\r\n{body}"
        );
        (request.into_bytes(), format!("POST /s {body}"))
    });
    let chunks = proptest::collection::vec(part(), 0..4);
    let chunked = chunks.prop_map(|parts| {
        let mut request = b"PUT /c HTTP/1.1\r\nhost: a\r\n\
            transfer-encoding: chunked\r\n\r\n"
            .to_vec();
        for part in &parts {
            request.extend(format!("{:x}\r\n", part.len()).into_bytes());
            request.extend(part);
            request.extend(b"\r\n");
        }
        request.extend(b"0\r\n\r\n");
        let body = String::from_utf8(parts.concat()).unwrap();
        (request, format!("PUT /c {body}"))
    });
    let bare = Just((
        b"GET /b HTTP/1.1\r\nhost: a\r\n\r\n".to_vec(),
        "GET /b ".to_owned(),
    ));
    prop_oneof![sized, chunked, bare]
}

/// Waits until the server has closed the connection.
fn await_end(server: &Server) {
    let timeout = async {
        async_io::Timer::after(TEST_TIMEOUT).await;
        panic!("the connection stays open")
    };
    let _ = block_on(server.ended.recv().or(timeout)).unwrap();
}

/// Wherever the stream is truncated, the handler receives the complete
/// requests before that point and nothing of the truncated request.
#[test]
fn handler_receives_only_complete_requests() {
    let server = Server::echo(ServerOptions::new());
    let requests = proptest::collection::vec(complete_request(), 1..4);
    let cases = (requests, any::<prop::sample::Index>());
    let outcome = runner().run(&cases, |(requests, cut)| {
        server.handled.lock().unwrap().clear();
        let mut sent = Vec::new();
        let mut ends = Vec::new();
        for (bytes, _) in &requests {
            sent.extend(bytes);
            ends.push(sent.len());
        }
        let cut = cut.index(sent.len() + 1);
        server.exchange(&[&sent[..cut]], true);
        await_end(&server);
        let complete_count = ends.iter().filter(|end| **end <= cut).count();
        let expected: Vec<String> = requests[..complete_count]
            .iter()
            .map(|(_, handled)| handled.clone())
            .collect();
        prop_assert_eq!(server.handled(), expected);
        Ok(())
    });
    outcome.unwrap();
}

#[test]
fn arbitrary_stream_ends_the_connection() {
    let server = Server::echo(ServerOptions::new());
    let random = proptest::collection::vec(any::<u8>(), 0..300);
    let requests = proptest::collection::vec(complete_request(), 1..4);
    let corrupted = mutated(requests.prop_map(|requests| {
        requests.into_iter().flat_map(|(bytes, _)| bytes).collect()
    }));
    let streams = prop_oneof![random, corrupted, mutated(head())];
    let outcome = runner().run(&streams, |stream| {
        let mut socket = server.connect();
        io::Write::write_all(&mut socket, &stream).unwrap();
        let _ = socket.shutdown(std::net::Shutdown::Write);
        let mut response = Vec::new();
        io::Read::read_to_end(&mut socket, &mut response).unwrap();
        await_end(&server);
        Ok(())
    });
    outcome.unwrap();
}

/// Presents bytes as a stream to `async-h1`.
#[derive(Clone)]
struct HeadStream(Arc<Mutex<io::Cursor<Vec<u8>>>>);

impl AsyncRead for HeadStream {
    fn poll_read(
        self: Pin<&mut Self>,
        _: &mut Context<'_>,
        buf: &mut [u8],
    ) -> Poll<io::Result<usize>> {
        Poll::Ready(io::Read::read(&mut *self.0.lock().unwrap(), buf))
    }
}

impl AsyncWrite for HeadStream {
    fn poll_write(
        self: Pin<&mut Self>,
        _: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        Poll::Ready(Ok(buf.len()))
    }

    fn poll_flush(
        self: Pin<&mut Self>,
        _: &mut Context<'_>,
    ) -> Poll<io::Result<()>> {
        Poll::Ready(Ok(()))
    }

    fn poll_close(
        self: Pin<&mut Self>,
        _: &mut Context<'_>,
    ) -> Poll<io::Result<()>> {
        Poll::Ready(Ok(()))
    }
}
