//! Description and registration of metric families.

use std::fmt;

use prometheus::{
    Histogram, HistogramOpts, HistogramVec, IntCounter, IntCounterVec,
    IntGauge, IntGaugeVec, Opts, Registry, core::Collector,
};

/// Prefix of every metric name.
const PREFIX: &str = "chestnutreach";

/// Type of a metric family.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum MetricKind {
    /// Only increases during the process lifetime.
    Counter,
    /// Increases and decreases.
    Gauge,
    /// Counts observed values by bucket.
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

/// Catalogue entry of a metric family.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct MetricFamily {
    /// Name without the prefix.
    pub name: &'static str,
    /// Type of the family.
    pub kind: MetricKind,
    /// Label names, in addition to `role` and `vm`, which all metrics have.
    pub labels: &'static [&'static str],
    /// Help text.
    pub help: &'static str,
}

impl MetricFamily {
    /// Name in the exposition format, including the prefix.
    pub fn full_name(&self) -> String {
        format!("{PREFIX}_{}", self.name)
    }
}

/// Registers metric families and records their catalogue entries.
///
/// Registration panics on an invalid or duplicate name. All names are fixed
/// in the code and a test registers every family, so a clash fails the test
/// and cannot first appear in production.
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

    pub(crate) fn into_parts(self) -> (Registry, Vec<MetricFamily>) {
        (self.registry, self.families)
    }

    pub(crate) fn counter(
        &mut self,
        name: &'static str,
        help: &'static str,
    ) -> IntCounter {
        let created = IntCounter::with_opts(Opts::new(name, help));
        self.register(created, (name, MetricKind::Counter, &[], help))
    }

    pub(crate) fn counters(
        &mut self,
        name: &'static str,
        labels: &'static [&'static str],
        help: &'static str,
    ) -> IntCounterVec {
        let created = IntCounterVec::new(Opts::new(name, help), labels);
        self.register(created, (name, MetricKind::Counter, labels, help))
    }

    pub(crate) fn gauge(
        &mut self,
        name: &'static str,
        help: &'static str,
    ) -> IntGauge {
        let created = IntGauge::with_opts(Opts::new(name, help));
        self.register(created, (name, MetricKind::Gauge, &[], help))
    }

    pub(crate) fn gauges(
        &mut self,
        name: &'static str,
        labels: &'static [&'static str],
        help: &'static str,
    ) -> IntGaugeVec {
        let created = IntGaugeVec::new(Opts::new(name, help), labels);
        self.register(created, (name, MetricKind::Gauge, labels, help))
    }

    pub(crate) fn histogram(
        &mut self,
        name: &'static str,
        buckets: &[f64],
        help: &'static str,
    ) -> Histogram {
        let options = HistogramOpts::new(name, help).buckets(buckets.into());
        let created = Histogram::with_opts(options);
        self.register(created, (name, MetricKind::Histogram, &[], help))
    }

    pub(crate) fn histograms(
        &mut self,
        name: &'static str,
        labels: &'static [&'static str],
        buckets: &[f64],
        help: &'static str,
    ) -> HistogramVec {
        let options = HistogramOpts::new(name, help).buckets(buckets.into());
        let created = HistogramVec::new(options, labels);
        self.register(created, (name, MetricKind::Histogram, labels, help))
    }

    fn register<C: Collector + Clone + 'static>(
        &mut self,
        created: Result<C, prometheus::Error>,
        (name, kind, labels, help): (
            &'static str,
            MetricKind,
            &'static [&'static str],
            &'static str,
        ),
    ) -> C {
        let collector = created.expect("fixed names are valid");
        let registered = self.registry.register(Box::new(collector.clone()));
        registered.expect("fixed names are unique");
        self.families.push(MetricFamily { name, kind, labels, help });
        collector
    }
}
