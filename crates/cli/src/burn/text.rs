//! The report as text.

use super::{
    report::{ClassReport, Figures, Report, ServiceReport, WindowReport},
    window::format_length,
};
use crate::output::Table;

/// Formats the whole report.
pub(super) fn text(report: &Report) -> String {
    let mut paragraphs = vec![summary(report), burn_table(report)];
    paragraphs.extend(outcome_table(report));
    paragraphs.extend(class_table(&report.classes));
    paragraphs.join("\n\n")
}

/// Samples that the report is based on, and what is missing.
pub(super) fn summary(report: &Report) -> String {
    let Report { samples, restarts, .. } = report;
    let span = format_length(report.span_ms);
    let mut lines = vec![format!(
        "samples: {samples} over {span}; restarts of daemons: {restarts}"
    )];
    lines.extend(report.unreached.iter().map(ToString::to_string));
    let unlisted = &report.services_without_objective;
    if !unlisted.is_empty() {
        let names = unlisted.join(", ");
        lines.push(format!("counted, and not in the manifest: {names}"));
    }
    lines.join("\n")
}

/// Formats an objective.
pub(super) fn objective(per_10000: u32, first_token_ms: u64) -> String {
    let percent = f64::from(per_10000) / 100.0;
    format!("{percent:.2} % within {first_token_ms} ms")
}

/// Cells of a window after its name.
pub(super) fn window_cells(window: &WindowReport) -> [String; 5] {
    let Some(figures) = &window.figures else {
        let why = window.not_covered.as_deref().unwrap_or_default();
        let dash = || "-".to_owned();
        return [
            dash(),
            dash(),
            dash(),
            dash(),
            format!("not covered: {why}"),
        ];
    };
    let good = figures.good_percent;
    [
        figures.requests.to_string(),
        figures.bad.to_string(),
        format!("{:.1}", figures.allowed_bad),
        good.map_or("-".to_owned(), |percent| format!("{percent:.2}")),
        burn(figures),
    ]
}

fn burn(figures: &Figures) -> String {
    match (figures.requests, figures.burn_rate) {
        (0, _) => "no requests".to_owned(),
        (_, Some(rate)) => format!("{rate:.2}"),
        (_, None) => "no budget: the objective is 100 %".to_owned(),
    }
}

fn burn_table(report: &Report) -> String {
    let mut table = Table::new([
        "SERVICE",
        "OBJECTIVE",
        "WINDOW",
        "REQUESTS",
        "BAD",
        "ALLOWED",
        "GOOD %",
        "BURN RATE",
    ]);
    for service in &report.services {
        for window in &service.windows {
            table.push(burn_row(service, window));
        }
    }
    table.to_string()
}

fn burn_row(service: &ServiceReport, window: &WindowReport) -> [String; 8] {
    let per_10000 = service.objective_per_10000;
    let objective = objective(per_10000, service.first_token_objective_ms);
    let [requests, bad, allowed, good, burn] = window_cells(window);
    let name = service.service.clone();
    let length = window.window.clone();
    [name, objective, length, requests, bad, allowed, good, burn]
}

fn outcome_table(report: &Report) -> Option<String> {
    let mut table =
        Table::new(["SERVICE", "WINDOW", "OUTCOME", "REASON", "REQUESTS"]);
    for service in &report.services {
        for outcome in &service.outcomes {
            table.push([
                service.service.clone(),
                outcome.window.clone(),
                outcome.outcome.clone(),
                outcome.reason.clone(),
                outcome.requests.to_string(),
            ]);
        }
    }
    (!table.is_empty()).then(|| table.to_string())
}

fn class_table(classes: &[ClassReport]) -> Option<String> {
    let mut table = Table::new(["SERVICE", "CLASS", "OBJECTIVE", "NOTE"]);
    for class in classes {
        let first_token_ms = class.first_token_objective_ms;
        table.push([
            class.service.clone(),
            class.class.clone(),
            objective(class.objective_per_10000, first_token_ms),
            class.note.to_owned(),
        ]);
    }
    (!table.is_empty()).then(|| table.to_string())
}
