//! An idempotent stream completes under every fault that leaves its entry and
//! a chain running.

use rstest::rstest;

use crate::{
    cell::{Cell, Expect, Fault, Kind, Outcome, Stage, Step, Thaw},
    driver,
};

const fn cell(step: Step, fault: Fault, expect: Expect) -> Cell {
    Cell { kind: Kind::Stream, step, fault, expect }
}

/// Completion after this number of attempts.
const fn completed(attempts: usize) -> Expect {
    Expect::completed().attempts(attempts)
}

#[rstest]
#[case::first_side_killed(Fault::SideKilled(Stage::First), completed(2))]
#[case::last_side_killed(Fault::SideKilled(Stage::Last), completed(2))]
#[case::first_side_frozen_soon_thawed(
    Fault::SideFrozen(Stage::First, Thaw::Soon),
    completed(1)
)]
#[case::first_side_frozen(
    Fault::SideFrozen(Stage::First, Thaw::Afterwards),
    completed(2)
)]
#[case::last_side_frozen(
    Fault::SideFrozen(Stage::Last, Thaw::Afterwards),
    completed(2)
)]
#[case::first_engine_killed(Fault::EngineKilled(Stage::First), completed(2))]
#[case::last_engine_killed(Fault::EngineKilled(Stage::Last), completed(2))]
#[case::first_engine_frozen(
    Fault::EngineFrozen(Stage::First, Thaw::Afterwards),
    completed(2)
)]
#[case::last_engine_frozen(
    Fault::EngineFrozen(Stage::Last, Thaw::Afterwards),
    completed(2)
)]
#[case::entry_connection_reset(Fault::Reset(Stage::First), completed(1))]
#[case::stage_connection_reset(Fault::Reset(Stage::Last), completed(2))]
#[case::entry_connection_silent(Fault::Silent(Stage::First), completed(1))]
#[case::stage_connection_silent(Fault::Silent(Stage::Last), completed(2))]
#[case::entry_connection_stalled(Fault::Stalled(Stage::First), completed(1))]
#[case::stage_connection_stalled(Fault::Stalled(Stage::Last), completed(2))]
fn between_tokens(#[case] fault: Fault, #[case] expect: Expect) {
    driver::run(cell(Step::BetweenTokens, fault, expect));
}

#[rstest]
#[case::connection_slow(Fault::Slow(Stage::First), completed(1))]
#[case::stage_connection_slow(Fault::Slow(Stage::Last), completed(1))]
#[case::entry_frozen_soon_thawed(Fault::EntryFrozen(Thaw::Soon), completed(1))]
#[case::entry_frozen(Fault::EntryFrozen(Thaw::Late), completed(1))]
#[case::entry_killed(Fault::EntryKilled, Expect::no_response())]
#[case::first_side_restarted(Fault::SideRestarted(Stage::First), completed(2))]
#[case::last_side_restarted(Fault::SideRestarted(Stage::Last), completed(2))]
#[case::store_down(Fault::StoreDown, completed(1))]
#[case::store_slow(Fault::StoreSlow, completed(1))]
#[case::first_listed_leaving(Fault::ListedLeaving(Stage::First), completed(1))]
#[case::last_listed_leaving(Fault::ListedLeaving(Stage::Last), completed(1))]
#[case::first_side_terminated(
    Fault::SideTerminated(Stage::First),
    completed(1)
)]
#[case::last_side_terminated(Fault::SideTerminated(Stage::Last), completed(1))]
#[case::entry_terminated(Fault::EntryTerminated, completed(1))]
fn between_tokens_without_loss(#[case] fault: Fault, #[case] expect: Expect) {
    driver::run(cell(Step::BetweenTokens, fault, expect));
}

#[rstest]
#[case::first_side_killed(Fault::SideKilled(Stage::First))]
#[case::first_side_frozen(Fault::SideFrozen(Stage::First, Thaw::Afterwards))]
#[case::first_engine_killed(Fault::EngineKilled(Stage::First))]
#[case::last_engine_killed(Fault::EngineKilled(Stage::Last))]
#[case::connection_reset(Fault::Reset(Stage::First))]
#[case::connection_silent(Fault::Silent(Stage::First))]
#[case::store_down(Fault::StoreDown)]
fn accepted(#[case] fault: Fault) {
    driver::run(cell(Step::Accepted, fault, Expect::completed()));
}

#[rstest]
#[case::first_side_killed(Fault::SideKilled(Stage::First), Expect::not_run())]
#[case::last_side_killed(Fault::SideKilled(Stage::Last), Expect::not_run())]
#[case::first_engine_killed(
    Fault::EngineKilled(Stage::First),
    Expect::not_run()
)]
#[case::last_engine_killed(
    Fault::EngineKilled(Stage::Last),
    Expect::failed().repeat(Outcome::Completed).attempts(1)
)]
#[case::first_side_terminated(
    Fault::SideTerminated(Stage::First),
    Expect::not_run()
)]
fn accepted_single_chain(#[case] fault: Fault, #[case] expect: Expect) {
    driver::run(cell(Step::AcceptedSingleChain, fault, expect));
}

#[rstest]
#[case::first_side_killed(Fault::SideKilled(Stage::First))]
#[case::last_side_killed(Fault::SideKilled(Stage::Last))]
#[case::first_engine_killed(Fault::EngineKilled(Stage::First))]
#[case::first_side_terminated(Fault::SideTerminated(Stage::First))]
#[case::first_listed_leaving(Fault::ListedLeaving(Stage::First))]
#[case::connection_reset(Fault::Reset(Stage::First))]
#[case::connection_silent(Fault::Silent(Stage::First))]
fn queued(#[case] fault: Fault) {
    driver::run(cell(Step::Queued, fault, Expect::completed()));
}

#[rstest]
#[case::first_side_killed(Fault::SideKilled(Stage::First))]
#[case::last_side_killed(Fault::SideKilled(Stage::Last))]
#[case::first_engine_killed(Fault::EngineKilled(Stage::First))]
#[case::last_engine_killed(Fault::EngineKilled(Stage::Last))]
#[case::connection_silent(Fault::Silent(Stage::First))]
#[case::stage_connection_silent(Fault::Silent(Stage::Last))]
fn dispatched(#[case] fault: Fault) {
    driver::run(cell(Step::Dispatched, fault, Expect::completed()));
}

#[rstest]
#[case::first_side_killed(Fault::SideKilled(Stage::First), completed(2))]
#[case::last_side_killed(Fault::SideKilled(Stage::Last), completed(2))]
#[case::first_engine_killed(Fault::EngineKilled(Stage::First), completed(2))]
#[case::last_engine_killed(Fault::EngineKilled(Stage::Last), completed(2))]
#[case::connection_reset(Fault::Reset(Stage::First), completed(1))]
#[case::stage_connection_reset(Fault::Reset(Stage::Last), completed(2))]
fn prefill(#[case] fault: Fault, #[case] expect: Expect) {
    driver::run(cell(Step::Prefill, fault, expect));
}

#[rstest]
#[case::first_side_killed(Fault::SideKilled(Stage::First), completed(2))]
#[case::last_side_killed(Fault::SideKilled(Stage::Last), completed(2))]
#[case::last_engine_killed(Fault::EngineKilled(Stage::Last), completed(2))]
#[case::connection_reset(Fault::Reset(Stage::First), completed(1))]
#[case::connection_silent(Fault::Silent(Stage::First), completed(1))]
#[case::stage_connection_silent(Fault::Silent(Stage::Last), completed(2))]
#[case::entry_frozen(Fault::EntryFrozen(Thaw::Late), completed(1))]
fn last_token(#[case] fault: Fault, #[case] expect: Expect) {
    driver::run(cell(Step::LastToken, fault, expect));
}

const FIRST_SIDE_KILLED: Fault = Fault::SideKilled(Stage::First);
const LAST_SIDE_KILLED: Fault = Fault::SideKilled(Stage::Last);
const FIRST_ENGINE_KILLED: Fault = Fault::EngineKilled(Stage::First);
const ENTRY_SILENT: Fault = Fault::Silent(Stage::First);
const STAGE_SILENT: Fault = Fault::Silent(Stage::Last);
const STORE_DOWN: Fault = Fault::StoreDown;

#[rstest]
#[case::both_sides_killed(
    Fault::Both(&FIRST_SIDE_KILLED, &LAST_SIDE_KILLED), completed(2))]
#[case::engine_and_side_killed(
    Fault::Both(&FIRST_ENGINE_KILLED, &LAST_SIDE_KILLED), completed(2))]
#[case::both_connections_silent(
    Fault::Both(&ENTRY_SILENT, &STAGE_SILENT), completed(2))]
#[case::side_killed_and_store_down(
    Fault::Both(&FIRST_SIDE_KILLED, &STORE_DOWN), completed(2))]
#[case::first_side_killed_twice(
    Fault::Twice(&FIRST_SIDE_KILLED), completed(3))]
#[case::last_side_killed_twice(Fault::Twice(&LAST_SIDE_KILLED), completed(3))]
#[case::first_engine_killed_twice(
    Fault::Twice(&FIRST_ENGINE_KILLED), completed(3))]
#[case::stage_silent_twice(Fault::Twice(&STAGE_SILENT), completed(3))]
fn two_faults(#[case] fault: Fault, #[case] expect: Expect) {
    driver::run(cell(Step::BetweenTokens, fault, expect));
}
