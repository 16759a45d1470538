//! `check` reports every finding with its location.

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
    exit_code: i32,
    /// Ends of the printed lines, after the file name.
    findings: &'static [&'static str],
}

#[rstest]
#[case::wrong(Case {
    content: Some(WRONG),
    exit_code: 2,
    findings: &[
        ":3: [deployment] recovery-weight-percent: 130 is out of range; it \
         must be 0..=100 %",
        ":4: [deployment] colour: unknown key",
    ],
})]
#[case::missing(Case {
    content: None,
    exit_code: 2,
    findings: &[": cannot be read: No such file or directory (os error 2)"],
})]
fn findings_are_printed_with_their_locations(#[case] case: Case) {
    let file = match case.content {
        Some(content) => file("wrong.ini", content),
        None => path("missing.ini"),
    };
    let good = file_of_example();
    let output = run(&format!("check {good} {file}"));
    assert_eq!(output.exit_code, case.exit_code, "{output:?}");
    let mut lines: Vec<String> =
        case.findings.iter().map(|end| format!("{file}{end}")).collect();
    lines.push(format!("files: 2, findings: {}", lines.len()));
    assert_eq!(output.stdout.lines().collect::<Vec<_>>(), lines);
}

#[test]
fn json_locates_each_finding() {
    let file = file("wrong.ini", WRONG);
    let output = run(&format!("check --json {file}"));
    assert_eq!(output.exit_code, 2);
    let findings = &output.json()["findings"];
    let place = |at: usize| {
        let finding = &findings[at];
        (finding["line"].clone(), finding["key"].clone())
    };
    assert_eq!(place(0), (3.into(), "recovery-weight-percent".into()));
    assert_eq!(place(1), (4.into(), "colour".into()));
    assert_eq!(findings.as_array().unwrap().len(), 2);
}

#[test]
fn a_valid_manifest_has_no_findings() {
    let output = run(&format!("check {}", file_of_example()));
    assert_eq!(
        (output.exit_code, &*output.stdout),
        (0, "files: 1, findings: 0\n")
    );
}

#[test]
fn help_lists_the_exit_codes() {
    let help = run("--help").stdout;
    for exit_code in ["0  done", "3  refused", "4  a daemon", "5  it may"] {
        assert!(help.contains(exit_code), "{help}");
    }
}

fn file_of_example() -> String {
    file("kaolack.ini", &manifest())
}
