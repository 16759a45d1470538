//! Exit codes.
//!
//! Scripts depend on the codes: the meaning of a code never changes, and a new
//! meaning gets a new code. `clap` exits with [`FINDINGS`] if the command line
//! is invalid.

use std::{fmt::Write as _, process::ExitCode};

/// Success.
pub(crate) const DONE: u8 = 0;
/// A process or a store failed, or the requested item is unknown.
pub(crate) const FAILED: u8 = 1;
/// The command line or a file is invalid.
pub(crate) const FINDINGS: u8 = 2;
/// Another manifest was accepted first, or the command is refused.
pub(crate) const REFUSED: u8 = 3;
/// A daemon is unreachable, lags behind or has not drained.
pub(crate) const LAGGING: u8 = 4;
/// The outcome is unknown.
pub(crate) const UNKNOWN: u8 = 5;

/// Result of a subcommand.
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

/// Lists the exit codes for `--help`.
pub(crate) fn help() -> String {
    let mut text = "Exit codes:".to_owned();
    for exit in Exit::ALL {
        let (code, meaning) = (exit.code(), exit.meaning());
        let _ = write!(text, "\n  {code}  {meaning}");
    }
    text
}
