//! What holds for any text and any manifest. Seeds are fixed, so that a run
//! says the same everywhere.

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

/// Pieces of files, parted by `~`, so that random text gets past the first
/// checks.
const PIECES: &str = "[node]~[service a]~[path a b]~[account a]~[~]~[[a]]~\
    [backend-server a]~role = side~role = entry~kind = language~=~:~\"~'~#~\
    first-layer = 3~end-layer = 1~services = a, b~key-digests = ,~;~ ~\t~\r~\
    service = a~path = //~weight = 99999999999999999999~\\~\n~\n~\n~\u{feff}~\
    \u{85}~\u{2028}~\0~a~\u{1f330}~inner-address = [::1]:1";

fn pieces() -> impl Strategy<Value = String> {
    let pieces: Vec<&str> = PIECES.split('~').collect();
    let piece = prop::sample::select(pieces);
    vec(piece, 0..60).prop_map(|pieces| pieces.concat())
}

/// An example with a stretch replaced.
fn damaged() -> impl Strategy<Value = String> {
    let texts = [
        include_str!("../../../examples/side.ini"),
        include_str!("../../../examples/entry.ini"),
        include_str!("manifest.ini"),
    ];
    let text = prop::sample::select(texts.to_vec());
    let stretch = (any::<prop::sample::Index>(), 0..30_usize, pieces());
    (text, stretch).prop_map(|(text, (at, length, piece))| {
        let mut chars: Vec<char> = text.chars().collect();
        let start = at.index(chars.len());
        let end = (start + length).min(chars.len());
        chars.splice(start..end, piece.chars());
        chars.into_iter().collect()
    })
}

fn check_findings(text: &str, findings: Option<Findings>) {
    let line_count = text.lines().count();
    for finding in findings.iter().flat_map(|findings| findings.iter()) {
        assert!(finding.line.unwrap_or(1) <= line_count.max(1));
        // The index leaves the library nothing that it can't read.
        assert!(!finding.message.contains("read as INI"), "{finding}");
    }
}

fn check_any(text: &str) {
    check_findings(text, DaemonSettings::try_parse("f", text).err());
    check_findings(text, Manifest::try_parse("f", text).err());
}

proptest! {
    #![proptest_config(config(400))]

    #[test]
    fn any_text_is_read_without_panic(text in any::<String>()) {
        check_any(&text);
    }

    #[test]
    fn any_pieces_are_read_without_panic(text in pieces()) {
        check_any(&text);
    }

    #[test]
    fn any_damaged_file_is_read_without_panic(text in damaged()) {
        check_any(&text);
    }
}

proptest! {
    #![proptest_config(config(100))]

    #[test]
    fn manifest_is_the_same_after_writing(manifest in manifest()) {
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

/// What varies: cuts of the layers, an account's weight and whether it uses
/// the plain service, numbers for the rest.
type Seeds = (BTreeSet<u32>, Vec<(u32, bool)>, (u32, u64));

fn manifest() -> impl Strategy<Value = Manifest> {
    let cuts = btree_set(1..LAYER_COUNT, 0..6);
    let accounts = vec((1..=10_000_u32, any::<bool>()), 1..6);
    let numbers = (0..=100_u32, 2_048..=100_000_u64);
    (cuts, accounts, numbers).prop_map(build)
}

/// The base manifest with everything changed that may vary.
fn build((cuts, accounts, (percent, number)): Seeds) -> Manifest {
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
    split_layers(&mut manifest.backend_servers, cuts, number);
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
    cuts: BTreeSet<u32>,
    number: u64,
) {
    let template = servers.remove("e1").unwrap();
    servers.remove("e2");
    let mut first_layer = 0;
    for end_layer in cuts.into_iter().chain([LAYER_COUNT]) {
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
