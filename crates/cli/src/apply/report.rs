//! Outcome of a submission, as text and JSON.

use chestnutreach_config::{Findings, manifest::SectionChange};
use chestnutreach_platform::manifest_store::Head;
use clap::ArgMatches;
use serde::Serialize;

use crate::{args, check::FindingReport, output};

/// Outcome of a submission.
#[derive(Serialize)]
#[serde(tag = "ended", rename_all = "kebab-case")]
pub(super) enum Outcome<'a> {
    Accepted {
        generation: u64,
    },
    Findings {
        findings: Vec<FindingReport<'a>>,
        #[serde(skip)]
        text: String,
    },
    Refused {
        cause: &'static str,
        detail: String,
        winner: Option<WinnerReport>,
        /// Changes from the accepted manifest to the submitted one, or
        /// `None` if the accepted manifest could not be read.
        difference: Option<Vec<ChangeReport>>,
        #[serde(skip)]
        text: String,
    },
    IdReused {
        detail: String,
    },
    Invalid {
        detail: String,
    },
    NotAccepted {
        detail: String,
    },
    Unknown {
        detail: String,
    },
}

impl Outcome<'_> {
    pub(super) fn findings(findings: &Findings) -> Outcome<'_> {
        Outcome::Findings {
            findings: findings.iter().map(FindingReport::new).collect(),
            text: findings.to_string(),
        }
    }
}

/// A submission and its outcome.
#[derive(Serialize)]
pub(super) struct ApplyReport<'a> {
    submission: Option<&'a str>,
    base_generation: Option<u64>,
    #[serde(flatten)]
    ended: Outcome<'a>,
}

impl<'a> ApplyReport<'a> {
    pub(super) fn not_submitted(ended: Outcome<'a>) -> ApplyReport<'a> {
        ApplyReport { submission: None, base_generation: None, ended }
    }

    pub(super) fn submitted(
        submission: &'a str,
        base: u64,
        ended: Outcome<'a>,
    ) -> ApplyReport<'a> {
        ApplyReport {
            submission: Some(submission),
            base_generation: Some(base),
            ended,
        }
    }

    fn text(&self) -> String {
        match &self.ended {
            Outcome::Accepted { generation } => {
                format!("accepted as generation {generation}")
            }
            Outcome::Findings { text, .. } => {
                format!("{text}\nnot submitted")
            }
            Outcome::Refused { detail, text, .. } => format!(
                "refused: {detail}\n\
                 from the accepted manifest to the submitted one:\n{text}"
            ),
            Outcome::IdReused { detail } | Outcome::Invalid { detail } => {
                format!("refused: {detail}")
            }
            Outcome::NotAccepted { detail } | Outcome::Unknown { detail } => {
                detail.clone()
            }
        }
    }
}

/// The accepted generation that a submission lost to.
#[derive(Serialize)]
pub(super) struct WinnerReport {
    generation: u64,
    submission: String,
}

impl WinnerReport {
    pub(super) fn new(head: Head) -> WinnerReport {
        let Head { generation, submission, .. } = head;
        WinnerReport { generation, submission }
    }
}

/// A changed section.
#[derive(Serialize)]
pub(super) struct ChangeReport {
    section: String,
    old: Option<String>,
    new: Option<String>,
}

impl ChangeReport {
    pub(super) fn all(changes: Vec<SectionChange>) -> Vec<ChangeReport> {
        changes.into_iter().map(ChangeReport::new).collect()
    }

    fn new(change: SectionChange) -> ChangeReport {
        let section = change.name().to_owned();
        let (old, new) = match change {
            SectionChange::Added { body, .. } => (None, Some(body)),
            SectionChange::Removed { body, .. } => (Some(body), None),
            SectionChange::Changed { old, new, .. } => (Some(old), Some(new)),
        };
        ChangeReport { section, old, new }
    }
}

/// Prints the report as JSON or text.
pub(super) fn print(
    matches: &ArgMatches,
    report: &ApplyReport<'_>,
) -> anyhow::Result<()> {
    match args::is_json(matches) {
        true => output::print_json(report),
        false => output::print_text(&report.text()),
    }
}
