//! Parsing of daemon settings: defaults, ranges and checks across keys.

use std::path::Path;

use chestnutreach_config::{
    DaemonSettings,
    settings::{
        BackendSettings, EntrySettings, LinkSettings, LogFormat, LogLevel,
        LogSettings, NodeSettings, PlatformSettings, SideSettings,
    },
};

const ENTRY: &str = "\
[node]
role = entry
vm = vm-1
data-centre = hall-a
inner-address = 10.0.0.1:1
ops-address = 10.0.0.1:2
control-address = 10.0.0.1:3
[platform]
table-address = 10.0.9.1:1
object-address = 10.0.9.1:2
vm-list-address = 10.0.9.1:3
[entry]
http-address = 10.0.0.1:80
";

fn side() -> String {
    let text = ENTRY.replace("role = entry", "role = side");
    let (shared, _) = text.split_once("[entry]").unwrap();
    format!("{shared}[backend-server e1]\naddress = 127.0.0.1:9\n")
}

fn node() -> NodeSettings {
    NodeSettings {
        vm: "vm-1".to_owned(),
        data_centre: "hall-a".to_owned(),
        inner_address: "10.0.0.1:1".parse().unwrap(),
        ops_address: "10.0.0.1:2".parse().unwrap(),
        control_address: "10.0.0.1:3".parse().unwrap(),
        threads: 4,
        drain_limit_ms: 60_000,
        seed_peers: Vec::new(),
        log: LogSettings { format: LogFormat::Json, level: LogLevel::Info },
        links: LinkSettings {
            connect_timeout_ms: 500,
            busy_interval_ms: 200,
            idle_interval_ms: 2_000,
            silence_limit_ms: 800,
        },
        platform: PlatformSettings {
            table_address: "10.0.9.1:1".parse().unwrap(),
            object_address: "10.0.9.1:2".parse().unwrap(),
            vm_list_address: "10.0.9.1:3".parse().unwrap(),
            request_timeout_ms: 2_000,
            manifest_poll_ms: 1_000,
            vm_list_poll_ms: 1_000,
        },
    }
}

#[test]
fn missing_keys_of_an_entry_have_defaults() {
    let expected = EntrySettings {
        node: node(),
        http_address: "10.0.0.1:80".parse().unwrap(),
        max_body_bytes: 1_048_576,
        max_requests_in_flight: 10_000,
        max_attempts: 4,
        retry_budget_percent: 20,
        recover_limit_ms: 5_000,
        claim_flush_ms: 10,
        claim_batch: 50,
        lame_duck_ms: 2_000,
    };
    let settings = DaemonSettings::try_parse("e.ini", ENTRY).unwrap();
    assert_eq!(settings, DaemonSettings::Entry(expected));
}

#[test]
fn missing_keys_of_a_side_process_have_defaults() {
    let backend = BackendSettings {
        name: "e1".to_owned(),
        address: "127.0.0.1:9".parse().unwrap(),
    };
    let expected = SideSettings {
        node: node(),
        backends: vec![backend],
        run_once_capacity: 200_000,
        run_once_retention_ms: 600_000,
        step_timeout_ms: 1_000,
        prefill_timeout_ms: 20_000,
        max_batch: 32,
        engine_calls: 16,
        queue_limit_tokens: 200_000,
        orphan_limit_ms: 3_000,
    };
    let settings = DaemonSettings::try_parse("s.ini", &side()).unwrap();
    assert_eq!(settings, DaemonSettings::Side(expected));
}

#[test]
fn seed_peers_keep_their_order_and_are_limited() {
    let text =
        ENTRY.replace("role", "seed-peers = 10.0.0.3:3,10.0.0.2:3\nrole");
    let settings = DaemonSettings::try_parse("e.ini", &text).unwrap();
    let expected = ["10.0.0.3:3", "10.0.0.2:3"];
    let expected = expected.map(|text| text.parse().unwrap());
    assert_eq!(settings.node().seed_peers, expected);
    let many = (1..=65).map(|n| format!("10.0.1.{n}:3"));
    let many = many.collect::<Vec<_>>().join(", ");
    let text = ENTRY.replace("role", &format!("seed-peers = {many}\nrole"));
    let expected = "f.ini:2: [node] seed-peers: 65 addresses; \
         at most 64 are allowed";
    assert_eq!(findings(&text), [expected]);
}

fn findings(text: &str) -> Vec<String> {
    match DaemonSettings::try_parse("f.ini", text) {
        Ok(_) => Vec::new(),
        Err(findings) => {
            findings.iter().map(|finding| finding.to_string()).collect()
        }
    }
}

#[test]
fn errors_are_reported_with_their_location() {
    struct Case {
        /// Text of the entry settings and its replacement.
        change: (&'static str, &'static str),
        findings: &'static [&'static str],
    }
    let cases = [
        Case {
            change: ("role = entry", "role = boss"),
            findings: &[
                "f.ini:2: [node] role: boss is not one of entry, side",
            ],
        },
        Case {
            change: ("vm = vm-1", "vm = vm 1\nthreads = 0\nthread = 4"),
            findings: &[
                "f.ini:3: [node] vm: \"vm 1\" is not a name \
                 (letters, digits, `-`, `_`, `.`)",
                "f.ini:4: [node] threads: 0 is out of range; \
                 it must be 1..=256 threads",
                "f.ini:5: [node] thread: unknown key",
            ],
        },
        Case {
            change: ("inner-address = 10.0.0.1:1", "inner-address = host:1"),
            findings: &[
                "f.ini:5: [node] inner-address: \"host:1\" is not ip:port",
            ],
        },
        Case {
            change: ("10.0.0.1:2", "10.0.0.1:1"),
            findings: &[
                "f.ini:6: [node] ops-address: 10.0.0.1:1 is also used \
                 by [node] inner-address",
            ],
        },
        Case {
            change: ("10.0.0.1:2", "10.0.0.1:0"),
            findings: &[
                "f.ini:6: [node] ops-address: 10.0.0.1:0 has port 0; \
                 it must be 1..=65535",
            ],
        },
        Case {
            change: ("10.0.9.1:1", "0.0.0.0:1"),
            findings: &["f.ini:9: [platform] table-address: \
                 0.0.0.0:1 is not a valid address to connect to"],
        },
        Case {
            change: ("[platform]", "drain-limit-ms = 2000\n[platform]"),
            findings: &["f.ini:13: [entry] lame-duck-ms: 2000 ms is too \
                 long; it must be less than 2000 ms, drain-limit-ms"],
        },
        Case {
            change: ("role", "seed-peers = 10.0.0.2:3, 10.0.0.1:3\nrole"),
            findings: &["f.ini:2: [node] seed-peers: 10.0.0.1:3 is this \
                 process's own control-address"],
        },
        Case {
            change: ("role", "seed-peers = 10.0.0.2:3, 10.0.0.2:3\nrole"),
            findings: &["f.ini:2: [node] seed-peers: 10.0.0.2:3 is listed \
                 twice"],
        },
        Case {
            change: ("role", "seed-peers = 10.0.0.2:3, 0.0.0.0:3\nrole"),
            findings: &["f.ini:2: [node] seed-peers: \
                 0.0.0.0:3 is not a valid address to connect to"],
        },
        Case {
            change: ("role", "seed-peers =\nrole"),
            findings: &["f.ini:2: [node] seed-peers: the list is empty; it \
                 must have at least one item"],
        },
        Case {
            change: ("[entry]", "[links]\nsilence-limit-ms = 399\n[entry]"),
            findings: &["f.ini:13: [links] silence-limit-ms: 399 ms is too \
                 short; it must be at least 400 ms, twice busy-interval-ms"],
        },
        Case {
            change: ("[entry]", "[links]\nidle-interval-ms = 199\n[entry]"),
            findings: &["f.ini:13: [links] idle-interval-ms: 199 ms is too \
                 short; it must be at least 200 ms, busy-interval-ms"],
        },
        Case {
            change: ("[entry]", "[entry]\nclaim-batch = 1e3\nclaim-batch=5"),
            findings: &[
                "f.ini:13: [entry] claim-batch: \"1e3\" is not a whole \
                 number; it must be 1..=10000 claims",
                "f.ini:14: [entry] claim-batch: duplicate key; \
                 the first is on line 13",
            ],
        },
        Case {
            change: (
                "[entry]",
                "[entry]\nmax-attempts = 18446744073709551616",
            ),
            findings: &["f.ini:13: [entry] max-attempts: \
                 18446744073709551616 is out of range; \
                 it must be 1..=100 attempts"],
        },
        Case {
            change: ("[entry]", "[entry]\n[side]\n[entry]\n[gate]\n[log x]"),
            findings: &[
                "f.ini:12: [entry] http-address: missing key",
                "f.ini:13: [side]: section does not apply to the role entry",
                "f.ini:14: [entry]: duplicate section; \
                 the first is on line 12",
                "f.ini:15: [gate]: unknown section",
                "f.ini:16: [log x]: must be written [log]",
            ],
        },
        Case {
            change: ("[entry]", "[entry\nnonsense\n\u{1}\na = \\\n[entry]"),
            findings: &[
                "f.ini:12: not a heading such as [service NAME]",
                "f.ini:13: not a heading, an entry or a comment",
                "f.ini:14: contains a control character",
                "f.ini:15: contains a backslash; escapes and line \
                 continuations are not supported",
            ],
        },
        Case {
            change: ("[node]", "early = 1\n[node]\nBig = 1"),
            findings: &[
                "f.ini:1: early: entry is before the first section",
                "f.ini:3: [node] Big: not a key: a-z, 0-9 and - only",
            ],
        },
    ];
    for case in cases {
        let (from, to) = case.change;
        assert!(ENTRY.contains(from), "{from}");
        let found = findings(&ENTRY.replacen(from, to, 1));
        assert_eq!(found, case.findings, "{to}");
    }
}

#[test]
fn errors_of_a_side_process_are_reported() {
    let text = side() + "[backend-server e2]\naddress = 127.0.0.1:9\n";
    let text = text + "[side]\nrun-once-retention-ms = 59999\n";
    let text = text + "step-timeout-ms = 500\nprefill-timeout-ms = 400\n";
    let expected = [
        "f.ini:15: [backend-server e2] address: 127.0.0.1:9 is also used by \
         [backend-server e1] address",
        "f.ini:17: [side] run-once-retention-ms: 59999 is out of range; \
         it must be 60000..=86400000 ms",
        "f.ini:19: [side] prefill-timeout-ms: 400 ms is too short; \
         it must be at least 500 ms, step-timeout-ms",
    ];
    assert_eq!(findings(&text), expected);
}

#[test]
fn missing_keys_of_a_missing_section_have_no_line() {
    let expected = [
        "f.ini: [platform] table-address: missing key",
        "f.ini: [platform] object-address: missing key",
        "f.ini: [platform] vm-list-address: missing key",
        "f.ini: [node] role: missing key",
        "f.ini: [node] vm: missing key",
        "f.ini: [node] data-centre: missing key",
        "f.ini: [node] inner-address: missing key",
        "f.ini: [node] ops-address: missing key",
        "f.ini: [node] control-address: missing key",
    ];
    assert_eq!(findings(""), expected);
}

#[test]
fn formatting_of_the_file_does_not_matter() {
    let text = ENTRY
        .replace("role = entry", "; comment\n\n   role:entry")
        .replace("[node]", "\u{feff}  [ node ]  ")
        .replace('\n', "\r\n");
    let expected = DaemonSettings::try_parse("f.ini", ENTRY);
    assert_eq!(DaemonSettings::try_parse("f.ini", &text), expected);
}

#[test]
fn an_unreadable_file_is_reported() {
    let path = Path::new("no/such/file.ini");
    let findings = DaemonSettings::try_load(path).unwrap_err();
    let finding = findings.iter().next().unwrap();
    assert_eq!(finding.file, "no/such/file.ini");
    assert!(finding.message.starts_with("can't be read: "));
}
