//! Durations such as `90s`, `5m`, `6h` and `3d`.

use std::{fmt, str::FromStr};

use anyhow::{Context as _, bail, ensure};

const SECOND_MS: u64 = 1_000;
const MINUTE_MS: u64 = 60 * SECOND_MS;
const HOUR_MS: u64 = 60 * MINUTE_MS;
const DAY_MS: u64 = 24 * HOUR_MS;
const MAX_MS: u64 = 30 * DAY_MS;
/// Units, longest first.
const UNITS: [(&str, u64); 4] =
    [("d", DAY_MS), ("h", HOUR_MS), ("m", MINUTE_MS), ("s", SECOND_MS)];

/// A duration to look back.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) struct Window {
    length_ms: u64,
}

impl Window {
    pub(super) fn length_ms(self) -> u64 {
        self.length_ms
    }
}

impl FromStr for Window {
    type Err = anyhow::Error;

    fn from_str(text: &str) -> anyhow::Result<Window> {
        let is_unit = |c: char| c.is_ascii_alphabetic();
        let at = text.find(is_unit).unwrap_or(text.len());
        let (number, unit) = text.split_at(at);
        let Some((_, unit_ms)) = UNITS.iter().find(|(name, _)| *name == unit)
        else {
            bail!("{text:?} must end in s, m, h or d");
        };
        let number: u64 = number
            .parse()
            .with_context(|| format!("{text:?} must begin with a number"))?;
        let length_ms = number.saturating_mul(*unit_ms);
        let is_in_range = (SECOND_MS..=MAX_MS).contains(&length_ms);
        ensure!(is_in_range, "{text} is out of range; it must be 1s..=30d");
        Ok(Window { length_ms })
    }
}

impl fmt::Display for Window {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&format_length(self.length_ms))
    }
}

/// Formats a duration in its two largest non-zero units.
pub(super) fn format_length(mut length_ms: u64) -> String {
    let mut parts = Vec::new();
    for (name, unit_ms) in UNITS {
        let count = length_ms / unit_ms;
        length_ms %= unit_ms;
        if count > 0 && parts.len() < 2 {
            parts.push(format!("{count}{name}"));
        }
    }
    if parts.is_empty() { "0s".to_owned() } else { parts.join(" ") }
}
