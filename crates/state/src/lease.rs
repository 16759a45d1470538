//! The lease of whoever plans a service's orders to engines.
//!
//! The lease is one row of the platform's table service, changed only by
//! compare-and-set. No clock is shared: a candidate takes the row over when
//! it has seen it unchanged for the row's duration by its own clock, and a
//! holder counts its time from before it sent the write, so that it stops
//! first. The margin covers clocks that run at different rates.
//!
//! Each take-over has a higher fencing number. An order carries the number,
//! and whoever passes orders on refuses a lower one: see [`FencingGate`].
//! That also covers what no clock shows to a paused holder, such as an order
//! that was decided before the pause and sent after it, or a VM whose clock
//! stood still with it.
//!
//! A write whose answer was lost is settled by reading the row back. Until
//! then the holder has the time it had before. The same write sent again
//! counts from when it was first sent, since either may have taken effect.

mod gate;
mod message;
mod options;

pub use self::{
    gate::{FencingGate, GateAnswer},
    message::{FencingNumber, LeaseCommand, LeaseRow, StoreResponse},
    options::{LeaseOptions, LeaseOptionsError},
};

/// A candidate reads the row this many times in a lease's duration.
const READS_PER_DURATION: u64 = 4;
/// Holder of a row that was given back.
const NOBODY: u64 = 0;

/// Where a process stands with the lease.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum LeaseState {
    /// It does not hold the lease.
    Idle,
    /// It has sent a write that would give it the lease.
    Acquiring,
    /// It holds the lease.
    Held {
        /// When it must stop, by its own clock.
        until_ms: u64,
        /// The number its orders carry.
        fencing_number: FencingNumber,
    },
    /// It held the lease and may not act on it any more.
    Lost,
}

#[derive(Clone, Copy, Debug)]
struct Seen {
    row: Option<LeaseRow>,
    /// When the row was first seen so.
    since_ms: u64,
    /// When the row was last read.
    read_ms: u64,
}

/// A write that is out, or whose answer was lost.
#[derive(Clone, Copy, Debug)]
struct Pending {
    expected: Option<LeaseRow>,
    row: LeaseRow,
    /// When it was first sent.
    sent_ms: u64,
    is_ambiguous: bool,
}

/// One process's side of the lease.
#[derive(Debug)]
pub struct LeaseParticipant {
    id: u64,
    options: LeaseOptions,
    state: LeaseState,
    seen: Option<Seen>,
    pending: Option<Pending>,
    is_command_out: bool,
    must_read: bool,
    /// A write met a row that is not ours; a read will tell whose it is.
    is_doubtful: bool,
    is_released: bool,
    /// Highest turn whose holder has said that it stopped.
    resigned: Option<FencingNumber>,
}

impl LeaseParticipant {
    /// A process without the lease; `id` is its boot id, never 0.
    pub fn new(id: u64, options: LeaseOptions) -> LeaseParticipant {
        debug_assert_ne!(id, NOBODY);
        LeaseParticipant {
            id,
            options,
            state: LeaseState::Idle,
            seen: None,
            pending: None,
            is_command_out: false,
            must_read: true,
            is_doubtful: false,
            is_released: false,
            resigned: None,
        }
    }

    /// Where the process stood at the last event; to act, ask
    /// [`LeaseParticipant::active_fencing_number`].
    pub fn state(&self) -> LeaseState {
        self.state
    }

    /// The number to act under at this moment. Ask again before each order
    /// and after anything that may have paused the process.
    pub fn active_fencing_number(&self, now_ms: u64) -> Option<FencingNumber> {
        match self.state {
            LeaseState::Held { until_ms, fencing_number }
                if now_ms < until_ms && !self.is_doubtful =>
            {
                Some(fencing_number)
            }
            _ => None,
        }
    }

    /// What to send now, if anything; call it a few times in a margin.
    pub fn tick(&mut self, now_ms: u64) -> Option<LeaseCommand> {
        // One that has lost the lease shows it until the next tick.
        if self.expire(now_ms) || self.is_command_out {
            return None;
        }
        let command = self.next_command(now_ms)?;
        self.is_command_out = true;
        Some(command)
    }

    /// Takes the answer to the command that is out.
    pub fn handle_response(&mut self, answer: StoreResponse, now_ms: u64) {
        self.is_command_out = false;
        match answer {
            StoreResponse::Row(row) => self.saw_row(row, now_ms),
            StoreResponse::Written => {
                if let Some(pending) = self.pending {
                    self.commit(pending, now_ms);
                }
            }
            StoreResponse::Conflict => {
                self.must_read = true;
                self.is_doubtful = true;
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

    /// The holder of a turn has said that it stopped acting: the row may be
    /// taken over without waiting.
    pub fn holder_resigned(&mut self, number: FencingNumber) {
        self.resigned = self.resigned.max(Some(number));
    }

    /// Stops at once and keeps the number of its turn, to tell others; the
    /// row stays as it is. None if it does not hold the lease.
    pub fn resign(&mut self, now_ms: u64) -> Option<FencingNumber> {
        let number = self.active_fencing_number(now_ms)?;
        self.state = LeaseState::Lost;
        self.pending = None;
        self.must_read = true;
        Some(number)
    }

    /// Stops at once, for good, and gives the lease back if that can be
    /// told; otherwise it lapses.
    pub fn release(&mut self, now_ms: u64) -> Option<LeaseCommand> {
        let is_held = self.active_fencing_number(now_ms).is_some();
        self.state = LeaseState::Idle;
        self.is_released = true;
        let row = self.seen.and_then(|seen| seen.row);
        let row = row.filter(|_| is_held && !self.is_command_out)?;
        self.is_command_out = true;
        Some(self.write(LeaseRow { holder: NOBODY, ..row }, now_ms))
    }

    /// Ends a turn whose time is over; true when it was this one's end.
    fn expire(&mut self, now_ms: u64) -> bool {
        let is_over = matches!(
            self.state,
            LeaseState::Held { until_ms, .. } if now_ms >= until_ms
        );
        if is_over {
            self.state = LeaseState::Lost;
        }
        is_over
    }

    fn next_command(&mut self, now_ms: u64) -> Option<LeaseCommand> {
        if self.is_released {
            return None;
        }
        let Some(seen) = self.seen.filter(|_| !self.must_read) else {
            return Some(LeaseCommand::Read);
        };
        match (self.state, seen.row) {
            (LeaseState::Held { until_ms, .. }, Some(row)) => {
                let renew_ms = until_ms - self.options.renew_before_ms();
                let renewal = row.renewal + 1;
                (now_ms >= renew_ms)
                    .then(|| self.write(LeaseRow { renewal, ..row }, now_ms))
            }
            _ if self.is_free(&seen, now_ms) => {
                self.state = LeaseState::Acquiring;
                Some(self.write(self.next_turn(seen.row), now_ms))
            }
            _ => {
                let pause_ms = self.options.duration_ms() / READS_PER_DURATION;
                let is_due = now_ms >= seen.read_ms + pause_ms;
                is_due.then_some(LeaseCommand::Read)
            }
        }
    }

    fn is_free(&self, seen: &Seen, now_ms: u64) -> bool {
        seen.row.is_none_or(|row| {
            row.holder == NOBODY
                || row.holder == self.id
                || self.resigned.is_some_and(|n| n >= row.fencing_number)
                || now_ms.saturating_sub(seen.since_ms) >= row.duration_ms
        })
    }

    fn next_turn(&self, row: Option<LeaseRow>) -> LeaseRow {
        let last = row.map_or(0, |row| row.fencing_number.as_u64());
        LeaseRow {
            holder: self.id,
            fencing_number: FencingNumber::from_u64(last + 1),
            renewal: 0,
            duration_ms: self.options.duration_ms(),
        }
    }

    fn write(&mut self, row: LeaseRow, now_ms: u64) -> LeaseCommand {
        let expected = self.seen.and_then(|seen| seen.row);
        let earlier = self.pending.filter(|p| p.row == row);
        let pending = earlier.unwrap_or(Pending {
            expected,
            row,
            sent_ms: now_ms,
            is_ambiguous: false,
        });
        self.pending = Some(pending);
        LeaseCommand::Write { expected, row }
    }

    fn saw_row(&mut self, row: Option<LeaseRow>, now_ms: u64) {
        self.must_read = false;
        self.is_doubtful = false;
        let before = self.seen;
        let since_ms = match before {
            Some(seen) if seen.row == row => seen.since_ms,
            _ => now_ms,
        };
        self.seen = Some(Seen { row, since_ms, read_ms: now_ms });
        match self.pending {
            Some(pending) if row == Some(pending.row) => {
                self.commit(pending, now_ms);
            }
            // It has not taken effect, and may yet.
            Some(pending) if row == pending.expected => {}
            _ => {
                self.pending = None;
                if before.is_some_and(|seen| seen.row != row) {
                    self.step_down();
                }
            }
        }
    }

    /// The row has another writer.
    fn step_down(&mut self) {
        self.state = match self.state {
            LeaseState::Held { .. } | LeaseState::Lost => LeaseState::Lost,
            LeaseState::Idle | LeaseState::Acquiring => LeaseState::Idle,
        };
    }

    fn commit(&mut self, write: Pending, now_ms: u64) {
        let row = write.row;
        let row_seen = Some(row);
        self.seen =
            Some(Seen { row: row_seen, since_ms: now_ms, read_ms: now_ms });
        self.pending = None;
        self.is_doubtful = false;
        if self.is_released {
            return;
        }
        self.state = LeaseState::Held {
            until_ms: write.sent_ms + self.options.held_ms(),
            fencing_number: row.fencing_number,
        };
    }
}
