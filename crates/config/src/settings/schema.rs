//! Schema of the settings of a daemon.

use crate::fields::{
    AddressField, AddressListField, ChoiceField, Field, IntegerField,
    SectionSchema, TextField, TextFormat,
};

/// Keyword of `[node]`.
pub(super) const NODE_KEYWORD: &str = "node";
/// Keyword of `[log]`.
pub(super) const LOG_KEYWORD: &str = "log";
/// Keyword of `[links]`.
pub(super) const LINKS_KEYWORD: &str = "links";
/// Keyword of `[platform]`.
pub(super) const PLATFORM_KEYWORD: &str = "platform";
/// Keyword of `[entry]`.
pub(super) const ENTRY_KEYWORD: &str = "entry";
/// Keyword of `[side]`.
pub(super) const SIDE_KEYWORD: &str = "side";
/// Keyword of `[backend-server NAME]`.
pub(super) const BACKEND_SERVER_KEYWORD: &str = "backend-server";

/// Sections of the settings of a daemon.
pub const SECTIONS: &[SectionSchema] = &[
    SectionSchema {
        keyword: NODE_KEYWORD,
        name_placeholders: &[],
        field_groups: &[NODE],
    },
    SectionSchema {
        keyword: LOG_KEYWORD,
        name_placeholders: &[],
        field_groups: &[LOG],
    },
    SectionSchema {
        keyword: LINKS_KEYWORD,
        name_placeholders: &[],
        field_groups: &[LINKS],
    },
    SectionSchema {
        keyword: PLATFORM_KEYWORD,
        name_placeholders: &[],
        field_groups: &[PLATFORM],
    },
    SectionSchema {
        keyword: ENTRY_KEYWORD,
        name_placeholders: &[],
        field_groups: &[ENTRY],
    },
    SectionSchema {
        keyword: SIDE_KEYWORD,
        name_placeholders: &[],
        field_groups: &[SIDE],
    },
    SectionSchema {
        keyword: BACKEND_SERVER_KEYWORD,
        name_placeholders: &["NAME"],
        field_groups: &[BACKEND_SERVER],
    },
];

pub(super) const ROLE: ChoiceField =
    ChoiceField::new("role", &["entry", "side"]);
pub(super) const VM: TextField = TextField::new("vm", TextFormat::Name);
pub(super) const DATA_CENTRE: TextField =
    TextField::new("data-centre", TextFormat::Name);
pub(super) const INNER_ADDRESS: AddressField =
    AddressField::listen("inner-address");
pub(super) const OPS_ADDRESS: AddressField =
    AddressField::listen("ops-address");
pub(super) const CONTROL_ADDRESS: AddressField =
    AddressField::listen("control-address");
pub(super) const THREADS: IntegerField =
    IntegerField::new("threads", 1, 256, "threads").with_default(4);
pub(super) const DRAIN_LIMIT_MS: IntegerField =
    IntegerField::new("drain-limit-ms", 1_000, 3_600_000, "ms")
        .with_default(60_000);
pub(super) const SEED_PEERS: AddressListField =
    AddressListField::new("seed-peers", 64);

pub(super) const NODE: &[Field] = &[
    Field::Choice(ROLE),
    Field::Text(VM),
    Field::Text(DATA_CENTRE),
    Field::Address(INNER_ADDRESS),
    Field::Address(OPS_ADDRESS),
    Field::Address(CONTROL_ADDRESS),
    Field::Integer(THREADS),
    Field::Integer(DRAIN_LIMIT_MS),
    Field::Addresses(SEED_PEERS),
];

pub(super) const LOG_FORMAT: ChoiceField =
    ChoiceField::new("format", &["text", "json"]).with_default("json");
pub(super) const LOG_LEVEL: ChoiceField =
    ChoiceField::new("level", &["error", "warn", "info", "debug"])
        .with_default("info");

pub(super) const LOG: &[Field] =
    &[Field::Choice(LOG_FORMAT), Field::Choice(LOG_LEVEL)];

pub(super) const CONNECT_TIMEOUT_MS: IntegerField =
    IntegerField::new("connect-timeout-ms", 10, 60_000, "ms")
        .with_default(500);
pub(super) const BUSY_INTERVAL_MS: IntegerField =
    IntegerField::new("busy-interval-ms", 10, 60_000, "ms").with_default(200);
pub(super) const IDLE_INTERVAL_MS: IntegerField =
    IntegerField::new("idle-interval-ms", 10, 600_000, "ms")
        .with_default(2_000);
pub(super) const SILENCE_LIMIT_MS: IntegerField =
    IntegerField::new("silence-limit-ms", 20, 120_000, "ms").with_default(800);

pub(super) const LINKS: &[Field] = &[
    Field::Integer(CONNECT_TIMEOUT_MS),
    Field::Integer(BUSY_INTERVAL_MS),
    Field::Integer(IDLE_INTERVAL_MS),
    Field::Integer(SILENCE_LIMIT_MS),
];

pub(super) const TABLE_ADDRESS: AddressField =
    AddressField::connect("table-address");
pub(super) const OBJECT_ADDRESS: AddressField =
    AddressField::connect("object-address");
pub(super) const VM_LIST_ADDRESS: AddressField =
    AddressField::connect("vm-list-address");
pub(super) const REQUEST_TIMEOUT_MS: IntegerField =
    IntegerField::new("request-timeout-ms", 10, 60_000, "ms")
        .with_default(2_000);
pub(super) const MANIFEST_POLL_MS: IntegerField =
    IntegerField::new("manifest-poll-ms", 100, 60_000, "ms")
        .with_default(1_000);
pub(super) const VM_LIST_POLL_MS: IntegerField =
    IntegerField::new("vm-list-poll-ms", 100, 60_000, "ms")
        .with_default(1_000);

pub(super) const PLATFORM: &[Field] = &[
    Field::Address(TABLE_ADDRESS),
    Field::Address(OBJECT_ADDRESS),
    Field::Address(VM_LIST_ADDRESS),
    Field::Integer(REQUEST_TIMEOUT_MS),
    Field::Integer(MANIFEST_POLL_MS),
    Field::Integer(VM_LIST_POLL_MS),
];

pub(super) const HTTP_ADDRESS: AddressField =
    AddressField::listen("http-address");
pub(super) const MAX_BODY_BYTES: IntegerField =
    IntegerField::new("max-body-bytes", 1_024, 67_108_864, "bytes")
        .with_default(1_048_576);
pub(super) const MAX_REQUESTS_IN_FLIGHT: IntegerField =
    IntegerField::new("max-requests-in-flight", 1, 1_000_000, "requests")
        .with_default(10_000);
pub(super) const MAX_ATTEMPTS: IntegerField =
    IntegerField::new("max-attempts", 1, 100, "attempts").with_default(4);
pub(super) const RETRY_BUDGET_PERCENT: IntegerField =
    IntegerField::new("retry-budget-percent", 0, 100, "%").with_default(20);
pub(super) const RECOVER_LIMIT_MS: IntegerField =
    IntegerField::new("recover-limit-ms", 100, 600_000, "ms")
        .with_default(5_000);
pub(super) const CLAIM_FLUSH_MS: IntegerField =
    IntegerField::new("claim-flush-ms", 1, 1_000, "ms").with_default(10);
pub(super) const CLAIM_BATCH: IntegerField =
    IntegerField::new("claim-batch", 1, 10_000, "claims").with_default(50);
pub(super) const LAME_DUCK_MS: IntegerField =
    IntegerField::new("lame-duck-ms", 0, 600_000, "ms").with_default(2_000);

pub(super) const ENTRY: &[Field] = &[
    Field::Address(HTTP_ADDRESS),
    Field::Integer(MAX_BODY_BYTES),
    Field::Integer(MAX_REQUESTS_IN_FLIGHT),
    Field::Integer(MAX_ATTEMPTS),
    Field::Integer(RETRY_BUDGET_PERCENT),
    Field::Integer(RECOVER_LIMIT_MS),
    Field::Integer(CLAIM_FLUSH_MS),
    Field::Integer(CLAIM_BATCH),
    Field::Integer(LAME_DUCK_MS),
];

pub(super) const RUN_ONCE_CAPACITY: IntegerField =
    IntegerField::new("run-once-capacity", 1_000, 10_000_000, "requests")
        .with_default(200_000);
pub(super) const RUN_ONCE_RETENTION_MS: IntegerField =
    IntegerField::new("run-once-retention-ms", 60_000, 86_400_000, "ms")
        .with_default(600_000);
pub(super) const STEP_TIMEOUT_MS: IntegerField =
    IntegerField::new("step-timeout-ms", 10, 60_000, "ms").with_default(1_000);
pub(super) const PREFILL_TIMEOUT_MS: IntegerField =
    IntegerField::new("prefill-timeout-ms", 10, 600_000, "ms")
        .with_default(20_000);
pub(super) const MAX_BATCH: IntegerField =
    IntegerField::new("max-batch", 1, 4_096, "requests").with_default(32);
pub(super) const ENGINE_CALLS: IntegerField =
    IntegerField::new("engine-calls", 1, 256, "calls").with_default(16);
pub(super) const QUEUE_LIMIT_TOKENS: IntegerField =
    IntegerField::new("queue-limit-tokens", 1, 1_000_000_000, "tokens")
        .with_default(200_000);
pub(super) const ORPHAN_LIMIT_MS: IntegerField =
    IntegerField::new("orphan-limit-ms", 0, 60_000, "ms").with_default(3_000);

pub(super) const SIDE: &[Field] = &[
    Field::Integer(RUN_ONCE_CAPACITY),
    Field::Integer(RUN_ONCE_RETENTION_MS),
    Field::Integer(STEP_TIMEOUT_MS),
    Field::Integer(PREFILL_TIMEOUT_MS),
    Field::Integer(MAX_BATCH),
    Field::Integer(ENGINE_CALLS),
    Field::Integer(QUEUE_LIMIT_TOKENS),
    Field::Integer(ORPHAN_LIMIT_MS),
];

pub(super) const BACKEND_ADDRESS: AddressField =
    AddressField::connect("address");

pub(super) const BACKEND_SERVER: &[Field] = &[Field::Address(BACKEND_ADDRESS)];
