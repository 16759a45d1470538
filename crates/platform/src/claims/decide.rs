//! What a repeated request gets.
//!
//! A claim whose owner has gone says nothing of whether the request ran;
//! only the side process named in it can tell, and it is asked. It is never
//! run again by guess.

use std::net::SocketAddr;

use chestnutreach_state::RunState;

use super::claim::{Claim, ClaimState, StoredAnswer};

/// What is known of the entry that owns a claim.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Owner {
    /// It says that it runs the request.
    Running,
    /// It says that it does not.
    NotRunning,
    /// It has gone, or restarted, or does not answer.
    Gone,
}

/// What a repeated request gets.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Repeat<'a> {
    /// The kept answer.
    Answer(&'a StoredAnswer),
    /// A refusal: the key belongs to another request.
    KeyReused,
    /// A refusal: the same request runs at this moment.
    InProgress,
    /// The word of the side process, see [`decide_by_side`].
    AskSide {
        /// Its address.
        address: SocketAddr,
        /// Boot id it must still have.
        boot_id: u64,
        /// The request to ask for.
        request: u128,
    },
    /// A run of its own, once the claim has been replaced.
    Run,
    /// The news that it began and failed.
    Failed,
}

/// Decides on a repeat of a claimed key.
pub fn decide<'a>(
    held: &'a Claim,
    request_digest: &[u8; 32],
    owner: Owner,
    now_unix_s: u64,
) -> Repeat<'a> {
    if held.has_expired(now_unix_s) {
        return Repeat::Run;
    }
    if held.request_digest != *request_digest {
        return Repeat::KeyReused;
    }
    match (&held.state, owner) {
        (ClaimState::Completed { answer }, _) => Repeat::Answer(answer),
        (ClaimState::NotRun, _) => Repeat::Run,
        (ClaimState::Failed, _) => Repeat::Failed,
        (ClaimState::Claimed, Owner::Running) => Repeat::InProgress,
        (ClaimState::Claimed, Owner::NotRunning | Owner::Gone) => {
            Repeat::AskSide {
                address: held.side_address,
                boot_id: held.side_boot_id,
                request: held.request,
            }
        }
    }
}

/// Answer of the side process named in a claim.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum SideAnswer {
    /// What its run-once table holds. The question has fenced the request.
    State(RunState),
    /// It is another incarnation, whose table begins empty.
    OtherBoot,
    /// It does not answer.
    Unreachable,
}

/// What a repeated request gets by the word of the side process.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum SideVerdict {
    /// A run of its own, once the claim has been replaced.
    Run,
    /// A refusal: the same request runs at this moment.
    InProgress,
    /// The answer that the side process keeps.
    TakeAnswer,
    /// The news that it began and failed.
    Failed,
    /// The news that nobody can tell.
    Unknown,
}

/// Decides on a repeat whose claim's owner has gone.
pub fn decide_by_side(answer: SideAnswer) -> SideVerdict {
    match answer {
        SideAnswer::OtherBoot | SideAnswer::Unreachable => {
            SideVerdict::Unknown
        }
        SideAnswer::State(state) => match state {
            RunState::NeverSeen | RunState::Refused => SideVerdict::Run,
            RunState::Admitted | RunState::Running => SideVerdict::InProgress,
            RunState::CannotTell => SideVerdict::Unknown,
            RunState::Finished => SideVerdict::TakeAnswer,
            RunState::Failed => SideVerdict::Failed,
        },
    }
}
