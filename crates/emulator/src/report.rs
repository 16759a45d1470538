//! Outcomes, latencies and recovery as text, JSON and plot.

use std::{
    collections::BTreeMap,
    fmt::Write as _,
    net::SocketAddr,
    time::{Duration, Instant},
};

use hdrhistogram::Histogram;
use serde_json::{Value, json};

use crate::{
    backend_servers::{Arrival, CooldownRequest, Observations},
    caller::{AttemptEnd, Outcome, RequestKind},
    experiment::Fault,
};

/// Width and height of the plot.
const PLOT: (f64, f64) = (800.0, 240.0);
/// What a server had turned away by then, or was on its way, may arrive.
const REST_HOLDS_AFTER: Duration = Duration::from_millis(500);
/// Time of a bar in the plot.
const BAR: Duration = Duration::from_millis(250);

/// What an experiment gave.
#[derive(Clone, Debug)]
pub struct Report {
    /// When the load began.
    pub start: Instant,
    /// What came of each request.
    pub outcomes: Vec<Outcome>,
    /// What engines saw.
    pub observations: Observations,
    /// Faults that were made.
    pub faults: Vec<Fault>,
    /// Calls to the store.
    pub store_calls: u64,
}

impl Report {
    /// Everything that must not happen and did, at callers and engines.
    pub fn violations(&self) -> Vec<String> {
        let callers = self.outcomes.iter().flat_map(|o| o.violations.clone());
        let engines = self.observations.violations.iter().cloned();
        let all = callers.chain(engines).chain(self.false_refusals());
        all.chain(self.false_denials()).collect()
    }

    /// Requests that were denied although the key and the route hold.
    fn false_denials(&self) -> Vec<String> {
        let attempts = self.outcomes.iter().flat_map(|o| &o.attempts);
        let denied = attempts.filter(|t| {
            matches!(t.end, AttemptEnd::Status(400 | 401 | 403 | 404))
        });
        denied.map(|t| format!("{}: {:?}", t.id, t.end)).collect()
    }

    /// Requests that were told that they did not run, and had.
    fn false_refusals(&self) -> Vec<String> {
        let once =
            self.outcomes.iter().filter(|o| o.kind == RequestKind::Once);
        let attempts = once.flat_map(|outcome| &outcome.attempts);
        let refused = attempts.filter(|t| {
            matches!(t.end, AttemptEnd::Status(408 | 421 | 429 | 503))
        });
        let ran = refused
            .filter(|t| self.observations.run_counts.contains_key(&t.id));
        ran.map(|t| format!("{}: {:?}, and it ran", t.id, t.end)).collect()
    }

    /// Most requests of one entry that reached a server at rest, from half a
    /// second after it had turned that entry away.
    pub fn max_requests_in_cooldown(&self) -> usize {
        let entries = self.entries_of_requests();
        let in_rest = |rest: &CooldownRequest| {
            let Arrival { server, request, at } = &rest.rejected;
            let from = *at + REST_HOLDS_AFTER;
            let arrived =
                self.observations.arrival_log.iter().filter(|arrival| {
                    arrival.server == *server
                        && from <= arrival.at
                        && arrival.at < *at + rest.duration
                        && entries.get(&arrival.request)
                            == entries.get(request)
                });
            arrived.count()
        };
        self.observations
            .cooldown_requests
            .iter()
            .map(in_rest)
            .max()
            .unwrap_or(0)
    }

    /// Requests that reached a server which leaves, sent later than some time
    /// after an answer that the same entry passed on had said so; at any
    /// entry with `at_any`.
    pub fn late_requests_at_leaving_servers(
        &self,
        after: Duration,
        at_any: bool,
    ) -> usize {
        let entries = self.entries_of_requests();
        let attempts = self.outcomes.iter().flat_map(|o| &o.attempts);
        let sent: BTreeMap<&str, Instant> =
            attempts.map(|t| (t.id.as_str(), t.sent_at)).collect();
        let is_late = |arrival: &&Arrival| {
            let sent = sent.get(arrival.request.as_str());
            let entry = entries.get(&arrival.request);
            sent.is_some_and(|sent| {
                self.observations.leaving_notices.iter().any(|told| {
                    told.server == arrival.server
                        && (at_any || entries.get(&told.request) == entry)
                        && *sent > told.at + after
                })
            })
        };
        self.observations.arrival_log.iter().filter(is_late).count()
    }

    /// Which entry each try went to, by the id of its request.
    fn entries_of_requests(&self) -> BTreeMap<String, SocketAddr> {
        let attempts = self.outcomes.iter().flat_map(|o| &o.attempts);
        attempts.map(|t| (t.id.clone(), t.entry)).collect()
    }

    /// Share of the requests of a kind that were served.
    pub fn served_share(&self, kind: RequestKind) -> f64 {
        let of_kind = || self.outcomes.iter().filter(|o| o.kind == kind);
        let served = of_kind().filter(|o| o.is_served()).count();
        served as f64 / of_kind().count().max(1) as f64
    }

    /// Arrivals at engines beyond the first of each request.
    pub fn retry_arrivals(&self) -> u64 {
        let arrivals = self.observations.arrival_counts.values();
        arrivals.map(|count| u64::from(count.saturating_sub(1))).sum()
    }

    /// As JSON.
    pub fn to_json(&self) -> Value {
        let kinds: BTreeMap<&str, Value> = RequestKind::ALL
            .into_iter()
            .map(|kind| (kind.name(), self.kind_json(kind)))
            .collect();
        json!({
            "kinds": kinds,
            "violations": self.violations(),
            "path_changes": self.observations.path_changes,
            "further_arrivals": self.retry_arrivals(),
            "store_calls": self.store_calls,
        })
    }

    fn kind_json(&self, kind: RequestKind) -> Value {
        let of_kind: Vec<&Outcome> =
            self.outcomes.iter().filter(|o| o.kind == kind).collect();
        let first = of_kind.iter().filter_map(|o| o.time_to_first);
        let gaps = of_kind.iter().map(|o| o.max_gap);
        json!({
            "requests": of_kind.len(),
            "served_share": self.served_share(kind),
            "first_ms": quantiles(first),
            "longest_gap_ms": quantiles(gaps),
            "ends": ends(&of_kind),
        })
    }

    /// As text.
    pub fn to_text(&self) -> String {
        let mut out = String::new();
        for kind in RequestKind::ALL {
            let count =
                self.outcomes.iter().filter(|o| o.kind == kind).count();
            if count == 0 {
                continue;
            }
            let json = self.kind_json(kind);
            let _ = writeln!(
                out,
                "{:<11} {count:>5} requests, {:.3} served, first ms {}, \
                 longest gap ms {}, ends {}",
                kind.name(),
                self.served_share(kind),
                json["first_ms"],
                json["longest_gap_ms"],
                json["ends"],
            );
        }
        let _ = writeln!(
            out,
            "{} path changes, {} further arrivals, {} calls to the store",
            self.observations.path_changes,
            self.retry_arrivals(),
            self.store_calls
        );
        for violation in self.violations() {
            let _ = writeln!(out, "VIOLATION {violation}");
        }
        out
    }

    /// Served and other requests over time, with the faults, as an SVG.
    pub fn to_svg(&self) -> String {
        let bar_of =
            |o: &Outcome| (o.at.as_secs_f64() / BAR.as_secs_f64()) as usize;
        let bars = self.outcomes.iter().map(bar_of).max().unwrap_or(0) + 1;
        let mut counts = vec![(0_u32, 0_u32); bars];
        for outcome in &self.outcomes {
            let count = &mut counts[bar_of(outcome)];
            match outcome.is_served() {
                true => count.0 += 1,
                false => count.1 += 1,
            }
        }
        let most = counts.iter().map(|c| c.0 + c.1).max().unwrap_or(1);
        let (width, height) = PLOT;
        let bar = width / bars as f64;
        let scale = height / f64::from(most.max(1));
        let mut out = format!(
            "<svg xmlns=\"http://www.w3.org/2000/svg\" width=\"{width}\" \
             height=\"{height}\">\n"
        );
        for (at, (served, other)) in counts.iter().enumerate() {
            let x = at as f64 * bar;
            let served = f64::from(*served) * scale;
            let other = f64::from(*other) * scale;
            let _ = writeln!(
                out,
                "<rect x=\"{x:.1}\" y=\"{:.1}\" width=\"{bar:.1}\" \
                 height=\"{served:.1}\" fill=\"#4a7\"/>\
                 <rect x=\"{x:.1}\" y=\"{:.1}\" width=\"{bar:.1}\" \
                 height=\"{other:.1}\" fill=\"#c54\"/>",
                height - served,
                height - served - other,
            );
        }
        for fault in &self.faults {
            let x = fault.at.as_secs_f64() / BAR.as_secs_f64() * bar;
            let _ = writeln!(
                out,
                "<text x=\"{x:.1}\" y=\"12\" font-size=\"9\">{}</text>",
                fault.kind.name()
            );
        }
        out.push_str("</svg>\n");
        out
    }
}

fn quantiles(times: impl Iterator<Item = Duration>) -> Value {
    let mut histogram =
        Histogram::<u64>::new(3).expect("three digits are allowed");
    for time in times {
        histogram.saturating_record(time.as_millis() as u64);
    }
    json!({
        "p50": histogram.value_at_quantile(0.5),
        "p99": histogram.value_at_quantile(0.99),
        "max": histogram.max(),
    })
}

fn ends(outcomes: &[&Outcome]) -> BTreeMap<String, usize> {
    let mut ends = BTreeMap::new();
    for outcome in outcomes {
        let last = outcome.attempts.last().map(|t| format!("{:?}", t.end));
        *ends.entry(last.unwrap_or_default()).or_default() += 1;
    }
    ends
}
