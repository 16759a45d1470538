//! An order to a backend server and its reason.

use std::fmt;

use crate::service::LayerRange;

/// Why an order is issued.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Reason {
    /// No chain covers these layers.
    FillGap,
    /// The held ranges can't be completed to a chain, so that the whole
    /// layout is rebuilt.
    RebuildLayout,
    /// The demand exceeds the capacity of the chains through these layers.
    AddCapacity,
}

impl fmt::Display for Reason {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Reason::FillGap => "no chain covers these layers",
            Reason::RebuildLayout => {
                "the held layer ranges can't be completed to a chain"
            }
            Reason::AddCapacity => {
                "the demand exceeds the capacity through these layers"
            }
        })
    }
}

/// The layers that a backend server is to hold.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Order {
    /// Name of the server.
    pub server: String,
    /// Layers to hold.
    pub range: LayerRange,
    /// Number of layers that the server has to load.
    pub loaded_layers: u32,
    /// Reason for the order.
    pub reason: Reason,
}
