//! Kinds of requests: their sizes, deadlines and shares by sector.

use chestnutreach_routing::Priority;

/// A kind of request.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub(crate) enum RequestKind {
    /// Long prompt, short output.
    Summary,
    /// Short prompt, long output.
    Letter,
    /// Short prompt, short output.
    Lookup,
}

impl RequestKind {
    pub(crate) const ALL: [RequestKind; 3] =
        [RequestKind::Summary, RequestKind::Letter, RequestKind::Lookup];

    /// Letters and summaries have priority over lookups.
    pub(crate) fn priority(self) -> Priority {
        match self {
            RequestKind::Summary | RequestKind::Letter => Priority::High,
            RequestKind::Lookup => Priority::Low,
        }
    }
}

/// Sector of the callers, which determines their requests.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Sector {
    /// Branch counters and field agents of a lender.
    Lending,
    /// Crews and engineers of a pipeline operator.
    Pipeline,
}

/// Sizes of a kind of request.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Sizes {
    /// Minimum and maximum of the prompt.
    pub(crate) prompt_tokens: (u32, u32),
    /// Maximum that the caller states.
    pub(crate) max_output_tokens: u32,
    /// Time that the caller allows.
    pub(crate) deadline_ms: u64,
}

impl Sizes {
    /// Mean of the uniformly distributed prompt length.
    pub(crate) fn mean_prompt_tokens(&self) -> f64 {
        f64::from(self.prompt_tokens.0 + self.prompt_tokens.1) / 2.0
    }

    /// Mean of the output length, which is uniform from half to all of
    /// the stated maximum.
    pub(crate) fn mean_output_tokens(&self) -> f64 {
        f64::from(self.max_output_tokens) * 0.75
    }
}

impl Sector {
    pub(crate) fn sizes(self, kind: RequestKind) -> Sizes {
        let (prompt_tokens, max_output_tokens, deadline_ms) =
            match (self, kind) {
                (Sector::Lending, RequestKind::Summary) => {
                    ((1_500, 4_500), 300, 30_000)
                }
                (Sector::Lending, RequestKind::Letter) => {
                    ((300, 900), 350, 20_000)
                }
                (Sector::Lending, RequestKind::Lookup) => {
                    ((80, 300), 60, 8_000)
                }
                (Sector::Pipeline, RequestKind::Summary) => {
                    ((2_500, 7_500), 400, 60_000)
                }
                (Sector::Pipeline, RequestKind::Letter) => {
                    ((600, 1_800), 450, 45_000)
                }
                (Sector::Pipeline, RequestKind::Lookup) => {
                    ((100, 400), 80, 10_000)
                }
            };
        Sizes { prompt_tokens, max_output_tokens, deadline_ms }
    }

    /// Percentages of the kinds for a class of account, in the order of
    /// [`RequestKind::ALL`].
    pub(crate) fn mix_percent(self, class: &str) -> [u32; 3] {
        match (self, class) {
            (Sector::Lending, "counter") => [50, 40, 10],
            (Sector::Lending, _) => [10, 20, 70],
            (Sector::Pipeline, "engineer") => [50, 30, 20],
            (Sector::Pipeline, "regulator") => [30, 60, 10],
            (Sector::Pipeline, _) => [10, 10, 80],
        }
    }
}
