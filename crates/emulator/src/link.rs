//! Faults of the connections between entries and the rest of the site.
//!
//! Where a site has links, connections to the store and to servers pass a
//! relay of their own: one for each entry's way to the store, one before each
//! server.

use std::time::Duration;

use chestnutreach_fleet::{Direction, Relay};

/// How a link fails.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum LinkFault {
    /// What passes is late by this time.
    Delayed(Duration),
    /// The connections that are open are reset.
    Reset,
    /// The connections that are open fall silent for good.
    Silent,
    /// Nothing reaches the other end for a time.
    CutForth,
    /// Nothing comes back for a time.
    CutBack,
}

impl LinkFault {
    /// Begins on a link, or ends where it lasts.
    pub(crate) fn set(self, relay: &Relay, is_on: bool) {
        match (self, is_on) {
            (LinkFault::Delayed(delay), true) => relay.set_delay(delay),
            (LinkFault::Delayed(_), false) => relay.set_delay(Duration::ZERO),
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
