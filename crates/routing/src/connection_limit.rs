//! Whether an entry leaves new connections to the others.
//!
//! A load balancer may hand most new connections to one entry. Requests that
//! the entry has read and can't serve in time are lost to their callers,
//! whereas a connection that is closed unread meets another entry on the
//! caller's next attempt. The entry must decide before it reads, so it goes by
//! what it observes of itself: how late its own timers fire, and how much of
//! its link it uses.
//!
//! The limit is on concurrent requests, because the work of a stream lasts for
//! seconds after its connection was accepted. An entry that does not get more
//! than its share of the requests has no limit: if all entries are overloaded,
//! the next attempt would fare no better.

/// Interval between samples.
pub const SAMPLE_INTERVAL_MS: u64 = 100;
/// Lateness of timers from which on the entry is overloaded; callers notice
/// a pause of twice this time.
const MAX_LAG_MS: u64 = 60;
/// Lateness from which on an entry with a limit accepts nothing until the work
/// that has piled up is done.
const PAUSE_LAG_MS: u64 = 120;
/// Share of the link from which on packets queue.
const MAX_LINK_SHARE: f64 = 0.85;
/// Samples of overload in a row that lower the limit. One alone may be due to
/// a pause of the whole process.
const MIN_OVERLOADED_SAMPLES: u32 = 2;
/// Multiple of the other entries' mean that counts as more than a share.
const EXCESS_FACTOR: f64 = 2.0;
/// Factors of a decrease and of an increase of the limit.
const DECREASE: f64 = 0.8;
const INCREASE: f64 = 1.01;
/// Share of the limit from which on it is reached. A limit that is not reached
/// is neither too high nor too low.
const REACHED_SHARE: f64 = 0.9;
/// Share of the limit by which the requests may grow between two samples.
const GROWTH_SHARE: f64 = 0.02;
/// Weight of the newest sample in the moving average of ended requests.
const ENDED_WEIGHT: f64 = 0.1;
/// Pause after a decrease, in which streams that were accepted before end.
const DECREASE_INTERVAL_MS: u64 = 400;
/// Time in which no connection was left to others after which the limit is
/// lifted.
const LIFT_AFTER_MS: u64 = 3_000;
/// Lowest limit.
const MIN_LIMIT: f64 = 2.0;

/// What an entry observes of itself.
#[derive(Clone, Copy, Debug, Default)]
pub struct LoadSample {
    /// Lateness of a timer.
    pub lag_ms: u64,
    /// Share of the link that streams use; 0 if not known.
    pub link_share: f64,
    /// Requests in progress.
    pub in_flight: usize,
    /// Requests that this entry received lately.
    pub own_requests: f64,
    /// Mean of the requests that each other entry received in the same time;
    /// `None` without other entries or their reports.
    pub mean_of_others: Option<f64>,
}

impl LoadSample {
    /// Whether the entry can't serve all its requests in time.
    pub fn is_overloaded(&self) -> bool {
        self.lag_ms > MAX_LAG_MS || self.link_share > MAX_LINK_SHARE
    }

    fn exceeds_share(&self) -> bool {
        let mean = self.mean_of_others;
        mean.is_some_and(|mean| self.own_requests > EXCESS_FACTOR * mean)
    }
}

/// Limit on the concurrent requests of an entry with most new connections.
#[derive(Clone, Debug, Default)]
pub struct ConnectionLimit {
    limit: Option<f64>,
    overloaded_samples: u32,
    decreased_ms: u64,
    /// When the entry was last overloaded or left a connection to others.
    needed_ms: u64,
    /// Whether a connection was left to others since the last sample.
    has_refused: bool,
    /// Whether nothing is accepted until the lag has gone down.
    is_paused: bool,
    /// Connections accepted since the last sample, and their limit. Requests
    /// that begin together would also send their events together.
    accepted: usize,
    max_accepted: usize,
    last_in_flight: usize,
    /// Requests that ended between two samples, as a moving average.
    ended: f64,
}

impl ConnectionLimit {
    /// Starts without a limit.
    pub fn new() -> ConnectionLimit {
        ConnectionLimit::default()
    }

    /// Adjusts the limit to a sample; to be called at each
    /// [`SAMPLE_INTERVAL_MS`].
    pub fn record(&mut self, sample: &LoadSample, now_ms: u64) {
        match sample.is_overloaded() {
            true => {
                self.overloaded_samples += 1;
                self.needed_ms = now_ms;
                self.lower(sample, now_ms);
            }
            false => {
                self.overloaded_samples = 0;
                self.raise(sample, now_ms);
            }
        }
        self.is_paused = self.limit.is_some() && sample.lag_ms > PAUSE_LAG_MS;
        let ended = (self.last_in_flight + self.accepted)
            .saturating_sub(sample.in_flight);
        let limit = self.limit.unwrap_or(0.0);
        self.ended += ENDED_WEIGHT * (ended as f64 - self.ended);
        self.max_accepted = (self.ended + GROWTH_SHARE * limit) as usize + 1;
        self.last_in_flight = sample.in_flight;
        self.accepted = 0;
    }

    fn is_reached(&self, in_flight: usize) -> bool {
        let with_next = in_flight as f64 + 1.0;
        self.limit.is_none_or(|limit| with_next >= REACHED_SHARE * limit)
    }

    fn lower(&mut self, sample: &LoadSample, now_ms: u64) {
        let is_due = self.overloaded_samples >= MIN_OVERLOADED_SAMPLES
            && now_ms >= self.decreased_ms + DECREASE_INTERVAL_MS;
        let is_limited = self.limit.is_some() || sample.exceeds_share();
        if !is_due || !is_limited || !self.is_reached(sample.in_flight) {
            return;
        }
        let in_flight = sample.in_flight as f64;
        let base = self.limit.unwrap_or(in_flight).min(in_flight);
        self.limit = Some((DECREASE * base).max(MIN_LIMIT));
        self.decreased_ms = now_ms;
    }

    fn raise(&mut self, sample: &LoadSample, now_ms: u64) {
        if std::mem::take(&mut self.has_refused) {
            self.needed_ms = now_ms;
        }
        if now_ms >= self.needed_ms + LIFT_AFTER_MS {
            self.limit = None;
        }
        if self.is_reached(sample.in_flight)
            && let Some(limit) = &mut self.limit
        {
            *limit *= INCREASE;
        }
    }

    /// Whether a new connection is accepted beside a number of requests;
    /// counts it if so.
    pub fn try_accept(&mut self, in_flight: usize) -> bool {
        let is_accepted = self.limit.is_none_or(|limit| {
            !self.is_paused
                && (in_flight as f64) < limit
                && self.accepted < self.max_accepted
        });
        self.accepted += usize::from(is_accepted);
        self.has_refused |= !is_accepted;
        is_accepted
    }

    /// The limit on concurrent requests, if there is one.
    pub fn limit(&self) -> Option<usize> {
        self.limit.map(|limit| limit as usize)
    }
}
