//! Clients with kept connections.

use std::{
    net::{SocketAddr, TcpStream},
    time::Duration,
};

use crate::{
    fleet::{HOST, KEY},
    http::Conn,
};

/// How a request ended for its client.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum End {
    /// A whole answer with this status.
    Answered(u16),
    /// The connection ended within the answer.
    CutMidway,
    /// The connection ended without a byte of an answer.
    CutUnanswered,
    /// The request was not sent whole.
    NotSent,
    /// No end within the client's deadline.
    TimedOut,
}

/// Opens a connection to an entry.
pub fn connect(to: SocketAddr) -> Option<Conn> {
    let stream =
        TcpStream::connect_timeout(&to, Duration::from_secs(1)).ok()?;
    Some(Conn::new(stream))
}

/// Bytes of a request.
pub fn request(
    method: &str,
    path: &str,
    id: &str,
    deadline_ms: u64,
    more: &str,
    body: &[u8],
) -> Vec<u8> {
    let mut head = format!(
        "{method} {path} HTTP/1.1\r\nHost: {HOST}\r\nX-Request-Id: {id}\r\n\
         X-Deadline-Ms: {deadline_ms}\r\nAuthorization: Bearer {KEY}\r\n{more}"
    );
    if method == "POST" {
        head.push_str(&format!("Content-Length: {}\r\n", body.len()));
    }
    head.push_str("\r\n");
    let mut bytes = head.into_bytes();
    bytes.extend_from_slice(body);
    bytes
}

/// Sends a request on a connection and reads its answer.
pub fn exchange(conn: &mut Conn, bytes: &[u8], deadline: Duration) -> End {
    let _ = conn.stream.set_read_timeout(Some(deadline));
    let _ = conn.stream.set_write_timeout(Some(deadline));
    if conn.send(bytes).is_err() {
        return End::NotSent;
    }
    let is_timeout = |e: &std::io::Error| {
        use std::io::ErrorKind::{TimedOut, WouldBlock};
        matches!(e.kind(), TimedOut | WouldBlock)
    };
    match conn.wait() {
        Ok(true) => {}
        Err(e) if is_timeout(&e) => return End::TimedOut,
        Ok(false) | Err(_) => return End::CutUnanswered,
    }
    let head = match conn.head() {
        Ok(Some(head)) => head,
        _ => return End::CutMidway,
    };
    match conn.body(&head) {
        Ok(_) => End::Answered(head.status()),
        Err(e) if is_timeout(&e) => End::TimedOut,
        Err(_) => End::CutMidway,
    }
}
