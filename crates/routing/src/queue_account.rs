//! Virtual time and lanes of one client account in the fair queue.

use std::collections::BTreeSet;

use crate::priority::Priority;

/// Lead of an account's place for each level above low, over its weight.
pub const LEAD_TOKENS: u64 = 4_096;

pub(crate) const LEVEL_COUNT: usize = Priority::ALL.len();

pub(crate) const DEFAULT_WEIGHT: u32 = 1;
/// Virtual time of one token at weight 1: fine enough for any weight.
const SCALE: i128 = 1 << 20;

/// Order in which items were pushed.
pub(crate) type Sequence = u64;
/// Tokens served over weight, times [`SCALE`].
pub(crate) type VirtualTime = i128;

/// State of one client account.
#[derive(Debug)]
pub(crate) struct Account {
    pub(crate) name: String,
    pub(crate) weight: u32,
    pub(crate) served: VirtualTime,
    pub(crate) pending_tokens: u64,
    pub(crate) lanes: [BTreeSet<Sequence>; LEVEL_COUNT],
    /// Its entry in `by_place`, while it is backlogged.
    pub(crate) place: Option<VirtualTime>,
}

impl Account {
    pub(crate) fn new(name: &str, served: VirtualTime) -> Account {
        Account {
            name: name.to_string(),
            weight: DEFAULT_WEIGHT,
            served,
            pending_tokens: 0,
            lanes: Default::default(),
            place: None,
        }
    }

    pub(crate) fn is_idle(&self) -> bool {
        self.lanes.iter().all(BTreeSet::is_empty)
    }

    pub(crate) fn charge(&mut self, tokens: i128) {
        self.served += self.virtual_tokens(tokens);
    }

    fn virtual_tokens(&self, tokens: i128) -> VirtualTime {
        tokens * SCALE / VirtualTime::from(self.weight)
    }

    /// Its place while it is backlogged: by the highest priority it has.
    pub(crate) fn next_place(&self) -> Option<VirtualTime> {
        let level = self.lanes.iter().rposition(|lane| !lane.is_empty())?;
        let lead = i128::from(LEAD_TOKENS) * level as i128;
        Some(self.served - self.virtual_tokens(lead))
    }
}
