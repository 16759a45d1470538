//! Keeps the steps of an attempt in order at one stage.
//!
//! A stage accepts the steps of an attempt once each, in order of position.
//! Repeated steps, steps after a gap and steps of another attempt are refused
//! with a reason, so that no layer runs twice for a token and none is skipped.

/// Why a step is refused.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum StepRefusal {
    /// The position was accepted before.
    Repeated,
    /// Earlier positions are missing.
    Gap,
    /// The step belongs to another attempt.
    OtherAttempt,
    /// The next layer of the step is not the first layer of this stage.
    WrongLayer,
    /// The step covers no position, or positions beyond `u32::MAX`.
    BadSpan,
}

impl StepRefusal {
    /// Label for logs and metrics.
    pub fn as_str(self) -> &'static str {
        match self {
            StepRefusal::Repeated => "repeated",
            StepRefusal::Gap => "gap",
            StepRefusal::OtherAttempt => "other_attempt",
            StepRefusal::WrongLayer => "wrong_layer",
            StepRefusal::BadSpan => "bad_span",
        }
    }
}

/// Accepts only the next step of an attempt at a stage.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct StepGate {
    attempt: u32,
    first_layer: u32,
    next_position: u32,
}

impl StepGate {
    /// The gate for an attempt at a stage whose first layer is `first_layer`.
    pub fn new(attempt: u32, first_layer: u32) -> StepGate {
        StepGate { attempt, first_layer, next_position: 0 }
    }

    /// Accepts the step for positions `position..position + span`.
    ///
    /// # Errors
    ///
    /// Returns the reason if the step is not the next one, and leaves the gate
    /// unchanged.
    pub fn accept(
        &mut self,
        attempt: u32,
        first_layer: u32,
        position: u32,
        span: u32,
    ) -> Result<(), StepRefusal> {
        if attempt != self.attempt {
            return Err(StepRefusal::OtherAttempt);
        }
        if first_layer != self.first_layer {
            return Err(StepRefusal::WrongLayer);
        }
        if position < self.next_position {
            return Err(StepRefusal::Repeated);
        }
        if position > self.next_position {
            return Err(StepRefusal::Gap);
        }
        // A step that does not advance the position could be repeated.
        let end = position.checked_add(span).filter(|end| *end > position);
        self.next_position = end.ok_or(StepRefusal::BadSpan)?;
        Ok(())
    }

    /// The position of the next step.
    pub fn next_position(&self) -> u32 {
        self.next_position
    }
}
