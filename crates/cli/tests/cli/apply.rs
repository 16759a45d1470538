//! `apply` against the table service and the object store, with and without
//! faults.

use chestnutreach_standins::platform::{Down, FaultSettings};
use rstest::rstest;

use crate::support::{
    CommandOutput, Platform, file, finish, manifest, manifest_with_weight,
    run, start,
};

fn apply(
    platform: &Platform,
    extra_arguments: &str,
    content: &str,
) -> CommandOutput {
    let file = file("applied.ini", content);
    run(&platform.apply(&format!("{extra_arguments} {file}")))
}

#[test]
fn a_repeated_submission_keeps_its_generation() {
    let platform = Platform::start();
    let first = apply(&platform, "--submission one", &manifest());
    assert_eq!(
        (first.exit_code, &*first.stdout),
        (0, "accepted as generation 1\n")
    );
    assert!(first.stderr.contains("--submission one --base 0"), "{first:?}");
    let changed = manifest_with_weight(30);
    let next = apply(&platform, "--base 1 --submission two", &changed);
    assert_eq!(
        (next.exit_code, &*next.stdout),
        (0, "accepted as generation 2\n")
    );
    // Repeats the first submission as its message on standard error states;
    // the generation does not change.
    let repeated = apply(&platform, "--submission one --base 0", &manifest());
    assert_eq!(
        (repeated.exit_code, &*repeated.stdout),
        (0, "accepted as generation 1\n")
    );
    let reused = apply(&platform, "--submission one --base 2", &changed);
    assert_eq!(reused.exit_code, 3, "{reused:?}");
}

#[test]
fn a_stale_base_is_refused_with_the_difference_to_the_accepted_manifest() {
    let platform = Platform::start();
    apply(&platform, "--submission one", &manifest());
    apply(&platform, "--submission two", &manifest_with_weight(30));
    let stale = manifest_with_weight(40);
    let output = apply(&platform, "--base 1", &stale);
    assert_eq!(output.exit_code, 3);
    let expected = "\
refused: made for generation 1, but generation 2 of \"two\" is accepted
from the accepted manifest to the submitted one:
~ [deployment]
-   recovery-weight-percent = 30
+   recovery-weight-percent = 40
";
    assert_eq!(output.stdout, expected);
    let output = apply(&platform, "--base 1 --json", &stale);
    let json = output.json();
    assert_eq!((output.exit_code, &json["cause"]), (3, &"stale".into()));
    assert_eq!(json["winner"]["generation"], 2);
    assert_eq!(json["difference"][0]["section"], "deployment");
}

#[test]
fn one_of_several_concurrent_submissions_is_accepted() {
    let platform = Platform::start();
    platform
        .table_faults
        .set(FaultSettings { slow_ms: 50, ..FaultSettings::default() });
    let contents: Vec<String> = (0..4).map(manifest_with_weight).collect();
    let children = contents.iter().map(|content| {
        let file = file("race.ini", content);
        let line = platform.apply(&format!("--base 0 {file}"));
        start(&line.split_whitespace().collect::<Vec<_>>())
    });
    let children: Vec<_> = children.collect();
    let outputs: Vec<CommandOutput> =
        children.into_iter().map(finish).collect();
    let (accepted, refused): (Vec<_>, Vec<_>) =
        outputs.iter().partition(|output| output.exit_code == 0);
    assert_eq!((accepted.len(), refused.len()), (1, 3), "{outputs:?}");
    for output in refused {
        assert_eq!(output.exit_code, 3);
        assert!(output.stdout.contains("~ [deployment]"), "{output:?}");
    }
}

struct Fault {
    settings: FaultSettings,
    extra_arguments: &'static str,
    exit_code: i32,
    /// Text on standard output or standard error.
    expected: &'static str,
    /// Generation of the repeated submission after the store has recovered.
    repeated_generation: u64,
}

#[rstest]
#[case::response_lost(Fault {
    settings: FaultSettings { lose_answers: 1, ..FaultSettings::default() },
    extra_arguments: "--submission one",
    exit_code: 0,
    expected: "accepted as generation 1",
    repeated_generation: 1,
})]
#[case::down(Fault {
    settings: FaultSettings {
        down: Down::Unavailable,
        ..FaultSettings::default()
    },
    extra_arguments: "--submission one --base 0",
    exit_code: 1,
    expected: "not accepted: the table service is unavailable",
    repeated_generation: 1,
})]
#[case::down_without_base(Fault {
    settings: FaultSettings { down: Down::Closed, ..FaultSettings::default() },
    extra_arguments: "--submission one",
    exit_code: 1,
    expected: "the accepted generation is not known",
    repeated_generation: 1,
})]
#[case::never_written(Fault {
    settings: FaultSettings {
        lose_requests: u64::MAX,
        ..FaultSettings::default()
    },
    extra_arguments: "--submission one --base 0",
    exit_code: 5,
    expected: "may have been accepted, submit the same id again",
    repeated_generation: 1,
})]
fn store_faults_and_repeated_submission(#[case] fault: Fault) {
    let platform = Platform::start();
    platform.table_faults.set(fault.settings);
    let output = apply(&platform, fault.extra_arguments, &manifest());
    assert_eq!(output.exit_code, fault.exit_code, "{output:?}");
    let text = format!("{}{}", output.stdout, output.stderr);
    assert!(text.contains(fault.expected), "{output:?}");
    platform.table_faults.set(FaultSettings::default());
    let repeated = apply(&platform, "--submission one --base 0", &manifest());
    let accepted =
        format!("accepted as generation {}\n", fault.repeated_generation);
    assert_eq!((repeated.exit_code, &*repeated.stdout), (0, &*accepted));
}

#[test]
fn an_invalid_manifest_is_not_submitted() {
    let platform = Platform::start();
    let wrong = manifest_with_weight(130);
    let output = apply(&platform, "", &wrong);
    assert_eq!(output.exit_code, 2);
    assert!(output.stdout.contains("130 is out of range"), "{output:?}");
    let output = apply(&platform, "", &manifest());
    assert_eq!(output.stdout, "accepted as generation 1\n");
}
