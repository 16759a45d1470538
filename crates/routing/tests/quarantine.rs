//! Suspects, quarantine and trials of requests that crash servers.

use std::collections::BTreeMap;

use chestnutreach_routing::{
    Fingerprint, RequestKeys, RunCrash, RunPoint, RunProgress, RunSuspicion,
    SuspectReport, Suspects, Trials, Verdict,
    quarantine::{
        CrashReport, MAX_SUSPECTS, QUARANTINE_CRASHES, QUARANTINE_MS, TRIAL_MS,
    },
};
use proptest::prelude::*;
use rstest::rstest;

const REQUEST: Fingerprint = Fingerprint(7);
const NOW_MS: u64 = 10_000_000;
const ACCOUNT: u32 = 5;

/// The keys of a request without parts that others may share.
fn keys(request: Fingerprint) -> RequestKeys {
    RequestKeys::new(ACCOUNT, request, [])
}

fn suspect(crashes: usize) -> Verdict {
    Verdict::Suspect { cause: REQUEST, crashes }
}

struct Run {
    /// Time since the run started; `None` for a run that has not.
    age_ms: Option<u64>,
    events: u64,
    suspicion: RunSuspicion,
    has_survived: bool,
}

#[rstest]
#[case::queued(Run {
    age_ms: None,
    events: 0,
    suspicion: RunSuspicion::Weak,
    has_survived: false,
})]
#[case::just_started(Run {
    age_ms: Some(0),
    events: 0,
    suspicion: RunSuspicion::Strong,
    has_survived: false,
})]
#[case::young(Run {
    age_ms: Some(299),
    events: 9,
    suspicion: RunSuspicion::Strong,
    has_survived: false,
})]
#[case::slow_server(Run {
    age_ms: Some(5_000),
    events: 3,
    suspicion: RunSuspicion::Strong,
    has_survived: false,
})]
#[case::survived(Run {
    age_ms: Some(300),
    events: 4,
    suspicion: RunSuspicion::Weak,
    has_survived: true,
})]
fn any_run_may_have_crashed_its_server_and_one_that_just_started_most(
    #[case] case: Run,
) {
    let mut run = RunProgress::new();
    if let Some(age_ms) = case.age_ms {
        run.record_start(NOW_MS - age_ms);
    }
    (0..case.events).for_each(|_| run.record_event());
    assert_eq!(run.suspicion(NOW_MS), case.suspicion);
    assert_eq!(run.has_survived(NOW_MS), case.has_survived);
}

/// Points of runs at which servers crashed, and one that another run reached.
struct Reached {
    crashed_at: &'static [(u64, u64)],
    reached: (u64, u64),
    is_cleared: bool,
}

#[rstest]
#[case::before_the_head(Reached {
    crashed_at: &[(0, 0), (0, 0)], reached: (300, 4), is_cleared: true,
})]
#[case::not_so_far(Reached {
    crashed_at: &[(500, 24), (450, 20)], reached: (900, 60), is_cleared: false,
})]
#[case::too_few_events(Reached {
    crashed_at: &[(500, 24), (450, 20)],
    reached: (2_000, 47),
    is_cleared: false,
})]
#[case::well_past_both(Reached {
    crashed_at: &[(500, 20), (450, 24)],
    reached: (1_000, 48),
    is_cleared: true,
})]
#[case::beyond_all_numbers(Reached {
    crashed_at: &[(u64::MAX, u64::MAX), (0, 0)],
    reached: (1_000, 48),
    is_cleared: false,
})]
fn only_a_run_well_past_the_points_of_the_crashes_clears_a_request(
    #[case] case: Reached,
) {
    let mut suspects = Suspects::new();
    for (server, (age_ms, events)) in (1..).zip(case.crashed_at) {
        let point = RunPoint { age_ms: *age_ms, events: *events };
        suspects.record_run_crash(&keys(REQUEST), weak(server, point), NOW_MS);
    }
    assert_eq!(suspects.verdict(&keys(REQUEST), NOW_MS), suspect(2));
    let (age_ms, events) = case.reached;
    let point = RunPoint { age_ms, events };
    suspects.record_progress(&keys(REQUEST), point, NOW_MS);
    let verdict = suspects.verdict(&keys(REQUEST), NOW_MS);
    assert_eq!(verdict == Verdict::Free, case.is_cleared);
    suspects.clear(REQUEST, NOW_MS);
    assert_eq!(suspects.verdict(&keys(REQUEST), NOW_MS), Verdict::Free);
}

/// A crash during a run that had not begun, or had lasted.
fn weak(server: u32, point: RunPoint) -> RunCrash {
    RunCrash {
        server,
        is_in_trial: false,
        point,
        suspicion: RunSuspicion::Weak,
        is_resumed: false,
        attempt: 0,
    }
}

/// A crash of a run, and of others beside it.
#[test]
fn a_request_beside_another_that_crashed_more_servers_is_no_suspect() {
    let beside = Fingerprint(8);
    let mut suspects = Suspects::new();
    let late = RunPoint { age_ms: 600, events: 20 };
    for server in 1..=2 {
        for request in [REQUEST, beside] {
            suspects.record_run_crash(
                &keys(request),
                weak(server, late),
                NOW_MS,
            );
        }
    }
    let is_free = |suspects: &Suspects, request| {
        suspects.verdict(&keys(request), NOW_MS) == Verdict::Free
    };
    // Either may be the cause, so that a trial must tell.
    assert!(!is_free(&suspects, REQUEST));
    assert!(!is_free(&suspects, beside));
    suspects.record_run_crash(&keys(REQUEST), weak(3, late), NOW_MS);
    assert!(!is_free(&suspects, REQUEST));
    assert!(is_free(&suspects, beside));
}

#[test]
fn only_several_attempts_that_had_lasted_quarantine_a_request() {
    let mut suspects = Suspects::new();
    let late = RunPoint { age_ms: 600, events: 20 };
    suspects.record_run_crash(&keys(REQUEST), weak(1, late), NOW_MS);
    assert_eq!(suspects.verdict(&keys(REQUEST), NOW_MS), Verdict::Free);
    suspects.record_run_crash(&keys(REQUEST), weak(2, late), NOW_MS);
    assert_eq!(suspects.verdict(&keys(REQUEST), NOW_MS), suspect(2));
    for (server, attempt) in [(3, 1), (4, 1), (5, 2)] {
        assert!(!is_quarantined(&suspects, NOW_MS));
        let crash = weak(server, late);
        let trial = RunCrash { is_in_trial: true, attempt, ..crash };
        suspects.record_run_crash(&keys(REQUEST), trial, NOW_MS);
    }
    assert!(is_quarantined(&suspects, NOW_MS));
}

#[test]
fn a_trial_that_is_renewed_goes_on_and_ends_with_its_holder() {
    let (holder, other) = (5, 6);
    let mut trials = Trials::new();
    assert!(trials.try_begin(REQUEST, 1, holder, NOW_MS));
    trials.renew(REQUEST, holder, NOW_MS + TRIAL_MS - 1);
    trials.renew(REQUEST, other, NOW_MS + TRIAL_MS);
    assert!(trials.is_held_by(REQUEST, holder, NOW_MS + TRIAL_MS));
    assert!(!trials.is_held_by(REQUEST, holder, NOW_MS + 2 * TRIAL_MS));
}

struct Crashes {
    /// Server, and whether the request was on trial there.
    crashes: &'static [(u32, bool)],
    counted: usize,
    is_quarantined: bool,
}

#[rstest]
#[case::none(Crashes {
    crashes: &[], counted: 0, is_quarantined: false,
})]
#[case::two(Crashes {
    crashes: &[(1, false), (2, true)], counted: 2, is_quarantined: false,
})]
#[case::three(Crashes {
    crashes: &[(1, false), (2, true), (3, true)],
    counted: 3,
    is_quarantined: true,
})]
#[case::reported_twice(Crashes {
    crashes: &[(1, false), (2, true), (2, true), (1, true)],
    counted: 2,
    is_quarantined: false,
})]
#[case::one_in_a_trial(Crashes {
    crashes: &[(1, false), (2, false), (3, true)],
    counted: 3,
    is_quarantined: false,
})]
#[case::servers_failed_together(Crashes {
    crashes: &[(1, false), (2, false), (3, false), (4, false), (5, false)],
    counted: 5,
    is_quarantined: false,
})]
#[case::copies_and_a_trial(Crashes {
    crashes: &[(1, false), (2, false), (3, false), (4, true)],
    counted: 4,
    is_quarantined: true,
})]
fn crashes_quarantine_a_request_if_enough_happened_in_trials(
    #[case] case: Crashes,
) {
    let mut suspects = Suspects::new();
    for (server, is_in_trial) in case.crashes {
        suspects.record_crash(&keys(REQUEST), *server, *is_in_trial, NOW_MS);
    }
    let counted = suspects.verdict(&keys(REQUEST), NOW_MS).crashes();
    assert_eq!(counted, case.counted);
    assert_eq!(is_quarantined(&suspects, NOW_MS), case.is_quarantined);
}

#[test]
fn a_crash_with_two_requests_on_trial_quarantines_neither() {
    let mut suspects = quarantined(NOW_MS);
    let other = Fingerprint(8);
    // The other request was on trial at the last server as well.
    suspects.record_crash(
        &keys(other),
        QUARANTINE_CRASHES as u32,
        true,
        NOW_MS,
    );
    let suspect = suspect(QUARANTINE_CRASHES);
    assert_eq!(suspects.verdict(&keys(REQUEST), NOW_MS), suspect);
    suspects.record_crash(&keys(REQUEST), 40, true, NOW_MS);
    assert!(is_quarantined(&suspects, NOW_MS));
}

/// A request that has been quarantined since `at_ms`.
fn quarantined(at_ms: u64) -> Suspects {
    let mut suspects = Suspects::new();
    for server in 1..=QUARANTINE_CRASHES as u32 {
        suspects.record_crash(&keys(REQUEST), server, server > 1, at_ms);
    }
    suspects
}

#[test]
fn a_crash_after_a_quarantine_starts_a_longer_one() {
    let mut suspects = quarantined(NOW_MS);
    let over_ms = NOW_MS + QUARANTINE_MS;
    assert!(is_quarantined(&suspects, over_ms - 1));
    let suspect = suspect(QUARANTINE_CRASHES);
    assert_eq!(suspects.verdict(&keys(REQUEST), over_ms), suspect);
    suspects.record_crash(&keys(REQUEST), 99, true, over_ms);
    assert!(is_quarantined(&suspects, over_ms + QUARANTINE_MS));
    assert!(!is_quarantined(&suspects, over_ms + 2 * QUARANTINE_MS));
}

fn is_quarantined(suspects: &Suspects, now_ms: u64) -> bool {
    let verdict = suspects.verdict(&keys(REQUEST), now_ms);
    matches!(verdict, Verdict::Quarantined { .. })
}

#[test]
fn expired_requests_are_removed_and_not_added_again() {
    let mut suspects = quarantined(NOW_MS);
    let late_ms = NOW_MS + 3 * QUARANTINE_MS;
    let report = suspects.report_of(REQUEST, late_ms).unwrap();
    suspects.remove_expired(late_ms);
    assert!(suspects.is_empty());
    assert!(!suspects.apply_report(&report, late_ms));
    assert!(suspects.is_empty());
}

#[test]
fn a_cleared_request_stays_free_after_a_late_report() {
    let mut suspects = quarantined(NOW_MS);
    let before = suspects.report_of(REQUEST, NOW_MS).unwrap();
    assert!(suspects.clear(REQUEST, NOW_MS));
    assert!(!suspects.clear(REQUEST, NOW_MS));
    suspects.apply_report(&before, NOW_MS);
    assert_eq!(suspects.verdict(&keys(REQUEST), NOW_MS), Verdict::Free);
    suspects.record_crash(&keys(REQUEST), 50, true, NOW_MS);
    let suspect = suspect(1);
    assert_eq!(suspects.verdict(&keys(REQUEST), NOW_MS), suspect);
}

/// The server answers late that it has not crashed.
#[test]
fn a_crash_that_is_withdrawn_no_longer_counts_at_any_entry() {
    let mut suspects = quarantined(NOW_MS);
    let mut other_entry = Suspects::new();
    let before = suspects.report_of(REQUEST, NOW_MS).unwrap();
    other_entry.apply_report(&before, NOW_MS);
    let changed = suspects.withdraw_crash(&keys(REQUEST), 3, NOW_MS);
    assert_eq!(changed, [REQUEST]);
    assert!(suspects.withdraw_crash(&keys(REQUEST), 3, NOW_MS).is_empty());
    let after = suspects.report_of(REQUEST, NOW_MS).unwrap();
    other_entry.apply_report(&after, NOW_MS);
    for suspects in [&suspects, &other_entry] {
        assert_eq!(suspects.verdict(&keys(REQUEST), NOW_MS), suspect(2));
    }
}

#[test]
fn a_flood_of_suspects_evicts_no_quarantined_request() {
    let mut suspects = quarantined(NOW_MS);
    for number in 1_000..1_000 + 4 * MAX_SUSPECTS as u64 {
        let request = Fingerprint(number);
        let at_ms = NOW_MS + number;
        suspects.record_crash(&keys(request), number as u32, false, at_ms);
    }
    assert_eq!(suspects.len(), MAX_SUSPECTS);
    assert!(is_quarantined(&suspects, NOW_MS));
}

#[test]
fn a_started_entry_learns_of_every_quarantine_from_state_messages() {
    let mut suspects = Suspects::new();
    let count = 60;
    for number in 0..count {
        for server in 0..3 {
            let request = Fingerprint(number);
            let server = number as u32 * 10 + server;
            suspects.record_crash(&keys(request), server, true, NOW_MS);
        }
    }
    let mut started_entry = Suspects::new();
    let later_ms = NOW_MS + 10_000;
    // Three other entries send five messages per second each; all must be
    // reported within 3 s.
    let per_s = 3 * 5;
    let mut rng = fastrand::Rng::with_seed(5);
    for _ in 0..per_s * 3 {
        for report in suspects.next_reports(later_ms, per_s.into(), &mut rng) {
            started_entry.apply_report(&report, later_ms);
        }
    }
    assert_eq!(started_entry.len(), count as usize);
}

#[test]
fn reports_of_one_request_do_not_grow_with_the_number_of_entries() {
    let mut suspects = quarantined(NOW_MS);
    let later_ms = NOW_MS + 10_000;
    let mut rng = fastrand::Rng::with_seed(5);
    // Each of hundreds of entries receives 180 messages per second.
    let per_s = 180.0;
    let reported = (0..180)
        .flat_map(|_| suspects.next_reports(later_ms, per_s, &mut rng));
    let reported = reported.count();
    assert!((1..=9).contains(&reported), "{reported} reports in a second");
}

fn any_report() -> impl Strategy<Value = SuspectReport> {
    let point = (0_u64..2_000, 0_u64..50)
        .prop_map(|(age_ms, events)| RunPoint { age_ms, events });
    let flags = (any::<bool>(), any::<bool>());
    let crash = (0_u32..6, 0_u64..5_000, 0_u32..3, 0_u32..3, flags, point);
    let crash = crash.prop_map(
        |(server, age_ms, trial, account, (is_void, is_weak), point)| {
            CrashReport {
                server,
                age_ms,
                trial,
                account,
                is_void,
                is_weak,
                point,
                attempt: 0,
            }
        },
    );
    let crashes = prop::collection::vec(crash, 0..4);
    (0_u64..3, crashes).prop_map(|(request, crashes)| SuspectReport {
        fingerprint: Fingerprint(request),
        crashes,
    })
}

fn apply_all<'a>(
    reports: impl IntoIterator<Item = &'a SuspectReport>,
) -> Suspects {
    let mut suspects = Suspects::new();
    for report in reports {
        suspects.apply_report(report, NOW_MS);
    }
    suspects
}

fn known(suspects: &Suspects) -> Vec<Option<SuspectReport>> {
    let of = |request| suspects.report_of(Fingerprint(request), NOW_MS);
    (0..3).map(of).collect()
}

proptest! {
    #[test]
    fn order_and_repetition_of_reports_do_not_matter(
        reports in prop::collection::vec(any_report(), 1..20),
        order in any::<u64>(),
    ) {
        let mut shuffled: Vec<&SuspectReport> =
            reports.iter().chain(&reports).collect();
        fastrand::Rng::with_seed(order).shuffle(&mut shuffled);
        let direct = apply_all(&reports);
        prop_assert_eq!(known(&direct), known(&apply_all(shuffled)));
        // The same by way of another entry.
        let reported: Vec<SuspectReport> =
            known(&direct).into_iter().flatten().collect();
        prop_assert_eq!(known(&direct), known(&apply_all(&reported)));
    }

    #[test]
    fn each_crashed_server_counts_once(
        crashes in prop::collection::vec((0_u32..10, any::<bool>()), 1..30),
    ) {
        let mut suspects = Suspects::new();
        let mut servers = BTreeMap::new();
        for (server, is_in_trial) in crashes {
            suspects.record_crash(&keys(REQUEST), server, is_in_trial, NOW_MS);
            servers.insert(server, ());
        }
        let counted = suspects.verdict(&keys(REQUEST), NOW_MS).crashes();
        prop_assert_eq!(counted, servers.len());
    }
}

#[test]
fn simultaneous_trials_resolve_alike_at_all_entries() {
    let (low, high) = (3, 8);
    let other = Fingerprint(9);
    let mut at_low = Trials::new();
    let mut at_high = Trials::new();
    assert!(at_low.try_begin(REQUEST, 1, low, NOW_MS));
    assert!(at_high.try_begin(other, 1, high, NOW_MS));
    at_low.apply_remote(other, 1, high, NOW_MS);
    at_high.apply_remote(REQUEST, 1, low, NOW_MS);
    for trials in [&at_low, &at_high] {
        assert!(trials.is_held_by(REQUEST, low, NOW_MS));
        assert!(!trials.is_held_by(other, high, NOW_MS));
    }
}

#[test]
fn one_trial_of_a_request_runs_at_a_time() {
    let mut trials = Trials::new();
    assert!(trials.try_begin(REQUEST, 1, 5, NOW_MS));
    assert!(!trials.try_begin(REQUEST, 2, 5, NOW_MS));
    assert!(!trials.try_begin(Fingerprint(9), 1, 5, NOW_MS));
    trials.end(REQUEST, 6);
    assert!(trials.is_held_by(REQUEST, 5, NOW_MS));
    trials.end(REQUEST, 5);
    assert!(trials.try_begin(REQUEST, 2, 5, NOW_MS));
    // The trial of a holder that does not end it expires.
    assert!(trials.try_begin(REQUEST, 3, 6, NOW_MS + TRIAL_MS));
}
