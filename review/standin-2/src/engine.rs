//! Stand-in of an engine that holds a whole model once it is ordered to, or of
//! a server of a plain service.

use std::{
    collections::BTreeMap,
    io,
    net::{SocketAddr, TcpListener, TcpStream},
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, AtomicU64, Ordering::SeqCst},
    },
    thread,
    time::Duration,
};

use crate::{
    http::{Conn, Head},
    json,
    record::Record,
    store::Store,
};

/// How an engine works.
#[derive(Clone, Debug)]
pub struct Work {
    /// Time until the first event, or until a plain answer.
    pub first: Duration,
    /// Events of a stream.
    pub events: u64,
    /// Time between two events.
    pub gap: Duration,
}

/// One process lifetime of an engine; clones share its state.
#[derive(Clone)]
pub struct Engine {
    pub id: String,
    pub service: String,
    pub zone: String,
    pub address: SocketAddr,
    /// Kind of its card; empty for a plain service.
    pub kind: String,
    pub slots: u32,
    work: Work,
    layers: Arc<Mutex<Option<(u64, u64)>>>,
    orders: Arc<AtomicU64>,
    beats: Arc<AtomicU64>,
    runs: Arc<AtomicU64>,
    is_over: Arc<AtomicBool>,
    /// Requests that arrived, by id, with the number of arrivals.
    pub arrivals: Arc<Mutex<BTreeMap<String, u32>>>,
    record: Record,
}

impl Engine {
    /// Starts an engine on a free port of an address.
    pub fn start(
        (id, service, zone, kind): (&str, &str, &str, &str),
        (ip, slots): (&str, u32),
        work: Work,
        store: &Store,
        record: &Record,
    ) -> io::Result<Engine> {
        let listener = TcpListener::bind((ip, 0))?;
        let engine = Engine {
            id: id.to_owned(),
            service: service.to_owned(),
            zone: zone.to_owned(),
            address: listener.local_addr()?,
            kind: kind.to_owned(),
            slots,
            work,
            layers: Arc::default(),
            orders: Arc::default(),
            beats: Arc::default(),
            runs: Arc::default(),
            is_over: Arc::default(),
            arrivals: Arc::default(),
            record: record.clone(),
        };
        let server = engine.clone();
        let rows = store.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let (server, rows) = (server.clone(), rows.clone());
                thread::spawn(move || server.serve(stream, &rows));
            }
        });
        let (beating, rows) = (engine.clone(), store.clone());
        thread::spawn(move || {
            while !beating.is_over.load(SeqCst) {
                beating.write_row(&rows);
                thread::sleep(Duration::from_millis(1_200));
            }
        });
        Ok(engine)
    }

    /// The engine's row in the list of engines.
    fn write_row(&self, store: &Store) {
        let beats = self.beats.fetch_add(1, SeqCst);
        let layers = *self.layers.lock().unwrap();
        let layers = layers.map_or_else(String::new, |(from, target)| {
            format!(
                ",\"layers\":{{\"from\":{from},\"target\":{target},\
                 \"version\":1}}"
            )
        });
        let kind = match self.kind.as_str() {
            "" => String::new(),
            kind => format!(",\"kind\":\"{kind}\",\"stage\":\"both\""),
        };
        let row = format!(
            "{{\"service\":\"{}\",\"address\":\"{}\",\"zone\":\"{}\",\
             \"version\":\"v1\",\"slots\":{},\"state\":\"ready\",\
             \"cold-remaining-ms\":0,\"seq\":{beats}{kind}{layers}}}",
            self.service, self.address, self.zone, self.slots
        );
        store.set("servers", &self.id, row.as_bytes());
    }

    fn serve(&self, stream: TcpStream, store: &Store) {
        let mut conn = Conn::new(stream);
        while let Ok(Some(head)) = conn.head() {
            let Ok(body) = conn.body(&head) else { return };
            if self.answer(&mut conn, &head, &body, store).is_err() {
                return;
            }
        }
    }

    fn answer(
        &self,
        conn: &mut Conn,
        head: &Head,
        body: &[u8],
        store: &Store,
    ) -> io::Result<()> {
        let target = head.first.get(1).cloned().unwrap_or_default();
        let kind = [("content-type", "application/json")];
        match target.as_str() {
            "/v1/report" => {
                let report = self.report();
                return conn.respond(200, &kind, report.as_bytes());
            }
            "/v1/order" => {
                let status = self.order(head, body, store);
                return conn.respond(status, &kind, b"{}");
            }
            "/health" => {
                let id = [("x-instance-id", self.id.as_str())];
                return conn.respond(200, &id, b"");
            }
            _ => {}
        }
        let request = head.header("x-request-id").unwrap_or("").to_owned();
        let expected = head.header("x-expected-instance");
        if expected.is_some_and(|id| id != self.id) {
            let id = [("x-instance-id", self.id.as_str())];
            return conn.respond(421, &id, b"");
        }
        let running = self.runs.fetch_add(1, SeqCst);
        let result = if running >= u64::from(self.slots) {
            let headers =
                [("x-not-executed", "1"), ("x-request-id", &*request)];
            conn.respond(503, &headers, b"")
        } else {
            *self
                .arrivals
                .lock()
                .unwrap()
                .entry(request.clone())
                .or_default() += 1;
            let bytes = body.len();
            self.record.line(&format!("{} gets {request} {bytes}", self.id));
            self.run(conn, &request)
        };
        self.runs.fetch_sub(1, SeqCst);
        result
    }

    /// Runs a request: one answer, or a stream of events.
    fn run(&self, conn: &mut Conn, request: &str) -> io::Result<()> {
        thread::sleep(self.work.first);
        let signature = format!("sig-{}-{request}", self.id);
        if self.work.events == 0 {
            let headers = [
                ("x-request-id", request),
                ("x-response-signature", &*signature),
            ];
            return conn.respond(200, &headers, request.as_bytes());
        }
        let head = format!(
            "HTTP/1.1 200 OK\r\ncontent-type: text/event-stream\r\n\
             x-request-id: {request}\r\nx-response-signature: {signature}\r\n\
             transfer-encoding: chunked\r\n\r\n"
        );
        conn.send(head.as_bytes())?;
        for event in 1..=self.work.events {
            if event > 1 {
                thread::sleep(self.work.gap);
            }
            let text = format!("id: {event}\ndata: {request}-{event}\n\n");
            let chunk = format!("{:x}\r\n{text}\r\n", text.len());
            conn.send(chunk.as_bytes())?;
        }
        conn.send(b"0\r\n\r\n")
    }

    fn report(&self) -> String {
        let layers = *self.layers.lock().unwrap();
        let layers = layers.map_or_else(String::new, |(from, target)| {
            format!(
                ",\"layers\":{{\"from\":{from},\"target\":{target},\
                 \"version\":1}}"
            )
        });
        format!(
            "{{\"stage\":\"both\",\"models\":[],\"busy\":false,\"seq\":{},\
             \"queued\":0,\"active\":{},\"kv-used\":0,\"kv-total\":1000000,\
             \"handles\":0,\"pace\":1.0{layers}}}",
            self.orders.load(SeqCst),
            self.runs.load(SeqCst)
        )
    }

    /// Carries out an order at once.
    fn order(&self, head: &Head, body: &[u8], store: &Store) -> u16 {
        let expected = head.header("x-expected-instance");
        if expected.is_some_and(|id| id != self.id) {
            return 421;
        }
        let Some(order) = json::parse(body) else { return 400 };
        let done = self.orders.load(SeqCst);
        if order.number("expect-rev").is_some_and(|seq| seq != done) {
            return 409;
        }
        if order.text("op") != "place" {
            return 404;
        }
        let range = (order.number("from"), order.number("target"));
        let (Some(from), Some(target)) = range else { return 400 };
        self.orders.fetch_add(1, SeqCst);
        *self.layers.lock().unwrap() = Some((from, target));
        self.record.line(&format!("{} holds {from}-{target}", self.id));
        self.write_row(store);
        202
    }

    /// Whether the engine holds all layers of a model.
    pub fn holds(&self, layers: u64) -> bool {
        *self.layers.lock().unwrap() == Some((0, layers))
    }

    /// Arrivals of a request here.
    pub fn arrivals_of(&self, request: &str) -> u32 {
        let arrivals = self.arrivals.lock().unwrap();
        arrivals.get(request).copied().unwrap_or(0)
    }
}
