//! Log events of a stream.

use std::fmt::Display;

use chestnutreach_http::relay::OutboundError;
use chestnutreach_telemetry::{Event, emit};

use super::Stream;
use crate::{
    clock::now_ms,
    cluster::engine::Engine,
    request::{exchange, path::Path},
};

impl Stream<'_> {
    pub(super) fn record_sent(&self) {
        self.admitted.record_sent();
        self.record_interconnect_traffic(self.path.interconnect_hops());
        let none = Path::default();
        self.path.record_prefill(self.model, self.tokens, &none, now_ms());
        let metrics = self.core.metrics.service(&self.admitted.service.name);
        metrics.attempts.inc();
        if self.cause == "resumed" {
            metrics.requests_resumed.inc();
        }
        let now_ms = now_ms();
        let last =
            self.last_event_id.map_or_else(String::new, |e| e.to_string());
        emit(
            Event::RelaySent,
            &[
                ("request", &self.admitted.id_text()),
                ("attempt", &(self.attempts.count() + 1)),
                ("backends", &self.path.log_text()),
                ("tokens", &self.tokens),
                ("waited_ms", &(now_ms - self.admitted.received_ms)),
                ("left_ms", &self.admitted.remaining_ms(now_ms)),
                ("last_event", &last),
                ("cause", &self.cause),
            ],
        );
    }

    /// Logs a connection that failed, or a response that was cut off at a
    /// limit.
    pub(super) fn log_cut(&self, error: &OutboundError) {
        self.log_interrupted(error);
        let (first, id) = (self.path.first_engine(), self.admitted.id_text());
        exchange::record_cut(self.core, first, id, error);
    }

    pub(super) fn log_interrupted(&self, error: &dyn Display) {
        let last =
            self.last_event_id.map_or_else(String::new, |e| e.to_string());
        let begun_ms = self.pace.run_progress.age_ms(now_ms());
        let begun_ms = begun_ms.map_or_else(String::new, |ms| ms.to_string());
        emit(
            Event::RelayBroken,
            &[
                ("request", &self.admitted.id_text()),
                ("attempt", &self.attempts.count()),
                ("backend", &self.path.first_engine().id),
                ("error", &error),
                ("suspects", &self.suspect_names()),
                ("last_event", &last),
                ("gap_ms", &self.pace.idle_ms(now_ms())),
                ("fingerprint", &self.suspicion.fingerprint()),
                ("parts", &self.suspicion.parts_text()),
                ("begun_ms", &begun_ms),
                ("attempt_events", &self.pace.run_progress.events()),
            ],
        );
    }

    pub(super) fn log_path_changed(&self, path: &Path, result: &str) {
        emit(
            Event::PathChanged,
            &[
                ("request", &self.admitted.id_text()),
                ("without", &self.suspect_names()),
                ("backends", &path.log_text()),
                ("result", &result),
                ("gap_ms", &self.pace.idle_ms(now_ms())),
            ],
        );
    }

    /// Logs a refused change of the path, and backs off from further changes.
    pub(super) fn record_path_refused(
        &mut self,
        path: &Path,
        by: Option<&Engine>,
        result: &str,
    ) {
        let now_ms = now_ms();
        let again_ms = self.pace.record_order_refused(now_ms);
        emit(
            Event::PathRefused,
            &[
                ("request", &self.admitted.id_text()),
                ("without", &self.suspect_names()),
                ("backends", &path.log_text()),
                ("refused_by", &by.map_or("", |engine| engine.id.as_str())),
                ("result", &result),
                ("gap_ms", &self.pace.idle_ms(now_ms)),
                ("again_ms", &again_ms),
            ],
        );
    }

    /// Ids of the engines of the path that are suspected to have failed.
    fn suspect_names(&self) -> String {
        let suspects = self.path.stages.iter();
        let suspects = suspects.filter(|stage| stage.engine.is_suspect());
        let names: Vec<&str> =
            suspects.map(|stage| stage.engine.id.as_str()).collect();
        names.join(",")
    }

    pub(super) fn log_stalled(&self, idle_ms: u64) {
        emit(
            Event::StreamStalled,
            &[
                ("request", &self.admitted.id_text()),
                ("gap_ms", &idle_ms),
                ("expected_ms", &self.pace.stall_after_ms()),
                ("backends", &self.path.log_text()),
            ],
        );
    }
}
