//! Parser of a manifest: reads each section, then validates the manifest as a
//! whole.

use std::collections::BTreeMap;

use super::{
    Accelerator, Account, BackendServer, DataCentre, Deployment, Manifest,
    NetworkPath, Objective, Service, ServiceKind, checks, path_key, schema::*,
};
use crate::{
    document::IniDocument,
    fields::Field,
    findings::Findings,
    section_index::{SectionIndex, SectionReader},
};

/// Parses and validates `text`.
pub(super) fn parse_manifest(
    file: &str,
    text: &str,
) -> Result<Manifest, Findings> {
    let mut findings = Findings::new();
    let document = IniDocument::parse(file, text, &mut findings);
    let index = SectionIndex::new(file, &document, SECTIONS, &mut findings);
    let mut reader = ManifestReader { index: &index, findings: &mut findings };
    let manifest = reader.read();
    checks::check(&manifest, &index, &mut findings);
    findings.sort();
    findings.into_result(manifest)
}

struct ManifestReader<'a> {
    index: &'a SectionIndex<'a>,
    findings: &'a mut Findings,
}

impl ManifestReader<'_> {
    /// Reads the sections that are valid. Every section that is left out has a
    /// finding, so that an incomplete manifest is never returned to a caller.
    fn read(&mut self) -> Manifest {
        let services =
            self.read_sections(SERVICE_KEYWORD, SERVICE_FIELD_GROUPS, service);
        Manifest {
            deployment: self.deployment(),
            data_centres: self.read_sections(
                DATA_CENTRE_KEYWORD,
                &[DATA_CENTRE],
                data_centre,
            ),
            paths: self.paths(),
            accelerators: self.read_sections(
                ACCELERATOR_KEYWORD,
                &[ACCELERATOR],
                accelerator,
            ),
            accounts: self.read_sections(ACCOUNT_KEYWORD, &[ACCOUNT], account),
            objectives: self.objectives(),
            backend_servers: self.backend_servers(&services),
            services,
        }
    }

    fn section<'b>(
        &'b mut self,
        heading: &'b str,
        field_groups: &[&[Field]],
    ) -> SectionReader<'b> {
        self.index.reader(heading, field_groups, self.findings)
    }

    fn read_sections<T>(
        &mut self,
        keyword: &str,
        field_groups: &[&[Field]],
        read: fn(&mut SectionReader<'_>) -> Option<T>,
    ) -> BTreeMap<String, T> {
        let mut values = BTreeMap::new();
        for name in self.index.names(keyword) {
            let heading = format!("{keyword} {name}");
            if let Some(value) =
                read(&mut self.section(&heading, field_groups))
            {
                values.insert(name.to_owned(), value);
            }
        }
        values
    }

    fn deployment(&mut self) -> Deployment {
        let mut reader = self.section(DEPLOYMENT_KEYWORD, &[DEPLOYMENT]);
        let name = reader.text(&NAME);
        let recovery_weight_percent = reader.integer(&RECOVERY_WEIGHT_PERCENT);
        Deployment {
            name: name.unwrap_or_default(),
            recovery_weight_percent: recovery_weight_percent
                .unwrap_or_default(),
        }
    }

    fn paths(&mut self) -> BTreeMap<(String, String), NetworkPath> {
        let mut paths = BTreeMap::new();
        for (names, path) in
            self.read_sections(PATH_KEYWORD, &[PATH], network_path)
        {
            let (a, b) = split_names(&names);
            if paths.insert(path_key(a, b), path).is_some() {
                self.report_duplicate_path(a, b);
            }
        }
        paths
    }

    fn report_duplicate_path(&mut self, a: &str, b: &str) {
        let heading = format!("{PATH_KEYWORD} {a} {b}");
        let message = format!("duplicate of [{PATH_KEYWORD} {b} {a}]");
        let finding = self.index.location(&heading).finding("", message);
        self.findings.push(finding);
    }

    fn objectives(&mut self) -> BTreeMap<(String, String), Objective> {
        let objectives =
            self.read_sections(OBJECTIVE_KEYWORD, &[OBJECTIVE], objective);
        let by_names = |(names, objective): (String, Objective)| {
            let (service, class) = split_names(&names);
            ((service.to_owned(), class.to_owned()), objective)
        };
        objectives.into_iter().map(by_names).collect()
    }

    fn backend_servers(
        &mut self,
        services: &BTreeMap<String, Service>,
    ) -> BTreeMap<String, BackendServer> {
        let mut servers = BTreeMap::new();
        for name in self.index.names(BACKEND_SERVER_KEYWORD) {
            let heading = format!("{BACKEND_SERVER_KEYWORD} {name}");
            let location = self.index.location(&heading);
            let service = location.value(BACKEND_SERVICE.key);
            let service = service.and_then(|name| services.get(name));
            let kind = BackendKind::of(service);
            let mut reader = self.section(&heading, kind.field_groups());
            if let Some(server) = backend_server(&mut reader, kind) {
                servers.insert(name.to_owned(), server);
            }
        }
        servers
    }
}

/// Fields of a service whose kind is not known yet.
const SERVICE_FIELD_GROUPS: &[&[Field]] =
    &[SERVICE, LANGUAGE_SERVICE, PLAIN_SERVICE];

/// Kind of the service of a backend server, which determines its keys.
#[derive(Clone, Copy)]
enum BackendKind {
    Language,
    Plain,
    /// The service is unknown or invalid, so the keys that depend on its kind
    /// are not validated.
    Unknown,
}

impl BackendKind {
    fn of(service: Option<&Service>) -> BackendKind {
        match service.map(|service| &service.kind) {
            Some(ServiceKind::Language { .. }) => BackendKind::Language,
            Some(ServiceKind::Plain { .. }) => BackendKind::Plain,
            None => BackendKind::Unknown,
        }
    }

    fn field_groups(self) -> &'static [&'static [Field]] {
        match self {
            BackendKind::Plain => &[BACKEND_SERVER],
            BackendKind::Language | BackendKind::Unknown => {
                &[BACKEND_SERVER, LANGUAGE_BACKEND_SERVER]
            }
        }
    }
}

/// Splits the two names of a heading; validated headings have two names.
fn split_names(names: &str) -> (&str, &str) {
    names.split_once(' ').unwrap_or((names, ""))
}

fn data_centre(reader: &mut SectionReader<'_>) -> Option<DataCentre> {
    let region = reader.text(&REGION)?;
    Some(DataCentre { region })
}

fn network_path(reader: &mut SectionReader<'_>) -> Option<NetworkPath> {
    let latency_us = reader.integer(&LATENCY_US);
    let bandwidth_mbit_per_s = reader.integer(&BANDWIDTH_MBIT_PER_S);
    Some(NetworkPath {
        latency_us: latency_us?,
        bandwidth_mbit_per_s: bandwidth_mbit_per_s?,
    })
}

fn accelerator(reader: &mut SectionReader<'_>) -> Option<Accelerator> {
    let price_micros_per_hour = reader.integer(&PRICE_MICROS_PER_HOUR);
    let prompt_tokens_per_s = reader.integer(&PROMPT_TOKENS_PER_S);
    let output_tokens_per_s = reader.integer(&OUTPUT_TOKENS_PER_S);
    Some(Accelerator {
        price_micros_per_hour: price_micros_per_hour?,
        prompt_tokens_per_s: prompt_tokens_per_s?,
        output_tokens_per_s: output_tokens_per_s?,
    })
}

fn service(reader: &mut SectionReader<'_>) -> Option<Service> {
    let kind = service_kind(reader);
    let default_deadline_ms = reader.integer(&DEFAULT_DEADLINE_MS);
    let max_deadline_ms = reader.integer(&MAX_DEADLINE_MS);
    let objective_per_10000 = reader.integer(&OBJECTIVE_PER_10000);
    let first_token_objective_ms = reader.integer(&FIRST_TOKEN_OBJECTIVE_MS);
    Some(Service {
        kind: kind?,
        default_deadline_ms: default_deadline_ms?,
        max_deadline_ms: max_deadline_ms?,
        objective_per_10000: objective_per_10000?,
        first_token_objective_ms: first_token_objective_ms?,
    })
}

/// Values of the key `kind`.
enum Kind {
    Language,
    Plain,
}

fn parse_kind(value: &str) -> Option<Kind> {
    match value {
        "language" => Some(Kind::Language),
        "plain" => Some(Kind::Plain),
        _ => None,
    }
}

fn service_kind(reader: &mut SectionReader<'_>) -> Option<ServiceKind> {
    match reader.choice(&KIND, parse_kind)? {
        Kind::Language => language_kind(reader),
        Kind::Plain => plain_kind(reader),
    }
}

fn language_kind(reader: &mut SectionReader<'_>) -> Option<ServiceKind> {
    reader.reject_keys(PLAIN_SERVICE);
    let model = reader.text(&MODEL);
    let layer_count = reader.integer(&LAYER_COUNT);
    let max_context_tokens = reader.integer(&MAX_CONTEXT_TOKENS);
    Some(ServiceKind::Language {
        model: model?,
        layer_count: layer_count?,
        max_context_tokens: max_context_tokens?,
    })
}

fn plain_kind(reader: &mut SectionReader<'_>) -> Option<ServiceKind> {
    reader.reject_keys(LANGUAGE_SERVICE);
    let path = reader.text(&PATH_PREFIX)?;
    Some(ServiceKind::Plain { path })
}

fn account(reader: &mut SectionReader<'_>) -> Option<Account> {
    let key_digests = reader.list(&KEY_DIGESTS);
    let weight = reader.integer(&WEIGHT);
    let services = reader.list(&SERVICES);
    let class = reader.text(&CLASS);
    let guaranteed_percent = reader.integer(&GUARANTEED_PERCENT);
    Some(Account {
        key_digests: key_digests?.into_iter().collect(),
        weight: weight?,
        services: services?.into_iter().collect(),
        class: class?,
        guaranteed_percent: guaranteed_percent?,
    })
}

fn objective(reader: &mut SectionReader<'_>) -> Option<Objective> {
    let objective_per_10000 = reader.integer(&CLASS_OBJECTIVE_PER_10000);
    let first_token_objective_ms =
        reader.integer(&CLASS_FIRST_TOKEN_OBJECTIVE_MS);
    Some(Objective {
        objective_per_10000: objective_per_10000?,
        first_token_objective_ms: first_token_objective_ms?,
    })
}

/// Values that only backend servers of a language service have.
#[derive(Default)]
struct LanguageBackend {
    accelerator: Option<String>,
    first_layer: u32,
    end_layer: u32,
    cache_tokens: u64,
    checks_fencing: bool,
}

fn language_backend(
    reader: &mut SectionReader<'_>,
) -> Option<LanguageBackend> {
    let accelerator = reader.text(&BACKEND_ACCELERATOR);
    let first_layer = reader.integer(&FIRST_LAYER);
    let end_layer = reader.integer(&END_LAYER);
    let cache_tokens = reader.integer(&CACHE_TOKENS);
    let checks_fencing = reader.choice(&CHECKS_FENCING, parse_bool);
    Some(LanguageBackend {
        accelerator: Some(accelerator?),
        first_layer: first_layer?,
        end_layer: end_layer?,
        cache_tokens: cache_tokens?,
        checks_fencing: checks_fencing?,
    })
}

fn parse_bool(value: &str) -> Option<bool> {
    match value {
        "yes" => Some(true),
        "no" => Some(false),
        _ => None,
    }
}

fn backend_server(
    reader: &mut SectionReader<'_>,
    kind: BackendKind,
) -> Option<BackendServer> {
    let service = reader.text(&BACKEND_SERVICE);
    let data_centre = reader.text(&BACKEND_DATA_CENTRE);
    let vm = reader.text(&VM);
    let side_address = reader.address(&SIDE_ADDRESS);
    let max_running = reader.integer(&MAX_RUNNING);
    let language = match kind {
        BackendKind::Language => language_backend(reader),
        BackendKind::Plain | BackendKind::Unknown => {
            Some(LanguageBackend::default())
        }
    };
    let language = language?;
    Some(BackendServer {
        service: service?,
        data_centre: data_centre?,
        vm: vm?,
        side_address: side_address?,
        accelerator: language.accelerator,
        first_layer: language.first_layer,
        end_layer: language.end_layer,
        max_running: max_running?,
        cache_tokens: language.cache_tokens,
        checks_fencing: language.checks_fencing,
    })
}
