//! Where the progress of a request comes from.

use std::sync::Arc;

use crate::{
    call::Call,
    key_claim::KeyedRequest,
    keyed,
    session::{Job, Progress, RequestFailure, Session},
    shared::Shared,
};

/// A request under way, as its handler sees it.
pub(crate) enum ProgressSource {
    /// Driven by whoever asks for the next thing.
    Direct(Box<Session>),
    /// Driven by a task of its own, since it has a key.
    Keyed(async_channel::Receiver<Progress>),
}

impl ProgressSource {
    /// Starts a request; see [`key_of`] for one with a key.
    pub(crate) fn start(
        entry: &Arc<Shared>,
        job: Job,
        keyed: Option<KeyedRequest>,
    ) -> ProgressSource {
        match keyed {
            Some(keyed) => {
                ProgressSource::Keyed(keyed::start(entry, job, keyed))
            }
            None => ProgressSource::Direct(Box::new(Session::new(
                entry, job, None,
            ))),
        }
    }

    /// Waits for the next thing that happens.
    pub(crate) async fn next(&mut self) -> Progress {
        match self {
            ProgressSource::Direct(session) => session.next().await,
            ProgressSource::Keyed(progress) => {
                progress.recv().await.unwrap_or_else(|_| {
                    Progress::Failed(RequestFailure::failed(
                        "the request has ended",
                    ))
                })
            }
        }
    }
}

/// The key of a call that has one. It needs the call's body, so it is made
/// before the body moves to the job.
pub(crate) fn key_of(
    entry: &Arc<Shared>,
    call: &Call,
) -> Option<KeyedRequest> {
    let key = call.options.key.as_ref()?;
    let account = &call.account.name;
    let digest = digest(call);
    Some(KeyedRequest::new(entry, account, key, digest, call.request))
}

/// Digest of all that makes a repeat the same request.
fn digest(call: &Call) -> [u8; 32] {
    let request = &call.received.request;
    let mut hasher = blake3::Hasher::new();
    for part in [
        request.method().to_string().as_bytes(),
        request.url().path().as_bytes(),
        request.url().query().unwrap_or("").as_bytes(),
        &call.received.body,
    ] {
        hasher.update(&(part.len() as u64).to_le_bytes());
        hasher.update(part);
    }
    *hasher.finalize().as_bytes()
}
