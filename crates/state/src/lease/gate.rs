//! The check of fencing numbers before an engine that ignores them.
//!
//! An order that was passed on must have been answered, or its connection to
//! the engine closed, before the next is passed on: the engine itself keeps
//! no order between them.

use super::FencingNumber;

/// What becomes of an order.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum GateAnswer {
    /// It may be passed on.
    Accepted,
    /// A newer holder is known.
    Refused {
        /// The highest number known.
        highest: FencingNumber,
    },
    /// Nothing is known since the start: read the lease's row now, tell it
    /// by [`FencingGate::confirm`] and ask again. Without the table service
    /// the order is refused.
    NeedsConfirmation,
}

/// Keeps orders with an older fencing number from one engine.
///
/// The number lives in memory. An order that took effect before a restart
/// came from a holder that had written its number to the lease's row, so a
/// row read after the restart has at least that number.
#[derive(Clone, Copy, Debug, Default)]
pub struct FencingGate {
    highest: Option<FencingNumber>,
}

impl FencingGate {
    /// A gate that knows nothing yet.
    pub fn new() -> FencingGate {
        FencingGate::default()
    }

    /// Judges an order by its number.
    pub fn check(&mut self, number: FencingNumber) -> GateAnswer {
        match self.highest {
            None => GateAnswer::NeedsConfirmation,
            Some(highest) if number < highest => {
                GateAnswer::Refused { highest }
            }
            Some(_) => {
                self.highest = Some(number);
                GateAnswer::Accepted
            }
        }
    }

    /// Takes the number of the lease's row, as read after this gate was
    /// made.
    pub fn confirm(&mut self, number: FencingNumber) {
        self.highest = self.highest.max(Some(number));
    }

    /// The highest number known.
    pub fn highest(&self) -> Option<FencingNumber> {
        self.highest
    }
}
