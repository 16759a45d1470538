//! Samples as monotonic sums.
//!
//! Counters restart at 0 with their daemon. A point is the sum of all
//! increases since the first sample, over all daemons; a window is the
//! difference of two points.
//!
//! | case | increase |
//! |---|---|
//! | the same process as before | the difference |
//! | another boot id, or a lower counter | the whole new value |
//! | a daemon missing from some samples | the difference, at its next sample |
//! | a new address | none, because the time of its counts is unknown |
//!
//! Counts between the last sample of a process and its exit are lost.

use std::{collections::BTreeMap, net::SocketAddr};

use super::{
    samples::{DaemonSample, Samples, ServiceCounts},
    window::{Window, format_length},
};

/// Maximum length of a covered window over the requested length; samples
/// rarely fall exactly on the start of a window.
const MAX_WINDOW_STRETCH: f64 = 1.25;

/// Sum of increases since the first sample.
#[derive(Clone, Debug, Default)]
pub(super) struct Point {
    pub(super) at_unix_ms: u64,
    services: BTreeMap<String, ServiceCounts>,
}

/// Points of all samples.
#[derive(Debug)]
pub(super) struct Series {
    points: Vec<Point>,
    restarts: usize,
}

/// Increase of the counters of one service between two samples.
#[derive(Debug)]
pub(super) struct Increase {
    pub(super) span_ms: u64,
    pub(super) counts: ServiceCounts,
}

impl Increase {
    /// Requests that count towards the objective.
    pub(super) fn requests(&self) -> u64 {
        self.counts.requests()
    }

    /// Requests that missed the objective. The counters of a scrape are not
    /// read atomically and may be a request apart.
    pub(super) fn bad(&self) -> u64 {
        self.requests().saturating_sub(self.counts.within_target)
    }

    /// Share of requests that missed the objective, or `None` without
    /// requests.
    pub(super) fn bad_share(&self) -> Option<f64> {
        let requests = self.requests();
        (requests > 0).then(|| self.bad() as f64 / requests as f64)
    }
}

impl Series {
    /// Sums the increases between samples.
    pub(super) fn new(samples: &Samples) -> Series {
        let mut previous: BTreeMap<SocketAddr, &DaemonSample> =
            BTreeMap::new();
        let mut sum = Point::default();
        let mut series = Series { points: Vec::new(), restarts: 0 };
        for sample in samples.iter() {
            sum.at_unix_ms = sample.at_unix_ms;
            for (address, daemon) in &sample.daemons {
                if let Some(old) = previous.insert(*address, daemon) {
                    let is_restart = is_restart(old, daemon);
                    series.restarts += usize::from(is_restart);
                    sum.add_increase(
                        if is_restart { None } else { Some(old) },
                        daemon,
                    );
                }
            }
            series.points.push(sum.clone());
        }
        series
    }

    /// Restarts of daemons between samples.
    pub(super) fn restarts(&self) -> usize {
        self.restarts
    }

    /// The points, oldest first.
    pub(super) fn points(&self) -> &[Point] {
        &self.points
    }

    /// Time from the first sample to the last.
    pub(super) fn span_ms(&self) -> u64 {
        self.last().at_unix_ms - self.points[0].at_unix_ms
    }

    /// The newest point.
    ///
    /// # Panics
    ///
    /// If there are no samples.
    pub(super) fn last(&self) -> &Point {
        self.points.last().expect("a series has at least one sample")
    }

    /// Services that daemons have counted.
    pub(super) fn services(&self) -> impl Iterator<Item = &str> {
        self.last().services.keys().map(String::as_str)
    }

    /// Increase of a service in a window that ends at the last sample.
    ///
    /// # Errors
    ///
    /// The reason why the samples don't cover the window.
    pub(super) fn window(
        &self,
        service: &str,
        window: Window,
    ) -> Result<Increase, String> {
        let last = self.last();
        let start = last.at_unix_ms.checked_sub(window.length_ms());
        let before = self
            .points
            .iter()
            .rev()
            .find(|p| start.is_some_and(|start| p.at_unix_ms <= start));
        let Some(before) = before else {
            let reach = format_length(self.span_ms());
            return Err(format!("samples reach back {reach}"));
        };
        let increase = last.increase_since(before, service);
        if increase.span_ms as f64
            > window.length_ms() as f64 * MAX_WINDOW_STRETCH
        {
            let span = format_length(increase.span_ms);
            return Err(format!("samples are too far apart: {span}"));
        }
        Ok(increase)
    }

    /// Increase of a service from each sample to the next, with the time of
    /// the later sample.
    pub(super) fn steps<'a>(
        &'a self,
        service: &'a str,
    ) -> impl Iterator<Item = (u64, Increase)> + 'a {
        let pairs = self.points.windows(2);
        pairs.map(|pair| {
            (pair[1].at_unix_ms, pair[1].increase_since(&pair[0], service))
        })
    }
}

impl Point {
    fn add_increase(
        &mut self,
        old: Option<&DaemonSample>,
        new: &DaemonSample,
    ) {
        let none = ServiceCounts::default();
        for (name, counts) in &new.services {
            let old = old.and_then(|o| o.services.get(name)).unwrap_or(&none);
            let sum = self.services.entry(name.clone()).or_default();
            sum.within_target += counts.within_target - old.within_target;
            for (outcome, reason, count) in counts.iter() {
                let increase = count - old.count(outcome, reason);
                sum.add(outcome, reason, increase);
            }
        }
    }

    fn increase_since(&self, before: &Point, service: &str) -> Increase {
        let none = ServiceCounts::default();
        let old = before.services.get(service).unwrap_or(&none);
        let new = self.services.get(service).unwrap_or(&none);
        let mut counts = ServiceCounts {
            within_target: new.within_target - old.within_target,
            ..ServiceCounts::default()
        };
        for (outcome, reason, count) in new.iter() {
            let increase = count - old.count(outcome, reason);
            if increase > 0 {
                counts.add(outcome, reason, increase);
            }
        }
        Increase { span_ms: self.at_unix_ms - before.at_unix_ms, counts }
    }
}

/// Whether the daemon has restarted. A missing counter counts as 0 and so as
/// lower than before.
fn is_restart(old: &DaemonSample, new: &DaemonSample) -> bool {
    let none = ServiceCounts::default();
    let has_decreased = old.services.iter().any(|(name, old)| {
        let new = new.services.get(name).unwrap_or(&none);
        let mut outcomes = old.iter();
        new.within_target < old.within_target
            || outcomes.any(|(o, r, count)| new.count(o, r) < count)
    });
    old.boot_id != new.boot_id || old.vm != new.vm || has_decreased
}
