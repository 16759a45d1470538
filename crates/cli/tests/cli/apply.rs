//! `apply` against the table service and the object store, also failing.

use chestnutreach_standins::platform::{Down, FaultSettings};
use rstest::rstest;

use crate::support::{
    Platform, Ran, file, finish, manifest, manifest_with_weight, run, start,
};

fn apply(platform: &Platform, rest: &str, content: &str) -> Ran {
    let file = file("applied.ini", content);
    run(&platform.apply(&format!("{rest} {file}")))
}

#[test]
fn first_next_and_repeated() {
    let platform = Platform::start();
    let first = apply(&platform, "--submission one", &manifest());
    assert_eq!((first.code, &*first.out), (0, "accepted as generation 1\n"));
    assert!(first.err.contains("--submission one --base 0"), "{first:?}");
    let changed = manifest_with_weight(30);
    let next = apply(&platform, "--base 1 --submission two", &changed);
    assert_eq!((next.code, &*next.out), (0, "accepted as generation 2\n"));
    // The first one again, as its message says: not a new generation.
    let again = apply(&platform, "--submission one --base 0", &manifest());
    assert_eq!((again.code, &*again.out), (0, "accepted as generation 1\n"));
    let reused = apply(&platform, "--submission one --base 2", &changed);
    assert_eq!(reused.code, 3, "{reused:?}");
}

#[test]
fn a_stale_base_shows_what_it_lost_to() {
    let platform = Platform::start();
    apply(&platform, "--submission one", &manifest());
    apply(&platform, "--submission two", &manifest_with_weight(30));
    let stale = manifest_with_weight(40);
    let ran = apply(&platform, "--base 1", &stale);
    assert_eq!(ran.code, 3);
    let shown = "\
refused: made for generation 1, but generation 2 of \"two\" is accepted
from the accepted manifest to the submitted one:
~ [deployment]
-   recovery-weight-percent = 30
+   recovery-weight-percent = 40
";
    assert_eq!(ran.out, shown);
    let ran = apply(&platform, "--base 1 --json", &stale);
    let json = ran.json();
    assert_eq!((ran.code, &json["cause"]), (3, &"stale".into()));
    assert_eq!(json["winner"]["generation"], 2);
    assert_eq!(json["difference"][0]["section"], "deployment");
}

#[test]
fn one_of_a_race_wins() {
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
    let ran: Vec<Ran> = children.into_iter().map(finish).collect();
    let (won, lost): (Vec<_>, Vec<_>) =
        ran.iter().partition(|ran| ran.code == 0);
    assert_eq!((won.len(), lost.len()), (1, 3), "{ran:?}");
    for ran in lost {
        assert_eq!(ran.code, 3);
        assert!(ran.out.contains("~ [deployment]"), "{ran:?}");
    }
}

struct Fault {
    settings: FaultSettings,
    rest: &'static str,
    code: i32,
    /// On the standard output or the standard error.
    says: &'static str,
    /// Generation that the same submission gets when the store is well.
    repeated: u64,
}

#[rstest]
#[case::answer_lost(Fault {
    settings: FaultSettings { lose_answers: 1, ..FaultSettings::default() },
    rest: "--submission one",
    code: 0,
    says: "accepted as generation 1",
    repeated: 1,
})]
#[case::down(Fault {
    settings: FaultSettings {
        down: Down::Unavailable,
        ..FaultSettings::default()
    },
    rest: "--submission one --base 0",
    code: 1,
    says: "not accepted: the table service is unavailable",
    repeated: 1,
})]
#[case::down_without_base(Fault {
    settings: FaultSettings { down: Down::Closed, ..FaultSettings::default() },
    rest: "--submission one",
    code: 1,
    says: "the accepted generation is not known",
    repeated: 1,
})]
#[case::never_written(Fault {
    settings: FaultSettings {
        lose_requests: u64::MAX,
        ..FaultSettings::default()
    },
    rest: "--submission one --base 0",
    code: 5,
    says: "may have been accepted, submit the same id again",
    repeated: 1,
})]
fn faults(#[case] fault: Fault) {
    let platform = Platform::start();
    platform.table_faults.set(fault.settings);
    let ran = apply(&platform, fault.rest, &manifest());
    assert_eq!(ran.code, fault.code, "{ran:?}");
    let said = format!("{}{}", ran.out, ran.err);
    assert!(said.contains(fault.says), "{ran:?}");
    platform.table_faults.set(FaultSettings::default());
    let again = apply(&platform, "--submission one --base 0", &manifest());
    let accepted = format!("accepted as generation {}\n", fault.repeated);
    assert_eq!((again.code, &*again.out), (0, &*accepted));
}

#[test]
fn findings_are_not_submitted() {
    let platform = Platform::start();
    let wrong = manifest_with_weight(130);
    let ran = apply(&platform, "", &wrong);
    assert_eq!(ran.code, 2);
    assert!(ran.out.contains("130 is out of range"), "{ran:?}");
    let ran = apply(&platform, "", &manifest());
    assert_eq!(ran.out, "accepted as generation 1\n");
}
