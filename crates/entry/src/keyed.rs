//! Requests with an idempotency key.
//!
//! The key is claimed in the platform's table before anything is sent. The
//! claim names the side process that will run the request. The finished
//! response is stored for repeated requests, which may arrive at any entry.
//! If the entry that made the claim has exited, a repeated request queries
//! the side process named in the claim; it runs again only if the first run
//! is known not to have happened.
//!
//! A keyed request is driven by its own task and continues after the caller
//! disconnects, because the caller will retry with the key.

use std::sync::Arc;

use chestnutreach_platform::claims::{
    Claim, ClaimState, OwnerStatus, RepeatAction, decide,
};
use chestnutreach_protocol::RequestId;
use chestnutreach_state::{NotRunReason, Outcome};
use chestnutreach_telemetry::metrics::ClaimResult;

use crate::{
    failure::RequestFailure,
    key_claim::{KeyedRequest, in_progress_retry_ms, unix_s},
    session::{Job, Progress, Session},
    shared::Shared,
    stored_response::{ResponseRecorder, replay},
};

/// Starts a keyed request and returns the channel of its progress.
pub(crate) fn start(
    entry: &Arc<Shared>,
    job: Job,
    keyed: KeyedRequest,
) -> async_channel::Receiver<Progress> {
    let (sender, receiver) = async_channel::unbounded();
    let entry = entry.clone();
    let task = {
        let entry = entry.clone();
        async move { drive(&entry, job, keyed, &sender).await }
    };
    entry.spawn(task);
    receiver
}

async fn drive(
    entry: &Arc<Shared>,
    job: Job,
    keyed: KeyedRequest,
    sender: &async_channel::Sender<Progress>,
) {
    let _unsettled = entry.shutdown.count_unsettled_claim();
    let digest = keyed.digest();
    let mut session = Session::new(entry, job, Some(keyed));
    let mut recorder = ResponseRecorder::default();
    loop {
        let progress = session.next().await;
        recorder.record(&progress);
        let state = match &progress {
            Progress::KeyHeld(claim) => {
                match resolve(entry, claim, &digest) {
                    Resolution::Respond(events) => {
                        for progress in events {
                            let _ = sender.try_send(progress);
                        }
                        return;
                    }
                    Resolution::Run => session.take_over((**claim).clone()),
                    Resolution::QuerySide => {
                        session.query_earlier_run((**claim).clone())
                    }
                }
                continue;
            }
            Progress::Finished(finished) => {
                let answer = std::mem::take(&mut recorder)
                    .into_stored_response(finished);
                Some(ClaimState::Completed { answer })
            }
            Progress::Failed(failure) => match failure.outcome {
                Outcome::NotRun { .. } => Some(ClaimState::NotRun),
                Outcome::Failed => Some(ClaimState::Failed),
                Outcome::Unknown | Outcome::Completed => None,
            },
            _ => {
                let _ = sender.try_send(progress);
                continue;
            }
        };
        // The caller is served first: its response does not depend on the
        // table service.
        let _ = sender.try_send(progress);
        sender.close();
        if let (Some(keyed), Some(state)) = (session.take_keyed(), state) {
            keyed.record_outcome(state).await;
        }
        return;
    }
}

/// How to continue a request whose key an earlier request holds.
enum Resolution {
    /// Respond with this progress, which ends the request.
    Respond(Vec<Progress>),
    /// Run the request, because the earlier request did not run.
    Run,
    /// Query the side process that the claim names.
    QuerySide,
}

fn resolve(
    entry: &Arc<Shared>,
    held: &Claim,
    digest: &[u8; 32],
) -> Resolution {
    let identity = entry.links().identity();
    let is_own =
        held.entry_vm == identity.vm && held.entry_boot_id == identity.boot_id;
    let request = RequestId::from_u128(held.request);
    let owner = match (is_own, entry.is_registered(request)) {
        (_, true) => OwnerStatus::Running,
        (true, false) => OwnerStatus::NotRunning,
        // Only the side process knows whether the other entry still
        // receives the output.
        (false, false) => OwnerStatus::Unavailable,
    };
    let not_run = |reason, retry_after_ms, detail: &str| {
        let failure = RequestFailure::not_run(reason, retry_after_ms, detail);
        Resolution::Respond(vec![Progress::Failed(failure)])
    };
    match decide(held, digest, owner, unix_s()) {
        RepeatAction::Replay(answer) => {
            entry.metrics.record_claim(ClaimResult::Repeated);
            Resolution::Respond(replay(answer))
        }
        RepeatAction::KeyReused => {
            entry.metrics.record_claim(ClaimResult::KeyReused);
            let detail = "the idempotency key was used for another request";
            not_run(NotRunReason::KeyReused, None, detail)
        }
        RepeatAction::InProgress => {
            let detail = "a request with this idempotency key runs now";
            not_run(
                NotRunReason::InProgress,
                Some(in_progress_retry_ms()),
                detail,
            )
        }
        RepeatAction::Failed => {
            let detail = "the request with this idempotency key failed \
                          after it began";
            let failure = RequestFailure::failed(detail);
            Resolution::Respond(vec![Progress::Failed(failure)])
        }
        RepeatAction::Run => Resolution::Run,
        RepeatAction::QuerySide { .. } => Resolution::QuerySide,
    }
}
