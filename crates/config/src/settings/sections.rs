//! Readers of the sections of a daemon's settings, including checks across
//! keys.

use super::{
    BackendSettings, EntrySettings, LinkSettings, LogFormat, LogLevel,
    LogSettings, NodeSettings, PlatformSettings, SideSettings, schema::*,
};
use crate::{fields::IntegerField, section_index::SectionReader};

/// Minimum silence limit in busy intervals: one to send the probe and one to
/// receive the response.
const MIN_SILENCE_INTERVALS: u64 = 2;

fn parse_format(value: &str) -> Option<LogFormat> {
    match value {
        "text" => Some(LogFormat::Text),
        "json" => Some(LogFormat::Json),
        _ => None,
    }
}

fn parse_level(value: &str) -> Option<LogLevel> {
    match value {
        "error" => Some(LogLevel::Error),
        "warn" => Some(LogLevel::Warn),
        "info" => Some(LogLevel::Info),
        "debug" => Some(LogLevel::Debug),
        _ => None,
    }
}

/// Reads `[node]`.
pub(super) fn node(
    reader: &mut SectionReader<'_>,
    log: Option<LogSettings>,
    links: Option<LinkSettings>,
    platform: Option<PlatformSettings>,
) -> Option<NodeSettings> {
    let vm = reader.text(&VM);
    let data_centre = reader.text(&DATA_CENTRE);
    let inner_address = reader.address(&INNER_ADDRESS);
    let ops_address = reader.address(&OPS_ADDRESS);
    let control_address = reader.address(&CONTROL_ADDRESS);
    let threads = reader.integer(&THREADS);
    let drain_limit_ms = reader.integer(&DRAIN_LIMIT_MS);
    let seed_peers = reader.addresses(&SEED_PEERS);
    if let Some((own, peers)) = control_address.zip(seed_peers.as_ref())
        && peers.contains(&own)
    {
        let message = format!("{own} is this process's own control-address");
        reader.report(SEED_PEERS.key, message);
        return None;
    }
    Some(NodeSettings {
        vm: vm?,
        data_centre: data_centre?,
        inner_address: inner_address?,
        ops_address: ops_address?,
        control_address: control_address?,
        threads: threads?,
        drain_limit_ms: drain_limit_ms?,
        seed_peers: seed_peers?,
        log: log?,
        links: links?,
        platform: platform?,
    })
}

/// Reads `[log]`.
pub(super) fn log(reader: &mut SectionReader<'_>) -> Option<LogSettings> {
    let format = reader.choice(&LOG_FORMAT, parse_format);
    let level = reader.choice(&LOG_LEVEL, parse_level);
    Some(LogSettings { format: format?, level: level? })
}

/// Reads `[links]`.
pub(super) fn links(reader: &mut SectionReader<'_>) -> Option<LinkSettings> {
    let connect_timeout_ms = reader.integer(&CONNECT_TIMEOUT_MS);
    let busy_interval_ms = reader.integer(&BUSY_INTERVAL_MS);
    let idle_interval_ms = reader.integer(&IDLE_INTERVAL_MS);
    let silence_limit_ms = reader.integer(&SILENCE_LIMIT_MS);
    let busy = busy_interval_ms.zip(silence_limit_ms);
    if let Some((busy_ms, silence_ms)) = busy {
        let min_ms = MIN_SILENCE_INTERVALS * busy_ms;
        let limit_name = "twice busy-interval-ms";
        check_min(reader, &SILENCE_LIMIT_MS, silence_ms, min_ms, limit_name);
    }
    if let Some((busy_ms, idle_ms)) = busy_interval_ms.zip(idle_interval_ms) {
        let limit_name = "busy-interval-ms";
        check_min(reader, &IDLE_INTERVAL_MS, idle_ms, busy_ms, limit_name);
    }
    Some(LinkSettings {
        connect_timeout_ms: connect_timeout_ms?,
        busy_interval_ms: busy_interval_ms?,
        idle_interval_ms: idle_interval_ms?,
        silence_limit_ms: silence_limit_ms?,
    })
}

/// Reads `[platform]`.
pub(super) fn platform(
    reader: &mut SectionReader<'_>,
) -> Option<PlatformSettings> {
    let table_address = reader.address(&TABLE_ADDRESS);
    let object_address = reader.address(&OBJECT_ADDRESS);
    let vm_list_address = reader.address(&VM_LIST_ADDRESS);
    let request_timeout_ms = reader.integer(&REQUEST_TIMEOUT_MS);
    let manifest_poll_ms = reader.integer(&MANIFEST_POLL_MS);
    let vm_list_poll_ms = reader.integer(&VM_LIST_POLL_MS);
    Some(PlatformSettings {
        table_address: table_address?,
        object_address: object_address?,
        vm_list_address: vm_list_address?,
        request_timeout_ms: request_timeout_ms?,
        manifest_poll_ms: manifest_poll_ms?,
        vm_list_poll_ms: vm_list_poll_ms?,
    })
}

/// Reads `[entry]`.
pub(super) fn entry(
    reader: &mut SectionReader<'_>,
    node: Option<NodeSettings>,
) -> Option<EntrySettings> {
    let http_address = reader.address(&HTTP_ADDRESS);
    let max_body_bytes = reader.integer(&MAX_BODY_BYTES);
    let max_requests_in_flight = reader.integer(&MAX_REQUESTS_IN_FLIGHT);
    let max_attempts = reader.integer(&MAX_ATTEMPTS);
    let retry_budget_percent = reader.integer(&RETRY_BUDGET_PERCENT);
    let recover_limit_ms = reader.integer(&RECOVER_LIMIT_MS);
    let claim_flush_ms = reader.integer(&CLAIM_FLUSH_MS);
    let claim_batch = reader.integer(&CLAIM_BATCH);
    let lame_duck_ms = reader.integer(&LAME_DUCK_MS);
    let drain_limit_ms = node.as_ref().map(|node| node.drain_limit_ms);
    if let Some((wait_ms, limit_ms)) = lame_duck_ms.zip(drain_limit_ms)
        && wait_ms >= limit_ms
    {
        let message = format!(
            "{wait_ms} ms is too long; it must be less than {limit_ms} ms, \
             drain-limit-ms",
        );
        reader.report(LAME_DUCK_MS.key, message);
    }
    Some(EntrySettings {
        node: node?,
        http_address: http_address?,
        max_body_bytes: max_body_bytes?,
        max_requests_in_flight: max_requests_in_flight?,
        max_attempts: max_attempts?,
        retry_budget_percent: retry_budget_percent?,
        recover_limit_ms: recover_limit_ms?,
        claim_flush_ms: claim_flush_ms?,
        claim_batch: claim_batch?,
        lame_duck_ms: lame_duck_ms?,
    })
}

/// Reads `[side]`.
pub(super) fn side(
    reader: &mut SectionReader<'_>,
    node: Option<NodeSettings>,
    backends: Option<Vec<BackendSettings>>,
) -> Option<SideSettings> {
    let run_once_capacity = reader.integer(&RUN_ONCE_CAPACITY);
    let run_once_retention_ms = reader.integer(&RUN_ONCE_RETENTION_MS);
    let step_timeout_ms = reader.integer(&STEP_TIMEOUT_MS);
    let prefill_timeout_ms = reader.integer(&PREFILL_TIMEOUT_MS);
    let max_batch = reader.integer(&MAX_BATCH);
    let engine_calls = reader.integer(&ENGINE_CALLS);
    let queue_limit_tokens = reader.integer(&QUEUE_LIMIT_TOKENS);
    let orphan_limit_ms = reader.integer(&ORPHAN_LIMIT_MS);
    if let Some((step, prefill)) = step_timeout_ms.zip(prefill_timeout_ms) {
        let limit_name = "step-timeout-ms";
        check_min(reader, &PREFILL_TIMEOUT_MS, prefill, step, limit_name);
    }
    Some(SideSettings {
        node: node?,
        backends: backends?,
        run_once_capacity: run_once_capacity?,
        run_once_retention_ms: run_once_retention_ms?,
        step_timeout_ms: step_timeout_ms?,
        prefill_timeout_ms: prefill_timeout_ms?,
        max_batch: max_batch?,
        engine_calls: engine_calls?,
        queue_limit_tokens: queue_limit_tokens?,
        orphan_limit_ms: orphan_limit_ms?,
    })
}

fn check_min(
    reader: &mut SectionReader<'_>,
    field: &IntegerField,
    value: u64,
    min: u64,
    limit_name: &str,
) {
    if value < min {
        let unit = field.unit;
        let message = format!(
            "{value} {unit} is too short; it must be at least \
             {min} {unit}, {limit_name}",
        );
        reader.report(field.key, message);
    }
}
