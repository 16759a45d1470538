//! Calls of a plain service: lookups, and writes with and without a key.

use rstest::rstest;

use crate::{
    cell::{Cell, Expect, Fault, Kind, Outcome, Stage, Step, Thaw},
    driver,
};

const fn cell(kind: Kind, step: Step, fault: Fault, expect: Expect) -> Cell {
    Cell { kind, step, fault, expect }
}

const fn completed() -> Expect {
    Expect::completed()
}

#[rstest]
#[case::accepted_side_killed(
    Step::Accepted,
    Fault::SideKilled(Stage::First),
    completed()
)]
#[case::accepted_service_killed(
    Step::Accepted,
    Fault::EngineKilled(Stage::First),
    completed()
)]
#[case::accepted_side_frozen(
    Step::Accepted,
    Fault::SideFrozen(Stage::First, Thaw::Afterwards),
    completed()
)]
#[case::dispatched_side_killed(
    Step::Dispatched,
    Fault::SideKilled(Stage::First),
    completed()
)]
#[case::dispatched_service_killed(
    Step::Dispatched,
    Fault::EngineKilled(Stage::First),
    completed()
)]
#[case::dispatched_connection_silent(
    Step::Dispatched, Fault::Silent(Stage::First), completed().attempts(1))]
#[case::run_service_killed(
    Step::Prefill,
    Fault::EngineKilled(Stage::First),
    completed()
)]
#[case::run_connection_reset(
    Step::Prefill, Fault::Reset(Stage::First), completed().attempts(1))]
fn lookup(#[case] step: Step, #[case] fault: Fault, #[case] expect: Expect) {
    driver::run(cell(Kind::Lookup, step, fault, expect));
}

#[rstest]
#[case::accepted_service_killed(
    Step::Accepted,
    Fault::EngineKilled(Stage::First),
    completed().attempts(1))]
#[case::dispatched_service_killed(
    Step::Dispatched,
    Fault::EngineKilled(Stage::First),
    Expect::failed().attempts(0))]
#[case::dispatched_side_killed(
    Step::Dispatched,
    Fault::SideKilled(Stage::First),
    Expect::failed().after_query())]
#[case::run_service_killed(
    Step::Prefill,
    Fault::EngineKilled(Stage::First),
    Expect::failed().attempts(1))]
#[case::run_side_killed(
    Step::Prefill,
    Fault::SideKilled(Stage::First),
    Expect::failed().attempts(1).after_query())]
#[case::run_connection_reset(
    Step::Prefill, Fault::Reset(Stage::First), completed().attempts(1))]
#[case::run_connection_silent(
    Step::Prefill, Fault::Silent(Stage::First), completed().attempts(1))]
#[case::run_side_terminated(
    Step::Prefill,
    Fault::SideTerminated(Stage::First),
    completed().attempts(1))]
fn post(#[case] step: Step, #[case] fault: Fault, #[case] expect: Expect) {
    driver::run(cell(Kind::Post, step, fault, expect));
}

#[rstest]
#[case::accepted_store_down(
    Step::Accepted,
    Fault::StoreDown,
    Expect::not_run()
)]
#[case::accepted_store_response_lost(
    Step::Accepted, Fault::StoreResponseLost, completed().attempts(1))]
#[case::claimed_entry_killed(
    Step::Claimed,
    Fault::EntryKilled,
    Expect::no_response()
)]
#[case::dispatched_service_killed(
    Step::Dispatched,
    Fault::EngineKilled(Stage::First),
    Expect::failed().attempts(0))]
#[case::run_entry_killed(
    Step::Prefill,
    Fault::EntryKilled,
    Expect::no_response()
)]
#[case::run_service_killed(
    Step::Prefill,
    Fault::EngineKilled(Stage::First),
    Expect::failed().attempts(1))]
#[case::run_connection_silent(
    Step::Prefill, Fault::Silent(Stage::First), completed().attempts(1))]
#[case::run_store_down(
    Step::Prefill, Fault::StoreDown, completed().attempts(1))]
#[case::recording_entry_killed(
    Step::Recording, Fault::EntryKilled, completed().attempts(1))]
#[case::recorded_entry_killed(
    Step::Recorded, Fault::EntryKilled, completed().attempts(1))]
#[case::answered_side_killed(
    Step::Answered, Fault::SideKilled(Stage::First), completed().attempts(1))]
fn receipt(#[case] step: Step, #[case] fault: Fault, #[case] expect: Expect) {
    driver::run(cell(Kind::Receipt, step, fault, expect));
}

const ENTRY_KILLED: Fault = Fault::EntryKilled;
const SIDE_KILLED: Fault = Fault::SideKilled(Stage::First);

#[rstest]
fn receipt_of_unknown_outcome() {
    let fault = Fault::Both(&ENTRY_KILLED, &SIDE_KILLED);
    let expect = Expect::no_response().repeat(Outcome::Unknown);
    driver::run(cell(Kind::Receipt, Step::Prefill, fault, expect));
}
