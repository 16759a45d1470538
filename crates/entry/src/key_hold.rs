//! The claim of an idempotency key.

use std::{
    sync::Arc,
    time::{Duration, SystemTime, UNIX_EPOCH},
};

use async_io::Timer;
use chestnutreach_platform::claims::{
    Claim, ClaimError, ClaimKey, ClaimState, Claimed,
};
use chestnutreach_protocol::{RequestId, wire};
use chestnutreach_state::NotRunReason;
use chestnutreach_telemetry::{Event, emit, metrics::ClaimResult};

use crate::{ending::Ending, shared::Shared};

/// How long a key and its answer are kept.
const KEEP_S: u64 = 24 * 60 * 60;
/// Tries to note how a request ended, and the wait between them.
const NOTE_TRIES: u32 = 5;
const NOTE_WAIT: Duration = Duration::from_secs(1);

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

    /// Of all that makes it the same request.
    pub(crate) fn digest(&self) -> [u8; 32] {
        self.digest
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
                self.note(ClaimResult::Acquired);
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
        if result == ClaimResult::Acquired {
            self.entry.store_outage.worked();
        }
        self.entry.metrics.record_claim(result);
    }

    /// Notes how the request ended, for repeats.
    pub(crate) async fn finish(mut self, state: ClaimState) {
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

/// When to ask again for a request that runs, spread over callers.
pub(crate) fn in_progress_ms() -> u64 {
    fastrand::u64(500..=1_500)
}

pub(crate) fn unix_s() -> u64 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH);
    since.map_or(0, |since| since.as_secs())
}
