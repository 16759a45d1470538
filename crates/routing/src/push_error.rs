//! Why an item did not get into the fair queue.

use std::fmt;

/// An item that was not taken.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct PushError<T> {
    /// What was pushed.
    pub item: T,
    /// Why it was not taken.
    pub reason: PushErrorReason,
}

/// Why an item was not taken.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
#[non_exhaustive]
pub enum PushErrorReason {
    /// The queue is full.
    Full {
        /// Work that is queued.
        pending_tokens: u64,
        /// Most that may be.
        limit_tokens: u64,
    },
    /// The account holds all that is allowed to it while others need room.
    AccountFull {
        /// Its work that is queued.
        pending_tokens: u64,
        /// Most that may be now.
        allowed_tokens: u64,
    },
    /// The deadline has passed.
    Expired,
}

impl fmt::Display for PushErrorReason {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            PushErrorReason::Full { pending_tokens, limit_tokens } => {
                write!(
                    f,
                    "the queue holds {pending_tokens} of {limit_tokens} tokens"
                )
            }
            PushErrorReason::AccountFull {
                pending_tokens,
                allowed_tokens,
            } => write!(
                f,
                "the account holds {pending_tokens} of {allowed_tokens} \
                 tokens"
            ),
            PushErrorReason::Expired => f.write_str("the deadline passed"),
        }
    }
}
