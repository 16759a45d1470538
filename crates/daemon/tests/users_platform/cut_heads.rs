//! Servers whose responses end within their head.

use std::time::Duration;

use chestnutreach_emulator::{
    caller::{AttemptEnd, RequestKind},
    load::Load,
    site::Site,
};

use crate::support::{assert_no_violation, with_site};

/// Share of responses that end within their head.
const CUT_RATE: f64 = 0.3;

/// What has run and was not told is never repeated unless it may be, never
/// told as whole, and never told as not run.
#[test]
fn a_response_that_ends_within_its_head_is_never_told_as_whole() {
    let site = Site { engines_each: 8, events: 20, ..Site::small() };
    with_site(&site, async |running| {
        for server in running
            .backends
            .engines()
            .into_iter()
            .chain(running.backends.plain_servers())
        {
            running.backends.update_server(server, |server| {
                server.head_cut_rate = CUT_RATE;
            });
        }
        let load = Load {
            per_s: [
                (RequestKind::Stream, 20.0),
                (RequestKind::Idempotent, 30.0),
                (RequestKind::Once, 30.0),
            ]
            .into(),
            duration: Duration::from_secs(4),
            events: site.events,
            seed: 69,
        };
        let report = running.run(&load, &[]).await;
        assert_no_violation(&report);
        let violations = report.retry_violations(site.retry_slack);
        assert!(violations.is_empty(), "{violations:?}");
        let excess = report.requests_on_excess_servers();
        assert!(excess.is_empty(), "{excess:?}");
        let once =
            report.outcomes.iter().filter(|o| o.kind == RequestKind::Once);
        let ends: Vec<&AttemptEnd> =
            once.flat_map(|o| &o.attempts).map(|a| &a.end).collect();
        let is_lost = |end: &&&AttemptEnd| **end == &AttemptEnd::Status(502);
        let lost = ends.iter().filter(is_lost).count();
        assert!(lost > 0, "no response was cut");
        let is_true = |end: &&AttemptEnd| {
            // That a request with 503 has not run is among the invariants.
            matches!(end, AttemptEnd::Whole | AttemptEnd::Status(502 | 503))
        };
        assert!(ends.iter().all(is_true), "{ends:?}");
        for kind in [RequestKind::Stream, RequestKind::Idempotent] {
            // Two servers or more were asked.
            let share = report.served_share(kind);
            assert!(share > 1.0 - CUT_RATE.powi(2), "{kind:?}: {share}");
        }
        let logs = running.logs();
        let cut = logs.lines().find(|line| {
            line.contains("\"name\":\"relay_broken\"")
                && line.contains("the head was cut short")
        });
        assert!(cut.is_some(), "no log line names the cut head");
    });
}
