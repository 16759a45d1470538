//! The shipped example files are valid and consistent.

use std::{fs, path::PathBuf};

use chestnutreach_config::{DaemonSettings, Manifest, key_digest};

fn example(name: &str) -> PathBuf {
    PathBuf::from(env!("CARGO_MANIFEST_DIR")).join("../../examples").join(name)
}

fn manifest(name: &str) -> (String, Manifest) {
    let text = fs::read_to_string(example(name)).unwrap();
    let manifest = Manifest::try_parse(name, &text);
    (text, manifest.unwrap_or_else(|findings| panic!("{findings}")))
}

#[test]
fn example_settings_are_valid() {
    let load = |name| DaemonSettings::try_load(&example(name)).unwrap();
    assert!(matches!(load("entry.ini"), DaemonSettings::Entry(_)));
    let DaemonSettings::Side(side) = load("side.ini") else {
        panic!("side.ini has another role");
    };
    let (_, manifest) = manifest("kaolack.ini");
    let server = &manifest.backend_servers[&side.backends[0].name];
    assert_eq!(server.side_address, side.node.inner_address);
    assert_eq!(server.vm, side.node.vm);
}

#[test]
fn example_manifests_are_valid() {
    struct Case {
        file: &'static str,
        language: &'static str,
        plain: &'static str,
        recovery_weight_percent: u32,
    }
    let cases = [
        Case {
            file: "kaolack.ini",
            language: "desk-llm",
            plain: "ledger-app",
            recovery_weight_percent: 20,
        },
        Case {
            file: "sofia.ini",
            language: "ili-analyst",
            plain: "pipe-records",
            recovery_weight_percent: 80,
        },
    ];
    for case in cases {
        let (text, manifest) = manifest(case.file);
        let count = |service: &str| {
            let servers = manifest.backend_servers.values();
            servers.filter(|server| server.service == service).count()
        };
        assert_eq!(count(case.language), 40, "{}", case.file);
        assert_eq!(count(case.plain), 3, "{}", case.file);
        assert_eq!(manifest.accounts.len(), 10, "{}", case.file);
        assert_eq!(manifest.data_centres.len(), 3, "{}", case.file);
        assert_eq!(manifest.accelerators.len(), 3, "{}", case.file);
        assert!(manifest.paths.values().all(|path| path.latency_us < 1_000));
        assert_eq!(
            manifest.deployment.recovery_weight_percent,
            case.recovery_weight_percent,
        );
        check_demo_keys(&text, &manifest);
    }
}

fn check_demo_keys(text: &str, manifest: &Manifest) {
    for (name, account) in &manifest.accounts {
        let key = format!("demo-key-{name}");
        assert!(text.contains(&format!("# {key}\n")), "{key}");
        assert!(account.key_digests.contains(&key_digest(&key)), "{key}");
    }
}
