//! The order of steps of one attempt at one stage.
//!
//! A stage takes the steps of an attempt in order of position, each once. A
//! repeat, a gap or another attempt's step is refused with a reason, so that
//! no layer runs twice for a token and none is missed.

/// Why a step is not taken.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum StepRefusal {
    /// The position has been taken before.
    Repeated,
    /// Positions before it are missing.
    Gap,
    /// It comes from another attempt.
    OtherAttempt,
    /// Its next layer is not the first one held here.
    WrongLayer,
    /// It covers no position, or positions past the last number.
    BadSpan,
}

impl StepRefusal {
    /// Word for logs and metrics.
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

/// The next step that an attempt may take at a stage.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct StepGate {
    attempt: u32,
    first_layer: u32,
    next_position: u32,
}

impl StepGate {
    /// A gate for an attempt at a stage that begins with `first_layer`.
    pub fn new(attempt: u32, first_layer: u32) -> StepGate {
        StepGate { attempt, first_layer, next_position: 0 }
    }

    /// Takes the step for positions `position..position + span`.
    ///
    /// # Errors
    ///
    /// The step is not the next one; the gate is unchanged.
    pub fn take(
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
        // A step that does not move the gate on could be taken again.
        let end = position.checked_add(span).filter(|end| *end > position);
        self.next_position = end.ok_or(StepRefusal::BadSpan)?;
        Ok(())
    }

    /// The position that comes next.
    pub fn next_position(&self) -> u32 {
        self.next_position
    }
}
