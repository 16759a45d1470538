//! What a seeded run must not show, beside what its callers and servers saw.

use std::{
    collections::BTreeSet,
    time::{Duration, Instant},
};

use crate::{
    backend_servers::{ExpiredLimit, Observations},
    caller::{AttemptEnd, RequestKind},
    report::Report,
    running::RunningSite,
    site::RETRY_RATIO,
};

/// Time after a planned stop in which nothing may be cut; the grace is 5 s.
const STOP_KEEPS: Duration = Duration::from_millis(4_300);
/// Time after a fault of an engine in which it may be why a stream was cut.
const ENGINE_CUTS: Duration = Duration::from_millis(2_500);
/// Time within which all entries know of what happened.
const CONTACT: Duration = Duration::from_millis(3_000);
/// Arrivals of such a request that are allowed later than that after its third
/// crash.
const MOST_LATE_ARRIVALS: usize = 3;
/// Span in which requests to such a server are counted.
const LIMIT_SPAN: Duration = Duration::from_secs(4);
/// Most requests of an entry within a rest, as of the platform's rule.
const MOST_IN_REST: usize = 2;
/// Time for which a server that leaves is still used.
const DRAIN: Duration = Duration::from_millis(1_000);

/// All that was broken; the site serves no load any more.
pub(super) fn broken(
    report: &Report,
    running: &RunningSite,
    slack: f64,
) -> Vec<String> {
    let observations = running.backends.observations();
    let mut broken = cut_by_stops(report, running);
    broken.extend(crashed_on(&observations));
    broken.extend(beyond_limits(&observations));
    broken.extend(against_their_word(report));
    broken.extend(harmless_quarantined(&observations, running));
    broken.extend(beyond_bound(report, slack));
    broken
}

/// Requests that a planned stop cut: an entry that stops ends what it has,
/// unless it was killed or an engine broke off.
fn cut_by_stops(report: &Report, running: &RunningSite) -> Vec<String> {
    let stops = running.stops.lock().expect("no holder panics").clone();
    let kills = running.kills.lock().expect("no holder panics").clone();
    let engine_faults: Vec<Instant> = report
        .faults
        .iter()
        .filter(|fault| fault.kind.breaks_streams())
        .map(|fault| report.start + fault.at)
        .collect();
    let is_after_fault = |at: Instant, duration: Duration| {
        engine_faults
            .iter()
            .any(|fault| *fault <= at && at < *fault + duration)
    };
    let attempts =
        report.outcomes.iter().flat_map(|outcome| &outcome.attempts);
    let cut = attempts.filter(|t| t.end == AttemptEnd::Cut);
    let by_stop = cut.filter(|t| {
        let stopped = stops.iter().any(|(entry, at)| {
            *entry == t.entry && (*at..*at + STOP_KEEPS).contains(&t.ended_at)
        });
        stopped
            && !kills.contains(&t.entry)
            && !is_after_fault(t.ended_at, ENGINE_CUTS)
    });
    by_stop
        .map(|t| format!("{}: cut by the stop of {}", t.id, t.entry))
        .collect()
}

/// Arrivals of streams at engines beyond the shared bound.
fn beyond_bound(report: &Report, slack: f64) -> Option<String> {
    let streams =
        report.outcomes.iter().filter(|o| o.kind == RequestKind::Stream);
    let ids: Vec<&str> = streams
        .flat_map(|outcome| &outcome.attempts)
        .map(|t| t.id.as_str())
        .collect();
    let arrivals = ids
        .iter()
        .filter_map(|id| report.observations.arrival_counts.get(*id));
    let further: u32 = arrivals.map(|count| count.saturating_sub(1)).sum();
    let bound = ids.len() as f64 * RETRY_RATIO + slack;
    (f64::from(further) > bound)
        .then(|| format!("{further} further arrivals, over {bound:.0}"))
}

/// Requests that went on to engines long after three had crashed.
fn crashed_on(observations: &Observations) -> Vec<String> {
    let tokens: BTreeSet<&str> = observations
        .crashing_arrivals
        .iter()
        .map(|c| c.token.as_str())
        .collect();
    let late = |token: &&str| {
        observations.arrivals_after_crash(token, 3, CONTACT)
            > MOST_LATE_ARRIVALS
    };
    let broken = tokens.into_iter().filter(late);
    broken.map(|token| format!("{token}: goes on to engines")).collect()
}

/// Servers that got more than the limit that they named, as of the
/// platform's rule.
fn beyond_limits(observations: &Observations) -> Vec<String> {
    let most = |limit: &ExpiredLimit| {
        let times = (limit.announced_at + CONTACT, limit.ended_at);
        observations.max_arrivals(&limit.server, LIMIT_SPAN, times)
    };
    let allowed = |limit: &ExpiredLimit| {
        1.5 * limit.per_s * LIMIT_SPAN.as_secs_f64() + 5.0
    };
    let limits = observations.expired_limits.iter();
    let broken = limits.filter(|limit| most(limit) as f64 > allowed(limit));
    let text = |limit: &ExpiredLimit| {
        format!("{}: {} in 4 s at {}", limit.server, most(limit), limit.per_s)
    };
    broken.map(text).collect()
}

/// Requests that servers got in spite of their word: at rest, or leaving.
fn against_their_word(report: &Report) -> Vec<String> {
    let mut broken = Vec::new();
    let most = report.max_requests_in_cooldown();
    if most > MOST_IN_REST {
        broken.push(format!("{most} requests of an entry in a rest"));
    }
    let late = report.late_requests_at_leaving_servers(DRAIN, false);
    if late > 0 {
        broken.push(format!("{late} requests at servers that leave"));
    }
    broken
}

/// Requests that were quarantined beyond those that crash engines.
fn harmless_quarantined(
    observations: &Observations,
    running: &RunningSite,
) -> Option<String> {
    let crashing: BTreeSet<&str> = observations
        .crashing_arrivals
        .iter()
        .map(|c| c.token.as_str())
        .collect();
    let quarantined_fingerprints = running.quarantined_fingerprints();
    (quarantined_fingerprints.len() > crashing.len()).then(|| {
        format!("{quarantined_fingerprints:?} quarantined for {crashing:?}")
    })
}
