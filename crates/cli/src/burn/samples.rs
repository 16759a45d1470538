//! The file of samples.
//!
//! The file is replaced atomically by a rename, so that an interrupted run
//! leaves the old file. An unreadable file is never overwritten.

use std::{
    collections::BTreeMap,
    fs, io,
    net::SocketAddr,
    path::{Path, PathBuf},
};

use anyhow::{Context as _, ensure};
use serde::{Deserialize, Serialize};

use super::window::Window;

/// Format version of the file.
const VERSION: u32 = 1;
/// Minimum retention of samples.
const MIN_RETENTION_MS: u64 = 3 * 24 * 60 * 60 * 1_000;
/// Reason of invalid requests, which do not count towards the objective.
const BAD_REQUEST: &str = "bad_request";

/// Samples, oldest first.
#[derive(Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub(super) struct Samples {
    version: u32,
    samples: Vec<Sample>,
}

/// The counters of the daemons that responded.
#[derive(Clone, Debug, Default, Deserialize, Serialize)]
pub(super) struct Sample {
    pub(super) at_unix_ms: u64,
    pub(super) daemons: BTreeMap<SocketAddr, DaemonSample>,
}

/// The counters of one daemon.
#[derive(Clone, Debug, Default, Deserialize, Serialize)]
pub(super) struct DaemonSample {
    pub(super) vm: String,
    pub(super) boot_id: u64,
    pub(super) services: BTreeMap<String, ServiceCounts>,
}

/// The counters of one service.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub(super) struct ServiceCounts {
    /// Requests completed within the target of the service.
    pub(super) within_target: u64,
    /// Requests by outcome and reason.
    pub(super) outcomes: BTreeMap<String, BTreeMap<String, u64>>,
}

impl ServiceCounts {
    /// Adds requests with an outcome and reason.
    pub(super) fn add(&mut self, outcome: &str, reason: &str, count: u64) {
        let reasons = self.outcomes.entry(outcome.to_owned()).or_default();
        *reasons.entry(reason.to_owned()).or_default() += count;
    }

    /// Requests by outcome and reason.
    pub(super) fn iter(&self) -> impl Iterator<Item = (&str, &str, u64)> {
        self.outcomes.iter().flat_map(|(outcome, reasons)| {
            let reasons = reasons.iter();
            reasons.map(|(r, count)| (outcome.as_str(), r.as_str(), *count))
        })
    }

    /// Requests that count towards the objective.
    pub(super) fn requests(&self) -> u64 {
        let counted = self.iter().filter(|(_, r, _)| *r != BAD_REQUEST);
        counted.map(|(_, _, count)| count).sum()
    }

    /// Requests with an outcome and reason.
    pub(super) fn count(&self, outcome: &str, reason: &str) -> u64 {
        let reasons = self.outcomes.get(outcome);
        reasons.and_then(|r| r.get(reason)).copied().unwrap_or(0)
    }
}

impl Default for Samples {
    fn default() -> Samples {
        Samples { version: VERSION, samples: Vec::new() }
    }
}

impl Samples {
    /// Loads the samples of a file; a missing file has no samples.
    pub(super) fn load(path: &Path) -> anyhow::Result<Samples> {
        let text = match fs::read_to_string(path) {
            Ok(text) => text,
            Err(e) if e.kind() == io::ErrorKind::NotFound => {
                return Ok(Samples::default());
            }
            Err(e) => return Err(e).with_context(|| unreadable(path)),
        };
        let samples: Samples =
            serde_json::from_str(&text).with_context(|| unreadable(path))?;
        let version = samples.version;
        ensure!(
            version == VERSION,
            "{}: format version {version} is not supported; this tool \
             supports {VERSION}",
            path.display(),
        );
        let times = samples.samples.iter().map(|sample| sample.at_unix_ms);
        ensure!(
            times.is_sorted(),
            "{}: the samples are not in time order",
            path.display(),
        );
        Ok(samples)
    }

    /// Replaces the file.
    pub(super) fn save(&self, path: &Path) -> anyhow::Result<()> {
        let cannot_write = || format!("cannot write {}", path.display());
        let mut name = path.as_os_str().to_owned();
        name.push(".new");
        let new = PathBuf::from(name);
        let text = serde_json::to_string(self)?;
        fs::write(&new, text).with_context(cannot_write)?;
        fs::rename(&new, path).with_context(cannot_write)
    }

    /// Adds the newest sample and drops samples that no window needs.
    pub(super) fn push(
        &mut self,
        sample: Sample,
        windows: &[Window],
    ) -> anyhow::Result<()> {
        let last = self.samples.last().map_or(0, |s| s.at_unix_ms);
        let now = sample.at_unix_ms;
        ensure!(
            now > last,
            "the last sample was taken at Unix time {last} ms and it is now \
             {now} ms; the system clock went backwards",
        );
        let longest = windows.iter().map(|w| w.length_ms()).max();
        let retention_ms =
            longest.unwrap_or(0).saturating_mul(2).max(MIN_RETENTION_MS);
        self.samples.retain(|s| s.at_unix_ms + retention_ms >= now);
        self.samples.push(sample);
        Ok(())
    }

    /// Whether there are no samples.
    pub(super) fn is_empty(&self) -> bool {
        self.samples.is_empty()
    }

    /// The samples, oldest first.
    pub(super) fn iter(&self) -> std::slice::Iter<'_, Sample> {
        self.samples.iter()
    }
}

fn unreadable(path: &Path) -> String {
    format!("the samples in {} cannot be read", path.display())
}
