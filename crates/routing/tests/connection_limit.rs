//! Replays an entry that gets most new connections on a virtual clock.
//!
//! The entry runs a fixed amount of work per millisecond. A stream costs work
//! at its start and at each event. Callers whose connection is closed unread
//! are served elsewhere; a request that was read is served if its first event
//! and all later ones are in time.

use chestnutreach_routing::{
    ConnectionLimit, LoadSample, connection_limit::SAMPLE_INTERVAL_MS,
};
use rstest::rstest;

const EVENTS: u64 = 80;
const EVENT_INTERVAL_MS: u64 = 35;
/// Work at the start of a stream and at each of its events.
const START_WORK: f64 = 1.0;
const EVENT_WORK: f64 = 0.05;
/// The entry bears 40 streams a second at this amount of work.
const WORK_PER_MS: f64 = 0.2;
/// Longest delay of a served event: what the sheets allow beyond the typical
/// gap.
const MAX_DELAY_MS: f64 = 200.0;
const USUAL_PER_S: f64 = 7.0;
const HERD_MS: std::ops::Range<u64> = 5_000..25_000;
/// Time for which the platform allows an entry to adapt.
const CONTACT_MS: u64 = 3_000;
const WINDOW_MS: u64 = 10_000;

struct Stream {
    started_ms: u64,
    events: u64,
    is_late: bool,
}

#[derive(Debug, Default)]
struct Counts {
    read: usize,
    served: usize,
    closed: usize,
}

impl Counts {
    fn served_share(&self) -> f64 {
        self.served as f64 / self.read.max(1) as f64
    }
}

struct Replay {
    herd_per_s: f64,
    has_limit: bool,
    /// Requests per second at each other entry.
    others_per_s: f64,
}

impl Replay {
    /// Counts of the streams that came while most connections came here, after
    /// the time to adapt.
    fn run(&self, seed: u64) -> Counts {
        let mut rng = fastrand::Rng::with_seed(seed);
        let mut limit = ConnectionLimit::new();
        let mut streams: Vec<Stream> = Vec::new();
        let mut arrivals: Vec<u64> = Vec::new();
        let mut backlog = 0.0;
        let mut counts = Counts::default();
        for now_ms in 0..HERD_MS.end + 5_000 {
            let is_herd = HERD_MS.contains(&now_ms);
            let is_counted =
                (HERD_MS.start + CONTACT_MS..HERD_MS.end).contains(&now_ms);
            let per_s = if is_herd { self.herd_per_s } else { USUAL_PER_S };
            if rng.f64() < per_s / 1e3 {
                if self.has_limit && !limit.try_accept(streams.len()) {
                    counts.closed += usize::from(is_counted);
                } else {
                    arrivals.push(now_ms);
                    backlog += START_WORK;
                    streams.push(Stream {
                        started_ms: now_ms,
                        events: 0,
                        is_late: false,
                    });
                }
            }
            for stream in &mut streams {
                let age_ms = now_ms - stream.started_ms;
                if age_ms > 0 && age_ms.is_multiple_of(EVENT_INTERVAL_MS) {
                    stream.events += 1;
                    backlog += EVENT_WORK;
                    stream.is_late |= backlog / WORK_PER_MS > MAX_DELAY_MS;
                }
            }
            streams.retain(|stream| {
                let is_done = stream.events == EVENTS;
                let is_counted = (HERD_MS.start + CONTACT_MS..HERD_MS.end)
                    .contains(&stream.started_ms);
                if is_done && is_counted {
                    counts.read += 1;
                    counts.served += usize::from(!stream.is_late);
                }
                !is_done
            });
            backlog = (backlog - WORK_PER_MS).max(0.0);
            if now_ms.is_multiple_of(SAMPLE_INTERVAL_MS) {
                arrivals.retain(|at_ms| at_ms + WINDOW_MS > now_ms);
                let window_s = WINDOW_MS.min(now_ms.max(1)) as f64 / 1e3;
                let sample = LoadSample {
                    lag_ms: (backlog / WORK_PER_MS) as u64,
                    link_share: 0.0,
                    in_flight: streams.len(),
                    own_requests: arrivals.len() as f64,
                    mean_of_others: Some(self.others_per_s * window_s),
                };
                limit.record(&sample, now_ms);
            }
        }
        counts
    }
}

#[rstest]
#[case::twice_what_it_bears(80.0)]
#[case::five_times(200.0)]
#[case::ten_times(400.0)]
fn an_entry_with_most_connections_serves_what_it_reads(
    #[case] herd_per_s: f64,
) {
    for seed in 0..4 {
        let replay =
            Replay { herd_per_s, has_limit: true, others_per_s: USUAL_PER_S };
        let counts = replay.run(seed);
        assert!(counts.served_share() >= 0.95, "seed {seed}: {counts:?}");
        // What the entry bears is not left to others.
        assert!(counts.read >= 17 * 24, "seed {seed}: {counts:?}");
        let without = Replay { has_limit: false, ..replay }.run(seed);
        assert!(without.served_share() < 0.1, "seed {seed}: {without:?}");
    }
}

/// What other entries get, where the entry is overloaded like all of them or
/// not overloaded at all.
struct Unlimited {
    herd_per_s: f64,
    others_per_s: f64,
}

#[rstest]
#[case::bearable(Unlimited { herd_per_s: 25.0, others_per_s: USUAL_PER_S })]
#[case::all_alike(Unlimited { herd_per_s: 80.0, others_per_s: 60.0 })]
fn an_entry_closes_no_connection_that_others_would_not_serve_better(
    #[case] case: Unlimited,
) {
    for seed in 0..4 {
        let replay = Replay {
            herd_per_s: case.herd_per_s,
            has_limit: true,
            others_per_s: case.others_per_s,
        };
        assert_eq!(replay.run(seed).closed, 0, "seed {seed}");
    }
}

/// One sample of an entry that gets ten times the requests of others.
struct Sample {
    lag_ms: u64,
    link_share: f64,
    mean_of_others: Option<f64>,
    has_limit: bool,
}

#[rstest]
#[case::late_timers(Sample {
    lag_ms: 300, link_share: 0.0, mean_of_others: Some(10.0), has_limit: true,
})]
#[case::full_link(Sample {
    lag_ms: 0, link_share: 0.95, mean_of_others: Some(10.0), has_limit: true,
})]
#[case::idle(Sample {
    lag_ms: 5, link_share: 0.2, mean_of_others: Some(10.0), has_limit: false,
})]
#[case::alone(Sample {
    lag_ms: 300, link_share: 0.95, mean_of_others: None, has_limit: false,
})]
fn only_an_overloaded_entry_with_others_has_a_limit(#[case] case: Sample) {
    let mut limit = ConnectionLimit::new();
    let sample = LoadSample {
        lag_ms: case.lag_ms,
        link_share: case.link_share,
        in_flight: 100,
        own_requests: 100.0,
        mean_of_others: case.mean_of_others,
    };
    limit.record(&sample, 10_000);
    assert_eq!(limit.limit(), None, "one sample may be due to a pause");
    limit.record(&sample, 10_100);
    assert_eq!(limit.limit().is_some(), case.has_limit);
}

#[test]
fn the_limit_is_lifted_when_the_overload_has_ended() {
    let mut limit = ConnectionLimit::new();
    let mut sample = LoadSample {
        lag_ms: 300,
        in_flight: 100,
        own_requests: 100.0,
        mean_of_others: Some(10.0),
        ..LoadSample::default()
    };
    for now_ms in [0, 100, 200].map(|ms| 10_000 + ms) {
        limit.record(&sample, now_ms);
    }
    assert!(limit.limit().is_some());
    sample.lag_ms = 0;
    sample.in_flight = 3;
    limit.record(&sample, 11_000);
    assert!(limit.limit().is_some());
    limit.record(&sample, 15_000);
    assert_eq!(limit.limit(), None);
}
