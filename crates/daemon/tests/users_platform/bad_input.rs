//! Malformed settings and requests are reported, and no malformed request
//! reaches a server.

use std::{
    fs,
    io::{Read as _, Write as _},
    net::{Shutdown, SocketAddr, TcpStream},
    process::Command,
    time::Duration,
};

use rstest::rstest;

use crate::support::{BINARY, with_small_site};

#[test]
fn invalid_settings_are_refused_with_all_findings() {
    let dir = tempfile::tempdir().unwrap();
    let path = dir.path().join("settings.toml");
    fs::write(&path, "node-name = \"a\"\nip = \"x\"\n").unwrap();
    let output = Command::new(BINARY)
        .arg("--users-platform")
        .env("CHESTNUTREACH_NODE_FILE", &path)
        .output()
        .unwrap();
    assert_eq!(output.status.code(), Some(2));
    let text = String::from_utf8(output.stderr).unwrap();
    for setting in ["ip", "zone", "listen.front", "bounds.revoke-ms"] {
        assert!(text.contains(setting), "no finding for {setting}: {text}");
    }
}

#[test]
fn a_missing_settings_variable_is_reported() {
    let output = Command::new(BINARY)
        .arg("--users-platform")
        .env_remove("CHESTNUTREACH_NODE_FILE")
        .output()
        .unwrap();
    assert_eq!(output.status.code(), Some(2));
    let text = String::from_utf8(output.stderr).unwrap();
    assert!(text.contains("CHESTNUTREACH_NODE_FILE"), "{text}");
}

struct Malformed {
    bytes: &'static str,
    status: &'static str,
}

const HEAD: &str = "Host: desk.example\r\nAuthorization: Bearer key-one\r\n";

#[rstest]
#[case::two_lengths(Malformed {
    bytes: "POST /letter/x HTTP/1.1\r\nHEADContent-Length: 5\r\n\
            Content-Length: 6\r\n\r\nhello",
    status: "400",
})]
#[case::length_and_chunks(Malformed {
    bytes: "POST /letter/x HTTP/1.1\r\nHEADContent-Length: 5\r\n\
            Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
    status: "400",
})]
#[case::a_short_body(Malformed {
    bytes: "POST /letter/x HTTP/1.1\r\nHEADContent-Length: 50\r\n\r\nhello",
    status: "400",
})]
#[case::too_long(Malformed {
    bytes: "POST /letter/x HTTP/1.1\r\nHEADContent-Length: 9999999\r\n\r\n",
    status: "413",
})]
#[case::no_host(Malformed {
    bytes: "POST /letter/x HTTP/1.1\r\nContent-Length: 0\r\n\r\n",
    status: "400",
})]
#[case::no_head(Malformed { bytes: "\u{1}\u{2}\r\n\r\n", status: "400" })]
#[case::no_route(Malformed {
    bytes: "GET /nowhere/ HTTP/1.1\r\nHEAD\r\n", status: "404",
})]
#[case::smuggled(Malformed {
    bytes: "POST /letter/x HTTP/1.1\r\nHEADContent-Length: +5\r\n\r\nhello",
    status: "400",
})]
fn a_malformed_request_gets_an_error_status_and_reaches_no_server(
    #[case] request: Malformed,
) {
    with_small_site(async |running| {
        let before = running.backends.observations().arrival_counts.len();
        let bytes = request.bytes.replace("HEAD", HEAD);
        let response = exchange(running.addresses[0], bytes.as_bytes());
        let status = response.get(9..12).unwrap_or_default();
        assert_eq!(status, request.status, "{response}");
        assert_eq!(
            running.backends.observations().arrival_counts.len(),
            before
        );
    });
}

#[test]
fn a_request_head_over_the_limit_is_refused() {
    with_small_site(async |running| {
        let long = "x".repeat(17 << 10);
        let head =
            format!("GET /lookup/a HTTP/1.1\r\n{HEAD}X: {long}\r\n\r\n");
        let response = exchange(running.addresses[0], head.as_bytes());
        assert!(response.starts_with("HTTP/1.1 431"), "{response}");
    });
}

fn exchange(address: SocketAddr, bytes: &[u8]) -> String {
    let mut stream = TcpStream::connect(address).unwrap();
    stream.set_read_timeout(Some(Duration::from_secs(8))).unwrap();
    // The entry may respond and close before it has read everything.
    let _ = stream.write_all(bytes);
    let _ = stream.shutdown(Shutdown::Write);
    let mut response = Vec::new();
    let _ = stream.read_to_end(&mut response);
    String::from_utf8_lossy(&response).into_owned()
}
