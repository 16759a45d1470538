//! Tables of figures as text.

use serde::Serialize;

use crate::machine::MachineLoad;

/// Figures of a subcommand, and what the machine did meanwhile.
#[derive(Debug, Serialize)]
pub(crate) struct Report<R> {
    /// The command that gives such figures.
    pub(crate) command: &'static str,
    pub(crate) load_before: MachineLoad,
    pub(crate) load_after: MachineLoad,
    pub(crate) figures: R,
}

/// What can be shown as text.
pub(crate) trait Show {
    fn show(&self) -> String;
}

/// Measures, and prints the figures as text or JSON.
pub(crate) fn print<R: Serialize + Show>(
    command: &'static str,
    is_json: bool,
    measure: impl FnOnce() -> anyhow::Result<R>,
) -> anyhow::Result<()> {
    let load_before = MachineLoad::now();
    let figures = measure()?;
    let load_after = MachineLoad::now();
    let report = Report { command, load_before, load_after, figures };
    if is_json {
        println!("{}", serde_json::to_string_pretty(&report)?);
        return Ok(());
    }
    println!("{}", report.figures.show());
    println!(
        "{} cores; load average before {:.1}, after {:.1}",
        load_after.cores,
        load_before.load_average_1_min,
        load_after.load_average_1_min
    );
    Ok(())
}

/// Rows of cells, the columns as wide as their widest cell.
pub(crate) struct Table {
    rows: Vec<Vec<String>>,
}

impl Table {
    pub(crate) fn new(headings: &[&str]) -> Table {
        let headings = headings.iter().map(|h| (*h).to_owned()).collect();
        Table { rows: vec![headings] }
    }

    pub(crate) fn row(&mut self, cells: Vec<String>) {
        self.rows.push(cells);
    }

    pub(crate) fn to_text(&self) -> String {
        let columns = self.rows.iter().map(Vec::len).max().unwrap_or(0);
        let width = |column: usize| {
            let cells = self.rows.iter().filter_map(|row| row.get(column));
            cells.map(|cell| cell.chars().count()).max().unwrap_or(0)
        };
        let widths: Vec<usize> = (0..columns).map(width).collect();
        let lines = self.rows.iter().map(|row| {
            let cells = row.iter().zip(&widths);
            let cells = cells.map(|(cell, width)| format!("{cell:>width$}"));
            cells.collect::<Vec<_>>().join("  ") + "\n"
        });
        lines.collect()
    }
}

/// A number with this many places.
pub(crate) fn places(number: f64, places: usize) -> String {
    format!("{number:.places$}")
}
