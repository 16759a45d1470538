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

mod commands;
mod core;
mod load;
mod machine;
mod overhead;
mod report;

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
