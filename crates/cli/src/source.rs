//! Manifests as files.

use std::{fs, path::Path};

use chestnutreach_config::{Finding, Findings, Manifest};

/// Reads and checks a file; one that can't be read is a finding too.
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
