//! The lease that entitles one process to plan a service's orders to engines.
//!
//! The lease is one row of the platform's table service, and is written only
//! by compare-and-set. Processes share no clock: a candidate takes the lease
//! over once the row has not changed for the row's duration by the candidate's
//! own clock. A holder counts its time from before it sends the write, so that
//! it stops first. The margin covers clocks that run at different rates.
//!
//! Each term has a higher fencing number than the one before. An order carries
//! the number, and whoever forwards orders refuses a lower number: see
//! [`FencingGate`]. The number also covers pauses that no clock of the holder
//! shows, such as an order that was decided before the pause and sent after
//! it, or a VM whose clock stopped during the pause.
//!
//! A table service that is restored from an older copy has lost terms and
//! renewals: a process may act under a term that no row shows. After a
//! restore, only the process that holds the lease takes it again at once; all
//! others wait for a full duration, after which that process has stopped. The
//! numbers of a new history are higher than all before, so that no number is
//! given out twice.
//!
//! A write whose response was lost is settled by reading the row. Until then,
//! the holder keeps its earlier deadline. A repeated write counts from when
//! the first attempt was sent, because either attempt may have taken effect.

mod gate;
mod message;
mod options;

pub use self::{
    gate::{FencingDecision, FencingGate},
    message::{FencingNumber, LeaseCommand, LeaseRow, StoreResponse},
    options::{LeaseOptions, LeaseOptionsError},
};

/// Number of reads by a candidate in the duration of a lease.
const READS_PER_DURATION: u64 = 4;
/// Value of [`LeaseRow::holder`] once the lease is released.
const NO_HOLDER: u64 = 0;

/// State of the lease as one process sees it.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum LeaseState {
    /// The process does not hold the lease.
    Idle,
    /// The process has sent a write that would acquire the lease.
    Acquiring,
    /// The process holds the lease.
    Held {
        /// When the process must stop, by its own clock.
        until_ms: u64,
        /// The number that its orders carry.
        fencing_number: FencingNumber,
    },
    /// The process held the lease and may not issue orders any more.
    Lost,
}

#[derive(Clone, Copy, Debug)]
struct ObservedRow {
    row: Option<LeaseRow>,
    /// When the row was first read with this content.
    since_ms: u64,
    /// When the row was last read.
    read_ms: u64,
}

/// A write that has no response yet, or whose response was lost.
#[derive(Clone, Copy, Debug)]
struct PendingWrite {
    expected: Option<LeaseRow>,
    row: LeaseRow,
    /// When the write was first sent.
    sent_ms: u64,
    is_ambiguous: bool,
}

/// A process that holds the lease or tries to acquire it.
#[derive(Debug)]
pub struct LeaseParticipant {
    id: u64,
    options: LeaseOptions,
    state: LeaseState,
    observed: Option<ObservedRow>,
    pending: Option<PendingWrite>,
    is_command_in_flight: bool,
    must_read: bool,
    /// Whether a write found an unexpected row, so that a read must show
    /// whether the process still holds the lease.
    is_holder_unknown: bool,
    is_released: bool,
    /// Highest fencing number whose holder has announced that it stopped.
    highest_resigned: Option<FencingNumber>,
    /// Number below the first term of the present history.
    number_floor: u64,
    /// The last restore of the table service.
    restore: Option<Restore>,
}

/// A restore of the table service from an older copy.
#[derive(Clone, Copy, Debug)]
struct Restore {
    /// When the process learned of the restore.
    at_ms: u64,
    /// End of the term that the process held at that time, if it held one.
    own_until_ms: Option<u64>,
}

impl LeaseParticipant {
    /// A process without the lease. `id` is its boot id, which is never 0.
    pub fn new(id: u64, options: LeaseOptions) -> LeaseParticipant {
        debug_assert_ne!(id, NO_HOLDER);
        LeaseParticipant {
            id,
            options,
            state: LeaseState::Idle,
            observed: None,
            pending: None,
            is_command_in_flight: false,
            must_read: true,
            is_holder_unknown: false,
            is_released: false,
            highest_resigned: None,
            number_floor: 0,
            restore: None,
        }
    }

    /// State at the last event. Before issuing an order, call
    /// [`LeaseParticipant::active_fencing_number`].
    pub fn state(&self) -> LeaseState {
        self.state
    }

    /// The fencing number for orders that are issued now; `None` if the
    /// process may not issue orders. Call it again before each order, and
    /// after anything that may have paused the process.
    pub fn active_fencing_number(&self, now_ms: u64) -> Option<FencingNumber> {
        match self.state {
            LeaseState::Held { until_ms, fencing_number }
                if now_ms < until_ms && !self.is_holder_unknown =>
            {
                Some(fencing_number)
            }
            _ => None,
        }
    }

    /// The command to send now, if any. Call it several times per margin.
    pub fn tick(&mut self, now_ms: u64) -> Option<LeaseCommand> {
        // `LeaseState::Lost` stays visible until the next tick.
        if self.expire(now_ms) || self.is_command_in_flight {
            return None;
        }
        let command = self.next_command(now_ms)?;
        self.is_command_in_flight = true;
        Some(command)
    }

    /// Handles the response to the command in flight.
    pub fn handle_response(&mut self, response: StoreResponse, now_ms: u64) {
        self.is_command_in_flight = false;
        match response {
            StoreResponse::Row(row) => self.observe_row(row, now_ms),
            StoreResponse::Written => {
                if let Some(pending) = self.pending {
                    self.complete_write(pending, now_ms);
                }
            }
            StoreResponse::Conflict => {
                self.must_read = true;
                self.is_holder_unknown = true;
            }
            StoreResponse::Unavailable => {
                self.pending = self.pending.filter(|p| p.is_ambiguous);
            }
            StoreResponse::Ambiguous => {
                self.must_read = true;
                if let Some(pending) = &mut self.pending {
                    pending.is_ambiguous = true;
                }
            }
        }
        self.expire(now_ms);
    }

    /// Records that the holder with this fencing number has stopped, so that
    /// the lease can be taken over without waiting.
    pub fn holder_resigned(&mut self, number: FencingNumber) {
        self.highest_resigned = self.highest_resigned.max(Some(number));
    }

    /// Sets the number below the first term. Call it before the first command
    /// if the table service may have been restored in the past.
    pub fn set_number_floor(&mut self, floor: u64) {
        self.number_floor = floor;
    }

    /// Handles a restore of the table service from an older copy. The process
    /// stops to act until its lease is in the row again. `number_floor` is
    /// higher than all numbers before.
    pub fn store_restored(&mut self, number_floor: u64, now_ms: u64) {
        let own_until_ms = match self.state {
            LeaseState::Held { until_ms, .. } => Some(until_ms),
            _ => None,
        };
        let earlier = self.restore.and_then(|restore| restore.own_until_ms);
        self.restore = Some(Restore {
            at_ms: now_ms,
            own_until_ms: own_until_ms.or(earlier),
        });
        self.number_floor = number_floor;
        self.observed = None;
        self.pending = None;
        self.must_read = true;
        self.step_down();
    }

    /// Stops at once without changing the row, and returns the fencing number
    /// of the term to announce to others; `None` without the lease.
    pub fn resign(&mut self, now_ms: u64) -> Option<FencingNumber> {
        let number = self.active_fencing_number(now_ms)?;
        self.state = LeaseState::Lost;
        self.pending = None;
        self.must_read = true;
        Some(number)
    }

    /// Stops at once and permanently. Returns the write that releases the
    /// lease; if there is none, the lease expires.
    pub fn release(&mut self, now_ms: u64) -> Option<LeaseCommand> {
        let is_held = self.active_fencing_number(now_ms).is_some();
        self.state = LeaseState::Idle;
        self.is_released = true;
        let row = self.observed.and_then(|observed| observed.row);
        let row = row.filter(|_| is_held && !self.is_command_in_flight)?;
        self.is_command_in_flight = true;
        Some(self.write(LeaseRow { holder: NO_HOLDER, ..row }, now_ms))
    }

    /// Ends a term whose time is over, and returns whether it did.
    fn expire(&mut self, now_ms: u64) -> bool {
        let has_expired = matches!(
            self.state,
            LeaseState::Held { until_ms, .. } if now_ms >= until_ms
        );
        if has_expired {
            self.state = LeaseState::Lost;
        }
        has_expired
    }

    fn next_command(&mut self, now_ms: u64) -> Option<LeaseCommand> {
        if self.is_released {
            return None;
        }
        let Some(observed) = self.observed.filter(|_| !self.must_read) else {
            return Some(LeaseCommand::Read);
        };
        match (self.state, observed.row) {
            (LeaseState::Held { until_ms, .. }, Some(row)) => {
                let renew_ms = until_ms - self.options.renew_before_ms();
                let renewal = row.renewal + 1;
                (now_ms >= renew_ms)
                    .then(|| self.write(LeaseRow { renewal, ..row }, now_ms))
            }
            _ if self.can_take_over(&observed, now_ms) => {
                self.state = LeaseState::Acquiring;
                Some(self.write(self.next_term(observed.row), now_ms))
            }
            _ => {
                let pause_ms = self.options.duration_ms() / READS_PER_DURATION;
                let is_due = now_ms >= observed.read_ms + pause_ms;
                is_due.then_some(LeaseCommand::Read)
            }
        }
    }

    fn can_take_over(&self, observed: &ObservedRow, now_ms: u64) -> bool {
        let is_restored_row = observed.row.is_none_or(|row| {
            row.fencing_number.as_u64() <= self.number_floor
        });
        if let Some(restore) = self.restore.filter(|_| is_restored_row) {
            let is_own = restore.own_until_ms.is_some_and(|ms| now_ms < ms);
            let end_ms = restore.at_ms + self.options.duration_ms();
            return is_own || now_ms >= end_ms;
        }
        observed.row.is_none_or(|row| {
            row.holder == NO_HOLDER
                || row.holder == self.id
                || self
                    .highest_resigned
                    .is_some_and(|n| n >= row.fencing_number)
                || now_ms.saturating_sub(observed.since_ms) >= row.duration_ms
        })
    }

    fn next_term(&self, row: Option<LeaseRow>) -> LeaseRow {
        let last = row.map_or(0, |row| row.fencing_number.as_u64());
        let last = last.max(self.number_floor);
        LeaseRow {
            holder: self.id,
            fencing_number: FencingNumber::from_u64(last + 1),
            renewal: 0,
            duration_ms: self.options.duration_ms(),
        }
    }

    fn write(&mut self, row: LeaseRow, now_ms: u64) -> LeaseCommand {
        let expected = self.observed.and_then(|observed| observed.row);
        let earlier = self.pending.filter(|p| p.row == row);
        let pending = earlier.unwrap_or(PendingWrite {
            expected,
            row,
            sent_ms: now_ms,
            is_ambiguous: false,
        });
        self.pending = Some(pending);
        LeaseCommand::Write { expected, row }
    }

    fn observe_row(&mut self, row: Option<LeaseRow>, now_ms: u64) {
        self.must_read = false;
        self.is_holder_unknown = false;
        let before = self.observed;
        let since_ms = match before {
            Some(observed) if observed.row == row => observed.since_ms,
            _ => now_ms,
        };
        self.observed = Some(ObservedRow { row, since_ms, read_ms: now_ms });
        match self.pending {
            Some(pending) if row == Some(pending.row) => {
                self.complete_write(pending, now_ms);
            }
            // The write has not taken effect, and still may.
            Some(pending) if row == pending.expected => {}
            _ => {
                self.pending = None;
                if before.is_some_and(|observed| observed.row != row) {
                    self.step_down();
                }
            }
        }
    }

    /// Handles a row that another process has written.
    fn step_down(&mut self) {
        self.state = match self.state {
            LeaseState::Held { .. } | LeaseState::Lost => LeaseState::Lost,
            LeaseState::Idle | LeaseState::Acquiring => LeaseState::Idle,
        };
    }

    fn complete_write(&mut self, write: PendingWrite, now_ms: u64) {
        let row = write.row;
        let new_row = Some(row);
        self.observed = Some(ObservedRow {
            row: new_row,
            since_ms: now_ms,
            read_ms: now_ms,
        });
        self.pending = None;
        self.is_holder_unknown = false;
        if self.is_released {
            return;
        }
        self.state = LeaseState::Held {
            until_ms: write.sent_ms + self.options.held_ms(),
            fencing_number: row.fencing_number,
        };
    }
}
