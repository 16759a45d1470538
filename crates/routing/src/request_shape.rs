//! What matters of a request for routing.

use crate::priority::Priority;

/// What matters of a request for the choice of its chain.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct RequestShape {
    /// Length of the prompt.
    pub prompt_tokens: u32,
    /// Expected length of the answer.
    pub output_tokens: u32,
    /// What is left of the caller's time, from now.
    pub deadline_ms: u64,
    /// How urgent it is.
    pub priority: Priority,
    /// Key of its longest prefix that may be cached.
    pub prefix: Option<u64>,
}

impl RequestShape {
    /// A request of normal priority without a deadline or prefix.
    pub fn new(prompt_tokens: u32, output_tokens: u32) -> RequestShape {
        RequestShape {
            prompt_tokens,
            output_tokens,
            deadline_ms: u64::MAX,
            priority: Priority::Normal,
            prefix: None,
        }
    }

    /// What is left of the caller's time, from now.
    pub fn deadline_ms(mut self, deadline_ms: u64) -> RequestShape {
        self.deadline_ms = deadline_ms;
        self
    }

    /// How urgent it is.
    pub fn priority(mut self, priority: Priority) -> RequestShape {
        self.priority = priority;
        self
    }

    /// Key of its longest prefix that may be cached.
    pub fn prefix(mut self, prefix: u64) -> RequestShape {
        self.prefix = Some(prefix);
        self
    }

    /// Prompt and answer together.
    pub fn tokens(&self) -> u32 {
        self.prompt_tokens.saturating_add(self.output_tokens)
    }
}
