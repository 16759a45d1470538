//! Parses the logs of entries.

use std::{fs, path::PathBuf};

use anyhow::Context as _;
use clap::{Arg, ArgAction, ArgMatches, value_parser};
use serde_json::Value;

pub(crate) const LOGS: &str = "logs";

/// The option `--logs`, which takes log files.
pub(crate) fn arg() -> Arg {
    Arg::new(LOGS)
        .long(LOGS)
        .value_name("FILE")
        .value_parser(value_parser!(PathBuf))
        .action(ArgAction::Append)
        .required(true)
        .help("Log file of entries, as JSON lines; may be repeated")
}

/// One log line.
#[derive(Clone, Debug)]
pub(crate) struct Line {
    /// Name of the process, or of the file if the line names no process.
    pub(crate) source: String,
    /// Timestamp of the line.
    pub(crate) at: String,
    /// Fields of the event.
    pub(crate) fields: Value,
    /// Message of the event.
    pub(crate) message: String,
}

impl Line {
    /// Name of the event.
    pub(crate) fn name(&self) -> &str {
        self.field("name")
    }

    /// A field as text; empty if the field is missing.
    pub(crate) fn field(&self, name: &str) -> &str {
        self.fields[name].as_str().unwrap_or("")
    }

    /// A field as a number.
    pub(crate) fn number(&self, name: &str) -> Option<u64> {
        self.field(name).parse().ok()
    }

    /// All non-empty fields as text, without the name, the event and the
    /// request.
    pub(crate) fn text(&self) -> String {
        let Some(fields) = self.fields.as_object() else {
            return String::new();
        };
        let shown = fields.iter().filter(|(name, value)| {
            !matches!(name.as_str(), "name" | "event" | "request")
                && value.as_str() != Some("")
        });
        let texts: Vec<String> = shown
            .map(|(name, value)| match value.as_str() {
                Some(text) => format!("{name}={text}"),
                None => format!("{name}={value}"),
            })
            .collect();
        texts.join(" ")
    }
}

/// Loads the lines of all files in time order. Lines in another format are
/// skipped, because a platform may insert its own lines.
pub(crate) fn load(matches: &ArgMatches) -> anyhow::Result<Vec<Line>> {
    let mut lines = Vec::new();
    for path in matches.get_many::<PathBuf>(LOGS).into_iter().flatten() {
        let text = fs::read_to_string(path)
            .with_context(|| format!("cannot read {}", path.display()))?;
        let source = path.display().to_string();
        let parsed = text.lines().filter_map(|line| parse(&source, line));
        lines.extend(parsed);
    }
    lines.sort_by(|a, b| a.at.cmp(&b.at));
    Ok(lines)
}

fn parse(source: &str, line: &str) -> Option<Line> {
    // A platform may write its own columns before the JSON object.
    let json = &line[line.find('{')?..];
    let value: Value = serde_json::from_str(json).ok()?;
    let prefix = line[..line.find('{')?].trim();
    let source = match prefix.rsplit(' ').next() {
        Some(name) if !name.is_empty() => name.to_owned(),
        _ => source.to_owned(),
    };
    Some(Line {
        source,
        at: value["timestamp"].as_str()?.to_owned(),
        message: value["message"].as_str()?.to_owned(),
        fields: value["kvs"].clone(),
    })
}
