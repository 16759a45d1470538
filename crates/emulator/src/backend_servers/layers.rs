//! Layers that engines hold, and paths over them.

use std::{net::SocketAddr, time::Duration};

use async_io::Timer;

use super::{BackendServers, PathStage, ServerStatus};

/// Time to load layers.
const LOAD_TIME: Duration = Duration::from_millis(150);

impl BackendServers {
    /// Carries out an order to hold layers and returns the response status.
    pub(crate) fn place_layers(
        &self,
        address: SocketAddr,
        range: (u32, u32),
        expected_orders: Option<u64>,
    ) -> u16 {
        let max_layers = self.shared.site.max_layers();
        {
            let mut state = self.lock();
            let Some(server) = state.servers.get_mut(&address) else {
                return 404;
            };
            if expected_orders
                .is_some_and(|expected| expected != server.order_count)
            {
                return 409;
            }
            if server.layers == Some(range) {
                return 200;
            }
            server.order_count += 1;
            // The retained layers are served while the other layers load.
            server.layers = server.layers.and_then(|layers| {
                let retained = (layers.0.max(range.0), layers.1.min(range.1));
                (retained.0 < retained.1).then_some(retained)
            });
            if range.1 - range.0 > max_layers {
                let text = format!("{address} was ordered to hold {range:?}");
                state.observations.violations.push(text);
            }
        }
        let backends = self.clone();
        let load = async move {
            Timer::after(LOAD_TIME).await;
            backends
                .update_server(address, |server| server.layers = Some(range));
            backends.write_row(address);
        };
        self.shared.executor.spawn(load).detach();
        202
    }

    /// Changes the path of a stream; returns the response status and the
    /// engine that refuses.
    pub(crate) fn change_path(
        &self,
        first: SocketAddr,
        request: &str,
        path: Vec<PathStage>,
    ) -> (u16, Option<SocketAddr>) {
        if let Some(unavailable) = self.unavailable_stage(&path) {
            return (409, Some(unavailable.0));
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

    /// The first stage whose engine does not serve or lacks the layers, with
    /// the response status for this case.
    pub(crate) fn unavailable_stage(
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

    /// The first engine of a running stream's path that has failed.
    pub(crate) fn failed_engine(
        &self,
        path: &[PathStage],
    ) -> Option<SocketAddr> {
        let state = self.lock();
        path.iter().map(|stage| stage.0).find(|address| {
            let server = state.servers.get(address);
            !server.is_some_and(|s| s.status.is_running())
        })
    }

    /// Records a violation if a path does not run every layer once and in
    /// order.
    pub(crate) fn check_layer_order(&self, request: &str, path: &[PathStage]) {
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

    /// Time to produce one event over a path.
    pub(crate) fn event_time(&self, path: &[PathStage]) -> Duration {
        let state = self.lock();
        let slowness = path
            .iter()
            .filter_map(|stage| state.servers.get(&stage.0))
            .map(|server| server.slowness)
            .fold(1.0, f64::max);
        let ms = self.shared.site.event_ms as f64 * slowness;
        Duration::from_micros((ms * 1e3) as u64)
    }

    /// Whether in each data centre every layer is held by a serving engine.
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
