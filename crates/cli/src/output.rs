//! Prints JSON and tables to standard output.

use std::{
    fmt,
    io::{self, Write as _},
};

use anyhow::Context as _;
use serde::Serialize;

/// Prints a value as JSON.
pub(crate) fn print_json(value: &impl Serialize) -> anyhow::Result<()> {
    let text = serde_json::to_string_pretty(value)?;
    print_text(&text)
}

/// Prints text. A closed pipe is not an error, because the reader may stop
/// early.
pub(crate) fn print_text(text: &str) -> anyhow::Result<()> {
    let mut out = io::stdout().lock();
    match writeln!(out, "{text}").and_then(|()| out.flush()) {
        Err(e) if e.kind() == io::ErrorKind::BrokenPipe => Ok(()),
        printed => printed.context("cannot write to standard output"),
    }
}

/// A text table whose columns are as wide as their widest cells.
pub(crate) struct Table<const N: usize> {
    rows: Vec<[String; N]>,
}

impl<const N: usize> Table<N> {
    /// Creates a table that has only a heading.
    pub(crate) fn new(heading: [&str; N]) -> Table<N> {
        Table { rows: vec![heading.map(str::to_owned)] }
    }

    /// Adds a row.
    pub(crate) fn push(&mut self, row: [String; N]) {
        self.rows.push(row);
    }

    /// Whether the table has no rows below its heading.
    pub(crate) fn is_empty(&self) -> bool {
        self.rows.len() == 1
    }

    fn width(&self, column: usize) -> usize {
        let cells = self.rows.iter().map(|row| row[column].chars().count());
        cells.max().unwrap_or(0)
    }
}

impl<const N: usize> fmt::Display for Table<N> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let widths: Vec<usize> = (0..N).map(|at| self.width(at)).collect();
        for (index, row) in self.rows.iter().enumerate() {
            let cells = row.iter().zip(&widths);
            let cells = cells.map(|(cell, &width)| format!("{cell:width$}"));
            let line = cells.collect::<Vec<_>>().join("  ");
            let end = if index + 1 < self.rows.len() { "\n" } else { "" };
            write!(f, "{}{end}", line.trim_end())?;
        }
        Ok(())
    }
}

/// `yes` or `no`.
pub(crate) fn yes_no(is: bool) -> String {
    if is { "yes" } else { "no" }.to_owned()
}
