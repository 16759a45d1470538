//! What other processes reported to have sent.
//!
//! A report outlives its process by the window of the retry limit, since what
//! the process sent counts for that long.

use std::collections::BTreeMap;

use chestnutreach_membership::roster::Roster;

use crate::retry_window::{PeerReport, SentCounts};

/// The last reports of other processes.
#[derive(Clone, Debug, Default)]
pub struct RetryReports {
    reports: BTreeMap<u64, Report>,
}

#[derive(Clone, Debug)]
struct Report {
    sent_ms: u64,
    /// What the process had sent, by service.
    counts: BTreeMap<String, SentCounts>,
}

impl RetryReports {
    /// Starts without reports.
    pub fn new() -> RetryReports {
        RetryReports::default()
    }

    /// Records a report of a process, and drops those that are older than the
    /// window.
    pub fn record(
        &mut self,
        boot_id: u64,
        sent_ms: u64,
        counts: impl IntoIterator<Item = (String, SentCounts)>,
        window_ms: u64,
        now_ms: u64,
    ) {
        let counts = counts.into_iter().collect();
        self.reports.insert(boot_id, Report { sent_ms, counts });
        self.reports.retain(|_, report| {
            now_ms.saturating_sub(report.sent_ms) < window_ms
        });
    }

    /// The reports of all processes on a service; `None` unless each entry of
    /// the roster was heard within a time.
    pub fn of_service(
        &self,
        service: &str,
        roster: &Roster,
        within_ms: u64,
        now_ms: u64,
    ) -> Option<Vec<PeerReport>> {
        if !roster.are_all_heard(within_ms, now_ms) {
            return None;
        }
        let report = |report: &Report| PeerReport {
            counts: report.counts.get(service).copied().unwrap_or_default(),
            age_ms: now_ms.saturating_sub(report.sent_ms),
        };
        Some(self.reports.values().map(report).collect())
    }

    /// Mean number of requests that a process sent in the window; `None`
    /// without reports.
    pub fn mean_requests(&self) -> Option<f64> {
        let requests = |report: &Report| -> f64 {
            let counts = report.counts.values();
            counts.map(|counts| f64::from(counts.requests)).sum()
        };
        let total: f64 = self.reports.values().map(requests).sum();
        let count = self.reports.len();
        (count > 0).then(|| total / count as f64)
    }
}
