//! Open connections to the store go silent while new ones work.

use std::path::Path;
use std::sync::atomic::{AtomicBool, Ordering::SeqCst};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

use crate::client::{Client, Request};
use crate::config::KEY_ONE;
use crate::proxy::Proxy;
use crate::site::{Answers, Site};

/// `contact-ms`: this long after its connections were reset, a machine is in
/// touch again.
const CONTACT_MS: u64 = 3_000;
/// `drain-ms`.
const DRAIN_MS: u64 = 2_000;
/// Time for which the engine serves after the store's acknowledgement:
/// `drain-ms` and a little longer.
const SERVES: Duration = Duration::from_millis(2_000 + 1_600);
/// Added to both bounds, for the clocks of this program.
const MARGIN_MS: u64 = 50;

/// Plays the case; returns whether the rule was broken.
pub fn play(dir: &Path, has_trouble: bool) -> Result<bool, String> {
    let mut site = Site::start(dir, 0, 3);
    let proxies: Vec<Proxy> =
        (0..2).map(|_| Proxy::start(site.store.address)).collect();
    for proxy in &proxies {
        site.start_entry(proxy.address);
    }
    site.wait_until_serving()?;
    let is_over = Arc::new(AtomicBool::new(false));
    let answers: Answers = Arc::new(Mutex::default());
    let mut clients = Vec::new();
    for at in 0..8 {
        let address = site.entries[at % site.entries.len()].clients;
        let (answers, record) = (answers.clone(), site.record.clone());
        let is_over = is_over.clone();
        clients.push(thread::spawn(move || {
            let mut client = Client::new(address);
            for number in 0.. {
                if is_over.load(SeqCst) {
                    return;
                }
                let id = format!("on-{at}-{number}");
                let request = Request {
                    method: "POST",
                    target: "/on/150",
                    id: &id,
                    key: KEY_ONE,
                    deadline_ms: "1500",
                    token_count: None,
                };
                let sent_ms = record.now_ms();
                record.line(&format!("client sends {id} to front-{}", at % 2));
                let limit = Duration::from_millis(1_600);
                let answer = client.send(&request, limit);
                record.line(&format!("client of {id}: {}", answer.text()));
                answers.lock().unwrap().insert(id, (sent_ms, answer));
                thread::sleep(Duration::from_millis(20));
            }
        }));
    }
    thread::sleep(Duration::from_secs(8));
    let silent_ms = site.record.now_ms();
    if has_trouble {
        for proxy in &proxies {
            let count = proxy.silence_open_connections();
            site.record.say(&format!(
                "{silent_ms} ms: the open ones of {count} connections to the \
                 store go silent"
            ));
        }
    }
    thread::sleep(Duration::from_millis(300));
    let leaving = site.plain[0].id.clone();
    site.plain[0].leave(SERVES);
    thread::sleep(Duration::from_secs(8));
    is_over.store(true, SeqCst);
    for client in clients {
        let _ = client.join();
    }
    let answers = answers.lock().unwrap();
    let accepted = "draining, accepted by the store";
    let accepted_ms = site.runs.said_ms(&leaving, accepted);
    let accepted_ms = accepted_ms.ok_or("the engine did not leave")?;
    let exit_ms = site.runs.said_ms(&leaving, "exits").unwrap_or(u64::MAX);
    site.record.say(&format!(
        "{accepted_ms} ms: the store has accepted that {leaving} is draining; \
         {exit_ms} ms: it exits"
    ));
    let in_touch_ms = silent_ms + CONTACT_MS + MARGIN_MS;
    let bound_ms = accepted_ms + DRAIN_MS + MARGIN_MS;
    let mut late = Vec::new();
    for run in site.runs.all() {
        let sent_ms = answers.get(&run.request).map_or(0, |a| a.0);
        if run.engine == leaving
            && run.at_ms > bound_ms
            && sent_ms > in_touch_ms
        {
            late.push(run);
        }
    }
    let is_lost =
        |id: &String| answers.get(id).is_none_or(|a| a.1.status != 200);
    let served = answers.values().filter(|a| a.1.status == 200).count();
    site.record.say(&format!(
        "{served} of {} requests were answered 200; {} were sent by clients \
         later than {CONTACT_MS} ms after the silence and reached {} later \
         than {DRAIN_MS} ms after the acknowledgement; {} of these were lost",
        answers.len(),
        late.len(),
        leaving,
        late.iter().filter(|run| is_lost(&run.request)).count()
    ));
    if let (Some(first), Some(last)) = (late.first(), late.last()) {
        site.record.say(&format!(
            "DRAIN broken: first {} at {} ms, last {} at {} ms ({} ms after \
             the acknowledgement, {} ms after the silence)",
            first.request,
            first.at_ms,
            last.request,
            last.at_ms,
            last.at_ms - accepted_ms,
            last.at_ms - silent_ms
        ));
    }
    if served < answers.len() / 2 {
        return Err("most requests were not served".to_owned());
    }
    Ok(!late.is_empty())
}
