//! Which layers engines hold, and the paths over them.

use std::{net::SocketAddr, time::Duration};

use async_io::Timer;

use super::{BackendServers, PathStage, ServerStatus};

/// Time to load layers.
const LOAD: Duration = Duration::from_millis(150);

impl BackendServers {
    /// Carries out an order to hold layers; the status of the answer.
    pub(crate) fn place(
        &self,
        address: SocketAddr,
        range: (u32, u32),
        expected: Option<u64>,
    ) -> u16 {
        let most = self.shared.site.max_layers();
        {
            let mut state = self.lock();
            let Some(server) = state.servers.get_mut(&address) else {
                return 404;
            };
            if expected
                .is_some_and(|order_count| order_count != server.order_count)
            {
                return 409;
            }
            if server.layers == Some(range) {
                return 200;
            }
            server.order_count += 1;
            // What it keeps is served while the rest loads.
            server.layers = server.layers.and_then(|layers| {
                let kept = (layers.0.max(range.0), layers.1.min(range.1));
                (kept.0 < kept.1).then_some(kept)
            });
            if range.1 - range.0 > most {
                let text = format!("{address} was ordered to hold {range:?}");
                state.observations.violations.push(text);
            }
        }
        let backends = self.clone();
        let later = async move {
            Timer::after(LOAD).await;
            backends
                .update_server(address, |server| server.layers = Some(range));
            backends.write_row(address);
        };
        self.shared.executor.spawn(later).detach();
        202
    }

    /// Changes the path of a stream; the status, and who refuses.
    pub(crate) fn change_path(
        &self,
        first: SocketAddr,
        request: &str,
        path: Vec<PathStage>,
    ) -> (u16, Option<SocketAddr>) {
        if let Some(bad) = self.missing_part(&path) {
            return (409, Some(bad.0));
        }
        let mut state = self.lock();
        let server = state.servers.get_mut(&first);
        let stream = server.and_then(|s| s.streams.get_mut(request));
        let Some(stream) = stream else { return (404, None) };
        stream.path = path;
        stream.stalled_at = None;
        state.observations.path_changes += 1;
        (200, None)
    }

    /// The first part whose engine is away, draining or lacks the layers,
    /// with the status that says so.
    pub(crate) fn missing_part(
        &self,
        path: &[PathStage],
    ) -> Option<(SocketAddr, u16)> {
        let state = self.lock();
        path.iter().find_map(|(address, from, to)| {
            let server = state.servers.get(address);
            let server = server.filter(|s| s.status == ServerStatus::Serving);
            let Some(server) = server else { return Some((*address, 503)) };
            let holds = server
                .layers
                .is_some_and(|layers| layers.0 <= *from && *to <= layers.1);
            (!holds).then_some((*address, 421))
        })
    }

    /// The part of a running stream whose engine no longer works.
    pub(crate) fn dead_part(&self, path: &[PathStage]) -> Option<SocketAddr> {
        let state = self.lock();
        path.iter().map(|part| part.0).find(|address| {
            let server = state.servers.get(address);
            !server.is_some_and(|s| {
                matches!(
                    s.status,
                    ServerStatus::Serving | ServerStatus::Draining
                )
            })
        })
    }

    /// Notes a path that does not run every layer once and in order.
    pub(crate) fn check_layers(&self, request: &str, path: &[PathStage]) {
        let mut next = 0;
        let mut is_whole = true;
        for (_, from, to) in path {
            is_whole &= *from == next && from < to;
            next = *to;
        }
        if !is_whole || next != self.shared.site.layer_count {
            self.record_violation(format!("{request}: path {path:?}"));
        }
    }

    /// Time of an event over a path.
    pub(crate) fn event_time(&self, path: &[PathStage]) -> Duration {
        let state = self.lock();
        let slowness = path
            .iter()
            .filter_map(|part| state.servers.get(&part.0))
            .map(|server| server.slowness)
            .fold(1.0, f64::max);
        let ms = self.shared.site.event_ms as f64 * slowness;
        Duration::from_micros((ms * 1e3) as u64)
    }

    /// Whether every layer is held in each data centre.
    pub fn has_full_coverage(&self) -> bool {
        let state = self.lock();
        let site = &self.shared.site;
        site.data_centres.iter().all(|data_centre| {
            (0..site.layer_count).all(|layer| {
                state.servers.values().any(|server| {
                    server.data_centre == *data_centre
                        && server.status == ServerStatus::Serving
                        && server
                            .layers
                            .is_some_and(|h| h.0 <= layer && layer < h.1)
                })
            })
        })
    }
}
