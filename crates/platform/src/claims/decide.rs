//! Decisions on repeated requests.
//!
//! If the owner of a claim is unavailable, the claim does not show whether the
//! request ran. Only the side process named in the claim knows, and must be
//! queried: a request is never run again on an assumption.

use std::net::SocketAddr;

use chestnutreach_state::RunState;

use super::claim::{Claim, ClaimState, StoredResponse};

/// What is known of the entry that owns a claim.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum OwnerStatus {
    /// The owner reports that it runs the request.
    Running,
    /// The owner reports that it does not run the request.
    NotRunning,
    /// The owner has exited, restarted or does not respond.
    Unavailable,
}

/// How to handle a repeated request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum RepeatAction<'a> {
    /// Send the stored response.
    Replay(&'a StoredResponse),
    /// Refuse: the key belongs to a different request.
    KeyReused,
    /// Refuse: the same request is running.
    InProgress,
    /// Query the side process, see [`decide_by_side_response`].
    QuerySide {
        /// Address of the side process.
        address: SocketAddr,
        /// Expected boot id; another boot id means that the process restarted.
        boot_id: u64,
        /// Id of the request to ask for.
        request: u128,
    },
    /// Run the request after replacing the claim.
    Run,
    /// Report that the request started and failed.
    Failed,
}

/// Decides how to handle a repeat of a claimed key.
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

/// Response of the side process named in a claim.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum SideResponse {
    /// State in the process's run-once table. Unless the state is
    /// [`RunState::CannotTell`], the query has also fenced the request: the
    /// queried and older attempts are refused if they arrive later.
    State(RunState),
    /// The process has restarted, so its table has no earlier requests.
    OtherBoot,
    /// The process does not respond.
    Unreachable,
}

/// How to handle a repeated request after the side process responded.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum SideDecision {
    /// Run the request after replacing the claim.
    Run,
    /// Refuse: the same request is running.
    InProgress,
    /// Fetch the response that the side process keeps.
    FetchResponse,
    /// Report that the request started and failed.
    Failed,
    /// Report that the outcome is unknown.
    Unknown,
}

/// Decides how to handle a repeat when the claim's owner does not run the
/// request or is unavailable.
pub fn decide_by_side_response(response: SideResponse) -> SideDecision {
    match response {
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
