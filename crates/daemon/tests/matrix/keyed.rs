//! A request with a key runs at most once, and a repeat at the other entry
//! gets the same response or a correct outcome.

use rstest::rstest;

use crate::{
    cell::{Cell, Expect, Fault, Kind, Outcome, Stage, Step, Thaw},
    driver,
};

const fn cell(step: Step, fault: Fault, expect: Expect) -> Cell {
    Cell { kind: Kind::Keyed, step, fault, expect }
}

const fn completed() -> Expect {
    Expect::completed().attempts(1)
}

const fn failed() -> Expect {
    Expect::failed()
}

#[rstest]
#[case::store_down(Fault::StoreDown, Expect::not_run())]
#[case::store_slow(Fault::StoreSlow, completed())]
#[case::store_response_lost(Fault::StoreResponseLost, completed())]
#[case::first_side_killed(Fault::SideKilled(Stage::First), completed())]
#[case::first_engine_killed(Fault::EngineKilled(Stage::First), completed())]
#[case::first_side_frozen(
    Fault::SideFrozen(Stage::First, Thaw::Afterwards),
    Expect::unknown().repeat(Outcome::Completed))]
#[case::connection_silent(Fault::Silent(Stage::First), completed())]
#[case::connection_stalled(Fault::Stalled(Stage::First), completed())]
fn accepted(#[case] fault: Fault, #[case] expect: Expect) {
    driver::run(cell(Step::Accepted, fault, expect));
}

#[rstest]
#[case::first_side_killed(Fault::SideKilled(Stage::First), Expect::not_run())]
#[case::first_engine_killed(
    Fault::EngineKilled(Stage::First),
    Expect::not_run()
)]
#[case::last_engine_killed(Fault::EngineKilled(Stage::Last), failed())]
fn accepted_single_chain(#[case] fault: Fault, #[case] expect: Expect) {
    driver::run(cell(Step::AcceptedSingleChain, fault, expect));
}

#[rstest]
#[case::entry_killed(Fault::EntryKilled, Expect::no_response())]
#[case::entry_frozen(Fault::EntryFrozen(Thaw::Late), completed())]
#[case::store_down(Fault::StoreDown, Expect::not_run())]
#[case::store_response_lost(Fault::StoreResponseLost, completed())]
fn claimed(#[case] fault: Fault, #[case] expect: Expect) {
    driver::run(cell(Step::Claimed, fault, expect));
}

#[rstest]
#[case::first_side_killed(
    Fault::SideKilled(Stage::First), Expect::unknown().attempts(0))]
#[case::connection_silent(Fault::Silent(Stage::First), completed())]
#[case::entry_killed(Fault::EntryKilled, Expect::no_response())]
fn queued(#[case] fault: Fault, #[case] expect: Expect) {
    driver::run(cell(Step::Queued, fault, expect));
}

#[rstest]
#[case::first_side_killed(
    Fault::SideKilled(Stage::First), failed().after_query())]
#[case::first_engine_killed(Fault::EngineKilled(Stage::First), failed())]
#[case::last_side_killed(Fault::SideKilled(Stage::Last), failed())]
#[case::entry_killed(Fault::EntryKilled, Expect::no_response())]
#[case::store_down(Fault::StoreDown, completed())]
fn dispatched(#[case] fault: Fault, #[case] expect: Expect) {
    driver::run(cell(Step::Dispatched, fault, expect));
}

const FIRST_SIDE_KILLED: Fault = Fault::SideKilled(Stage::First);
const ENTRY_KILLED: Fault = Fault::EntryKilled;
const ENTRY_SILENT: Fault = Fault::Silent(Stage::First);
const STORE_DOWN: Fault = Fault::StoreDown;

#[rstest]
#[case::first_side_killed(
    Fault::SideKilled(Stage::First), failed().after_query())]
#[case::first_side_restarted(Fault::SideRestarted(Stage::First), failed())]
#[case::last_side_killed(Fault::SideKilled(Stage::Last), failed())]
#[case::first_engine_killed(Fault::EngineKilled(Stage::First), failed())]
#[case::last_engine_frozen(
    Fault::EngineFrozen(Stage::Last, Thaw::Afterwards),
    failed()
)]
#[case::first_side_frozen(
    Fault::SideFrozen(Stage::First, Thaw::Afterwards), failed().after_query())]
#[case::connection_reset(Fault::Reset(Stage::First), completed())]
#[case::connection_silent(Fault::Silent(Stage::First), completed())]
#[case::stage_connection_silent(Fault::Silent(Stage::Last), failed())]
#[case::entry_killed(Fault::EntryKilled, Expect::no_response())]
#[case::entry_frozen(Fault::EntryFrozen(Thaw::Late), completed())]
#[case::entry_terminated(Fault::EntryTerminated, completed())]
#[case::first_side_terminated(
    Fault::SideTerminated(Stage::First),
    completed()
)]
#[case::store_down(Fault::StoreDown, completed())]
#[case::store_slow(Fault::StoreSlow, completed())]
#[case::store_response_lost(Fault::StoreResponseLost, completed())]
#[case::entry_and_side_killed(
    Fault::Both(&ENTRY_KILLED, &FIRST_SIDE_KILLED),
    Expect::no_response().repeat(Outcome::Unknown))]
#[case::silent_and_store_down(
    Fault::Both(&ENTRY_SILENT, &STORE_DOWN), completed())]
fn between_tokens(#[case] fault: Fault, #[case] expect: Expect) {
    driver::run(cell(Step::BetweenTokens, fault, expect));
}

#[rstest]
#[case::first_side_killed(
    Fault::SideKilled(Stage::First), failed().after_query())]
#[case::entry_killed(Fault::EntryKilled, Expect::no_response())]
#[case::connection_silent(Fault::Silent(Stage::First), completed())]
#[case::store_response_lost(Fault::StoreResponseLost, completed())]
fn last_token(#[case] fault: Fault, #[case] expect: Expect) {
    driver::run(cell(Step::LastToken, fault, expect));
}

#[rstest]
#[case::entry_killed(Fault::EntryKilled, completed())]
#[case::store_down(Fault::StoreDown, completed())]
#[case::entry_and_side_killed(
    Fault::Both(&ENTRY_KILLED, &FIRST_SIDE_KILLED),
    completed().repeat(Outcome::Unknown))]
fn recording(#[case] fault: Fault, #[case] expect: Expect) {
    driver::run(cell(Step::Recording, fault, expect));
}

#[rstest]
#[case::entry_killed(Fault::EntryKilled, completed())]
#[case::store_down(Fault::StoreDown, completed())]
#[case::entry_and_side_killed(
    Fault::Both(&ENTRY_KILLED, &FIRST_SIDE_KILLED), completed())]
fn recorded(#[case] fault: Fault, #[case] expect: Expect) {
    driver::run(cell(Step::Recorded, fault, expect));
}

#[rstest]
#[case::first_side_killed(Fault::SideKilled(Stage::First), completed())]
#[case::entry_killed(Fault::EntryKilled, completed())]
#[case::entry_and_side_killed(
    Fault::Both(&ENTRY_KILLED, &FIRST_SIDE_KILLED), completed())]
fn answered(#[case] fault: Fault, #[case] expect: Expect) {
    driver::run(cell(Step::Answered, fault, expect));
}
