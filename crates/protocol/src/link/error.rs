//! Why a link ended, or a frame was not sent.

use std::{error, fmt, net::SocketAddr};

/// Why a link ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum CloseReason {
    /// The peer closed it, or the network reported an error.
    Lost,
    /// Nothing was heard for longer than the silence limit.
    Silent,
    /// The peer did not read what was sent to it.
    Overrun,
    /// The peer broke the protocol.
    Protocol,
    /// This process closed it.
    Local,
}

/// A frame could not be sent, or a peer not reached.
#[derive(Clone, Debug)]
#[non_exhaustive]
pub enum LinkError {
    /// The link has ended.
    Closed(CloseReason),
    /// The address does not answer in its time.
    Timeout(SocketAddr),
    /// The address cannot be reached.
    Unreachable(SocketAddr, String),
    /// The peer refused the connection, for instance by protocol version.
    Refused(SocketAddr, String),
    /// The frame is longer than a peer takes; the link goes on without it.
    TooLong {
        /// Length of the frame, in bytes.
        length: usize,
        /// Longest frame taken, in bytes.
        limit: usize,
    },
}

impl fmt::Display for LinkError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            LinkError::Closed(why) => write!(f, "link is closed: {why:?}"),
            LinkError::Timeout(at) => write!(f, "{at} did not answer"),
            LinkError::Unreachable(at, why) => {
                write!(f, "{at} cannot be reached: {why}")
            }
            LinkError::Refused(at, why) => {
                write!(f, "{at} refused the connection: {why}")
            }
            LinkError::TooLong { length, limit } => write!(
                f,
                "frame of {length} bytes is longer than {limit} bytes"
            ),
        }
    }
}

impl error::Error for LinkError {}
