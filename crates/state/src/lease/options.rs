//! Durations of a lease.

use std::{error, fmt};

/// Durations of a lease. Processes that share a lease may use different ones.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct LeaseOptions {
    duration_ms: u64,
    renew_before_ms: u64,
    margin_ms: u64,
}

impl Default for LeaseOptions {
    fn default() -> LeaseOptions {
        LeaseOptions {
            duration_ms: 10_000,
            renew_before_ms: 6_000,
            margin_ms: 1_000,
        }
    }
}

impl LeaseOptions {
    /// A lease of `duration_ms`. The holder stops `margin_ms` before the end
    /// of the lease, and renews the lease `renew_before_ms` before it would
    /// stop.
    ///
    /// # Errors
    ///
    /// Returns an error if the margin is 0 or no time is left before the first
    /// renewal.
    pub fn new(
        duration_ms: u64,
        renew_before_ms: u64,
        margin_ms: u64,
    ) -> Result<LeaseOptions, LeaseOptionsError> {
        let options = LeaseOptions { duration_ms, renew_before_ms, margin_ms };
        if margin_ms == 0 {
            return Err(LeaseOptionsError::NoMargin);
        }
        let used_ms = renew_before_ms.saturating_add(margin_ms);
        if used_ms >= duration_ms {
            return Err(LeaseOptionsError::TooShort { duration_ms, used_ms });
        }
        Ok(options)
    }

    /// Time for which the row must not change before another process may take
    /// the lease over.
    pub fn duration_ms(&self) -> u64 {
        self.duration_ms
    }

    /// Time between the first renewal and the time at which the holder would
    /// stop.
    pub fn renew_before_ms(&self) -> u64 {
        self.renew_before_ms
    }

    /// Time between the stop of the holder and the end of the lease.
    pub fn margin_ms(&self) -> u64 {
        self.margin_ms
    }

    /// Time for which the holder may issue orders after it has sent a write.
    pub(super) fn held_ms(&self) -> u64 {
        self.duration_ms - self.margin_ms
    }
}

/// Why durations are not valid.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
#[non_exhaustive]
pub enum LeaseOptionsError {
    /// Without a margin, a holder stops only when another may begin.
    NoMargin,
    /// The duration is not longer than margin and renewal time together.
    TooShort {
        /// Duration of the lease.
        duration_ms: u64,
        /// Margin and renewal time together.
        used_ms: u64,
    },
}

impl fmt::Display for LeaseOptionsError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            LeaseOptionsError::NoMargin => {
                write!(f, "lease margin of 0 ms is less than 1 ms")
            }
            LeaseOptionsError::TooShort { duration_ms, used_ms } => write!(
                f,
                "lease duration of {duration_ms} ms is not longer than \
                 margin and renewal together, {used_ms} ms"
            ),
        }
    }
}

impl error::Error for LeaseOptionsError {}
