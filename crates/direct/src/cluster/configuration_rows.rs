//! Puts configurations in force that the feed brings.

use std::sync::Arc;

use chestnutreach_adapter::{
    configuration::{self, KEY},
    store::{Row, Rows},
};
use chestnutreach_site::Configuration;
use chestnutreach_telemetry::{Event, emit};

use crate::{clock::now_ms, core::Core};

/// Rows whose configurations are parsed, each once.
pub(crate) struct ParsedRows<'a> {
    rows: &'a Rows,
    parsed: Vec<Option<ParsedConfiguration>>,
}

/// A row with a configuration, parsed.
struct ParsedConfiguration {
    /// The configuration, or what is wrong with it.
    result: Result<Configuration, String>,
    parse_ms: u64,
}

impl<'a> ParsedRows<'a> {
    pub(crate) fn new(rows: &'a Rows) -> ParsedRows<'a> {
        ParsedRows { rows, parsed: rows.rows.iter().map(parse).collect() }
    }

    /// The rows without configurations that are older than the one in force.
    pub(crate) fn without_older(&self, core: &Core) -> Rows {
        let in_force = core.configuration();
        let is_older = |parsed: &Option<ParsedConfiguration>| {
            let new = parsed.as_ref().and_then(|p| p.result.as_ref().ok());
            let both = new.zip(in_force.as_ref());
            both.is_some_and(|(new, in_force)| new.version < in_force.version)
        };
        let with_parsed = self.rows.rows.iter().zip(&self.parsed);
        let current = with_parsed.filter(|(_, parsed)| !is_older(parsed));
        Rows {
            rows: current.map(|(row, _)| row.clone()).collect(),
            version: self.rows.version,
        }
    }

    /// Puts the configurations in force that are newer than the current one.
    pub(crate) fn apply(self, core: &Core, arrival: &Arrival) {
        for (row, parsed) in self.rows.rows.iter().zip(self.parsed) {
            if let Some(parsed) = parsed {
                apply(core, row, parsed, arrival);
            }
        }
    }
}

/// How rows arrived.
#[derive(Clone, Debug)]
pub(crate) struct Arrival {
    /// `store`, or the boot id of an entry.
    pub(crate) source: String,
    /// Length of the response; `None` for one of the store.
    pub(crate) received_bytes: Option<usize>,
    /// Time of the poll, less the wait that an entry reports.
    pub(crate) fetch_ms: u64,
}

/// Parses a row; `None` if the row holds no configuration.
fn parse(row: &Row) -> Option<ParsedConfiguration> {
    let is_configuration = row.key == KEY && !row.is_deleted;
    is_configuration.then(|| {
        let begun_ms = now_ms();
        let result = configuration::try_parse(&row.value);
        ParsedConfiguration { result, parse_ms: now_ms() - begun_ms }
    })
}

fn apply(
    core: &Core,
    row: &Row,
    parsed: ParsedConfiguration,
    arrival: &Arrival,
) {
    let new = match parsed.result {
        Ok(new) => Arc::new(new),
        Err(error) => {
            emit(
                Event::ManifestUnusable,
                &[("generation", &row.version), ("findings", &error)],
            );
            return;
        }
    };
    if core.apply_configuration(new.clone(), row.version) {
        log_in_force(&new, row, parsed.parse_ms, arrival);
    }
}

fn log_in_force(
    new: &Configuration,
    row: &Row,
    parse_ms: u64,
    arrival: &Arrival,
) {
    let received_bytes = arrival.received_bytes.map(|n| n.to_string());
    emit(
        Event::ConfigurationInForce,
        &[
            ("version", &new.version),
            ("era", &row.version.era()),
            ("row_version", &row.version.number()),
            ("findings", &new.findings.len()),
            ("source", &arrival.source),
            ("bytes", &row.value.len()),
            ("received_bytes", &received_bytes.unwrap_or_default()),
            ("fetch_ms", &arrival.fetch_ms),
            ("parse_ms", &parse_ms),
        ],
    );
    for finding in &new.findings {
        emit(
            Event::ConfigurationFinding,
            &[
                ("version", &new.version),
                ("place", &finding.place),
                ("message", &finding.message),
            ],
        );
    }
}
