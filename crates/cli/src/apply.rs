//! `apply`: submits a manifest.
//!
//! The tool prints the submission id before it sends anything, so that an
//! operator can repeat the submission even if this process fails: a manifest
//! is accepted once per id.

use std::{collections::BTreeMap, path::PathBuf, sync::Arc};

use anyhow::Context as _;
use chestnutreach_config::manifest::{Difference, diff};
use chestnutreach_platform::{
    ManifestStore, ObjectClient, TableClient,
    manifest_store::{Head, PartCache, SubmitError},
};
use clap::{Arg, ArgMatches, Command, value_parser};

use crate::{args, exit::Exit, source};

mod report;

use report::{ApplyReport, ChangeReport, Outcome};

pub(crate) const NAME: &str = "apply";
const FILE: &str = "file";
const TABLE: &str = "table";
const OBJECTS: &str = "objects";
const BASE: &str = "base";
const SUBMISSION: &str = "submission";

/// Defines the subcommand.
pub(crate) fn command() -> Command {
    Command::new(NAME)
        .about("Checks a manifest and submits it as the next generation")
        .arg(args::path(FILE, "Manifest").required(true))
        .arg(args::address(TABLE, "The table service").required(true))
        .arg(args::address(OBJECTS, "The object store").required(true))
        .arg(
            Arg::new(BASE)
                .long(BASE)
                .value_name("N")
                .value_parser(value_parser!(u64))
                .help(
                    "Generation that the manifest is based on, 0 for none; \
                     the default is the accepted generation",
                ),
        )
        .arg(
            Arg::new(SUBMISSION)
                .long(SUBMISSION)
                .value_name("ID")
                .help("Id of the submission; the default is random"),
        )
        .arg(args::timeout("2000"))
        .arg(args::json())
}

/// Checks and submits the file.
pub(crate) fn run(matches: &ArgMatches) -> anyhow::Result<Exit> {
    let path: &PathBuf = args::required(matches, FILE);
    let sections = match source::load(path) {
        Ok(manifest) => manifest.to_sections(),
        Err(findings) => {
            let outcome = Outcome::findings(&findings);
            report::print(matches, &ApplyReport::not_submitted(outcome))?;
            return Ok(Exit::Findings);
        }
    };
    let submission = matches.get_one::<String>(SUBMISSION).cloned();
    let submission = submission.unwrap_or_else(random_id);
    async_io::block_on(async {
        let apply = Apply { store: store(matches), sections, submission };
        apply.run(matches).await
    })
}

fn store(matches: &ArgMatches) -> ManifestStore {
    let timeout = args::timeout_of(matches);
    let table = TableClient::new(*args::required(matches, TABLE), timeout);
    let objects =
        ObjectClient::new(*args::required(matches, OBJECTS), timeout);
    ManifestStore::new(Arc::new(table), Arc::new(objects))
}

fn random_id() -> String {
    format!("{:032x}", fastrand::u128(..))
}

struct Apply {
    store: ManifestStore,
    sections: BTreeMap<String, String>,
    submission: String,
}

impl Apply {
    async fn run(&self, matches: &ArgMatches) -> anyhow::Result<Exit> {
        let base = match matches.get_one::<u64>(BASE) {
            Some(base) => *base,
            None => self.accepted_generation().await?,
        };
        let submission = &self.submission;
        eprintln!(
            "submission {submission} on generation {base}; to repeat it: \
             --submission {submission} --base {base}",
        );
        let result = self.store.submit(base, &self.sections, submission).await;
        let (outcome, exit) = match result {
            Ok(accepted) => {
                let generation = accepted.generation;
                (Outcome::Accepted { generation }, Exit::Done)
            }
            Err(e) => self.outcome_of(e).await,
        };
        let report = ApplyReport::submitted(submission, base, outcome);
        report::print(matches, &report)?;
        Ok(exit)
    }

    async fn accepted_generation(&self) -> anyhow::Result<u64> {
        let head = self.store.head().await;
        let head = head.context("the accepted generation is not known")?;
        Ok(head.map_or(0, |head| head.generation))
    }

    async fn outcome_of(
        &self,
        error: SubmitError,
    ) -> (Outcome<'static>, Exit) {
        let detail = error.to_string();
        match error {
            SubmitError::Stale { current, .. } => {
                let outcome = self.refused("stale", detail, current).await;
                (outcome, Exit::Refused)
            }
            SubmitError::LostRace { winner } => {
                let outcome =
                    self.refused("lost-race", detail, Some(winner)).await;
                (outcome, Exit::Refused)
            }
            SubmitError::IdReused { .. } => {
                (Outcome::IdReused { detail }, Exit::Refused)
            }
            SubmitError::Invalid { .. } => {
                (Outcome::Invalid { detail }, Exit::Findings)
            }
            SubmitError::Unavailable { .. } => {
                (Outcome::NotAccepted { detail }, Exit::Failed)
            }
            SubmitError::Unknown { .. } => {
                (Outcome::Unknown { detail }, Exit::Unknown)
            }
        }
    }

    /// Adds the difference to the accepted manifest. The refusal is reported
    /// even if the accepted manifest can't be read.
    async fn refused(
        &self,
        cause: &'static str,
        detail: String,
        winner: Option<Head>,
    ) -> Outcome<'static> {
        let winner_sections = match &winner {
            Some(head) => self.store.fetch(head, &mut PartCache::new()).await,
            None => Ok(BTreeMap::new()),
        };
        let changes = winner_sections.map(|old| diff(&old, &self.sections));
        let text = match &changes {
            Ok(changes) => Difference(changes).to_string(),
            Err(e) => format!("the difference is not known: {e}"),
        };
        let difference = changes.ok().map(ChangeReport::all);
        let winner = winner.map(report::WinnerReport::new);
        Outcome::Refused { cause, detail, winner, difference, text }
    }
}
