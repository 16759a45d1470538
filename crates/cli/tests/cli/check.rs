//! `check` tells every finding with its place.

use rstest::rstest;

use crate::support::{file, manifest, path, run};

const WRONG: &str = "\
[deployment]
name = kaolack
recovery-weight-percent = 130
colour = blue
";

struct Case {
    content: Option<&'static str>,
    code: i32,
    /// Each is the end of a line, after the name of the file.
    findings: &'static [&'static str],
}

#[rstest]
#[case::wrong(Case {
    content: Some(WRONG),
    code: 2,
    findings: &[
        ":3: [deployment] recovery-weight-percent: 130 is out of range; it \
         must be 0..=100 %",
        ":4: [deployment] colour: unknown key",
    ],
})]
#[case::missing(Case {
    content: None,
    code: 2,
    findings: &[": cannot be read: No such file or directory (os error 2)"],
})]
fn findings(#[case] case: Case) {
    let file = match case.content {
        Some(content) => file("wrong.ini", content),
        None => path("missing.ini"),
    };
    let good = file_of_example();
    let ran = run(&format!("check {good} {file}"));
    assert_eq!(ran.code, case.code, "{ran:?}");
    let mut lines: Vec<String> =
        case.findings.iter().map(|end| format!("{file}{end}")).collect();
    lines.push(format!("files: 2, findings: {}", lines.len()));
    assert_eq!(ran.out.lines().collect::<Vec<_>>(), lines);
}

#[test]
fn json_has_the_places() {
    let file = file("wrong.ini", WRONG);
    let ran = run(&format!("check --json {file}"));
    assert_eq!(ran.code, 2);
    let findings = &ran.json()["findings"];
    let place = |at: usize| {
        let finding = &findings[at];
        (finding["line"].clone(), finding["key"].clone())
    };
    assert_eq!(place(0), (3.into(), "recovery-weight-percent".into()));
    assert_eq!(place(1), (4.into(), "colour".into()));
    assert_eq!(findings.as_array().unwrap().len(), 2);
}

#[test]
fn nothing_wrong() {
    let ran = run(&format!("check {}", file_of_example()));
    assert_eq!((ran.code, &*ran.out), (0, "files: 1, findings: 0\n"));
}

#[test]
fn help_lists_the_exit_codes() {
    let help = run("--help").out;
    for code in ["0  done", "3  refused", "4  a daemon", "5  it may"] {
        assert!(help.contains(code), "{help}");
    }
}

fn file_of_example() -> String {
    file("kaolack.ini", &manifest())
}
