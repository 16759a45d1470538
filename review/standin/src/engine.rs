//! A backend server: a model engine that holds layers, or a plain service.
//!
//! The path of a request says what the run is to be like: `/.../EVENTS-MS` for
//! a stream, with `-u` for an answer that has no length, and `/.../MS` for a
//! plain request.

use std::net::{SocketAddr, TcpListener, TcpStream};
use std::process;
use std::sync::atomic::{AtomicU64, Ordering::Relaxed};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::http::{Conn, Head};
use crate::json::parse;

/// Interval of heartbeats.
const HEARTBEAT: Duration = Duration::from_millis(1_200);
/// Time for which an engine loads layers.
const LOAD: Duration = Duration::from_millis(300);

#[derive(Clone, Debug)]
pub struct Spec {
    pub id: String,
    pub service: String,
    pub zone: String,
    pub is_model: bool,
    pub store: SocketAddr,
}

#[derive(Default)]
struct State {
    layers: Option<(u32, u32)>,
    is_draining: bool,
    orders: u64,
    beats: u64,
}

type Log = Box<dyn Fn(&str) + Send + Sync>;

pub struct Engine {
    spec: Spec,
    pub address: SocketAddr,
    state: Mutex<State>,
    active: AtomicU64,
    log: Log,
}

impl Engine {
    pub fn start(spec: Spec, log: Log) -> Arc<Engine> {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let address = listener.local_addr().expect("it is bound");
        let engine = Arc::new(Engine {
            spec,
            address,
            state: Mutex::default(),
            active: AtomicU64::new(0),
            log,
        });
        engine.write_row();
        let beating = engine.clone();
        thread::spawn(move || {
            loop {
                thread::sleep(HEARTBEAT);
                beating.write_row();
            }
        });
        let serving = engine.clone();
        thread::spawn(move || {
            for socket in listener.incoming().flatten() {
                let engine = serving.clone();
                thread::spawn(move || engine.serve(socket));
            }
        });
        engine
    }

    pub fn id(&self) -> &str {
        &self.spec.id
    }

    /// Writes the row; the return of the store's answer is the
    /// acknowledgement.
    fn write_row(&self) {
        let mut state = self.state.lock().unwrap();
        state.beats += 1;
        let layers = match state.layers {
            Some((from, target)) => format!(
                ",\"layers\":{{\"from\":{from},\"target\":{target},\
                 \"version\":1}}"
            ),
            None => String::new(),
        };
        let model = match self.spec.is_model {
            true => format!(
                ",\"stage\":\"both\",\"kind\":\"card\",\"models\":[{{\"name\":\
                 \"m\",\"version\":1,\"adapters\":[]}}]{layers}"
            ),
            false => String::new(),
        };
        let row = format!(
            "{{\"service\":\"{}\",\"address\":\"{}\",\"zone\":\"{}\",\
             \"version\":\"v1\",\"slots\":192,\"state\":\"{}\",\
             \"cold-remaining-ms\":0,\"seq\":{}{model}}}",
            self.spec.service,
            self.address,
            self.spec.zone,
            if state.is_draining { "draining" } else { "ready" },
            state.beats,
        );
        self.call_store("put", &row);
    }

    fn call_store(&self, verb: &str, body: &str) {
        let Ok(socket) = TcpStream::connect(self.spec.store) else { return };
        let mut conn = Conn::new(socket);
        let text = format!(
            "POST /engine/{verb}?key={} HTTP/1.1\r\nhost: store\r\n\
             content-length: {}\r\n\r\n{body}",
            self.spec.id,
            body.len()
        );
        let _ = conn.send(text.as_bytes());
        let _ = conn.head();
    }

    /// Reports `draining`. On return the store has accepted the report.
    pub fn report_draining(&self) {
        self.state.lock().unwrap().is_draining = true;
        self.write_row();
    }

    /// Leaves: reports `draining`, serves for the given time, removes the row
    /// and ends the process in the way of any process, by its exit.
    pub fn leave_and_exit(&self, serves: Duration) {
        self.report_draining();
        (self.log)("draining, accepted by the store");
        thread::sleep(serves);
        (self.log)("exits");
        self.call_store("delete", "");
        process::exit(0);
    }

    fn serve(&self, socket: TcpStream) {
        let mut conn = Conn::new(socket);
        while let Ok(Some(head)) = conn.head() {
            let Ok(body) = conn.body(&head) else { return };
            let is_kept = match head.word(1) {
                "/v1/report" => self.report(&mut conn),
                "/v1/order" => self.order(&mut conn, &body),
                "/health" => {
                    let id = format!("x-instance-id: {}\r\n", self.spec.id);
                    conn.respond(200, &id, "").is_ok()
                }
                _ => self.run(&mut conn, &head),
            };
            if !is_kept {
                return;
            }
        }
    }

    fn report(&self, conn: &mut Conn) -> bool {
        let state = self.state.lock().unwrap();
        let layers =
            state.layers.map_or_else(String::new, |(from, target)| {
                format!(",\"layers\":{{\"from\":{from},\"target\":{target}}}")
            });
        let text = format!(
            "{{\"stage\":\"both\",\"busy\":false,\"seq\":{},\"queued\":0,\
             \"active\":{},\"kv-used\":0,\"kv-total\":1000000,\"handles\":0,\
             \"pace\":1.0,\"kind\":\"card\"{layers}}}",
            state.orders,
            self.active.load(Relaxed),
        );
        drop(state);
        conn.respond(200, "content-type: application/json\r\n", &text).is_ok()
    }

    fn order(&self, conn: &mut Conn, body: &[u8]) -> bool {
        let text = String::from_utf8_lossy(body).into_owned();
        (self.log)(&format!("order {text}"));
        let order = parse(&text).unwrap_or_default();
        if order.get("op").text() != "place" {
            return conn.respond(404, "", "{}").is_ok();
        }
        let number = |name: &str| order.get(name).number().unwrap_or(0.0);
        let range = (number("from") as u32, number("target") as u32);
        let status = {
            let mut state = self.state.lock().unwrap();
            let expected = order.get("expect-rev").number();
            if expected.is_some_and(|seq| seq as u64 != state.orders) {
                409
            } else if state.layers == Some(range) {
                200
            } else {
                state.orders += 1;
                202
            }
        };
        let is_sent = conn.respond(status, "", "{}").is_ok();
        if status == 202 {
            thread::sleep(LOAD);
            self.state.lock().unwrap().layers = Some(range);
            self.write_row();
        }
        is_sent
    }

    /// Why this engine does not run a request, with headers that say so.
    fn refusal(&self, head: &Head) -> Option<(u16, String)> {
        let id = &self.spec.id;
        if head.get("x-expected-instance").is_some_and(|e| e != id) {
            return Some((421, format!("x-instance-id: {id}\r\n")));
        }
        let at = format!("at-server: {}\r\n", self.address);
        let state = self.state.lock().unwrap();
        if !self.spec.is_model {
            return None;
        }
        if state.is_draining {
            return Some((503, format!("x-not-executed: 1\r\n{at}")));
        }
        let path = head.get("x-hop-count").unwrap_or("");
        let own = path.split(',').next().unwrap_or("");
        let holds = state.layers.is_some_and(|(from, target)| {
            own == format!("{}={from}-{target}", self.address)
        });
        (!holds).then_some((421, at))
    }

    fn run(&self, conn: &mut Conn, head: &Head) -> bool {
        let id = head.get("x-request-id").unwrap_or("").to_owned();
        let echo = format!("x-request-id: {id}\r\n");
        if let Some((status, why)) = self.refusal(head) {
            (self.log)(&format!("request {id} refused with {status}"));
            return conn.respond(status, &(echo + &why), "").is_ok();
        }
        (self.log)(&format!("request {id} runs"));
        let headers =
            format!("{echo}x-response-signature: sig.{id}.{}\r\n", self.id());
        self.active.fetch_add(1, Relaxed);
        let task = head.word(1).rsplit('/').next().unwrap_or("").to_owned();
        let is_kept = match self.spec.is_model {
            true => self.stream(conn, head, &task, &headers, &id),
            false => {
                let work_ms = task.parse().unwrap_or(20);
                thread::sleep(Duration::from_millis(work_ms));
                (self.log)(&format!("request {id} ran"));
                conn.respond(200, &headers, &"x".repeat(800)).is_ok()
            }
        };
        self.active.fetch_sub(1, Relaxed);
        is_kept
    }

    fn stream(
        &self,
        conn: &mut Conn,
        head: &Head,
        task: &str,
        headers: &str,
        id: &str,
    ) -> bool {
        let mut parts = task.split('-');
        let mut number =
            || parts.next().and_then(|n| n.parse().ok()).unwrap_or(10_u64);
        let (events, gap_ms) = (number(), number());
        let has_length = parts.next() != Some("u");
        let after = head.get("last-event-id").and_then(|n| n.parse().ok());
        let framing = match has_length {
            true => "transfer-encoding: chunked\r\n",
            false => "connection: close\r\n",
        };
        let head = format!(
            "HTTP/1.1 200 OK\r\n{headers}content-type: text/event-stream\r\n\
             {framing}\r\n"
        );
        if conn.send(head.as_bytes()).is_err() {
            return false;
        }
        let mut due = Instant::now();
        for event in after.unwrap_or(0_u64) + 1..=events {
            due += Duration::from_millis(gap_ms);
            thread::sleep(due.saturating_duration_since(Instant::now()));
            let text = format!("id: {event}\ndata: token-{event}\n\n");
            let bytes = match has_length {
                true => format!("{:x}\r\n{text}\r\n", text.len()),
                false => text,
            };
            if conn.send(bytes.as_bytes()).is_err() {
                (self.log)(&format!("request {id} left at event {event}"));
                return false;
            }
        }
        (self.log)(&format!("request {id} made its last event {events}"));
        if has_length {
            return conn.send(b"0\r\n\r\n").is_ok();
        }
        false
    }
}
