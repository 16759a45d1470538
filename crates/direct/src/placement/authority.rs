//! By what right an entry gives orders to engines.

use chestnutreach_planner::OrderScope;
use chestnutreach_state::FencingNumber;
use chestnutreach_telemetry::{Event, emit};

use crate::{core::Core, placement::lease::Lease};

/// By what right this entry gives orders.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Authority {
    /// It holds the lease with this number.
    Lease(FencingNumber),
    /// No holder is heard of, and this entry stands in: it orders only what
    /// gives no layer up. Else the layers of engines that die are lacking
    /// until the lease of a killed holder ends, and while no entry reaches
    /// the store.
    Deputy,
}

impl Authority {
    pub(crate) fn of(core: &Core, lease: &Lease) -> Option<Authority> {
        let held = lease.active_fencing_number().map(Authority::Lease);
        held.or_else(|| core.is_deputy_planner().then_some(Authority::Deputy))
    }

    pub(crate) fn scope(self) -> OrderScope {
        match self {
            Authority::Lease(_) => OrderScope::All,
            Authority::Deputy => OrderScope::AdditiveOnly,
        }
    }

    /// The number that its orders carry.
    pub(crate) fn fence(self) -> Option<u64> {
        match self {
            Authority::Lease(number) => Some(number.as_u64()),
            Authority::Deputy => None,
        }
    }
}

pub(crate) fn log_authority_change(
    last: Option<Authority>,
    mandate: Option<Authority>,
) {
    let (before, now) =
        (last == Some(Authority::Deputy), mandate == Some(Authority::Deputy));
    if before != now {
        emit(Event::StandIn, &[("stands_in", &now)]);
    }
}
