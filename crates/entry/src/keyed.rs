//! Requests with an idempotency key.
//!
//! The key is claimed in the platform's table before anything is sent, with
//! the side process that will run the request named in the claim; the
//! finished answer is kept for repeats, which may come to any entry. A repeat
//! whose first entry has died asks the side process named in the claim and is
//! never run again by guess.
//!
//! A keyed request is driven by a task of its own: a caller that hangs up
//! does not end it, since the caller will ask for its answer by the key.

use std::sync::Arc;

use chestnutreach_platform::claims::{
    Claim, ClaimState, Owner, Repeat, decide,
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

/// Starts a keyed request; what happens to it comes over the channel.
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
                let answer =
                    std::mem::take(&mut recorder).into_stored_answer(finished);
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
        // The caller first: its answer does not depend on the store.
        let _ = sender.try_send(progress);
        sender.close();
        if let (Some(keyed), Some(state)) = (session.take_keyed(), state) {
            keyed.record_outcome(state).await;
        }
        return;
    }
}

/// What a request does whose key is held.
enum Resolution {
    /// It ends with this.
    Respond(Vec<Progress>),
    /// It runs, since the earlier one did not.
    Run,
    /// It asks the side process that the claim names.
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
        (_, true) => Owner::Running,
        (true, false) => Owner::NotRunning,
        // Only the side process can tell whether the other entry still
        // takes the answer.
        (false, false) => Owner::Gone,
    };
    let not_run = |reason, retry_after_ms, detail: &str| {
        let failure = RequestFailure::not_run(reason, retry_after_ms, detail);
        Resolution::Respond(vec![Progress::Failed(failure)])
    };
    match decide(held, digest, owner, unix_s()) {
        Repeat::Answer(answer) => {
            entry.metrics.claim(ClaimResult::Repeated);
            Resolution::Respond(replay(answer))
        }
        Repeat::KeyReused => {
            entry.metrics.claim(ClaimResult::KeyReused);
            let detail = "the idempotency key was used for another request";
            not_run(NotRunReason::KeyReused, None, detail)
        }
        Repeat::InProgress => {
            let detail = "a request with this idempotency key runs now";
            not_run(
                NotRunReason::InProgress,
                Some(in_progress_retry_ms()),
                detail,
            )
        }
        Repeat::Failed => {
            let detail = "the request with this idempotency key failed \
                          after it began";
            let failure = RequestFailure::failed(detail);
            Resolution::Respond(vec![Progress::Failed(failure)])
        }
        Repeat::Run => Resolution::Run,
        Repeat::AskSide { .. } => Resolution::QuerySide,
    }
}
