//! A request without a key that may run at most once.

use rstest::rstest;

use crate::{
    cell::{Cell, Expect, Fault, Kind, Stage, Step, Thaw},
    driver,
};

const fn cell(step: Step, fault: Fault, expect: Expect) -> Cell {
    Cell { kind: Kind::Once, step, fault, expect }
}

const fn completed() -> Expect {
    Expect::completed().attempts(1)
}

const fn failed() -> Expect {
    Expect::failed()
}

#[rstest]
#[case::first_side_killed(Fault::SideKilled(Stage::First), completed())]
#[case::first_side_frozen(
    Fault::SideFrozen(Stage::First, Thaw::Afterwards),
    Expect::unknown()
)]
#[case::first_engine_killed(Fault::EngineKilled(Stage::First), completed())]
#[case::connection_silent(Fault::Silent(Stage::First), completed())]
#[case::store_down(Fault::StoreDown, completed())]
#[case::connection_stalled(Fault::Stalled(Stage::First), completed())]
fn accepted(#[case] fault: Fault, #[case] expect: Expect) {
    driver::run(cell(Step::Accepted, fault, expect));
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
    failed().attempts(1)
)]
#[case::first_side_terminated(
    Fault::SideTerminated(Stage::First),
    Expect::not_run()
)]
#[case::connection_silent(Fault::Silent(Stage::First), Expect::not_run())]
#[case::connection_stalled(Fault::Stalled(Stage::First), Expect::not_run())]
fn accepted_single_chain(#[case] fault: Fault, #[case] expect: Expect) {
    driver::run(cell(Step::AcceptedSingleChain, fault, expect));
}

#[rstest]
#[case::first_side_killed(
    Fault::SideKilled(Stage::First), Expect::unknown().attempts(0))]
#[case::first_side_restarted(
    Fault::SideRestarted(Stage::First), Expect::unknown().attempts(0))]
#[case::last_side_killed(Fault::SideKilled(Stage::Last), completed())]
#[case::first_engine_killed(Fault::EngineKilled(Stage::First), completed())]
#[case::connection_reset(Fault::Reset(Stage::First), completed())]
#[case::connection_silent(Fault::Silent(Stage::First), completed())]
#[case::first_side_terminated(
    Fault::SideTerminated(Stage::First),
    completed()
)]
#[case::first_listed_leaving(Fault::ListedLeaving(Stage::First), completed())]
fn queued(#[case] fault: Fault, #[case] expect: Expect) {
    driver::run(cell(Step::Queued, fault, expect));
}

#[rstest]
#[case::first_side_killed(
    Fault::SideKilled(Stage::First), failed().after_query())]
#[case::last_side_killed(Fault::SideKilled(Stage::Last), failed())]
#[case::first_engine_killed(
    Fault::EngineKilled(Stage::First), failed().attempts(0))]
#[case::last_engine_killed(Fault::EngineKilled(Stage::Last), failed())]
#[case::first_engine_frozen(
    Fault::EngineFrozen(Stage::First, Thaw::Afterwards),
    failed()
)]
#[case::connection_reset(Fault::Reset(Stage::First), completed())]
#[case::connection_silent(Fault::Silent(Stage::First), completed())]
fn dispatched(#[case] fault: Fault, #[case] expect: Expect) {
    driver::run(cell(Step::Dispatched, fault, expect));
}

#[rstest]
#[case::first_side_killed(
    Fault::SideKilled(Stage::First), failed().attempts(1).after_query())]
#[case::first_engine_killed(
    Fault::EngineKilled(Stage::First), failed().attempts(1))]
#[case::stage_connection_reset(
    Fault::Reset(Stage::Last), failed().attempts(1))]
fn prefill(#[case] fault: Fault, #[case] expect: Expect) {
    driver::run(cell(Step::Prefill, fault, expect));
}

#[rstest]
#[case::first_side_killed(
    Fault::SideKilled(Stage::First), failed().after_query())]
#[case::first_side_restarted(Fault::SideRestarted(Stage::First), failed())]
#[case::last_side_killed(Fault::SideKilled(Stage::Last), failed())]
#[case::first_side_frozen_soon_thawed(
    Fault::SideFrozen(Stage::First, Thaw::Soon),
    completed()
)]
#[case::first_side_frozen(
    Fault::SideFrozen(Stage::First, Thaw::Afterwards), failed().after_query())]
#[case::last_side_frozen(
    Fault::SideFrozen(Stage::Last, Thaw::Afterwards),
    failed()
)]
#[case::first_engine_killed(Fault::EngineKilled(Stage::First), failed())]
#[case::last_engine_killed(Fault::EngineKilled(Stage::Last), failed())]
#[case::first_engine_frozen(
    Fault::EngineFrozen(Stage::First, Thaw::Afterwards),
    failed()
)]
#[case::connection_reset(Fault::Reset(Stage::First), completed())]
#[case::connection_silent(Fault::Silent(Stage::First), completed())]
#[case::connection_slow(Fault::Slow(Stage::First), completed())]
#[case::stage_connection_reset(Fault::Reset(Stage::Last), failed())]
#[case::stage_connection_silent(Fault::Silent(Stage::Last), failed())]
#[case::entry_killed(Fault::EntryKilled, Expect::no_response())]
#[case::entry_frozen(Fault::EntryFrozen(Thaw::Late), completed())]
#[case::store_down(Fault::StoreDown, completed())]
#[case::first_listed_leaving(Fault::ListedLeaving(Stage::First), completed())]
#[case::first_side_terminated(
    Fault::SideTerminated(Stage::First),
    completed()
)]
#[case::last_side_terminated(Fault::SideTerminated(Stage::Last), completed())]
#[case::entry_terminated(Fault::EntryTerminated, completed())]
fn between_tokens(#[case] fault: Fault, #[case] expect: Expect) {
    driver::run(cell(Step::BetweenTokens, fault, expect.attempts(1)));
}

#[rstest]
#[case::first_side_killed(
    Fault::SideKilled(Stage::First), failed().after_query())]
#[case::last_side_killed(Fault::SideKilled(Stage::Last), failed())]
#[case::last_engine_killed(Fault::EngineKilled(Stage::Last), failed())]
#[case::connection_reset(Fault::Reset(Stage::First), completed())]
#[case::connection_silent(Fault::Silent(Stage::First), completed())]
#[case::stage_connection_silent(Fault::Silent(Stage::Last), failed())]
#[case::entry_frozen(Fault::EntryFrozen(Thaw::Late), completed())]
fn last_token(#[case] fault: Fault, #[case] expect: Expect) {
    driver::run(cell(Step::LastToken, fault, expect.attempts(1)));
}

const FIRST_SIDE_KILLED: Fault = Fault::SideKilled(Stage::First);
const LAST_SIDE_KILLED: Fault = Fault::SideKilled(Stage::Last);
const ENTRY_SILENT: Fault = Fault::Silent(Stage::First);
const ENTRY_RESET: Fault = Fault::Reset(Stage::First);
const STAGE_SILENT: Fault = Fault::Silent(Stage::Last);

#[rstest]
#[case::both_sides_killed(
    Fault::Both(&FIRST_SIDE_KILLED, &LAST_SIDE_KILLED),
    failed().after_query())]
#[case::both_connections_silent(
    Fault::Both(&ENTRY_SILENT, &STAGE_SILENT), failed())]
#[case::silent_then_reset(
    Fault::Both(&ENTRY_SILENT, &ENTRY_RESET), completed())]
fn two_faults(#[case] fault: Fault, #[case] expect: Expect) {
    driver::run(cell(Step::BetweenTokens, fault, expect.attempts(1)));
}
