//! Checks fencing numbers on behalf of an engine that does not check them.
//!
//! Before the next order is forwarded, the previous order must have a
//! response, or its connection to the engine must be closed: the engine does
//! not keep orders in sequence.

use super::FencingNumber;

/// What to do with an order.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum FencingDecision {
    /// Forward the order.
    Accepted,
    /// Refuse the order: a newer holder is known.
    Refused {
        /// The highest known fencing number.
        highest: FencingNumber,
    },
    /// No number is known since the start. Read the row of the lease, pass
    /// its number to [`FencingGate::confirm`] and check again. If the table
    /// service is unavailable, refuse the order.
    NeedsConfirmation,
}

/// Refuses orders to one engine that carry an older fencing number.
///
/// The highest number is kept in memory only. An order that took effect before
/// a restart came from a holder that had written its number to the row of the
/// lease, so a row that is read after the restart has at least that number.
#[derive(Clone, Copy, Debug, Default)]
pub struct FencingGate {
    highest: Option<FencingNumber>,
}

impl FencingGate {
    /// A gate that knows no number yet.
    pub fn new() -> FencingGate {
        FencingGate::default()
    }

    /// Checks the number of an order.
    pub fn check(&mut self, number: FencingNumber) -> FencingDecision {
        match self.highest {
            None => FencingDecision::NeedsConfirmation,
            Some(highest) if number < highest => {
                FencingDecision::Refused { highest }
            }
            Some(_) => {
                self.highest = Some(number);
                FencingDecision::Accepted
            }
        }
    }

    /// Records the number in the row of the lease, which must have been read
    /// after this gate was created.
    pub fn confirm(&mut self, number: FencingNumber) {
        self.highest = self.highest.max(Some(number));
    }

    /// The highest known number.
    pub fn highest(&self) -> Option<FencingNumber> {
        self.highest
    }
}
