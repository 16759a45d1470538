//! Many users come at once, with requests of a size that the operator allows.

use std::{
    io,
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, AtomicU64, Ordering::SeqCst},
    },
    thread,
    time::{Duration, Instant},
};

use crate::{
    client::{self, End},
    engine::Work,
    entry::resident_kb,
    fleet::{Fleet, MEMORY_MB, ONCE, STREAMS, ZONES},
    http::Conn,
    record::Record,
};

/// Streams a second, as in the zone of the site with a single front.
const PER_S: f64 = 20.7;
/// The site's burst.
const BURST_FACTOR: f64 = 1.7;
const BURST: (f64, f64) = (6.0, 9.0);
const LENGTH_S: f64 = 14.0;
/// Size of a request's body; the operator allows 4,194,304.
const BODY_BYTES: usize = 1_120_000;
const KEPT_CONNECTIONS: usize = 120;
/// Lost requests that the rule allows.
const ALLOWED: usize = 3;

pub fn run(path: &str, has_trouble: bool) -> io::Result<bool> {
    let record = Record::create(path)?;
    let stream = Work {
        first: Duration::from_millis(400),
        events: 84,
        gap: Duration::from_millis(36),
    };
    let plain =
        Work { first: Duration::from_millis(10), events: 0, ..stream.clone() };
    let mut fleet = Fleet::start(&ZONES, stream, plain, &record)?;
    let to = fleet.places[0].clients;
    let pool = Arc::new(Mutex::new(keep_connections(to, &record)?));
    record.line("the load begins");
    let is_over = Arc::new(AtomicBool::new(false));
    let process = Arc::new(AtomicU64::new(u64::from(fleet.children[0].id())));
    let peak_kb = Arc::new(AtomicU64::new(0));
    let must_end = Arc::new(AtomicBool::new(false));
    let watch = {
        let (is_over, process, peak_kb, must_end) = (
            is_over.clone(),
            process.clone(),
            peak_kb.clone(),
            must_end.clone(),
        );
        thread::spawn(move || {
            while !is_over.load(SeqCst) {
                let id = process.load(SeqCst) as u32;
                let kb = resident_kb(id).unwrap_or(0);
                peak_kb.fetch_max(kb, SeqCst);
                if kb > MEMORY_MB << 10 {
                    must_end.store(true, SeqCst);
                }
                thread::sleep(Duration::from_millis(5));
            }
        })
    };
    let ends: Arc<Mutex<Vec<(String, bool, End)>>> = Arc::default();
    let mut clients = Vec::new();
    let began = Instant::now();
    let mut next_s = 0.0;
    let mut count = 0;
    let mut kills = 0;
    while next_s < LENGTH_S {
        // The platform kills a process that exceeds its memory, and starts it
        // again after a short delay.
        if must_end.swap(false, SeqCst) {
            fleet.children[0].kill()?;
            fleet.children[0].wait()?;
            record.guard.ended(fleet.children[0].id());
            kills += 1;
            record.say("the platform kills the entry: over its memory");
            thread::sleep(Duration::from_millis(500));
            fleet.children[0] = fleet.places[0].start(&record)?;
            process.store(u64::from(fleet.children[0].id()), SeqCst);
            next_s = began.elapsed().as_secs_f64();
        }
        let wait_s = next_s - began.elapsed().as_secs_f64();
        if wait_s > 0.0 {
            thread::sleep(Duration::from_secs_f64(wait_s.min(0.005)));
            continue;
        }
        let is_burst = has_trouble && next_s >= BURST.0 && next_s < BURST.1;
        let factor = if is_burst { BURST_FACTOR } else { 1.0 };
        next_s += 1.0 / (PER_S * factor);
        count += 1;
        let id = format!("s{count:05}");
        let (pool, ends, record) =
            (pool.clone(), ends.clone(), record.clone());
        clients.push(thread::spawn(move || {
            let kept = pool.lock().unwrap().pop();
            let is_kept = kept.is_some();
            let Some(mut conn) = kept.or_else(|| client::connect(to)) else {
                record.line(&format!("{id} finds no connection"));
                return;
            };
            let more = "X-Model: daka510000\r\nX-Token-Count: 800,168\r\n";
            let path = format!("{STREAMS}2f");
            let body = vec![b'x'; BODY_BYTES];
            let bytes =
                client::request("POST", &path, &id, 20_000, more, &body);
            record.line(&format!("{id} is sent, kept {is_kept}"));
            let end =
                client::exchange(&mut conn, &bytes, Duration::from_secs(20));
            record.line(&format!("{id} ends {end:?}"));
            if matches!(end, End::Answered(_)) {
                pool.lock().unwrap().push(conn);
            }
            ends.lock().unwrap().push((id, is_kept, end));
        }));
    }
    for client in clients {
        let _ = client.join();
    }
    is_over.store(true, SeqCst);
    let _ = watch.join();
    let ends = ends.lock().unwrap();
    let passed_on = |id: &str| {
        fleet.engines.iter().any(|engine| engine.arrivals_of(id) > 0)
    };
    let lost = ends.iter().filter(|(id, is_kept, end)| {
        *is_kept && *end == End::CutUnanswered && passed_on(id)
    });
    let lost = lost.count();
    let count_of = |wanted: fn(&End) -> bool| {
        ends.iter().filter(|(_, _, end)| wanted(end)).count()
    };
    record.say(&format!(
        "sent {}; answered 200: {}; refused 503: {}; cut midway: {}; \
         passed on from a kept connection and closed unanswered: {lost} \
         (allowed {ALLOWED})",
        ends.len(),
        count_of(|e| *e == End::Answered(200)),
        count_of(|e| *e == End::Answered(503)),
        count_of(|e| *e == End::CutMidway),
    ));
    record.say(&format!(
        "memory at its peak {} MB of {MEMORY_MB}; ends of the process: {kills}",
        peak_kb.load(SeqCst) >> 10
    ));
    Ok(lost <= ALLOWED)
}

/// Opens connections, each with one small request that is answered.
fn keep_connections(
    to: std::net::SocketAddr,
    record: &Record,
) -> io::Result<Vec<Conn>> {
    let mut kept = Vec::new();
    for count in 0..KEPT_CONNECTIONS {
        let mut conn = client::connect(to)
            .ok_or_else(|| io::Error::other("no connection"))?;
        let id = format!("w{count:05}");
        let path = format!("{ONCE}2f");
        let bytes = client::request("POST", &path, &id, 1_500, "", b"{}");
        let end = client::exchange(&mut conn, &bytes, Duration::from_secs(2));
        record.line(&format!("{id} ends {end:?}"));
        if end != End::Answered(200) {
            return Err(io::Error::other("the fleet doesn't serve"));
        }
        kept.push(conn);
    }
    Ok(kept)
}
