//! Faults of the connections between entries and the rest of the site.
//!
//! If a site emulates links, connections to the store and to servers go
//! through relays: one between each entry and the store, and one in front of
//! each server.

use std::time::Duration;

use chestnutreach_fleet::{Direction, Relay};

/// How a link fails.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum LinkFault {
    /// All bytes are delayed by this time.
    Delayed(Duration),
    /// Each connection has so many bytes a second.
    Narrow(u64),
    /// Open connections are reset.
    Reset,
    /// Open connections drop all bytes from then on; new connections work.
    Silent,
    /// Bytes towards the server are held back until the fault ends.
    CutForth,
    /// Bytes from the server are held back until the fault ends.
    CutBack,
}

impl LinkFault {
    /// Starts the fault on a link, or ends a fault that lasts.
    pub(crate) fn set(self, relay: &Relay, is_on: bool) {
        match (self, is_on) {
            (LinkFault::Delayed(delay), true) => relay.set_delay(delay),
            (LinkFault::Delayed(_), false) => relay.set_delay(Duration::ZERO),
            (LinkFault::Narrow(rate), true) => relay.set_rate(Some(rate)),
            (LinkFault::Narrow(_), false) => relay.set_rate(None),
            (LinkFault::Reset, true) => relay.reset(),
            (LinkFault::Silent, true) => relay.blackhole(),
            (LinkFault::Reset | LinkFault::Silent, false) => {}
            (LinkFault::CutForth, is_cut) => {
                relay.set_partition(Direction::ToTarget, is_cut)
            }
            (LinkFault::CutBack, is_cut) => {
                relay.set_partition(Direction::ToCaller, is_cut)
            }
        }
    }
}
