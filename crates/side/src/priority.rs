//! Conversions between the priorities of the protocol, the routing and the
//! engines.

use chestnutreach_protocol::wire;
use chestnutreach_routing::Priority;

/// Converts a priority to that of an engine, where the highest value is the
/// most urgent.
pub(crate) fn step_priority(priority: Priority) -> u8 {
    match priority {
        Priority::Low => 1,
        Priority::Normal => 2,
        Priority::High => 3,
    }
}

/// Converts a priority from the protocol; unspecified means normal.
pub(crate) fn to_priority(priority: wire::Priority) -> Priority {
    match priority {
        wire::Priority::Low => Priority::Low,
        wire::Priority::High => Priority::High,
        wire::Priority::Normal | wire::Priority::Unspecified => {
            Priority::Normal
        }
    }
}

/// Converts a priority to that of the protocol.
pub(crate) fn to_wire_priority(priority: Priority) -> wire::Priority {
    match priority {
        Priority::Low => wire::Priority::Low,
        Priority::Normal => wire::Priority::Normal,
        Priority::High => wire::Priority::High,
    }
}
