//! Which generation of the manifest a node has in force.
//!
//! A node hears of generations from the table service and on every message
//! of its peers, in any order and often late. It applies only a higher one
//! than it has, and only after it has fetched and checked the whole of it;
//! until then the one in force stays. A fetch that ends after a higher
//! generation was heard of is of no more use.
//!
//! A node keeps nothing over a restart. It then takes the highest generation
//! of the table service and the peers that it asked; when the table service
//! is down, it waits for every peer's answer or failure, since the first
//! answer may be that of a peer that lags.

/// How far a node is with the generation that comes next.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum Applying {
    /// No higher generation is known.
    #[default]
    Nothing,
    /// It was heard of.
    Seen(u64),
    /// Its manifest is being fetched.
    Fetching(u64),
    /// Its manifest is here, whole and checked.
    Checked(u64),
}

impl Applying {
    /// The generation; none where no higher one is known.
    pub fn generation(self) -> Option<u64> {
        match self {
            Applying::Nothing => None,
            Applying::Seen(generation)
            | Applying::Fetching(generation)
            | Applying::Checked(generation) => Some(generation),
        }
    }
}

/// Lets a node's generation only rise.
#[derive(Clone, Copy, Debug, Default)]
pub struct GenerationGate {
    in_force: Option<u64>,
    applying: Applying,
}

impl GenerationGate {
    /// A node without a generation.
    pub fn new() -> GenerationGate {
        GenerationGate::default()
    }

    /// The generation in force.
    pub fn in_force(&self) -> Option<u64> {
        self.in_force
    }

    /// How far the next generation is.
    pub fn applying(&self) -> Applying {
        self.applying
    }

    /// Notes that a generation exists; true when it is the highest so far.
    pub fn hear(&mut self, generation: u64) -> bool {
        let known = self.in_force.max(self.applying.generation());
        let is_news = Some(generation) > known;
        if is_news {
            self.applying = Applying::Seen(generation);
        }
        is_news
    }

    /// The generation to fetch now; none while one is being fetched.
    pub fn begin_fetch(&mut self) -> Option<u64> {
        let Applying::Seen(generation) = self.applying else {
            return None;
        };
        self.applying = Applying::Fetching(generation);
        Some(generation)
    }

    /// Notes that the manifest of a generation is here and sound; false when
    /// it is not the one that was being fetched.
    pub fn fetched(&mut self, generation: u64) -> bool {
        let is_wanted = self.applying == Applying::Fetching(generation);
        if is_wanted {
            self.applying = Applying::Checked(generation);
        }
        is_wanted
    }

    /// Notes that a manifest could not be fetched, or was not sound; it is
    /// to be fetched again, from elsewhere.
    pub fn fetch_failed(&mut self, generation: u64) {
        if self.applying == Applying::Fetching(generation) {
            self.applying = Applying::Seen(generation);
        }
    }

    /// Gives up a generation that nobody can give, so that a lower one that
    /// is still higher than the one in force can be heard of again.
    pub fn give_up(&mut self, generation: u64) {
        if self.applying.generation() == Some(generation) {
            self.applying = Applying::Nothing;
        }
    }

    /// Puts the checked generation in force; false when it is not the
    /// checked one.
    pub fn put_in_force(&mut self, generation: u64) -> bool {
        let is_ready = self.applying == Applying::Checked(generation);
        if is_ready {
            self.in_force = Some(generation);
            self.applying = Applying::Nothing;
        }
        is_ready
    }
}

/// What a restarted node is to do.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum StartOutcome {
    /// Answers are still to come.
    Waiting,
    /// Hear of this generation; it is the highest that anyone named.
    Take(u64),
    /// Nobody named one: ask again.
    Nothing,
}

/// The questions of a restarted node: one to the table service, one to each
/// of several peers.
#[derive(Clone, Copy, Debug)]
pub struct StartPoll {
    is_store_open: bool,
    has_store_answered: bool,
    open_peers: usize,
    highest: Option<u64>,
}

impl StartPoll {
    /// Questions to the table service and to `peers` peers.
    pub fn new(peers: usize) -> StartPoll {
        StartPoll {
            is_store_open: true,
            has_store_answered: false,
            open_peers: peers,
            highest: None,
        }
    }

    /// The table service named its generation; none where it has no
    /// manifest.
    pub fn store_answered(&mut self, generation: Option<u64>) {
        self.is_store_open = false;
        self.has_store_answered = true;
        self.highest = self.highest.max(generation);
    }

    /// The table service did not answer in its time.
    pub fn store_failed(&mut self) {
        self.is_store_open = false;
    }

    /// A peer named the generation it has in force; none where it has none.
    pub fn peer_answered(&mut self, generation: Option<u64>) {
        self.open_peers = self.open_peers.saturating_sub(1);
        self.highest = self.highest.max(generation);
    }

    /// A peer did not answer in its time.
    pub fn peer_failed(&mut self) {
        self.open_peers = self.open_peers.saturating_sub(1);
    }

    /// What to do now. The table service's answer is enough alone, for no
    /// peer has a generation that was not accepted there.
    pub fn outcome(&self) -> StartOutcome {
        let has_all = !self.is_store_open && self.open_peers == 0;
        if !has_all && !self.has_store_answered {
            return StartOutcome::Waiting;
        }
        match self.highest {
            Some(generation) => StartOutcome::Take(generation),
            None if has_all => StartOutcome::Nothing,
            None => StartOutcome::Waiting,
        }
    }
}
