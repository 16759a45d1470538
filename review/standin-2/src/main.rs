//! The cases of `review/` that start processes.

mod client;
mod engine;
mod entry;
mod feed;
mod fleet;
mod guard;
mod http;
mod json;
mod memory;
mod record;
mod restart;
mod store;

use std::{env, process::ExitCode};

fn main() -> ExitCode {
    let arguments: Vec<String> = env::args().collect();
    let [_, case, path] = &arguments[..] else {
        eprintln!("usage: review-standin-2 CASE RECORD");
        return ExitCode::from(2);
    };
    let has_trouble = env::var("TROUBLE").map_or(true, |value| value != "0");
    let result = match case.as_str() {
        "feed" => feed::run(path, has_trouble),
        "guard" => guard::run(),
        "memory" => memory::run(path, has_trouble),
        "restart" => restart::run(path, has_trouble),
        "server" => restart::serve(),
        _ => Err(std::io::Error::other("no such case")),
    };
    match result {
        Ok(true) => ExitCode::SUCCESS,
        Ok(false) => ExitCode::from(1),
        Err(e) => {
            eprintln!("the case couldn't run: {e}");
            ExitCode::from(2)
        }
    }
}
