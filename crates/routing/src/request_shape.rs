//! Properties of a request that determine its routing.

use crate::priority::Priority;

/// Properties of a request that determine its chain.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct RequestShape {
    /// Length of the prompt.
    pub prompt_tokens: u32,
    /// Expected length of the output.
    pub output_tokens: u32,
    /// Time left until the caller's deadline.
    pub deadline_ms: u64,
    /// Priority of the request.
    pub priority: Priority,
    /// Key of the longest prefix of the prompt that may be cached.
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

    /// Sets the time left until the caller's deadline.
    pub fn deadline_ms(mut self, deadline_ms: u64) -> RequestShape {
        self.deadline_ms = deadline_ms;
        self
    }

    /// Sets the priority of the request.
    pub fn priority(mut self, priority: Priority) -> RequestShape {
        self.priority = priority;
        self
    }

    /// Sets the key of the longest prefix of the prompt that may be cached.
    pub fn prefix(mut self, prefix: u64) -> RequestShape {
        self.prefix = Some(prefix);
        self
    }

    /// Tokens of the prompt and the output together.
    pub fn tokens(&self) -> u32 {
        self.prompt_tokens.saturating_add(self.output_tokens)
    }
}
