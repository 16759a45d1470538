//! Times of a lease.

use std::{error, fmt};

/// Times of a lease; all processes that share one may differ in them.
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
    /// A lease of `duration_ms` whose holder stops `margin_ms` before its
    /// end and renews it `renew_before_ms` before that.
    ///
    /// # Errors
    ///
    /// The margin is 0, or no time is left before the first renewal.
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

    /// How long the row must stand unchanged before another may take it.
    pub fn duration_ms(&self) -> u64 {
        self.duration_ms
    }

    /// How long before its end the holder renews its time.
    pub fn renew_before_ms(&self) -> u64 {
        self.renew_before_ms
    }

    /// How long before the lease's end the holder stops.
    pub fn margin_ms(&self) -> u64 {
        self.margin_ms
    }

    /// How long a holder may act from when it sent its write.
    pub(super) fn held_ms(&self) -> u64 {
        self.duration_ms - self.margin_ms
    }
}

/// Why times make no lease.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
#[non_exhaustive]
pub enum LeaseOptionsError {
    /// The holder would stop only when another may begin.
    NoMargin,
    /// The duration must be longer than margin and renewal together.
    TooShort {
        /// Duration of the lease.
        duration_ms: u64,
        /// Margin and renewal together.
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
