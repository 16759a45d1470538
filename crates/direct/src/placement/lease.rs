//! The lease of the planner, over a row of the store.

use std::{
    sync::{Arc, Mutex, MutexGuard, atomic::Ordering::Relaxed},
    time::Duration,
};

use async_io::Timer;
use chestnutreach_adapter::store::{Row, StoreClient, StoreError};
use chestnutreach_membership::rendezvous;
use chestnutreach_site::tables::{LEASE, LEASE_KEY};
use chestnutreach_state::{
    FencingNumber, LeaseCommand, LeaseOptions, LeaseParticipant, LeaseRow,
    LeaseState, StoreResponse,
};
use chestnutreach_telemetry::{Event, emit};

use crate::{clock::now_ms, core::Core};

/// Time that a candidate must see the row unchanged.
const LEASE_DURATION_MS: u64 = 3_000;
/// How long before its end the holder renews.
const RENEW_BEFORE_MS: u64 = 1_400;
/// How long before the end of the lease the holder stops.
const STOP_MARGIN_MS: u64 = 500;
/// Time without the store after which its holder gives the lease up.
const STORE_FAILURE_LIMIT_MS: u64 = 500;
/// Time between looks at the state machine.
const TICK_INTERVAL: Duration = Duration::from_millis(150);
/// Entries that seek the lease: enough that one reaches the store. If all 68
/// of a fleet sought it, each takeover would cost some 400 calls.
const MAX_CANDIDATES: usize = 4;
/// Number of the duty to seek it.
const LEASE_ASSIGNMENT: u64 = 3;
/// Time without a holder after which all seek it: a candidate must see the
/// row unchanged for 3 s.
const ALL_CANDIDATES_AFTER_MS: u64 = 6_000;
/// Time for a call of the store.
const STORE_TIMEOUT: Duration = Duration::from_millis(700);

/// The lease as one entry holds or seeks it.
pub(crate) struct Lease {
    holder: Mutex<LeaseParticipant>,
    store: StoreClient,
    /// The row as last read or written, with its version at the store.
    last_row: Mutex<Option<(LeaseRow, u64)>>,
}

impl Lease {
    pub(crate) fn new(core: &Core) -> Lease {
        let options = LeaseOptions::new(
            LEASE_DURATION_MS,
            RENEW_BEFORE_MS,
            STOP_MARGIN_MS,
        )
        .expect("the constants make a lease");
        Lease {
            holder: Mutex::new(LeaseParticipant::new(core.boot_id, options)),
            store: StoreClient::new(core.settings.store_address),
            last_row: Mutex::default(),
        }
    }

    fn holder(&self) -> MutexGuard<'_, LeaseParticipant> {
        self.holder.lock().expect("no holder panics")
    }

    /// The number under which this entry may plan at this moment.
    pub(crate) fn active_fencing_number(&self) -> Option<FencingNumber> {
        self.holder().active_fencing_number(now_ms())
    }

    /// Holds or seeks the lease until the process ends.
    pub(crate) async fn run(&self, core: Arc<Core>) {
        let mut last = LeaseState::Idle;
        loop {
            self.resign_if_partitioned(&core);
            if let Some(command) = self.next_command(&core) {
                let answer = self.execute(command).await;
                self.holder().handle_response(answer, now_ms());
            }
            let state = self.holder().state();
            log_change(last, state);
            last = state;
            core.is_planner
                .store(self.active_fencing_number().is_some(), Relaxed);
            Timer::after(TICK_INTERVAL).await;
        }
    }

    /// A candidate leaves the row alone while it hears the holder.
    fn next_command(&self, core: &Core) -> Option<LeaseCommand> {
        let resigned = FencingNumber::from_u64(core.peers.resigned());
        let mut holder = self.holder();
        holder.holder_resigned(resigned);
        let is_held = matches!(holder.state(), LeaseState::Held { .. });
        let has_planner = core.peers.has_planner(now_ms());
        let seeks =
            !has_planner && !is_store_unreachable(core) && is_candidate(core);
        if !is_held && !seeks {
            return None;
        }
        holder.tick(now_ms())
    }

    /// A holder that does not reach the store says so and stops: another one
    /// need not wait for the end of its turn.
    fn resign_if_partitioned(&self, core: &Core) {
        if !is_store_unreachable(core) {
            return;
        }
        if let Some(number) = self.holder().resign(now_ms()) {
            core.released_lease_number.store(number.as_u64(), Relaxed);
        }
    }

    /// Gives the lease back, so that another entry need not wait; the others
    /// hear of it even if the store does not answer.
    pub(crate) async fn release(&self, core: &Core) {
        if let Some(number) = self.active_fencing_number() {
            core.released_lease_number.store(number.as_u64(), Relaxed);
        }
        let command = self.holder().release(now_ms());
        if let Some(command) = command {
            self.execute(command).await;
        }
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
            Ok(row) => {
                let known = row.as_ref().and_then(decode);
                *self.last_row.lock().expect("no holder panics") = known;
                StoreResponse::Row(known.map(|(row, _)| row))
            }
            Err(_) => StoreResponse::Unavailable,
        }
    }

    async fn write(
        &self,
        expected: Option<LeaseRow>,
        row: LeaseRow,
    ) -> StoreResponse {
        let known = *self.last_row.lock().expect("no holder panics");
        if known.map(|(row, _)| row) != expected {
            return StoreResponse::Conflict;
        }
        let version = known.map_or(0, |(_, version)| version);
        let value =
            serde_json::to_vec(&row).expect("plain fields always serialize");
        let write = self.store.write_row(
            LEASE,
            LEASE_KEY,
            Some(version),
            &value,
            STORE_TIMEOUT,
        );
        match write.await {
            Ok(version) => {
                let mut known =
                    self.last_row.lock().expect("no holder panics");
                *known = Some((row, version));
                StoreResponse::Written
            }
            Err(StoreError::Conflict) => StoreResponse::Conflict,
            Err(StoreError::Refused { .. }) => StoreResponse::Unavailable,
            Err(_) => StoreResponse::Ambiguous,
        }
    }
}

/// Whether this entry is among the few that seek the lease while nobody is
/// heard to hold it; all do once those few have not taken it.
fn is_candidate(core: &Core) -> bool {
    let now_ms = now_ms();
    let unheld_ms = core.age_ms().min(core.peers.planner_silent_ms(now_ms));
    unheld_ms >= ALL_CANDIDATES_AFTER_MS
        || rendezvous::is_assigned(
            core.boot_id,
            core.peers.live(now_ms),
            LEASE_ASSIGNMENT,
            MAX_CANDIDATES,
        )
}

/// Whether the store has been out of reach for so long that another entry
/// should plan.
fn is_store_unreachable(core: &Core) -> bool {
    let since_ms = core.store_failing_since_ms.load(Relaxed);
    since_ms > 0 && now_ms().saturating_sub(since_ms) > STORE_FAILURE_LIMIT_MS
}

fn decode(row: &Row) -> Option<(LeaseRow, u64)> {
    Some((serde_json::from_slice(&row.value).ok()?, row.version))
}

fn log_change(last: LeaseState, state: LeaseState) {
    let number = |state: LeaseState| match state {
        LeaseState::Held { fencing_number, .. } => Some(fencing_number),
        _ => None,
    };
    match (number(last), number(state)) {
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
