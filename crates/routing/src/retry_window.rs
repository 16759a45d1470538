//! Further arrivals where all entries share a bound in time.
//!
//! In any window, the further arrivals at a service stay under a share of
//! the requests to it plus a slack. A part of that bound is dealt out: each
//! entry has its part of the slack and the share of its own requests, which
//! it may use whatever the others do. Failures fall on few entries, so
//! another part is common, and an entry that has used its own borrows from
//! it. What the others borrowed is known some time late; in that time each
//! entry borrows only its part of half of what is left, so that all together
//! can't pass the bound either. An entry that restarts forgets what it sent;
//! what is neither dealt out nor common pays for that.

use std::collections::VecDeque;

/// Time of one cell of the window, in milliseconds.
const CELL_MS: u64 = 250;
/// Part of the bound that is dealt out.
const OWN: f64 = 0.4;
/// Part of the bound that is common.
const COMMON: f64 = 0.5;

/// Part of what is left that all entries may borrow before they have told
/// each other.
const BORROWED: f64 = 0.5;
/// Time in which entries have told each other what they sent.
const TOLD_WITHIN_MS: u64 = 700;

/// The bound that all entries share.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RetryLimit {
    /// Further arrivals for each request.
    pub ratio: f64,
    /// Further arrivals that are free in each window.
    pub free_retries: f64,
    /// Length of the window.
    pub window_ms: u64,
}

impl RetryLimit {
    /// Further arrivals for so many requests.
    fn of(&self, requests: f64) -> f64 {
        self.free_retries + self.ratio * requests
    }
}

/// What an entry may use whatever the others do.
fn own_part(bounds: &RetryLimit, entries: usize, sent: &SentCounts) -> f64 {
    let slack = bounds.free_retries / entries.max(1) as f64;
    OWN * (slack + bounds.ratio * f64::from(sent.requests))
}

/// What an entry sent to a service in the window.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct SentCounts {
    /// Requests of clients.
    pub requests: u32,
    /// Further arrivals.
    pub retries: u32,
}

#[derive(Clone, Copy, Debug)]
struct Cell {
    start_ms: u64,
    requests: u32,
    further: u32,
}

/// What one entry sent to one service of late.
#[derive(Debug, Default)]
pub struct RetryWindow {
    cells: VecDeque<Cell>,
    /// When it last borrowed, and how much since then.
    borrowing: (u64, f64),
}

impl RetryWindow {
    /// A window without requests.
    pub fn new() -> RetryWindow {
        RetryWindow::default()
    }

    /// Counts a request of a client.
    pub fn record_request(&mut self, bounds: &RetryLimit, now_ms: u64) {
        self.cell(bounds, now_ms).requests += 1;
    }

    /// Takes one further arrival, where there is one. `entries` share the
    /// bound; `others` is what each other one told, where all have.
    pub fn try_take(
        &mut self,
        bounds: &RetryLimit,
        entries: usize,
        others: &[SentCounts],
        now_ms: u64,
    ) -> bool {
        let sent = self.counts(bounds, now_ms);
        let own = own_part(bounds, entries, &sent);
        let is_allowed = f64::from(sent.retries) + 1.0 <= own
            || self.borrow(bounds, entries, others, now_ms);
        if is_allowed {
            self.cell(bounds, now_ms).further += 1;
        }
        is_allowed
    }

    /// Further arrivals that are left of the own part.
    pub fn remaining(
        &mut self,
        bounds: &RetryLimit,
        entries: usize,
        now_ms: u64,
    ) -> f64 {
        let sent = self.counts(bounds, now_ms);
        let own = own_part(bounds, entries, &sent);
        (own - f64::from(sent.retries)).max(0.0)
    }

    /// What was sent in the window.
    pub fn counts(&mut self, bounds: &RetryLimit, now_ms: u64) -> SentCounts {
        self.forget(bounds, now_ms);
        SentCounts {
            requests: self.cells.iter().map(|c| c.requests).sum(),
            retries: self.cells.iter().map(|c| c.further).sum(),
        }
    }

    /// Takes one further arrival of the common part.
    fn borrow(
        &mut self,
        bounds: &RetryLimit,
        entries: usize,
        others: &[SentCounts],
        now_ms: u64,
    ) -> bool {
        // Without word of all others nothing is known to be left.
        if others.len() + 1 < entries {
            return false;
        }
        let sent = self.counts(bounds, now_ms);
        let all = || others.iter().chain([&sent]);
        let requests: u32 = all().map(|s| s.requests).sum();
        let common = COMMON * bounds.of(f64::from(requests));
        let borrowed = |s: &SentCounts| {
            (f64::from(s.retries) - own_part(bounds, entries, s)).max(0.0)
        };
        let left = common - all().map(borrowed).sum::<f64>();
        let part = BORROWED * left / entries.max(1) as f64;
        if now_ms.saturating_sub(self.borrowing.0) >= TOLD_WITHIN_MS {
            self.borrowing = (now_ms, 0.0);
        }
        let is_allowed = self.borrowing.1 + 1.0 <= part;
        if is_allowed {
            self.borrowing.1 += 1.0;
        }
        is_allowed
    }

    fn cell(&mut self, bounds: &RetryLimit, now_ms: u64) -> &mut Cell {
        self.forget(bounds, now_ms);
        let start_ms = now_ms - now_ms % CELL_MS;
        if self.cells.back().is_none_or(|c| c.start_ms != start_ms) {
            let cell = Cell { start_ms, requests: 0, further: 0 };
            self.cells.push_back(cell);
        }
        self.cells.back_mut().expect("one was just added")
    }

    fn forget(&mut self, bounds: &RetryLimit, now_ms: u64) {
        let kept_ms = bounds.window_ms + CELL_MS;
        while let Some(cell) = self.cells.front()
            && cell.start_ms + kept_ms < now_ms
        {
            self.cells.pop_front();
        }
    }
}
