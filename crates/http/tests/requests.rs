//! Requests over a real socket that are served or rejected.

mod support;

use chestnutreach_http::ServerOptions;
use rstest::rstest;

use support::Server;

const MAX_BODY_BYTES: usize = 64;

struct Case {
    /// Bytes sent, in parts that the server reads separately.
    sent: &'static [&'static [u8]],
    /// Whether the caller then closes its sending side.
    is_half_closed: bool,
    /// Statuses of the responses, in order.
    statuses: &'static [u16],
    /// Requests that the handler received.
    handled: &'static [&'static str],
}

const CASE: Case =
    Case { sent: &[], is_half_closed: false, statuses: &[], handled: &[] };

#[rstest]
#[case::complete(Case {
    sent: &[b"POST /a HTTP/1.1\r\nhost: a\r\nconnection: close\r\n\
        content-length: 3\r\n\r\nabc"],
    statuses: &[200],
    handled: &["POST /a abc"],
    ..CASE
})]
#[case::in_parts(Case {
    sent: &[b"POST /a HT", b"TP/1.1\r\nhost: a\r\nconnection: close\r",
        b"\ncontent-length: 3\r\n\r", b"\nab", b"c"],
    statuses: &[200],
    handled: &["POST /a abc"],
    ..CASE
})]
#[case::empty_line_before(Case {
    sent: &[b"\r\nGET /a HTTP/1.1\r\nhost: a\r\nconnection: close\r\n\r\n"],
    statuses: &[200],
    handled: &["GET /a "],
    ..CASE
})]
#[case::not_http(Case {
    sent: &[b"hello there\r\n\r\n"],
    statuses: &[400],
    ..CASE
})]
#[case::header_without_colon(Case {
    sent: &[b"GET / HTTP/1.1\r\nhost: a\r\nbroken\r\n\r\n"],
    statuses: &[400],
    ..CASE
})]
#[case::blank_before_colon(Case {
    sent: &[b"POST / HTTP/1.1\r\nhost: a\r\ncontent-length : 3\r\n\r\nabc"],
    statuses: &[400],
    ..CASE
})]
#[case::folded_header(Case {
    sent: &[b"GET / HTTP/1.1\r\nhost: a\r\nx: a\r\n b\r\n\r\n"],
    statuses: &[400],
    ..CASE
})]
#[case::header_not_ascii(Case {
    sent: &[b"GET / HTTP/1.1\r\nhost: a\r\nx: \xc3\xa9\r\n\r\n"],
    statuses: &[400],
    ..CASE
})]
#[case::header_not_utf8(Case {
    sent: &[b"GET / HTTP/1.1\r\nhost: a\r\nx: \xff\r\n\r\n"],
    statuses: &[400],
    ..CASE
})]
#[case::no_host(Case {
    sent: &[b"GET / HTTP/1.1\r\n\r\n"],
    statuses: &[400],
    ..CASE
})]
#[case::two_hosts(Case {
    sent: &[b"GET / HTTP/1.1\r\nhost: a\r\nhost: a\r\n\r\n"],
    statuses: &[400],
    ..CASE
})]
#[case::empty_host(Case {
    sent: &[b"GET /a/b HTTP/1.1\r\nhost:\r\n\r\n"],
    statuses: &[400],
    ..CASE
})]
#[case::host_with_a_path(Case {
    sent: &[b"GET /b HTTP/1.1\r\nhost: a/c?\r\n\r\n"],
    statuses: &[400],
    ..CASE
})]
#[case::unknown_method(Case {
    sent: &[b"BREW / HTTP/1.1\r\nhost: a\r\n\r\n"],
    statuses: &[400],
    ..CASE
})]
#[case::truncated_head(Case {
    sent: &[b"GET / HTTP/1.1\r\nhost: a\r\n"],
    is_half_closed: true,
    statuses: &[400],
    ..CASE
})]
#[case::bare_line_feeds(Case {
    sent: &[b"GET /a HTTP/1.1\nhost: a\n\nGET /b HTTP/1.1\r\nhost: a\r\n\r\n"],
    statuses: &[400],
    ..CASE
})]
#[case::two_lengths(Case {
    sent: &[b"POST / HTTP/1.1\r\nhost: a\r\ncontent-length: 3\r\n\
        content-length: 4\r\n\r\nabcd"],
    statuses: &[400],
    ..CASE
})]
#[case::same_length_twice(Case {
    sent: &[b"POST / HTTP/1.1\r\nhost: a\r\nconnection: close\r\n\
        content-length: 3\r\ncontent-length: 3\r\n\r\nabc"],
    statuses: &[200],
    handled: &["POST / abc"],
    ..CASE
})]
#[case::length_list(Case {
    sent: &[b"POST / HTTP/1.1\r\nhost: a\r\ncontent-length: 3, 3\r\n\r\nabc"],
    statuses: &[400],
    ..CASE
})]
#[case::signed_length(Case {
    sent: &[b"POST / HTTP/1.1\r\nhost: a\r\ncontent-length: +3\r\n\r\nabc"],
    statuses: &[400],
    ..CASE
})]
#[case::length_overflow(Case {
    sent: &[b"POST / HTTP/1.1\r\nhost: a\r\n\
        content-length: 99999999999999999999\r\n\r\n"],
    statuses: &[400],
    ..CASE
})]
#[case::length_and_chunked(Case {
    sent: &[b"POST / HTTP/1.1\r\nhost: a\r\ncontent-length: 3\r\n\
        transfer-encoding: chunked\r\n\r\n0\r\n\r\n"],
    statuses: &[400],
    ..CASE
})]
#[case::zero_length_and_chunked(Case {
    sent: &[b"POST / HTTP/1.1\r\nhost: a\r\ncontent-length: 0\r\n\
        transfer-encoding: chunked\r\n\r\n0\r\n\r\n"],
    statuses: &[400],
    ..CASE
})]
#[case::truncated_body(Case {
    sent: &[b"POST / HTTP/1.1\r\nhost: a\r\ncontent-length: 9\r\n\r\nabc"],
    is_half_closed: true,
    statuses: &[400],
    ..CASE
})]
#[case::body_too_large(Case {
    sent: &[b"POST / HTTP/1.1\r\nhost: a\r\ncontent-length: 65\r\n\r\nabc"],
    statuses: &[413],
    ..CASE
})]
#[case::chunks_too_large(Case {
    sent: &[b"POST / HTTP/1.1\r\nhost: a\r\n\
        transfer-encoding: chunked\r\n\r\n41\r\nabc"],
    statuses: &[413],
    ..CASE
})]
#[case::http_1_0(Case {
    sent: &[b"GET / HTTP/1.0\r\nhost: a\r\n\r\n"],
    statuses: &[505],
    ..CASE
})]
#[case::unknown_coding(Case {
    sent: &[b"POST / HTTP/1.1\r\nhost: a\r\n\
        transfer-encoding: gzip, chunked\r\n\r\n"],
    statuses: &[501],
    ..CASE
})]
#[case::chunked_twice(Case {
    sent: &[b"POST / HTTP/1.1\r\nhost: a\r\ntransfer-encoding: chunked\r\n\
        transfer-encoding: chunked\r\n\r\n0\r\n\r\n"],
    statuses: &[501],
    ..CASE
})]
#[case::unknown_expectation(Case {
    sent: &[b"POST / HTTP/1.1\r\nhost: a\r\nexpect: tea\r\n\r\n"],
    statuses: &[417],
    ..CASE
})]
#[case::expects_continue(Case {
    sent: &[b"POST /a HTTP/1.1\r\nhost: a\r\nconnection: close\r\n\
        expect: 100-continue\r\ncontent-length: 3\r\n\r\n", b"abc"],
    statuses: &[100, 200],
    handled: &["POST /a abc"],
    ..CASE
})]
#[case::expects_continue_too_large(Case {
    sent: &[b"POST / HTTP/1.1\r\nhost: a\r\n\
        expect: 100-continue\r\ncontent-length: 65\r\n\r\n"],
    statuses: &[413],
    ..CASE
})]
#[case::pipelined(Case {
    sent: &[b"POST /a HTTP/1.1\r\nhost: a\r\ncontent-length: 3\r\n\r\nabc\
        GET /b HTTP/1.1\r\nhost: a\r\n\r\n\
        GET /c HTTP/1.1\r\nhost: a\r\nconnection: close\r\n\r\n"],
    statuses: &[200, 200, 200],
    handled: &["POST /a abc", "GET /b ", "GET /c "],
    ..CASE
})]
#[case::request_after_the_last(Case {
    sent: &[b"GET /a HTTP/1.1\r\nhost: a\r\nconnection: close\r\n\r\n\
        GET /b HTTP/1.1\r\nhost: a\r\n\r\n"],
    statuses: &[200],
    handled: &["GET /a "],
    ..CASE
})]
#[case::malformed_after_a_complete_request(Case {
    sent: &[b"GET /a HTTP/1.1\r\nhost: a\r\n\r\nGET\r\n\r\n"],
    statuses: &[200, 400],
    handled: &["GET /a "],
    ..CASE
})]
#[case::chunked(Case {
    sent: &[b"POST /a HTTP/1.1\r\nhost: a\r\nconnection: close\r\n\
        transfer-encoding: chunked\r\n\r\n3\r\nabc\r\n2\r\nde\r\n0\r\n\r\n"],
    statuses: &[200],
    handled: &["POST /a abcde"],
    ..CASE
})]
#[case::chunked_in_parts(Case {
    sent: &[b"POST /a HTTP/1.1\r\nhost: a\r\nconnection: close\r\n\
        transfer-encoding: chunked\r\n\r\n3\r", b"\nab", b"c\r", b"\n0\r\n",
        b"\r", b"\n"],
    statuses: &[200],
    handled: &["POST /a abc"],
    ..CASE
})]
#[case::chunked_with_trailers(Case {
    sent: &[b"POST /a HTTP/1.1\r\nhost: a\r\nconnection: close\r\n\
        transfer-encoding: chunked\r\n\r\n3;x=y\r\nabc\r\n0\r\n\
        sum: 1\r\n", b"more: 2\r\n\r\n"],
    statuses: &[200],
    handled: &["POST /a abc"],
    ..CASE
})]
#[case::pipelined_after_chunks(Case {
    sent: &[b"POST /a HTTP/1.1\r\nhost: a\r\n\
        transfer-encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n\
        GET /b HTTP/1.1\r\nhost: a\r\nconnection: close\r\n\r\n"],
    statuses: &[200, 200],
    handled: &["POST /a abc", "GET /b "],
    ..CASE
})]
#[case::truncated_chunks(Case {
    sent: &[b"POST /a HTTP/1.1\r\nhost: a\r\n\
        transfer-encoding: chunked\r\n\r\n3\r\nabc\r\n"],
    is_half_closed: true,
    statuses: &[400],
    ..CASE
})]
#[case::chunks_without_final_line(Case {
    sent: &[b"POST /a HTTP/1.1\r\nhost: a\r\n\
        transfer-encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n"],
    is_half_closed: true,
    statuses: &[400],
    ..CASE
})]
#[case::chunk_without_size(Case {
    sent: &[b"POST /a HTTP/1.1\r\nhost: a\r\n\
        transfer-encoding: chunked\r\n\r\n3\r\nabc\r\n\r\n\r\n"],
    is_half_closed: true,
    statuses: &[400],
    ..CASE
})]
#[case::chunk_longer_than_stated(Case {
    sent: &[b"POST /a HTTP/1.1\r\nhost: a\r\n\
        transfer-encoding: chunked\r\n\r\n3\r\nabcd\r\n0\r\n\r\n"],
    statuses: &[400],
    ..CASE
})]
fn valid_requests_are_served_and_others_rejected(#[case] case: Case) {
    let options = ServerOptions::new().max_body_bytes(MAX_BODY_BYTES);
    let server = Server::echo(options);
    let response = server.exchange(case.sent, case.is_half_closed);
    assert_eq!(statuses(&response), case.statuses, "{response}");
    assert_eq!(server.handled(), case.handled);
}

#[test]
fn long_head_is_rejected() {
    let server = Server::echo(ServerOptions::new());
    let long = "x".repeat(9_000);
    let head = format!("GET / HTTP/1.1\r\nhost: a\r\nx: {long}\r\n\r\n");
    let response = server.exchange(&[head.as_bytes()], false);
    assert_eq!(statuses(&response), [431], "{response}");
    assert!(server.handled().is_empty());
}

#[test]
fn too_many_headers_are_rejected() {
    let server = Server::echo(ServerOptions::new());
    let lines = "x: y\r\n".repeat(200);
    let head = format!("GET / HTTP/1.1\r\nhost: a\r\n{lines}\r\n");
    let response = server.exchange(&[head.as_bytes()], false);
    assert_eq!(statuses(&response), [431], "{response}");
    assert!(server.handled().is_empty());
}

/// Statuses of all responses in the text.
fn statuses(responses: &str) -> Vec<u16> {
    responses
        .split("HTTP/1.1 ")
        .filter_map(|response| response.get(..3)?.parse().ok())
        .collect()
}
