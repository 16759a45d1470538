//! Errors of links.

use std::{error, fmt, net::SocketAddr};

/// Why a link closed.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum CloseReason {
    /// The peer closed the connection, or the network reported an error.
    Lost,
    /// Nothing was received for longer than the silence timeout.
    Silent,
    /// The send queue exceeded its limit because the peer did not read.
    Overrun,
    /// The peer violated the protocol.
    Protocol,
    /// This process closed the link.
    Local,
}

/// Why a frame was not sent or a link not opened.
#[derive(Clone, Debug)]
#[non_exhaustive]
pub enum LinkError {
    /// The link is closed.
    Closed(CloseReason),
    /// The peer did not complete the handshake before the timeout.
    Timeout(SocketAddr),
    /// The connection to the address failed.
    Unreachable(SocketAddr, String),
    /// The peer refused the connection, for instance by protocol version.
    Refused(SocketAddr, String),
    /// The frame is longer than the limit of peers. The link stays open, and
    /// the frame is not sent.
    TooLong {
        /// Length of the frame, in bytes.
        length: usize,
        /// Longest accepted frame, in bytes.
        limit: usize,
    },
}

impl fmt::Display for LinkError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            LinkError::Closed(why) => write!(f, "link is closed: {why:?}"),
            LinkError::Timeout(address) => {
                write!(f, "{address} did not answer")
            }
            LinkError::Unreachable(address, why) => {
                write!(f, "{address} cannot be reached: {why}")
            }
            LinkError::Refused(address, why) => {
                write!(f, "{address} refused the connection: {why}")
            }
            LinkError::TooLong { length, limit } => write!(
                f,
                "frame of {length} bytes is longer than {limit} bytes"
            ),
        }
    }
}

impl error::Error for LinkError {}
