//! JSON and tables on the standard output.

use std::io::{self, Write as _};

use anyhow::Context as _;
use serde::Serialize;

/// Prints a value as JSON.
pub(crate) fn print_json(value: &impl Serialize) -> anyhow::Result<()> {
    let text = serde_json::to_string_pretty(value)?;
    print_text(&text)
}

/// Prints lines; a reader that went away is no failure.
pub(crate) fn print_text(text: &str) -> anyhow::Result<()> {
    let mut out = io::stdout().lock();
    match writeln!(out, "{text}").and_then(|()| out.flush()) {
        Err(e) if e.kind() == io::ErrorKind::BrokenPipe => Ok(()),
        printed => printed.context("cannot print"),
    }
}
