//! A request without a key that may run at most once.

use rstest::rstest;

use crate::{
    cell::{At, Cell, Expect, Fault, Kind, Step, Thaw},
    driver,
};

const fn cell(step: Step, fault: Fault, expect: Expect) -> Cell {
    Cell { kind: Kind::Once, step, fault, expect }
}

const fn whole() -> Expect {
    Expect::completed().attempts(1)
}

const fn failed() -> Expect {
    Expect::failed()
}

#[rstest]
#[case::first_side_killed(Fault::SideKilled(At::First), whole())]
#[case::first_side_frozen(
    Fault::SideFrozen(At::First, Thaw::Afterwards),
    Expect::unknown()
)]
#[case::first_engine_killed(Fault::EngineKilled(At::First), whole())]
#[case::connection_silent(Fault::Silent(At::First), whole())]
#[case::store_down(Fault::StoreDown, whole())]
#[case::connection_stalled(Fault::Stalled(At::First), whole())]
fn accepted(#[case] fault: Fault, #[case] expect: Expect) {
    driver::run(cell(Step::Accepted, fault, expect));
}

#[rstest]
#[case::first_side_killed(Fault::SideKilled(At::First), Expect::not_run())]
#[case::last_side_killed(Fault::SideKilled(At::Last), Expect::not_run())]
#[case::first_engine_killed(Fault::EngineKilled(At::First), Expect::not_run())]
#[case::last_engine_killed(
    Fault::EngineKilled(At::Last),
    failed().attempts(1)
)]
#[case::first_side_terminated(
    Fault::SideTerminated(At::First),
    Expect::not_run()
)]
#[case::connection_silent(Fault::Silent(At::First), Expect::not_run())]
#[case::connection_stalled(Fault::Stalled(At::First), Expect::not_run())]
fn accepted_alone(#[case] fault: Fault, #[case] expect: Expect) {
    driver::run(cell(Step::AcceptedAlone, fault, expect));
}

#[rstest]
#[case::first_side_killed(
    Fault::SideKilled(At::First), Expect::unknown().attempts(0))]
#[case::first_side_restarted(
    Fault::SideRestarted(At::First), Expect::unknown().attempts(0))]
#[case::last_side_killed(Fault::SideKilled(At::Last), whole())]
#[case::first_engine_killed(Fault::EngineKilled(At::First), whole())]
#[case::connection_reset(Fault::Reset(At::First), whole())]
#[case::connection_silent(Fault::Silent(At::First), whole())]
#[case::first_side_terminated(Fault::SideTerminated(At::First), whole())]
#[case::first_listed_leaving(Fault::ListedLeaving(At::First), whole())]
fn queued(#[case] fault: Fault, #[case] expect: Expect) {
    driver::run(cell(Step::Queued, fault, expect));
}

#[rstest]
#[case::first_side_killed(
    Fault::SideKilled(At::First), failed().after_asking())]
#[case::last_side_killed(Fault::SideKilled(At::Last), failed())]
#[case::first_engine_killed(
    Fault::EngineKilled(At::First), failed().attempts(0))]
#[case::last_engine_killed(Fault::EngineKilled(At::Last), failed())]
#[case::first_engine_frozen(
    Fault::EngineFrozen(At::First, Thaw::Afterwards),
    failed()
)]
#[case::connection_reset(Fault::Reset(At::First), whole())]
#[case::connection_silent(Fault::Silent(At::First), whole())]
fn dispatched(#[case] fault: Fault, #[case] expect: Expect) {
    driver::run(cell(Step::Dispatched, fault, expect));
}

#[rstest]
#[case::first_side_killed(
    Fault::SideKilled(At::First), failed().attempts(1).after_asking())]
#[case::first_engine_killed(
    Fault::EngineKilled(At::First), failed().attempts(1))]
#[case::stage_connection_reset(
    Fault::Reset(At::Last), failed().attempts(1))]
fn prefill(#[case] fault: Fault, #[case] expect: Expect) {
    driver::run(cell(Step::Prefill, fault, expect));
}

#[rstest]
#[case::first_side_killed(
    Fault::SideKilled(At::First), failed().after_asking())]
#[case::first_side_restarted(Fault::SideRestarted(At::First), failed())]
#[case::last_side_killed(Fault::SideKilled(At::Last), failed())]
#[case::first_side_frozen_soon_thawed(
    Fault::SideFrozen(At::First, Thaw::Soon),
    whole()
)]
#[case::first_side_frozen(
    Fault::SideFrozen(At::First, Thaw::Afterwards), failed().after_asking())]
#[case::last_side_frozen(
    Fault::SideFrozen(At::Last, Thaw::Afterwards),
    failed()
)]
#[case::first_engine_killed(Fault::EngineKilled(At::First), failed())]
#[case::last_engine_killed(Fault::EngineKilled(At::Last), failed())]
#[case::first_engine_frozen(
    Fault::EngineFrozen(At::First, Thaw::Afterwards),
    failed()
)]
#[case::connection_reset(Fault::Reset(At::First), whole())]
#[case::connection_silent(Fault::Silent(At::First), whole())]
#[case::connection_slow(Fault::Slow(At::First), whole())]
#[case::stage_connection_reset(Fault::Reset(At::Last), failed())]
#[case::stage_connection_silent(Fault::Silent(At::Last), failed())]
#[case::entry_killed(Fault::EntryKilled, Expect::broken())]
#[case::entry_frozen(Fault::EntryFrozen(Thaw::Late), whole())]
#[case::store_down(Fault::StoreDown, whole())]
#[case::first_listed_leaving(Fault::ListedLeaving(At::First), whole())]
#[case::first_side_terminated(Fault::SideTerminated(At::First), whole())]
#[case::last_side_terminated(Fault::SideTerminated(At::Last), whole())]
#[case::entry_terminated(Fault::EntryTerminated, whole())]
fn between_tokens(#[case] fault: Fault, #[case] expect: Expect) {
    driver::run(cell(Step::BetweenTokens, fault, expect.attempts(1)));
}

#[rstest]
#[case::first_side_killed(
    Fault::SideKilled(At::First), failed().after_asking())]
#[case::last_side_killed(Fault::SideKilled(At::Last), failed())]
#[case::last_engine_killed(Fault::EngineKilled(At::Last), failed())]
#[case::connection_reset(Fault::Reset(At::First), whole())]
#[case::connection_silent(Fault::Silent(At::First), whole())]
#[case::stage_connection_silent(Fault::Silent(At::Last), failed())]
#[case::entry_frozen(Fault::EntryFrozen(Thaw::Late), whole())]
fn last_token(#[case] fault: Fault, #[case] expect: Expect) {
    driver::run(cell(Step::LastToken, fault, expect.attempts(1)));
}

const FIRST_SIDE_KILLED: Fault = Fault::SideKilled(At::First);
const LAST_SIDE_KILLED: Fault = Fault::SideKilled(At::Last);
const ENTRY_SILENT: Fault = Fault::Silent(At::First);
const ENTRY_RESET: Fault = Fault::Reset(At::First);
const STAGE_SILENT: Fault = Fault::Silent(At::Last);

#[rstest]
#[case::both_sides_killed(
    Fault::Both(&FIRST_SIDE_KILLED, &LAST_SIDE_KILLED),
    failed().after_asking())]
#[case::both_connections_silent(
    Fault::Both(&ENTRY_SILENT, &STAGE_SILENT), failed())]
#[case::silent_then_reset(Fault::Both(&ENTRY_SILENT, &ENTRY_RESET), whole())]
fn two_faults(#[case] fault: Fault, #[case] expect: Expect) {
    driver::run(cell(Step::BetweenTokens, fault, expect.attempts(1)));
}
