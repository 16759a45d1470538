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
    ending::Ending,
    kept::{Recorder, replay},
    key_hold::{KeyedRequest, in_progress_ms, unix_s},
    session::{Job, Progress, Session},
    shared::Shared,
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
    let _unsettled = entry.stop.enter_unsettled();
    let digest = keyed.digest();
    let mut session = Session::new(entry, job, Some(keyed));
    let mut recorder = Recorder::default();
    loop {
        let progress = session.next().await;
        recorder.note(&progress);
        let state = match &progress {
            Progress::Held(claim) => {
                match resolve(entry, claim, &digest) {
                    Resolved::Told(told) => {
                        for progress in told {
                            let _ = sender.try_send(progress);
                        }
                        return;
                    }
                    Resolved::Run => session.take_over((**claim).clone()),
                    Resolved::Ask => session.ask_for((**claim).clone()),
                }
                continue;
            }
            Progress::Whole(finished) => {
                let answer =
                    std::mem::take(&mut recorder).into_answer(finished);
                Some(ClaimState::Completed { answer })
            }
            Progress::Ended(ending) => match ending.outcome {
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
            keyed.finish(state).await;
        }
        return;
    }
}

/// What a request does whose key is held.
enum Resolved {
    /// It ends with this.
    Told(Vec<Progress>),
    /// It runs, since the earlier one did not.
    Run,
    /// It asks the side process that the claim names.
    Ask,
}

fn resolve(entry: &Arc<Shared>, held: &Claim, digest: &[u8; 32]) -> Resolved {
    let identity = entry.links().identity();
    let is_mine =
        held.entry_vm == identity.vm && held.entry_boot_id == identity.boot_id;
    let request = RequestId::from_u128(held.request);
    let owner = match (is_mine, entry.is_registered(request)) {
        (_, true) => Owner::Running,
        (true, false) => Owner::NotRunning,
        // Only the side process can tell whether the other entry still
        // takes the answer.
        (false, false) => Owner::Gone,
    };
    let end = |reason, retry_after_ms, detail: &str| {
        let ending = Ending::not_run(reason, retry_after_ms, detail);
        Resolved::Told(vec![Progress::Ended(ending)])
    };
    match decide(held, digest, owner, unix_s()) {
        Repeat::Answer(answer) => {
            entry.metrics.record_claim(ClaimResult::Repeated);
            Resolved::Told(replay(answer))
        }
        Repeat::KeyReused => {
            entry.metrics.record_claim(ClaimResult::KeyReused);
            let detail = "the idempotency key was used for another request";
            end(NotRunReason::KeyReused, None, detail)
        }
        Repeat::InProgress => {
            let detail = "a request with this idempotency key runs now";
            end(NotRunReason::InProgress, Some(in_progress_ms()), detail)
        }
        Repeat::Failed => {
            let detail = "the request with this idempotency key failed \
                          after it began";
            let ending = Ending::failed(detail);
            Resolved::Told(vec![Progress::Ended(ending)])
        }
        Repeat::Run => Resolved::Run,
        Repeat::AskSide { .. } => Resolved::Ask,
    }
}
