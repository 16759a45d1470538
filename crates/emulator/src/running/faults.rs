//! Faults of a running site.

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
    backend_servers::{BackendServers, CRASH_PREFIX, ServerState},
    caller::{RequestKind, RequestSpec, send_request},
    engines,
    experiment::{Fault, FaultKind},
    link::LinkFault,
    site::{KEY, MODEL_SERVICE, PLAIN_SERVICE},
    store::StoreFault,
};

/// Time in which the listener of a server that ended is closed.
const LISTENER_ENDS: Duration = Duration::from_millis(100);
/// Most ends of first engines that a stream meets by choice.
const MOST_ENDS_MET: u32 = 2;
/// How long the row of a server stays whose address is reused.
const STAYS_LISTED: Duration = Duration::from_millis(4_000);
/// Share of streams that engines reset.
const STREAMS_RESET: f64 = 0.9;
/// Time of a slow engine's step, over that of a sound one.
const SLOWNESS: f64 = 8.0;
/// Share of plain requests that fail, or whose answers are lost.
const PLAIN_SHARE: f64 = 0.5;
/// Pause until such a request comes again.
const CRASHING_EVERY: Duration = Duration::from_millis(200);
/// How long it does so beyond the time of its fault.
const CRASHING_LASTS: Duration = Duration::from_millis(9_000);
/// Limits that servers name, in requests a second.
const LIMITS_PER_S: [f64; 3] = [1.0, 3.0, 6.0];
/// How long a server names one beyond the time of its fault.
const LIMIT_LASTS: Duration = Duration::from_millis(6_000);
/// Rests that servers ask for, in seconds.
const RESTS_S: [&str; 3] = ["0.4", "1", "3"];
/// How long a server says that it leaves before the list does.
const SAYS_BEFORE: Duration = Duration::from_millis(1_000);

impl RunningSite {
    /// Makes a fault; those that last are ended by a task of their own.
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
                self.restart_engine(engine, LISTENER_ENDS);
            }
            (FaultKind::EngineDark, Some(engine)) => {
                self.backends.make_unresponsive(engine);
                self.replace_gone(engine, duration);
            }
            (FaultKind::EngineSlow, Some(engine)) => {
                self.slow_down(engine, duration);
            }
            (FaultKind::EngineFails, Some(engine)) => {
                self.have_fail(engine, duration);
            }
            (FaultKind::EngineDrains, Some(engine)) => {
                self.start_engine_like(engine);
                self.backends.drain(engine);
            }
            (FaultKind::EngineComes, Some(engine)) => {
                self.start_engine_like(engine);
            }
            (FaultKind::EngineSaysLeaving, Some(engine)) => {
                self.have_say_leaving(engine);
            }
            (FaultKind::AddressReused, Some(engine)) => {
                self.reuse_address(engine, entry);
            }
            (FaultKind::StreamsReset, _) => self.reset_streams(duration),
            (FaultKind::AnswersLost, _) => self.lose_answers(duration),
            (FaultKind::PlainFails, _) => self.have_plain_fail(duration),
            (FaultKind::AnswersMixed, _) => self.mix_answers(duration),
            (FaultKind::Store(kind), _) => self.strike_store(kind, duration),
            (FaultKind::HistoryLost, _) => self.store.discard_history(),
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
                self.break_link(relay, link, duration);
            }
            (FaultKind::ServerLink(link), _) => {
                let relay = self.backends.relay(self.any_server(rng));
                self.break_link(relay, link, duration);
            }
            (FaultKind::RequestCrashes, _) => {
                self.have_request_crash(rng.u32(..), duration);
            }
            (FaultKind::LimitNamed, _) => self.have_name_limit(duration, rng),
            (FaultKind::RestAsked, _) => self.have_ask_for_rest(duration, rng),
            (_, None) => {}
        }
    }

    fn slow_down(&self, engine: SocketAddr, duration: Duration) {
        let engines = move |_: &BackendServers| vec![engine];
        self.switch(duration, engines, |server, is_on| {
            server.slowness = if is_on { SLOWNESS } else { 1.0 };
        });
    }

    fn have_fail(&self, engine: SocketAddr, duration: Duration) {
        let engines = move |_: &BackendServers| vec![engine];
        self.switch(duration, engines, |server, is_on| {
            server.failure_rate = if is_on { 1.0 } else { 0.0 };
        });
    }

    fn have_say_leaving(&self, engine: SocketAddr) {
        self.start_engine_like(engine);
        self.backends
            .update_server(engine, |server| server.announces_leaving = true);
        let backends = self.backends.clone();
        self.later(SAYS_BEFORE, async move { backends.drain(engine) });
    }

    /// The row of an engine that ended stays, and an entry that starts just
    /// then knows nothing but the row.
    fn reuse_address(&self, engine: SocketAddr, entry: usize) {
        self.backends.terminate_with_late_removal(engine, STAYS_LISTED);
        self.kill_for(entry, STAYS_LISTED / 10);
        let backends = self.backends.clone();
        self.later(LISTENER_ENDS, async move {
            let place = backends.site().data_centres[0].clone();
            let port = engine.port();
            // An address that is still held is reused by nobody.
            let _ = engines::start_without_row(
                &backends,
                PLAIN_SERVICE,
                &place,
                port,
                None,
            );
        });
    }

    fn reset_streams(&self, duration: Duration) {
        self.switch(duration, BackendServers::engines, |server, is_on| {
            server.response_loss_rate =
                if is_on { STREAMS_RESET } else { 0.0 };
        });
    }

    fn lose_answers(&self, duration: Duration) {
        self.switch(
            duration,
            BackendServers::plain_servers,
            |server, is_on| {
                server.response_loss_rate =
                    if is_on { PLAIN_SHARE } else { 0.0 };
            },
        );
    }

    fn have_plain_fail(&self, duration: Duration) {
        self.switch(
            duration,
            BackendServers::plain_servers,
            |server, is_on| {
                server.failure_rate = if is_on { PLAIN_SHARE } else { 0.0 };
            },
        );
    }

    fn mix_answers(&self, duration: Duration) {
        self.switch(
            duration,
            BackendServers::plain_servers,
            |server, is_on| {
                server.sends_foreign_response = is_on;
            },
        );
    }

    fn strike_store(&self, fault: StoreFault, duration: Duration) {
        self.store.set_fault(fault);
        let store = self.store.clone();
        self.later(duration, async move {
            store.set_fault(StoreFault::None);
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
        self.restart_when_ended(entry);
    }

    fn pause(&self, entry: usize, duration: Duration) {
        self.record_kill(entry);
        self.entries().signal(entry, Signal::STOP);
        let entries = self.entries.clone();
        self.later(duration, async move {
            let entries = entries.lock().expect("no holder panics");
            entries.signal(entry, Signal::CONT);
        });
    }

    fn have_name_limit(&self, duration: Duration, rng: &mut fastrand::Rng) {
        let server = self.any_server(rng);
        let per_s = LIMITS_PER_S[rng.usize(..LIMITS_PER_S.len())];
        self.backends.announce_limit(server, per_s, duration + LIMIT_LASTS);
    }

    fn have_ask_for_rest(&self, duration: Duration, rng: &mut fastrand::Rng) {
        let rest = RESTS_S[rng.usize(..RESTS_S.len())];
        let server = self.any_server(rng);
        let servers = move |_: &BackendServers| vec![server];
        self.switch(duration, servers, move |server, is_on| {
            server.cooldown = is_on.then(|| rest.to_owned());
        });
    }

    /// An engine or plain server.
    fn any_server(&self, rng: &mut fastrand::Rng) -> SocketAddr {
        let mut servers = self.backends.engines();
        servers.extend(self.backends.plain_servers());
        rng.choice(servers).unwrap_or(self.addresses[0])
    }

    /// Has a stream come again and again that crashes its engines.
    fn have_request_crash(&self, number: u32, duration: Duration) {
        let token = format!("{CRASH_PREFIX}-{number}");
        let wish = RequestSpec::new(RequestKind::Stream, &token, 1);
        let wish = RequestSpec { max_attempts: 1, ..wish };
        let entries = self.addresses.clone();
        let until = Instant::now() + duration + CRASHING_LASTS;
        let come = async move {
            while Instant::now() < until {
                let first = fastrand::usize(..entries.len());
                send_request(&wish, &entries, first, Duration::ZERO).await;
                Timer::after(CRASHING_EVERY).await;
            }
        };
        self.executor.spawn(come).detach();
    }

    /// Breaks a link for a time, if there is one.
    fn break_link(
        &self,
        relay: Option<Arc<Relay>>,
        fault: LinkFault,
        duration: Duration,
    ) {
        let Some(relay) = relay else { return };
        fault.set(&relay, true);
        // Its server may end sooner, and the relay with it.
        let relay = Arc::downgrade(&relay);
        self.later(duration, async move {
            if let Some(relay) = relay.upgrade() {
                fault.set(&relay, false);
            }
        });
    }

    /// Sets something on servers, and back after a time.
    fn switch(
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
        self.later(duration, async move { set_all(&backends, false) });
    }

    fn start_engine_like(&self, engine: SocketAddr) {
        let Some(server) = self.backends.server(engine) else { return };
        // Without a free port there is one engine less.
        let _ = engines::start(
            &self.backends,
            MODEL_SERVICE,
            &server.data_centre,
            0,
        );
    }

    /// Ends the engine that is first of most streams, as soon as there is
    /// one, and starts an empty one at its address later.
    ///
    /// An engine by chance may be first of no stream. One is left out that
    /// would be the third to end under a stream: entries rightly refuse a
    /// request under which three ended.
    pub async fn terminate_first_stage_engine(&self, empty_after: Duration) {
        let may_end = |engine: &SocketAddr| {
            self.backends.max_first_stage_exits(*engine) < MOST_ENDS_MET
        };
        loop {
            let first = self.backends.first_stage_engines();
            if let Some(engine) = first.into_iter().find(may_end) {
                return self.replace(engine, empty_after);
            }
            Timer::after(LISTENER_ENDS).await;
        }
    }

    /// Ends an engine and starts an empty one at its address later.
    fn replace(&self, engine: SocketAddr, after: Duration) {
        self.backends.terminate(engine);
        self.replace_gone(engine, after);
    }

    /// Ends an engine and starts it again, empty, under its id.
    pub fn restart_engine(&self, engine: SocketAddr, after: Duration) {
        let Some(server) = self.backends.server(engine) else { return };
        self.backends.terminate_keeping_row(engine);
        let backends = self.backends.clone();
        self.later(after.max(LISTENER_ENDS), async move {
            // An address that is still held is reused by nobody.
            let _ = engines::restart(&backends, engine, &server);
        });
    }

    fn replace_gone(&self, engine: SocketAddr, after: Duration) {
        let Some(server) = self.backends.server(engine) else { return };
        let backends = self.backends.clone();
        self.later(after, async move {
            backends.terminate(engine);
            // Its listener ends a moment later.
            Timer::after(LISTENER_ENDS).await;
            let _ = engines::start(
                &backends,
                MODEL_SERVICE,
                &server.data_centre,
                engine.port(),
            );
        });
    }
}
