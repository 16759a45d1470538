//! One attempt of a plain request at one backend server.

use std::{
    fmt::Display,
    pin::Pin,
    sync::Arc,
    time::{Duration, Instant},
};

use async_io::Timer;
use chestnutreach_http::relay::{
    Outbound, OutboundError, RelayRequest, ResponseHead,
};
use chestnutreach_telemetry::{Event, emit};
use futures_lite::FutureExt as _;

use crate::{
    clock::now_ms,
    cluster::{
        end_check,
        engine::{Engine, Reservation},
        notices::{self, ResponseContext},
    },
    core::Core,
    request::{
        admit::AdmittedRequest,
        exchange::{self, BackendHeaders, HeldBody},
        isolation::RequestSuspicion,
    },
};

/// Result of one attempt.
pub(super) enum AttemptResult {
    /// The whole response was received.
    Responded(ResponseHead, HeldBody),
    /// The request certainly did not run.
    NotRun,
    /// The response is lost; the request may have run.
    ResponseLost,
    /// There was no response by the deadline; the request may have run.
    TimedOut,
    CallerDisconnected,
    /// The entry no longer waits for it; the request may have run.
    Cancelled,
}

impl AttemptResult {
    /// Whether it is the answer that the caller gets.
    pub(super) fn is_final(&self) -> bool {
        match self {
            AttemptResult::Responded(head, _) => head.status < 500,
            _ => false,
        }
    }
}

/// The end of an attempt.
pub(super) struct AttemptEnd {
    pub(super) result: AttemptResult,
    /// Why the connection ended before the response.
    error: Option<OutboundError>,
}

impl AttemptEnd {
    fn interrupted(result: AttemptResult, error: OutboundError) -> AttemptEnd {
        AttemptEnd { result, error: Some(error) }
    }
}

impl From<AttemptResult> for AttemptEnd {
    fn from(result: AttemptResult) -> AttemptEnd {
        AttemptEnd { result, error: None }
    }
}

/// An attempt in progress. Its connection is closed when it is dropped.
pub(super) struct RunningAttempt<'a> {
    pub(super) engine: Arc<Engine>,
    pub(super) number: u32,
    /// Whether another attempt was in progress at its begin.
    pub(super) is_hedge: bool,
    pub(super) began_ms: u64,
    pub(super) work: Pin<Box<dyn Future<Output = AttemptEnd> + Send + 'a>>,
}

impl<'a> RunningAttempt<'a> {
    pub(super) fn begin(
        core: &'a Arc<Core>,
        request: &'a RelayRequest,
        admitted: &'a AdmittedRequest,
        engine: &Arc<Engine>,
        number: u32,
    ) -> RunningAttempt<'a> {
        let context = AttemptContext { engine: engine.clone(), number };
        RunningAttempt {
            engine: engine.clone(),
            number,
            is_hedge: false,
            began_ms: now_ms(),
            work: Box::pin(attempt(core, request, admitted, context)),
        }
    }

    pub(super) fn elapsed_ms(&self) -> u64 {
        now_ms().saturating_sub(self.began_ms)
    }

    /// Logs why the connection ended before the response, if it did.
    pub(super) fn log_interruption(
        &self,
        end: &AttemptEnd,
        admitted: &AdmittedRequest,
        suspicion: &RequestSuspicion<'_>,
    ) {
        if let Some(error) = &end.error {
            log_interrupted(self, admitted, suspicion, error);
        }
    }
}

/// Parameters of an attempt.
struct AttemptContext {
    engine: Arc<Engine>,
    number: u32,
}

async fn attempt(
    core: &Arc<Core>,
    request: &RelayRequest,
    admitted: &AdmittedRequest,
    context: AttemptContext,
) -> AttemptEnd {
    let engine = &context.engine;
    let _reservation = Reservation::new(engine, 0, true);
    let mut connection =
        match Outbound::connect(engine.address, exchange::CONNECT_TIMEOUT)
            .await
        {
            Ok(connection) => connection,
            Err(e) => {
                return AttemptEnd::interrupted(
                    AttemptResult::NotRun,
                    e.into(),
                );
            }
        };
    let remaining_ms = admitted.remaining_ms(now_ms());
    let bytes = exchange::request_bytes(
        request,
        &BackendHeaders {
            instance: &engine.id,
            account: admitted.account.as_deref(),
            remaining_ms,
            path: None,
            priority: Some(admitted.urgency),
            last_event_id: None,
        },
    );
    record_sent(core, admitted, &context, remaining_ms);
    let sent_ms = now_ms();
    engine.notices.record_sent(sent_ms);
    let exchange = async {
        let sent = connection.send(&bytes).await;
        drop(bytes);
        sent?;
        let id = admitted.id.as_deref();
        let head =
            exchange::read_matching_head(&mut connection, id, &request.method)
                .await?;
        let response = ResponseContext {
            request: admitted.id_text(),
            sent_ms,
            head: &head,
        };
        notices::apply_response(core, engine, &response);
        let body = head.body(&request.method);
        let memory = &core.fleet.response_memory;
        let body = exchange::read_body(&mut connection, body, memory).await?;
        let is_cut_off = head.ends_with_connection(&request.method)
            && end_check::is_cut_off(core, engine).await;
        match is_cut_off {
            true => Err(OutboundError::new("the server crashed at the end")),
            false => Ok((head, body)),
        }
    };
    let exchange = async {
        match exchange.await {
            Ok((head, body)) => {
                classify_response(admitted, &context, head, body).into()
            }
            Err(e) => {
                exchange::record_cut(core, engine, admitted.id_text(), &e);
                AttemptEnd::interrupted(AttemptResult::ResponseLost, e)
            }
        }
    };
    let wait_ms = admitted.remaining_ms(now_ms());
    let limit = async {
        Timer::at(Instant::now() + Duration::from_millis(wait_ms)).await;
        AttemptResult::TimedOut.into()
    };
    let end = exchange.or(limit).await;
    connection.abort();
    end
}

/// Classifies a response. A response that states that the request did not run
/// counts as no response.
fn classify_response(
    admitted: &AdmittedRequest,
    context: &AttemptContext,
    head: ResponseHead,
    body: HeldBody,
) -> AttemptResult {
    let is_not_run = exchange::is_not_run(&head);
    if head.status >= 400 {
        emit(
            Event::RelayAnswered,
            &[
                ("request", &admitted.id_text()),
                ("attempt", &context.number),
                ("backend", &context.engine.id),
                ("status", &head.status),
                ("is_not_run", &is_not_run),
            ],
        );
    }
    let is_bad_request = head.status == 400;
    if is_not_run && !is_bad_request {
        return AttemptResult::NotRun;
    }
    AttemptResult::Responded(head, body)
}

fn record_sent(
    core: &Core,
    admitted: &AdmittedRequest,
    context: &AttemptContext,
    remaining_ms: u64,
) {
    admitted.record_sent();
    core.metrics.service(&admitted.service.name).attempts.inc();
    let waited_ms = now_ms().saturating_sub(admitted.received_ms);
    emit(
        Event::RelaySent,
        &[
            ("request", &admitted.id_text()),
            ("attempt", &context.number),
            ("backends", &context.engine.id),
            ("waited_ms", &waited_ms),
            ("left_ms", &remaining_ms),
        ],
    );
}

fn log_interrupted(
    attempt: &RunningAttempt<'_>,
    admitted: &AdmittedRequest,
    suspicion: &RequestSuspicion<'_>,
    error: &dyn Display,
) {
    emit(
        Event::RelayBroken,
        &[
            ("request", &admitted.id_text()),
            ("attempt", &attempt.number),
            ("backend", &attempt.engine.id),
            ("error", &error),
            ("gap_ms", &attempt.elapsed_ms()),
            ("fingerprint", &suspicion.fingerprint()),
            ("parts", &suspicion.parts_text()),
        ],
    );
}
