//! A client that would wait for ever asks for more than an engine holds.

use std::path::Path;
use std::sync::atomic::{AtomicBool, Ordering::SeqCst};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::client::{Client, Request};
use crate::config::{KEY_ONE, KEY_TWO};
use crate::entry::kill;
use crate::site::{Answers, Site};

/// `memory-mb` of an entry, in bytes: the platform kills a process that has
/// more.
const MEMORY_BYTES: u64 = 260 << 20;
/// Largest integer of 64 bits: a client without a limit of its own.
const FOR_EVER: &str = "9223372036854775807";
const USUAL: &str = "20000";
/// More tokens than an engine has memory for.
const LARGE: &str = "3000000,168";
/// Kept connections with a request in progress.
const WAITING: usize = 8;

/// Plays the case; returns whether the rule was broken.
pub fn play(dir: &Path, has_trouble: bool) -> Result<bool, String> {
    let mut site = Site::start(dir, 3, 3);
    site.start_entry(site.store.address);
    site.start_entry(site.store.address);
    site.wait_until_serving()?;
    thread::sleep(Duration::from_secs(3));
    let addresses: Vec<_> = site.entries.iter().map(|e| e.clients).collect();
    let is_over = Arc::new(AtomicBool::new(false));
    let mut threads = Vec::new();
    // Streams of two tenants, at both entries.
    for at in 0..6 {
        let (address, is_over) = (addresses[at % 2], is_over.clone());
        let key = [KEY_ONE, KEY_TWO][at / 2 % 2];
        threads.push(thread::spawn(move || {
            let mut client = Client::new(address);
            for number in 0.. {
                if is_over.load(SeqCst) {
                    return;
                }
                let id = format!("stream-{at}-{number}");
                let request = Request {
                    method: "POST",
                    target: "/st/20-40",
                    id: &id,
                    key,
                    deadline_ms: USUAL,
                    token_count: Some("760,40"),
                };
                let answer = client.send(&request, Duration::from_secs(3));
                if !answer.is_complete {
                    thread::sleep(Duration::from_millis(200));
                }
            }
        }));
    }
    thread::sleep(Duration::from_secs(3));
    // The platform: a process over its memory is killed.
    for (at, entry) in site.entries.iter().enumerate() {
        let pid = entry.child.id();
        let (record, is_over) = (site.record.clone(), is_over.clone());
        threads.push(thread::spawn(move || {
            let mut most = 0;
            while !is_over.load(SeqCst) {
                let bytes = memory_bytes(pid);
                most = most.max(bytes);
                if bytes > MEMORY_BYTES {
                    record.say(&format!(
                        "front-{at} has {} MB and is killed by the platform",
                        bytes >> 20
                    ));
                    kill(pid);
                    return;
                }
                thread::sleep(Duration::from_millis(5));
            }
            record.say(&format!("front-{at}: at most {} MB", most >> 20));
        }));
    }
    let began = Instant::now();
    // Requests at the first entry, one after the other on kept connections.
    let answers: Answers = Arc::new(Mutex::default());
    let mut waiting = Vec::new();
    for at in 0..WAITING {
        let (address, answers) = (addresses[0], answers.clone());
        let record = site.record.clone();
        waiting.push(thread::spawn(move || {
            let mut client = Client::new(address);
            let mut number = 0;
            while began.elapsed() < Duration::from_millis(8_000) {
                number += 1;
                let id = format!("wait-{at}-{number}");
                let request = Request {
                    method: "POST",
                    target: "/on/600",
                    id: &id,
                    key: KEY_TWO,
                    deadline_ms: "1500",
                    token_count: None,
                };
                let sent_ms = record.now_ms();
                record.line(&format!("client sends {id}"));
                let answer =
                    client.send(&request, Duration::from_millis(1_500));
                record.line(&format!("client of {id}: {}", answer.text()));
                let is_lost = answer.status == 0;
                answers.lock().unwrap().insert(id, (sent_ms, answer));
                if is_lost {
                    return;
                }
            }
        }));
    }
    thread::sleep(Duration::from_secs(2));
    // The client, and its retry at the other entry.
    let deadline_ms = if has_trouble { FOR_EVER } else { USUAL };
    let record = site.record.clone();
    let to = addresses.clone();
    let large = thread::spawn(move || {
        for (at, address) in to.into_iter().enumerate() {
            let id = format!("large-{at}");
            let request = Request {
                method: "POST",
                target: "/st/20-40",
                id: &id,
                key: KEY_ONE,
                deadline_ms,
                token_count: Some(LARGE),
            };
            record.line(&format!("client sends {id}, deadline {deadline_ms}"));
            let limit = Duration::from_secs(8);
            let answer = Client::new(address).send(&request, limit);
            record.say(&format!("client of {id}: {}", answer.text()));
        }
    });
    for thread in waiting {
        let _ = thread.join();
    }
    let _ = large.join();
    thread::sleep(Duration::from_millis(300));
    let ready: Vec<bool> = site.entries.iter().map(|e| e.is_ready()).collect();
    is_over.store(true, SeqCst);
    for thread in threads {
        let _ = thread.join();
    }
    let answers = answers.lock().unwrap();
    let was_run = |id: &str| site.runs.last_of(id).is_some();
    let is_kept = |id: &str| !id.ends_with("-1");
    let lost = answers.iter().filter(|(id, (_, answer))| {
        answer.status == 0 && answer.is_closed && was_run(id) && is_kept(id)
    });
    let lost = lost.count();
    let served = answers.values().filter(|a| a.1.status == 200).count();
    site.record.say(&format!(
        "requests on kept connections that an engine ran: {lost} connections \
         closed without an answer; {served} of all were answered 200; entries that still \
         answer: {}",
        ready.iter().filter(|ready| **ready).count()
    ));
    if served < WAITING {
        return Err("too few requests were served".to_owned());
    }
    if lost > 3 {
        site.record.say("LOST broken: more than three");
    }
    Ok(lost > 3)
}

/// Resident memory of a process.
fn memory_bytes(pid: u32) -> u64 {
    let text = std::fs::read_to_string(format!("/proc/{pid}/statm"));
    let text = text.unwrap_or_default();
    let pages = text.split(' ').nth(1).and_then(|n| n.parse().ok());
    pages.unwrap_or(0_u64) * 4_096
}
