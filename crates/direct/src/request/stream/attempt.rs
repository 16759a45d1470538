//! One attempt of a stream at one first engine.

use std::time::Duration;

use chestnutreach_adapter::engine;
use chestnutreach_http::relay::{
    Inbound, Outbound, OutboundError, ResponseHead, push_chunk,
};
use chestnutreach_routing::PoolShare;
use chestnutreach_site::RouteKind;
use chestnutreach_telemetry::{Event, emit};

use super::{
    AttemptResult, Stream,
    supervise::{ORDER_TIMEOUT, Supervision, WaitResult},
};
use crate::{
    clock::now_ms,
    cluster::{
        end_check,
        notices::{self, ResponseContext},
        probe,
    },
    request::{
        events::EventSplitter,
        exchange::{self, BackendHeaders, with_timeout},
        response::{Framing, forwarded_head},
    },
};

/// Limit on an event, in bytes.
const MAX_EVENT_BYTES: usize = 256 << 10;
/// Number of responses with status 400 that are attributed to the path, which
/// the entry sets, before the request itself counts as malformed.
const MAX_MALFORMED_PATHS: u32 = 2;

/// Checks the size of the incomplete event at the end of what an engine sent.
fn check_partial(
    splitter: &EventSplitter,
    held: &mut PoolShare,
) -> Result<(), OutboundError> {
    let bytes = splitter.partial_bytes();
    if bytes > MAX_EVENT_BYTES {
        let detail =
            format!("an event is longer than {MAX_EVENT_BYTES} bytes");
        return Err(OutboundError::excessive(&detail));
    }
    let resized = held.try_resize(bytes);
    resized.map_err(|e| OutboundError::excessive(&e.to_string()))
}

impl Stream<'_> {
    pub(super) async fn attempt(
        &mut self,
        inbound: &mut Inbound,
    ) -> AttemptResult {
        let first = self.path.first_engine().clone();
        let caller = inbound.stream().clone();
        self.pace.begin_attempt();
        self.suspicion.begin_run(self.last_event_id.is_some());
        self.is_connection_lost = false;
        let connect =
            Outbound::connect(first.address, exchange::CONNECT_TIMEOUT);
        let mut connection = match connect.await {
            Ok(connection) => connection,
            Err(e) => {
                self.log_interrupted(&e);
                let task = probe::probe(self.core.clone(), first.clone());
                self.core.executor.spawn(task).detach();
                return AttemptResult::NotRun(Some(first.address));
            }
        };
        let bytes = self.request_bytes();
        self.record_sent();
        self.attempts.begin(&first.incarnation);
        let sent_ms = now_ms();
        first.circuit.record_sent(sent_ms);
        first.notices.record_sent(sent_ms);
        let id = self.admitted.id.clone();
        let method = self.request.method.clone();
        let work = async {
            let sent = connection.send(&bytes).await;
            // The copy of the body is not needed for as long as a stream.
            drop(bytes);
            sent?;
            exchange::read_matching_head(
                &mut connection,
                id.as_deref(),
                &method,
            )
            .await
        };
        let mut supervision = Supervision::new(&caller);
        let waited = self.supervise(&mut supervision, work).await;
        let head = match self.classify_wait(waited, &connection) {
            Ok(head) => head,
            Err(result) => return result,
        };
        let request = self.admitted.id_text();
        let response = ResponseContext { request, sent_ms, head: &head };
        notices::apply_response(self.core, &first, &response);
        if head.status != 200 {
            if exchange::is_not_run(&head) {
                self.attempts.record_not_run();
            }
            return self.handle_error_response(&mut connection, head).await;
        }
        self.pace.run_progress.record_start(now_ms());
        self.forward_events(inbound, &mut supervision, &mut connection, &head)
            .await
    }

    /// The value that a wait produced, or the attempt's result if the wait
    /// ended the attempt.
    fn classify_wait<T>(
        &mut self,
        waited: WaitResult<Result<T, OutboundError>>,
        connection: &Outbound,
    ) -> Result<T, AttemptResult> {
        match waited {
            WaitResult::Done(Ok(done)) => Ok(done),
            WaitResult::Done(Err(e)) => {
                self.is_connection_lost =
                    e.is_connection_failure() || connection.has_ended();
                self.log_cut(&e);
                Err(AttemptResult::Interrupted)
            }
            WaitResult::Abandoned => {
                self.is_connection_lost = connection.has_ended();
                self.log_interrupted(&self.leave_reason);
                Err(AttemptResult::Interrupted)
            }
            WaitResult::CallerDisconnected => {
                Err(AttemptResult::CallerDisconnected)
            }
            WaitResult::DeadlineExceeded => {
                Err(AttemptResult::DeadlineExceeded)
            }
        }
    }

    /// Whether the engine's process ended a stream whose end nothing but that
    /// of the connection marks.
    async fn is_cut_off(&self, head: &ResponseHead) -> bool {
        let first = self.path.first_engine();
        head.ends_with_connection(&self.request.method)
            && end_check::is_cut_off(self.core, first).await
    }

    /// The result of a response whose connection did not fail.
    fn classify_end(&self, splitter: &EventSplitter) -> AttemptResult {
        if splitter.has_partial() {
            self.log_interrupted(&"the last event is incomplete");
            return AttemptResult::Interrupted;
        }
        if !self.is_head_sent {
            self.log_interrupted(&"the stream ended without an event");
            return AttemptResult::Interrupted;
        }
        AttemptResult::Completed
    }

    async fn handle_error_response(
        &mut self,
        connection: &mut Outbound,
        head: ResponseHead,
    ) -> AttemptResult {
        let at = head.header(engine::REFUSED_BY).map(str::to_owned);
        let is_not_run = exchange::is_not_run(&head);
        emit(
            Event::RelayAnswered,
            &[
                ("request", &self.admitted.id_text()),
                ("attempt", &self.attempts.count()),
                ("backend", &self.path.first_engine().id),
                ("status", &head.status),
                ("at", &at.as_deref().unwrap_or("")),
                ("is_not_run", &is_not_run),
                ("elapsed_ms", &self.pace.idle_ms(now_ms())),
            ],
        );
        let is_malformed = head.status == 400;
        self.malformed_responses += u32::from(is_malformed);
        let may_be_path_error = self.admitted.id.is_some()
            && self.malformed_responses <= MAX_MALFORMED_PATHS;
        if is_not_run && (!is_malformed || may_be_path_error) {
            return AttemptResult::NotRun(at.and_then(|at| at.parse().ok()));
        }
        let body = head.body(&self.request.method);
        let memory = &self.core.fleet.response_memory;
        let body = exchange::read_body(connection, body, memory);
        match with_timeout(ORDER_TIMEOUT, body).await {
            Ok(Ok(body)) => AttemptResult::Failed(head, body),
            Ok(Err(e)) => {
                self.log_cut(&e);
                AttemptResult::Interrupted
            }
            Err(e) => {
                self.log_interrupted(&e);
                AttemptResult::Interrupted
            }
        }
    }

    async fn forward_events(
        &mut self,
        inbound: &mut Inbound,
        supervision: &mut Supervision<'_>,
        connection: &mut Outbound,
        head: &ResponseHead,
    ) -> AttemptResult {
        let mut splitter = EventSplitter::new();
        let mut held = PoolShare::new(&self.core.fleet.response_memory);
        let mut body = head.body(&self.request.method);
        let mut out = Vec::new();
        self.last_id_of_run = None;
        if !self.is_head_sent {
            out =
                forwarded_head(head, Framing::Chunked, self.is_last_request());
        }
        // An engine that never pauses does not let the supervision look at the
        // time.
        while self.admitted.remaining_ms(now_ms()) > 0 {
            let part = connection.next_bytes(&mut body);
            let waited = self.supervise(supervision, part).await;
            let part = match self.classify_wait(waited, connection) {
                Ok(Some(part)) => part,
                Ok(None) if self.is_cut_off(head).await => {
                    self.is_connection_lost = true;
                    let error = "the engine exited at the end of the stream";
                    self.log_interrupted(&error);
                    return AttemptResult::Interrupted;
                }
                Ok(None) => {
                    self.is_connection_lost = connection.has_ended();
                    return self.classify_end(&splitter);
                }
                Err(result) => return result,
            };
            splitter.push(&part);
            let (has_new, checked) =
                self.append_events(&mut splitter, &mut out);
            if has_new {
                // Not earlier: if an engine fails before its first event, the
                // head of the next engine is forwarded instead.
                self.is_head_sent = true;
                self.summary.status = head.status;
                self.core.connections.record_sent(out.len());
                if inbound.write(&out).await.is_err() {
                    return AttemptResult::CallerDisconnected;
                }
                out.clear();
            }
            let checked =
                checked.and_then(|()| check_partial(&splitter, &mut held));
            if let Err(e) = checked {
                self.log_cut(&e);
                return AttemptResult::Interrupted;
            }
        }
        AttemptResult::DeadlineExceeded
    }

    /// Appends complete events to the response, skipping those that the caller
    /// has. Returns whether there is a new event, and an error if an event has
    /// no id above that of the event before: such events are no progress, and
    /// an engine may send them without an end.
    fn append_events(
        &mut self,
        splitter: &mut EventSplitter,
        out: &mut Vec<u8>,
    ) -> (bool, Result<(), OutboundError>) {
        let mut bytes = Vec::new();
        let mut checked = Ok(());
        while let Some(event) = splitter.next_event() {
            if event.id.is_none() || event.id <= self.last_id_of_run {
                let detail = "an event has no id above the one before";
                checked = Err(OutboundError::excessive(detail));
                break;
            }
            self.last_id_of_run = event.id;
            if event.id <= self.last_event_id {
                continue;
            }
            self.last_event_id = event.id;
            self.summary.events += 1;
            self.pace.run_progress.record_event();
            bytes.extend_from_slice(&event.bytes);
        }
        let has_new = !bytes.is_empty();
        if has_new {
            push_chunk(out, &bytes);
            self.record_progress();
        }
        (has_new, checked)
    }

    fn record_progress(&mut self) {
        let now_ms = now_ms();
        let service = &self.admitted.service.name;
        let metrics = self.core.metrics.service(service);
        let had_begun = self.pace.has_begun;
        if !had_begun {
            self.core.record_first_event(service, self.pace.progress_ms);
        }
        let gap_ms = self.pace.record_event(now_ms);
        let gap = Duration::from_millis(gap_ms).as_secs_f64();
        match self.summary.first_event_ms {
            None => {
                let first_ms = now_ms - self.admitted.received_ms;
                self.summary.first_event_ms = Some(first_ms);
                metrics.time_to_first_token.observe(first_ms as f64 / 1e3);
            }
            Some(_) => {
                self.summary.max_gap_ms = self.summary.max_gap_ms.max(gap_ms);
                metrics.time_between_tokens.observe(gap);
            }
        }
        if !had_begun {
            self.path.first_engine().circuit.record_success(now_ms);
        }
        if self.suspicion.record_progress(self.pace.run_progress) {
            self.trial = None;
        }
        let is_first_event = self.summary.events == 1;
        for stage in &self.path.stages {
            stage.engine.record_progress(now_ms);
            if is_first_event {
                stage.engine.lock().failures = 0;
            }
        }
    }

    fn request_bytes(&self) -> Vec<u8> {
        let path = self.path.header_value();
        let is_resumable =
            self.admitted.route.kind == RouteKind::ResumableStream;
        exchange::request_bytes(
            self.request,
            &BackendHeaders {
                instance: &self.path.first_engine().id,
                account: self.admitted.account.as_deref(),
                remaining_ms: self.admitted.remaining_ms(now_ms()),
                path: Some(&path),
                priority: Some(self.admitted.urgency),
                last_event_id: self.last_event_id.filter(|_| is_resumable),
            },
        )
    }
}
