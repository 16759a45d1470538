//! Checks of a seeded run beyond the violations that its callers and servers
//! recorded.

use std::{
    collections::BTreeSet,
    time::{Duration, Instant},
};

use crate::{
    backend_servers::{CRASH_PART_PREFIX, ExpiredLimit, Observations},
    caller::{Attempt, AttemptEnd, RequestKind},
    report::Report,
    running::RunningSite,
};

/// Time after a planned stop within which no connection may be aborted; the
/// entry's grace period is 5 s.
const STOP_GRACE: Duration = Duration::from_millis(4_300);
/// Time after a fault of an engine within which the fault may be the cause of
/// an aborted stream.
const ENGINE_ABORT_WINDOW: Duration = Duration::from_millis(2_500);
/// Time within which all entries learn of an event.
const PROPAGATION_TIME: Duration = Duration::from_millis(3_000);
/// Allowed arrivals of a request that crashes engines, later than
/// [`PROPAGATION_TIME`] after its third crash.
const MAX_LATE_ARRIVALS: usize = 3;
/// Span over which requests to a server with a limit are counted.
const LIMIT_SPAN: Duration = Duration::from_secs(4);
/// Maximum number of requests of one entry within a cooldown, by the
/// platform's rule.
const MAX_IN_COOLDOWN: usize = 2;
/// Time for which a leaving server may still get requests.
const LEAVING_GRACE: Duration = Duration::from_millis(1_000);

/// Streams of a kind from which on shares of two kinds are compared.
const MIN_COMPARED_STREAMS: u32 = 40;
/// Part by which urgent streams may be served less often, by the platform's
/// rule.
const MAX_URGENT_SHORTFALL: f64 = 0.05;
/// Share of the mean below which a kind counts as starved, by the platform's
/// rule.
const STARVED_SHARE: f64 = 0.25;

/// All violations; called when the load has ended.
pub(super) fn violations(
    report: &Report,
    running: &RunningSite,
    slack: f64,
) -> Vec<String> {
    let observations = running.backends.observations();
    let mut violations = aborted_by_stops(report, running);
    violations.extend(late_crashing_arrivals(&observations));
    violations.extend(exceeded_limits(&observations));
    violations.extend(ignored_notices(report));
    violations.extend(excess_quarantines(&observations, running));
    violations.extend(report.retry_violations(slack));
    violations.extend(neglected_kinds(report));
    violations
}

/// Urgent streams that were served less often than others, and kinds of
/// streams that were served less than a quarter as often as all.
fn neglected_kinds(report: &Report) -> Vec<String> {
    let share = |is_counted: &dyn Fn(RequestKind) -> bool| -> Option<f64> {
        let outcomes = report.outcomes.iter().filter(|o| is_counted(o.kind));
        let (served, count) = outcomes.fold((0, 0), |(served, count), o| {
            (served + u32::from(o.is_served()), count + 1)
        });
        let is_enough = count >= MIN_COMPARED_STREAMS;
        is_enough.then(|| f64::from(served) / f64::from(count))
    };
    let urgent = share(&|kind| kind == RequestKind::UrgentStream);
    let others = share(&|kind| kind == RequestKind::Stream);
    let all = share(&|kind| kind.is_stream());
    let (Some(urgent), Some(others), Some(all)) = (urgent, others, all) else {
        return Vec::new();
    };
    let mut violations = Vec::new();
    if urgent < others - MAX_URGENT_SHORTFALL {
        violations.push(format!("urgent {urgent:.2}, others {others:.2}"));
    }
    if others < STARVED_SHARE * all || urgent < STARVED_SHARE * all {
        violations
            .push(format!("urgent {urgent:.2}, others {others:.2} of {all}"));
    }
    violations
}

/// Attempts that a planned stop aborted: a stopping entry finishes its
/// requests, unless the entry was killed or an engine aborted a stream.
fn aborted_by_stops(report: &Report, running: &RunningSite) -> Vec<String> {
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
    let aborted = attempts.filter(|t| t.end == AttemptEnd::Cut);
    let stop_of = |t: &Attempt| {
        let mut of_entry = stops.iter().filter(|(entry, _)| *entry == t.entry);
        of_entry.find(|(_, at)| (*at..*at + STOP_GRACE).contains(&t.ended_at))
    };
    let by_stop = aborted.filter_map(|t| {
        let (_, at) = stop_of(t)?;
        let is_by_stop = !kills.contains(&t.entry)
            && !is_after_fault(t.ended_at, ENGINE_ABORT_WINDOW);
        is_by_stop.then(|| {
            let lasted_ms = (t.ended_at - t.sent_at).as_millis();
            let after_ms = (t.ended_at - *at).as_millis();
            format!(
                "{}: cut by the stop of {}, {after_ms} ms after it and \
                 {lasted_ms} ms after the request",
                t.id, t.entry
            )
        })
    });
    by_stop.collect()
}

/// Requests that still reached engines long after three engines had crashed
/// under them, or five under a part of their prompts.
fn late_crashing_arrivals(observations: &Observations) -> Vec<String> {
    let tokens: BTreeSet<&str> = observations
        .crashing_arrivals
        .iter()
        .map(|c| c.token.as_str())
        .collect();
    let has_late_arrivals = |token: &&str| {
        let is_part = token.starts_with(CRASH_PART_PREFIX);
        let crash = if is_part { 5 } else { 3 };
        observations.arrivals_after_crash(token, crash, PROPAGATION_TIME)
            > MAX_LATE_ARRIVALS
    };
    let violating = tokens.into_iter().filter(has_late_arrivals);
    violating.map(|token| format!("{token}: goes on to engines")).collect()
}

/// Servers that got more requests than the platform's rule allows for the
/// limit that they announced.
fn exceeded_limits(observations: &Observations) -> Vec<String> {
    let max_arrivals = |limit: &ExpiredLimit| {
        let times = (limit.announced_at + PROPAGATION_TIME, limit.ended_at);
        observations.max_arrivals(&limit.server, LIMIT_SPAN, times)
    };
    let allowed = |limit: &ExpiredLimit| {
        1.5 * limit.per_s * LIMIT_SPAN.as_secs_f64() + 5.0
    };
    let limits = observations.expired_limits.iter();
    let exceeded =
        limits.filter(|limit| max_arrivals(limit) as f64 > allowed(limit));
    let text = |limit: &ExpiredLimit| {
        format!(
            "{}: {} in 4 s at {}",
            limit.server,
            max_arrivals(limit),
            limit.per_s
        )
    };
    exceeded.map(text).collect()
}

/// Requests that servers got although they had requested a cooldown or
/// announced that they leave.
fn ignored_notices(report: &Report) -> Vec<String> {
    let mut violations = Vec::new();
    let most = report.most_arrivals_in_cooldown();
    let most = most.filter(|most| most.arrivals.len() > MAX_IN_COOLDOWN);
    if let Some(most) = most {
        let count = most.arrivals.len();
        violations
            .push(format!("{count} requests of an entry in a rest: {most}"));
    }
    let late = report.late_requests_at_leaving_servers(LEAVING_GRACE, false);
    if late > 0 {
        violations.push(format!("{late} requests at servers that leave"));
    }
    violations
}

/// Quarantined requests and parts, if there are more than those that crash
/// engines. A request with a crashing part may be quarantined itself, where
/// its caller repeated it.
fn excess_quarantines(
    observations: &Observations,
    running: &RunningSite,
) -> Option<String> {
    let causes = observations.crashing_arrivals.iter();
    let crashing: BTreeSet<&str> = causes
        .map(|c| c.token.as_str())
        .filter(|cause| !cause.starts_with(CRASH_PART_PREFIX))
        .collect();
    let mut quarantined = running.quarantined_fingerprints();
    let logs = running.logs();
    for line in logs.lines().filter(|line| names_crashing_part(line)) {
        quarantined.retain(|fingerprint| !line.contains(fingerprint.as_str()));
    }
    (quarantined.len() > crashing.len())
        .then(|| format!("{quarantined:?} quarantined for {crashing:?}"))
}

/// Whether a log line is about a request with a part that crashes engines.
fn names_crashing_part(line: &str) -> bool {
    let values = ["\"part\":\"", "\"parts\":\""].into_iter();
    let mut values = values.filter_map(|key| {
        let value = line.split_once(key)?.1;
        value.split('"').next()
    });
    values.any(|value| {
        value.split(',').any(|part| part.starts_with(CRASH_PART_PREFIX))
    })
}
