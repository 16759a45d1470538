//! Properties of arbitrary texts and manifests. Seeds are fixed, so that runs
//! are reproducible.

use std::collections::{BTreeMap, BTreeSet};

use proptest::{
    collection::{btree_set, vec},
    prelude::*,
    test_runner::RngSeed,
};

use chestnutreach_config::{
    DaemonSettings, Findings, Manifest, Parts, key_digest,
    manifest::{
        Account, BackendServer, NetworkPath, Objective, Service, ServiceKind,
        diff,
    },
    parts::assemble,
};

const SEED: u64 = 20_261;

fn config(cases: u32) -> ProptestConfig {
    ProptestConfig {
        cases,
        failure_persistence: None,
        rng_seed: RngSeed::Fixed(SEED),
        ..ProptestConfig::default()
    }
}

/// Fragments of files, separated by `~`. Text generated from them passes the
/// first checks more often than arbitrary text.
const FRAGMENTS: &str = "[node]~[service a]~[path a b]~[account a]~[~]~[[a]]~\
    [backend-server a]~role = side~role = entry~kind = language~=~:~\"~'~#~\
    first-layer = 3~end-layer = 1~services = a, b~key-digests = ,~;~ ~\t~\r~\
    service = a~path = //~weight = 99999999999999999999~\\~\n~\n~\n~\u{feff}~\
    \u{85}~\u{2028}~\0~a~\u{1f330}~inner-address = [::1]:1";

fn fragments() -> impl Strategy<Value = String> {
    let fragments: Vec<&str> = FRAGMENTS.split('~').collect();
    let fragment = prop::sample::select(fragments);
    vec(fragment, 0..60).prop_map(|fragments| fragments.concat())
}

/// An example file with a random range replaced.
fn corrupted_file() -> impl Strategy<Value = String> {
    let texts = [
        include_str!("../../../examples/side.ini"),
        include_str!("../../../examples/entry.ini"),
        include_str!("manifest.ini"),
    ];
    let text = prop::sample::select(texts.to_vec());
    let replacement = (any::<prop::sample::Index>(), 0..30_usize, fragments());
    (text, replacement).prop_map(|(text, (at, length, fragment))| {
        let mut chars: Vec<char> = text.chars().collect();
        let start = at.index(chars.len());
        let end = (start + length).min(chars.len());
        chars.splice(start..end, fragment.chars());
        chars.into_iter().collect()
    })
}

fn check_findings(text: &str, findings: Option<Findings>) {
    let line_count = text.lines().count();
    for finding in findings.iter().flat_map(|findings| findings.iter()) {
        assert!(finding.line.unwrap_or(1) <= line_count.max(1));
        // The INI library only receives lines that it can parse.
        assert!(!finding.message.contains("read as INI"), "{finding}");
    }
}

fn check_both_parsers(text: &str) {
    check_findings(text, DaemonSettings::try_parse("f", text).err());
    check_findings(text, Manifest::try_parse("f", text).err());
}

proptest! {
    #![proptest_config(config(400))]

    #[test]
    fn arbitrary_text_does_not_panic(text in any::<String>()) {
        check_both_parsers(&text);
    }

    #[test]
    fn arbitrary_fragments_do_not_panic(text in fragments()) {
        check_both_parsers(&text);
    }

    #[test]
    fn corrupted_files_do_not_panic(text in corrupted_file()) {
        check_both_parsers(&text);
    }
}

proptest! {
    #![proptest_config(config(100))]

    #[test]
    fn manifests_survive_a_round_trip(manifest in manifest()) {
        let text = manifest.to_ini();
        let read = Manifest::try_parse("m.ini", &text);
        prop_assert_eq!(read.as_ref(), Ok(&manifest), "{}", text);
        let sections = manifest.to_sections();
        prop_assert!(diff(&sections, &read.unwrap().to_sections()).is_empty());
        let parts = Parts::from_sections(&sections);
        let joined = assemble(&parts.root, &parts.bodies).unwrap();
        let read = Manifest::try_from_sections("m.ini", &joined);
        prop_assert_eq!(read, Ok(manifest));
    }
}

const LAYER_COUNT: u32 = 64;

/// Random inputs of a manifest: boundaries of layer ranges, weight of each
/// account and whether the account uses the plain service, and two numbers for
/// the other values.
type Inputs = (BTreeSet<u32>, Vec<(u32, bool)>, (u32, u64));

fn manifest() -> impl Strategy<Value = Manifest> {
    let boundaries = btree_set(1..LAYER_COUNT, 0..6);
    let accounts = vec((1..=10_000_u32, any::<bool>()), 1..6);
    let numbers = (0..=100_u32, 2_048..=100_000_u64);
    (boundaries, accounts, numbers).prop_map(build_manifest)
}

/// Builds a manifest from the base manifest and the random inputs.
fn build_manifest(
    (boundaries, accounts, (percent, number)): Inputs,
) -> Manifest {
    let base = include_str!("manifest.ini");
    let mut manifest = Manifest::try_parse("m.ini", base).unwrap();
    manifest.deployment.recovery_weight_percent = percent;
    for path in manifest.paths.values_mut() {
        *path =
            NetworkPath { latency_us: number, bandwidth_mbit_per_s: number };
    }
    for accelerator in manifest.accelerators.values_mut() {
        accelerator.price_micros_per_hour = number;
        accelerator.output_tokens_per_s = percent + 1;
    }
    for service in manifest.services.values_mut() {
        change_service(service, percent, number);
    }
    let objective = Objective {
        objective_per_10000: percent,
        first_token_objective_ms: number,
    };
    let objective_key = ("chat".to_owned(), "c0".to_owned());
    manifest.objectives = BTreeMap::from([(objective_key, objective)]);
    manifest.accounts = accounts.iter().enumerate().map(account).collect();
    split_layers(&mut manifest.backend_servers, boundaries, number);
    manifest
}

fn change_service(service: &mut Service, percent: u32, number: u64) {
    service.default_deadline_ms = number;
    service.max_deadline_ms = number;
    service.objective_per_10000 = percent;
    service.first_token_objective_ms = number;
    match &mut service.kind {
        ServiceKind::Language { model, layer_count, .. } => {
            *model = "org/m:1=x;[a]#b".to_owned();
            *layer_count = LAYER_COUNT;
        }
        ServiceKind::Plain { path } => *path = "/book/x.y".to_owned(),
    }
}

fn account(
    (index, (weight, has_plain)): (usize, &(u32, bool)),
) -> (String, Account) {
    let mut services = BTreeSet::from(["chat".to_owned()]);
    if *has_plain {
        services.insert("book".to_owned());
    }
    let account = Account {
        key_digests: [1, 2]
            .map(|n| key_digest(&format!("{index}/{n}")))
            .into(),
        weight: *weight,
        services,
        class: format!("c{index}"),
        guaranteed_percent: 0,
    };
    (format!("a{index}"), account)
}

fn split_layers(
    servers: &mut BTreeMap<String, BackendServer>,
    boundaries: BTreeSet<u32>,
    number: u64,
) {
    let template = servers.remove("e1").unwrap();
    servers.remove("e2");
    let mut first_layer = 0;
    for end_layer in boundaries.into_iter().chain([LAYER_COUNT]) {
        let server = BackendServer {
            first_layer,
            end_layer,
            side_address: "[fd00::1]:7100".parse().unwrap(),
            cache_tokens: number,
            checks_fencing: end_layer % 2 == 0,
            ..template.clone()
        };
        servers.insert(format!("e{first_layer}"), server);
        first_layer = end_layer;
    }
}
