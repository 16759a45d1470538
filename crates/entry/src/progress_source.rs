//! What drives a request: its HTTP handler, or a task of its own.

use std::sync::Arc;

use crate::{
    call::Call,
    key_claim::KeyedRequest,
    keyed,
    session::{Job, Progress, RequestFailure, Session},
    shared::Shared,
};

/// An open request, as seen by its HTTP handler.
pub(crate) enum ProgressSource {
    /// Driven by the caller of `next`.
    Direct(Box<Session>),
    /// A request with an idempotency key, driven by its own task.
    Keyed(async_channel::Receiver<Progress>),
}

impl ProgressSource {
    /// Starts a request; [`keyed_request`] makes its key, if it has one.
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

    /// Waits for the next progress of the request.
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

/// The idempotency key of a call, if it has one. Must run before the body
/// moves to the job, because the digest covers the body.
pub(crate) fn keyed_request(
    entry: &Arc<Shared>,
    call: &Call,
) -> Option<KeyedRequest> {
    let key = call.options.key.as_ref()?;
    let account = &call.account.name;
    let digest = digest(call);
    Some(KeyedRequest::new(entry, account, key, digest, call.request))
}

/// Digest of method, path, query and body: a repeated request must match it.
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
