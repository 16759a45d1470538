//! Outcomes and latencies of a run as text, JSON and plot.

use std::{
    collections::BTreeMap,
    fmt::{self, Write as _},
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
const PLOT_SIZE: (f64, f64) = (800.0, 240.0);
/// Time after a rejection for which requests that were already on their way
/// may still arrive within the cooldown.
const COOLDOWN_GRACE: Duration = Duration::from_millis(500);
/// Time span of a bar in the plot.
const BAR_SPAN: Duration = Duration::from_millis(250);

/// Requests that reached a server within a cooldown.
#[derive(Clone, Debug)]
pub struct CooldownArrivals<'a> {
    /// The rejected request that the cooldown began with.
    pub rejected: &'a Arrival,
    /// The entry that sent it.
    pub entry: Option<SocketAddr>,
    /// Requests of the same entry at the same server.
    pub arrivals: Vec<&'a Arrival>,
}

impl fmt::Display for CooldownArrivals<'_> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Arrival { server, request, at, .. } = self.rejected;
        write!(f, "{server} rejected {request} of {:?}, then", self.entry)?;
        for arrival in &self.arrivals {
            let after_ms = (arrival.at - *at).as_millis();
            write!(f, " {} after {after_ms} ms", arrival.request)?;
        }
        Ok(())
    }
}

/// Results of an experiment.
#[derive(Clone, Debug)]
pub struct Report {
    /// Start of the load.
    pub start: Instant,
    /// Outcome of each request.
    pub outcomes: Vec<Outcome>,
    /// Observations of backend servers.
    pub observations: Observations,
    /// Injected faults.
    pub faults: Vec<Fault>,
    /// Number of calls to the store.
    pub store_calls: u64,
    /// Address and time of each start of an entry's process.
    pub entry_starts: Vec<(SocketAddr, Instant)>,
}

impl Report {
    /// All violations of invariants at callers and backend servers.
    pub fn violations(&self) -> Vec<String> {
        let callers = self.outcomes.iter().flat_map(|o| o.violations.clone());
        let engines = self.observations.violations.iter().cloned();
        let all = callers.chain(engines).chain(self.false_refusals());
        all.chain(self.false_denials()).collect()
    }

    /// Attempts that were denied although key and route are valid.
    fn false_denials(&self) -> Vec<String> {
        let attempts = self.outcomes.iter().flat_map(|o| &o.attempts);
        let denied = attempts.filter(|t| {
            matches!(t.end, AttemptEnd::Status(400 | 401 | 403 | 404))
        });
        denied.map(|t| format!("{}: {:?}", t.id, t.end)).collect()
    }

    /// Non-idempotent attempts whose response states that they did not run,
    /// although they ran.
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

    /// Highest number of requests from one entry that reached a server within
    /// a cooldown, see [`Report::most_arrivals_in_cooldown`].
    pub fn max_requests_in_cooldown(&self) -> usize {
        let most = self.most_arrivals_in_cooldown();
        most.map_or(0, |most| most.arrivals.len())
    }

    /// The requests from one process of an entry that reached a server within
    /// a cooldown, counted from half a second after the server rejected a
    /// request of that process; of the cooldown with the most of them. A
    /// process that starts meanwhile was not told of the cooldown.
    pub fn most_arrivals_in_cooldown(&self) -> Option<CooldownArrivals<'_>> {
        let entries = self.entries_of_requests();
        let cooldowns = self.observations.cooldown_requests.iter();
        let all = cooldowns.map(|c| self.arrivals_in(c, &entries));
        all.max_by_key(|cooldown| cooldown.arrivals.len())
    }

    fn arrivals_in<'a>(
        &'a self,
        cooldown: &'a CooldownRequest,
        entries: &BTreeMap<String, SocketAddr>,
    ) -> CooldownArrivals<'a> {
        let rejected = &cooldown.rejected;
        let entry = entries.get(&rejected.request).copied();
        let from = rejected.at + COOLDOWN_GRACE;
        let end = rejected.at + cooldown.duration;
        let process_end = self.process_end(entry, rejected.at);
        let until =
            process_end.map_or(end, |process_end| end.min(process_end));
        let log = self.observations.arrival_log.iter();
        let arrived = log.filter(|arrival| {
            arrival.server == rejected.server
                && (from..until).contains(&arrival.at)
                && entries.get(&arrival.request).copied() == entry
        });
        CooldownArrivals { rejected, entry, arrivals: arrived.collect() }
    }

    /// When the process that an entry had at a time was replaced.
    fn process_end(
        &self,
        entry: Option<SocketAddr>,
        at: Instant,
    ) -> Option<Instant> {
        let starts = self.entry_starts.iter();
        let later = starts.filter(|start| Some(start.0) == entry);
        later.map(|start| start.1).filter(|start| *start > at).min()
    }

    /// Number of requests that reached a leaving server and were sent more
    /// than `after` later than the announcement in a response through the same
    /// entry, or through any entry with `at_any`.
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
                self.observations.leaving_notices.iter().any(|notice| {
                    notice.server == arrival.server
                        && (at_any || entries.get(&notice.request) == entry)
                        && *sent > notice.at + after
                })
            })
        };
        self.observations.arrival_log.iter().filter(is_late).count()
    }

    /// The entry of each attempt, by request id.
    fn entries_of_requests(&self) -> BTreeMap<String, SocketAddr> {
        let attempts = self.outcomes.iter().flat_map(|o| &o.attempts);
        attempts.map(|t| (t.id.clone(), t.entry)).collect()
    }

    /// Share of the requests of a kind that got a complete response.
    pub fn served_share(&self, kind: RequestKind) -> f64 {
        let of_kind = || self.outcomes.iter().filter(|o| o.kind == kind);
        let served = of_kind().filter(|o| o.is_served()).count();
        served as f64 / of_kind().count().max(1) as f64
    }

    /// Number of arrivals at backend servers beyond the first of each request
    /// id.
    pub fn retry_arrivals(&self) -> u64 {
        let arrivals = self.observations.arrival_counts.values();
        arrivals.map(|count| u64::from(count.saturating_sub(1))).sum()
    }

    /// The report as JSON.
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

    /// The report as text.
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

    /// Plot of served and unserved requests over time, with the faults, as
    /// SVG.
    pub fn to_svg(&self) -> String {
        let bar_of = |o: &Outcome| {
            (o.at.as_secs_f64() / BAR_SPAN.as_secs_f64()) as usize
        };
        let bars = self.outcomes.iter().map(bar_of).max().unwrap_or(0) + 1;
        let mut counts = vec![(0_u32, 0_u32); bars];
        for outcome in &self.outcomes {
            let count = &mut counts[bar_of(outcome)];
            match outcome.is_served() {
                true => count.0 += 1,
                false => count.1 += 1,
            }
        }
        let max_count = counts.iter().map(|c| c.0 + c.1).max().unwrap_or(1);
        let (width, height) = PLOT_SIZE;
        let bar = width / bars as f64;
        let scale = height / f64::from(max_count.max(1));
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
            let x = fault.at.as_secs_f64() / BAR_SPAN.as_secs_f64() * bar;
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
        Histogram::<u64>::new(3).expect("3 significant digits are supported");
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
