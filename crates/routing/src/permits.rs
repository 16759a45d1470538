//! Permits for requests to a server that announced a rate limit for all
//! entries together.
//!
//! An equal share of the limit for each entry would be too coarse: at one
//! request per second among seventy entries, each entry could send once in
//! 70 s, and unused shares would be lost. Instead, one entry, the issuer,
//! grants permits at the rate of the limit to the entries that need one, and
//! a request is sent only with a permit ([`PermitHolder`]). All entries choose
//! the issuer in the same way (`membership::issuer`); this module decides how
//! many permits each entry is granted.
//!
//! Permits that are granted and not settled count against the burst. In a span
//! of 4 s, at most the rate times 4 s plus the burst are used, however long
//! each permit was held. A holder reports the totals of permits that it used
//! and returned, and receives the total that it was granted, so lost, late and
//! repeated messages change no sum. A lost message costs a delay, never a
//! permit too many. Totals belong to a series; a new series begins after a
//! holder has asked another issuer.

mod holder;
mod issuer;

pub use holder::{PermitDemand, PermitHolder};
pub use issuer::{PermitGrant, PermitIssuer};

/// How long a request that another server could take waits for a permit: as
/// long as a permit request and its response take.
pub const REROUTABLE_WAIT_MS: u64 = 15;

/// Report of a permit holder to its issuer.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct PermitRequest {
    /// Send time in milliseconds of the holder's clock; orders the holder's
    /// reports and the grants that respond to them.
    pub sent_ms: u64,
    /// Series of grants to which the totals belong; 0 before the first grant.
    pub series: u32,
    /// Number of requests that would be sent to the server now.
    pub wanted: u32,
    /// Whether one of these requests waits because no other server takes it.
    pub is_waiting: bool,
    /// Urgency of the most urgent waiting request; 0 is the most urgent.
    pub urgency: u8,
    /// Total of permits used.
    pub used: u64,
    /// Total of permits returned unused.
    pub returned: u64,
}
