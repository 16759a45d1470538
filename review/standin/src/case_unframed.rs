//! An engine that leaves or crashes ends streams whose answers have no length.

use std::path::Path;
use std::process::Command;
use std::sync::atomic::{AtomicBool, Ordering::SeqCst};
use std::sync::{Arc, Mutex};
use std::thread::{self, JoinHandle};
use std::time::Duration;

use crate::client::{Client, Request};
use crate::config::KEY_ONE;
use crate::site::{Answers, Site};

/// Time for which an engine serves after the store has accepted its report:
/// `drain-ms` and a little longer.
const SERVES: Duration = Duration::from_millis(2_000 + 1_500);
/// Events of the long streams, and the pause between them: 9.4 s.
const LONG_EVENTS: u64 = 209;
const LONG: &str = "209-45";
/// Other streams: with them, 2 of 124 answers have no length, of at most 2 of
/// 4 engines.
const OTHERS: usize = 120;
const OTHER_EVENTS: u64 = 20;

/// Long streams where an engine crashes.
const AT_CRASH: usize = 24;

/// What happens to an engine.
#[derive(Clone, Copy, Eq, PartialEq)]
pub enum Trouble {
    /// It leaves; 2 of its answers have no length.
    Leaves,
    /// It crashes; no answer of any engine has a length, and the core of an
    /// entry is a quota of about a quarter.
    Crashes,
}

/// Plays the case; returns whether the rule was broken.
pub fn play(
    dir: &Path,
    trouble: Trouble,
    has_trouble: bool,
) -> Result<bool, String> {
    let mut site = Site::start(dir, 4, 1);
    site.start_entry(site.store.address);
    site.start_entry(site.store.address);
    site.wait_until_serving()?;
    thread::sleep(Duration::from_secs(3));
    let answers: Answers = Arc::new(Mutex::default());
    let mut clients = Vec::new();
    let addresses: Vec<_> = site.entries.iter().map(|e| e.clients).collect();
    let mut start = |at: usize, id: String, target: String| {
        let address = addresses[at % addresses.len()];
        let (answers, record) = (answers.clone(), site.record.clone());
        clients.push(thread::spawn(move || {
            let request = Request {
                method: "POST",
                target: &target,
                id: &id,
                key: KEY_ONE,
                deadline_ms: "20000",
                token_count: Some("760,418"),
            };
            let sent_ms = record.now_ms();
            record.line(&format!("client sends {id} {target}"));
            let limit = Duration::from_secs(21);
            let answer = Client::new(address).send(&request, limit);
            record.line(&format!("client of {id}: {}", answer.text()));
            answers.lock().unwrap().insert(id, (sent_ms, answer));
        }));
    };
    let is_crash = trouble == Trouble::Crashes;
    for at in 0..if is_crash { AT_CRASH } else { 2 } {
        start(at, format!("no-length-{at}"), format!("/st/{LONG}-u"));
        if !is_crash {
            start(at, format!("chunked-{at}"), format!("/st/{LONG}"));
        }
    }
    let is_over = Arc::new(AtomicBool::new(false));
    let pids: Vec<u32> = site.entries.iter().map(|e| e.child.id()).collect();
    let quota = is_crash.then(|| hold_to_quota(pids, is_over.clone()));
    for at in 0..OTHERS {
        if at == 10 && has_trouble {
            // The long streams have run for a second.
            let run = site.runs.last_of("no-length-0");
            let run = run.ok_or("no engine runs the long stream")?;
            let engine = site.engines.iter_mut().find(|e| e.id == run.engine);
            let engine = engine.ok_or("the engine is gone")?;
            match trouble {
                Trouble::Leaves => engine.leave(SERVES),
                Trouble::Crashes => engine.crash(),
            }
        }
        let framing = if is_crash { "-u" } else { "" };
        let target = format!("/st/{OTHER_EVENTS}-40{framing}");
        start(at, format!("other-{at}"), target);
        thread::sleep(Duration::from_millis(100));
    }
    is_over.store(true, SeqCst);
    if let Some(quota) = quota {
        let _ = quota.join();
    }
    for client in clients {
        let _ = client.join();
    }
    let answers = answers.lock().unwrap();
    let (mut broken, mut whole, mut others) = (0, 0, 0);
    for (id, (_, answer)) in answers.iter() {
        let events = match id.starts_with("other") {
            true => OTHER_EVENTS,
            false => LONG_EVENTS,
        };
        if answer.status != 200 || !answer.is_complete {
            others += 1;
        } else if answer.events == events && answer.last_event == events {
            whole += 1;
        } else {
            broken += 1;
            site.record.say(&format!(
                "ORDER broken: {id} ended as complete after event {} of {events}",
                answer.last_event
            ));
        }
    }
    site.record.say(&format!(
        "streams: {whole} whole, {others} not complete, {broken} ended as \
         complete before their last event"
    ));
    if whole < OTHERS / 2 {
        return Err("most streams were not served".to_owned());
    }
    Ok(broken > 0)
}

/// Lets processes run for 25 ms of each 100 ms, as on a core whose share is a
/// quota.
fn hold_to_quota(pids: Vec<u32>, is_over: Arc<AtomicBool>) -> JoinHandle<()> {
    let signal = move |name: &str| {
        for pid in &pids {
            let pid = pid.to_string();
            let _ = Command::new("kill").args([name, &pid]).status();
        }
    };
    thread::spawn(move || {
        while !is_over.load(SeqCst) {
            thread::sleep(Duration::from_millis(25));
            signal("-STOP");
            thread::sleep(Duration::from_millis(75));
            signal("-CONT");
        }
    })
}
