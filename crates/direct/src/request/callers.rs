//! Serves the connections of callers.

use std::{net::TcpStream, sync::Arc, time::Duration};

use async_io::{Async, Timer};
use chestnutreach_adapter::caller;
use chestnutreach_http::head::RequestError;
use chestnutreach_http::relay::{
    Inbound, InboundError, InboundLimits, RelayRequest,
};
use chestnutreach_routing::{PoolShare, StartupWait};
use chestnutreach_site::Limits;
use chestnutreach_telemetry::{Event, emit};
use futures_lite::FutureExt as _;

use crate::{
    core::Core,
    request::{
        admit::{self, AdmissionError, AdmittedRequest, admit},
        outcome::{ConnectionAction, RequestSummary, is_last_request, refuse},
        plain,
        response::{self, ErrorReason},
        stream,
    },
};

/// Why a request is refused that was not received whole when the entry stops.
const STOPPING: &str = "the entry is stopping";
/// Time in which a body must arrive after its head.
const BODY_TIMEOUT: Duration = Duration::from_secs(10);

/// Serves the requests of a connection one after another.
pub(crate) async fn serve(core: Arc<Core>, socket: Async<TcpStream>) {
    let Ok(mut inbound) = Inbound::new(socket) else {
        return;
    };
    let _counted = core.stop.count_connection();
    core.metrics.caller_connections.inc();
    match serve_requests(&core, &mut inbound).await {
        ConnectionAction::KeepAlive | ConnectionAction::Close => {
            inbound.close().await
        }
        ConnectionAction::Abort => inbound.abort(),
    }
    core.metrics.caller_connections.dec();
}

async fn serve_requests(
    core: &Arc<Core>,
    inbound: &mut Inbound,
) -> ConnectionAction {
    loop {
        let limits = core.limits();
        let idle = async {
            let idle_ms = limits.idle_timeout_ms;
            Timer::after(Duration::from_millis(idle_ms)).await;
            Err(InboundError::Closed)
        };
        let closing = async {
            core.stop.wait_for_begin().await;
            let idle_ms = core.stop.idle_left_ms();
            Timer::after(Duration::from_millis(idle_ms)).await;
            Err(InboundError::Closed)
        };
        let bytes = inbound.wait_for_bytes().or(idle).or(closing);
        if bytes.await.is_err() {
            return ConnectionAction::Close;
        }
        // Counted from the first bytes on, so that a stop waits for requests
        // that are still being received.
        let _in_flight = core.stop.count_request();
        // Held until the request has ended.
        let mut held = PoolShare::new(&core.fleet.request_memory);
        let mut may_hold = |bytes| held.try_resize(bytes).is_ok();
        let inbound_limits = inbound_limits(&limits);
        let receive = inbound.receive_within(&inbound_limits, &mut may_hold);
        let ending = async {
            core.stop.wait_for_end().await;
            Err(InboundError::Refused(RequestError::new(503, STOPPING)))
        };
        let received = receive.or(ending).await;
        match received {
            Ok(request) => match handle(core, inbound, &request).await {
                ConnectionAction::KeepAlive => {}
                action => return action,
            },
            Err(InboundError::Closed) => return ConnectionAction::Abort,
            Err(InboundError::Refused(why)) => {
                if why.status == 503 {
                    core.metrics.requests_unread.inc();
                }
                let bytes = response::rejection(why.status, &why.message);
                // The caller may have disconnected by now.
                let _ = inbound.write(&bytes).await;
                return ConnectionAction::Close;
            }
        }
    }
}

fn inbound_limits(limits: &Limits) -> InboundLimits {
    InboundLimits {
        max_head_bytes: limits.max_head_bytes,
        max_body_bytes: limits.max_body_bytes,
        head_timeout: Duration::from_millis(limits.head_timeout_ms),
        body_timeout: BODY_TIMEOUT,
        idle_timeout: Duration::from_millis(limits.idle_timeout_ms),
    }
}

async fn handle(
    core: &Arc<Core>,
    inbound: &mut Inbound,
    request: &RelayRequest,
) -> ConnectionAction {
    let started_ms = crate::clock::now_ms();
    let admitted = match core.stop.refuses_all() {
        true => {
            let reason = ErrorReason::Stopping;
            Err(AdmissionError { reason, configuration: 0 })
        }
        false => {
            wait_for_first_configuration(core, request).await;
            admit(core, request, started_ms)
        }
    };
    let writes = inbound.write_count();
    let relayed = relay(core, inbound, request, &admitted);
    let relayed = async { Some(relayed.await) };
    let ending = async {
        core.stop.wait_for_end().await;
        None
    };
    let (summary, action) = match relayed.or(ending).await {
        Some(ended) => ended,
        None if inbound.write_count() > writes => end_begun_response(),
        None => end_unanswered(inbound, request, &admitted).await,
    };
    record_end(core, request, admitted.as_ref(), &summary, started_ms);
    action
}

async fn relay(
    core: &Arc<Core>,
    inbound: &mut Inbound,
    request: &RelayRequest,
    admitted: &Result<AdmittedRequest, AdmissionError>,
) -> (RequestSummary, ConnectionAction) {
    match admitted {
        Ok(admitted) if admitted.route.kind.is_stream() => {
            stream::relay(core, inbound, request, admitted).await
        }
        Ok(admitted) => plain::relay(core, inbound, request, admitted).await,
        Err(error) => {
            let is_last = is_last_request(core, request);
            refuse(inbound, request, error.reason, is_last).await
        }
    }
}

/// Ends a response that the entry has begun and can't complete before it stops.
/// The caller can resume a stream elsewhere.
fn end_begun_response() -> (RequestSummary, ConnectionAction) {
    let summary = RequestSummary {
        outcome: "failed",
        reason: ErrorReason::Stopping.as_str().to_owned(),
        ..RequestSummary::default()
    };
    (summary, ConnectionAction::Abort)
}

/// Ends a request without a response when the entry stops.
async fn end_unanswered(
    inbound: &mut Inbound,
    request: &RelayRequest,
    admitted: &Result<AdmittedRequest, AdmissionError>,
) -> (RequestSummary, ConnectionAction) {
    let is_sent = admitted.as_ref().is_ok_and(AdmittedRequest::is_sent);
    let reason = match is_sent {
        true => ErrorReason::ResponseLost,
        false => ErrorReason::Stopping,
    };
    refuse(inbound, request, reason, true).await
}

/// Lets a request that arrived while the process started wait for the first
/// read of the configuration, unless none is to be expected in time.
async fn wait_for_first_configuration(core: &Core, request: &RelayRequest) {
    let arrived_ms = crate::clock::now_ms();
    let caller_timeout_ms = admit::caller_timeout_ms(request);
    loop {
        let subscription = core.configuration_subscribers.subscribe();
        if core.configuration().is_some() {
            return;
        }
        let waited_ms = crate::clock::now_ms() - arrived_ms;
        let startup_wait = StartupWait {
            uptime_ms: core.age_ms(),
            is_store_unavailable: core.store_unavailable_ms() > 0,
            caller_remaining_ms: caller_timeout_ms
                .saturating_sub(2 * waited_ms),
        };
        let Some(wait_ms) = startup_wait.max_wait_ms() else { return };
        let limit = async {
            Timer::after(Duration::from_millis(wait_ms)).await;
        };
        subscription.notified().or(limit).await;
    }
}

fn record_end(
    core: &Core,
    request: &RelayRequest,
    admitted: Result<&AdmittedRequest, &AdmissionError>,
    summary: &RequestSummary,
    started_ms: u64,
) {
    let elapsed_ms = crate::clock::now_ms().saturating_sub(started_ms);
    let id = request.header(caller::REQUEST_ID).unwrap_or("");
    let configuration =
        admitted.map_or_else(|error| error.configuration, |a| a.configuration);
    let admitted = admitted.ok();
    let route = admitted.map_or("", |a| a.route.name.as_str());
    let account = admitted.and_then(|a| a.account.as_deref()).unwrap_or("");
    let first =
        summary.first_event_ms.map_or_else(String::new, |ms| ms.to_string());
    let age_ms = admitted
        .map_or_else(|| core.confirmed_age_ms(), |a| a.configuration_age_ms);
    emit(
        Event::RelayEnded,
        &[
            ("request", &id),
            ("route", &route),
            ("account", &account),
            ("outcome", &summary.outcome),
            ("status", &summary.status),
            ("reason", &summary.reason),
            ("attempts", &summary.attempts),
            ("changes", &summary.path_changes),
            ("events", &summary.events),
            ("first_ms", &first),
            ("max_gap_ms", &summary.max_gap_ms),
            ("elapsed_ms", &elapsed_ms),
            ("configuration", &configuration),
            ("configuration_age_ms", &age_ms),
        ],
    );
    let Some(admitted) = admitted else { return };
    let service = core.metrics.service(&admitted.service.name);
    let elapsed = Duration::from_millis(elapsed_ms);
    service.record_request_ended(summary.outcome, "", elapsed);
    if summary.status == 200 {
        core.stop.record_duration(&admitted.route.name, elapsed_ms);
    }
}
