//! Traces the id of a failed request to the cause, by the numbered steps of
//! docs/OPERATIONS.md.

use chestnutreach_emulator::{
    caller::{AttemptEnd, Outcome, RequestKind, RequestSpec},
    running::RunningSite,
    site::Site,
    store::StoreFault,
};
use serde_json::Value;

use crate::support::{
    run_streams_while_first_engines_exit, send_request, wait_until, with_site,
    with_small_site,
};

/// Returns the log lines that name a request: step 1.
fn log_lines_of(running: &RunningSite, request: &str) -> Vec<Value> {
    let logs = running.logs();
    let lines = logs.lines().filter(|line| line.contains(request));
    lines.map(|line| serde_json::from_str(line).unwrap()).collect()
}

fn find_event<'a>(lines: &'a [Value], name: &str) -> Option<&'a Value> {
    lines.iter().map(|line| &line["kvs"]).find(|kvs| kvs["name"] == name)
}

/// Waits for the log line with the outcome of a request and returns all log
/// lines of the request.
async fn wait_for_outcome(running: &RunningSite, request: &str) -> Vec<Value> {
    wait_until("the outcome is in the logs", async || {
        find_event(&log_lines_of(running, request), "relay_ended").is_some()
    })
    .await;
    log_lines_of(running, request)
}

#[test]
fn a_refused_request_is_traced_to_the_store() {
    with_small_site(async |running| {
        running.store.set_fault(StoreFault::Silent);
        let wish = RequestSpec {
            max_attempts: 1,
            ..RequestSpec::new(RequestKind::Idempotent, "a", 1)
        };
        let mut refused = None;
        wait_until("a request is refused", async || {
            let outcome = send_request(running, 0, &wish).await;
            let is_refused =
                outcome.attempts[0].end == AttemptEnd::Status(503);
            refused = is_refused.then(|| outcome.attempts[0].id.clone());
            is_refused
        })
        .await;
        let lines = wait_for_outcome(running, &refused.unwrap()).await;
        // Step 2: the outcome and its reason.
        let end = find_event(&lines, "relay_ended").unwrap();
        assert_eq!(end["outcome"], "not_run");
        assert_eq!(end["reason"], "keys_stale");
        // Step 3: the age of the configuration, and the start of the outage.
        let age: u64 =
            end["configuration_age_ms"].as_str().unwrap().parse().unwrap();
        assert!(age > 4_000, "{age}");
        let logs = running.logs();
        assert!(logs.contains("\"keys_stale\""));
        assert!(logs.contains("\"feed_lost\""));
    });
}

#[test]
fn a_refused_stream_is_traced_to_the_missing_layers() {
    with_small_site(async |running| {
        for engine in running.backends.engines() {
            running.backends.terminate(engine);
        }
        let wish = RequestSpec {
            max_attempts: 1,
            ..RequestSpec::new(RequestKind::Stream, "a", 1)
        };
        // The first requests may still be sent to engines whose exit isn't
        // detected yet.
        let mut lines = Vec::new();
        wait_until("a request waits for a path and is refused", async || {
            let outcome = send_request(running, 0, &wish).await;
            lines = wait_for_outcome(running, &outcome.attempts[0].id).await;
            find_event(&lines, "path_awaited").is_some()
                && outcome.attempts[0].end == AttemptEnd::Status(503)
        })
        .await;
        // Step 2: the request was refused because no path was found.
        let end = find_event(&lines, "relay_ended").unwrap();
        assert_eq!(end["reason"], "no_backend");
        assert_eq!(end["attempts"], "0");
        // Step 3: the request waited in the queue, in the name of an account.
        let awaited = find_event(&lines, "path_awaited").unwrap();
        assert_eq!(awaited["result"], "none");
        assert_eq!(awaited["account"], "kaolack");
        // Step 4: no data centre holds all layers.
        wait_until("the planner logs the missing layers", async || {
            let logs = running.logs();
            let mut changes =
                logs.lines().filter(|l| l.contains("\"cover_changed\""));
            changes.next_back().is_some_and(|line| line.contains("x0"))
        })
        .await;
    });
}

#[test]
fn an_interrupted_stream_is_traced_to_its_engine() {
    with_small_site(async |running| {
        let report = run_streams_while_first_engines_exit(running, 4).await;
        let is_interrupted = |outcome: &&Outcome| {
            let lines = log_lines_of(running, &outcome.attempts[0].id);
            find_event(&lines, "relay_broken").is_some()
        };
        let resumed = || report.outcomes.iter().find(is_interrupted);
        wait_until("a stream was resumed", async || resumed().is_some()).await;
        let outcome = resumed().unwrap();
        let lines = wait_for_outcome(running, &outcome.attempts[0].id).await;
        // Step 2: the stream completed after more than one attempt.
        let end = find_event(&lines, "relay_ended").unwrap();
        assert_eq!(end["outcome"], "completed");
        assert_ne!(end["attempts"], "1");
        // Step 3: the engine that failed.
        let broken = find_event(&lines, "relay_broken").unwrap();
        let backend = broken["backend"].as_str().unwrap();
        // Step 4: the suspicions against that engine, or against the engine
        // because of which the entry changed the path.
        let suspects = broken["suspects"].as_str().unwrap();
        let suspect = suspects.split(',').find(|id| !id.is_empty());
        let failed = suspect.unwrap_or(backend);
        let logs = running.logs();
        let of_failed = logs.lines().filter(|l| l.contains(failed));
        let mut suspicions =
            of_failed.filter(|l| l.contains("backend_suspected"));
        assert!(suspicions.next().is_some(), "{failed}: {logs}");
        // Step 5: the engines on which the stream resumed.
        let resumed = lines.iter().map(|line| &line["kvs"]).find(|kvs| {
            kvs["name"] == "relay_sent" && kvs["cause"] == "resumed"
        });
        let resumed = resumed.expect("the resumption is logged");
        assert!(!resumed["backends"].as_str().unwrap().contains(backend));
    });
}

#[test]
fn an_unknown_outcome_is_traced_to_the_lost_response() {
    let site = Site { plain_servers: 1, ..Site::small() };
    with_site(&site, async |running| {
        for server in running.backends.plain_servers() {
            running
                .backends
                .update_server(server, |s| s.response_loss_rate = 1.0);
        }
        let wish = RequestSpec {
            max_attempts: 1,
            ..RequestSpec::new(RequestKind::Once, "letter", 1)
        };
        let outcome = send_request(running, 0, &wish).await;
        assert_eq!(outcome.attempts[0].end, AttemptEnd::Status(502));
        let lines = wait_for_outcome(running, &outcome.attempts[0].id).await;
        // Step 2: the request may have run.
        let end = find_event(&lines, "relay_ended").unwrap();
        assert_eq!(end["outcome"], "unknown");
        assert_eq!(end["attempts"], "1", "the request was not retried");
        // Step 3: the request was sent, and the connection closed without a
        // response.
        let sent = find_event(&lines, "relay_sent").unwrap();
        let broken = find_event(&lines, "relay_broken").unwrap();
        assert_eq!(sent["backends"], broken["backend"]);
    });
}
