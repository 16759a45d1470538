//! Requests for a model.

use std::{
    pin::Pin,
    sync::Arc,
    time::{Duration, Instant},
};

use chestnutreach_config::manifest::ServiceKind;
use chestnutreach_http::{
    SharedStream,
    body::{self, BodyWriter},
};
use chestnutreach_protocol::wire;
use chestnutreach_state::Outcome;
use futures_lite::FutureExt as _;
use http_types::{Response, StatusCode};

use crate::{
    call::Call,
    error_response::{self, OUTCOME_HEADER, REQUEST_HEADER},
    openai::{
        ChunkEncoder, Endpoint, ParsedRequest, ResponseTemplate, Usage,
        response::error_event,
    },
    progress_source::{self, ProgressSource},
    request_tracker::RequestTracker,
    session::{Job, JobWork, Progress},
    shared::Shared,
    view::ServiceView,
};

/// Parses a request body.
///
/// # Errors
///
/// Returns an error response that names the invalid field.
pub(crate) fn parse(
    endpoint: Endpoint,
    body: &[u8],
) -> Result<ParsedRequest, Box<Response>> {
    ParsedRequest::try_parse(endpoint, body).map_err(|e| {
        error_response::bad_request(
            "invalid_body",
            e.param.as_deref(),
            &e.message,
        )
    })
}

/// Limits a request to the context length of its model.
///
/// # Errors
///
/// Returns an error response that names the limit.
pub(crate) fn limit_to_context(
    parsed: &mut ParsedRequest,
    service: &ServiceView,
) -> Result<(), Box<Response>> {
    let ServiceKind::Language { max_context_tokens, .. } =
        service.service.kind
    else {
        return Ok(());
    };
    parsed.limit_to_context(max_context_tokens).map_err(|e| {
        let code = "context_length_exceeded";
        error_response::bad_request(code, e.param.as_deref(), &e.message)
    })
}

/// Serves a request for a model.
pub(crate) async fn serve(
    entry: &Arc<Shared>,
    mut call: Call,
    endpoint: Endpoint,
    parsed: ParsedRequest,
) -> Result<Response, Box<Response>> {
    let is_non_idempotent = call.options.is_non_idempotent.unwrap_or(false);
    let is_idempotent = !is_non_idempotent && call.options.key.is_none();
    let keyed = progress_source::keyed_request(entry, &call);
    let work = JobWork::Generate {
        model: parsed.model.clone(),
        request_json: std::mem::take(&mut call.received.body),
        max_tokens: parsed.max_tokens,
        prompt_tokens_estimate: parsed.prompt_tokens_estimate,
    };
    let job = Job {
        request: call.request,
        service: call.service.clone(),
        account: call.account.name.clone(),
        priority: call.options.priority,
        is_idempotent,
        deadline: deadline(&call),
        work,
    };
    let tracker = RequestTracker::new(entry, &call);
    let source = ProgressSource::start(entry, job, keyed);
    let template =
        ResponseTemplate::new(endpoint, call.request, &parsed.model);
    let disconnected = wait_for_disconnect(call.received.connection.clone());
    let responder =
        Responder { source, disconnected, tracker, template, is_idempotent };
    if parsed.is_stream {
        responder.respond_streaming(entry, &call, parsed.includes_usage).await
    } else {
        responder.respond(&call).await
    }
}

/// Completes when the caller disconnects. One future is reused for all tokens
/// of a response, because each new future would poll the socket.
type Disconnect = Pin<Box<dyn Future<Output = ()> + Send>>;

fn wait_for_disconnect(connection: SharedStream) -> Disconnect {
    Box::pin(async move { connection.peer_closed().await })
}

/// Builds the response to a request.
struct Responder {
    source: ProgressSource,
    disconnected: Disconnect,
    tracker: RequestTracker,
    template: ResponseTemplate,
    is_idempotent: bool,
}

impl Responder {
    /// Responds with one JSON object.
    async fn respond(
        mut self,
        call: &Call,
    ) -> Result<Response, Box<Response>> {
        let mut text = String::new();
        loop {
            let Some(progress) = self.next().await else {
                return Err(self.record_disconnect());
            };
            match progress {
                Progress::Token(token) => {
                    self.tracker.record_delivery(1);
                    text.push_str(&token.text);
                }
                Progress::Finished(finished) => {
                    self.tracker.record_completed();
                    let object = self.template.full_response(
                        &text,
                        finished.finish(),
                        usage(&finished),
                    );
                    let mut response = self.new_response(call);
                    response.insert_header(
                        OUTCOME_HEADER,
                        Outcome::Completed.as_str(),
                    );
                    response.set_body(object.to_string());
                    response.insert_header("content-type", "application/json");
                    return Ok(response);
                }
                Progress::Failed(failure) => {
                    self.tracker.record_failure(&failure);
                    let request = Some(call.request);
                    return Err(error_response::for_failure(
                        &failure,
                        request,
                        self.is_idempotent,
                    ));
                }
                Progress::Head(_)
                | Progress::Data(_)
                | Progress::KeyHeld(_) => {}
            }
        }
    }

    /// Responds with an event stream. Waits for the first progress, so that a
    /// request that fails before then gets an error status.
    async fn respond_streaming(
        mut self,
        entry: &Arc<Shared>,
        call: &Call,
        includes_usage: bool,
    ) -> Result<Response, Box<Response>> {
        let Some(first) = self.next().await else {
            return Err(self.record_disconnect());
        };
        if let Progress::Failed(failure) = &first {
            self.tracker.record_failure(failure);
            let request = Some(call.request);
            return Err(error_response::for_failure(
                failure,
                request,
                self.is_idempotent,
            ));
        }
        let (writer, body) = body::channel();
        let mut response = self.new_response(call);
        response.set_body(body);
        response.insert_header("content-type", "text/event-stream");
        response.insert_header("cache-control", "no-cache");
        let stream = EventStream {
            encoder: self.template.chunk_encoder(includes_usage),
            responder: self,
            writer,
        };
        entry.spawn(stream.run(first));
        Ok(response)
    }

    /// The next progress; `None` if the caller has disconnected.
    async fn next(&mut self) -> Option<Progress> {
        let next = async { Some(self.source.next().await) };
        let disconnected = async {
            (&mut self.disconnected).await;
            None
        };
        next.or(disconnected).await
    }

    fn record_disconnect(&mut self) -> Box<Response> {
        self.tracker.record_disconnect();
        Box::new(Response::new(StatusCode::BadRequest))
    }

    fn new_response(&self, call: &Call) -> Response {
        let mut response = Response::new(StatusCode::Ok);
        response.insert_header(REQUEST_HEADER, call.request.to_string());
        response
    }
}

/// A streamed response in progress.
struct EventStream {
    responder: Responder,
    encoder: ChunkEncoder,
    writer: BodyWriter,
}

impl EventStream {
    async fn run(mut self, first: Progress) {
        if let Some(first_chunk) = self.encoder.first_chunk() {
            self.writer.write(first_chunk);
        }
        let mut progress = Some(first);
        while let Some(next) = progress.take() {
            match next {
                Progress::Token(token) => {
                    self.responder.tracker.record_delivery(1);
                    if !self.writer.write(self.encoder.text_chunk(&token.text))
                    {
                        break;
                    }
                }
                Progress::Finished(finished) => {
                    self.responder.tracker.record_completed();
                    let usage = usage(&finished);
                    let final_events =
                        self.encoder.final_events(finished.finish(), usage);
                    self.writer.write(final_events);
                    self.writer.finish();
                    return;
                }
                Progress::Failed(failure) => {
                    self.responder.tracker.record_failure(&failure);
                    let object = error_response::error_object(&failure);
                    self.writer.write(error_event(&object));
                    // Dropping the writer without `finish` truncates the
                    // body, so that the caller sees an incomplete response.
                    return;
                }
                Progress::Head(_)
                | Progress::Data(_)
                | Progress::KeyHeld(_) => {}
            }
            progress = self.next().await;
        }
        self.responder.tracker.record_disconnect();
    }

    /// The next progress; `None` if the caller has disconnected.
    async fn next(&mut self) -> Option<Progress> {
        let reader_disconnected = async {
            self.writer.reader_dropped().await;
            None
        };
        self.responder.next().or(reader_disconnected).await
    }
}

fn usage(finished: &wire::Finished) -> Usage {
    Usage::new(
        finished.prompt_tokens,
        finished.cached_tokens,
        finished.output_count,
    )
}

/// Deadline of a call.
pub(crate) fn deadline(call: &Call) -> Instant {
    call.arrived + Duration::from_millis(call.options.deadline_ms)
}
