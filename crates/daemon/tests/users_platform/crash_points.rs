//! Requests that crash the servers that run them at any point of a run, while
//! servers come back in different ways and entries start again.

use std::time::{Duration, Instant};

use async_io::Timer;
use chestnutreach_emulator::{
    backend_servers::{CrashPlan, CrashPoint},
    caller::{Outcome, RequestKind, RequestSpec},
    load::Load,
    running::RunningSite,
    site::Site,
};
use rstest::rstest;

use crate::{
    crashing_requests::{
        MAX_LATE_ARRIVALS, PROPAGATION_LIMIT, crashing, post, site,
    },
    support::{
        send_at_rate, send_request, stream_load, wait_until, with_site,
    },
};

/// How long the request is sent.
const PERIOD: Duration = Duration::from_secs(12);
/// Harmless streams per second beside it.
const HARMLESS_PER_S: f64 = 15.0;
/// Servers that one request may crash.
const MAX_CRASHES: usize = 6;
/// Share of harmless requests that are served from the propagation limit after
/// the third crash on.
const MIN_SERVED_SHARE: f64 = 0.95;
/// Table of requests that crash servers.
const TABLE: &str = "chestnutreach-suspects";
/// Rounds in which all entries start again.
const ROUNDS: usize = 3;

/// A request that crashes servers, and how often it is sent.
struct CrashCase {
    kind: RequestKind,
    plan: CrashPlan,
    per_s: f64,
}

impl Default for CrashCase {
    fn default() -> CrashCase {
        CrashCase {
            kind: RequestKind::Stream,
            plan: CrashPlan::default(),
            per_s: 3.0,
        }
    }
}

/// What was seen of a request that crashes servers.
#[derive(Debug)]
struct Seen {
    arrivals: usize,
    crashes: usize,
    /// Arrivals later than the propagation limit after the third crash.
    late: usize,
    /// Harmless requests that were sent later than that, and those of them
    /// that were served.
    harmless: usize,
    served: usize,
}

impl Seen {
    fn new(running: &RunningSite, token: &str, harmless: &[Outcome]) -> Seen {
        let seen = running.backends.observations();
        let crashes = seen.crashes_of(token);
        let third = crashes.get(2).copied();
        let is_late = |sent_at: Instant| {
            third.is_some_and(|third| sent_at > third + PROPAGATION_LIMIT)
        };
        let harmless: Vec<&Outcome> = harmless
            .iter()
            .filter(|outcome| is_late(outcome.attempts[0].sent_at))
            .collect();
        let arrivals = seen.crashing_arrivals.iter();
        Seen {
            arrivals: arrivals.filter(|a| a.token == token).count(),
            crashes: crashes.len(),
            late: seen.arrivals_after_crash(token, 3, PROPAGATION_LIMIT),
            harmless: harmless.len(),
            served: harmless.iter().filter(|o| o.is_served()).count(),
        }
    }

    fn assert_limits_held(&self) {
        println!("{self:?}");
        assert!(self.arrivals >= self.crashes, "{self:?}");
        assert!(self.crashes >= 3, "{self:?}");
        assert!(self.late <= MAX_LATE_ARRIVALS, "{self:?}");
        assert!(self.crashes <= MAX_CRASHES, "{self:?}");
        assert!(self.harmless > 0, "{self:?}");
        let share = self.served as f64 / self.harmless as f64;
        assert!(share >= MIN_SERVED_SHARE, "{self:?}");
    }
}

/// Sends copies of a request that crashes servers at a rate, beside harmless
/// streams.
async fn play(running: &RunningSite, case: &CrashCase) -> Seen {
    running.backends.set_crash_plan(case.plan);
    let events = running.backends.site().events;
    let spec = RequestSpec { events, ..crashing(case.kind, 1) };
    let entries = running.addresses.len();
    let request = |number: usize| (spec.clone(), number % entries);
    let load = Load { events, ..stream_load(HARMLESS_PER_S, PERIOD) };
    let harmless = running.run(&load, &[]);
    let crashing = send_at_rate(running, case.per_s, PERIOD, request);
    let (report, _) = futures_lite::future::zip(harmless, crashing).await;
    Seen::new(running, &spec.token, &report.outcomes)
}

pub(crate) fn plan_at(point: CrashPoint) -> CrashPlan {
    CrashPlan { point, ..CrashPlan::default() }
}

pub(crate) fn plan_coming_back(keeps_id: bool, holds_port: bool) -> CrashPlan {
    CrashPlan { keeps_id, holds_port, ..CrashPlan::default() }
}

fn at(point: CrashPoint) -> CrashCase {
    CrashCase { plan: plan_at(point), ..CrashCase::default() }
}

fn coming_back(keeps_id: bool, holds_port: bool) -> CrashCase {
    let plan = plan_coming_back(keeps_id, holds_port);
    CrashCase { plan, ..CrashCase::default() }
}

/// Under the old id, and too soon for the port to show it.
fn back_at_once() -> CrashCase {
    let mut case = coming_back(true, true);
    case.plan.downtime = Duration::from_millis(20);
    case
}

fn plain(case: CrashCase) -> CrashCase {
    CrashCase { kind: RequestKind::Idempotent, ..case }
}

#[rstest]
#[case::before_the_head(at(CrashPoint::BeforeHead))]
#[case::after_the_head(at(CrashPoint::AfterHead))]
#[case::after_some_events(at(CrashPoint::AfterEvents(6)))]
#[case::after_many_events(at(CrashPoint::AfterEvents(24)))]
#[case::back_under_its_id(coming_back(true, false))]
#[case::with_a_held_port(coming_back(false, true))]
#[case::with_a_held_port_under_its_id(coming_back(true, true))]
#[case::plain_before_the_head(plain(at(CrashPoint::BeforeHead)))]
#[case::plain_within_the_body(plain(at(CrashPoint::AfterEvents(1))))]
#[case::plain_with_a_held_port(plain(coming_back(false, true)))]
#[case::plain_with_a_held_port_under_its_id(plain(coming_back(true, true)))]
#[case::back_at_once_with_a_held_port(back_at_once())]
#[case::plain_back_at_once_with_a_held_port(plain(back_at_once()))]
#[case::seldom_before_the_head(CrashCase {
    per_s: 0.6, ..at(CrashPoint::BeforeHead)
})]
#[case::often_before_the_head(CrashCase {
    per_s: 10.0, ..at(CrashPoint::BeforeHead)
})]
fn a_request_reaches_no_server_after_three_crashes(#[case] case: CrashCase) {
    with_site(&site(), async |running| {
        play(running, &case).await.assert_limits_held();
    });
}

/// Kills all entries, and starts them again.
async fn restart_all(running: &RunningSite) {
    let entries = running.addresses.len();
    (0..entries).for_each(|entry| running.restart_entry(entry));
    Timer::after(Duration::from_millis(100)).await;
    for entry in 0..entries {
        let is_ready = async || running.is_ready(entry).await;
        wait_until("the entry is ready", is_ready).await;
    }
}

/// Sends a request to two entries in each round, and starts all entries again.
/// Between two rounds the entries are in touch again.
pub(crate) async fn send_in_rounds(
    running: &RunningSite,
    rounds: usize,
    spec: impl Fn(usize, usize) -> RequestSpec,
) {
    let entries = running.addresses.len();
    for round in 0..rounds {
        for entry in [round, round + 1] {
            let spec = spec(round, entry);
            send_request(running, entry % entries, &spec).await;
        }
        restart_all(running).await;
        Timer::after(PROPAGATION_LIMIT).await;
    }
}

/// Fails if more than a few requests that crash servers arrived later than the
/// propagation limit after a crash.
pub(crate) fn assert_few_late(
    running: &RunningSite,
    token: &str,
    counted_from_crash: usize,
) {
    let seen = running.backends.observations();
    let crashes = seen.crashes_of(token).len();
    let late = seen.arrivals_after_crash(
        token,
        counted_from_crash,
        PROPAGATION_LIMIT,
    );
    assert!(late <= MAX_LATE_ARRIVALS, "{late} late, {crashes} crashed");
    assert!(crashes >= 3, "{crashes} crashed");
}

#[test]
fn a_request_reaches_no_server_after_all_entries_started_again() {
    with_site(&site(), async |running| {
        let spec = crashing(RequestKind::Stream, 1);
        // Rows of other writers name no request.
        running.store.put_text(TABLE, "not a fingerprint", "x");
        running.store.put_text(TABLE, "0000000000000007", "x");
        send_in_rounds(running, ROUNDS, |_, _| spec.clone()).await;
        assert_few_late(running, &spec.token, 3);
    });
}

#[test]
fn a_freed_request_stays_free_after_all_entries_started_again() {
    with_site(&site(), async |running| {
        let spec = crashing(RequestKind::Stream, 1);
        for entry in [1, 1] {
            send_request(running, entry, &spec).await;
        }
        let is_stored = async || !running.store.keys(TABLE).is_empty();
        wait_until("the request is stored", is_stored).await;
        let fingerprint = running.store.keys(TABLE).remove(0);
        let target = format!("/quarantine/{fingerprint}/free");
        post(running.ops_address(0), &target).await;
        let is_deleted = async || running.store.keys(TABLE).is_empty();
        wait_until("the row is deleted", is_deleted).await;
        restart_all(running).await;
        let arrivals =
            || running.backends.observations().crashing_arrivals.len();
        let before = arrivals();
        send_request(running, 2, &spec).await;
        assert!(arrivals() > before);
    });
}

#[rstest]
#[case::forty_engines(Site::with_forty_engines())]
#[case::sixty_engines(Site::with_sixty_engines())]
#[ignore = "uses as many processes as a whole site; to be run by hand"]
fn at_the_size_of_a_site(
    #[case] site: Site,
    #[values(
        at(CrashPoint::BeforeHead),
        at(CrashPoint::AfterHead),
        at(CrashPoint::AfterEvents(24)),
        coming_back(false, true),
        plain(coming_back(true, true))
    )]
    case: CrashCase,
) {
    with_site(&site, async |running| {
        play(running, &case).await.assert_limits_held();
    });
}
