//! Output of figures as text tables or JSON.

use serde::Serialize;

use crate::machine::MachineLoad;

/// Figures of a subcommand, with the load of the machine before and after.
#[derive(Debug, Serialize)]
pub(crate) struct Report<R> {
    /// Subcommand that measured the figures.
    pub(crate) command: &'static str,
    pub(crate) load_before: MachineLoad,
    pub(crate) load_after: MachineLoad,
    pub(crate) figures: R,
}

/// Figures that can be formatted as text.
pub(crate) trait Show {
    fn show(&self) -> String;
}

/// Runs the measurement and prints its figures as text or JSON.
pub(crate) fn print_report<R: Serialize + Show>(
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

/// A right-aligned text table whose first row holds the headings.
pub(crate) struct Table {
    rows: Vec<Vec<String>>,
}

impl Table {
    pub(crate) fn new(headings: &[&str]) -> Table {
        let headings = headings.iter().map(|h| (*h).to_owned()).collect();
        Table { rows: vec![headings] }
    }

    pub(crate) fn push_row(&mut self, cells: Vec<String>) {
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

/// Formats a number with a fixed count of decimal places.
pub(crate) fn decimals(number: f64, decimals: usize) -> String {
    format!("{number:.decimals$}")
}
