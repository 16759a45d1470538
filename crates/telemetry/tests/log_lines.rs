//! Log lines that a process writes to standard error.
//!
//! A process can initialise its logger only once, so the test runs its own
//! executable again for each case, with [`CASE`] set.

use std::{env, process::Command};

use chestnutreach_config::settings::{LogFormat, LogLevel};
use chestnutreach_telemetry::{Event, emit, log};

/// Environment variable that passes the name of the case to the child process.
const CASE: &str = "CHESTNUTREACH_LOG_CASE";

struct Case {
    name: &'static str,
    format: LogFormat,
    level: LogLevel,
    present: &'static [&'static str],
    absent: &'static [&'static str],
}

const CASES: &[Case] = &[
    Case {
        name: "json",
        format: LogFormat::Json,
        level: LogLevel::Info,
        present: &[
            r#""event":302"#,
            r#""name":"link_lost""#,
            r#""peer_vm":"vm-2\nforged""#,
            r#""level":"WARN""#,
            r#""event":101"#,
            "a warning of a library",
        ],
        absent: &["request_ended", "an info line of a library"],
    },
    Case {
        name: "text",
        format: LogFormat::Text,
        level: LogLevel::Info,
        present: &[
            r#"event=302 name="link_lost" peer_vm="vm-2\nforged" in_flight="3""#,
            "log_lines.rs",
        ],
        absent: &["request_ended", "an info line of a library"],
    },
    Case {
        name: "debug",
        format: LogFormat::Text,
        level: LogLevel::Debug,
        present: &[r#"name="request_ended""#, "a warning of a library"],
        absent: &["an info line of a library"],
    },
    Case {
        name: "error",
        format: LogFormat::Text,
        level: LogLevel::Error,
        present: &[r#"name="backend_down""#],
        absent: &["link_lost", "a warning of a library"],
    },
];

/// Logs one event of each level and two lines of a library.
fn log_lines(case: &Case) {
    log::init(case.format, case.level).unwrap();
    assert!(log::init(case.format, case.level).is_err());
    emit(Event::BackendDown, &[("backend", &"b-1")]);
    emit(Event::LinkLost, &[("peer_vm", &"vm-2\nforged"), ("in_flight", &3)]);
    emit(Event::DaemonStarted, &[]);
    emit(Event::RequestEnded, &[]);
    ::log::warn!(target: "tarpc", "a warning of a library");
    ::log::info!(target: "tarpc", "an info line of a library");
}

#[test]
fn lines_match_the_configured_format_and_level() {
    if let Ok(name) = env::var(CASE) {
        let case = CASES.iter().find(|c| c.name == name).unwrap();
        return log_lines(case);
    }
    for case in CASES {
        let output = Command::new(env::current_exe().unwrap())
            .args([
                "--exact",
                "lines_match_the_configured_format_and_level",
                "--nocapture",
            ])
            .env(CASE, case.name)
            .output()
            .unwrap();
        let text = String::from_utf8(output.stderr).unwrap();
        assert!(output.status.success(), "{}: {text}", case.name);
        for fragment in case.present {
            assert!(
                text.contains(fragment),
                "{}: {fragment} in {text}",
                case.name
            );
        }
        for fragment in case.absent {
            assert!(
                !text.contains(fragment),
                "{}: {fragment} in {text}",
                case.name
            );
        }
    }
}
