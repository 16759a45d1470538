//! Comparison of two manifests.

use std::{
    collections::{BTreeMap, BTreeSet},
    fmt,
};

/// Change of a section between two manifests.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum SectionChange {
    /// Only the new manifest has the section.
    Added {
        /// Heading without brackets.
        name: String,
        /// Body of the section.
        body: String,
    },
    /// Only the old manifest has the section.
    Removed {
        /// Heading without brackets.
        name: String,
        /// Body of the section.
        body: String,
    },
    /// Both manifests have the section, with different bodies.
    Changed {
        /// Heading without brackets.
        name: String,
        /// Body in the old manifest.
        old: String,
        /// Body in the new manifest.
        new: String,
    },
}

impl SectionChange {
    /// Heading without brackets.
    pub fn name(&self) -> &str {
        match self {
            SectionChange::Added { name, .. }
            | SectionChange::Removed { name, .. }
            | SectionChange::Changed { name, .. } => name,
        }
    }
}

impl fmt::Display for SectionChange {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            SectionChange::Added { name, body } => {
                write!(f, "+ [{name}]")?;
                write_entries(f, '+', body)
            }
            SectionChange::Removed { name, body } => {
                write!(f, "- [{name}]")?;
                write_entries(f, '-', body)
            }
            SectionChange::Changed { name, old, new } => {
                write!(f, "~ [{name}]")?;
                write_changed(f, old, new)
            }
        }
    }
}

/// Displays changes for operators, with one entry per line.
#[derive(Clone, Copy, Debug)]
pub struct Difference<'a>(pub &'a [SectionChange]);

impl fmt::Display for Difference<'_> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        if self.0.is_empty() {
            return f.write_str("no difference");
        }
        for (index, change) in self.0.iter().enumerate() {
            if index > 0 {
                f.write_str("\n")?;
            }
            write!(f, "{change}")?;
        }
        Ok(())
    }
}

/// Changes from `old` to `new`, sorted by heading.
pub fn diff(
    old: &BTreeMap<String, String>,
    new: &BTreeMap<String, String>,
) -> Vec<SectionChange> {
    let names: BTreeSet<&String> = old.keys().chain(new.keys()).collect();
    let change = |name: &String| match (old.get(name), new.get(name)) {
        (Some(old), Some(new)) => compare_bodies(name, old, new),
        (Some(body), None) => Some(SectionChange::Removed {
            name: name.clone(),
            body: body.clone(),
        }),
        (None, Some(body)) => Some(SectionChange::Added {
            name: name.clone(),
            body: body.clone(),
        }),
        (None, None) => None,
    };
    names.into_iter().filter_map(change).collect()
}

fn compare_bodies(name: &str, old: &str, new: &str) -> Option<SectionChange> {
    if old == new {
        return None;
    }
    Some(SectionChange::Changed {
        name: name.to_owned(),
        old: old.to_owned(),
        new: new.to_owned(),
    })
}

fn write_entries(
    f: &mut fmt::Formatter<'_>,
    sign: char,
    body: &str,
) -> fmt::Result {
    for line in body.lines() {
        write!(f, "\n{sign}   {line}")?;
    }
    Ok(())
}

fn write_changed(
    f: &mut fmt::Formatter<'_>,
    old: &str,
    new: &str,
) -> fmt::Result {
    let old_lines: BTreeSet<&str> = old.lines().collect();
    let new_lines: BTreeSet<&str> = new.lines().collect();
    for line in old_lines.difference(&new_lines) {
        write!(f, "\n-   {line}")?;
    }
    for line in new_lines.difference(&old_lines) {
        write!(f, "\n+   {line}")?;
    }
    Ok(())
}
