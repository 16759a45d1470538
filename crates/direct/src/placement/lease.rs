//! The planner's lease, held through a row of the store.

use std::{
    sync::{Arc, Mutex, MutexGuard, atomic::Ordering::Relaxed},
    time::Duration,
};

use async_io::Timer;
use chestnutreach_adapter::store::{Row, StoreClient, StoreError};
use chestnutreach_membership::rendezvous;
use chestnutreach_site::{
    StoreVersion,
    tables::{LEASE, LEASE_KEY},
};
use chestnutreach_state::{
    FencingNumber, LeaseCommand, LeaseOptions, LeaseParticipant, LeaseRow,
    LeaseState, StoreResponse,
};
use chestnutreach_telemetry::{Event, emit};

use crate::{clock::now_ms, core::Core};

/// Time for which a candidate must see the row unchanged to take the lease.
const LEASE_DURATION_MS: u64 = 3_000;
/// How long before the end of the lease the holder renews it.
const RENEW_BEFORE_MS: u64 = 1_400;
/// How long before the end of the lease the holder stops to act on it.
const STOP_MARGIN_MS: u64 = 500;
/// Time without the store after which the holder releases the lease.
const STORE_FAILURE_LIMIT_MS: u64 = 500;
/// Time between steps of the state machine.
const TICK_INTERVAL: Duration = Duration::from_millis(150);
/// Entries that seek the lease: enough for one to reach the store. If all 68
/// entries of a fleet were candidates, each takeover would cost about 400
/// calls of the store.
const MAX_CANDIDATES: usize = 4;
/// Uptime from which an entry seeks the lease. Before, it may not know the
/// other candidates. Shorter than a lease that a process before it may hold.
const MIN_UPTIME_MS: u64 = 1_000;
/// Key of the assignment that selects the candidates.
const LEASE_ASSIGNMENT: u64 = 3;
/// Time without a holder after which all entries are candidates. Longer than
/// `LEASE_DURATION_MS`, for which the first candidates must wait.
const ALL_CANDIDATES_AFTER_MS: u64 = 6_000;
const STORE_TIMEOUT: Duration = Duration::from_millis(700);
/// Fencing numbers of one history of the store: more than the terms of any
/// history, and small enough that the numbers of many histories stay exact in
/// JSON.
const NUMBERS_PER_ERA: u64 = 1_000_000;

/// The row as last read or written.
#[derive(Clone, Copy, Debug, Default)]
struct LastRow {
    row: Option<LeaseRow>,
    /// Version of the row at the store, with number 0 if there is no row.
    version: StoreVersion,
}

/// One entry's part in holding or seeking the lease.
pub(crate) struct Lease {
    participant: Mutex<LeaseParticipant>,
    store: Arc<StoreClient>,
    last_row: Mutex<LastRow>,
    /// Era of the store that the participant knows.
    era: Mutex<Option<u64>>,
}

impl Lease {
    pub(crate) fn new(core: &Core) -> Lease {
        let options = LeaseOptions::new(
            LEASE_DURATION_MS,
            RENEW_BEFORE_MS,
            STOP_MARGIN_MS,
        )
        .expect("the lease constants are valid");
        Lease {
            participant: Mutex::new(LeaseParticipant::new(
                core.boot_id,
                options,
            )),
            store: core.store.clone(),
            last_row: Mutex::default(),
            era: Mutex::default(),
        }
    }

    fn participant(&self) -> MutexGuard<'_, LeaseParticipant> {
        self.participant.lock().expect("no holder panics")
    }

    /// Fencing number under which this entry may plan now, if any.
    pub(crate) fn active_fencing_number(&self) -> Option<FencingNumber> {
        self.participant().active_fencing_number(now_ms())
    }

    /// Holds or seeks the lease until the process exits.
    pub(crate) async fn run(&self, core: Arc<Core>) {
        let mut last = LeaseState::Idle;
        loop {
            self.resign_if_partitioned(&core);
            self.record_era();
            if let Some(command) = self.next_command(&core) {
                let response = self.execute(command).await;
                self.record_era();
                self.participant().handle_response(response, now_ms());
            }
            let state = self.participant().state();
            log_change(last, state);
            last = state;
            core.is_planner
                .store(self.active_fencing_number().is_some(), Relaxed);
            Timer::after(TICK_INTERVAL).await;
        }
    }

    /// Next store command. A candidate does not access the row while it
    /// receives messages of a holder.
    fn next_command(&self, core: &Core) -> Option<LeaseCommand> {
        let released =
            FencingNumber::from_u64(core.peers.highest_released_lease());
        let mut participant = self.participant();
        participant.holder_resigned(released);
        let is_held = matches!(participant.state(), LeaseState::Held { .. });
        let has_planner = core.peers.has_planner(now_ms());
        let seeks = core.age_ms() >= MIN_UPTIME_MS
            && !has_planner
            && !is_store_unreachable(core)
            && is_candidate(core);
        if !is_held && !seeks {
            return None;
        }
        participant.tick(now_ms())
    }

    /// Tells the participant if the store was restored from a copy.
    fn record_era(&self) {
        let Some(era) = self.store.era() else { return };
        let known = {
            let mut known = self.era.lock().expect("no holder panics");
            known.replace(era)
        };
        let floor = era.saturating_mul(NUMBERS_PER_ERA);
        match known {
            Some(known) if known == era => {}
            Some(_) => self.participant().store_restored(floor, now_ms()),
            None => self.participant().set_number_floor(floor),
        }
    }

    /// Releases the lease if the store is unreachable, and announces that, so
    /// that a successor need not wait for the end of the term.
    fn resign_if_partitioned(&self, core: &Core) {
        if !is_store_unreachable(core) {
            return;
        }
        if let Some(number) = self.participant().resign(now_ms()) {
            core.released_lease_number.store(number.as_u64(), Relaxed);
        }
    }

    /// Releases the lease, so that a successor need not wait. State messages
    /// announce the release even if the store does not respond.
    pub(crate) async fn release(&self, core: &Core) {
        if let Some(number) = self.active_fencing_number() {
            core.released_lease_number.store(number.as_u64(), Relaxed);
        }
        let command = self.participant().release(now_ms());
        if let Some(command) = command {
            self.execute(command).await;
        }
    }

    fn set_last_row(&self, last_row: LastRow) {
        *self.last_row.lock().expect("no holder panics") = last_row;
    }

    async fn execute(&self, command: LeaseCommand) -> StoreResponse {
        match command {
            LeaseCommand::Read => self.read().await,
            LeaseCommand::Write { expected, row } => {
                self.write(expected, row).await
            }
        }
    }

    async fn read(&self) -> StoreResponse {
        match self.store.read_row(LEASE, LEASE_KEY, STORE_TIMEOUT).await {
            Ok((store_version, stored)) => {
                let row = stored.as_ref().and_then(decode);
                let absent = StoreVersion::new(store_version.era(), 0);
                let version = row.map_or(absent, |(_, version)| version);
                let row = row.map(|(row, _)| row);
                self.set_last_row(LastRow { row, version });
                StoreResponse::Row(row)
            }
            Err(_) => StoreResponse::Unavailable,
        }
    }

    async fn write(
        &self,
        expected: Option<LeaseRow>,
        row: LeaseRow,
    ) -> StoreResponse {
        let last_row = *self.last_row.lock().expect("no holder panics");
        if last_row.row != expected {
            return StoreResponse::Conflict;
        }
        let value =
            serde_json::to_vec(&row).expect("plain fields always serialize");
        let write = self.store.write_row(
            LEASE,
            LEASE_KEY,
            Some(last_row.version),
            &value,
            STORE_TIMEOUT,
        );
        match write.await {
            Ok(version) => {
                self.set_last_row(LastRow { row: Some(row), version });
                StoreResponse::Written
            }
            Err(StoreError::Conflict | StoreError::HistoryReplaced { .. }) => {
                StoreResponse::Conflict
            }
            Err(StoreError::Refused { .. }) => StoreResponse::Unavailable,
            Err(_) => StoreResponse::Ambiguous,
        }
    }
}

/// Whether this entry may seek the lease while no holder is known. Few entries
/// are assigned to do so; all may once none of these has taken the lease.
fn is_candidate(core: &Core) -> bool {
    let now_ms = now_ms();
    let without_holder_ms =
        core.age_ms().min(core.peers.planner_silent_ms(now_ms));
    without_holder_ms >= ALL_CANDIDATES_AFTER_MS || is_assigned(core)
}

/// Whether this entry is among the first for the lease. Entries with more
/// capacity go first: the planner sends and reads for all others.
fn is_assigned(core: &Core) -> bool {
    rendezvous::is_assigned_by_capacity(
        core.own_candidate(),
        core.peers.live_candidates(now_ms()),
        LEASE_ASSIGNMENT,
        MAX_CANDIDATES,
    )
}

/// Whether the store has been unreachable for so long that another entry
/// should plan.
fn is_store_unreachable(core: &Core) -> bool {
    let since_ms = core.store_failing_since_ms.load(Relaxed);
    since_ms > 0 && now_ms().saturating_sub(since_ms) > STORE_FAILURE_LIMIT_MS
}

fn decode(row: &Row) -> Option<(LeaseRow, StoreVersion)> {
    Some((serde_json::from_slice(&row.value).ok()?, row.version))
}

fn log_change(before: LeaseState, state: LeaseState) {
    let number = |state: LeaseState| match state {
        LeaseState::Held { fencing_number, .. } => Some(fencing_number),
        _ => None,
    };
    match (number(before), number(state)) {
        (old, Some(new)) if old != Some(new) => {
            emit(Event::LeaseTaken, &[("service", &"all"), ("fence", &new)]);
        }
        (Some(old), None) => emit(
            Event::LeaseLost,
            &[
                ("service", &"all"),
                ("fence", &old),
                ("cause", &format!("{state:?}")),
            ],
        ),
        _ => {}
    }
}
