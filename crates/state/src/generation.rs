//! Decides which generation of the manifest is in force on a node.
//!
//! A node learns of generations from the table service and from every message
//! of its peers, in any order and often late. The node applies only a higher
//! generation than the one in force, after fetching and checking the whole
//! manifest; until then, the generation in force stays. The result of a fetch
//! is discarded if a higher generation was observed in the meantime.
//!
//! A node keeps no state over a restart. It then adopts the highest generation
//! that the table service and the polled peers report. While the table service
//! is unavailable, the node waits until every peer has responded or failed,
//! because the first response may come from a peer that lags behind.

/// Progress of a node towards the next generation.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum NextGeneration {
    /// No higher generation is known.
    #[default]
    Unknown,
    /// A higher generation is known.
    Known(u64),
    /// The manifest of the generation is being fetched.
    Fetching(u64),
    /// The manifest of the generation is complete and checked.
    Checked(u64),
}

impl NextGeneration {
    /// The next generation; `None` if no higher one is known.
    pub fn generation(self) -> Option<u64> {
        match self {
            NextGeneration::Unknown => None,
            NextGeneration::Known(generation)
            | NextGeneration::Fetching(generation)
            | NextGeneration::Checked(generation) => Some(generation),
        }
    }
}

/// Ensures that the generation of a node only increases.
#[derive(Clone, Copy, Debug, Default)]
pub struct GenerationGate {
    in_force: Option<u64>,
    next: NextGeneration,
}

impl GenerationGate {
    /// The gate of a node without a generation.
    pub fn new() -> GenerationGate {
        GenerationGate::default()
    }

    /// The generation in force.
    pub fn in_force(&self) -> Option<u64> {
        self.in_force
    }

    /// Progress towards the next generation.
    pub fn next_generation(&self) -> NextGeneration {
        self.next
    }

    /// Records that a generation exists, and returns whether it is the highest
    /// known one.
    pub fn observe(&mut self, generation: u64) -> bool {
        let known = self.in_force.max(self.next.generation());
        let is_new = Some(generation) > known;
        if is_new {
            self.next = NextGeneration::Known(generation);
        }
        is_new
    }

    /// Starts the fetch of the next generation and returns the generation;
    /// `None` if there is nothing to fetch or a fetch is in progress.
    pub fn begin_fetch(&mut self) -> Option<u64> {
        let NextGeneration::Known(generation) = self.next else {
            return None;
        };
        self.next = NextGeneration::Fetching(generation);
        Some(generation)
    }

    /// Records that a manifest was fetched and is valid. Returns false if this
    /// generation was not being fetched.
    pub fn fetch_succeeded(&mut self, generation: u64) -> bool {
        let is_expected = self.next == NextGeneration::Fetching(generation);
        if is_expected {
            self.next = NextGeneration::Checked(generation);
        }
        is_expected
    }

    /// Records that a manifest could not be fetched or was not valid. The
    /// manifest is to be fetched again from another source.
    pub fn fetch_failed(&mut self, generation: u64) {
        if self.next == NextGeneration::Fetching(generation) {
            self.next = NextGeneration::Known(generation);
        }
    }

    /// Discards a generation that no source can provide, so that a lower one
    /// above the generation in force can be observed again.
    pub fn abandon(&mut self, generation: u64) {
        if self.next.generation() == Some(generation) {
            self.next = NextGeneration::Unknown;
        }
    }

    /// Puts a checked generation in force. Returns false if this generation
    /// has not been checked.
    pub fn put_in_force(&mut self, generation: u64) -> bool {
        let is_checked = self.next == NextGeneration::Checked(generation);
        if is_checked {
            self.in_force = Some(generation);
            self.next = NextGeneration::Unknown;
        }
        is_checked
    }
}

/// What a restarted node is to do next.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum StartupDecision {
    /// Wait for more responses.
    Wait,
    /// Adopt this generation, the highest one reported.
    Adopt(u64),
    /// No generation was reported: start a new poll.
    PollAgain,
}

/// The poll of a restarted node: one request to the table service, and one to
/// each of several peers.
#[derive(Clone, Copy, Debug)]
pub struct StartupPoll {
    is_store_pending: bool,
    has_store_responded: bool,
    pending_peers: usize,
    highest: Option<u64>,
}

impl StartupPoll {
    /// A poll of the table service and of this number of peers.
    pub fn new(peers: usize) -> StartupPoll {
        StartupPoll {
            is_store_pending: true,
            has_store_responded: false,
            pending_peers: peers,
            highest: None,
        }
    }

    /// Records the generation of the table service; `None` if it has no
    /// manifest.
    pub fn store_responded(&mut self, generation: Option<u64>) {
        self.is_store_pending = false;
        self.has_store_responded = true;
        self.highest = self.highest.max(generation);
    }

    /// Records that the table service did not respond by the deadline.
    pub fn store_failed(&mut self) {
        self.is_store_pending = false;
    }

    /// Records the generation in force on a peer; `None` if it has none.
    pub fn peer_responded(&mut self, generation: Option<u64>) {
        self.pending_peers = self.pending_peers.saturating_sub(1);
        self.highest = self.highest.max(generation);
    }

    /// Records that a peer did not respond by the deadline.
    pub fn peer_failed(&mut self) {
        self.pending_peers = self.pending_peers.saturating_sub(1);
    }

    /// What to do next. The response of the table service alone is enough,
    /// because no peer has a generation that the table service has not
    /// accepted.
    pub fn decision(&self) -> StartupDecision {
        let has_all = !self.is_store_pending && self.pending_peers == 0;
        if !has_all && !self.has_store_responded {
            return StartupDecision::Wait;
        }
        match self.highest {
            Some(generation) => StartupDecision::Adopt(generation),
            None if has_all => StartupDecision::PollAgain,
            None => StartupDecision::Wait,
        }
    }
}
