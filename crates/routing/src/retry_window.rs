//! Retries under a limit that all entries share.
//!
//! In any window, the retries at a service stay below a share of its requests
//! plus a number of free retries. A share of that limit is distributed: each
//! entry has its quota of the free retries and the share of its own requests,
//! whatever the other entries use. Because failures fall on few entries,
//! another part is shared, and an entry that has used its own quota borrows
//! from it. Entries learn late what others have borrowed, and the later the
//! more entries there are ([`RetryLimit::report_delay_ms`]). In that time each
//! entry borrows at most its quota of half of the remaining part, so that all
//! entries together stay below the limit. An entry that restarts forgets its
//! retries; the share that is neither distributed nor shared covers them.

use std::collections::VecDeque;

/// Length of one cell of the window, in milliseconds.
const CELL_MS: u64 = 250;
/// Share of the limit that is distributed.
const OWN_SHARE: f64 = 0.4;
/// Share of the limit that all entries share.
const SHARED_SHARE: f64 = 0.5;

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

/// Recent requests and retries of one entry at one service.
#[derive(Debug, Default)]
pub struct RetryWindow {
    cells: VecDeque<Cell>,
    /// Time of the first borrowing of the current period, and the number of
    /// retries borrowed since.
    borrowing: (u64, f64),
}

impl RetryWindow {
    /// Starts without requests.
    pub fn new() -> RetryWindow {
        RetryWindow::default()
    }

    /// Records a first attempt.
    pub fn record_request(&mut self, limit: &RetryLimit, now_ms: u64) {
        self.cell(limit, now_ms).requests += 1;
    }

    /// Takes a retry if the limit allows one. `entries` share the limit;
    /// `peers` holds the reports of the others, if all have reported.
    pub fn try_take(
        &mut self,
        limit: &RetryLimit,
        entries: usize,
        peers: &[SentCounts],
        now_ms: u64,
    ) -> bool {
        let counts = self.counts(limit, now_ms);
        let quota = own_quota(limit, entries, &counts);
        let is_allowed = f64::from(counts.retries) + 1.0 <= quota
            || self.borrow(limit, entries, peers, now_ms);
        if is_allowed {
            self.cell(limit, now_ms).retries += 1;
        }
        is_allowed
    }

    /// Retries left of the entry's own quota.
    pub fn remaining(
        &mut self,
        limit: &RetryLimit,
        entries: usize,
        now_ms: u64,
    ) -> f64 {
        let counts = self.counts(limit, now_ms);
        let quota = own_quota(limit, entries, &counts);
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

    /// Borrows a retry from the shared part.
    fn borrow(
        &mut self,
        limit: &RetryLimit,
        entries: usize,
        peers: &[SentCounts],
        now_ms: u64,
    ) -> bool {
        // Without the reports of all peers, no retry is known to be left.
        if peers.len() + 1 < entries {
            return false;
        }
        let counts = self.counts(limit, now_ms);
        let all = || peers.iter().chain([&counts]);
        let requests: u32 = all().map(|s| s.requests).sum();
        let shared = SHARED_SHARE * limit.retries_for(f64::from(requests));
        let borrowed = |s: &SentCounts| {
            (f64::from(s.retries) - own_quota(limit, entries, s)).max(0.0)
        };
        let left = shared - all().map(borrowed).sum::<f64>();
        let quota = BORROW_SHARE * left / entries.max(1) as f64;
        let since_ms = now_ms.saturating_sub(self.borrowing.0);
        if since_ms >= limit.report_delay_ms {
            self.borrowing = (now_ms, 0.0);
        }
        let is_allowed = self.borrowing.1 + 1.0 <= quota;
        if is_allowed {
            self.borrowing.1 += 1.0;
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
