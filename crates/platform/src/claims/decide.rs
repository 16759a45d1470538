//! What a repeated request gets.
//!
//! A claim whose owner has gone says nothing of whether the request ran;
//! only the side process named in it can tell, and it is asked. It is never
//! run again by guess.

use std::net::SocketAddr;

use chestnutreach_state::RunState;

use super::claim::{Claim, ClaimState, StoredResponse};

/// What is known of the entry that owns a claim.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum OwnerStatus {
    /// It says that it runs the request.
    Running,
    /// It says that it does not.
    NotRunning,
    /// It has gone, or restarted, or does not answer.
    Unavailable,
}

/// What a repeated request gets.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum RepeatAction<'a> {
    /// The kept answer.
    Replay(&'a StoredResponse),
    /// A refusal: the key belongs to another request.
    KeyReused,
    /// A refusal: the same request runs at this moment.
    InProgress,
    /// The word of the side process, see [`decide_by_side_response`].
    QuerySide {
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
    owner: OwnerStatus,
    now_unix_s: u64,
) -> RepeatAction<'a> {
    if held.has_expired(now_unix_s) {
        return RepeatAction::Run;
    }
    if held.request_digest != *request_digest {
        return RepeatAction::KeyReused;
    }
    match (&held.state, owner) {
        (ClaimState::Completed { answer }, _) => RepeatAction::Replay(answer),
        (ClaimState::NotRun, _) => RepeatAction::Run,
        (ClaimState::Failed, _) => RepeatAction::Failed,
        (ClaimState::Claimed, OwnerStatus::Running) => {
            RepeatAction::InProgress
        }
        (
            ClaimState::Claimed,
            OwnerStatus::NotRunning | OwnerStatus::Unavailable,
        ) => RepeatAction::QuerySide {
            address: held.side_address,
            boot_id: held.side_boot_id,
            request: held.request,
        },
    }
}

/// Answer of the side process named in a claim.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum SideResponse {
    /// What its run-once table holds. The question has fenced the request.
    State(RunState),
    /// It is another incarnation, whose table begins empty.
    OtherBoot,
    /// It does not answer.
    Unreachable,
}

/// What a repeated request gets by the word of the side process.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum SideDecision {
    /// A run of its own, once the claim has been replaced.
    Run,
    /// A refusal: the same request runs at this moment.
    InProgress,
    /// The answer that the side process keeps.
    FetchResponse,
    /// The news that it began and failed.
    Failed,
    /// The news that nobody can tell.
    Unknown,
}

/// Decides on a repeat whose claim's owner has gone.
pub fn decide_by_side_response(answer: SideResponse) -> SideDecision {
    match answer {
        SideResponse::OtherBoot | SideResponse::Unreachable => {
            SideDecision::Unknown
        }
        SideResponse::State(state) => match state {
            RunState::NeverSeen | RunState::Refused => SideDecision::Run,
            RunState::Admitted | RunState::Running => SideDecision::InProgress,
            RunState::CannotTell => SideDecision::Unknown,
            RunState::Finished => SideDecision::FetchResponse,
            RunState::Failed => SideDecision::Failed,
        },
    }
}
