//! What the process says when it ends.
//!
//! A script may depend on the codes: a meaning never changes, and a new one
//! gets a new number. `clap` ends with [`FINDINGS`] itself when the command
//! line is wrong.

use std::{fmt::Write as _, process::ExitCode};

/// Done.
pub(crate) const DONE: u8 = 0;
/// Not done, or not known.
pub(crate) const FAILED: u8 = 1;
/// The command line or a file is wrong.
pub(crate) const FINDINGS: u8 = 2;
/// Another manifest came first.
pub(crate) const REFUSED: u8 = 3;
/// A daemon is not reached or not yet as it should be.
pub(crate) const LAGGING: u8 = 4;
/// It may or may not have been done.
pub(crate) const UNKNOWN: u8 = 5;

/// How a subcommand ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Exit {
    Done,
    Failed,
    Findings,
    Refused,
    Lagging,
    Unknown,
}

impl Exit {
    const ALL: [Exit; 6] = [
        Exit::Done,
        Exit::Failed,
        Exit::Findings,
        Exit::Refused,
        Exit::Lagging,
        Exit::Unknown,
    ];

    fn code(self) -> u8 {
        match self {
            Exit::Done => DONE,
            Exit::Failed => FAILED,
            Exit::Findings => FINDINGS,
            Exit::Refused => REFUSED,
            Exit::Lagging => LAGGING,
            Exit::Unknown => UNKNOWN,
        }
    }

    fn meaning(self) -> &'static str {
        match self {
            Exit::Done => "done",
            Exit::Failed => "not done: a process or a store failed",
            Exit::Findings => "the command line or a manifest is wrong",
            Exit::Refused => {
                "refused: another manifest was accepted first, or the id \
                 was used"
            }
            Exit::Lagging => {
                "a daemon is not reached, lags behind, or has not drained"
            }
            Exit::Unknown => {
                "it may or may not have been done; repeat it (apply: with the \
                 same submission)"
            }
        }
    }
}

impl From<Exit> for ExitCode {
    fn from(exit: Exit) -> ExitCode {
        ExitCode::from(exit.code())
    }
}

/// The codes, for `--help`.
pub(crate) fn help() -> String {
    let mut text = "Exit codes:".to_owned();
    for exit in Exit::ALL {
        let (code, meaning) = (exit.code(), exit.meaning());
        let _ = write!(text, "\n  {code}  {meaning}");
    }
    text
}
