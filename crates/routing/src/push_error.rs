//! Errors of a push to the fair queue.

use std::fmt;

/// An item that the queue did not accept.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct PushError<T> {
    /// The item that was pushed.
    pub item: T,
    /// Why the queue did not accept the item.
    pub reason: PushErrorReason,
}

/// Why the queue did not accept an item.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
#[non_exhaustive]
pub enum PushErrorReason {
    /// The queue is full.
    Full {
        /// Queued work.
        pending_tokens: u64,
        /// Limit on queued work.
        limit_tokens: u64,
    },
    /// The account holds its full allowance while other accounts need space.
    AccountFull {
        /// Queued work of the account.
        pending_tokens: u64,
        /// Current allowance of the account.
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
            PushErrorReason::Expired => f.write_str("the deadline has passed"),
        }
    }
}
