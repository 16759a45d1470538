//! An order and its reason.

use std::fmt;

use crate::service::LayerRange;

/// Why an order is given.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Reason {
    /// No chain covers these layers.
    FillsGap,
    /// No chain can be made of what is held, so all is laid out again.
    LaysOutAnew,
    /// The demand is above what chains carry through these layers.
    AddsCapacity,
}

impl fmt::Display for Reason {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Reason::FillsGap => "no chain covers these layers",
            Reason::LaysOutAnew => "no chain can be made of what is held",
            Reason::AddsCapacity => "the demand is above the capacity here",
        })
    }
}

/// What a backend server is to hold.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Order {
    /// Its name.
    pub server: String,
    /// The layers.
    pub range: LayerRange,
    /// Layers that it has to load.
    pub loaded_layers: u32,
    /// Why.
    pub reason: Reason,
}
