//! Calls of a plain service: lookups, and writes with and without a key.

use rstest::rstest;

use crate::{
    cell::{At, Cell, Expect, Fault, Kind, Step, Thaw, Told},
    driver,
};

const fn cell(kind: Kind, step: Step, fault: Fault, expect: Expect) -> Cell {
    Cell { kind, step, fault, expect }
}

const fn whole() -> Expect {
    Expect::completed()
}

#[rstest]
#[case::accepted_side_killed(
    Step::Accepted,
    Fault::SideKilled(At::First),
    whole()
)]
#[case::accepted_service_killed(
    Step::Accepted,
    Fault::EngineKilled(At::First),
    whole()
)]
#[case::accepted_side_frozen(
    Step::Accepted,
    Fault::SideFrozen(At::First, Thaw::Afterwards),
    whole()
)]
#[case::dispatched_side_killed(
    Step::Dispatched,
    Fault::SideKilled(At::First),
    whole()
)]
#[case::dispatched_service_killed(
    Step::Dispatched,
    Fault::EngineKilled(At::First),
    whole()
)]
#[case::dispatched_connection_silent(
    Step::Dispatched, Fault::Silent(At::First), whole().attempts(1))]
#[case::run_service_killed(
    Step::Prefill,
    Fault::EngineKilled(At::First),
    whole()
)]
#[case::run_connection_reset(
    Step::Prefill, Fault::Reset(At::First), whole().attempts(1))]
fn lookup(#[case] step: Step, #[case] fault: Fault, #[case] expect: Expect) {
    driver::run(cell(Kind::Lookup, step, fault, expect));
}

#[rstest]
#[case::accepted_service_killed(
    Step::Accepted, Fault::EngineKilled(At::First), whole().attempts(1))]
#[case::dispatched_service_killed(
    Step::Dispatched,
    Fault::EngineKilled(At::First),
    Expect::failed().attempts(0))]
#[case::dispatched_side_killed(
    Step::Dispatched,
    Fault::SideKilled(At::First),
    Expect::failed().after_asking())]
#[case::run_service_killed(
    Step::Prefill,
    Fault::EngineKilled(At::First),
    Expect::failed().attempts(1))]
#[case::run_side_killed(
    Step::Prefill,
    Fault::SideKilled(At::First),
    Expect::failed().attempts(1).after_asking())]
#[case::run_connection_reset(
    Step::Prefill, Fault::Reset(At::First), whole().attempts(1))]
#[case::run_connection_silent(
    Step::Prefill, Fault::Silent(At::First), whole().attempts(1))]
#[case::run_side_terminated(
    Step::Prefill, Fault::SideTerminated(At::First), whole().attempts(1))]
fn post(#[case] step: Step, #[case] fault: Fault, #[case] expect: Expect) {
    driver::run(cell(Kind::Post, step, fault, expect));
}

#[rstest]
#[case::accepted_store_down(
    Step::Accepted,
    Fault::StoreDown,
    Expect::not_run()
)]
#[case::accepted_store_answer_lost(
    Step::Accepted, Fault::StoreAnswerLost, whole().attempts(1))]
#[case::claimed_entry_killed(
    Step::Claimed,
    Fault::EntryKilled,
    Expect::broken()
)]
#[case::dispatched_service_killed(
    Step::Dispatched,
    Fault::EngineKilled(At::First),
    Expect::failed().attempts(0))]
#[case::run_entry_killed(Step::Prefill, Fault::EntryKilled, Expect::broken())]
#[case::run_service_killed(
    Step::Prefill,
    Fault::EngineKilled(At::First),
    Expect::failed().attempts(1))]
#[case::run_connection_silent(
    Step::Prefill, Fault::Silent(At::First), whole().attempts(1))]
#[case::run_store_down(
    Step::Prefill, Fault::StoreDown, whole().attempts(1))]
#[case::recording_entry_killed(
    Step::Recording, Fault::EntryKilled, whole().attempts(1))]
#[case::recorded_entry_killed(
    Step::Recorded, Fault::EntryKilled, whole().attempts(1))]
#[case::answered_side_killed(
    Step::Answered, Fault::SideKilled(At::First), whole().attempts(1))]
fn receipt(#[case] step: Step, #[case] fault: Fault, #[case] expect: Expect) {
    driver::run(cell(Kind::Receipt, step, fault, expect));
}

const ENTRY_KILLED: Fault = Fault::EntryKilled;
const SIDE_KILLED: Fault = Fault::SideKilled(At::First);

#[rstest]
fn receipt_that_nobody_can_tell_of() {
    let fault = Fault::Both(&ENTRY_KILLED, &SIDE_KILLED);
    let expect = Expect::broken().repeat(Told::Unknown);
    driver::run(cell(Kind::Receipt, Step::Prefill, fault, expect));
}
