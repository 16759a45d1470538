//! Stand-ins of the platform and the scripts that use them.
//!
//! `review-standin CASE DIR` plays a case and writes `record.txt` in DIR; it
//! exits with 1 if the rule was broken, 0 if it held and 2 if the case could
//! not run. With `TROUBLE=0` the disruption is left out.

mod case_deadline;
mod case_replaced;
mod case_silent;
mod case_unframed;
mod client;
mod config;
mod engine;
mod entry;
mod http;
mod json;
mod proxy;
mod record;
mod site;
mod store;

use std::path::PathBuf;
use std::process::ExitCode;
use std::time::Duration;

use case_unframed::Trouble::{Crashes, Leaves};

fn main() -> ExitCode {
    let arguments: Vec<String> = std::env::args().collect();
    if arguments.get(1).is_some_and(|a| a == "engine") {
        site::run_engine_process(&arguments[2..]);
        return ExitCode::SUCCESS;
    }
    if arguments.get(1).is_some_and(|a| a == "guard") {
        entry::run_guard();
        return ExitCode::SUCCESS;
    }
    let (Some(case), Some(dir)) = (arguments.get(1), arguments.get(2)) else {
        eprintln!("usage: review-standin CASE DIR");
        return ExitCode::from(2);
    };
    let dir = PathBuf::from(dir);
    let has_trouble = std::env::var("TROUBLE").map_or(true, |v| v != "0");
    entry::start_guard();
    entry::end_after(Duration::from_secs(105));
    let verdict = match case.as_str() {
        "unframed" => case_unframed::play(&dir, Leaves, has_trouble),
        "crash" => case_unframed::play(&dir, Crashes, has_trouble),
        "deadline" => case_deadline::play(&dir, has_trouble),
        "replaced" => case_replaced::play(&dir, has_trouble),
        "silent" => case_silent::play(&dir, has_trouble),
        _ => Err(format!("no case {case:?}")),
    };
    match verdict {
        Ok(true) => ExitCode::from(1),
        Ok(false) => ExitCode::SUCCESS,
        Err(why) => {
            eprintln!("the case could not run: {why}");
            ExitCode::from(2)
        }
    }
}
