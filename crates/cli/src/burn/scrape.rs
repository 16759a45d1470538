//! Fetches the counters of a daemon from its operators' port.
//!
//! `/status` has the boot id, which reveals a restart even if the counters of
//! the new process are already higher than those of the old process.

use std::{collections::BTreeMap, net::SocketAddr, time::Duration};

use anyhow::{Context as _, anyhow, ensure};
use chestnutreach_http::{Client, ClientOptions};
use http_types::{Method, Request};
use serde::Deserialize;

use super::samples::{DaemonSample, ServiceCounts};

const REQUESTS: &str = "chestnutreach_requests_total";
const WITHIN_TARGET: &str = "chestnutreach_requests_within_target_total";
const SERVICE: &str = "service";
const OUTCOME: &str = "outcome";
const REASON: &str = "reason";

/// The fields of `/status` that the tool needs.
#[derive(Deserialize)]
struct Status {
    vm: String,
    boot_id: u64,
}

/// Fetches the current counters of a daemon.
pub(super) async fn scrape(
    address: SocketAddr,
    timeout: Duration,
) -> anyhow::Result<DaemonSample> {
    let status = fetch(address, "/status", timeout).await?;
    let status: Status = serde_json::from_str(&status)
        .with_context(|| format!("the status of {address} is not valid"))?;
    let metrics = fetch(address, "/metrics", timeout).await?;
    let services = parse_services(&metrics)
        .with_context(|| format!("the metrics of {address}"))?;
    Ok(DaemonSample { vm: status.vm, boot_id: status.boot_id, services })
}

async fn fetch(
    address: SocketAddr,
    target: &str,
    timeout: Duration,
) -> anyhow::Result<String> {
    let options = ClientOptions::new().connect_timeout(timeout);
    let client = Client::new(address, options);
    let url = client.url(target)?;
    let request = Request::new(Method::Get, url);
    // The message of the error includes its cause.
    let (response, body) = client
        .send(request, timeout)
        .await
        .map_err(|e| anyhow!(e.to_string()))?;
    let status = response.status();
    ensure!(
        status.is_success(),
        "{address} responds to {target} with {status}"
    );
    Ok(String::from_utf8(body)?)
}

fn parse_services(
    metrics: &str,
) -> anyhow::Result<BTreeMap<String, ServiceCounts>> {
    let mut services: BTreeMap<String, ServiceCounts> = BTreeMap::new();
    for line in metrics.lines() {
        let Some(metric) = MetricLine::try_parse(line)? else {
            continue;
        };
        let label =
            |name: &str| metric.labels.get(name).cloned().unwrap_or_default();
        let counts = services.entry(label(SERVICE)).or_default();
        match metric.name {
            WITHIN_TARGET => counts.within_target += metric.value,
            _ => counts.add(&label(OUTCOME), &label(REASON), metric.value),
        }
    }
    Ok(services)
}

/// One line of the Prometheus text format.
struct MetricLine<'a> {
    name: &'a str,
    labels: BTreeMap<String, String>,
    value: u64,
}

impl MetricLine<'_> {
    /// Parses a line; `None` if it is not one of the two counters.
    fn try_parse(line: &str) -> anyhow::Result<Option<MetricLine<'_>>> {
        let Some((name, rest)) = line.split_once('{') else {
            return Ok(None);
        };
        if name != REQUESTS && name != WITHIN_TARGET {
            return Ok(None);
        }
        let invalid = || format!("{line:?} is not a valid series");
        let (labels, value) = parse_labels(rest).with_context(invalid)?;
        let value: f64 = value.trim().parse().with_context(invalid)?;
        Ok(Some(MetricLine { name, labels, value: value as u64 }))
    }
}

/// Parses labels up to the closing brace and returns the rest of the line.
fn parse_labels(mut rest: &str) -> Option<(BTreeMap<String, String>, &str)> {
    let mut labels = BTreeMap::new();
    loop {
        rest = rest.trim_start_matches(',');
        if let Some(value) = rest.strip_prefix('}') {
            return Some((labels, value));
        }
        let (name, quoted) = rest.split_once("=\"")?;
        let (value, after) = parse_quoted(quoted)?;
        labels.insert(name.to_owned(), value);
        rest = after;
    }
}

/// Parses a value up to its closing quote and returns the rest of the line.
fn parse_quoted(quoted: &str) -> Option<(String, &str)> {
    let mut value = String::new();
    let mut characters = quoted.char_indices();
    while let Some((at, character)) = characters.next() {
        match character {
            '"' => return Some((value, &quoted[at + 1..])),
            '\\' => match characters.next()?.1 {
                'n' => value.push('\n'),
                escaped => value.push(escaped),
            },
            plain => value.push(plain),
        }
    }
    None
}
