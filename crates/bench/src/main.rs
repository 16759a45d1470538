//! Benchmarks of chestnutreach over separate processes on loopback.
//!
//! Build the workspace in release mode first (`cargo build --release
//! --workspace`): the benchmarks start the daemons and stand-ins from the
//! directory of this program. Times depend on the machine and its load;
//! compare only ratios and counts of one run.
//!
//! | module | contents |
//! |---|---|
//! | `load` | the open-loop load generator |
//! | `machine` | CPU time and memory of processes, from `/proc` |
//! | `report` | output of figures as text or JSON |
//! | `overhead` | latency added by entries and sides |
//! | `core` | requests and tokens per second of one core |
//! | `memory` | memory per open stream |
//! | `idle` | resource usage of nodes without requests |
//! | `change` | time and cost of putting a new generation in force |
//! | `claims` | store writes and latency of claims |
//! | `run_once` | time of the run-once table's operations |
//! | `decision` | time to choose a chain |
//! | `check` | small runs, compared with the committed bounds |
//! | `polls` | bytes per poll of the platform services |
//! | `control` | bytes sent over control links, from metrics |

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
