//! Claims of idempotency keys.

use std::{
    sync::Arc,
    time::{Duration, SystemTime, UNIX_EPOCH},
};

use async_io::Timer;
use chestnutreach_platform::claims::{
    Claim, ClaimError, ClaimKey, ClaimOutcome, ClaimState,
};
use chestnutreach_protocol::{RequestId, wire};
use chestnutreach_state::NotRunReason;
use chestnutreach_telemetry::{Event, emit, metrics::ClaimResult};

use crate::{failure::RequestFailure, shared::Shared};

/// How long a key and its stored response are retained.
const CLAIM_RETENTION_S: u64 = 24 * 60 * 60;
/// Attempts to record the outcome of a request, and the delay between them.
const RECORD_ATTEMPTS: u32 = 5;
const RECORD_RETRY_INTERVAL: Duration = Duration::from_secs(1);

/// The idempotency key of a request and its claim.
pub(crate) struct KeyedRequest {
    entry: Arc<Shared>,
    key: ClaimKey,
    digest: [u8; 32],
    request: RequestId,
    account: String,
    /// The claim as last written; `None` until the key is held.
    claim: Option<Claim>,
    /// Claim of an earlier request that this request takes over.
    replaced_claim: Option<Claim>,
}

/// Result of acquiring or looking up a key.
pub(crate) enum AcquireResult {
    /// No earlier request holds the key. After [`KeyedRequest::acquire`], the
    /// claim names the side process, and the request may be sent to it.
    Available,
    /// An earlier request holds the key.
    HeldByOther(Box<Claim>),
    /// The request ends with this failure.
    Failed(RequestFailure),
}

impl KeyedRequest {
    /// Creates the key of a request. A repeated request must have the same
    /// `digest`.
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
            replaced_claim: None,
        }
    }

    /// Digest that a repeated request must match.
    pub(crate) fn digest(&self) -> [u8; 32] {
        self.digest
    }

    /// Claims the key, or updates the claim, so that it names the side process
    /// of the first stage.
    pub(crate) async fn acquire(
        &mut self,
        first: &wire::Stage,
    ) -> AcquireResult {
        let Ok(side_address) = first.side_address.parse() else {
            return AcquireResult::Failed(RequestFailure::not_run(
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
            expires_at_unix_s: unix_s() + CLAIM_RETENTION_S,
        };
        match self.claim.take() {
            Some(held) => self.update_side(held, claim).await,
            None => self.write_claim(claim).await,
        }
    }

    /// Looks up whether an earlier request holds the key, without claiming it.
    pub(crate) async fn look_up(&mut self) -> AcquireResult {
        if self.claim.is_some() || self.replaced_claim.is_some() {
            return AcquireResult::Available;
        }
        match self.entry.claims.read(&self.key).await {
            Ok(Some(held)) => AcquireResult::HeldByOther(Box::new(held)),
            Ok(None) => AcquireResult::Available,
            Err(error) => AcquireResult::Failed(self.store_failed(&error)),
        }
    }

    /// Takes over the claim of an earlier request and continues as `request`.
    pub(crate) fn replace_claim(&mut self, held: Claim, request: RequestId) {
        self.request = request;
        self.replaced_claim = Some(held);
    }

    async fn write_claim(&mut self, claim: Claim) -> AcquireResult {
        let claims = &self.entry.claims;
        let written = match &self.replaced_claim {
            Some(old) => claims.replace(&self.key, old, claim.clone()).await,
            None => claims.claim(&self.key, claim.clone()).await,
        };
        match written {
            Ok(ClaimOutcome::Acquired) => {
                self.record_result(ClaimResult::Acquired);
                self.claim = Some(claim);
                self.replaced_claim = None;
                AcquireResult::Available
            }
            Ok(ClaimOutcome::Held(held)) => {
                AcquireResult::HeldByOther(Box::new(held))
            }
            Err(error) => AcquireResult::Failed(self.store_failed(&error)),
        }
    }

    /// Updates the held claim to name another side process.
    async fn update_side(
        &mut self,
        held: Claim,
        claim: Claim,
    ) -> AcquireResult {
        let claim = Claim { claim_id: held.claim_id, ..claim };
        let is_same = claim.side_address == held.side_address
            && claim.side_boot_id == held.side_boot_id;
        if is_same {
            self.claim = Some(held);
            return AcquireResult::Available;
        }
        match self.entry.claims.update(&self.key, claim.clone()).await {
            Ok(()) => {
                self.claim = Some(claim);
                AcquireResult::Available
            }
            Err(error) => {
                // The table may hold either claim, and both are correct:
                // nothing was sent to the new side process, and the old one
                // refused what was sent to it.
                self.claim = Some(held);
                AcquireResult::Failed(self.store_failed(&error))
            }
        }
    }

    fn store_failed(&self, error: &ClaimError) -> RequestFailure {
        let result = match error {
            ClaimError::Ambiguous => ClaimResult::Unsettled,
            _ => ClaimResult::Refused,
        };
        self.record_result(result);
        emit(
            Event::ClaimUnsettled,
            &[
                ("request", &self.request),
                ("account", &self.account),
                ("error", error),
            ],
        );
        let retry_after_ms = Some(self.entry.store_outage.record_failure());
        let detail = format!("the table service: {error}");
        RequestFailure::not_run(
            NotRunReason::StoreDown,
            retry_after_ms,
            &detail,
        )
    }

    fn record_result(&self, result: ClaimResult) {
        if result == ClaimResult::Acquired {
            self.entry.store_outage.record_success();
        }
        self.entry.metrics.record_claim(result);
    }

    /// Records the outcome in the claim, for repeated requests.
    pub(crate) async fn record_outcome(mut self, state: ClaimState) {
        let claims = &self.entry.claims;
        for _ in 0..RECORD_ATTEMPTS {
            let recorded = match (&mut self.claim, &self.replaced_claim) {
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
            match recorded {
                Ok(()) | Err(ClaimError::NotOwner { .. }) => return,
                Err(_) => {
                    Timer::after(RECORD_RETRY_INTERVAL).await;
                }
            }
        }
        emit(
            Event::ClaimUnsettled,
            &[
                ("request", &self.request),
                ("account", &self.account),
                ("error", &"the outcome could not be recorded"),
            ],
        );
    }
}

/// Retry delay for a request that is in progress, with jitter.
pub(crate) fn in_progress_retry_ms() -> u64 {
    fastrand::u64(500..=1_500)
}

pub(crate) fn unix_s() -> u64 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH);
    since.map_or(0, |since| since.as_secs())
}
