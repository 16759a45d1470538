//! One attempt of a stream at a first engine.

use std::time::Duration;

use chestnutreach_adapter::engine;
use chestnutreach_http::relay::{
    Inbound, Outbound, OutboundError, ResponseHead, push_chunk,
};
use chestnutreach_site::Reuse;
use chestnutreach_telemetry::{Event, emit};

use super::{
    AttemptEnd, Stream,
    watch::{ORDER, Waited, Watch},
};
use crate::{
    clock::now_ms,
    cluster::{
        notices::{self, ResponseContext},
        probe,
    },
    request::{
        answer::{Framing, passed_head},
        events::EventSplitter,
        exchange::{self, Addressed, with_timeout},
    },
};

/// Paths that engines may call malformed before the request itself counts as
/// malformed: what they refuse may be the path, which is ours.
const MOST_MALFORMED: u32 = 2;

impl Stream<'_> {
    pub(super) async fn attempt(
        &mut self,
        inbound: &mut Inbound,
    ) -> AttemptEnd {
        let first = self.path.first().clone();
        let caller = inbound.stream().clone();
        self.pace.begin_attempt();
        self.is_cut = false;
        let dial = Outbound::connect(first.address, exchange::DIAL);
        let mut connection = match dial.await {
            Ok(connection) => connection,
            Err(e) => {
                self.note_broken(&e);
                let task = probe::probe(self.core.clone(), first.clone());
                self.core.executor.spawn(task).detach();
                return AttemptEnd::NotRun(Some(first.address));
            }
        };
        let bytes = self.request_bytes();
        self.note_sent();
        self.attempts.begin(&first.incarnation);
        let sent_ms = now_ms();
        first.circuit.record_sent(sent_ms);
        first.notices.record_sent(sent_ms);
        let id = self.admitted.id.clone();
        let method = self.request.method.clone();
        let work = async {
            connection.send(&bytes).await?;
            exchange::own_head(&mut connection, id.as_deref(), &method).await
        };
        let mut watch = Watch::new(&caller);
        let waited = self.supervise(&mut watch, work).await;
        let head = match self.sort(waited) {
            Ok(head) => head,
            Err(end) => return end,
        };
        let request = self.admitted.id_text();
        let answered = ResponseContext { request, sent_ms, head: &head };
        notices::apply_response(self.core, &first, &answered);
        if head.status != 200 {
            if exchange::is_not_run(&head) {
                self.attempts.record_not_run();
            }
            return self.refused(&mut connection, head).await;
        }
        self.pace.run.record_start(now_ms());
        self.pass_events(inbound, &mut watch, &mut connection, &head).await
    }

    /// What a wait gave, or how it ended the attempt.
    fn sort<T>(
        &mut self,
        waited: Waited<Result<T, OutboundError>>,
    ) -> Result<T, AttemptEnd> {
        match waited {
            Waited::Done(Ok(done)) => Ok(done),
            Waited::Done(Err(e)) => {
                self.is_cut = true;
                self.note_broken(&e);
                Err(AttemptEnd::Broken)
            }
            Waited::GivenUp => {
                self.note_broken(&self.left_because);
                Err(AttemptEnd::Broken)
            }
            Waited::CallerGone => Err(AttemptEnd::CallerGone),
            Waited::TimeOver => Err(AttemptEnd::TimeOver),
        }
    }

    /// What an answer that ended in order is.
    fn end_of(&self, splitter: &EventSplitter) -> AttemptEnd {
        if splitter.has_partial() {
            self.note_broken(&"the last event is not whole");
            return AttemptEnd::Broken;
        }
        if !self.is_head_sent {
            self.note_broken(&"the stream has no event");
            return AttemptEnd::Broken;
        }
        AttemptEnd::Whole
    }

    async fn refused(
        &mut self,
        connection: &mut Outbound,
        head: ResponseHead,
    ) -> AttemptEnd {
        let at = head.header(engine::REFUSED_AT).map(str::to_owned);
        let is_not_run = exchange::is_not_run(&head);
        emit(
            Event::RelayAnswered,
            &[
                ("request", &self.admitted.id_text()),
                ("attempt", &self.attempts.count()),
                ("backend", &self.path.first().id),
                ("status", &head.status),
                ("at", &at.as_deref().unwrap_or("")),
                ("is_not_run", &is_not_run),
                ("elapsed_ms", &self.pace.quiet_ms(now_ms())),
            ],
        );
        let is_malformed = head.status == 400;
        self.malformed += u32::from(is_malformed);
        let may_be_own =
            self.admitted.id.is_some() && self.malformed <= MOST_MALFORMED;
        if is_not_run && (!is_malformed || may_be_own) {
            return AttemptEnd::NotRun(at.and_then(|at| at.parse().ok()));
        }
        let body = head.body(&self.request.method);
        let body = connection.read_body(body, 1 << 20);
        match with_timeout(ORDER, body).await {
            Ok(Ok(body)) => AttemptEnd::Failed(head, body),
            _ => AttemptEnd::Broken,
        }
    }

    async fn pass_events(
        &mut self,
        inbound: &mut Inbound,
        watch: &mut Watch<'_>,
        connection: &mut Outbound,
        head: &ResponseHead,
    ) -> AttemptEnd {
        let mut splitter = EventSplitter::new();
        let mut body = head.body(&self.request.method);
        let mut out = Vec::new();
        if !self.is_head_sent {
            out = passed_head(head, Framing::Chunked, self.is_last);
        }
        loop {
            let part = connection.next_bytes(&mut body);
            let waited = self.supervise(watch, part).await;
            let part = match self.sort(waited) {
                Ok(Some(part)) => part,
                Ok(None) => return self.end_of(&splitter),
                Err(end) => return end,
            };
            splitter.push(&part);
            if !self.take_events(&mut splitter, &mut out) {
                continue;
            }
            // Only now: an engine that breaks off before its first event
            // leaves the answer to the next one, with that one's head.
            self.is_head_sent = true;
            self.ended.status = head.status;
            if inbound.write(&out).await.is_err() {
                return AttemptEnd::CallerGone;
            }
            out.clear();
        }
    }

    /// Moves whole events to the answer; those that the client has are
    /// passed over. False when there was none.
    fn take_events(
        &mut self,
        splitter: &mut EventSplitter,
        out: &mut Vec<u8>,
    ) -> bool {
        let mut bytes = Vec::new();
        while let Some(event) = splitter.next_event() {
            if let (Some(id), Some(last)) = (event.id, self.last_event)
                && id <= last
            {
                continue;
            }
            self.last_event = event.id.or(self.last_event);
            self.ended.events += 1;
            self.pace.run.record_event();
            bytes.extend_from_slice(&event.bytes);
        }
        if bytes.is_empty() {
            return false;
        }
        push_chunk(out, &bytes);
        self.note_progress();
        true
    }

    fn note_progress(&mut self) {
        let now_ms = now_ms();
        let service = &self.admitted.service.name;
        let metrics = self.core.metrics.service(service);
        let had_begun = self.pace.has_begun;
        if !had_begun {
            self.core.note_first_event(service, self.pace.moved_ms);
        }
        let gap_ms = self.pace.moved(now_ms);
        let gap = Duration::from_millis(gap_ms).as_secs_f64();
        match self.ended.first_ms {
            None => {
                let first_ms = now_ms - self.admitted.received_ms;
                self.ended.first_ms = Some(first_ms);
                metrics.time_to_first_token.observe(first_ms as f64 / 1e3);
            }
            Some(_) => {
                self.ended.max_gap_ms = self.ended.max_gap_ms.max(gap_ms);
                metrics.time_between_tokens.observe(gap);
            }
        }
        if !had_begun {
            self.path.first().circuit.record_success(now_ms);
        }
        if !self.suspicion.has_lasted() && self.pace.run.has_survived(now_ms) {
            self.suspicion.note_lasted();
            self.trial = None;
        }
        let is_first = self.ended.events == 1;
        for stage in &self.path.stages {
            stage.engine.record_progress(now_ms);
            if is_first {
                stage.engine.lock().failures = 0;
            }
        }
    }

    fn request_bytes(&self) -> Vec<u8> {
        let path = self.path.value();
        let is_resumable = self.admitted.route.reuse == Reuse::ResumableStream;
        exchange::request_bytes(
            self.request,
            &Addressed {
                instance: &self.path.first().id,
                account: self.admitted.account.as_deref(),
                left_ms: self.admitted.left_ms(now_ms()),
                path: Some(&path),
                priority: Some(self.admitted.urgency),
                last_event: self.last_event.filter(|_| is_resumable),
            },
        )
    }
}
