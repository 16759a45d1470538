//! The connections of clients.

use std::{
    net::TcpStream,
    sync::{Arc, atomic::Ordering::Relaxed},
    time::Duration,
};

use async_io::{Async, Timer};
use chestnutreach_adapter::clients;
use chestnutreach_http::relay::{
    Inbound, InboundError, InboundLimits, RelayRequest,
};
use chestnutreach_routing::StartupWait;
use chestnutreach_site::Limits;
use chestnutreach_telemetry::{Event, emit};
use futures_lite::FutureExt as _;

use crate::{
    core::Core,
    request::{
        admit::{self, Admitted, NotAdmitted, admit},
        answer::{self, Reason},
        ended::{After, Ended, refuse},
        plain, stream,
    },
};

/// How long a body may take beyond the head.
const BODY_TIMEOUT: Duration = Duration::from_secs(10);
/// How long idle connections are kept once the process stops: a request may
/// be on its way.
const CLOSE_IDLE_AFTER: Duration = Duration::from_millis(1_000);
/// Time of a stop in which new requests are still taken: the balancer needs
/// two looks to send clients elsewhere. After it the port closes.
pub(crate) const TAKE_WHILE_STOPPING_MS: u64 = 2_600;

/// Serves the requests of a connection one after another.
pub(crate) async fn serve(core: Arc<Core>, socket: Async<TcpStream>) {
    let Ok(mut inbound) = Inbound::new(socket) else {
        return;
    };
    core.metrics.caller_connections.inc();
    match serve_all(&core, &mut inbound).await {
        After::Keep | After::Close => inbound.close().await,
        After::Cut => inbound.abort(),
    }
    core.metrics.caller_connections.dec();
}

async fn serve_all(core: &Arc<Core>, inbound: &mut Inbound) -> After {
    loop {
        let limits = core.limits();
        let idle = async {
            let idle_ms = limits.idle_timeout_ms;
            Timer::after(Duration::from_millis(idle_ms)).await;
            Err(InboundError::Closed)
        };
        let closing = async {
            // Nothing is ever sent over it.
            let _ = core.closing.recv().await;
            Timer::after(CLOSE_IDLE_AFTER).await;
            Err(InboundError::Closed)
        };
        let bytes = inbound.wait_for_bytes().or(idle).or(closing);
        if bytes.await.is_err() {
            return After::Close;
        }
        // From its first bytes on: a stop ends no request that has come.
        let _in_flight = InFlight::new(core);
        match inbound.receive(&inbound_limits(&limits)).await {
            Ok(request) => match handle(core, inbound, &request).await {
                After::Keep => {}
                after => return after,
            },
            Err(InboundError::Closed) => return After::Cut,
            Err(InboundError::Refused(why)) => {
                let bytes = answer::refusal(why.status, &why.message);
                // The client may have gone by now.
                let _ = inbound.write(&bytes).await;
                return After::Close;
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
) -> After {
    let started_ms = crate::clock::now_ms();
    let is_last = request.wants_close || core.stopping_for_ms().is_some();
    let admitted = match core.stopping_for_ms() {
        Some(ms) if ms > TAKE_WHILE_STOPPING_MS => {
            let reason = Reason::Stopping;
            Err(NotAdmitted { reason, configuration: 0 })
        }
        _ => {
            wait_for_first_configuration(core, request).await;
            admit(core, request, started_ms)
        }
    };
    let (ended, after) = match &admitted {
        Ok(admitted) if admitted.route.reuse.is_stream() => {
            stream::relay(core, inbound, request, admitted, is_last).await
        }
        Ok(admitted) => {
            plain::relay(core, inbound, request, admitted, is_last).await
        }
        Err(not) => refuse(inbound, request, not.reason, is_last).await,
    };
    note_ended(core, request, admitted.as_ref(), &ended, started_ms);
    after
}

/// A request that is read or served, until dropped.
struct InFlight<'a>(&'a Core);

impl InFlight<'_> {
    fn new(core: &Core) -> InFlight<'_> {
        core.in_flight.fetch_add(1, Relaxed);
        InFlight(core)
    }
}

impl Drop for InFlight<'_> {
    fn drop(&mut self) {
        self.0.in_flight.fetch_sub(1, Relaxed);
    }
}

/// Lets a request that came as the process started wait for the first read of
/// the configuration, as long as that may come.
async fn wait_for_first_configuration(core: &Core, request: &RelayRequest) {
    let came_ms = crate::clock::now_ms();
    let client_ms = admit::client_time_ms(request);
    loop {
        let configured = core.configuration_subscribers.subscribe();
        if core.configuration().is_some() {
            return;
        }
        let waited_ms = crate::clock::now_ms() - came_ms;
        let read = StartupWait {
            uptime_ms: core.age_ms(),
            is_store_unavailable: core.store_lost_for_ms() > 0,
            client_remaining_ms: client_ms.saturating_sub(2 * waited_ms),
        };
        let Some(wait_ms) = read.max_wait_ms() else { return };
        let limit = async {
            Timer::after(Duration::from_millis(wait_ms)).await;
        };
        configured.notified().or(limit).await;
    }
}

fn note_ended(
    core: &Core,
    request: &RelayRequest,
    admitted: Result<&Admitted, &NotAdmitted>,
    ended: &Ended,
    started_ms: u64,
) {
    let elapsed_ms = crate::clock::now_ms().saturating_sub(started_ms);
    let id = request.header(clients::REQUEST_ID).unwrap_or("");
    let configuration =
        admitted.map_or_else(|not| not.configuration, |a| a.configuration);
    let admitted = admitted.ok();
    let route = admitted.map_or("", |a| a.route.name.as_str());
    let account = admitted.and_then(|a| a.account.as_deref()).unwrap_or("");
    let first = ended.first_ms.map_or_else(String::new, |ms| ms.to_string());
    let age_ms = admitted
        .map_or_else(|| core.confirmed_age_ms(), |a| a.configuration_age_ms);
    emit(
        Event::RelayEnded,
        &[
            ("request", &id),
            ("route", &route),
            ("account", &account),
            ("outcome", &ended.outcome),
            ("status", &ended.status),
            ("reason", &ended.reason),
            ("attempts", &ended.attempts),
            ("changes", &ended.path_changes),
            ("events", &ended.events),
            ("first_ms", &first),
            ("max_gap_ms", &ended.max_gap_ms),
            ("elapsed_ms", &elapsed_ms),
            ("configuration", &configuration),
            ("configuration_age_ms", &age_ms),
        ],
    );
    let Some(admitted) = admitted else { return };
    let service = core.metrics.service(&admitted.service.name);
    let elapsed = Duration::from_millis(elapsed_ms);
    service.request_ended(ended.outcome, "", elapsed);
}
