//! Benchmarks of chestnutreach over separate processes on loopback.
//!
//! Build everything in release first (`cargo build --release --workspace`):
//! the daemons and stand-ins are those beside this program. Times hold for
//! the machine and its load only; ratios and counts within a run are what
//! can be compared.
//!
//! | module | what it holds |
//! |---|---|
//! | `load` | the open-loop load generator |
//! | `machine` | what processes use, from `/proc` |
//! | `report` | figures as text or JSON |
//! | `overhead` | time added by entries and sides |
//! | `core` | requests and tokens a second of one core |
//! | `memory` | memory of an open stream |
//! | `idle` | what nodes without requests spend |
//! | `change` | time until a new generation is in force, and its cost |
//! | `claims` | store writes and time of claims |
//! | `run_once` | time of the run-once table's operations |
//! | `decision` | time of the choice of a chain |
//! | `check` | small versions against the committed bounds |
//! | `polls` | bytes of one poll of the platform's services |
//! | `control` | bytes over links, from metrics |

mod change;
mod check;
mod claims;
mod commands;
mod control;
mod core;
mod decision;
mod idle;
mod load;
mod machine;
mod memory;
mod overhead;
mod polls;
mod report;
mod run_once;

use std::process::ExitCode;

fn main() -> ExitCode {
    let arguments = commands::command().get_matches();
    match commands::run(&arguments) {
        Ok(code) => code,
        Err(e) => {
            eprintln!("chestnutreach-bench: {e:#}");
            ExitCode::FAILURE
        }
    }
}
