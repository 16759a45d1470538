//! Streams of two urgencies that ask for more than fits, at entries that are
//! killed, cut off or without the store meanwhile.

use std::time::Duration;

use async_io::Timer;
use chestnutreach_emulator::{
    caller::{Outcome, RequestKind, RequestSpec},
    experiment::{Fault, FaultKind},
    load::Load,
    report::Report,
    running::RunningSite,
    site::Site,
    store::StoreFault,
};
use rstest::rstest;
use rustix::process::Signal;

use crate::support::{
    assert_no_violation, send_request, wait_until, with_site,
};

/// About one and a half times as many as fit.
const URGENT_PER_S: f64 = 20.0;
const OTHERS_PER_S: f64 = 40.0;

fn share_served(report: &Report, kind: RequestKind) -> f64 {
    let of_kind = || report.outcomes.iter().filter(|o| o.kind == kind);
    let served = of_kind().filter(|o| o.is_served()).count();
    served as f64 / of_kind().count().max(1) as f64
}

/// Share of the streams of a kind that were served without a second attempt.
fn share_at_once(report: &Report, kind: RequestKind) -> f64 {
    let of_kind = || report.outcomes.iter().filter(|o| o.kind == kind);
    let at_once = |o: &&Outcome| o.is_served() && o.attempts.len() == 1;
    let count = of_kind().filter(at_once).count();
    count as f64 / of_kind().count().max(1) as f64
}

struct Case {
    fault: Option<FaultKind>,
}

#[rstest]
#[case::no_fault(Case { fault: None })]
#[case::an_entry_restarts_empty(Case { fault: Some(FaultKind::EntryKilled) })]
#[case::an_entry_pauses(Case { fault: Some(FaultKind::EntryPauses) })]
#[case::the_store_is_away(Case {
    fault: Some(FaultKind::Store(StoreFault::Silent)),
})]
fn urgent_streams_go_first_and_no_stream_starves(#[case] case: Case) {
    let load = Load {
        per_s: [
            (RequestKind::UrgentStream, URGENT_PER_S),
            (RequestKind::Stream, OTHERS_PER_S),
        ]
        .into(),
        duration: Duration::from_secs(5),
        events: Site::with_competition().events,
        seed: 5,
    };
    let fault = |kind| Fault {
        at: Duration::from_millis(1_500),
        kind,
        duration: Duration::from_millis(1_500),
    };
    let faults: Vec<Fault> = case.fault.into_iter().map(fault).collect();
    with_site(&Site::with_competition(), async |running| {
        let report = running.run(&load, &faults).await;
        assert_no_violation(&report);
        let urgent = share_at_once(&report, RequestKind::UrgentStream);
        let others = share_at_once(&report, RequestKind::Stream);
        let text = format!(
            "at once: urgent {urgent:.2}, others {others:.2}; served: \
             urgent {:.2}, others {:.2}",
            share_served(&report, RequestKind::UrgentStream),
            share_served(&report, RequestKind::Stream),
        );
        println!("{text}");
        assert!(urgent >= others + 0.1, "{text}");
        assert!(others >= 0.25 * urgent, "{text}");
        let logs = running.logs();
        assert!(logs.contains("\"name\":\"share_refused\""), "{text}");
    });
}

/// What an entry counts of the service of the streams.
#[derive(Clone, Copy, Debug)]
struct SharesSeen {
    asked_tokens_per_s: f64,
    capacity_tokens: f64,
    heard: u64,
}

async fn shares_seen(
    running: &RunningSite,
    entry: usize,
) -> Option<SharesSeen> {
    let status = running.status(entry).await?;
    let shares = status["shares"].as_array()?.first()?.clone();
    let classes = shares["classes"].as_array()?;
    let asked = |class: &serde_json::Value| {
        class["asked_tokens_per_s"].as_f64().unwrap_or(0.0)
    };
    Some(SharesSeen {
        asked_tokens_per_s: classes.iter().map(asked).sum(),
        capacity_tokens: shares["capacity_tokens"].as_f64()?,
        heard: shares["heard"].as_u64()?,
    })
}

/// What the first entry counts after a stream, for which it computes the
/// shares anew.
async fn shares_after_stream(running: &RunningSite) -> SharesSeen {
    let events = Site::with_competition().events;
    let spec = RequestSpec::new(RequestKind::Stream, "alone", events);
    send_request(running, 0, &spec).await;
    shares_seen(running, 0).await.expect("a stream ran")
}

/// Streams that all fit, so that none comes back.
fn light_load(duration: Duration) -> Load {
    Load {
        per_s: [
            (RequestKind::UrgentStream, 10.0),
            (RequestKind::Stream, 10.0),
        ]
        .into(),
        duration,
        events: Site::with_competition().events,
        seed: 6,
    }
}
const LIGHT_LOAD_PER_S: f64 = 20.0;
/// Tokens of a stream: prompt and expected output.
const STREAM_TOKENS: f64 = 130.0;

/// What each entry counts as demand is what callers ask of all entries, each
/// counted once. With three entries, counting the others twice gives 1.67
/// times as much, and leaving them out a third.
#[test]
fn each_entry_counts_the_demand_at_all_entries_once() {
    with_site(&Site::with_competition(), async |running| {
        let load = light_load(Duration::from_secs(6));
        let sample = async {
            // The rates need a second to become steady.
            Timer::after(Duration::from_millis(1_500)).await;
            let mut seen = Vec::new();
            for _ in 0..35 {
                Timer::after(Duration::from_millis(100)).await;
                for entry in 0..running.addresses.len() {
                    let shares = shares_seen(running, entry).await;
                    seen.extend(shares.map(|s| s.asked_tokens_per_s));
                }
            }
            seen
        };
        let played = running.run(&load, &[]);
        let (report, seen) = futures_lite::future::zip(played, sample).await;
        assert_no_violation(&report);
        let mean = seen.iter().sum::<f64>() / seen.len().max(1) as f64;
        let part = mean / (LIGHT_LOAD_PER_S * STREAM_TOKENS);
        assert!((0.75..1.35).contains(&part), "{part:.2} of the demand");
    });
}

/// An entry that hears less than half of the others counts on its own part of
/// the capacity alone.
#[test]
fn an_entry_that_is_cut_off_counts_on_its_own_part_of_the_capacity() {
    with_site(&Site::with_competition(), async |running| {
        let entries = running.addresses.len();
        let mut whole = shares_after_stream(running).await;
        // The layout still changes after the start.
        wait_until("the capacity is steady", async || {
            Timer::after(Duration::from_millis(1_000)).await;
            let before = whole.capacity_tokens;
            whole = shares_after_stream(running).await;
            whole.capacity_tokens == before
        })
        .await;
        assert_eq!(whole.heard as usize, entries - 1);
        for other in 1..entries {
            running.signal(other, Signal::STOP);
        }
        wait_until("the entry hears none of the others", async || {
            let shares = shares_seen(running, 0).await;
            shares.is_some_and(|shares| shares.heard == 0)
        })
        .await;
        let alone = shares_after_stream(running).await;
        for other in 1..entries {
            running.signal(other, Signal::CONT);
        }
        let part = alone.capacity_tokens / whole.capacity_tokens;
        let own_part = 1.0 / entries as f64;
        assert!((part - own_part).abs() < 0.05, "{part:.2} of the capacity");
    });
}
