//! The stored value of a claim's row.
//!
//! A long response body is stored in the object store under its digest, and
//! the row refers to it: several long bodies in one transaction would exceed
//! the service's size limit.

use serde::{Deserialize, Serialize};

use super::{ClaimError, claim::Claim, claim::ClaimState};
use crate::{hex, objects::ObjectClient, table::Row};

/// Value of a claim's row.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub(super) struct ClaimRow {
    /// Random id of the call that wrote the row, so that two calls of one
    /// owner do not mistake each other's write for their own.
    #[serde(with = "hex::number")]
    pub(super) call_id: u128,
    /// The claim; the response body is empty if it is stored as an object.
    pub(super) claim: Claim,
    /// Key of the object with the response body.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub(super) body_object: Option<String>,
}

impl ClaimRow {
    pub(super) fn new(claim: Claim) -> ClaimRow {
        let call_id = fastrand::u128(..);
        ClaimRow { call_id, claim, body_object: None }
    }

    pub(super) fn try_decode(row: &Row) -> Option<ClaimRow> {
        serde_json::from_slice(&row.value).ok()
    }

    pub(super) fn encode(&self) -> Vec<u8> {
        serde_json::to_vec(self).expect("plain fields always serialize")
    }

    /// Moves a response body longer than the limit to the object store.
    pub(super) async fn offload_body(
        &mut self,
        objects: Option<&ObjectClient>,
        limit_bytes: usize,
    ) -> Result<(), ClaimError> {
        let ClaimState::Completed { answer } = &mut self.claim.state else {
            return Ok(());
        };
        if answer.body.len() <= limit_bytes {
            return Ok(());
        }
        let objects = objects.ok_or(ClaimError::StoreUnavailable)?;
        let key = body_key(&answer.body);
        let put = objects.put(&key, &answer.body).await;
        put.map_err(|_| ClaimError::StoreUnavailable)?;
        answer.body.clear();
        self.body_object = Some(key);
        Ok(())
    }

    /// Returns the claim with its complete response.
    pub(super) async fn load_claim(
        self,
        objects: Option<&ObjectClient>,
    ) -> Result<Claim, ClaimError> {
        let mut claim = self.claim;
        let ClaimState::Completed { answer } = &mut claim.state else {
            return Ok(claim);
        };
        let Some(key) = self.body_object else {
            return Ok(claim);
        };
        let objects = objects.ok_or(ClaimError::StoreUnavailable)?;
        let body = objects.read(&key).await;
        let body = body.ok().flatten().ok_or(ClaimError::StoreUnavailable)?;
        if body_key(&body) != key {
            return Err(ClaimError::StoreUnavailable);
        }
        answer.body = body;
        Ok(claim)
    }
}

fn body_key(body: &[u8]) -> String {
    format!("answer/{}", blake3::hash(body).to_hex())
}
