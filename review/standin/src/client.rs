//! A client of an entry.

use std::io::ErrorKind;
use std::net::{SocketAddr, TcpStream};
use std::time::{Duration, Instant};

use crate::http::Conn;

#[derive(Clone, Debug)]
pub struct Request<'a> {
    pub method: &'a str,
    pub target: &'a str,
    pub id: &'a str,
    pub key: &'a str,
    pub deadline_ms: &'a str,
    pub token_count: Option<&'a str>,
}

/// How an attempt ended.
#[derive(Clone, Debug, Default)]
pub struct Answer {
    /// 0 if there was none.
    pub status: u16,
    pub signature: String,
    /// The answer ended as a complete one does.
    pub is_complete: bool,
    /// Events received, and the id of the last one.
    pub events: u64,
    pub last_event: u64,
    /// The entry closed the connection before the answer was complete.
    pub is_closed: bool,
    /// Why the answer is not complete.
    pub error: String,
}

impl Answer {
    pub fn text(&self) -> String {
        let Answer { status, is_complete, events, last_event, error, .. } =
            self;
        format!(
            "status {status}, complete {is_complete}, events {events}, last \
             {last_event} {error}"
        )
    }
}

/// Connections of a client are kept for its next request.
pub struct Client {
    entry: SocketAddr,
    kept: Option<Conn>,
}

impl Client {
    pub fn new(entry: SocketAddr) -> Client {
        Client { entry, kept: None }
    }

    fn connect(&mut self) -> std::io::Result<Conn> {
        if let Some(conn) = self.kept.take() {
            return Ok(conn);
        }
        let timeout = Duration::from_secs(1);
        TcpStream::connect_timeout(&self.entry, timeout).map(Conn::new)
    }

    /// Sends a request and reads its answer until `limit` has passed.
    pub fn send(&mut self, request: &Request, limit: Duration) -> Answer {
        let mut answer = Answer::default();
        match self.try_send(request, limit, &mut answer) {
            Ok(()) => answer.is_complete = true,
            Err(e) => {
                answer.is_closed = matches!(
                    e.kind(),
                    ErrorKind::UnexpectedEof
                        | ErrorKind::ConnectionReset
                        | ErrorKind::BrokenPipe
                );
                answer.error = format!("({e})");
            }
        }
        answer
    }

    fn try_send(
        &mut self,
        request: &Request,
        limit: Duration,
        answer: &mut Answer,
    ) -> std::io::Result<()> {
        let until = Instant::now() + limit;
        let mut conn = self.connect()?;
        let body = match request.method {
            "POST" => "content-length: 4\r\n\r\nwork",
            _ => "\r\n",
        };
        let tokens = request.token_count.map_or_else(String::new, |count| {
            format!("x-model: m\r\nx-token-count: {count}\r\n")
        });
        let text = format!(
            "{} {} HTTP/1.1\r\nhost: desk.example\r\nx-request-id: {}\r\n\
             x-deadline-ms: {}\r\nauthorization: Bearer {}\r\n{tokens}{body}",
            request.method,
            request.target,
            request.id,
            request.deadline_ms,
            request.key,
        );
        conn.send(text.as_bytes())?;
        let wait = |conn: &Conn| {
            let left = until.saturating_duration_since(Instant::now());
            let left = left.max(Duration::from_millis(1));
            conn.socket.set_read_timeout(Some(left))
        };
        wait(&conn)?;
        let head = conn.head()?.ok_or(ErrorKind::UnexpectedEof)?;
        answer.status = head.status();
        let signature = head.get("x-response-signature");
        answer.signature = signature.unwrap_or("").to_owned();
        if head.get("transfer-encoding").is_some() {
            let mut text = String::new();
            loop {
                wait(&conn)?;
                let chunk = conn.chunk()?;
                if chunk.is_empty() {
                    break;
                }
                text.push_str(&String::from_utf8_lossy(&chunk));
                while let Some(end) = text.find("\n\n") {
                    let event: String = text.drain(..end + 2).collect();
                    let id = event.lines().find_map(|l| l.strip_prefix("id:"));
                    let id = id.and_then(|id| id.trim().parse().ok());
                    answer.events += 1;
                    answer.last_event = id.unwrap_or(answer.last_event);
                }
            }
        } else {
            conn.body(&head)?;
        }
        if head.get("connection").is_none_or(|c| c != "close") {
            self.kept = Some(conn);
        }
        Ok(())
    }
}
