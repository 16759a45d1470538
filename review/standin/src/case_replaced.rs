//! All processes are killed after many machines were replaced.

use std::path::Path;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering::SeqCst};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::client::{Client, Request};
use crate::config::{KEY_ONE, KEY_TWO, configuration};
use crate::entry::Entry;
use crate::site::{Answers, Site};

/// Machines that came and were removed for good, each with a name and an
/// address of its own, and how many lines of succession there are.
const REPLACED: usize = 200;
const LINES: usize = 8;
/// `recover-s`.
const RECOVER_MS: u64 = 12_000;
/// Time after that in which requests are judged.
const JUDGED_MS: u64 = 10_000;
/// Time for which the machines are down.
const DOWN: Duration = Duration::from_millis(1_200);
const STREAMS: usize = 64;
const LOOKUPS: usize = 3;

/// Plays the case; returns whether the rule was broken.
pub fn play(dir: &Path, has_trouble: bool) -> Result<bool, String> {
    let mut site = Site::start(dir, 4, 2);
    site.start_entry(site.store.address);
    site.start_entry(site.store.address);
    site.wait_until_serving()?;
    let is_over = Arc::new(AtomicBool::new(false));
    let answers: Answers = Arc::new(Mutex::default());
    let mut clients = Vec::new();
    for at in 0..STREAMS + LOOKUPS {
        let address = site.entries[at % 2].clients;
        let (answers, record) = (answers.clone(), site.record.clone());
        let is_over = is_over.clone();
        clients.push(thread::spawn(move || {
            let mut client = Client::new(address);
            for number in 0.. {
                if is_over.load(SeqCst) {
                    return;
                }
                let id = format!("c-{at}-{number}");
                let is_stream = at < STREAMS;
                let request = Request {
                    method: "POST",
                    target: if is_stream { "/st/40-50" } else { "/lk/60" },
                    id: &id,
                    key: [KEY_ONE, KEY_TWO][at / 2 % 2],
                    deadline_ms: if is_stream { "20000" } else { "1500" },
                    token_count: is_stream.then_some("760,80"),
                };
                let sent_ms = record.now_ms();
                let limit = Duration::from_secs(20);
                let answer = client.send(&request, limit);
                record.line(&format!(
                    "client of {id}, sent at {sent_ms}: {}",
                    answer.text()
                ));
                let is_served = answer.status == 200 && answer.is_complete;
                answers.lock().unwrap().insert(id, (sent_ms, answer));
                if !is_served {
                    thread::sleep(Duration::from_millis(1_500));
                } else if !is_stream {
                    thread::sleep(Duration::from_millis(500));
                }
            }
        }));
    }
    thread::sleep(
        Duration::from_secs(18)
            .saturating_sub(Duration::from_millis(site.record.now_ms())),
    );
    if has_trouble {
        replace_machines(&site);
    }
    thread::sleep(Duration::from_secs(4));
    let fault_ms = site.record.now_ms();
    site.store.put("op", "config", &configuration(5));
    for entry in &mut site.entries {
        entry.kill();
    }
    site.record.say(&format!(
        "{fault_ms} ms: a configuration is acknowledged, all processes are \
         killed"
    ));
    thread::sleep(DOWN);
    for entry in &mut site.entries {
        entry.start_again();
    }
    let back_ms = site.record.now_ms();
    let until_ms = back_ms + RECOVER_MS + JUDGED_MS;
    thread::sleep(Duration::from_millis(until_ms - back_ms));
    is_over.store(true, SeqCst);
    for client in clients {
        let _ = client.join();
    }
    let answers = answers.lock().unwrap();
    let share = |from_ms: u64, until_ms: u64| {
        let sent = answers.values();
        let sent = sent.filter(|a| a.0 >= from_ms && a.0 < until_ms);
        let of: Vec<_> = sent.collect();
        let is_served = |a: &&&(u64, crate::client::Answer)| {
            a.1.status == 200 && a.1.is_complete
        };
        let served = of.iter().filter(is_served).count();
        (served, of.len(), served as f64 / of.len().max(1) as f64)
    };
    let before = share(fault_ms.saturating_sub(7_000), fault_ms - 2_500);
    let after = share(back_ms + RECOVER_MS, until_ms);
    for (what, (served, sent, share)) in [
        ("in the seconds before the fault", before),
        ("later than recover-s after the machines are back", after),
    ] {
        site.record.say(&format!(
            "{what}: {served} of {sent} requests served, {share:.3}"
        ));
    }
    if before.2 < 0.25 {
        return Err("less than a quarter was served before".to_owned());
    }
    if after.2 < 0.25 {
        site.record.say("RECOVER broken: less than a quarter");
    }
    Ok(after.2 < 0.25)
}

/// One machine after the other comes, lists itself and is removed for good.
fn replace_machines(site: &Site) {
    let next = AtomicUsize::new(0);
    let began = Instant::now();
    thread::scope(|scope| {
        for _ in 0..LINES {
            scope.spawn(|| {
                loop {
                    let at = next.fetch_add(1, SeqCst);
                    if at >= REPLACED {
                        return;
                    }
                    let name = format!("front-new-{at}");
                    let zone = ["hall-medina", "hall-leona"][at % 2];
                    let store = site.store.address;
                    let entry = Entry::start(&name, zone, store, &site.logs);
                    let started = Instant::now();
                    while started.elapsed() < Duration::from_secs(3)
                        && !site.store.has("chestnutreach-entries", &name)
                    {
                        thread::sleep(Duration::from_millis(10));
                    }
                    drop(entry);
                    site.record.line(&format!("{name} came and is gone"));
                }
            });
        }
    });
    site.record.say(&format!(
        "{REPLACED} machines came and were removed within {} ms",
        began.elapsed().as_millis()
    ));
}
