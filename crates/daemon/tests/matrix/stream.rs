//! An idempotent stream under every fault: it comes whole.

use rstest::rstest;

use crate::{
    cell::{At, Cell, Expect, Fault, Kind, Step, Thaw, Told},
    driver,
};

const fn cell(step: Step, fault: Fault, expect: Expect) -> Cell {
    Cell { kind: Kind::Stream, step, fault, expect }
}

/// Whole, by this many attempts.
const fn whole(attempts: usize) -> Expect {
    Expect::completed().attempts(attempts)
}

#[rstest]
#[case::first_side_killed(Fault::SideKilled(At::First), whole(2))]
#[case::last_side_killed(Fault::SideKilled(At::Last), whole(2))]
#[case::first_side_frozen_soon_thawed(
    Fault::SideFrozen(At::First, Thaw::Soon),
    whole(1)
)]
#[case::first_side_frozen(
    Fault::SideFrozen(At::First, Thaw::Afterwards),
    whole(2)
)]
#[case::last_side_frozen(
    Fault::SideFrozen(At::Last, Thaw::Afterwards),
    whole(2)
)]
#[case::first_engine_killed(Fault::EngineKilled(At::First), whole(2))]
#[case::last_engine_killed(Fault::EngineKilled(At::Last), whole(2))]
#[case::first_engine_frozen(
    Fault::EngineFrozen(At::First, Thaw::Afterwards),
    whole(2)
)]
#[case::last_engine_frozen(
    Fault::EngineFrozen(At::Last, Thaw::Afterwards),
    whole(2)
)]
#[case::entry_connection_reset(Fault::Reset(At::First), whole(1))]
#[case::stage_connection_reset(Fault::Reset(At::Last), whole(2))]
#[case::entry_connection_silent(Fault::Silent(At::First), whole(1))]
#[case::stage_connection_silent(Fault::Silent(At::Last), whole(2))]
#[case::entry_connection_stalled(Fault::Stalled(At::First), whole(1))]
#[case::stage_connection_stalled(Fault::Stalled(At::Last), whole(2))]
fn between_tokens(#[case] fault: Fault, #[case] expect: Expect) {
    driver::run(cell(Step::BetweenTokens, fault, expect));
}

#[rstest]
#[case::connection_slow(Fault::Slow(At::First), whole(1))]
#[case::stage_connection_slow(Fault::Slow(At::Last), whole(1))]
#[case::entry_frozen_soon_thawed(Fault::EntryFrozen(Thaw::Soon), whole(1))]
#[case::entry_frozen(Fault::EntryFrozen(Thaw::Late), whole(1))]
#[case::entry_killed(Fault::EntryKilled, Expect::broken())]
#[case::first_side_restarted(Fault::SideRestarted(At::First), whole(2))]
#[case::last_side_restarted(Fault::SideRestarted(At::Last), whole(2))]
#[case::store_down(Fault::StoreDown, whole(1))]
#[case::store_slow(Fault::StoreSlow, whole(1))]
#[case::first_listed_leaving(Fault::ListedLeaving(At::First), whole(1))]
#[case::last_listed_leaving(Fault::ListedLeaving(At::Last), whole(1))]
#[case::first_side_terminated(Fault::SideTerminated(At::First), whole(1))]
#[case::last_side_terminated(Fault::SideTerminated(At::Last), whole(1))]
#[case::entry_terminated(Fault::EntryTerminated, whole(1))]
fn between_tokens_without_loss(#[case] fault: Fault, #[case] expect: Expect) {
    driver::run(cell(Step::BetweenTokens, fault, expect));
}

#[rstest]
#[case::first_side_killed(Fault::SideKilled(At::First))]
#[case::first_side_frozen(Fault::SideFrozen(At::First, Thaw::Afterwards))]
#[case::first_engine_killed(Fault::EngineKilled(At::First))]
#[case::last_engine_killed(Fault::EngineKilled(At::Last))]
#[case::connection_reset(Fault::Reset(At::First))]
#[case::connection_silent(Fault::Silent(At::First))]
#[case::store_down(Fault::StoreDown)]
fn accepted(#[case] fault: Fault) {
    driver::run(cell(Step::Accepted, fault, Expect::completed()));
}

#[rstest]
#[case::first_side_killed(Fault::SideKilled(At::First), Expect::not_run())]
#[case::last_side_killed(Fault::SideKilled(At::Last), Expect::not_run())]
#[case::first_engine_killed(Fault::EngineKilled(At::First), Expect::not_run())]
#[case::last_engine_killed(
    Fault::EngineKilled(At::Last),
    Expect::failed().repeat(Told::Completed).attempts(1)
)]
#[case::first_side_terminated(
    Fault::SideTerminated(At::First),
    Expect::not_run()
)]
fn accepted_alone(#[case] fault: Fault, #[case] expect: Expect) {
    driver::run(cell(Step::AcceptedAlone, fault, expect));
}

#[rstest]
#[case::first_side_killed(Fault::SideKilled(At::First))]
#[case::last_side_killed(Fault::SideKilled(At::Last))]
#[case::first_engine_killed(Fault::EngineKilled(At::First))]
#[case::first_side_terminated(Fault::SideTerminated(At::First))]
#[case::first_listed_leaving(Fault::ListedLeaving(At::First))]
#[case::connection_reset(Fault::Reset(At::First))]
#[case::connection_silent(Fault::Silent(At::First))]
fn queued(#[case] fault: Fault) {
    driver::run(cell(Step::Queued, fault, Expect::completed()));
}

#[rstest]
#[case::first_side_killed(Fault::SideKilled(At::First))]
#[case::last_side_killed(Fault::SideKilled(At::Last))]
#[case::first_engine_killed(Fault::EngineKilled(At::First))]
#[case::last_engine_killed(Fault::EngineKilled(At::Last))]
#[case::connection_silent(Fault::Silent(At::First))]
#[case::stage_connection_silent(Fault::Silent(At::Last))]
fn dispatched(#[case] fault: Fault) {
    driver::run(cell(Step::Dispatched, fault, Expect::completed()));
}

#[rstest]
#[case::first_side_killed(Fault::SideKilled(At::First), whole(2))]
#[case::last_side_killed(Fault::SideKilled(At::Last), whole(2))]
#[case::first_engine_killed(Fault::EngineKilled(At::First), whole(2))]
#[case::last_engine_killed(Fault::EngineKilled(At::Last), whole(2))]
#[case::connection_reset(Fault::Reset(At::First), whole(1))]
#[case::stage_connection_reset(Fault::Reset(At::Last), whole(2))]
fn prefill(#[case] fault: Fault, #[case] expect: Expect) {
    driver::run(cell(Step::Prefill, fault, expect));
}

#[rstest]
#[case::first_side_killed(Fault::SideKilled(At::First), whole(2))]
#[case::last_side_killed(Fault::SideKilled(At::Last), whole(2))]
#[case::last_engine_killed(Fault::EngineKilled(At::Last), whole(2))]
#[case::connection_reset(Fault::Reset(At::First), whole(1))]
#[case::connection_silent(Fault::Silent(At::First), whole(1))]
#[case::stage_connection_silent(Fault::Silent(At::Last), whole(2))]
#[case::entry_frozen(Fault::EntryFrozen(Thaw::Late), whole(1))]
fn last_token(#[case] fault: Fault, #[case] expect: Expect) {
    driver::run(cell(Step::LastToken, fault, expect));
}

const FIRST_SIDE_KILLED: Fault = Fault::SideKilled(At::First);
const LAST_SIDE_KILLED: Fault = Fault::SideKilled(At::Last);
const FIRST_ENGINE_KILLED: Fault = Fault::EngineKilled(At::First);
const ENTRY_SILENT: Fault = Fault::Silent(At::First);
const STAGE_SILENT: Fault = Fault::Silent(At::Last);
const STORE_DOWN: Fault = Fault::StoreDown;

#[rstest]
#[case::both_sides_killed(
    Fault::Both(&FIRST_SIDE_KILLED, &LAST_SIDE_KILLED), whole(2))]
#[case::engine_and_side_killed(
    Fault::Both(&FIRST_ENGINE_KILLED, &LAST_SIDE_KILLED), whole(2))]
#[case::both_connections_silent(
    Fault::Both(&ENTRY_SILENT, &STAGE_SILENT), whole(2))]
#[case::side_killed_and_store_down(
    Fault::Both(&FIRST_SIDE_KILLED, &STORE_DOWN), whole(2))]
#[case::first_side_killed_twice(Fault::Twice(&FIRST_SIDE_KILLED), whole(3))]
#[case::last_side_killed_twice(Fault::Twice(&LAST_SIDE_KILLED), whole(3))]
#[case::first_engine_killed_twice(
    Fault::Twice(&FIRST_ENGINE_KILLED), whole(3))]
#[case::stage_silent_twice(Fault::Twice(&STAGE_SILENT), whole(3))]
fn two_faults(#[case] fault: Fault, #[case] expect: Expect) {
    driver::run(cell(Step::BetweenTokens, fault, expect));
}
