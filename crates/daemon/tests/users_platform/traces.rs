//! From a failed request's id to its cause, as docs/OPERATIONS.md leads.

use chestnutreach_emulator::{
    caller::{AttemptEnd, Outcome, RequestKind, RequestSpec},
    running::RunningSite,
    site::Site,
    store::StoreFault,
};
use serde_json::Value;

use crate::support::{
    on, on_site, one, play_while_first_engines_end, wait_until,
};

/// Lines of the logs that name a request, as step 1 of the page does.
fn lines_of(running: &RunningSite, request: &str) -> Vec<Value> {
    let logs = running.logs();
    let lines = logs.lines().filter(|line| line.contains(request));
    lines.map(|line| serde_json::from_str(line).unwrap()).collect()
}

fn named<'a>(lines: &'a [Value], name: &str) -> Option<&'a Value> {
    lines.iter().map(|line| &line["kvs"]).find(|kvs| kvs["name"] == name)
}

/// Waits for the line that tells a request's outcome.
async fn ended(running: &RunningSite, request: &str) -> Vec<Value> {
    wait_until("the outcome is in the logs", async || {
        named(&lines_of(running, request), "relay_ended").is_some()
    })
    .await;
    lines_of(running, request)
}

#[test]
fn a_refused_request_leads_to_the_store() {
    on_site(async |running| {
        running.store.set_fault(StoreFault::Silent);
        let wish = RequestSpec {
            max_attempts: 1,
            ..RequestSpec::new(RequestKind::Idempotent, "a", 1)
        };
        let mut refused = None;
        wait_until("a request is refused", async || {
            let outcome = one(running, 0, &wish).await;
            let is_refused =
                outcome.attempts[0].end == AttemptEnd::Status(503);
            refused = is_refused.then(|| outcome.attempts[0].id.clone());
            is_refused
        })
        .await;
        let lines = ended(running, &refused.unwrap()).await;
        // Step 2: the outcome and its reason.
        let end = named(&lines, "relay_ended").unwrap();
        assert_eq!(end["outcome"], "not_run");
        assert_eq!(end["reason"], "keys_stale");
        // Step 3: how old the knowledge was, and since when.
        let age: u64 =
            end["configuration_age_ms"].as_str().unwrap().parse().unwrap();
        assert!(age > 4_000, "{age}");
        let logs = running.logs();
        assert!(logs.contains("\"keys_stale\""));
        assert!(logs.contains("\"feed_lost\""));
    });
}

#[test]
fn a_refused_stream_leads_to_the_missing_layers() {
    on_site(async |running| {
        for engine in running.backends.engines() {
            running.backends.terminate(engine);
        }
        let wish = RequestSpec {
            max_attempts: 1,
            ..RequestSpec::new(RequestKind::Stream, "a", 1)
        };
        // The first may still be sent to engines that are not known to be
        // gone.
        let mut lines = Vec::new();
        wait_until("a request waits in vain", async || {
            let outcome = one(running, 0, &wish).await;
            lines = ended(running, &outcome.attempts[0].id).await;
            named(&lines, "path_awaited").is_some()
                && outcome.attempts[0].end == AttemptEnd::Status(503)
        })
        .await;
        // Step 2: it was refused for want of a path.
        let end = named(&lines, "relay_ended").unwrap();
        assert_eq!(end["reason"], "no_backend");
        assert_eq!(end["attempts"], "0");
        // Step 3: it waited in the queue, and for whom.
        let awaited = named(&lines, "path_awaited").unwrap();
        assert_eq!(awaited["result"], "none");
        assert_eq!(awaited["account"], "kaolack");
        // Step 4: no data centre holds all layers.
        wait_until("the planner tells of the layers", async || {
            let logs = running.logs();
            let mut cover =
                logs.lines().filter(|l| l.contains("\"cover_changed\""));
            cover.next_back().is_some_and(|line| line.contains("x0"))
        })
        .await;
    });
}

#[test]
fn a_stream_that_broke_leads_to_its_engine() {
    on_site(async |running| {
        let report = play_while_first_engines_end(running, 4).await;
        let is_changed = |outcome: &&Outcome| {
            let lines = lines_of(running, &outcome.attempts[0].id);
            named(&lines, "relay_broken").is_some()
        };
        let resumed = || report.outcomes.iter().find(is_changed);
        wait_until("a stream was resumed", async || resumed().is_some()).await;
        let outcome = resumed().unwrap();
        let lines = ended(running, &outcome.attempts[0].id).await;
        // Step 2: it was whole, after more than one attempt.
        let end = named(&lines, "relay_ended").unwrap();
        assert_eq!(end["outcome"], "completed");
        assert_ne!(end["attempts"], "1");
        // Step 3: which engine broke, after which event.
        let broken = named(&lines, "relay_broken").unwrap();
        let backend = broken["backend"].as_str().unwrap();
        // Step 4: what the entry believed of that engine, or of the one
        // because of which it left that engine.
        let suspects = broken["suspects"].as_str().unwrap();
        let named = suspects.split(',').find(|id| !id.is_empty());
        let dead = named.unwrap_or(backend);
        let logs = running.logs();
        let of_dead = logs.lines().filter(|l| l.contains(dead));
        let mut suspicions =
            of_dead.filter(|l| l.contains("backend_suspected"));
        assert!(suspicions.next().is_some(), "{dead}: {logs}");
        // Step 5: where it went on.
        let resumed = lines.iter().map(|line| &line["kvs"]).find(|kvs| {
            kvs["name"] == "relay_sent" && kvs["cause"] == "resumed"
        });
        let resumed = resumed.expect("the resumption is told");
        assert!(!resumed["backends"].as_str().unwrap().contains(backend));
    });
}

#[test]
fn an_unknown_end_leads_to_the_lost_answer() {
    let site = Site { plain_servers: 1, ..Site::small() };
    on(&site, async |running| {
        for server in running.backends.plain_servers() {
            running
                .backends
                .update_server(server, |s| s.response_loss_rate = 1.0);
        }
        let wish = RequestSpec {
            max_attempts: 1,
            ..RequestSpec::new(RequestKind::Once, "letter", 1)
        };
        let outcome = one(running, 0, &wish).await;
        assert_eq!(outcome.attempts[0].end, AttemptEnd::Status(502));
        let lines = ended(running, &outcome.attempts[0].id).await;
        // Step 2: it may have run.
        let end = named(&lines, "relay_ended").unwrap();
        assert_eq!(end["outcome"], "unknown");
        assert_eq!(end["attempts"], "1", "it was not sent again");
        // Step 3: it was sent, and the connection ended without an answer.
        let sent = named(&lines, "relay_sent").unwrap();
        let broken = named(&lines, "relay_broken").unwrap();
        assert_eq!(sent["backends"], broken["backend"]);
    });
}
