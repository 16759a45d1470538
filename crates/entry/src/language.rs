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
    answer::{self, OUTCOME_HEADER, REQUEST_HEADER},
    call::Call,
    openai::{
        AnswerShape, Asked, Chunks, Endpoint, Usage, answer::error_event,
    },
    session::{Job, JobWork, Progress},
    shared::Shared,
    source::{self, Source},
    tally::Tally,
    view::ServiceView,
};

/// Reads a request's body.
///
/// # Errors
///
/// The answer that names the field at fault.
pub(crate) fn parse(
    endpoint: Endpoint,
    body: &[u8],
) -> Result<Asked, Box<Response>> {
    Asked::try_parse(endpoint, body).map_err(|e| {
        answer::bad_request("invalid_body", e.param.as_deref(), &e.message)
    })
}

/// Fits a request into the context of its model.
///
/// # Errors
///
/// The answer that names the limit.
pub(crate) fn fit(
    asked: &mut Asked,
    service: &ServiceView,
) -> Result<(), Box<Response>> {
    let ServiceKind::Language { max_context_tokens, .. } =
        service.service.kind
    else {
        return Ok(());
    };
    asked.fit(max_context_tokens).map_err(|e| {
        let code = "context_length_exceeded";
        answer::bad_request(code, e.param.as_deref(), &e.message)
    })
}

/// Serves a request for a model.
pub(crate) async fn serve(
    entry: &Arc<Shared>,
    mut call: Call,
    endpoint: Endpoint,
    asked: Asked,
) -> Result<Response, Box<Response>> {
    let is_once = call.terms.is_non_idempotent.unwrap_or(false);
    let is_idempotent = !is_once && call.terms.key.is_none();
    let keyed = source::key_of(entry, &call);
    let work = JobWork::Generate {
        model: asked.model.clone(),
        request_json: std::mem::take(&mut call.received.body),
        max_tokens: asked.max_tokens,
        prompt_tokens_estimate: asked.prompt_tokens_estimate,
    };
    let job = Job {
        request: call.request,
        service: call.service.clone(),
        account: call.account.name.clone(),
        priority: call.terms.priority,
        is_idempotent,
        deadline: deadline(&call),
        work,
    };
    let tally = Tally::new(entry, &call);
    let source = Source::start(entry, job, keyed);
    let shape = AnswerShape::new(endpoint, call.request, &asked.model);
    let gone = hang_up(call.received.connection.clone());
    let answering = Answering { source, gone, tally, shape, is_idempotent };
    if asked.is_stream {
        answering.stream(entry, &call, asked.includes_usage).await
    } else {
        answering.whole(&call).await
    }
}

/// Ends when the caller hangs up. It is kept over all tokens of an answer: a
/// new one would look at the socket each time.
type HangUp = Pin<Box<dyn Future<Output = ()> + Send>>;

fn hang_up(connection: SharedStream) -> HangUp {
    Box::pin(async move { connection.peer_closed().await })
}

/// A request whose answer is being made.
struct Answering {
    source: Source,
    gone: HangUp,
    tally: Tally,
    shape: AnswerShape,
    is_idempotent: bool,
}

impl Answering {
    /// Answers with one JSON object.
    async fn whole(mut self, call: &Call) -> Result<Response, Box<Response>> {
        let mut text = String::new();
        loop {
            let Some(progress) = self.next().await else {
                return Err(self.caller_gone());
            };
            match progress {
                Progress::Token(token) => {
                    self.tally.part(1);
                    text.push_str(&token.text);
                }
                Progress::Whole(finished) => {
                    self.tally.completed();
                    let object = self.shape.whole(
                        &text,
                        finished.finish(),
                        usage(&finished),
                    );
                    let mut response = self.response(call);
                    response.insert_header(
                        OUTCOME_HEADER,
                        Outcome::Completed.as_str(),
                    );
                    response.set_body(object.to_string());
                    response.insert_header("content-type", "application/json");
                    return Ok(response);
                }
                Progress::Ended(ending) => {
                    self.tally.ended(&ending);
                    let request = Some(call.request);
                    return Err(answer::ended(
                        &ending,
                        request,
                        self.is_idempotent,
                    ));
                }
                Progress::Head(_) | Progress::Data(_) | Progress::Held(_) => {}
            }
        }
    }

    /// Answers with events, once it is known that there is an answer.
    async fn stream(
        mut self,
        entry: &Arc<Shared>,
        call: &Call,
        includes_usage: bool,
    ) -> Result<Response, Box<Response>> {
        let Some(first) = self.next().await else {
            return Err(self.caller_gone());
        };
        if let Progress::Ended(ending) = &first {
            self.tally.ended(ending);
            let request = Some(call.request);
            return Err(answer::ended(ending, request, self.is_idempotent));
        }
        let (writer, body) = body::channel();
        let mut response = self.response(call);
        response.set_body(body);
        response.insert_header("content-type", "text/event-stream");
        response.insert_header("cache-control", "no-cache");
        let stream = Stream {
            chunks: self.shape.chunks(includes_usage),
            answering: self,
            writer,
        };
        entry.spawn(stream.run(first));
        Ok(response)
    }

    /// The next progress; none when the caller has hung up.
    async fn next(&mut self) -> Option<Progress> {
        let next = async { Some(self.source.next().await) };
        let gone = async {
            (&mut self.gone).await;
            None
        };
        next.or(gone).await
    }

    fn caller_gone(&mut self) -> Box<Response> {
        self.tally.caller_gone();
        Box::new(Response::new(StatusCode::BadRequest))
    }

    fn response(&self, call: &Call) -> Response {
        let mut response = Response::new(StatusCode::Ok);
        response.insert_header(REQUEST_HEADER, call.request.to_string());
        response
    }
}

/// A streamed answer under way.
struct Stream {
    answering: Answering,
    chunks: Chunks,
    writer: BodyWriter,
}

impl Stream {
    async fn run(mut self, first: Progress) {
        if let Some(opening) = self.chunks.opening() {
            self.writer.write(opening);
        }
        let mut progress = Some(first);
        while let Some(next) = progress.take() {
            match next {
                Progress::Token(token) => {
                    self.answering.tally.part(1);
                    if !self.writer.write(self.chunks.text(&token.text)) {
                        break;
                    }
                }
                Progress::Whole(finished) => {
                    self.answering.tally.completed();
                    let usage = usage(&finished);
                    let closing =
                        self.chunks.closing(finished.finish(), usage);
                    self.writer.write(closing);
                    self.writer.finish();
                    return;
                }
                Progress::Ended(ending) => {
                    self.answering.tally.ended(&ending);
                    let object = answer::error_object(&ending);
                    self.writer.write(error_event(&object));
                    // Dropping the writer unfinished breaks the body off: an
                    // answer that is not whole must not look like one.
                    return;
                }
                Progress::Head(_) | Progress::Data(_) | Progress::Held(_) => {}
            }
            progress = self.next().await;
        }
        self.answering.tally.caller_gone();
    }

    /// The next progress; none when the caller has gone.
    async fn next(&mut self) -> Option<Progress> {
        let unread = async {
            self.writer.reader_dropped().await;
            None
        };
        self.answering.next().or(unread).await
    }
}

fn usage(finished: &wire::Finished) -> Usage {
    Usage::new(
        finished.prompt_tokens,
        finished.cached_tokens,
        finished.output_count,
    )
}

/// When a call's time is over.
pub(crate) fn deadline(call: &Call) -> Instant {
    call.arrived + Duration::from_millis(call.terms.deadline_ms)
}
