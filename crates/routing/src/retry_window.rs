//! Further arrivals where all entries share a bound in time.
//!
//! In any window, the further arrivals at a service stay under a share of
//! the requests to it plus a slack. Each entry may use its part of the slack
//! and the share of its own requests: that sum holds whatever the others do.
//! Failures fall on few entries, so an entry that has used its part borrows
//! from what the others have told that they leave. What they told is some
//! time old; in that time each entry borrows only its part of half of what
//! is left, so that all together can't pass the bound either. An entry that
//! restarts forgets what it sent; the part of the bound that is left out
//! pays for that.

use std::collections::VecDeque;

/// Time of one cell of the window, in milliseconds.
const CELL_MS: u64 = 250;
/// Part of the bound that is used; the rest covers restarts and cells that
/// straddle the window.
const USED: f64 = 0.75;

/// Part of what is left that all entries may borrow before they have told
/// each other.
const BORROWED: f64 = 0.5;
/// Time in which entries have told each other what they sent.
const TOLD_WITHIN_MS: u64 = 700;

/// The bound that all entries share.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RetryBounds {
    /// Further arrivals for each request.
    pub ratio: f64,
    /// Further arrivals that are free in each window.
    pub slack: f64,
    /// Length of the window.
    pub window_ms: u64,
}

/// What all other entries sent to a service in the window, as they told.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct OthersSent {
    /// Other entries that told.
    pub entries: usize,
    /// Requests of clients.
    pub requests: u32,
    /// Further arrivals.
    pub further: u32,
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
    pub fn note_request(&mut self, bounds: &RetryBounds, now_ms: u64) {
        self.cell(bounds, now_ms).requests += 1;
    }

    /// Takes one further arrival, where there is one; `entries` share the
    /// slack.
    pub fn take(
        &mut self,
        bounds: &RetryBounds,
        entries: usize,
        others: &OthersSent,
        now_ms: u64,
    ) -> bool {
        let is_allowed = self.left(bounds, entries, now_ms) >= 1.0
            || self.borrow(bounds, entries, others, now_ms);
        if is_allowed {
            self.cell(bounds, now_ms).further += 1;
        }
        is_allowed
    }

    /// Further arrivals that are left.
    pub fn left(
        &mut self,
        bounds: &RetryBounds,
        entries: usize,
        now_ms: u64,
    ) -> f64 {
        self.forget(bounds, now_ms);
        let requests: u32 = self.cells.iter().map(|c| c.requests).sum();
        let further: u32 = self.cells.iter().map(|c| c.further).sum();
        let slack = bounds.slack / entries.max(1) as f64;
        let bound = USED * (slack + bounds.ratio * f64::from(requests));
        bound - f64::from(further)
    }

    /// Requests and further arrivals in the window.
    pub fn sent(&mut self, bounds: &RetryBounds, now_ms: u64) -> (u32, u32) {
        self.forget(bounds, now_ms);
        let requests = self.cells.iter().map(|c| c.requests).sum();
        (requests, self.cells.iter().map(|c| c.further).sum())
    }

    /// Takes one further arrival of what the others leave.
    fn borrow(
        &mut self,
        bounds: &RetryBounds,
        entries: usize,
        others: &OthersSent,
        now_ms: u64,
    ) -> bool {
        // Without word of all others nothing is known to be left.
        if others.entries + 1 < entries {
            return false;
        }
        let (requests, further) = self.sent(bounds, now_ms);
        let requests = f64::from(requests + others.requests);
        let bound = USED * (bounds.slack + bounds.ratio * requests);
        let left = bound - f64::from(further + others.further);
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

    fn cell(&mut self, bounds: &RetryBounds, now_ms: u64) -> &mut Cell {
        self.forget(bounds, now_ms);
        let start_ms = now_ms - now_ms % CELL_MS;
        if self.cells.back().is_none_or(|c| c.start_ms != start_ms) {
            let cell = Cell { start_ms, requests: 0, further: 0 };
            self.cells.push_back(cell);
        }
        self.cells.back_mut().expect("one was just added")
    }

    fn forget(&mut self, bounds: &RetryBounds, now_ms: u64) {
        let kept_ms = bounds.window_ms + CELL_MS;
        while let Some(cell) = self.cells.front()
            && cell.start_ms + kept_ms < now_ms
        {
            self.cells.pop_front();
        }
    }
}
