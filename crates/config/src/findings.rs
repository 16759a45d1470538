//! Errors of a file and their locations.
//!
//! Checks continue after the first finding, so that an operator can fix all
//! errors of a file at once.

use std::{error, fmt};

/// An error with its location in a file.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Finding {
    /// Name of the file as the operator gave it.
    pub file: String,
    /// Line, counted from 1; `None` if the section is missing or the
    /// finding is about the whole file.
    pub line: Option<usize>,
    /// Section heading without brackets; empty if the finding is not about a
    /// section.
    pub section: String,
    /// Key; empty if the finding is about the whole section.
    pub key: String,
    /// Description of the error, with value, range and unit.
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

/// All errors of a file; never empty when returned as an error.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Findings {
    findings: Vec<Finding>,
}

impl Findings {
    /// An empty list.
    pub fn new() -> Findings {
        Findings::default()
    }

    /// Appends a finding.
    pub fn push(&mut self, finding: Finding) {
        self.findings.push(finding);
    }

    /// Whether there are no findings.
    pub fn is_empty(&self) -> bool {
        self.findings.is_empty()
    }

    /// Iterates over the findings; those of a parsed file are in line order.
    pub fn iter(&self) -> std::slice::Iter<'_, Finding> {
        self.findings.iter()
    }

    /// Sorts by line; findings without a line come last.
    pub(crate) fn sort(&mut self) {
        self.findings
            .sort_by_key(|finding| (finding.line.is_none(), finding.line));
    }

    /// Returns `value` if there are no findings.
    ///
    /// # Errors
    ///
    /// `self` if there are findings.
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
