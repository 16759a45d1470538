//! `site burn`: reports the error budget burn rates of routes, from logs.
//!
//! A request is good if its response was complete. The burn rate is the share
//! of bad requests over the share that the objective allows: at 1 the budget
//! lasts exactly for the period of the objective.

use std::{
    collections::BTreeMap,
    fmt::Write as _,
    fs,
    path::{Path, PathBuf},
};

use anyhow::Context as _;
use clap::{Arg, ArgMatches, Command, value_parser};
use serde_json::json;

use super::log::{self, Line};
use crate::{args, exit::Exit, output, output::Table};

pub(crate) const NAME: &str = "burn";
const OBJECTIVE: &str = "objective";
const HTML: &str = "html";
/// Length of a timestamp up to the second.
const TIMESTAMP_SECOND_LEN: usize = "2026-01-01T00:00:00".len();
/// Width and height of a plot.
const PLOT_SIZE: (f64, f64) = (720.0, 120.0);
/// Burn rate at the top of a plot; higher rates are clamped.
const MAX_PLOTTED_RATE: f64 = 20.0;

/// Defines the subcommand.
pub(crate) fn command() -> Command {
    Command::new(NAME)
        .about("Reports how fast routes use up their error budgets")
        .arg(log::arg())
        .arg(
            Arg::new(OBJECTIVE)
                .long(OBJECTIVE)
                .value_name("SHARE")
                .value_parser(value_parser!(f64))
                .default_value("0.99")
                .help("Target share of good requests, below 1"),
        )
        .arg(
            args::path(
                HTML,
                "Also write an HTML page with plots to this file",
            )
            .long(HTML),
        )
        .arg(args::json())
}

/// Good and bad requests.
#[derive(Clone, Copy, Debug, Default)]
struct Count {
    good: u64,
    bad: u64,
}

impl Count {
    fn bad_share(self) -> f64 {
        self.bad as f64 / (self.good + self.bad).max(1) as f64
    }
}

/// Counts of a route.
#[derive(Debug, Default)]
struct Route {
    all: Count,
    by_second: BTreeMap<String, Count>,
    resumed: u64,
    path_changes: u64,
}

/// Prints the report.
pub(crate) fn run(matches: &ArgMatches) -> anyhow::Result<Exit> {
    let objective: f64 = *args::required(matches, OBJECTIVE);
    if !(0.0..1.0).contains(&objective) {
        eprintln!(
            "--objective {objective} is out of range; it must be in 0..1"
        );
        return Ok(Exit::Findings);
    }
    let budget = 1.0 - objective;
    let routes = count_by_route(&log::load(matches)?);
    if let Some(path) = matches.get_one::<PathBuf>(HTML) {
        write_page(path, &routes, budget)?;
    }
    if args::is_json(matches) {
        let json: BTreeMap<&String, _> = routes
            .iter()
            .map(|(name, route)| (name, route_json(route, budget)))
            .collect();
        output::print_json(&json)?;
        return Ok(Exit::Done);
    }
    let mut table = Table::new([
        "route",
        "good",
        "bad",
        "burn rate",
        "worst second",
        "resumed",
        "path changes",
    ]);
    for (name, route) in &routes {
        table.push([
            name.clone(),
            route.all.good.to_string(),
            route.all.bad.to_string(),
            format!("{:.2}", route.all.bad_share() / budget),
            format!("{:.2}", worst_bad_share(route) / budget),
            route.resumed.to_string(),
            route.path_changes.to_string(),
        ]);
    }
    output::print_text(&table.to_string())?;
    Ok(Exit::Done)
}

fn count_by_route(lines: &[Line]) -> BTreeMap<String, Route> {
    let mut routes: BTreeMap<String, Route> = BTreeMap::new();
    for line in lines.iter().filter(|l| l.name() == "relay_ended") {
        // Requests without a route and requests that the caller abandoned
        // say nothing about the service.
        let is_counted = !line.field("route").is_empty()
            && line.field("outcome") != "caller_gone";
        if !is_counted {
            continue;
        }
        let route = routes.entry(line.field("route").to_owned()).or_default();
        let second =
            line.at.get(..TIMESTAMP_SECOND_LEN).unwrap_or(&line.at).to_owned();
        let in_second = route.by_second.entry(second).or_default();
        for count in [&mut route.all, in_second] {
            match line.field("outcome") {
                "completed" => count.good += 1,
                _ => count.bad += 1,
            }
        }
        let attempts = line.number("attempts").unwrap_or(1);
        route.resumed += u64::from(attempts > 1);
        route.path_changes += line.number("changes").unwrap_or(0);
    }
    routes
}

fn worst_bad_share(route: &Route) -> f64 {
    route.by_second.values().map(|c| c.bad_share()).fold(0.0, f64::max)
}

fn route_json(route: &Route, budget: f64) -> serde_json::Value {
    let seconds: BTreeMap<&String, f64> = route
        .by_second
        .iter()
        .map(|(second, count)| (second, count.bad_share() / budget))
        .collect();
    json!({
        "good": route.all.good,
        "bad": route.all.bad,
        "burn_rate": route.all.bad_share() / budget,
        "burn_rate_by_second": seconds,
        "resumed": route.resumed,
        "path_changes": route.path_changes,
    })
}

fn write_page(
    path: &Path,
    routes: &BTreeMap<String, Route>,
    budget: f64,
) -> anyhow::Result<()> {
    let mut page = "<!doctype html><meta charset=\"utf-8\">\
        <title>Burn rates</title><body style=\"font-family:sans-serif\">\
        <h1>Burn rates by route</h1>"
        .to_owned();
    for (name, route) in routes {
        let rate = route.all.bad_share() / budget;
        let _ = write!(
            page,
            "<h2>{}</h2><p>{} good, {} bad, burn rate {rate:.2}</p>{}",
            escape_html(name),
            route.all.good,
            route.all.bad,
            plot(route, budget),
        );
    }
    fs::write(path, page)
        .with_context(|| format!("cannot write {}", path.display()))
}

/// Plots the burn rate of each second, with a line at 1.
fn plot(route: &Route, budget: f64) -> String {
    let (width, height) = PLOT_SIZE;
    let bar = width / route.by_second.len().max(1) as f64;
    let y = |rate: f64| {
        height * (1.0 - rate.min(MAX_PLOTTED_RATE) / MAX_PLOTTED_RATE)
    };
    let mut out = format!("<svg width=\"{width}\" height=\"{height}\">");
    for (at, count) in route.by_second.values().enumerate() {
        let top = y(count.bad_share() / budget);
        let _ = write!(
            out,
            "<rect x=\"{:.1}\" y=\"{top:.1}\" width=\"{bar:.1}\" \
             height=\"{:.1}\" fill=\"#c54\"/>",
            at as f64 * bar,
            height - top,
        );
    }
    let one = y(1.0);
    let _ = write!(
        out,
        "<line x1=\"0\" x2=\"{width}\" y1=\"{one:.1}\" y2=\"{one:.1}\" \
         stroke=\"#333\"/></svg>"
    );
    out
}

fn escape_html(text: &str) -> String {
    text.replace('&', "&amp;").replace('<', "&lt;")
}
