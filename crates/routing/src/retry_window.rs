//! Retries under a limit that all entries share.
//!
//! In any window, the retries at a service stay below a share of its requests
//! plus a number of free retries. A share of that limit is distributed: each
//! entry has its quota of the free retries and the share of its own requests,
//! whatever the other entries use and whether it hears them. Because failures
//! fall on few entries, another part is shared, and an entry that has used its
//! own quota borrows from it while it hears all others. Entries learn late what
//! others have borrowed, and the later the more entries there are
//! ([`RetryLimit::report_delay_ms`]). In that time each entry borrows at most
//! its quota of half of the remaining part, so that all entries together stay
//! below the limit.
//!
//! A process that starts knows nothing of the retries of the one before. Unless
//! there was none, its quota grows with its age within its first window, so that any number of
//! processes of an entry that follow each other use no more than a fixed share
//! on top of the quota. It borrows only once it has heard the others for a
//! window: what processes that have ended borrowed is in no report. A process
//! that ended may have borrowed after its last report, so its part is kept
//! free.
//!
//! The shares add up to less than the limit: `OWN_SHARE` times 1 +
//! `STARTUP_SHARE`, and `SHARED_SHARE`.

use std::collections::VecDeque;

/// Length of one cell of the window, in milliseconds.
const CELL_MS: u64 = 250;
/// Share of the limit that is distributed.
const OWN_SHARE: f64 = 0.4;
/// Share of an entry's quota that all its processes in their first window may
/// use.
const STARTUP_SHARE: f64 = 0.3;
/// Share of the limit that all entries share.
const SHARED_SHARE: f64 = 0.45;

/// Share of the remaining part that all entries together may borrow before
/// they have received each other's reports.
const BORROW_SHARE: f64 = 0.5;

/// The limit on retries that all entries share.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RetryLimit {
    /// Retries per request.
    pub ratio: f64,
    /// Retries per window that need no request.
    pub free_retries: f64,
    /// Length of the window.
    pub window_ms: u64,
    /// Time within which entries have received each other's reports.
    pub report_delay_ms: u64,
}

impl RetryLimit {
    /// Retries allowed for a number of requests.
    fn retries_for(&self, requests: f64) -> f64 {
        self.free_retries + self.ratio * requests
    }
}

/// The entries that share a limit, as one of them knows them.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RetrySharing<'a> {
    /// Number of entries, including those that are not heard; `None` if it is
    /// not known.
    pub entries: Option<usize>,
    /// Reports of the others; `None` unless each of them was heard lately.
    pub peers: Option<&'a [PeerReport]>,
    /// Time since this process started, in milliseconds.
    pub process_age_ms: u64,
    /// Whether another process of this entry may have sent retries within the
    /// window before this one started.
    pub has_predecessor: bool,
}

impl RetrySharing<'_> {
    /// Share of its quota that a process of this age may use.
    fn quota_share(&self, limit: &RetryLimit) -> f64 {
        match self.has_predecessor && self.process_age_ms < limit.window_ms {
            true => {
                let age = self.process_age_ms as f64 / limit.window_ms as f64;
                STARTUP_SHARE * age
            }
            false => 1.0,
        }
    }

    /// Whether the reports cover all that was borrowed within the window.
    fn has_heard_for_a_window(&self, limit: &RetryLimit) -> bool {
        self.process_age_ms >= limit.window_ms + limit.report_delay_ms
    }
}

/// The last report of another process.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct PeerReport {
    /// What the process had sent within the window.
    pub counts: SentCounts,
    /// Time since the report was sent, in milliseconds.
    pub age_ms: u64,
}

impl PeerReport {
    /// Whether another report of the process should have arrived since.
    fn is_overdue(&self, limit: &RetryLimit) -> bool {
        self.age_ms > limit.report_delay_ms
    }
}

/// Retries that an entry may use whatever the others use.
fn own_quota(limit: &RetryLimit, entries: usize, counts: &SentCounts) -> f64 {
    let free_retries = limit.free_retries / entries.max(1) as f64;
    OWN_SHARE * (free_retries + limit.ratio * f64::from(counts.requests))
}

/// What an entry sent to a service within the window.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct SentCounts {
    /// First attempts of requests from callers.
    pub requests: u32,
    /// Retries.
    pub retries: u32,
}

#[derive(Clone, Copy, Debug)]
struct Cell {
    start_ms: u64,
    requests: u32,
    retries: u32,
}

/// What an entry borrows between two reports of the others.
#[derive(Clone, Copy, Debug, Default)]
struct Borrowing {
    since_ms: u64,
    retries: f64,
    /// Random number by which a fraction of a retry is rounded. Where many
    /// entries share little, each quota is below one retry.
    rounding: f64,
}

/// Recent requests and retries of one entry at one service.
#[derive(Debug, Default)]
pub struct RetryWindow {
    cells: VecDeque<Cell>,
    borrowing: Borrowing,
    rng: fastrand::Rng,
}

impl RetryWindow {
    /// Starts without requests.
    pub fn new() -> RetryWindow {
        RetryWindow::default()
    }

    /// Starts without requests; the seed determines how quotas are rounded.
    pub fn with_seed(seed: u64) -> RetryWindow {
        let rng = fastrand::Rng::with_seed(seed);
        RetryWindow { rng, ..RetryWindow::default() }
    }

    /// Records a first attempt.
    pub fn record_request(&mut self, limit: &RetryLimit, now_ms: u64) {
        self.cell(limit, now_ms).requests += 1;
    }

    /// Takes a retry if the limit allows one.
    pub fn try_take(
        &mut self,
        limit: &RetryLimit,
        sharing: &RetrySharing<'_>,
        now_ms: u64,
    ) -> bool {
        let Some(entries) = sharing.entries else { return false };
        let counts = self.counts(limit, now_ms);
        let quota =
            sharing.quota_share(limit) * own_quota(limit, entries, &counts);
        let peers =
            sharing.peers.filter(|_| sharing.has_heard_for_a_window(limit));
        let is_allowed = f64::from(counts.retries) + 1.0 <= quota
            || peers.is_some_and(|peers| {
                self.borrow(limit, entries, peers, now_ms)
            });
        if is_allowed {
            self.cell(limit, now_ms).retries += 1;
        }
        is_allowed
    }

    /// Retries left of the entry's own quota.
    pub fn remaining(
        &mut self,
        limit: &RetryLimit,
        sharing: &RetrySharing<'_>,
        now_ms: u64,
    ) -> f64 {
        let Some(entries) = sharing.entries else { return 0.0 };
        let counts = self.counts(limit, now_ms);
        let quota =
            sharing.quota_share(limit) * own_quota(limit, entries, &counts);
        (quota - f64::from(counts.retries)).max(0.0)
    }

    /// Counts within the window.
    pub fn counts(&mut self, limit: &RetryLimit, now_ms: u64) -> SentCounts {
        self.remove_expired(limit, now_ms);
        SentCounts {
            requests: self.cells.iter().map(|c| c.requests).sum(),
            retries: self.cells.iter().map(|c| c.retries).sum(),
        }
    }

    /// Borrows a retry from the shared part, with the reports of all others.
    fn borrow(
        &mut self,
        limit: &RetryLimit,
        entries: usize,
        peers: &[PeerReport],
        now_ms: u64,
    ) -> bool {
        if peers.len() + 1 < entries {
            return false;
        }
        let counts = self.counts(limit, now_ms);
        let all = || peers.iter().map(|p| &p.counts).chain([&counts]);
        let requests: u32 = all().map(|s| s.requests).sum();
        let shared = SHARED_SHARE * limit.retries_for(f64::from(requests));
        let borrowed = |s: &SentCounts| {
            (f64::from(s.retries) - own_quota(limit, entries, s)).max(0.0)
        };
        let ended = peers.iter().filter(|p| p.is_overdue(limit)).count();
        let untold =
            ended as f64 * BORROW_SHARE * shared / entries.max(1) as f64;
        let left = shared - untold - all().map(borrowed).sum::<f64>();
        let quota = BORROW_SHARE * left / entries.max(1) as f64;
        let since_ms = now_ms.saturating_sub(self.borrowing.since_ms);
        if since_ms >= limit.report_delay_ms {
            let rounding = self.rng.f64();
            self.borrowing =
                Borrowing { since_ms: now_ms, retries: 0.0, rounding };
        }
        let Borrowing { retries, rounding, .. } = self.borrowing;
        let is_allowed = left >= 1.0 && retries + 1.0 <= quota + rounding;
        if is_allowed {
            self.borrowing.retries += 1.0;
        }
        is_allowed
    }

    fn cell(&mut self, limit: &RetryLimit, now_ms: u64) -> &mut Cell {
        self.remove_expired(limit, now_ms);
        let start_ms = now_ms - now_ms % CELL_MS;
        if self.cells.back().is_none_or(|c| c.start_ms != start_ms) {
            let cell = Cell { start_ms, requests: 0, retries: 0 };
            self.cells.push_back(cell);
        }
        self.cells.back_mut().expect("one was just added")
    }

    fn remove_expired(&mut self, limit: &RetryLimit, now_ms: u64) {
        let kept_ms = limit.window_ms + CELL_MS;
        while let Some(cell) = self.cells.front()
            && cell.start_ms + kept_ms < now_ms
        {
            self.cells.pop_front();
        }
    }
}
