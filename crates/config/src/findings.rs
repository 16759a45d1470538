//! What was found wrong in a file, and where.
//!
//! A check goes on after its first finding, so that an operator mends a file
//! in one round.

use std::{error, fmt};

/// One thing wrong, with its place.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Finding {
    /// Name of the file as the operator gave it.
    pub file: String,
    /// Line counted from 1; none where the thing is missing.
    pub line: Option<usize>,
    /// Section, without brackets; empty where no section is meant.
    pub section: String,
    /// Key; empty where the whole section is meant.
    pub key: String,
    /// What is wrong, with the value, the range and the unit.
    pub message: String,
}

impl fmt::Display for Finding {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.file)?;
        if let Some(line) = self.line {
            write!(f, ":{line}")?;
        }
        f.write_str(": ")?;
        let section = match self.section.as_str() {
            "" => String::new(),
            section => format!("[{section}]"),
        };
        let location = [section.as_str(), &self.key];
        let location: Vec<&str> =
            location.into_iter().filter(|part| !part.is_empty()).collect();
        if !location.is_empty() {
            write!(f, "{}: ", location.join(" "))?;
        }
        f.write_str(&self.message)
    }
}

/// Everything found wrong; never empty when returned as an error.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Findings {
    findings: Vec<Finding>,
}

impl Findings {
    /// No findings yet.
    pub fn new() -> Findings {
        Findings::default()
    }

    /// Adds one.
    pub fn push(&mut self, finding: Finding) {
        self.findings.push(finding);
    }

    /// Whether nothing was found wrong.
    pub fn is_empty(&self) -> bool {
        self.findings.is_empty()
    }

    /// The findings; those of a parsed file in the order of its lines.
    pub fn iter(&self) -> std::slice::Iter<'_, Finding> {
        self.findings.iter()
    }

    /// Puts them in the order of the lines; what is missing comes last.
    pub(crate) fn sort(&mut self) {
        self.findings
            .sort_by_key(|finding| (finding.line.is_none(), finding.line));
    }

    /// `value` when nothing was found wrong.
    ///
    /// # Errors
    ///
    /// The findings, if there are any.
    pub fn into_result<T>(self, value: T) -> Result<T, Findings> {
        if self.is_empty() { Ok(value) } else { Err(self) }
    }
}

impl fmt::Display for Findings {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (index, finding) in self.findings.iter().enumerate() {
            if index > 0 {
                f.write_str("\n")?;
            }
            write!(f, "{finding}")?;
        }
        Ok(())
    }
}

impl error::Error for Findings {}
