//! `site check`: checks settings and deploy files.

use std::{fs, path::PathBuf};

use chestnutreach_adapter::{deploy, settings};
use chestnutreach_site::Finding;
use clap::{Arg, ArgAction, ArgMatches, Command, value_parser};
use serde_json::json;

use crate::{args, exit::Exit, output};

pub(crate) const NAME: &str = "check";
const SETTINGS: &str = "settings";
const DEPLOY: &str = "deploy";

/// Defines the subcommand.
pub(crate) fn command() -> Command {
    let files = |name: &'static str, help: &'static str| {
        Arg::new(name)
            .long(name)
            .value_name("FILE")
            .value_parser(value_parser!(PathBuf))
            .action(ArgAction::Append)
            .help(help)
    };
    Command::new(NAME)
        .about("Checks settings and deploy files and prints all findings")
        .arg(files(SETTINGS, "Settings file of a process"))
        .arg(files(DEPLOY, "Deploy file of the system"))
        .arg(args::json())
        .arg_required_else_help(true)
}

/// Checks the files and prints the findings.
pub(crate) fn run(matches: &ArgMatches) -> anyhow::Result<Exit> {
    let mut findings = Vec::new();
    for (kind, check) in [
        (SETTINGS, check_settings as fn(&str) -> Vec<Finding>),
        (DEPLOY, check_deploy),
    ] {
        for path in matches.get_many::<PathBuf>(kind).into_iter().flatten() {
            let found = match fs::read_to_string(path) {
                Ok(text) => check(&text),
                Err(e) => vec![Finding {
                    place: "file".to_owned(),
                    message: e.to_string(),
                }],
            };
            let file = path.display().to_string();
            findings.extend(found.into_iter().map(|f| (file.clone(), f)));
        }
    }
    if args::is_json(matches) {
        let list: Vec<_> = findings
            .iter()
            .map(|(file, f)| {
                json!({"file": file, "place": f.place, "message": f.message})
            })
            .collect();
        output::print_json(&list)?;
    } else {
        for (file, f) in &findings {
            let line = format!("{file}: {} {}", f.place, f.message);
            output::print_text(&line)?;
        }
    }
    Ok(if findings.is_empty() { Exit::Done } else { Exit::Findings })
}

fn check_settings(text: &str) -> Vec<Finding> {
    settings::try_parse(text).err().unwrap_or_default()
}

fn check_deploy(text: &str) -> Vec<Finding> {
    deploy::findings(text)
}
