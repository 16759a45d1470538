//! Permits for requests to a server that named a limit for all entries
//! together.
//!
//! An even part of the limit for each entry would be too coarse: at one
//! request a second among seventy entries each could send once in 70 s, and
//! what one does not use would be lost. So one entry, the issuer, grants
//! permits at the rate of the limit to those that want one, and a request is
//! sent only with a permit ([`PermitHolder`]). Who issues is chosen by all in
//! the same way (`membership::issuer`); here is how much is granted to whom.
//!
//! What bounds the requests in any span is that permits granted and not
//! settled count against the burst: in a span of 4 s at most the rate times
//! 4 s and the burst are used, however long each permit was held. A holder
//! tells totals of what it used and gave back, and is told the total that it
//! was granted, so that lost, late and repeated messages change no sum: a
//! lost one costs a moment, never a permit too many. Totals belong to a
//! series, which begins anew where a holder has asked another issuer since.

mod holder;
mod issuer;

pub use holder::{PermitDemand, PermitHolder};
pub use issuer::{PermitGrant, PermitIssuer};

/// How long a request that has another server looks for a permit: as long as
/// an ask and its answer take.
pub const REROUTABLE_WAIT_MS: u64 = 15;

/// What a holder of permits tells its issuer.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct PermitRequest {
    /// When it was sent, in milliseconds of the holder's clock; orders its
    /// asks and the grants that answer them.
    pub sent_ms: u64,
    /// Series of grants to which the totals belong; 0 before the first grant.
    pub series: u32,
    /// Requests that would be sent to the server now.
    pub wanted: u32,
    /// Whether one of them waits, since no other server takes it.
    pub is_waiting: bool,
    /// Urgency of the most urgent that waits, 0 first.
    pub urgency: u8,
    /// Permits used, in all.
    pub used: u64,
    /// Permits given back, in all.
    pub returned: u64,
}
