//! A request with a key: one run at most, and a repeat at the other entry
//! gets the same answer or an honest word.

use rstest::rstest;

use crate::{
    cell::{At, Cell, Expect, Fault, Kind, Step, Thaw, Told},
    driver,
};

const fn cell(step: Step, fault: Fault, expect: Expect) -> Cell {
    Cell { kind: Kind::Keyed, step, fault, expect }
}

const fn whole() -> Expect {
    Expect::completed().attempts(1)
}

const fn failed() -> Expect {
    Expect::failed()
}

#[rstest]
#[case::store_down(Fault::StoreDown, Expect::not_run())]
#[case::store_slow(Fault::StoreSlow, whole())]
#[case::store_answer_lost(Fault::StoreAnswerLost, whole())]
#[case::first_side_killed(Fault::SideKilled(At::First), whole())]
#[case::first_engine_killed(Fault::EngineKilled(At::First), whole())]
#[case::first_side_frozen(
    Fault::SideFrozen(At::First, Thaw::Afterwards),
    Expect::unknown().repeat(Told::Completed))]
#[case::connection_silent(Fault::Silent(At::First), whole())]
#[case::connection_stalled(Fault::Stalled(At::First), whole())]
fn accepted(#[case] fault: Fault, #[case] expect: Expect) {
    driver::run(cell(Step::Accepted, fault, expect));
}

#[rstest]
#[case::first_side_killed(Fault::SideKilled(At::First), Expect::not_run())]
#[case::first_engine_killed(Fault::EngineKilled(At::First), Expect::not_run())]
#[case::last_engine_killed(Fault::EngineKilled(At::Last), failed())]
fn accepted_alone(#[case] fault: Fault, #[case] expect: Expect) {
    driver::run(cell(Step::AcceptedAlone, fault, expect));
}

#[rstest]
#[case::entry_killed(Fault::EntryKilled, Expect::broken())]
#[case::entry_frozen(Fault::EntryFrozen(Thaw::Late), whole())]
#[case::store_down(Fault::StoreDown, Expect::not_run())]
#[case::store_answer_lost(Fault::StoreAnswerLost, whole())]
fn claimed(#[case] fault: Fault, #[case] expect: Expect) {
    driver::run(cell(Step::Claimed, fault, expect));
}

#[rstest]
#[case::first_side_killed(
    Fault::SideKilled(At::First), Expect::unknown().attempts(0))]
#[case::connection_silent(Fault::Silent(At::First), whole())]
#[case::entry_killed(Fault::EntryKilled, Expect::broken())]
fn queued(#[case] fault: Fault, #[case] expect: Expect) {
    driver::run(cell(Step::Queued, fault, expect));
}

#[rstest]
#[case::first_side_killed(
    Fault::SideKilled(At::First), failed().after_asking())]
#[case::first_engine_killed(Fault::EngineKilled(At::First), failed())]
#[case::last_side_killed(Fault::SideKilled(At::Last), failed())]
#[case::entry_killed(Fault::EntryKilled, Expect::broken())]
#[case::store_down(Fault::StoreDown, whole())]
fn dispatched(#[case] fault: Fault, #[case] expect: Expect) {
    driver::run(cell(Step::Dispatched, fault, expect));
}

const FIRST_SIDE_KILLED: Fault = Fault::SideKilled(At::First);
const ENTRY_KILLED: Fault = Fault::EntryKilled;
const ENTRY_SILENT: Fault = Fault::Silent(At::First);
const STORE_DOWN: Fault = Fault::StoreDown;

#[rstest]
#[case::first_side_killed(
    Fault::SideKilled(At::First), failed().after_asking())]
#[case::first_side_restarted(Fault::SideRestarted(At::First), failed())]
#[case::last_side_killed(Fault::SideKilled(At::Last), failed())]
#[case::first_engine_killed(Fault::EngineKilled(At::First), failed())]
#[case::last_engine_frozen(
    Fault::EngineFrozen(At::Last, Thaw::Afterwards),
    failed()
)]
#[case::first_side_frozen(
    Fault::SideFrozen(At::First, Thaw::Afterwards), failed().after_asking())]
#[case::connection_reset(Fault::Reset(At::First), whole())]
#[case::connection_silent(Fault::Silent(At::First), whole())]
#[case::stage_connection_silent(Fault::Silent(At::Last), failed())]
#[case::entry_killed(Fault::EntryKilled, Expect::broken())]
#[case::entry_frozen(Fault::EntryFrozen(Thaw::Late), whole())]
#[case::entry_terminated(Fault::EntryTerminated, whole())]
#[case::first_side_terminated(Fault::SideTerminated(At::First), whole())]
#[case::store_down(Fault::StoreDown, whole())]
#[case::store_slow(Fault::StoreSlow, whole())]
#[case::store_answer_lost(Fault::StoreAnswerLost, whole())]
#[case::entry_and_side_killed(
    Fault::Both(&ENTRY_KILLED, &FIRST_SIDE_KILLED),
    Expect::broken().repeat(Told::Unknown))]
#[case::silent_and_store_down(
    Fault::Both(&ENTRY_SILENT, &STORE_DOWN), whole())]
fn between_tokens(#[case] fault: Fault, #[case] expect: Expect) {
    driver::run(cell(Step::BetweenTokens, fault, expect));
}

#[rstest]
#[case::first_side_killed(
    Fault::SideKilled(At::First), failed().after_asking())]
#[case::entry_killed(Fault::EntryKilled, Expect::broken())]
#[case::connection_silent(Fault::Silent(At::First), whole())]
#[case::store_answer_lost(Fault::StoreAnswerLost, whole())]
fn last_token(#[case] fault: Fault, #[case] expect: Expect) {
    driver::run(cell(Step::LastToken, fault, expect));
}

#[rstest]
#[case::entry_killed(Fault::EntryKilled, whole())]
#[case::store_down(Fault::StoreDown, whole())]
#[case::entry_and_side_killed(
    Fault::Both(&ENTRY_KILLED, &FIRST_SIDE_KILLED),
    whole().repeat(Told::Unknown))]
fn recording(#[case] fault: Fault, #[case] expect: Expect) {
    driver::run(cell(Step::Recording, fault, expect));
}

#[rstest]
#[case::entry_killed(Fault::EntryKilled, whole())]
#[case::store_down(Fault::StoreDown, whole())]
#[case::entry_and_side_killed(
    Fault::Both(&ENTRY_KILLED, &FIRST_SIDE_KILLED), whole())]
fn recorded(#[case] fault: Fault, #[case] expect: Expect) {
    driver::run(cell(Step::Recorded, fault, expect));
}

#[rstest]
#[case::first_side_killed(Fault::SideKilled(At::First), whole())]
#[case::entry_killed(Fault::EntryKilled, whole())]
#[case::entry_and_side_killed(
    Fault::Both(&ENTRY_KILLED, &FIRST_SIDE_KILLED), whole())]
fn answered(#[case] fault: Fault, #[case] expect: Expect) {
    driver::run(cell(Step::Answered, fault, expect));
}
