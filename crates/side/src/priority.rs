//! Priorities as the wire, the router and engines have them.

use chestnutreach_protocol::wire;
use chestnutreach_routing::Priority;

/// A priority as engines take it, higher first.
pub(crate) fn step_priority(priority: Priority) -> u8 {
    match priority {
        Priority::Low => 1,
        Priority::Normal => 2,
        Priority::High => 3,
    }
}

/// A priority from the wire; none given is an ordinary one.
pub(crate) fn to_priority(priority: wire::Priority) -> Priority {
    match priority {
        wire::Priority::Low => Priority::Low,
        wire::Priority::High => Priority::High,
        wire::Priority::Normal | wire::Priority::Unspecified => {
            Priority::Normal
        }
    }
}

/// A priority as it is sent.
pub(crate) fn to_wire_priority(priority: Priority) -> wire::Priority {
    match priority {
        Priority::Low => wire::Priority::Low,
        Priority::Normal => wire::Priority::Normal,
        Priority::High => wire::Priority::High,
    }
}
