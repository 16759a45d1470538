//! Parts of prompts that crash engines at any point of a run, while engines
//! come back in different ways and entries start again. No two requests with
//! the part are alike.

use std::time::Duration;

use chestnutreach_emulator::{
    backend_servers::{CrashPlan, CrashPoint},
    caller::{Outcome, RequestKind, RequestSpec},
    load::Load,
    report::Report,
    running::RunningSite,
    site::{COMMON_PART, Site},
};
use rstest::rstest;

use crate::{
    crash_points::{
        assert_few_late, plan_at, plan_coming_back, send_in_rounds,
    },
    crashing_parts::{crashing_part, crashing_spec},
    crashing_requests::{MAX_LATE_ARRIVALS, PROPAGATION_LIMIT, site},
    support::{send_at_rate, stream_load, with_site},
};

/// How long requests with the part are sent.
const PERIOD: Duration = Duration::from_secs(12);
/// Harmless streams per second beside them.
const HARMLESS_PER_S: f64 = 15.0;
/// Crashes from which on the platform's rule counts arrivals.
const COUNTED_FROM_CRASH: usize = 5;
/// Harmless requests that begin at their first attempt, from twice the
/// propagation limit after that crash on, relative to a run without crashes.
const MIN_SHARE_OF_CALM: f64 = 0.95;
/// Rounds in which all entries start again.
const ROUNDS: usize = 7;

/// How requests with a part that crashes engines are sent.
struct PartCase {
    plan: CrashPlan,
    per_s: f64,
}

impl PartCase {
    fn new(plan: CrashPlan) -> PartCase {
        PartCase { plan, per_s: 4.0 }
    }
}

fn at(point: CrashPoint) -> PartCase {
    PartCase::new(plan_at(point))
}

fn coming_back(keeps_id: bool, holds_port: bool) -> PartCase {
    PartCase::new(plan_coming_back(keeps_id, holds_port))
}

/// What was seen of a part that crashes engines.
#[derive(Debug)]
struct Seen {
    arrivals: usize,
    crashes: usize,
    /// Arrivals later than the propagation limit after the fifth crash.
    late: usize,
    /// Harmless requests sent after twice that time, and those of them that
    /// began at their first attempt.
    harmless: usize,
    at_first: usize,
}

impl Seen {
    fn new(running: &RunningSite, part: &str, report: &Report) -> Seen {
        let seen = running.backends.observations();
        let crashes = seen.crashes_of(part);
        let counted = crashes.iter().take(COUNTED_FROM_CRASH).next_back();
        let from = counted.map(|at| *at + 2 * PROPAGATION_LIMIT);
        let is_later = |outcome: &&Outcome| {
            from.is_some_and(|from| outcome.attempts[0].sent_at > from)
        };
        let later: Vec<&Outcome> =
            report.outcomes.iter().filter(is_later).collect();
        let arrivals = seen.crashing_arrivals.iter();
        Seen {
            arrivals: arrivals.filter(|a| a.token == part).count(),
            crashes: crashes.len(),
            late: seen.arrivals_after_crash(
                part,
                COUNTED_FROM_CRASH,
                PROPAGATION_LIMIT,
            ),
            harmless: later.len(),
            at_first: later.iter().filter(|o| began_at_first(o)).count(),
        }
    }

    fn assert_limits_held(&self, calm_share: f64) {
        println!("{self:?}, {calm_share} in calm");
        assert!(self.arrivals >= self.crashes, "{self:?}");
        assert!(self.crashes >= 3, "{self:?}");
        assert!(self.late <= MAX_LATE_ARRIVALS, "{self:?}");
        assert!(self.harmless >= 20, "{self:?}");
        let share = self.at_first as f64 / self.harmless as f64;
        assert!(share >= MIN_SHARE_OF_CALM * calm_share, "{self:?}");
    }
}

fn began_at_first(outcome: &Outcome) -> bool {
    outcome.attempts.len() == 1 && outcome.is_served()
}

/// Share of the harmless requests that begin at their first attempt where
/// nothing crashes.
async fn calm_share(running: &RunningSite) -> f64 {
    let events = running.backends.site().events;
    let period = Duration::from_secs(4);
    let load = Load { events, ..stream_load(HARMLESS_PER_S, period) };
    let outcomes = running.run(&load, &[]).await.outcomes;
    let first = outcomes.iter().filter(|o| began_at_first(o)).count();
    first as f64 / outcomes.len() as f64
}

fn spec(running: &RunningSite, part: &str, number: usize) -> RequestSpec {
    let kind = RequestKind::Stream;
    RequestSpec {
        events: running.backends.site().events,
        ..crashing_spec(kind, &[COMMON_PART], part, number)
    }
}

/// Sends different requests with a part that crashes engines at a rate, beside
/// harmless streams.
async fn play(running: &RunningSite, case: &PartCase, part: &str) -> Seen {
    running.backends.set_crash_plan(case.plan);
    let entries = running.addresses.len();
    let request =
        |number: usize| (spec(running, part, number), number % entries);
    let events = running.backends.site().events;
    let load = Load { events, ..stream_load(HARMLESS_PER_S, PERIOD) };
    let harmless = running.run(&load, &[]);
    let crashing = send_at_rate(running, case.per_s, PERIOD, request);
    let (report, _) = futures_lite::future::zip(harmless, crashing).await;
    Seen::new(running, part, &report)
}

fn assert_case_holds(site: &Site, case: &PartCase) {
    with_site(site, async |running| {
        let calm_share = calm_share(running).await;
        let part = crashing_part(7);
        play(running, case, &part).await.assert_limits_held(calm_share);
    });
}

#[rstest]
#[case::before_the_head(at(CrashPoint::BeforeHead))]
#[case::after_the_head(at(CrashPoint::AfterHead))]
#[case::after_some_events(at(CrashPoint::AfterEvents(6)))]
#[case::after_many_events(at(CrashPoint::AfterEvents(24)))]
#[case::back_under_its_id(coming_back(true, false))]
#[case::with_a_held_port(coming_back(false, true))]
#[case::with_a_held_port_under_its_id(coming_back(true, true))]
#[case::often_before_the_head(PartCase {
    per_s: 20.0, ..at(CrashPoint::BeforeHead)
})]
#[case::seldom_before_the_head(PartCase {
    per_s: 1.0, ..at(CrashPoint::BeforeHead)
})]
fn a_part_reaches_no_engine_after_its_crashes(#[case] case: PartCase) {
    assert_case_holds(&site(), &case);
}

#[rstest]
#[case::before_the_head(CrashPoint::BeforeHead)]
#[case::after_the_head(CrashPoint::AfterHead)]
#[case::after_many_events(CrashPoint::AfterEvents(24))]
fn a_part_reaches_no_engine_after_all_entries_started_again(
    #[case] point: CrashPoint,
) {
    with_site(&site(), async |running| {
        running.backends.set_crash_plan(plan_at(point));
        let part = crashing_part(8);
        let spec_of = |round: usize, entry: usize| {
            spec(running, &part, 10 * round + entry)
        };
        send_in_rounds(running, ROUNDS, spec_of).await;
        assert_few_late(running, &part, COUNTED_FROM_CRASH);
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
        coming_back(false, true)
    )]
    case: PartCase,
) {
    assert_case_holds(&site, &case);
}

#[rstest]
#[ignore = "needs entries that are built with optimisation; run by hand"]
fn entries_with_a_part_of_a_core(
    #[values(0.19, 0.09)] core_quota: f64,
    #[values(
        at(CrashPoint::BeforeHead),
        at(CrashPoint::AfterEvents(24)),
        coming_back(false, true)
    )]
    case: PartCase,
) {
    let site = Site { core_quota: Some(core_quota), ..site() };
    assert_case_holds(&site, &case);
}
