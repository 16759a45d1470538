//! What a stream writes to the logs.

use std::fmt::Display;

use chestnutreach_telemetry::{Event, emit};

use super::Stream;
use crate::{clock::now_ms, cluster::engine::Engine, request::path::Path};

impl Stream<'_> {
    pub(super) fn note_sent(&self) {
        self.note_crossing(self.path.crossings());
        let none = Path::default();
        self.path.note_work(self.model, self.tokens, &none, now_ms());
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
                ("backends", &self.path.names()),
                ("tokens", &self.tokens),
                ("waited_ms", &(now_ms - self.admitted.received_ms)),
                ("left_ms", &self.admitted.remaining_ms(now_ms)),
                ("last_event", &last),
                ("cause", &self.cause),
            ],
        );
    }

    pub(super) fn note_broken(&self, error: &dyn Display) {
        let last =
            self.last_event_id.map_or_else(String::new, |e| e.to_string());
        let begun_ms = self.pace.run.age_ms(now_ms());
        let begun_ms = begun_ms.map_or_else(String::new, |ms| ms.to_string());
        emit(
            Event::RelayBroken,
            &[
                ("request", &self.admitted.id_text()),
                ("attempt", &self.attempts.count()),
                ("backend", &self.path.first().id),
                ("error", &error),
                ("suspects", &self.suspects()),
                ("last_event", &last),
                ("gap_ms", &self.pace.quiet_ms(now_ms())),
                ("fingerprint", &self.suspicion.fingerprint()),
                ("begun_ms", &begun_ms),
                ("attempt_events", &self.pace.run.events()),
            ],
        );
    }

    pub(super) fn note_changed(&self, path: &Path, result: &str) {
        emit(
            Event::PathChanged,
            &[
                ("request", &self.admitted.id_text()),
                ("without", &self.suspects()),
                ("backends", &path.names()),
                ("result", &result),
                ("gap_ms", &self.pace.quiet_ms(now_ms())),
            ],
        );
    }

    /// Tells of a refused change of the path, and puts off the next.
    pub(super) fn note_path_refused(
        &mut self,
        path: &Path,
        by: Option<&Engine>,
        result: &str,
    ) {
        let now_ms = now_ms();
        let again_ms = self.pace.note_order_refused(now_ms);
        emit(
            Event::PathRefused,
            &[
                ("request", &self.admitted.id_text()),
                ("without", &self.suspects()),
                ("backends", &path.names()),
                ("refused_by", &by.map_or("", |engine| engine.id.as_str())),
                ("result", &result),
                ("gap_ms", &self.pace.quiet_ms(now_ms)),
                ("again_ms", &again_ms),
            ],
        );
    }

    /// Engines of the path that seem dead.
    fn suspects(&self) -> String {
        let bad = self.path.stages.iter();
        let bad = bad.filter(|stage| stage.engine.is_suspect());
        let names: Vec<&str> =
            bad.map(|stage| stage.engine.id.as_str()).collect();
        names.join(",")
    }

    pub(super) fn note_stalled(&self, quiet_ms: u64) {
        emit(
            Event::StreamStalled,
            &[
                ("request", &self.admitted.id_text()),
                ("gap_ms", &quiet_ms),
                ("expected_ms", &self.pace.look_ms()),
                ("backends", &self.path.names()),
            ],
        );
    }
}
