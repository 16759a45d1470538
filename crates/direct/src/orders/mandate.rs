//! By what right an entry gives orders to engines.

use chestnutreach_planner::Scope;
use chestnutreach_state::FencingNumber;
use chestnutreach_telemetry::{Event, emit};

use crate::{core::Core, orders::lease::Lease};

/// By what right this entry gives orders.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Mandate {
    /// It holds the lease with this number.
    Lease(FencingNumber),
    /// No holder is heard of, and this entry stands in: it orders only what
    /// gives no layer up. Else the layers of engines that die are lacking
    /// until the lease of a killed holder ends, and while no entry reaches
    /// the store.
    StandIn,
}

impl Mandate {
    pub(crate) fn of(core: &Core, lease: &Lease) -> Option<Mandate> {
        let held = lease.may_act().map(Mandate::Lease);
        held.or_else(|| core.is_deputy_planner().then_some(Mandate::StandIn))
    }

    pub(crate) fn scope(self) -> Scope {
        match self {
            Mandate::Lease(_) => Scope::All,
            Mandate::StandIn => Scope::NothingGivenUp,
        }
    }

    /// The number that its orders carry.
    pub(crate) fn fence(self) -> Option<u64> {
        match self {
            Mandate::Lease(number) => Some(number.as_u64()),
            Mandate::StandIn => None,
        }
    }
}

pub(crate) fn note_mandate(last: Option<Mandate>, mandate: Option<Mandate>) {
    let (before, now) =
        (last == Some(Mandate::StandIn), mandate == Some(Mandate::StandIn));
    if before != now {
        emit(Event::StandIn, &[("stands_in", &now)]);
    }
}
