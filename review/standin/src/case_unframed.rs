//! An engine that leaves ends streams whose answers have no length.

use std::path::Path;
use std::sync::{Arc, Mutex};
use std::thread;
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

/// Plays the case; returns whether the rule was broken.
pub fn play(dir: &Path, has_trouble: bool) -> Result<bool, String> {
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
    for at in 0..2 {
        start(at, format!("no-length-{at}"), format!("/st/{LONG}-u"));
        start(at, format!("chunked-{at}"), format!("/st/{LONG}"));
    }
    for at in 0..OTHERS {
        if at == 10 && has_trouble {
            // The long streams have run for a second.
            let run = site.runs.last_of("no-length-0");
            let run = run.ok_or("no engine runs the long stream")?;
            let engine = site.engines.iter_mut().find(|e| e.id == run.engine);
            engine.ok_or("the engine is gone")?.leave(SERVES);
        }
        let target = format!("/st/{OTHER_EVENTS}-40");
        start(at, format!("other-{at}"), target);
        thread::sleep(Duration::from_millis(100));
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
