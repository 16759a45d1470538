//! The operators' catalogue pages match the code.

use std::collections::BTreeSet;

use chestnutreach_telemetry::{Event, Metrics};

const EVENTS: &str = include_str!("../../../docs/EVENTS.md");
const METRICS: &str = include_str!("../../../docs/METRICS.md");

/// Cells of the table rows whose first cell satisfies `is_row`.
fn rows(page: &str, is_row: fn(&str) -> bool) -> Vec<Vec<String>> {
    let cells = |line: &str| -> Vec<String> {
        let inner = line.trim().trim_matches('|');
        inner.split('|').map(|c| c.trim().to_owned()).collect()
    };
    let lines = page.lines().filter(|l| l.starts_with('|')).map(cells);
    lines.filter(|row| is_row(&row[0])).collect()
}

fn format_code_list(names: &[&str]) -> String {
    let quoted: Vec<_> =
        names.iter().map(|name| format!("`{name}`")).collect();
    quoted.join(", ")
}

#[test]
fn events_match_the_catalogue_page() {
    let rows = rows(EVENTS, |c| c.parse::<u32>().is_ok());
    let on_page: Vec<_> = rows.iter().map(|r| r[..5].to_vec()).collect();
    let in_code: Vec<_> = Event::ALL
        .iter()
        .map(|e| {
            vec![
                e.number().to_string(),
                format!("`{}`", e.name()),
                e.level().to_string().to_lowercase(),
                format_code_list(e.fields()),
                e.description().to_owned(),
            ]
        })
        .collect();
    assert_eq!(on_page, in_code);
    for row in &rows {
        assert_eq!(row.len(), 6, "{row:?}");
        assert!(!row[5].is_empty(), "{row:?} has no recommended action");
    }
}

#[test]
fn event_numbers_and_names_are_unique() {
    let numbers: BTreeSet<_> = Event::ALL.iter().map(|e| e.number()).collect();
    let names: BTreeSet<_> = Event::ALL.iter().map(|e| e.name()).collect();
    assert_eq!(numbers.len(), Event::ALL.len());
    assert_eq!(names.len(), Event::ALL.len());
}

#[test]
fn metrics_match_the_catalogue_page() {
    let rows = rows(METRICS, |c| c.starts_with("`chestnutreach_"));
    let on_page: BTreeSet<_> = rows.into_iter().collect();
    let metrics = Metrics::new("entry", "vm-1");
    let in_code: BTreeSet<_> = metrics
        .families()
        .iter()
        .map(|f| {
            vec![
                format!("`{}`", f.full_name()),
                f.kind.to_string(),
                format_code_list(f.labels),
                f.help.to_owned(),
            ]
        })
        .collect();
    assert_eq!(on_page, in_code);
}
