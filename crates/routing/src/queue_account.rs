//! State of one client account in the fair queue.

use std::collections::BTreeSet;

use crate::priority::Priority;

/// Lead of an account's rank per priority level above low, before division
/// by its weight.
pub const LEAD_TOKENS: u64 = 4_096;

pub(crate) const LEVEL_COUNT: usize = Priority::ALL.len();

pub(crate) const DEFAULT_WEIGHT: u32 = 1;
/// Virtual time of one token at weight 1; fine-grained enough for any weight.
const SCALE: i128 = 1 << 20;

/// Position in the order in which items were pushed.
pub(crate) type Sequence = u64;
/// Tokens served divided by weight, times [`SCALE`].
pub(crate) type VirtualTime = i128;

/// State of one client account.
#[derive(Debug)]
pub(crate) struct Account {
    pub(crate) name: String,
    pub(crate) weight: u32,
    pub(crate) virtual_time: VirtualTime,
    pub(crate) pending_tokens: u64,
    pub(crate) lanes: [BTreeSet<Sequence>; LEVEL_COUNT],
    /// Rank of its entry in `by_rank`, while the account is backlogged.
    pub(crate) rank: Option<VirtualTime>,
}

impl Account {
    pub(crate) fn new(name: &str, virtual_time: VirtualTime) -> Account {
        Account {
            name: name.to_string(),
            weight: DEFAULT_WEIGHT,
            virtual_time,
            pending_tokens: 0,
            lanes: Default::default(),
            rank: None,
        }
    }

    pub(crate) fn is_idle(&self) -> bool {
        self.lanes.iter().all(BTreeSet::is_empty)
    }

    pub(crate) fn charge(&mut self, tokens: i128) {
        self.virtual_time += self.virtual_tokens(tokens);
    }

    fn virtual_tokens(&self, tokens: i128) -> VirtualTime {
        tokens * SCALE / VirtualTime::from(self.weight)
    }

    /// Rank of a backlogged account, by the highest priority of its items.
    pub(crate) fn next_rank(&self) -> Option<VirtualTime> {
        let level = self.lanes.iter().rposition(|lane| !lane.is_empty())?;
        let lead = i128::from(LEAD_TOKENS) * level as i128;
        Some(self.virtual_time - self.virtual_tokens(lead))
    }
}
