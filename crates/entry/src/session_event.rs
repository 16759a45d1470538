//! What reaches a request from the links.

use chestnutreach_protocol::wire::frame::Body;

/// What reaches a session from links.
// A box would cost an allocation for each token.
#[allow(clippy::large_enum_variant)]
pub(crate) enum SessionEvent {
    /// A frame of the request.
    Frame {
        /// Link it came over.
        link_id: u64,
        /// The frame.
        body: Body,
    },
    /// A link has closed.
    LinkClosed {
        /// Its number.
        link_id: u64,
    },
    /// The entry stops and gives requests no more time.
    Abort,
}
