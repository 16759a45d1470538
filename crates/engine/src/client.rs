//! Client for one engine.
//!
//! The HTTP client keeps connections alive. This client never retries a call:
//! whether a failed call may be retried depends on the state of its sequences,
//! which the caller knows.

use std::{
    net::SocketAddr,
    sync::atomic::{AtomicU64, Ordering},
    time::Duration,
};

use chestnutreach_http::{Client, ClientOptions, retry_after};
use http_types::{Method, Request, Url};
use serde::Serialize;

use crate::{
    error::EngineError,
    order::{EngineLoad, ErrorBody, LoadBody, LoadOrder, ReleaseBody},
    sequence::{SequenceError, SequenceId, SequenceOutput, SequenceStep},
    wire,
};

/// Maximum size of a response: the activations of a batch of long prompts.
const MAX_RESPONSE_BYTES: usize = 256 << 20;
/// Timeout of calls that neither run layers nor load weights.
const SHORT_TIMEOUT: Duration = Duration::from_secs(2);
/// Timeout of an order; the engine responds after it has loaded the weights.
const ORDER_TIMEOUT: Duration = Duration::from_secs(300);
/// Maximum length of the error message taken from a body that is not JSON.
const MAX_MESSAGE_BYTES: usize = 200;

/// A client of one engine.
#[derive(Debug)]
pub struct EngineClient {
    http: Client,
    base_url: Url,
    infer_url: Url,
    release_url: Url,
    load_report_url: Url,
    ready_url: Url,
    next_call: AtomicU64,
}

impl EngineClient {
    /// Creates a client; it connects on the first call.
    pub fn new(address: SocketAddr, model: &str) -> EngineClient {
        let options =
            ClientOptions::new().max_response_bytes(MAX_RESPONSE_BYTES);
        let base_url = Url::parse(&format!("http://{address}"))
            .expect("an address is a valid URL authority");
        let model_url = |rest: &[&str]| {
            let segments = ["v2", "models", model];
            join(&base_url, segments.iter().chain(rest))
        };
        EngineClient {
            infer_url: model_url(&["infer"]),
            release_url: model_url(&["sequences", "release"]),
            load_report_url: model_url(&["load-report"]),
            ready_url: join(&base_url, &["v2", "health", "ready"]),
            http: Client::new(address, options),
            base_url,
            next_call: AtomicU64::new(0),
        }
    }

    /// The engine's address.
    pub fn address(&self) -> SocketAddr {
        self.http.address()
    }

    /// Runs the layers `first_layer..end_layer` on a batch of steps. The
    /// results are in the order of the steps.
    ///
    /// # Errors
    ///
    /// The call failed for the whole batch, see [`EngineError`].
    pub async fn infer(
        &self,
        first_layer: u32,
        end_layer: u32,
        steps: &[SequenceStep],
        timeout: Duration,
    ) -> Result<Vec<Result<SequenceOutput, SequenceError>>, EngineError> {
        if steps.is_empty() {
            return Ok(Vec::new());
        }
        let call = self.next_call.fetch_add(1, Ordering::Relaxed);
        let id = call.to_string();
        let body = wire::encode_request(&id, first_layer, end_layer, steps);
        let response =
            self.call(Method::Post, &self.infer_url, body, timeout).await?;
        wire::decode_response(&response, &id, steps)
            .map_err(|e| EngineError::Protocol(e.to_string()))
    }

    /// Releases sequences on the engine. Unknown sequences are not an error.
    ///
    /// # Errors
    ///
    /// The call failed, see [`EngineError`].
    pub async fn release(
        &self,
        sequences: &[SequenceId],
    ) -> Result<(), EngineError> {
        if sequences.is_empty() {
            return Ok(());
        }
        let body = to_json(&ReleaseBody::new(sequences));
        self.call(Method::Post, &self.release_url, body, SHORT_TIMEOUT)
            .await?;
        Ok(())
    }

    /// Whether the engine reports that it is ready.
    pub async fn is_ready(&self) -> bool {
        self.ready().await.is_ok()
    }

    /// Checks whether the engine is ready.
    ///
    /// # Errors
    ///
    /// The engine is not ready or the call failed, see [`EngineError`].
    pub async fn ready(&self) -> Result<(), EngineError> {
        let url = &self.ready_url;
        self.call(Method::Get, url, vec![], SHORT_TIMEOUT).await?;
        Ok(())
    }

    /// Fetches the load that the engine reports; the report may be outdated,
    /// see [`EngineLoad::as_of_unix_ms`].
    ///
    /// # Errors
    ///
    /// The call failed, see [`EngineError`].
    pub async fn load(&self) -> Result<EngineLoad, EngineError> {
        let url = &self.load_report_url;
        let response =
            self.call(Method::Get, url, vec![], SHORT_TIMEOUT).await?;
        serde_json::from_slice(&response)
            .map_err(|e| EngineError::Protocol(e.to_string()))
    }

    /// Sends an order and waits until the engine has loaded the weights.
    ///
    /// # Errors
    ///
    /// [`EngineError::OldFencingNumber`] if the engine checks fencing numbers
    /// and has accepted a newer one; otherwise the call failed.
    pub async fn order(&self, order: &LoadOrder) -> Result<(), EngineError> {
        let segments =
            ["v2", "repository", "models", order.model.as_str(), "load"];
        let url = join(&self.base_url, &segments);
        let body = to_json(&LoadBody::new(order));
        let response =
            self.exchange(Method::Post, &url, body, ORDER_TIMEOUT).await?;
        match response.status {
            200..=299 => Ok(()),
            _ => Err(order_error(order, &response)),
        }
    }

    /// Sends a request and returns the body of a successful response.
    async fn call(
        &self,
        method: Method,
        url: &Url,
        body: Vec<u8>,
        timeout: Duration,
    ) -> Result<Vec<u8>, EngineError> {
        let response = self.exchange(method, url, body, timeout).await?;
        match response.status {
            200..=299 => Ok(response.body),
            _ => Err(status_error(&response)),
        }
    }

    async fn exchange(
        &self,
        method: Method,
        url: &Url,
        body: Vec<u8>,
        timeout: Duration,
    ) -> Result<EngineResponse, EngineError> {
        let mut request = Request::new(method, url.clone());
        if !body.is_empty() {
            request.set_body(body);
            request.insert_header("content-type", "application/json");
        }
        let (head, body) = self.http.send(request, timeout).await?;
        let status = head.status().into();
        Ok(EngineResponse {
            status,
            cooldown: retry_after::from_response(&head),
            body,
        })
    }
}

/// An engine's response.
struct EngineResponse {
    status: u16,
    /// The cooldown that the engine requested, if any.
    cooldown: Option<Duration>,
    body: Vec<u8>,
}

/// Replaces the path of a URL by the given segments, percent-encoded as
/// needed.
fn join<'a>(
    base: &Url,
    segments: impl IntoIterator<Item = &'a &'a str>,
) -> Url {
    let mut url = base.clone();
    url.path_segments_mut()
        .expect("an http URL has a path")
        .clear()
        .extend(segments);
    url
}

fn to_json<T: Serialize>(value: &T) -> Vec<u8> {
    serde_json::to_vec(value).expect("plain structs serialize to JSON")
}

fn order_error(order: &LoadOrder, response: &EngineResponse) -> EngineError {
    let error = serde_json::from_slice::<ErrorBody>(&response.body);
    match error {
        Ok(ErrorBody { fencing_number: Some(held), .. })
            if response.status == 409 =>
        {
            EngineError::OldFencingNumber { sent: order.fencing_number, held }
        }
        _ => status_error(response),
    }
}

fn status_error(response: &EngineResponse) -> EngineError {
    let EngineResponse { status, cooldown, ref body } = *response;
    let message = match serde_json::from_slice::<ErrorBody>(body) {
        Ok(body) => body.error,
        Err(_) => {
            let kept = body.len().min(MAX_MESSAGE_BYTES);
            String::from_utf8_lossy(&body[..kept]).into_owned()
        }
    };
    EngineError::Status { status, message, cooldown }
}
