//! Validation of manifests, within and across sections.

use chestnutreach_config::{Manifest, key_digest, manifest::Objective};

const BASE: &str = include_str!("manifest.ini");

fn base() -> Manifest {
    Manifest::try_parse("m.ini", BASE).unwrap_or_else(|f| panic!("{f}"))
}

/// The findings without lines; [`findings_have_the_line_of_the_error`] checks
/// the lines.
fn findings(text: &str) -> Vec<String> {
    match Manifest::try_parse("m.ini", text) {
        Ok(_) => Vec::new(),
        Err(findings) => findings.iter().map(without_line).collect(),
    }
}

fn without_line(finding: &chestnutreach_config::Finding) -> String {
    format!("[{}] {}: {}", finding.section, finding.key, finding.message)
}

/// Replacements in the base manifest and the findings they cause.
struct Case {
    change: &'static [(&'static str, &'static str)],
    findings: &'static [&'static str],
}

fn check(cases: &[Case]) {
    for case in cases {
        let mut text = BASE.to_owned();
        for (from, to) in case.change {
            assert!(text.contains(from), "{from}");
            text = text.replace(from, to);
        }
        assert_eq!(findings(&text), case.findings, "{:?}", case.change);
    }
}

#[test]
fn layer_ranges_without_a_chain_are_reported() {
    check(&[
        Case {
            change: &[("first-layer = 4", "first-layer = 5")],
            findings: &["[service chat] : no backend server holds the \
                 layers 4..5"],
        },
        Case {
            change: &[("end-layer = 4", "end-layer = 5")],
            findings: &["[service chat] : no chain can continue after layer \
                 boundary 5: layer ranges end there, but none starts there"],
        },
        Case {
            change: &[("end-layer = 8", "end-layer = 7")],
            findings: &["[service chat] : no backend server holds the \
                 layers 7..8"],
        },
        Case {
            change: &[("end-layer = 8", "end-layer = 9")],
            findings: &[
                "[service chat] : no backend server holds the layers 4..8",
                "[backend-server e2] end-layer: the layer range 4..9 exceeds \
                 the layers of the model, 0..8",
            ],
        },
        Case {
            change: &[("end-layer = 4", "end-layer = 0")],
            findings: &[
                "[service chat] : no backend server holds the layers 0..4",
                "[backend-server e1] end-layer: the layer range 0..0 is \
                 empty",
            ],
        },
        Case {
            // A server that cannot be parsed neither hides nor causes a gap
            // in the coverage.
            change: &[("end-layer = 4", "end-layer = four")],
            findings: &["[backend-server e1] end-layer: \"four\" is not a \
                 whole number; it must be 0..=10000 layers"],
        },
    ]);
}

#[test]
fn invalid_accounts_are_reported() {
    check(&[
        Case {
            change: &[("services = chat, book", "services =")],
            findings: &["[account big] services: the list is empty; it must \
                 have at least one item"],
        },
        Case {
            change: &[("services = chat\n", "services = chat, chat\n")],
            findings: &["[account small] services: chat is listed twice"],
        },
        Case {
            change: &[("services = chat\n", "services = chess\n")],
            findings: &["[account small] services: unknown service: chess"],
        },
        Case {
            change: &[("bbbbbbbb", "aaaaaaaa")],
            findings: &["[account small] key-digests: \
                 aaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaa\
                 aaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaa \
                 is also a key of [account big]"],
        },
        Case {
            change: &[("bbbbbbbb", "xy")],
            findings: &["[account small] key-digests: \
                 \"xyxyxyxyxyxyxyxy\" is not a \
                 key digest (64 hexadecimal digits)"],
        },
        Case {
            change: &[("weight = 300", "weight = 10001")],
            findings: &["[account big] weight: 10001 is out of range; it \
                 must be 1..=10000 shares"],
        },
        Case {
            change: &[("weight = 300", "weight = 200")],
            findings: &["[account big] guaranteed-percent: 75 % is more \
                 than the 66 % of chat that weight 200 of 300 gives"],
        },
        Case {
            change: &[("class = walk-in", "guaranteed-percent = 26")],
            findings: &[
                "[service chat] : guaranteed-percent of its accounts adds \
                 up to 101 %; it must be at most 100 %",
                "[objective chat walk-in] : no account has the class walk-in",
            ],
        },
        Case {
            change: &[("[objective chat", "[objective chess")],
            findings: &["[objective chess walk-in] : unknown service: chess"],
        },
    ]);
}

#[test]
fn invalid_services_are_reported() {
    const SECOND: &str = "[service chat2]\nkind = language\nmodel = m-1\n\
         layer-count = 1\nmax-context-tokens = 1\n[service book]";
    const UNDER: &str = "[service a]\nkind = plain\npath = /book/a\n\
         [service b]\nkind = plain\npath = /bookshop\n\
         [service c]\nkind = plain\npath = /v1/c\n[service book]";
    check(&[
        Case {
            change: &[("[service book]", SECOND)],
            findings: &[
                "[service chat2] : no backend server holds the layers 0..1",
                "[service chat2] model: m-1 is also the model of \
                 [service chat]",
            ],
        },
        Case {
            change: &[("[service book]", UNDER)],
            findings: &[
                "[service a] : no backend server provides this service",
                "[service b] : no backend server provides this service",
                "[service c] : no backend server provides this service",
                "[service c] path: /v1/c overlaps /v1, which is reserved",
                "[service book] path: /book overlaps /book/a of [service a]",
            ],
        },
        Case {
            change: &[("path = /book", "path = /book\nmodel = m-2")],
            findings: &["[service book] model: key does not apply to this \
                 kind of service"],
        },
        Case {
            change: &[("path = /book", "path = book/")],
            findings: &["[service book] path: \"book/\" is not a path (`/`, \
                 then names parted by `/`)"],
        },
        Case {
            change: &[("max-deadline-ms = 9000", "max-deadline-ms = 1999")],
            findings: &[
                "[service chat] first-token-objective-ms: 2000 ms is longer \
                 than max-deadline-ms, 1999 ms",
                "[service chat] default-deadline-ms: 8000 ms is longer than \
                 max-deadline-ms, 1999 ms",
            ],
        },
        Case {
            change: &[("kind = plain", "kind = simple")],
            findings: &["[service book] kind: simple is not one of \
                 language, plain"],
        },
    ]);
}

#[test]
fn invalid_backend_servers_and_paths_are_reported() {
    check(&[
        Case {
            change: &[("[backend-server e2]", "[backend-server e1]")],
            findings: &[
                "[service chat] : no backend server holds the layers 4..8",
                "[backend-server e1] : duplicate section; the first is on \
                 line 44",
            ],
        },
        Case {
            change: &[("10.0.2.1:7100", "10.0.1.1:7100")],
            findings: &["[backend-server e2] side-address: 10.0.1.1:7100 is \
                 on the VM vm-2 here and on vm-1 in [backend-server e1]"],
        },
        Case {
            change: &[("vm = vm-2", "vm = vm-1")],
            findings: &["[backend-server e2] data-centre: the VM vm-1 is in \
                 hall-b here and elsewhere in hall-a"],
        },
        Case {
            change: &[
                ("max-running = 8\nacc", "max-running = 100001\nacc"),
                ("max-running = 2", "max-running = 0"),
            ],
            findings: &[
                "[backend-server e1] max-running: 100001 is out of range; \
                 it must be 1..=100000 requests",
                "[backend-server e2] max-running: 100001 is out of range; \
                 it must be 1..=100000 requests",
                "[backend-server p1] max-running: 0 is out of range; \
                 it must be 1..=100000 requests",
            ],
        },
        Case {
            change: &[("cache-tokens = 4000", "cache-tokens = 2047")],
            findings: &[
                "[backend-server e2] cache-tokens: 2047 tokens cannot \
                 hold a request of max-context-tokens, 2048 tokens",
            ],
        },
        Case {
            change: &[
                ("[accelerator fast]", "[accelerator slow]"),
                ("checks-fencing = no\n", ""),
            ],
            findings: &[
                "[backend-server e1] accelerator: unknown accelerator: fast",
                "[backend-server e2] checks-fencing: missing key",
            ],
        },
        Case {
            change: &[("max-running = 2", "max-running = 2\nend-layer = 1")],
            findings: &[
                "[backend-server p1] end-layer: key does not apply to \
                 this kind of service",
            ],
        },
        Case {
            change: &[("service = book", "service = boko")],
            findings: &[
                "[service book] : no backend server provides this service",
                "[backend-server p1] service: unknown service: boko",
            ],
        },
        Case {
            change: &[("[data-centre hall-b]", "[data-centre hall-c]")],
            findings: &[
                "[path hall-b hall-a] : unknown data centre: hall-b",
                "[backend-server e2] data-centre: unknown data centre: \
                 hall-b",
            ],
        },
        Case {
            change: &[(
                "[accelerator fast]",
                "[path hall-a hall-b]\nlatency-us = 1\n\
                 bandwidth-mbit-per-s = 1\n\
                 [path hall-a hall-a]\nlatency-us = 1\n\
                 bandwidth-mbit-per-s = 1\n[accelerator fast]",
            )],
            findings: &[
                "[path hall-b hall-a] : duplicate of [path hall-a hall-b]",
                "[path hall-a hall-a] : a path needs two data centres",
            ],
        },
        Case {
            change: &[("[deployment]\nname = d\n", "")],
            findings: &["[deployment] name: missing key"],
        },
    ]);
}

#[test]
fn findings_have_the_line_of_the_error() {
    let text = BASE.replace("end-layer = 4", "end-layer = 0");
    let findings = Manifest::try_parse("m.ini", &text).unwrap_err();
    for finding in findings.iter() {
        let line = text.lines().nth(finding.line.unwrap() - 1).unwrap();
        let at_key = line.starts_with(&finding.key) && !finding.key.is_empty();
        assert!(at_key || line == format!("[{}]", finding.section));
    }
    assert_eq!(findings.iter().count(), 2);
}

#[test]
fn overlapping_replicas_are_valid() {
    let replica = BASE.split("[backend-server e1]").nth(1).unwrap();
    let replica = replica.split("\n[").next().unwrap();
    let text = format!("{BASE}\n[backend-server e9]{replica}")
        + "\n[backend-server e8]"
        + &replica.replace("end-layer = 4", "end-layer = 6");
    assert_eq!(findings(&text), [""; 0]);
}

#[test]
fn lookups_use_either_order_and_default_objectives() {
    let manifest = base();
    assert_eq!(manifest.path("hall-b", "hall-a").unwrap().latency_us, 200);
    assert_eq!(manifest.path("hall-a", "hall-b").unwrap().latency_us, 200);
    assert_eq!(manifest.path("hall-a", "hall-a"), None);
    let objective = |objective_per_10000, first_token_objective_ms| {
        Some(Objective { objective_per_10000, first_token_objective_ms })
    };
    let of = |service, class| manifest.objective(service, class);
    assert_eq!(of("chat", "walk-in"), objective(9_990, 700));
    assert_eq!(of("chat", "standard"), objective(9_900, 2_000));
    assert_eq!(of("chess", "standard"), None);
}

#[test]
fn key_digests_are_converted_to_lower_case() {
    let text = BASE.replace("bbbbbbbb", "BBBBBBBB");
    assert_eq!(Manifest::try_parse("m.ini", &text), Ok(base()));
    let digest = key_digest("demo-key");
    assert_eq!(digest.len(), 64);
    assert_eq!(digest, digest.to_lowercase());
}
