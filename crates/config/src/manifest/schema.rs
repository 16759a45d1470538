//! Schema of a manifest.

use crate::fields::{
    AddressField, ChoiceField, Field, IntegerField, ListField, SectionSchema,
    TextField, TextFormat,
};

/// Keyword of `[deployment]`.
pub(super) const DEPLOYMENT_KEYWORD: &str = "deployment";
/// Keyword of `[data-centre NAME]`.
pub(super) const DATA_CENTRE_KEYWORD: &str = "data-centre";
/// Keyword of `[path A B]`.
pub(super) const PATH_KEYWORD: &str = "path";
/// Keyword of `[accelerator NAME]`.
pub(super) const ACCELERATOR_KEYWORD: &str = "accelerator";
/// Keyword of `[service NAME]`.
pub(super) const SERVICE_KEYWORD: &str = "service";
/// Keyword of `[account NAME]`.
pub(super) const ACCOUNT_KEYWORD: &str = "account";
/// Keyword of `[objective SERVICE CLASS]`.
pub(super) const OBJECTIVE_KEYWORD: &str = "objective";
/// Keyword of `[backend-server NAME]`.
pub(super) const BACKEND_SERVER_KEYWORD: &str = "backend-server";

const ONE_NAME: &[&str] = &["NAME"];

/// Sections of a manifest.
pub const SECTIONS: &[SectionSchema] = &[
    SectionSchema {
        keyword: DEPLOYMENT_KEYWORD,
        name_placeholders: &[],
        field_groups: &[DEPLOYMENT],
    },
    SectionSchema {
        keyword: DATA_CENTRE_KEYWORD,
        name_placeholders: ONE_NAME,
        field_groups: &[DATA_CENTRE],
    },
    SectionSchema {
        keyword: PATH_KEYWORD,
        name_placeholders: &["A", "B"],
        field_groups: &[PATH],
    },
    SectionSchema {
        keyword: ACCELERATOR_KEYWORD,
        name_placeholders: ONE_NAME,
        field_groups: &[ACCELERATOR],
    },
    SectionSchema {
        keyword: SERVICE_KEYWORD,
        name_placeholders: ONE_NAME,
        field_groups: &[SERVICE, LANGUAGE_SERVICE, PLAIN_SERVICE],
    },
    SectionSchema {
        keyword: ACCOUNT_KEYWORD,
        name_placeholders: ONE_NAME,
        field_groups: &[ACCOUNT],
    },
    SectionSchema {
        keyword: OBJECTIVE_KEYWORD,
        name_placeholders: &["SERVICE", "CLASS"],
        field_groups: &[OBJECTIVE],
    },
    SectionSchema {
        keyword: BACKEND_SERVER_KEYWORD,
        name_placeholders: ONE_NAME,
        field_groups: &[BACKEND_SERVER, LANGUAGE_BACKEND_SERVER],
    },
];

/// Maximum number of layers of a model, and maximum end of a layer range.
const MAX_LAYERS: u64 = 10_000;

pub(super) const NAME: TextField = TextField::new("name", TextFormat::Name);
pub(super) const RECOVERY_WEIGHT_PERCENT: IntegerField =
    IntegerField::new("recovery-weight-percent", 0, 100, "%").with_default(50);

pub(super) const DEPLOYMENT: &[Field] =
    &[Field::Text(NAME), Field::Integer(RECOVERY_WEIGHT_PERCENT)];

pub(super) const REGION: TextField =
    TextField::new("region", TextFormat::Name);

pub(super) const DATA_CENTRE: &[Field] = &[Field::Text(REGION)];

pub(super) const LATENCY_US: IntegerField =
    IntegerField::new("latency-us", 0, 10_000_000, "us");
pub(super) const BANDWIDTH_MBIT_PER_S: IntegerField =
    IntegerField::new("bandwidth-mbit-per-s", 1, 10_000_000, "Mbit/s");

pub(super) const PATH: &[Field] =
    &[Field::Integer(LATENCY_US), Field::Integer(BANDWIDTH_MBIT_PER_S)];

pub(super) const PRICE_MICROS_PER_HOUR: IntegerField =
    IntegerField::new("price-micros-per-hour", 0, 1_000_000_000_000, "micros");
pub(super) const PROMPT_TOKENS_PER_S: IntegerField =
    IntegerField::new("prompt-tokens-per-s", 1, 1_000_000_000, "tokens/s");
pub(super) const OUTPUT_TOKENS_PER_S: IntegerField =
    IntegerField::new("output-tokens-per-s", 1, 1_000_000_000, "tokens/s");

pub(super) const ACCELERATOR: &[Field] = &[
    Field::Integer(PRICE_MICROS_PER_HOUR),
    Field::Integer(PROMPT_TOKENS_PER_S),
    Field::Integer(OUTPUT_TOKENS_PER_S),
];

pub(super) const KIND: ChoiceField =
    ChoiceField::new("kind", &["language", "plain"]);
pub(super) const DEFAULT_DEADLINE_MS: IntegerField =
    IntegerField::new("default-deadline-ms", 1, 3_600_000, "ms")
        .with_default(60_000);
pub(super) const MAX_DEADLINE_MS: IntegerField =
    IntegerField::new("max-deadline-ms", 1, 3_600_000, "ms")
        .with_default(300_000);
pub(super) const OBJECTIVE_PER_10000: IntegerField =
    IntegerField::new("objective-per-10000", 0, 10_000, "parts of 10,000")
        .with_default(9_900);
pub(super) const FIRST_TOKEN_OBJECTIVE_MS: IntegerField =
    IntegerField::new("first-token-objective-ms", 1, 3_600_000, "ms")
        .with_default(2_000);

pub(super) const SERVICE: &[Field] = &[
    Field::Choice(KIND),
    Field::Integer(DEFAULT_DEADLINE_MS),
    Field::Integer(MAX_DEADLINE_MS),
    Field::Integer(OBJECTIVE_PER_10000),
    Field::Integer(FIRST_TOKEN_OBJECTIVE_MS),
];

pub(super) const MODEL: TextField = TextField::new("model", TextFormat::Model);
pub(super) const LAYER_COUNT: IntegerField =
    IntegerField::new("layer-count", 1, MAX_LAYERS, "layers");
pub(super) const MAX_CONTEXT_TOKENS: IntegerField =
    IntegerField::new("max-context-tokens", 1, 100_000_000, "tokens");

pub(super) const LANGUAGE_SERVICE: &[Field] = &[
    Field::Text(MODEL),
    Field::Integer(LAYER_COUNT),
    Field::Integer(MAX_CONTEXT_TOKENS),
];

pub(super) const PATH_PREFIX: TextField =
    TextField::new("path", TextFormat::Path);

pub(super) const PLAIN_SERVICE: &[Field] = &[Field::Text(PATH_PREFIX)];

pub(super) const KEY_DIGESTS: ListField =
    ListField::new("key-digests", TextFormat::KeyDigest);
pub(super) const WEIGHT: IntegerField =
    IntegerField::new("weight", 1, 10_000, "shares").with_default(100);
pub(super) const SERVICES: ListField =
    ListField::new("services", TextFormat::Name);
pub(super) const CLASS: TextField =
    TextField::new("class", TextFormat::Name).with_default("standard");
pub(super) const GUARANTEED_PERCENT: IntegerField =
    IntegerField::new("guaranteed-percent", 0, 100, "%").with_default(0);

pub(super) const ACCOUNT: &[Field] = &[
    Field::List(KEY_DIGESTS),
    Field::Integer(WEIGHT),
    Field::List(SERVICES),
    Field::Text(CLASS),
    Field::Integer(GUARANTEED_PERCENT),
];

/// The two objective keys of a service, but required: an `[objective]` section
/// without them would have no effect.
pub(super) const CLASS_OBJECTIVE_PER_10000: IntegerField =
    IntegerField { default: None, ..OBJECTIVE_PER_10000 };
pub(super) const CLASS_FIRST_TOKEN_OBJECTIVE_MS: IntegerField =
    IntegerField { default: None, ..FIRST_TOKEN_OBJECTIVE_MS };

pub(super) const OBJECTIVE: &[Field] = &[
    Field::Integer(CLASS_OBJECTIVE_PER_10000),
    Field::Integer(CLASS_FIRST_TOKEN_OBJECTIVE_MS),
];

pub(super) const BACKEND_SERVICE: TextField =
    TextField::new("service", TextFormat::Name);
pub(super) const BACKEND_DATA_CENTRE: TextField =
    TextField::new("data-centre", TextFormat::Name);
pub(super) const VM: TextField = TextField::new("vm", TextFormat::Name);
pub(super) const SIDE_ADDRESS: AddressField =
    AddressField::connect("side-address");
pub(super) const MAX_RUNNING: IntegerField =
    IntegerField::new("max-running", 1, 100_000, "requests");

pub(super) const BACKEND_SERVER: &[Field] = &[
    Field::Text(BACKEND_SERVICE),
    Field::Text(BACKEND_DATA_CENTRE),
    Field::Text(VM),
    Field::Address(SIDE_ADDRESS),
    Field::Integer(MAX_RUNNING),
];

pub(super) const BACKEND_ACCELERATOR: TextField =
    TextField::new("accelerator", TextFormat::Name);
pub(super) const FIRST_LAYER: IntegerField =
    IntegerField::new("first-layer", 0, MAX_LAYERS, "layers");
pub(super) const END_LAYER: IntegerField =
    IntegerField::new("end-layer", 0, MAX_LAYERS, "layers");
pub(super) const CACHE_TOKENS: IntegerField =
    IntegerField::new("cache-tokens", 1, 1_000_000_000_000, "tokens");
pub(super) const CHECKS_FENCING: ChoiceField =
    ChoiceField::new("checks-fencing", &["yes", "no"]);

pub(super) const LANGUAGE_BACKEND_SERVER: &[Field] = &[
    Field::Text(BACKEND_ACCELERATOR),
    Field::Integer(FIRST_LAYER),
    Field::Integer(END_LAYER),
    Field::Integer(CACHE_TOKENS),
    Field::Choice(CHECKS_FENCING),
];
