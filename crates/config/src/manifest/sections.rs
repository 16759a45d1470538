//! Conversion of a manifest to canonical sections.
//!
//! All keys are written, including those with default values, so that a later
//! change of a default does not change the meaning of a stored manifest.

use std::{collections::BTreeMap, fmt::Display};

use super::{
    Accelerator, Account, BackendServer, DataCentre, Deployment, Manifest,
    NetworkPath, Objective, Service, ServiceKind, schema::*,
};

/// Concatenates sections to an INI text.
pub fn sections_to_ini(sections: &BTreeMap<String, String>) -> String {
    let mut text = String::new();
    for (heading, body) in sections {
        text.push('[');
        text.push_str(heading);
        text.push_str("]\n");
        text.push_str(body);
        text.push('\n');
    }
    text
}

/// Converts a manifest to canonical sections.
pub(super) fn from_manifest(manifest: &Manifest) -> BTreeMap<String, String> {
    let mut sections = BTreeMap::new();
    let deployment = deployment(&manifest.deployment);
    sections.insert(DEPLOYMENT_KEYWORD.to_owned(), deployment.text());
    let mut add = |keyword: &str, names: &str, body: Body| {
        sections.insert(format!("{keyword} {names}"), body.text());
    };
    for (name, value) in &manifest.data_centres {
        add(DATA_CENTRE_KEYWORD, name, data_centre(value));
    }
    for ((a, b), value) in &manifest.paths {
        add(PATH_KEYWORD, &format!("{a} {b}"), network_path(value));
    }
    for (name, value) in &manifest.accelerators {
        add(ACCELERATOR_KEYWORD, name, accelerator(value));
    }
    for (name, value) in &manifest.services {
        add(SERVICE_KEYWORD, name, service(value));
    }
    for (name, value) in &manifest.accounts {
        add(ACCOUNT_KEYWORD, name, account(value));
    }
    for ((service, class), value) in &manifest.objectives {
        add(
            OBJECTIVE_KEYWORD,
            &format!("{service} {class}"),
            objective(value),
        );
    }
    for (name, value) in &manifest.backend_servers {
        add(BACKEND_SERVER_KEYWORD, name, backend_server(value));
    }
    sections
}

/// Entries of a section, sorted by key.
#[derive(Default)]
struct Body {
    entries: BTreeMap<&'static str, String>,
}

impl Body {
    fn with(mut self, key: &'static str, value: impl Display) -> Body {
        self.entries.insert(key, value.to_string());
        self
    }

    fn text(&self) -> String {
        let line = |(key, value)| format!("{key} = {value}\n");
        self.entries.iter().map(line).collect()
    }
}

fn deployment(value: &Deployment) -> Body {
    Body::default()
        .with(NAME.key, &value.name)
        .with(RECOVERY_WEIGHT_PERCENT.key, value.recovery_weight_percent)
}

fn data_centre(value: &DataCentre) -> Body {
    Body::default().with(REGION.key, &value.region)
}

fn network_path(value: &NetworkPath) -> Body {
    Body::default()
        .with(LATENCY_US.key, value.latency_us)
        .with(BANDWIDTH_MBIT_PER_S.key, value.bandwidth_mbit_per_s)
}

fn accelerator(value: &Accelerator) -> Body {
    Body::default()
        .with(PRICE_MICROS_PER_HOUR.key, value.price_micros_per_hour)
        .with(PROMPT_TOKENS_PER_S.key, value.prompt_tokens_per_s)
        .with(OUTPUT_TOKENS_PER_S.key, value.output_tokens_per_s)
}

fn service(value: &Service) -> Body {
    let body = Body::default()
        .with(DEFAULT_DEADLINE_MS.key, value.default_deadline_ms)
        .with(MAX_DEADLINE_MS.key, value.max_deadline_ms)
        .with(OBJECTIVE_PER_10000.key, value.objective_per_10000)
        .with(FIRST_TOKEN_OBJECTIVE_MS.key, value.first_token_objective_ms);
    match &value.kind {
        ServiceKind::Language { model, layer_count, max_context_tokens } => {
            body.with(KIND.key, "language")
                .with(MODEL.key, model)
                .with(LAYER_COUNT.key, layer_count)
                .with(MAX_CONTEXT_TOKENS.key, max_context_tokens)
        }
        ServiceKind::Plain { path } => {
            body.with(KIND.key, "plain").with(PATH_PREFIX.key, path)
        }
    }
}

fn account(value: &Account) -> Body {
    Body::default()
        .with(KEY_DIGESTS.key, joined(&value.key_digests))
        .with(WEIGHT.key, value.weight)
        .with(SERVICES.key, joined(&value.services))
        .with(CLASS.key, &value.class)
        .with(GUARANTEED_PERCENT.key, value.guaranteed_percent)
}

fn objective(value: &Objective) -> Body {
    Body::default()
        .with(CLASS_OBJECTIVE_PER_10000.key, value.objective_per_10000)
        .with(
            CLASS_FIRST_TOKEN_OBJECTIVE_MS.key,
            value.first_token_objective_ms,
        )
}

fn backend_server(value: &BackendServer) -> Body {
    let body = Body::default()
        .with(BACKEND_SERVICE.key, &value.service)
        .with(BACKEND_DATA_CENTRE.key, &value.data_centre)
        .with(VM.key, &value.vm)
        .with(SIDE_ADDRESS.key, value.side_address)
        .with(MAX_RUNNING.key, value.max_running);
    let Some(accelerator) = &value.accelerator else {
        return body;
    };
    let fencing = if value.checks_fencing { "yes" } else { "no" };
    body.with(BACKEND_ACCELERATOR.key, accelerator)
        .with(FIRST_LAYER.key, value.first_layer)
        .with(END_LAYER.key, value.end_layer)
        .with(CACHE_TOKENS.key, value.cache_tokens)
        .with(CHECKS_FENCING.key, fencing)
}

fn joined<'a>(items: impl IntoIterator<Item = &'a String>) -> String {
    let items: Vec<&str> = items.into_iter().map(String::as_str).collect();
    items.join(", ")
}
