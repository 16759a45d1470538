//! The authority under which an entry sends orders to engines.

use chestnutreach_planner::OrderScope;
use chestnutreach_state::FencingNumber;
use chestnutreach_telemetry::{Event, emit};

use crate::{core::Core, placement::lease::Lease};

/// Authority under which this entry sends orders.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Authority {
    /// The entry holds the lease with this fencing number.
    Lease(FencingNumber),
    /// No holder is known, and this entry is the deputy planner. It sends only
    /// orders that release no layer. Without a deputy, the layers of failed
    /// engines would be missing until the lease of a killed holder ends, and
    /// while no entry reaches the store.
    Deputy,
}

impl Authority {
    pub(crate) fn of(core: &Core, lease: &Lease) -> Option<Authority> {
        let lease_authority =
            lease.active_fencing_number().map(Authority::Lease);
        lease_authority
            .or_else(|| core.is_deputy_planner().then_some(Authority::Deputy))
    }

    pub(crate) fn scope(self) -> OrderScope {
        match self {
            Authority::Lease(_) => OrderScope::All,
            Authority::Deputy => OrderScope::AdditiveOnly,
        }
    }

    /// Fencing number that the orders carry.
    pub(crate) fn fence(self) -> Option<u64> {
        match self {
            Authority::Lease(number) => Some(number.as_u64()),
            Authority::Deputy => None,
        }
    }
}

pub(crate) fn log_authority_change(
    previous: Option<Authority>,
    current: Option<Authority>,
) {
    let (before, now) = (
        previous == Some(Authority::Deputy),
        current == Some(Authority::Deputy),
    );
    if before != now {
        emit(Event::StandIn, &[("stands_in", &now)]);
    }
}
