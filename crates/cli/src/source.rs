//! Loads manifest files.

use std::{fs, path::Path};

use chestnutreach_config::{Finding, Findings, Manifest};

/// Reads and checks a file. An unreadable file is reported as a finding.
pub(crate) fn load(path: &Path) -> Result<Manifest, Findings> {
    let file = path.display().to_string();
    match fs::read_to_string(path) {
        Ok(text) => Manifest::try_parse(&file, &text),
        Err(e) => Err(unreadable(file, &e)),
    }
}

fn unreadable(file: String, error: &std::io::Error) -> Findings {
    let mut findings = Findings::new();
    findings.push(Finding {
        file,
        line: None,
        section: String::new(),
        key: String::new(),
        message: format!("cannot be read: {error}"),
    });
    findings
}
