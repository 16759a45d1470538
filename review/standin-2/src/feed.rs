//! The store gives one entry no response while the configuration changes.

use std::{
    io,
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, Ordering::SeqCst},
    },
    thread,
    time::{Duration, Instant},
};

use crate::{
    client,
    engine::Work,
    fleet::{Fleet, ONCE, SERVICES, ZONES, configuration},
    json::Json,
    record::Record,
};

/// `config-apply-ms` of the settings.
const APPLY_MS: u64 = 2_000;
/// How long the store gives the entry no response.
const SILENT: Duration = Duration::from_millis(3_000);
/// From then until the configuration changes.
const CHANGE_AFTER: Duration = Duration::from_millis(20);
const REST: Duration = Duration::from_millis(6_800);
const ROUNDS: u64 = 9;
/// Entries, all in one zone.
const ENTRIES: usize = 5;
/// Time between two requests to one entry.
const INTERVAL: Duration = Duration::from_millis(25);

/// A request that was sent: its id, its entry, and when.
type Sent = (String, usize, u64);

pub fn run(path: &str, has_trouble: bool) -> io::Result<bool> {
    let record = Record::create(path)?;
    let plain = Work {
        first: Duration::from_millis(10),
        events: 0,
        gap: Duration::ZERO,
    };
    let entries = [ZONES[0]; ENTRIES];
    let fleet = Fleet::start(&entries, plain.clone(), plain, &record)?;
    thread::sleep(Duration::from_secs(4));
    let is_over = Arc::new(AtomicBool::new(false));
    let sent: Arc<Mutex<Vec<Sent>>> = Arc::default();
    let mut clients = Vec::new();
    for (entry, place) in fleet.places.iter().enumerate() {
        let (to, is_over, sent, record) =
            (place.clients, is_over.clone(), sent.clone(), record.clone());
        clients.push(thread::spawn(move || {
            let mut conn = None;
            let mut count = 0;
            while !is_over.load(SeqCst) {
                thread::sleep(INTERVAL);
                count += 1;
                let id = format!("e{entry}r{count:05}");
                let Some(mut kept) =
                    conn.take().or_else(|| client::connect(to))
                else {
                    continue;
                };
                let path = format!("{ONCE}2f");
                let bytes =
                    client::request("POST", &path, &id, 1_500, "", b"{}");
                let at_ms = record.now_ms();
                sent.lock().unwrap().push((id.clone(), entry, at_ms));
                let limit = Duration::from_secs(2);
                let end = client::exchange(&mut kept, &bytes, limit);
                record.line(&format!("{id} of {at_ms} ends {end:?}"));
                if matches!(end, client::End::Answered(_)) {
                    conn = Some(kept);
                }
            }
        }));
    }
    // Requests run by the old service after the limit.
    let mut late = 0;
    for round in 0..ROUNDS {
        let version = 8 + round;
        let (old, new) = match round % 2 {
            0 => (SERVICES[0], SERVICES[1]),
            _ => (SERVICES[1], SERVICES[0]),
        };
        let reader = readers(&fleet);
        record
            .say(&format!("read the configuration at the store: {reader:?}"));
        let Some(cut) = reader.first().copied() else {
            return Err(io::Error::other("no entry reads the store"));
        };
        if has_trouble {
            fleet.gates[cut].set_silent(true);
            record.say(&format!("the store is silent to front-{cut}"));
        }
        let cut_at = Instant::now();
        thread::sleep(CHANGE_AFTER);
        let text = configuration(version, new);
        fleet.store.set("op", "config", text.as_bytes());
        // The store's answer takes 4 ms.
        thread::sleep(Duration::from_millis(4));
        let acked_ms = record.now_ms();
        record.say(&format!(
            "version {version} is acknowledged: from {old} to {new}"
        ));
        thread::sleep(SILENT.saturating_sub(cut_at.elapsed()));
        fleet.gates[cut].set_silent(false);
        record.line("the store responds to all");
        thread::sleep(REST);
        let end_ms = record.now_ms();
        let run_by = |id: &str, service: &str| {
            fleet.servers.iter().any(|server| {
                server.service == service && server.arrivals_of(id) > 0
            })
        };
        let sent = sent.lock().unwrap();
        let mut by_entry = vec![(0, 0); fleet.places.len()];
        for (id, entry, at_ms) in sent.iter() {
            let is_due = *at_ms > acked_ms && *at_ms <= end_ms;
            if *entry != cut && is_due && run_by(id, old) {
                let after_ms = at_ms - acked_ms;
                let known = &mut by_entry[*entry];
                known.0 = known.0.max(after_ms);
                if after_ms > APPLY_MS {
                    known.1 += 1;
                    late += 1;
                    record.line(&format!(
                        "{id} runs at {old}, sent {after_ms} ms after the \
                         acknowledgement"
                    ));
                }
            }
        }
        for (entry, (last_ms, count)) in by_entry.iter().enumerate() {
            if entry != cut {
                record.say(&format!(
                    "front-{entry}: last request to the old service sent \
                     {last_ms} ms after the acknowledgement; {count} after \
                     {APPLY_MS} ms"
                ));
            }
        }
    }
    is_over.store(true, SeqCst);
    for client in clients {
        let _ = client.join();
    }
    record.say(&format!(
        "requests to the old service sent over {APPLY_MS} ms after the \
         acknowledgement, through entries that the store serves: {late}"
    ));
    Ok(late == 0)
}

/// The entries that read the configuration at the store.
fn readers(fleet: &Fleet) -> Vec<usize> {
    let reads = |status: &Json| {
        status.list("feeds").iter().any(|feed| {
            feed.text("table") == "op" && feed.text("asks") == "store"
        })
    };
    let places = fleet.places.iter().enumerate();
    let readers = places.filter(|(_, place)| {
        place.status().is_some_and(|status| reads(&status))
    });
    readers.map(|(at, _)| at).collect()
}
