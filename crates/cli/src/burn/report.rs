//! Figures of the report.
//!
//! A request is good if its response was complete and its first token was
//! within the target. Invalid requests do not count. The burn rate is the
//! share of bad requests over the share that the objective allows: at 1 the
//! budget lasts exactly for the period of the objective.
//!
//! Daemons count by service and not by class of account, so an objective of a
//! class is listed without figures instead of with those of the whole service.

use std::{collections::BTreeSet, fmt, net::SocketAddr};

use chestnutreach_config::{Manifest, manifest::Objective};
use serde::Serialize;

use super::{
    series::{Increase, Series},
    window::Window,
};

const OBJECTIVE_SCALE: u32 = 10_000;
/// Reason why an objective of a class has no figures.
pub(super) const CLASS_NOTE: &str =
    "not measured: daemons count by service, not by class of account";

/// Burn rates of all services.
#[derive(Debug, Serialize)]
pub(super) struct Report {
    /// Time of the newest sample.
    pub(super) at_unix_ms: u64,
    pub(super) samples: usize,
    /// Time from the first to the newest sample.
    pub(super) span_ms: u64,
    /// Restarts of daemons between samples.
    pub(super) restarts: usize,
    pub(super) unreached: Vec<Unreached>,
    pub(super) services: Vec<ServiceReport>,
    pub(super) classes: Vec<ClassReport>,
    /// Services that daemons count but that are not in the manifest.
    pub(super) services_without_objective: Vec<String>,
}

/// A daemon that is not in the newest sample.
#[derive(Debug, Serialize)]
pub(super) struct Unreached {
    pub(super) address: SocketAddr,
    pub(super) error: String,
}

impl fmt::Display for Unreached {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} was not sampled: {}", self.address, self.error)
    }
}

/// Burn rates of one service.
#[derive(Debug, Serialize)]
pub(super) struct ServiceReport {
    pub(super) service: String,
    pub(super) objective_per_10000: u32,
    pub(super) first_token_objective_ms: u64,
    pub(super) windows: Vec<WindowReport>,
    /// Outcomes in the longest covered window.
    pub(super) outcomes: Vec<OutcomeReport>,
}

/// Burn rate in one window.
#[derive(Debug, Serialize)]
pub(super) struct WindowReport {
    pub(super) window: String,
    /// Reason why the window has no figures.
    pub(super) not_covered: Option<String>,
    pub(super) figures: Option<Figures>,
}

/// Figures of a window.
#[derive(Debug, Serialize)]
pub(super) struct Figures {
    /// Time between the samples at the ends of the window.
    pub(super) span_ms: u64,
    pub(super) requests: u64,
    pub(super) bad: u64,
    /// Bad requests that the objective allows.
    pub(super) allowed_bad: f64,
    /// `None` without requests.
    pub(super) good_percent: Option<f64>,
    /// `None` if the objective leaves no budget and some requests were bad.
    pub(super) burn_rate: Option<f64>,
}

/// Requests with one outcome.
#[derive(Debug, Serialize)]
pub(super) struct OutcomeReport {
    pub(super) window: String,
    pub(super) outcome: String,
    pub(super) reason: String,
    pub(super) requests: u64,
}

/// Objective of a class of accounts.
#[derive(Debug, Serialize)]
pub(super) struct ClassReport {
    pub(super) service: String,
    pub(super) class: String,
    pub(super) objective_per_10000: u32,
    pub(super) first_token_objective_ms: u64,
    pub(super) note: &'static str,
}

impl Report {
    /// Computes the figures of every service of a manifest.
    pub(super) fn new(
        manifest: &Manifest,
        series: &Series,
        windows: &[Window],
    ) -> Report {
        let services = manifest.services.iter();
        let services = services.map(|(name, service)| {
            service_report(name, service.objective(), series, windows)
        });
        let in_manifest: BTreeSet<&str> =
            manifest.services.keys().map(String::as_str).collect();
        let not_in_manifest =
            series.services().filter(|s| !in_manifest.contains(s));
        Report {
            at_unix_ms: series.last().at_unix_ms,
            samples: series.points().len(),
            span_ms: series.span_ms(),
            restarts: series.restarts(),
            unreached: Vec::new(),
            services: services.collect(),
            classes: class_reports(manifest),
            services_without_objective: not_in_manifest
                .map(str::to_owned)
                .collect(),
        }
    }

    /// Sets the daemons that returned no counters.
    pub(super) fn unreached(mut self, unreached: Vec<Unreached>) -> Report {
        self.unreached = unreached;
        self
    }
}

impl ServiceReport {
    /// Share of bad requests that the objective allows.
    pub(super) fn budget(&self) -> f64 {
        budget(self.objective_per_10000)
    }
}

fn service_report(
    name: &str,
    objective: Objective,
    series: &Series,
    windows: &[Window],
) -> ServiceReport {
    let Objective { objective_per_10000, first_token_objective_ms } =
        objective;
    let increases: Vec<(Window, Result<Increase, String>)> = windows
        .iter()
        .map(|window| (*window, series.window(name, *window)))
        .collect();
    let longest = increases
        .iter()
        .filter_map(|(window, increase)| {
            Some((window, increase.as_ref().ok()?))
        })
        .max_by_key(|(window, _)| window.length_ms());
    let outcomes =
        longest.map(|(window, increase)| outcomes(*window, increase));
    let windows = increases.iter().map(|(window, increase)| WindowReport {
        window: window.to_string(),
        not_covered: increase.as_ref().err().cloned(),
        figures: increase.as_ref().ok().map(|g| figures(g, objective)),
    });
    ServiceReport {
        service: name.to_owned(),
        objective_per_10000,
        first_token_objective_ms,
        windows: windows.collect(),
        outcomes: outcomes.unwrap_or_default(),
    }
}

fn outcomes(window: Window, increase: &Increase) -> Vec<OutcomeReport> {
    let outcomes = increase.counts.iter();
    let report =
        |(outcome, reason, requests): (&str, &str, u64)| OutcomeReport {
            window: window.to_string(),
            outcome: outcome.to_owned(),
            reason: reason.to_owned(),
            requests,
        };
    outcomes.map(report).collect()
}

fn figures(increase: &Increase, objective: Objective) -> Figures {
    let budget = budget(objective.objective_per_10000);
    let (requests, bad) = (increase.requests(), increase.bad());
    let bad_share = increase.bad_share();
    Figures {
        span_ms: increase.span_ms,
        requests,
        bad,
        allowed_bad: requests as f64 * budget,
        good_percent: bad_share.map(|share| 100.0 * (1.0 - share)),
        burn_rate: burn_rate(bad_share.unwrap_or(0.0), budget),
    }
}

/// The rate at which a share of bad requests uses up a budget, or `None` if
/// requests were bad and the budget is 0.
pub(super) fn burn_rate(bad_share: f64, budget: f64) -> Option<f64> {
    match (bad_share > 0.0, budget > 0.0) {
        (false, _) => Some(0.0),
        (true, true) => Some(bad_share / budget),
        (true, false) => None,
    }
}

fn budget(objective_per_10000: u32) -> f64 {
    f64::from(OBJECTIVE_SCALE - objective_per_10000)
        / f64::from(OBJECTIVE_SCALE)
}

fn class_reports(manifest: &Manifest) -> Vec<ClassReport> {
    let objectives = manifest.objectives.iter();
    let report =
        |((service, class), objective): (&(String, String), &Objective)| {
            ClassReport {
                service: service.clone(),
                class: class.clone(),
                objective_per_10000: objective.objective_per_10000,
                first_token_objective_ms: objective.first_token_objective_ms,
                note: CLASS_NOTE,
            }
        };
    objectives.map(report).collect()
}
