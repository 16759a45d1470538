//! Which of the things that requests have in common is held responsible for a
//! crash.

use chestnutreach_routing::{
    Fingerprint, RequestKeys, RunCrash, RunPoint, RunSuspicion, Suspects,
    Verdict,
    quarantine::{MAX_PARTS, PROBATION_MS},
};
use rstest::rstest;

const NOW_MS: u64 = 10_000_000;
const ACCOUNT: u32 = 5;
const OTHER_ACCOUNT: u32 = 6;

/// A part that requests of all kinds share.
fn common() -> Fingerprint {
    Fingerprint::of_part(1)
}

/// The part that crashes servers.
fn harmful() -> Fingerprint {
    Fingerprint::of_part(2)
}

/// A part of harmless requests alone.
fn harmless() -> Fingerprint {
    Fingerprint::of_part(3)
}

/// A request that differs from all with another number.
fn request(number: u64, parts: &[Fingerprint]) -> RequestKeys {
    request_of(ACCOUNT, number, parts)
}

fn request_of(
    account: u32,
    number: u64,
    parts: &[Fingerprint],
) -> RequestKeys {
    let request = Fingerprint::of_request(number << 20);
    RequestKeys::new(account, request, parts.iter().copied())
}

/// Servers 1 to 3 have crashed under different requests with the harmful part,
/// the last two in trials.
fn crashed() -> Suspects {
    let mut suspects = Suspects::new();
    for server in 1..=3 {
        let keys = request(server, &[common(), harmful()]);
        suspects.record_crash(&keys, server as u32, server > 1, NOW_MS);
    }
    suspects
}

fn severity(verdict: Verdict) -> &'static str {
    match verdict {
        Verdict::Free => "free",
        Verdict::Suspect { .. } => "suspect",
        Verdict::Quarantined { .. } => "quarantined",
    }
}

/// A request after the crashes.
struct After {
    parts: Vec<Fingerprint>,
    /// Whether a harmless request with the common part has survived a run.
    has_survivor: bool,
    verdict: &'static str,
}

#[rstest]
#[case::harmful_part(After {
    parts: vec![common(), harmful()],
    has_survivor: true,
    verdict: "quarantined",
})]
#[case::harmful_part_alone(After {
    parts: vec![harmful()], has_survivor: true, verdict: "quarantined",
})]
#[case::common_part(After {
    parts: vec![common(), harmless()], has_survivor: true, verdict: "free",
})]
#[case::other_parts(After {
    parts: vec![harmless()], has_survivor: false, verdict: "free",
})]
#[case::both_in_all_crashes(After {
    parts: vec![common(), harmful()],
    has_survivor: false,
    verdict: "quarantined",
})]
// Either part may be the cause, so a trial must tell.
#[case::common_part_unresolved(After {
    parts: vec![common()], has_survivor: false, verdict: "suspect",
})]
#[case::harmful_part_unresolved(After {
    parts: vec![harmful()], has_survivor: false, verdict: "suspect",
})]
fn only_requests_with_the_part_in_all_crashes_are_quarantined(
    #[case] case: After,
) {
    let mut suspects = crashed();
    if case.has_survivor {
        let survivor = request(50, &[common()]);
        suspects.record_begun(&survivor, NOW_MS);
    }
    let verdict = suspects.verdict(&request(60, &case.parts), NOW_MS);
    assert_eq!(severity(verdict), case.verdict);
}

#[test]
fn a_quarantined_part_explains_a_crash_beside_another_request() {
    let mut suspects = Suspects::new();
    let bystander = request(50, &[harmless()]);
    suspects.record_crash(&bystander, 1, false, NOW_MS);
    suspects.record_crash(&request(1, &[harmful()]), 1, false, NOW_MS);
    assert_eq!(severity(suspects.verdict(&bystander, NOW_MS)), "suspect");
    suspects.record_crash(&request(2, &[harmful()]), 2, true, NOW_MS);
    assert_eq!(severity(suspects.verdict(&bystander, NOW_MS)), "suspect");
    suspects.record_crash(&request(3, &[harmful()]), 3, true, NOW_MS);
    assert_eq!(suspects.verdict(&bystander, NOW_MS), Verdict::Free);
}

#[test]
fn a_part_that_becomes_harmful_after_runs_survived_is_quarantined() {
    let mut suspects = crashed();
    let parts = [common(), harmful()];
    suspects.record_begun(&request(40, &parts), NOW_MS);
    let verdict = suspects.verdict(&request(60, &parts), NOW_MS);
    assert_eq!(verdict, Verdict::Free);
    for server in 11..=13 {
        let keys = request(server, &parts);
        suspects.record_crash(&keys, server as u32, server > 11, NOW_MS);
    }
    let verdict = suspects.verdict(&request(61, &parts), NOW_MS);
    assert_eq!(severity(verdict), "quarantined");
}

fn late(server: u32, is_in_trial: bool) -> RunCrash {
    RunCrash {
        server,
        is_in_trial,
        point: RunPoint { age_ms: 600, events: 20 },
        suspicion: RunSuspicion::Weak,
        is_resumed: false,
        attempt: server,
    }
}

/// Crashes of runs that had lasted, under different requests.
struct LateCrashes {
    requests: u64,
    /// How far a run of another request with the part has come since.
    survivor: Option<RunPoint>,
    verdict: &'static str,
}

#[rstest]
#[case::of_one_request(LateCrashes {
    requests: 1, survivor: None, verdict: "suspect",
})]
#[case::of_four_requests(LateCrashes {
    requests: 4, survivor: None, verdict: "quarantined",
})]
#[case::of_two_requests(LateCrashes {
    requests: 2, survivor: None, verdict: "suspect",
})]
#[case::before_a_run_that_began(LateCrashes {
    requests: 4,
    survivor: Some(RunPoint { age_ms: 400, events: 12 }),
    verdict: "quarantined",
})]
#[case::before_a_run_that_lasted_longer(LateCrashes {
    requests: 4,
    survivor: Some(RunPoint { age_ms: 1_200, events: 40 }),
    verdict: "free",
})]
fn crashes_of_runs_that_had_lasted_speak_against_their_parts(
    #[case] case: LateCrashes,
) {
    let mut suspects = Suspects::new();
    for server in 1..=4 {
        let number = u64::from(server) % case.requests;
        let keys = request(number, &[harmful(), common()]);
        let at_ms = NOW_MS + u64::from(server) * 1_000;
        suspects.record_run_crash(&keys, late(server, server > 1), at_ms);
    }
    if let Some(point) = case.survivor {
        let keys = request(70, &[harmful(), common()]);
        suspects.record_begun(&keys, NOW_MS);
        suspects.record_progress(&keys, point, NOW_MS);
    }
    let other = request(60, &[harmful(), common()]);
    assert_eq!(severity(suspects.verdict(&other, NOW_MS)), case.verdict);
}

/// A run that begins shows nothing about crashes after the begin, also where a
/// resumed run crashed its server early.
#[test]
fn runs_that_begin_do_not_shorten_the_quarantine_of_a_part_that_crashes_late()
{
    let mut suspects = Suspects::new();
    suspects.record_crash(&request(40, &[harmful()]), 40, false, NOW_MS);
    suspects.record_begun(&request(41, &[harmful()]), NOW_MS);
    for server in 1..=5 {
        let keys = request(u64::from(server) % 2, &[harmful()]);
        let at_ms = NOW_MS + u64::from(server) * 1_000;
        suspects.record_run_crash(&keys, late(server, server > 3), at_ms);
    }
    let later_ms = NOW_MS + 5_000 + PROBATION_MS;
    let verdict = suspects.verdict(&request(60, &[harmful()]), later_ms);
    assert_eq!(severity(verdict), "quarantined");
}

/// What crashes a server late crashes the one that resumes the stream early.
#[test]
fn a_run_that_begins_does_not_clear_a_part_of_a_resumed_run() {
    let mut suspects = Suspects::new();
    let resumed = RunCrash {
        point: RunPoint { age_ms: 40, events: 0 },
        suspicion: RunSuspicion::Strong,
        is_resumed: true,
        ..late(1, false)
    };
    suspects.record_run_crash(&request(1, &[harmful()]), resumed, NOW_MS);
    suspects.record_begun(&request(2, &[harmful()]), NOW_MS);
    let other = request(60, &[harmful()]);
    assert_eq!(severity(suspects.verdict(&other, NOW_MS)), "suspect");
}

#[test]
fn a_completed_run_voids_the_late_crashes_of_its_parts() {
    let mut suspects = Suspects::new();
    for server in 1..=3 {
        let keys = request(u64::from(server), &[common()]);
        suspects.record_run_crash(&keys, late(server, false), NOW_MS);
    }
    let other = request(60, &[common()]);
    assert_eq!(severity(suspects.verdict(&other, NOW_MS)), "suspect");
    suspects.record_completed(&request(70, &[common()]), NOW_MS);
    assert_eq!(suspects.verdict(&other, NOW_MS), Verdict::Free);
}

/// Few crashes under many runs that waited or lasted tell nothing of any.
#[test]
fn two_crashes_make_no_suspect_of_what_was_beside_them() {
    let mut suspects = Suspects::new();
    for server in 1..=2 {
        let keys = request(u64::from(server), &[harmless()]);
        suspects.record_run_crash(&keys, late(server, false), NOW_MS);
    }
    let other = request(60, &[harmless()]);
    assert_eq!(suspects.verdict(&other, NOW_MS), Verdict::Free);
}

#[test]
fn what_was_at_more_crashes_explains_those_of_runs_beside_it() {
    let mut suspects = Suspects::new();
    let beside = request(50, &[harmless()]);
    for server in 1..=4 {
        let keys = request(u64::from(server), &[harmful()]);
        suspects.record_run_crash(&keys, late(server, false), NOW_MS);
        if server < 4 {
            suspects.record_run_crash(&beside, late(server, false), NOW_MS);
        }
    }
    let other = request(60, &[harmless()]);
    assert_eq!(suspects.verdict(&other, NOW_MS), Verdict::Free);
    let other = request(61, &[harmful()]);
    assert_eq!(severity(suspects.verdict(&other, NOW_MS)), "suspect");
}

/// The trial lasted for the sake of another part.
#[test]
fn a_crash_in_a_trial_does_not_count_against_a_part_that_was_passed() {
    let mut suspects = Suspects::new();
    for server in 1..=3 {
        let keys = request(u64::from(server), &[common(), harmful()]);
        if server > 1 {
            let survivor = request(80, &[common()]);
            suspects.record_completed(&survivor, NOW_MS);
        }
        let at_ms = NOW_MS + u64::from(server) * 1_000;
        suspects.record_run_crash(&keys, late(server, server > 1), at_ms);
    }
    let report = suspects.report_of(common(), NOW_MS).expect("it is kept");
    assert!(report.crashes.iter().all(|crash| crash.trial == 0));
    let report = suspects.report_of(harmful(), NOW_MS).expect("it is kept");
    let trials = report.crashes.iter().filter(|crash| crash.trial != 0);
    assert_eq!(trials.count(), 2);
}

/// Two runs with a part are on each server that crashes, one of which had just
/// begun.
#[test]
fn a_run_that_begins_clears_only_the_runs_that_had_just_begun() {
    let mut suspects = Suspects::new();
    for server in 1..=3 {
        let number = u64::from(server);
        let young = request(number, &[harmful()]);
        suspects.record_crash(&young, server, false, NOW_MS);
        let old = request(10 + number, &[harmful()]);
        suspects.record_run_crash(&old, late(server, false), NOW_MS);
    }
    suspects.record_begun(&request(40, &[harmful()]), NOW_MS);
    let verdict = suspects.verdict(&request(60, &[harmful()]), NOW_MS);
    assert_eq!(severity(verdict), "suspect");
    suspects.record_completed(&request(40, &[harmful()]), NOW_MS);
    let verdict = suspects.verdict(&request(60, &[harmful()]), NOW_MS);
    assert_eq!(verdict, Verdict::Free);
}

/// The part is a suspect by one crash only as long as that of a run that had
/// just begun counts.
#[test]
fn a_run_that_begins_clears_what_was_beside_older_runs() {
    let mut suspects = Suspects::new();
    suspects.record_crash(&request(1, &[common()]), 1, false, NOW_MS);
    let old = request(2, &[common()]);
    suspects.record_run_crash(&old, late(1, false), NOW_MS);
    let other = request(60, &[common()]);
    assert_eq!(severity(suspects.verdict(&other, NOW_MS)), "suspect");
    suspects.record_begun(&request(40, &[common()]), NOW_MS);
    assert_eq!(suspects.verdict(&other, NOW_MS), Verdict::Free);
}

/// What crashed beside a run in a trial.
struct Beside {
    /// Time since the run had its head.
    run_ms: u64,
    server: u32,
    /// Time from that crash to the crash of the run.
    before_ms: u64,
    is_counted_as_trial: bool,
}

#[rstest]
#[case::the_same_server(Beside {
    run_ms: 0, server: 1, before_ms: 0, is_counted_as_trial: false,
})]
#[case::another_server_meanwhile(Beside {
    run_ms: 600, server: 2, before_ms: 100, is_counted_as_trial: false,
})]
#[case::another_server_before(Beside {
    run_ms: 600, server: 2, before_ms: 2_000, is_counted_as_trial: true,
})]
fn a_crash_in_a_trial_counts_against_a_part_that_was_suspect_before(
    #[case] beside: Beside,
) {
    let mut suspects = Suspects::new();
    let other = request(50, &[common()]);
    let point = RunPoint { age_ms: 2_500, events: 70 };
    let crash = RunCrash { point, ..late(beside.server, false) };
    suspects.record_run_crash(&other, crash, NOW_MS);
    let keys = request(1, &[common(), harmful()]);
    let at_ms = NOW_MS + beside.before_ms;
    let point = RunPoint { age_ms: beside.run_ms, events: 0 };
    let crash = RunCrash { point, ..late(1, true) };
    suspects.record_run_crash(&keys, crash, at_ms);
    let report = suspects.report_of(common(), at_ms).expect("it is kept");
    let is_trial = report.crashes.iter().any(|crash| crash.trial != 0);
    assert_eq!(is_trial, beside.is_counted_as_trial);
}

/// A harmless run in a trial whose server crashes under a run beside it.
struct TrialBeside {
    /// Parts of the prompts that crash servers.
    crashing: Vec<Fingerprint>,
    /// Whether the run beside the trial had just begun.
    has_just_begun: bool,
    /// Whether the part of the run beside was at the crashes before.
    was_there_before: bool,
    /// Whether another harmless run crashes in a trial with nothing beside it.
    has_other_trial: bool,
    /// Whether a server crashes under a run with both parts that lasted.
    has_late_crash: bool,
    verdict: &'static str,
}

#[rstest]
#[case::of_a_run_that_may_be_the_cause(TrialBeside {
    crashing: vec![common(), harmful()],
    has_just_begun: true,
    was_there_before: true,
    has_other_trial: false,
    has_late_crash: false,
    verdict: "suspect",
})]
#[case::before_a_crash_of_a_run_that_lasted(TrialBeside {
    crashing: vec![common(), harmful()],
    has_just_begun: true,
    was_there_before: true,
    has_other_trial: false,
    has_late_crash: true,
    verdict: "suspect",
})]
#[case::of_a_run_that_waits_or_lasted(TrialBeside {
    crashing: vec![common(), harmful()],
    has_just_begun: false,
    was_there_before: true,
    has_other_trial: false,
    has_late_crash: false,
    verdict: "quarantined",
})]
#[case::of_a_run_with_another_part(TrialBeside {
    crashing: vec![common(), harmful()],
    has_just_begun: true,
    was_there_before: false,
    has_other_trial: false,
    has_late_crash: false,
    verdict: "quarantined",
})]
#[case::of_a_run_with_the_same_parts(TrialBeside {
    crashing: vec![common()],
    has_just_begun: true,
    was_there_before: true,
    has_other_trial: false,
    has_late_crash: false,
    verdict: "quarantined",
})]
#[case::before_a_trial_without_it(TrialBeside {
    crashing: vec![common(), harmful()],
    has_just_begun: true,
    was_there_before: true,
    has_other_trial: true,
    has_late_crash: false,
    verdict: "quarantined",
})]
fn a_crash_beside_a_trial_blocks_no_harmless_request(
    #[case] case: TrialBeside,
) {
    let mut suspects = Suspects::new();
    for server in 1..=2 {
        let keys = request(u64::from(server), &case.crashing);
        suspects.record_crash(&keys, server, false, NOW_MS);
        suspects.record_crash(&keys, server, server > 1, NOW_MS);
    }
    let beside = match case.was_there_before {
        true => request(3, &case.crashing),
        false => request(3, &[common(), harmless()]),
    };
    let crash = match case.has_just_begun {
        true => RunCrash {
            point: RunPoint::default(),
            suspicion: RunSuspicion::Strong,
            ..late(3, false)
        },
        false => late(3, false),
    };
    suspects.record_run_crash(&beside, crash, NOW_MS + 10);
    let harmless_run = request(4, &[common()]);
    suspects.record_crash(&harmless_run, 3, true, NOW_MS + 10);
    if case.has_other_trial {
        let harmless_run = request(5, &[common()]);
        suspects.record_crash(&harmless_run, 4, true, NOW_MS + 20);
    }
    if case.has_late_crash {
        let keys = request(6, &case.crashing);
        suspects.record_run_crash(&keys, late(5, false), NOW_MS + 20);
    }
    let other = request(60, &[common()]);
    let verdict = suspects.verdict(&other, NOW_MS + 30);
    assert_eq!(severity(verdict), case.verdict);
}

/// A resumed run processes its prompt again.
#[test]
fn a_request_whose_run_lasted_is_still_known_by_its_parts() {
    let mut suspects = crashed();
    let keys = request(1, &[harmful(), common()]);
    let point = RunPoint { age_ms: 300, events: 4 };
    suspects.record_progress(&keys, point, NOW_MS);
    assert_eq!(severity(suspects.verdict(&keys, NOW_MS)), "quarantined");
    let without_parts = request(1, &[]);
    assert_eq!(suspects.verdict(&without_parts, NOW_MS), Verdict::Free);
}

#[test]
fn the_trial_of_a_request_is_that_of_its_last_suspect_part() {
    let mut suspects = Suspects::new();
    let keys = request(1, &[common(), harmful()]);
    suspects.record_crash(&keys, 1, false, NOW_MS);
    let verdict = suspects.verdict(&keys, NOW_MS);
    assert_eq!(verdict.cause(), Some(harmful()));
}

/// Accounts whose requests crashed a server each in trials.
struct Accounts {
    crashing: &'static [u32],
    verdict: &'static str,
}

#[rstest]
#[case::own(Accounts {
    crashing: &[ACCOUNT, ACCOUNT, ACCOUNT], verdict: "quarantined",
})]
#[case::another(Accounts {
    crashing: &[OTHER_ACCOUNT, OTHER_ACCOUNT, OTHER_ACCOUNT],
    verdict: "suspect",
})]
#[case::three_others(Accounts {
    crashing: &[OTHER_ACCOUNT, 7, 8], verdict: "quarantined",
})]
fn one_account_can_not_have_the_requests_of_another_refused(
    #[case] case: Accounts,
) {
    let mut suspects = Suspects::new();
    for (index, account) in case.crashing.iter().enumerate() {
        let keys = request_of(*account, index as u64, &[harmful()]);
        suspects.record_crash(&keys, index as u32 + 1, true, NOW_MS);
    }
    let verdict = suspects.verdict(&request(60, &[harmful()]), NOW_MS);
    assert_eq!(severity(verdict), case.verdict);
}

#[test]
fn a_request_with_many_parts_adds_few_records() {
    let parts: Vec<Fingerprint> =
        (0..10_000).map(Fingerprint::of_part).collect();
    let mut suspects = Suspects::new();
    suspects.record_crash(&request(1, &parts), 1, false, NOW_MS);
    assert_eq!(suspects.len(), MAX_PARTS + 1);
}

#[test]
fn crashes_under_many_parts_evict_no_part_with_more_crashes() {
    let mut suspects = Suspects::new();
    for server in 1..=2 {
        let keys = request(server, &[harmful()]);
        suspects.record_crash(&keys, server as u32, false, NOW_MS);
    }
    for number in 100..400 {
        let parts: Vec<Fingerprint> = (0..MAX_PARTS as u64)
            .map(|part| Fingerprint::of_part(number * 100 + part))
            .collect();
        let keys = request(number, &parts);
        suspects.record_crash(&keys, number as u32, false, NOW_MS + 1);
    }
    let verdict = suspects.verdict(&request(60, &[harmful()]), NOW_MS);
    assert_eq!(verdict.crashes(), 2);
}

#[test]
fn a_part_that_only_one_request_crashed_with_in_trials_is_not_quarantined() {
    let mut suspects = Suspects::new();
    let keys = request(1, &[harmful()]);
    for server in 1..=4 {
        suspects.record_crash(&keys, server, true, NOW_MS);
    }
    assert_eq!(severity(suspects.verdict(&keys, NOW_MS)), "quarantined");
    let other = request(2, &[harmful()]);
    assert_eq!(severity(suspects.verdict(&other, NOW_MS)), "suspect");
}

#[test]
fn a_part_with_which_runs_survived_is_tried_once_more_before_long() {
    let mut suspects = Suspects::new();
    let parts = [common()];
    suspects.record_crash(&request(1, &parts), 1, false, NOW_MS);
    suspects.record_begun(&request(2, &parts), NOW_MS);
    for server in 11..=13 {
        let keys = request(server, &parts);
        suspects.record_crash(&keys, server as u32, server > 11, NOW_MS);
    }
    let verdict = |suspects: &Suspects, at_ms| {
        severity(suspects.verdict(&request(60, &parts), at_ms))
    };
    assert_eq!(verdict(&suspects, NOW_MS), "quarantined");
    let over_ms = NOW_MS + PROBATION_MS;
    assert_eq!(verdict(&suspects, over_ms), "suspect");
    suspects.record_crash(&request(14, &parts), 14, true, over_ms);
    assert_eq!(verdict(&suspects, over_ms + PROBATION_MS), "quarantined");
}
