//! Validation across the sections of a manifest.
//!
//! A finding refers to the section that an operator would change. If a section
//! could not be parsed, checks that need all sections of this kind are
//! skipped, so that an error is not reported twice.

use std::collections::{BTreeMap, BTreeSet};

use super::{Manifest, schema::*};
use crate::{findings::Findings, section_index::SectionIndex};

mod accounts;
mod servers;
mod services;

/// Runs every check.
pub(super) fn check(
    manifest: &Manifest,
    index: &SectionIndex<'_>,
    findings: &mut Findings,
) {
    let mut checker = Checker { manifest, index, findings };
    checker.check_paths();
    checker.check_services();
    checker.check_accounts();
    checker.check_objectives();
    checker.check_servers();
    checker.check_coverage();
}

struct Checker<'a> {
    manifest: &'a Manifest,
    index: &'a SectionIndex<'a>,
    findings: &'a mut Findings,
}

impl Checker<'_> {
    fn report(&mut self, heading: &str, key: &str, message: String) {
        let finding = self.index.location(heading).finding(key, message);
        self.findings.push(finding);
    }

    /// Reports a reference to a section that is not in the file. A section
    /// that is in the file but invalid counts as known.
    fn check_reference(
        &mut self,
        heading: &str,
        key: &str,
        keyword: &str,
        name: &str,
    ) {
        if !self.index.contains(&format!("{keyword} {name}")) {
            let message =
                format!("unknown {}: {name}", keyword.replace('-', " "));
            self.report(heading, key, message);
        }
    }

    /// Whether all sections with `keyword` were parsed, given the number of
    /// parsed ones.
    fn all_were_read(&self, keyword: &str, read_count: usize) -> bool {
        self.index.names(keyword).len() == read_count
    }

    fn check_paths(&mut self) {
        for (a, b) in self.manifest.paths.keys() {
            let written = format!("{PATH_KEYWORD} {a} {b}");
            let reversed = format!("{PATH_KEYWORD} {b} {a}");
            let is_written = self.index.contains(&written);
            let heading = if is_written { written } else { reversed };
            if a == b {
                let message = "a path needs two data centres".to_owned();
                self.report(&heading, "", message);
            }
            for name in BTreeSet::from([a, b]) {
                self.check_reference(&heading, "", DATA_CENTRE_KEYWORD, name);
            }
        }
    }

    fn check_objectives(&mut self) {
        let manifest = self.manifest;
        let accounts = &manifest.accounts;
        let classes: BTreeSet<&str> =
            accounts.values().map(|account| account.class.as_str()).collect();
        let all_accounts_were_read =
            self.all_were_read(ACCOUNT_KEYWORD, accounts.len());
        for (service, class) in manifest.objectives.keys() {
            let heading = format!("{OBJECTIVE_KEYWORD} {service} {class}");
            self.check_reference(&heading, "", SERVICE_KEYWORD, service);
            if all_accounts_were_read && !classes.contains(class.as_str()) {
                let message = format!("no account has the class {class}");
                self.report(&heading, "", message);
            }
        }
    }
}

/// First user of each value, for reports of values that must not be shared.
#[derive(Default)]
struct FirstUsers<'a> {
    first: BTreeMap<&'a str, &'a str>,
}

impl<'a> FirstUsers<'a> {
    /// Records a user; returns the first user of the value if that is another.
    fn insert(&mut self, value: &'a str, user: &'a str) -> Option<&'a str> {
        let first = self.first.entry(value).or_insert(user);
        (*first != user).then_some(*first)
    }
}
