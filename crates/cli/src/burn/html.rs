//! The report as a self-contained HTML page.

use std::fmt::Write as _;

use super::{
    plot,
    report::{ClassReport, Report, ServiceReport},
    series::Series,
    text,
};

const STYLE: &str = "\
body{font:14px/1.4 sans-serif;margin:2em auto;max-width:60em;color:#222}\
table{border-collapse:collapse;margin:.5em 0}\
th,td{padding:.2em .8em;text-align:left;border-bottom:1px solid #ddd}\
svg{display:block;width:100%;margin:.5em 0;font-size:11px}\
.axis{stroke:#999}.limit{stroke:#b00;stroke-dasharray:4 3}\
.rate{fill:none;stroke:#036;stroke-width:1.5}\
.good{fill:#9bc59b}.bad{fill:#c33}.end{text-anchor:end}";

/// Renders the page.
pub(super) fn page(report: &Report, series: &Series) -> String {
    let mut body = String::from("<h1>Service-level burn</h1>");
    for line in text::summary(report).lines() {
        let _ = write!(body, "<p>{}</p>", escape_html(line));
    }
    for service in &report.services {
        body.push_str(&service_section(service, series));
    }
    body.push_str(&class_section(&report.classes));
    format!(
        "<!doctype html>\n<html lang=\"en\"><head><meta charset=\"utf-8\">\
         <title>Service-level burn</title><style>{STYLE}</style></head>\
         <body>{body}</body></html>\n"
    )
}

fn service_section(service: &ServiceReport, series: &Series) -> String {
    let name = &service.service;
    let per_10000 = service.objective_per_10000;
    let objective =
        text::objective(per_10000, service.first_token_objective_ms);
    let mut section = format!(
        "<h2>{}</h2><p>Objective: {objective}</p>{}",
        escape_html(name),
        window_table(service),
    );
    if series.points().len() > 1 {
        if service.budget() > 0.0 {
            section.push_str(&plot::burn_plot(series, name, service.budget()));
        }
        section.push_str(&plot::request_plot(series, name));
    }
    section.push_str(&outcome_table(service));
    section
}

fn window_table(service: &ServiceReport) -> String {
    let rows = service.windows.iter().map(|window| {
        let mut cells = vec![window.window.clone()];
        cells.extend(text::window_cells(window));
        cells
    });
    let heading =
        ["Window", "Requests", "Bad", "Allowed", "Good %", "Burn rate"];
    table(&heading, rows)
}

fn outcome_table(service: &ServiceReport) -> String {
    if service.outcomes.is_empty() {
        return String::new();
    }
    let rows = service.outcomes.iter().map(|outcome| {
        vec![
            outcome.window.clone(),
            outcome.outcome.clone(),
            outcome.reason.clone(),
            outcome.requests.to_string(),
        ]
    });
    table(&["Window", "Outcome", "Reason", "Requests"], rows)
}

fn class_section(classes: &[ClassReport]) -> String {
    if classes.is_empty() {
        return String::new();
    }
    let rows = classes.iter().map(|class| {
        let first_token_ms = class.first_token_objective_ms;
        vec![
            class.service.clone(),
            class.class.clone(),
            text::objective(class.objective_per_10000, first_token_ms),
            class.note.to_owned(),
        ]
    });
    let table = table(&["Service", "Class", "Objective", "Note"], rows);
    format!("<h2>Classes of accounts</h2>{table}")
}

fn table(heading: &[&str], rows: impl Iterator<Item = Vec<String>>) -> String {
    let mut html = String::from("<table><tr>");
    for cell in heading {
        let _ = write!(html, "<th>{cell}</th>");
    }
    html.push_str("</tr>");
    for row in rows {
        html.push_str("<tr>");
        for cell in row {
            let _ = write!(html, "<td>{}</td>", escape_html(&cell));
        }
        html.push_str("</tr>");
    }
    html.push_str("</table>");
    html
}

/// Escapes text for HTML.
fn escape_html(text: &str) -> String {
    let mut safe = String::with_capacity(text.len());
    for character in text.chars() {
        match character {
            '&' => safe.push_str("&amp;"),
            '<' => safe.push_str("&lt;"),
            '>' => safe.push_str("&gt;"),
            '"' => safe.push_str("&quot;"),
            plain => safe.push(plain),
        }
    }
    safe
}
