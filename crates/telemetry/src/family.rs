//! What one metric is, and registering it.

use std::fmt;

use prometheus::{
    Histogram, HistogramOpts, HistogramVec, IntCounter, IntCounterVec,
    IntGauge, IntGaugeVec, Opts, Registry, core::Collector,
};

/// Name that every metric begins with.
const PREFIX: &str = "chestnutreach";

/// How a metric moves.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum MetricKind {
    /// Only grows while the process lives.
    Counter,
    /// Goes up and down.
    Gauge,
    /// Counts values by size.
    Histogram,
}

impl fmt::Display for MetricKind {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            MetricKind::Counter => "counter",
            MetricKind::Gauge => "gauge",
            MetricKind::Histogram => "histogram",
        })
    }
}

/// One metric, as in the catalogue.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct MetricFamily {
    /// Name without the prefix.
    pub name: &'static str,
    /// How it moves.
    pub kind: MetricKind,
    /// Names of its labels, besides the role and VM that all have.
    pub labels: &'static [&'static str],
    /// What it tells.
    pub help: &'static str,
}

impl MetricFamily {
    /// The name that is exposed.
    pub fn full_name(&self) -> String {
        format!("{PREFIX}_{}", self.name)
    }
}

/// Registers metrics and remembers which.
///
/// Names are fixed in the code and a test makes them all, so that a clash
/// panics there and not at run time.
pub(crate) struct Registrar {
    registry: Registry,
    families: Vec<MetricFamily>,
}

impl Registrar {
    pub(crate) fn new(role: &str, vm: &str) -> Registrar {
        let labels = [("role", role), ("vm", vm)]
            .map(|(k, v)| (k.to_owned(), v.to_owned()));
        let registry = Registry::new_custom(
            Some(PREFIX.to_owned()),
            Some(labels.into_iter().collect()),
        );
        let registry = registry.expect("the prefix is not empty");
        Registrar { registry, families: Vec::new() }
    }

    pub(crate) fn finish(self) -> (Registry, Vec<MetricFamily>) {
        (self.registry, self.families)
    }

    pub(crate) fn counter(
        &mut self,
        name: &'static str,
        help: &'static str,
    ) -> IntCounter {
        let made = IntCounter::with_opts(Opts::new(name, help));
        self.keep(made, (name, MetricKind::Counter, &[], help))
    }

    pub(crate) fn counters(
        &mut self,
        name: &'static str,
        labels: &'static [&'static str],
        help: &'static str,
    ) -> IntCounterVec {
        let made = IntCounterVec::new(Opts::new(name, help), labels);
        self.keep(made, (name, MetricKind::Counter, labels, help))
    }

    pub(crate) fn gauge(
        &mut self,
        name: &'static str,
        help: &'static str,
    ) -> IntGauge {
        let made = IntGauge::with_opts(Opts::new(name, help));
        self.keep(made, (name, MetricKind::Gauge, &[], help))
    }

    pub(crate) fn gauges(
        &mut self,
        name: &'static str,
        labels: &'static [&'static str],
        help: &'static str,
    ) -> IntGaugeVec {
        let made = IntGaugeVec::new(Opts::new(name, help), labels);
        self.keep(made, (name, MetricKind::Gauge, labels, help))
    }

    pub(crate) fn histogram(
        &mut self,
        name: &'static str,
        buckets: &[f64],
        help: &'static str,
    ) -> Histogram {
        let options = HistogramOpts::new(name, help).buckets(buckets.into());
        let made = Histogram::with_opts(options);
        self.keep(made, (name, MetricKind::Histogram, &[], help))
    }

    pub(crate) fn histograms(
        &mut self,
        name: &'static str,
        labels: &'static [&'static str],
        buckets: &[f64],
        help: &'static str,
    ) -> HistogramVec {
        let options = HistogramOpts::new(name, help).buckets(buckets.into());
        let made = HistogramVec::new(options, labels);
        self.keep(made, (name, MetricKind::Histogram, labels, help))
    }

    fn keep<C: Collector + Clone + 'static>(
        &mut self,
        made: Result<C, prometheus::Error>,
        (name, kind, labels, help): (
            &'static str,
            MetricKind,
            &'static [&'static str],
            &'static str,
        ),
    ) -> C {
        let collector = made.expect("fixed names are valid");
        let registered = self.registry.register(Box::new(collector.clone()));
        registered.expect("fixed names are unique");
        self.families.push(MetricFamily { name, kind, labels, help });
        collector
    }
}
