//! `check`: checks manifests and reports all findings.

use std::path::PathBuf;

use chestnutreach_config::Finding;
use clap::{ArgMatches, Command};
use serde::Serialize;

use crate::{args, exit::Exit, output, source};

pub(crate) const NAME: &str = "check";
const FILE: &str = "file";

/// Defines the subcommand.
pub(crate) fn command() -> Command {
    Command::new(NAME)
        .about("Checks manifests and prints every finding with its location")
        .arg(args::path(FILE, "Manifests").required(true).num_args(1..))
        .arg(args::json())
}

/// Checks the files and prints the findings.
pub(crate) fn run(matches: &ArgMatches) -> anyhow::Result<Exit> {
    let paths: Vec<&PathBuf> =
        matches.get_many(FILE).expect("clap requires the argument").collect();
    let mut findings = Vec::new();
    for path in &paths {
        if let Err(found) = source::load(path) {
            findings.extend(found.iter().cloned());
        }
    }
    match args::is_json(matches) {
        true => print_as_json(paths.len(), &findings)?,
        false => print_as_text(paths.len(), &findings)?,
    }
    Ok(if findings.is_empty() { Exit::Done } else { Exit::Findings })
}

fn print_as_text(files: usize, findings: &[Finding]) -> anyhow::Result<()> {
    for finding in findings {
        output::print_text(&finding.to_string())?;
    }
    let summary = format!("files: {files}, findings: {}", findings.len());
    output::print_text(&summary)
}

fn print_as_json(files: usize, findings: &[Finding]) -> anyhow::Result<()> {
    let findings = findings.iter().map(FindingReport::new).collect();
    output::print_json(&CheckReport { files, findings })
}

#[derive(Serialize)]
struct CheckReport<'a> {
    files: usize,
    findings: Vec<FindingReport<'a>>,
}

/// JSON form of a finding.
#[derive(Serialize)]
pub(crate) struct FindingReport<'a> {
    file: &'a str,
    line: Option<usize>,
    section: &'a str,
    key: &'a str,
    message: &'a str,
}

impl FindingReport<'_> {
    pub(crate) fn new(finding: &Finding) -> FindingReport<'_> {
        FindingReport {
            file: &finding.file,
            line: finding.line,
            section: &finding.section,
            key: &finding.key,
            message: &finding.message,
        }
    }
}
