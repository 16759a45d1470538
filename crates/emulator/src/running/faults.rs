//! Injects faults into a running site.

use std::{
    net::SocketAddr,
    sync::Arc,
    time::{Duration, Instant},
};

use async_io::Timer;
use chestnutreach_fleet::Relay;
use rustix::process::Signal;

use super::RunningSite;
use crate::{
    backend_servers::{
        BackendServers, CRASH_PART_PREFIX, CRASH_PREFIX, ServerState,
    },
    caller::{RequestKind, RequestSpec, send_request},
    engines,
    experiment::{Fault, FaultKind},
    link::LinkFault,
    site::{COMMON_PART, KEY, MODEL_SERVICE, PLAIN_SERVICE},
    store::StoreFault,
    unending::{UnendingBytes, UnendingIn},
};

/// Time within which the listener of an exited server is closed.
const LISTENER_CLOSE_TIME: Duration = Duration::from_millis(100);
/// Maximum number of first engines that [`RunningSite`] terminates on purpose
/// under one stream.
const MAX_FIRST_STAGE_EXITS: u32 = 2;
/// Time for which the row of a server stays when its address is reused.
const REUSED_ROW_TIME: Duration = Duration::from_millis(4_000);
/// Share of streams that engines reset.
const STREAM_RESET_RATE: f64 = 0.9;
/// Step time of a slow engine, relative to a healthy engine.
const SLOWNESS: f64 = 8.0;
/// Share of plain requests that fail, or whose responses are lost.
const PLAIN_FAULT_RATE: f64 = 0.5;
/// Interval at which a request that crashes servers is repeated.
const CRASHING_INTERVAL: Duration = Duration::from_millis(200);
/// Time after the end of the fault for which such a request is repeated.
const CRASHING_EXTRA_TIME: Duration = Duration::from_millis(9_000);
/// Limits that servers announce, in requests per second.
const LIMITS_PER_S: [f64; 3] = [1.0, 3.0, 6.0];
/// Time after the end of the fault for which a server announces a limit.
const LIMIT_EXTRA_TIME: Duration = Duration::from_millis(6_000);
/// Cooldowns that servers request, in seconds.
const COOLDOWNS_S: [&str; 3] = ["0.4", "1", "3"];
/// Time from the announcement of a server that it leaves to the same change in
/// its row.
const ANNOUNCED_BEFORE_ROW: Duration = Duration::from_millis(1_000);

/// Time from the return of the store to the writes of the operator and the
/// servers.
const REWRITE_DELAY: Duration = Duration::from_millis(300);

impl RunningSite {
    /// Injects a fault. A separate task ends faults that last.
    pub fn inject_fault(&self, fault: &Fault, rng: &mut fastrand::Rng) {
        let engines = self.backends.engines();
        let engine = rng.choice(engines.iter()).copied();
        let entry = rng.usize(..self.addresses.len());
        let duration = fault.duration;
        match (fault.kind, engine) {
            (FaultKind::EngineEnds, Some(engine)) => {
                self.replace(engine, duration);
            }
            (FaultKind::EngineRestarts, Some(engine)) => {
                self.restart_engine(engine, LISTENER_CLOSE_TIME);
            }
            (FaultKind::EngineDark, Some(engine)) => {
                self.backends.make_unresponsive(engine);
                self.start_replacement(engine, duration);
            }
            (FaultKind::EngineSlow, Some(engine)) => {
                self.slow_down(engine, duration);
            }
            (FaultKind::EngineFails, Some(engine)) => {
                self.fail_streams(engine, duration);
            }
            (FaultKind::EngineDrains, Some(engine)) => {
                self.start_engine_like(engine);
                self.backends.drain(engine);
            }
            (FaultKind::EngineComes, Some(engine)) => {
                self.start_engine_like(engine);
            }
            (FaultKind::EngineSaysLeaving, Some(engine)) => {
                self.announce_leaving(engine);
            }
            (FaultKind::AddressReused, Some(engine)) => {
                self.reuse_address(engine, entry);
            }
            (FaultKind::StreamsReset, _) => self.reset_streams(duration),
            (FaultKind::AnswersLost, _) => self.lose_responses(duration),
            (FaultKind::PlainFails, _) => self.fail_plain_requests(duration),
            (FaultKind::AnswersMixed, _) => self.mix_responses(duration),
            (FaultKind::AnswersUnending, Some(engine)) => {
                self.send_without_end(engine, duration, rng);
            }
            (FaultKind::Store(kind), _) => {
                self.apply_store_fault(kind, duration)
            }
            (FaultKind::HistoryLost, _) => self.store.discard_history(),
            (FaultKind::StoreRestored, _) => {
                self.lose_store_changes(duration);
            }
            (FaultKind::RowsForeign, _) => {
                self.backends.overwrite_rows(duration)
            }
            (FaultKind::Configuration, _) => {
                self.configure(&[KEY]);
            }
            (FaultKind::ConfigurationOld, _) => {
                let old = self.backends.site().configuration(0, &[]);
                self.store.push_stale_change("op", "config", &old);
            }
            (FaultKind::EntryKilled, _) => self.kill_for(entry, duration),
            (FaultKind::EntryStops, _) => self.stop(entry),
            (FaultKind::EntryPauses, _) => self.pause(entry, duration),
            (FaultKind::EntryHangsUp, _) => {
                self.entries().signal(entry, Signal::HUP);
            }
            (FaultKind::StoreLink(link), _) => {
                let relay = self.store_links.get(entry).cloned();
                self.apply_link_fault(relay, link, duration);
            }
            (FaultKind::ServerLink(link), _) => {
                let relay = self.backends.relay(self.any_server(rng));
                self.apply_link_fault(relay, link, duration);
            }
            (FaultKind::RequestCrashes, _) => {
                self.repeat_crashing_request(rng.u32(..), duration);
            }
            (FaultKind::PartCrashes, _) => {
                self.send_with_crashing_part(rng.u16(..), duration);
            }
            (FaultKind::EntriesParted, _) => self.part_entries(duration, rng),
            (FaultKind::EntriesKilled, _) => {
                self.for_each_entry(|entry| self.kill_for(entry, duration));
            }
            (FaultKind::EntriesPause, _) => {
                self.for_each_entry(|entry| self.pause(entry, duration));
            }
            (FaultKind::LimitNamed, _) => self.announce_limit(duration, rng),
            (FaultKind::RestAsked, _) => self.request_cooldown(duration, rng),
            (_, None) => {}
        }
    }

    /// Cuts the links between two random groups of entries.
    fn part_entries(&self, duration: Duration, rng: &mut fastrand::Rng) {
        let Some(links) = self.peer_links.clone() else { return };
        let groups: Vec<usize> =
            self.addresses.iter().map(|_| rng.usize(..2)).collect();
        links.cut(|entry| groups[entry]);
        self.spawn_after(duration, async move { links.heal() });
    }

    fn for_each_entry(&self, fail: impl Fn(usize)) {
        (0..self.addresses.len()).for_each(fail);
    }

    fn slow_down(&self, engine: SocketAddr, duration: Duration) {
        let engines = move |_: &BackendServers| vec![engine];
        self.apply_for(duration, engines, |server, is_on| {
            server.slowness = if is_on { SLOWNESS } else { 1.0 };
        });
    }

    fn fail_streams(&self, engine: SocketAddr, duration: Duration) {
        let engines = move |_: &BackendServers| vec![engine];
        self.apply_for(duration, engines, |server, is_on| {
            server.failure_rate = if is_on { 1.0 } else { 0.0 };
        });
    }

    fn announce_leaving(&self, engine: SocketAddr) {
        self.start_engine_like(engine);
        self.backends
            .update_server(engine, |server| server.announces_leaving = true);
        let backends = self.backends.clone();
        self.spawn_after(ANNOUNCED_BEFORE_ROW, async move {
            backends.drain(engine)
        });
    }

    /// Starts a plain server at the address of an exited engine whose row
    /// stays. An entry that restarts meanwhile knows only the row.
    fn reuse_address(&self, engine: SocketAddr, entry: usize) {
        self.backends.terminate_with_late_removal(engine, REUSED_ROW_TIME);
        self.kill_for(entry, REUSED_ROW_TIME / 10);
        let backends = self.backends.clone();
        self.spawn_after(LISTENER_CLOSE_TIME, async move {
            let data_centre = backends.site().data_centres[0].clone();
            let port = engine.port();
            // If the address is still in use, no server is started.
            let _ = engines::start_without_row(
                &backends,
                PLAIN_SERVICE,
                &data_centre,
                port,
                None,
            );
        });
    }

    fn reset_streams(&self, duration: Duration) {
        self.apply_for(duration, BackendServers::engines, |server, is_on| {
            server.response_loss_rate =
                if is_on { STREAM_RESET_RATE } else { 0.0 };
        });
    }

    fn lose_responses(&self, duration: Duration) {
        self.apply_for(
            duration,
            BackendServers::plain_servers,
            |server, is_on| {
                server.response_loss_rate =
                    if is_on { PLAIN_FAULT_RATE } else { 0.0 };
            },
        );
    }

    fn fail_plain_requests(&self, duration: Duration) {
        self.apply_for(
            duration,
            BackendServers::plain_servers,
            |server, is_on| {
                server.failure_rate =
                    if is_on { PLAIN_FAULT_RATE } else { 0.0 };
            },
        );
    }

    /// Makes an engine and a plain server send one form of bytes without an
    /// end in all responses.
    fn send_without_end(
        &self,
        engine: SocketAddr,
        duration: Duration,
        rng: &mut fastrand::Rng,
    ) {
        let form = UnendingBytes::ALL[rng.usize(..UnendingBytes::ALL.len())];
        let servers = move |backends: &BackendServers| {
            let plain = backends.plain_servers();
            plain.into_iter().take(1).chain([engine]).collect()
        };
        self.apply_for(duration, servers, move |server, is_on| {
            server.unending =
                is_on.then_some((form, UnendingIn::AllResponses));
        });
    }

    fn mix_responses(&self, duration: Duration) {
        self.apply_for(
            duration,
            BackendServers::plain_servers,
            |server, is_on| {
                server.sends_foreign_response = is_on;
            },
        );
    }

    fn apply_store_fault(&self, fault: StoreFault, duration: Duration) {
        self.store.set_fault(fault);
        let store = self.store.clone();
        self.spawn_after(duration, async move {
            store.set_fault(StoreFault::None);
        });
    }

    /// Copies the store, takes it away after half of the duration, and brings
    /// it back from the copy at the end.
    fn lose_store_changes(&self, duration: Duration) {
        let store = self.store.clone();
        let copy = store.copy();
        let rewrite = self.rewrite_rows();
        self.spawn_after(duration / 2, async move {
            store.set_fault(StoreFault::Away);
            Timer::after(duration / 2).await;
            store.restore(copy);
            store.set_fault(StoreFault::None);
            Timer::after(REWRITE_DELAY).await;
            rewrite.await;
        });
    }

    fn kill_for(&self, entry: usize, duration: Duration) {
        self.entries().kill(entry);
        self.record_kill(entry);
        self.restart_later(entry, duration);
    }

    fn stop(&self, entry: usize) {
        self.entries().signal(entry, Signal::TERM);
        self.record_stop(entry);
        self.restart_after_exit(entry);
    }

    fn pause(&self, entry: usize, duration: Duration) {
        self.record_kill(entry);
        self.entries().signal(entry, Signal::STOP);
        let entries = self.entries.clone();
        self.spawn_after(duration, async move {
            let entries = entries.lock().expect("no holder panics");
            entries.signal(entry, Signal::CONT);
        });
    }

    fn announce_limit(&self, duration: Duration, rng: &mut fastrand::Rng) {
        let server = self.any_server(rng);
        let per_s = LIMITS_PER_S[rng.usize(..LIMITS_PER_S.len())];
        self.backends.announce_limit(
            server,
            per_s,
            duration + LIMIT_EXTRA_TIME,
        );
    }

    fn request_cooldown(&self, duration: Duration, rng: &mut fastrand::Rng) {
        let cooldown = COOLDOWNS_S[rng.usize(..COOLDOWNS_S.len())];
        let server = self.any_server(rng);
        let servers = move |_: &BackendServers| vec![server];
        self.apply_for(duration, servers, move |server, is_on| {
            server.cooldown = is_on.then(|| cooldown.to_owned());
        });
    }

    /// A random engine or plain server.
    fn any_server(&self, rng: &mut fastrand::Rng) -> SocketAddr {
        let mut servers = self.backends.engines();
        servers.extend(self.backends.plain_servers());
        rng.choice(servers).unwrap_or(self.addresses[0])
    }

    /// Repeats a stream that crashes its engines.
    fn repeat_crashing_request(&self, number: u32, duration: Duration) {
        let token = format!("{CRASH_PREFIX}-{number}");
        let spec = RequestSpec::new(RequestKind::Stream, &token, 1);
        let spec = RequestSpec { max_attempts: 1, ..spec };
        self.send_repeatedly(duration, move |_| spec.clone());
    }

    /// Sends different streams with a part that crashes their engines.
    fn send_with_crashing_part(&self, number: u16, duration: Duration) {
        let part = format!("{CRASH_PART_PREFIX}{number:04x}");
        let shared_parts = vec![COMMON_PART.to_owned(), part];
        self.send_repeatedly(duration, move |index| {
            let token = format!("p{number}-{index}");
            RequestSpec {
                shared_parts: shared_parts.clone(),
                ..RequestSpec::new(RequestKind::Stream, &token, 1)
            }
        });
    }

    /// Sends requests to random entries, one after another, until some time
    /// after a fault.
    fn send_repeatedly(
        &self,
        duration: Duration,
        spec: impl Fn(usize) -> RequestSpec + Send + 'static,
    ) {
        let entries = self.addresses.clone();
        let until = Instant::now() + duration + CRASHING_EXTRA_TIME;
        let repeat = async move {
            for index in 0.. {
                if Instant::now() >= until {
                    break;
                }
                let first_entry = fastrand::usize(..entries.len());
                let spec = spec(index);
                send_request(&spec, &entries, first_entry, Duration::ZERO)
                    .await;
                Timer::after(CRASHING_INTERVAL).await;
            }
        };
        self.executor.spawn(repeat).detach();
    }

    /// Applies a fault to a link for some time, if the site emulates links.
    fn apply_link_fault(
        &self,
        relay: Option<Arc<Relay>>,
        fault: LinkFault,
        duration: Duration,
    ) {
        let Some(relay) = relay else { return };
        fault.set(&relay, true);
        // The server and its relay may be closed before the fault ends.
        let relay = Arc::downgrade(&relay);
        self.spawn_after(duration, async move {
            if let Some(relay) = relay.upgrade() {
                fault.set(&relay, false);
            }
        });
    }

    /// Applies a change to servers and reverts the change after some time.
    fn apply_for(
        &self,
        duration: Duration,
        servers: impl Fn(&BackendServers) -> Vec<SocketAddr> + Send + 'static,
        set: impl Fn(&mut ServerState, bool) + Send + 'static,
    ) {
        let set_all = move |backends: &BackendServers, is_on| {
            for address in servers(backends) {
                backends.update_server(address, |server| set(server, is_on));
            }
        };
        set_all(&self.backends, true);
        let backends = self.backends.clone();
        self.spawn_after(duration, async move { set_all(&backends, false) });
    }

    fn start_engine_like(&self, engine: SocketAddr) {
        let Some(server) = self.backends.server(engine) else { return };
        // Without a free port, no engine is started.
        let _ = engines::start(
            &self.backends,
            MODEL_SERVICE,
            &server.data_centre,
            0,
        );
    }

    /// Terminates the engine that runs the first stage of most streams, as
    /// soon as there is such an engine, and starts an engine without layers at
    /// its address later.
    ///
    /// A random engine might run the first stage of no stream. An engine that
    /// would be the third to exit under a stream is skipped: entries correctly
    /// refuse a request under which three engines exited.
    pub async fn terminate_first_stage_engine(&self, delay: Duration) {
        let may_terminate = |engine: &SocketAddr| {
            self.backends.max_first_stage_exits(*engine)
                < MAX_FIRST_STAGE_EXITS
        };
        loop {
            let candidates = self.backends.first_stage_engines();
            if let Some(engine) = candidates.into_iter().find(may_terminate) {
                return self.replace(engine, delay);
            }
            Timer::after(LISTENER_CLOSE_TIME).await;
        }
    }

    /// Terminates an engine and starts an engine without layers at its address
    /// later.
    fn replace(&self, engine: SocketAddr, delay: Duration) {
        self.backends.terminate(engine);
        self.start_replacement(engine, delay);
    }

    /// Terminates an engine and restarts it without layers under its old id.
    pub fn restart_engine(&self, engine: SocketAddr, delay: Duration) {
        let Some(server) = self.backends.server(engine) else { return };
        self.backends.terminate_keeping_row(engine);
        let backends = self.backends.clone();
        self.spawn_after(delay.max(LISTENER_CLOSE_TIME), async move {
            // If the address is still in use, the engine stays down.
            let _ = engines::restart(&backends, engine, &server);
        });
    }

    fn start_replacement(&self, engine: SocketAddr, delay: Duration) {
        let Some(server) = self.backends.server(engine) else { return };
        let backends = self.backends.clone();
        self.spawn_after(delay, async move {
            backends.terminate(engine);
            // The listener is closed a moment later.
            Timer::after(LISTENER_CLOSE_TIME).await;
            let _ = engines::start(
                &backends,
                MODEL_SERVICE,
                &server.data_centre,
                engine.port(),
            );
        });
    }
}
