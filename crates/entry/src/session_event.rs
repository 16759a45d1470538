//! Events that are sent to the session of a request.

use chestnutreach_protocol::wire::frame::Body;

/// An event for a session.
// Boxing the frame would cost an allocation for each token.
#[allow(clippy::large_enum_variant)]
pub(crate) enum SessionEvent {
    /// A link delivered a frame of the request.
    Frame { link_id: u64, body: Body },
    /// A link has closed.
    LinkClosed { link_id: u64 },
    /// The entry shuts down and aborts the requests that are still open.
    Abort,
}
