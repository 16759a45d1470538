//! How an entry that starts finds the others with few calls of the store.
//!
//! After a restart of one or of many, the entries that run still send to the
//! address of the one that starts, and it asks one of them for the list of all
//! others. Nothing is read from the store then.
//!
//! If nobody sends, as when all start at once, an entry lists itself in the
//! store. Some entries also read the table of entries, in proportion to their
//! capacity, and send their state to all that they find there. The others wait
//! for that message, and read the table only if it does not come.

/// Delay of an entry that has a whole core until it turns to the store; longer
/// in inverse proportion to the capacity.
const DELAY_OF_CORE_MS: f64 = 100.0;
const MAX_DELAY_MS: f64 = 1_000.0;
/// Probability with which an entry reads the table at once, per share of a
/// core.
const READER_PROBABILITY_OF_CORE: f64 = 2.0;
/// How long an entry that has listed itself waits for a message: longer than
/// the pause between two reads of a reader.
const GREETING_WAIT_MS: u64 = 700;
/// Pauses of a reader between its first reads of the table: others may list
/// themselves later, because their VMs start slowly.
const READER_PAUSES_MS: [u64; 8] =
    [300, 300, 300, 400, 600, 1_000, 3_000, 10_000];
/// Pauses of the others between their first reads of a list.
const PAUSES_MS: [u64; 3] = [1_000, 4_000, 15_000];
/// Later pauses. Long, because entries learn of each other from their first
/// messages.
pub const LONG_PAUSE_MS: u64 = 60_000;

/// Times from the start of a process at which it acts if no other entry has
/// sent to it.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct StartPlan {
    /// When it lists itself in the store, in milliseconds.
    pub list_ms: u64,
    /// When it reads the table of entries, in milliseconds.
    pub read_ms: u64,
}

impl StartPlan {
    /// Plan of an entry with this share of a core, in thousandths. `draws`
    /// holds two random numbers from 0 to 1.
    pub fn new(milli_cores: u32, draws: [f64; 2]) -> StartPlan {
        let share = f64::from(milli_cores.max(1)) / 1e3;
        let longest_ms = (DELAY_OF_CORE_MS / share).min(MAX_DELAY_MS);
        let list_ms = (draws[0] * longest_ms) as u64;
        let reads_at_once = draws[1] < READER_PROBABILITY_OF_CORE * share;
        let wait_ms = if reads_at_once { 0 } else { GREETING_WAIT_MS };
        StartPlan { list_ms, read_ms: list_ms + wait_ms }
    }
}

/// When an entry that another one named was last heard. Its silence counts
/// on: else entries that ask each other for their lists would name one that has
/// ended to each other for good.
pub fn heard_ms(silent_ms: u64, now_ms: u64) -> u64 {
    now_ms.saturating_sub(silent_ms)
}

/// Pause after this many reads of a list of the entries. A reader reads the
/// table of the store for the others of its data centre.
pub fn pause_after_ms(reads: usize, is_reader: bool) -> u64 {
    let pauses: &[u64] =
        if is_reader { &READER_PAUSES_MS } else { &PAUSES_MS };
    let at = reads.saturating_sub(1);
    pauses.get(at).copied().unwrap_or(LONG_PAUSE_MS)
}
