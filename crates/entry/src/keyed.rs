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

use std::{
    collections::BTreeMap,
    sync::Arc,
    time::{Duration, SystemTime, UNIX_EPOCH},
};

use async_io::Timer;
use chestnutreach_platform::claims::{
    Claim, ClaimError, ClaimKey, ClaimState, Claimed, Owner, Repeat,
    StoredAnswer, decide,
};
use chestnutreach_protocol::{
    RequestId,
    wire::{self, FinishReason},
};
use chestnutreach_state::{NotRunReason, Outcome};
use chestnutreach_telemetry::{Event, emit, metrics::ClaimResult};
use serde::{Deserialize, Serialize};

use crate::{
    node::Shared,
    session::{Ending, Job, Progress, Session},
};

/// How long a key and its answer are kept.
const KEEP_S: u64 = 24 * 60 * 60;
/// Tries to note how a request ended, and the wait between them.
const NOTE_TRIES: u32 = 5;
const NOTE_WAIT: Duration = Duration::from_secs(1);
/// Header of a kept answer of a model; its body is a [`KeptText`].
const KEPT_TEXT_HEADER: &str = "chestnutreach-kept-text";

/// The key of a request and its claim.
pub(crate) struct KeyedRequest {
    entry: Arc<Shared>,
    key: ClaimKey,
    digest: [u8; 32],
    request: RequestId,
    account: String,
    /// The claim as it was written last, once it is held.
    claim: Option<Claim>,
    /// The claim of an earlier request that this one takes over.
    replaces: Option<Claim>,
}

/// Answer to the wish to hold a key.
pub(crate) enum Hold {
    /// The claim names this side process; the request may be sent to it.
    Mine,
    /// An earlier request holds it.
    Held(Box<Claim>),
    /// The request ends.
    Ended(Ending),
}

impl KeyedRequest {
    /// The key of a request, with the digest of all that makes it the same
    /// request.
    pub(crate) fn new(
        entry: &Arc<Shared>,
        account: &str,
        key: &str,
        digest: [u8; 32],
        request: RequestId,
    ) -> KeyedRequest {
        KeyedRequest {
            entry: entry.clone(),
            key: ClaimKey::new(account, key),
            digest,
            request,
            account: account.to_owned(),
            claim: None,
            replaces: None,
        }
    }

    /// Has the claim name the side process of `first`.
    pub(crate) async fn hold(&mut self, first: &wire::Stage) -> Hold {
        let Ok(side_address) = first.side_address.parse() else {
            return Hold::Ended(Ending::not_run(
                NotRunReason::NoChain,
                None,
                "the side process has no address",
            ));
        };
        let identity = self.entry.links().identity();
        let claim = Claim {
            claim_id: fastrand::u128(1..),
            request_digest: self.digest,
            request: self.request.as_u128(),
            entry_vm: identity.vm.clone(),
            entry_boot_id: identity.boot_id,
            side_address,
            side_boot_id: first.side_boot_id,
            state: ClaimState::Claimed,
            expires_at_unix_s: unix_s() + KEEP_S,
        };
        match self.claim.take() {
            Some(held) => self.rename(held, claim).await,
            None => self.take(claim).await,
        }
    }

    /// Who holds the key, without claiming it: `Mine` when no earlier request
    /// does.
    pub(crate) async fn look_up(&mut self) -> Hold {
        if self.claim.is_some() || self.replaces.is_some() {
            return Hold::Mine;
        }
        match self.entry.claims.read(&self.key).await {
            Ok(Some(held)) => Hold::Held(Box::new(held)),
            Ok(None) => Hold::Mine,
            Err(error) => Hold::Ended(self.store_failed(&error)),
        }
    }

    /// Takes over the claim of an earlier request, to go on as `request`.
    pub(crate) fn replace_claim(&mut self, held: Claim, request: RequestId) {
        self.request = request;
        self.replaces = Some(held);
    }

    async fn take(&mut self, claim: Claim) -> Hold {
        let claims = &self.entry.claims;
        let taken = match &self.replaces {
            Some(old) => claims.replace(&self.key, old, claim.clone()).await,
            None => claims.claim(&self.key, claim.clone()).await,
        };
        match taken {
            Ok(Claimed::Mine) => {
                self.note(ClaimResult::Taken);
                self.claim = Some(claim);
                self.replaces = None;
                Hold::Mine
            }
            Ok(Claimed::Held(held)) => Hold::Held(Box::new(held)),
            Err(error) => Hold::Ended(self.store_failed(&error)),
        }
    }

    /// Has the claim held name another side process.
    async fn rename(&mut self, held: Claim, claim: Claim) -> Hold {
        let claim = Claim { claim_id: held.claim_id, ..claim };
        let is_same = claim.side_address == held.side_address
            && claim.side_boot_id == held.side_boot_id;
        if is_same {
            self.claim = Some(held);
            return Hold::Mine;
        }
        match self.entry.claims.update(&self.key, claim.clone()).await {
            Ok(()) => {
                self.claim = Some(claim);
                Hold::Mine
            }
            Err(error) => {
                // Whichever of the two the table holds, nothing was sent to
                // either side process that has not been refused there.
                self.claim = Some(held);
                Hold::Ended(self.store_failed(&error))
            }
        }
    }

    fn store_failed(&self, error: &ClaimError) -> Ending {
        let result = match error {
            ClaimError::Ambiguous => ClaimResult::Unsettled,
            _ => ClaimResult::Refused,
        };
        self.note(result);
        emit(
            Event::ClaimUnsettled,
            &[
                ("request", &self.request),
                ("account", &self.account),
                ("error", error),
            ],
        );
        let retry_after_ms = Some(self.entry.store_outage.failed());
        let detail = format!("the table service: {error}");
        Ending::not_run(NotRunReason::StoreDown, retry_after_ms, &detail)
    }

    fn note(&self, result: ClaimResult) {
        if result == ClaimResult::Taken {
            self.entry.store_outage.worked();
        }
        self.entry.metrics.claim(result);
    }

    /// Notes how the request ended, for repeats.
    async fn finish(mut self, state: ClaimState) {
        let claims = &self.entry.claims;
        for _ in 0..NOTE_TRIES {
            let noted = match (&mut self.claim, &self.replaces) {
                (Some(claim), _) => {
                    claim.state = state.clone();
                    claims.update(&self.key, claim.clone()).await
                }
                (None, Some(old)) => {
                    let claim = Claim { state: state.clone(), ..old.clone() };
                    claims.replace(&self.key, old, claim).await.map(|_| ())
                }
                (None, None) => return,
            };
            match noted {
                Ok(()) | Err(ClaimError::NotOwner { .. }) => return,
                Err(_) => {
                    Timer::after(NOTE_WAIT).await;
                }
            }
        }
        emit(
            Event::ClaimUnsettled,
            &[
                ("request", &self.request),
                ("account", &self.account),
                ("error", &"its end could not be noted"),
            ],
        );
    }
}

/// What is kept of a model's answer.
#[derive(Deserialize, Serialize)]
struct KeptText {
    text: String,
    is_length: bool,
    output_count: u32,
    prompt_tokens: u32,
    cached_tokens: u32,
}

/// Collects an answer while it is handed on.
#[derive(Default)]
struct Recorder {
    text: String,
    head: Option<wire::PlainHead>,
    data: Vec<u8>,
}

impl Recorder {
    fn note(&mut self, progress: &Progress) {
        match progress {
            Progress::Token(token) => self.text.push_str(&token.text),
            Progress::Head(head) => self.head = Some(head.clone()),
            Progress::Data(data) => self.data.extend_from_slice(data),
            _ => {}
        }
    }

    fn into_answer(self, finished: &wire::Finished) -> StoredAnswer {
        if let Some(head) = self.head {
            let headers = head.headers.into_iter().map(|h| (h.name, h.value));
            return StoredAnswer {
                status: head.status as u16,
                headers: headers.collect(),
                body: self.data,
            };
        }
        let kept = KeptText {
            text: self.text,
            is_length: finished.finish() == FinishReason::Length,
            output_count: finished.output_count,
            prompt_tokens: finished.prompt_tokens,
            cached_tokens: finished.cached_tokens,
        };
        let marker = (KEPT_TEXT_HEADER.to_owned(), "1".to_owned());
        StoredAnswer {
            status: 200,
            headers: BTreeMap::from([marker]),
            body: serde_json::to_vec(&kept).unwrap_or_default(),
        }
    }
}

/// A kept answer as the progress that it once was.
fn replay(answer: &StoredAnswer) -> Vec<Progress> {
    let kept = answer
        .headers
        .contains_key(KEPT_TEXT_HEADER)
        .then(|| serde_json::from_slice::<KeptText>(&answer.body).ok());
    if let Some(Some(kept)) = kept {
        let finish = if kept.is_length {
            FinishReason::Length
        } else {
            FinishReason::Stop
        };
        let finished = wire::Finished {
            output_count: kept.output_count,
            finish: finish.into(),
            prompt_tokens: kept.prompt_tokens,
            cached_tokens: kept.cached_tokens,
            ..wire::Finished::default()
        };
        let token = wire::Token { token: 0, text: kept.text };
        return vec![Progress::Token(token), Progress::Whole(finished)];
    }
    let headers = answer.headers.iter().map(|(name, value)| {
        let (name, value) = (name.clone(), value.clone());
        wire::Header { name, value }
    });
    let head = wire::PlainHead {
        status: answer.status.into(),
        headers: headers.collect(),
    };
    vec![
        Progress::Head(head),
        Progress::Data(answer.body.clone()),
        Progress::Whole(wire::Finished::default()),
    ]
}

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
    let digest = keyed.digest;
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
            entry.metrics.claim(ClaimResult::Repeated);
            Resolved::Told(replay(answer))
        }
        Repeat::KeyReused => {
            entry.metrics.claim(ClaimResult::KeyReused);
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

/// When to ask again for a request that runs, spread over callers.
pub(crate) fn in_progress_ms() -> u64 {
    fastrand::u64(500..=1_500)
}

fn unix_s() -> u64 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH);
    since.map_or(0, |since| since.as_secs())
}
