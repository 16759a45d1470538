//! The planned stop of an entry: which requests it still takes, what is in
//! progress, and when the rest gets its final answers.

use std::sync::atomic::{AtomicU64, AtomicUsize, Ordering::Relaxed};

use async_channel::{Receiver, Sender};
use chestnutreach_routing::{StopSchedule, UsualDuration};

use crate::{by_name::ByName, clock::now_ms, request::admit::AdmittedRequest};

/// How long a connection may stay idle late in a stop.
const LATE_IDLE_MS: u64 = 200;

/// State of the planned stop, and what it waits for.
#[derive(Debug)]
pub(crate) struct EntryStop {
    schedule: StopSchedule,
    /// When the stop began; 0 while the entry runs.
    since_ms: AtomicU64,
    in_flight: AtomicUsize,
    connections: AtomicUsize,
    begun: Occurrence,
    ending: Occurrence,
    /// What requests take, by route.
    durations: ByName<UsualDuration>,
}

impl EntryStop {
    /// No stop has begun.
    pub(crate) fn new(grace_ms: u64) -> EntryStop {
        EntryStop {
            schedule: StopSchedule::new(grace_ms),
            since_ms: AtomicU64::new(0),
            in_flight: AtomicUsize::new(0),
            connections: AtomicUsize::new(0),
            begun: Occurrence::new(),
            ending: Occurrence::new(),
            durations: ByName::default(),
        }
    }

    pub(crate) fn schedule(&self) -> StopSchedule {
        self.schedule
    }

    /// Begins the stop.
    pub(crate) fn begin(&self) {
        self.since_ms.store(now_ms(), Relaxed);
        self.begun.occur();
    }

    /// Makes the requests that still run get their final answers.
    pub(crate) fn end(&self) {
        self.ending.occur();
    }

    /// Time since the stop began; `None` while the entry runs.
    pub(crate) fn elapsed_ms(&self) -> Option<u64> {
        match self.since_ms.load(Relaxed) {
            0 => None,
            since_ms => Some(now_ms().saturating_sub(since_ms)),
        }
    }

    pub(crate) fn has_begun(&self) -> bool {
        self.elapsed_ms().is_some()
    }

    /// Waits until the stop begins.
    pub(crate) async fn wait_for_begin(&self) {
        self.begun.wait().await;
    }

    /// Waits until the requests that still run get their final answers.
    pub(crate) async fn wait_for_end(&self) {
        self.ending.wait().await;
    }

    /// How long a connection may stay idle from now on.
    pub(crate) fn idle_left_ms(&self) -> u64 {
        let idle_ms = self.schedule.idle_ms();
        let left_ms = idle_ms.saturating_sub(self.elapsed_ms().unwrap_or(0));
        left_ms.max(LATE_IDLE_MS.min(idle_ms))
    }

    /// Whether no new request is taken.
    pub(crate) fn refuses_all(&self) -> bool {
        let until_ms = self.schedule.accept_until_ms();
        self.elapsed_ms().is_some_and(|elapsed_ms| elapsed_ms > until_ms)
    }

    /// Whether a request that is sent now ends before the entry stops.
    pub(crate) fn may_send(&self, admitted: &AdmittedRequest) -> bool {
        let Some(elapsed_ms) = self.elapsed_ms() else { return true };
        let usual_ms =
            self.durations.read(&admitted.route.name, UsualDuration::ms);
        let usual_ms = usual_ms.flatten();
        let deadline_in_ms = admitted.remaining_ms(now_ms());
        self.schedule.can_end(elapsed_ms, deadline_in_ms, usual_ms)
    }

    /// Records what a complete request of a route took.
    pub(crate) fn record_duration(&self, route: &str, took_ms: u64) {
        self.durations.update(route, |usual| usual.record(took_ms));
    }

    /// Removes the routes that a configuration no longer has.
    pub(crate) fn retain_routes(&self, is_kept: impl Fn(&str) -> bool) {
        self.durations.retain(is_kept);
    }

    /// Number of requests in progress.
    pub(crate) fn in_flight(&self) -> usize {
        self.in_flight.load(Relaxed)
    }

    /// Counts a request as in progress until the guard is dropped.
    pub(crate) fn count_request(&self) -> CountGuard<'_> {
        CountGuard::new(&self.in_flight)
    }

    /// Counts a caller's connection as open until the guard is dropped.
    pub(crate) fn count_connection(&self) -> CountGuard<'_> {
        CountGuard::new(&self.connections)
    }

    /// Whether nothing is left that a stop waits for.
    pub(crate) fn is_idle(&self) -> bool {
        self.in_flight() == 0 && self.connections.load(Relaxed) == 0
    }
}

/// Counts something until dropped.
pub(crate) struct CountGuard<'a>(&'a AtomicUsize);

impl CountGuard<'_> {
    fn new(count: &AtomicUsize) -> CountGuard<'_> {
        count.fetch_add(1, Relaxed);
        CountGuard(count)
    }
}

impl Drop for CountGuard<'_> {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Relaxed);
    }
}

/// Something that happens once, and that many tasks wait for.
#[derive(Debug)]
struct Occurrence {
    sender: Sender<()>,
    receiver: Receiver<()>,
}

impl Occurrence {
    fn new() -> Occurrence {
        let (sender, receiver) = async_channel::bounded(1);
        Occurrence { sender, receiver }
    }

    fn occur(&self) {
        self.sender.close();
    }

    async fn wait(&self) {
        // Nothing is sent; `recv` returns when the channel closes.
        let _ = self.receiver.recv().await;
    }
}
