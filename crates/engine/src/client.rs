//! Calls to one engine.
//!
//! Connections are kept by the HTTP client. A call is never repeated here:
//! whether a lost one may be, is for the holder of the sequence to decide.

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

/// Longest answer taken: a batch of long prompts' activations.
const MAX_ANSWER_BYTES: usize = 256 << 20;
/// Time for calls that neither run layers nor load weights.
const SHORT_TIMEOUT: Duration = Duration::from_secs(2);
/// Time for an order, which is answered when the weights are loaded.
const ORDER_TIMEOUT: Duration = Duration::from_secs(300);
/// Most bytes kept of an answer that is no error in JSON.
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
    /// A client without connections.
    pub fn new(address: SocketAddr, model: &str) -> EngineClient {
        let options =
            ClientOptions::new().max_response_bytes(MAX_ANSWER_BYTES);
        let base_url = Url::parse(&format!("http://{address}"))
            .expect("an address makes a URL");
        let of_model = |rest: &[&str]| {
            let segments = ["v2", "models", model];
            join(&base_url, segments.iter().chain(rest))
        };
        EngineClient {
            infer_url: of_model(&["infer"]),
            release_url: of_model(&["sequences", "release"]),
            load_report_url: of_model(&["load-report"]),
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

    /// Runs the layers `first_layer..end_layer` on a batch of steps; the
    /// results come in the same order.
    ///
    /// # Errors
    ///
    /// There is no answer for the whole batch, see [`EngineError`].
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
        let answer =
            self.call(Method::Post, &self.infer_url, body, timeout).await?;
        wire::decode_response(&answer, &id, steps)
            .map_err(|e| EngineError::Protocol(e.to_string()))
    }

    /// Has the engine forget sequences; unknown ones are no error.
    ///
    /// # Errors
    ///
    /// There is no answer, see [`EngineError`].
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

    /// Whether the engine says it is ready to run.
    pub async fn is_ready(&self) -> bool {
        self.ready().await.is_ok()
    }

    /// Asks whether the engine is ready to run.
    ///
    /// # Errors
    ///
    /// It is not, or there is no answer, see [`EngineError`].
    pub async fn ready(&self) -> Result<(), EngineError> {
        let url = &self.ready_url;
        self.call(Method::Get, url, vec![], SHORT_TIMEOUT).await?;
        Ok(())
    }

    /// The load the engine reports, which lags.
    ///
    /// # Errors
    ///
    /// There is no answer, see [`EngineError`].
    pub async fn load(&self) -> Result<EngineLoad, EngineError> {
        let url = &self.load_report_url;
        let answer =
            self.call(Method::Get, url, vec![], SHORT_TIMEOUT).await?;
        serde_json::from_slice(&answer)
            .map_err(|e| EngineError::Protocol(e.to_string()))
    }

    /// Gives an order and waits until the weights are loaded.
    ///
    /// # Errors
    ///
    /// [`EngineError::OldFencingNumber`] from an engine that checks the
    /// number and holds a newer one; otherwise there is no answer.
    pub async fn order(&self, order: &LoadOrder) -> Result<(), EngineError> {
        let segments =
            ["v2", "repository", "models", order.model.as_str(), "load"];
        let url = join(&self.base_url, &segments);
        let body = to_json(&LoadBody::new(order));
        let answer =
            self.exchange(Method::Post, &url, body, ORDER_TIMEOUT).await?;
        match answer.status {
            200..=299 => Ok(()),
            _ => Err(order_error(order, &answer)),
        }
    }

    /// The body of an answer that is no error.
    async fn call(
        &self,
        method: Method,
        url: &Url,
        body: Vec<u8>,
        timeout: Duration,
    ) -> Result<Vec<u8>, EngineError> {
        let answer = self.exchange(method, url, body, timeout).await?;
        match answer.status {
            200..=299 => Ok(answer.body),
            _ => Err(status_error(&answer)),
        }
    }

    async fn exchange(
        &self,
        method: Method,
        url: &Url,
        body: Vec<u8>,
        timeout: Duration,
    ) -> Result<Answer, EngineError> {
        let mut request = Request::new(method, url.clone());
        if !body.is_empty() {
            request.set_body(body);
            request.insert_header("content-type", "application/json");
        }
        let (response, body) = self.http.send(request, timeout).await?;
        let status = response.status().into();
        Ok(Answer {
            status,
            rest: retry_after::from_response(&response),
            body,
        })
    }
}

/// What an engine answered.
struct Answer {
    status: u16,
    /// For how long the engine wants nothing, if it said so.
    rest: Option<Duration>,
    body: Vec<u8>,
}

/// The URL with path segments, each escaped where it has to be.
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
    serde_json::to_vec(value).expect("plain structs make JSON")
}

fn order_error(order: &LoadOrder, answer: &Answer) -> EngineError {
    let error = serde_json::from_slice::<ErrorBody>(&answer.body);
    match error {
        Ok(ErrorBody { fencing_number: Some(held), .. })
            if answer.status == 409 =>
        {
            EngineError::OldFencingNumber { sent: order.fencing_number, held }
        }
        _ => status_error(answer),
    }
}

fn status_error(answer: &Answer) -> EngineError {
    let Answer { status, rest, ref body } = *answer;
    let message = match serde_json::from_slice::<ErrorBody>(body) {
        Ok(body) => body.error,
        Err(_) => {
            let kept = body.len().min(MAX_MESSAGE_BYTES);
            String::from_utf8_lossy(&body[..kept]).into_owned()
        }
    };
    EngineError::Status { status, message, rest }
}
