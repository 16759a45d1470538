//! Supervises a running stream: detects stalls, and reroutes the stream around
//! failed engines.

use std::{
    pin::{Pin, pin},
    sync::Arc,
    time::{Duration, Instant},
};

use async_io::Timer;
use chestnutreach_adapter::engine;
use chestnutreach_http::SharedStream;
use futures_lite::FutureExt as _;

use super::Stream;
use crate::{
    clock::now_ms,
    cluster::probe,
    request::{
        exchange::{self, with_timeout},
        path::{Path, Stage},
        route::PathQuery,
    },
};

/// Maximum interval between checks of a stalled stream.
const MAX_CHECK_INTERVAL_MS: u64 = 320;
/// Reports are requested from the engines this long after the first check.
const REPORT_REQUEST_DELAY_MS: u64 = 110;
/// A stream that is stalled for this long, while other streams of its first
/// engine progress, continues elsewhere: callers disconnect after 2 s.
const STALL_TIMEOUT_MS: u64 = 900;
/// Minimum time for a stream to begin, as a fraction of the route's target;
/// after it, another engine can still begin within the target.
const MIN_START_SHARE: f64 = 0.7;
/// An engine that showed activity within this time counts as responding.
const ALIVE_WITHIN_MS: u64 = 250;
/// Timeout of an order.
pub(super) const ORDER_TIMEOUT: Duration = Duration::from_millis(350);
/// Maximum number of orders for one detour, since an order may be refused by
/// another engine without capacity.
const MAX_ORDERS: usize = 3;

/// Result of a supervised wait.
pub(super) enum WaitResult<T> {
    Done(T),
    CallerDisconnected,
    Abandoned,
    DeadlineExceeded,
}

/// Futures that are awaited beside the engine. They are kept from one event to
/// the next, since creating them for each event would cost several system
/// calls.
pub(super) struct Supervision<'a> {
    disconnected: Pin<Box<dyn Future<Output = ()> + Send + 'a>>,
    timer: Timer,
    /// When the timer is due.
    check_at: Option<Instant>,
}

impl Supervision<'_> {
    pub(super) fn new(caller: &SharedStream) -> Supervision<'_> {
        Supervision {
            disconnected: Box::pin(caller.peer_closed()),
            timer: Timer::never(),
            check_at: None,
        }
    }

    /// Sets the timer unless it is due earlier: premature checks are rarer
    /// than events.
    fn check_within(&mut self, wait: Duration) {
        let due_at = Instant::now() + wait;
        if self.check_at.is_none_or(|check_at| check_at > due_at) {
            self.timer.set_at(due_at);
            self.check_at = Some(due_at);
        }
    }
}

/// What woke a supervised wait.
enum WakeReason<T> {
    Done(T),
    CallerDisconnected,
    Notified,
    CheckDue,
}

/// Whether an engine can't be relied on to finish its requests: it is
/// suspected to have failed, has been draining for long, or waits for its
/// requests to end before releasing layers of this stage.
fn is_unreliable(stage: &Stage, leave_after_ms: u64) -> bool {
    let leaving_ms = stage.leaving_ms(now_ms());
    stage.engine.is_suspect()
        || stage.is_being_released()
        || leaving_ms.is_some_and(|ms| ms >= leave_after_ms)
}

impl Stream<'_> {
    /// Waits for the engine while supervising the stream.
    pub(super) async fn supervise<T>(
        &mut self,
        supervision: &mut Supervision<'_>,
        work: impl Future<Output = T>,
    ) -> WaitResult<T> {
        let mut work = pin!(work);
        loop {
            supervision.check_within(self.next_check());
            let woken = {
                let done = async { WakeReason::Done(work.as_mut().await) };
                let disconnected = async {
                    supervision.disconnected.as_mut().await;
                    WakeReason::CallerDisconnected
                };
                let notified = async {
                    self.subscription.notified().await;
                    WakeReason::Notified
                };
                let check = async {
                    (&mut supervision.timer).await;
                    WakeReason::CheckDue
                };
                done.or(disconnected).or(notified).or(check).await
            };
            match woken {
                WakeReason::Done(done) => return WaitResult::Done(done),
                WakeReason::CallerDisconnected => {
                    return WaitResult::CallerDisconnected;
                }
                WakeReason::Notified => {}
                WakeReason::CheckDue => supervision.check_at = None,
            }
            if self.admitted.remaining_ms(now_ms()) == 0 {
                return WaitResult::DeadlineExceeded;
            }
            if !self.check_stream().await {
                return WaitResult::Abandoned;
            }
        }
    }

    fn next_check(&self) -> Duration {
        let now_ms = now_ms();
        let idle_ms = self.pace.idle_ms(now_ms);
        let stall_after_ms = self.pace.stall_after_ms();
        let remaining_ms = self.admitted.remaining_ms(now_ms);
        let wait = match idle_ms < stall_after_ms {
            true => Duration::from_millis(stall_after_ms - idle_ms),
            false => Duration::from_millis(self.pace.check_interval_ms),
        };
        let leaving = self.path.stages[1..]
            .iter()
            .filter_map(|stage| stage.leaving_ms(now_ms));
        let wait = match leaving.max() {
            Some(ms) => {
                let remaining_ms =
                    self.leave_after_ms.saturating_sub(ms).max(40);
                wait.min(Duration::from_millis(remaining_ms))
            }
            None => wait,
        };
        wait.min(Duration::from_millis(remaining_ms.max(1)))
    }

    /// Checks for the cause of a stall and reroutes the stream around it;
    /// false if the stream must leave its first engine.
    async fn check_stream(&mut self) -> bool {
        if self.suspicion.must_end_run(self.pace.run_progress) {
            self.leave_reason = "the request is quarantined";
            return false;
        }
        if self.path.first_engine().is_suspect() && self.is_first_engine_idle()
        {
            self.leave_reason = "the first engine is suspected to have failed";
            return !self.can_change_first_engine();
        }
        let later_stages = &self.path.stages[1..];
        if later_stages
            .iter()
            .any(|stage| is_unreliable(stage, self.leave_after_ms))
            && self.pace.may_order(now_ms())
        {
            return self.change_path().await;
        }
        let idle_ms = self.pace.idle_ms(now_ms());
        let stall_after_ms = self.pace.stall_after_ms();
        if idle_ms < stall_after_ms {
            return true;
        }
        probe::probe_path(self.core, &self.path);
        let doubled_ms = 2 * self.pace.check_interval_ms;
        self.pace.check_interval_ms = doubled_ms.min(MAX_CHECK_INTERVAL_MS);
        if idle_ms >= stall_after_ms + REPORT_REQUEST_DELAY_MS {
            if !self.pace.is_stall_logged {
                self.log_stalled(idle_ms);
            }
            self.pace.is_stall_logged = true;
            probe::request_path_reports(self.core, &self.path);
        }
        self.leave_reason = match self.pace.has_begun {
            true => "the connection is stalled",
            false => "later ones have begun",
        };
        let is_stalled =
            self.is_connection_stalled(idle_ms) || self.is_overdue();
        !is_stalled || !self.can_change_first_engine()
    }

    /// Whether this stream has not begun although all engines of its path
    /// respond and streams that were sent later have begun, so that its
    /// response is lost.
    fn is_overdue(&self) -> bool {
        let now_ms = now_ms();
        let target_ms = self.admitted.route.target_ms as f64;
        let min_ms = (MIN_START_SHARE * target_ms) as u64;
        let is_alive =
            |stage: &Stage| stage.engine.is_alive(now_ms, ALIVE_WITHIN_MS);
        !self.pace.has_begun
            && self.core.is_overdue(
                &self.admitted.service.name,
                self.pace.progress_ms,
                min_ms,
            )
            && self.path.stages.iter().all(is_alive)
    }

    /// Whether this stream is stalled while its first engine sends events of
    /// other streams. A stream that has not begun may be queued at the engine,
    /// and a stream that is stalled together with all others would also wait
    /// elsewhere.
    fn is_connection_stalled(&self, idle_ms: u64) -> bool {
        let first = self.path.first_engine();
        self.pace.has_begun
            && idle_ms >= STALL_TIMEOUT_MS
            && first.quiet_ms(now_ms()) < self.pace.min_stall_ms()
    }

    /// Whether the first engine sends this stream no events. An engine that
    /// sends events has not failed, even if connection attempts fail.
    fn is_first_engine_idle(&self) -> bool {
        self.pace.idle_ms(now_ms()) >= self.pace.min_stall_ms()
    }

    /// Whether to restart at another first engine rather than take this
    /// detour. A detour through another data centre and back sends all tokens
    /// so far over the interconnect, while a restart prefills them again.
    fn is_restart_better(
        &self,
        query: &PathQuery<'_>,
        detour: Option<&Path>,
    ) -> bool {
        if self.adds_no_hop(detour) {
            return false;
        }
        let elsewhere = self.core.fleet.search_path(query);
        self.can_change_first_engine()
            && elsewhere.is_some_and(|path| path.interconnect_hops() == 0)
    }

    /// Whether a detour has no more hops between data centres than the path.
    fn adds_no_hop(&self, detour: Option<&Path>) -> bool {
        let hops = self.path.interconnect_hops();
        detour.is_some_and(|path| path.interconnect_hops() <= hops)
    }

    /// Whether an engine after the first is suspected to have failed, rather
    /// than draining.
    pub(super) fn has_failed_stage(&self) -> bool {
        let later_stages = &self.path.stages[1..];
        later_stages.iter().any(|stage| stage.engine.is_suspect())
    }

    /// Orders the first engine to use another path; false if the stream must
    /// leave the first engine.
    async fn change_path(&mut self) -> bool {
        for _ in 0..MAX_ORDERS {
            let query = self.path_query(false);
            let detour = self.core.fleet.detour(&query, &self.path);
            if !self.has_failed_stage() && !self.adds_no_hop(detour.as_ref()) {
                // The engine still serves, and most streams end before it
                // leaves.
                return true;
            }
            if self.is_restart_better(&query, detour.as_ref()) {
                self.leave_reason =
                    "an engine failed; a restart avoids another data centre";
                return false;
            }
            let Some(path) = detour else {
                return true;
            };
            let first = self.path.first_engine().clone();
            let body = engine::repath_body(
                self.admitted.id_text(),
                &path.header_value(),
            );
            let memory = &self.core.fleet.response_memory;
            let call = exchange::send_order(memory, &first, &body);
            let answer = with_timeout(ORDER_TIMEOUT, call).await;
            let result = match &answer {
                Ok(Ok((status, body))) => {
                    let body = String::from_utf8_lossy(body.as_slice());
                    format!("{status} {body}")
                }
                Ok(Err(e)) => {
                    let id = self.admitted.id_text();
                    exchange::record_cut(self.core, &first, id, e);
                    e.to_string()
                }
                Err(e) => e.to_string(),
            };
            match answer {
                Ok(Ok((200..=299, _))) => {
                    self.log_path_changed(&path, result.trim_end());
                    self.apply_detour(path);
                    return true;
                }
                Ok(Ok((404, _))) => {
                    self.leave_reason =
                        "the first engine no longer has the request";
                    return !self.can_change_first_engine();
                }
                Ok(Ok((_, body))) => {
                    let refusing = engine::refusing_engine(body.as_slice())
                        .and_then(|at| self.core.fleet.by_address(at));
                    self.record_path_refused(
                        &path,
                        refusing.as_deref(),
                        &result,
                    );
                    let Some(refusing) = refusing else { return true };
                    if Arc::ptr_eq(&refusing, &first) {
                        // The first engine releases its own layers, which no
                        // path avoids.
                        self.leave_reason =
                            "the first engine is releasing its layers";
                        return !self.can_change_first_engine();
                    }
                    self.excluded.insert(refusing.incarnation.clone());
                }
                _ => {
                    self.record_path_refused(&path, None, &result);
                    let task = probe::probe(self.core.clone(), first);
                    self.core.executor.spawn(task).detach();
                    return true;
                }
            }
        }
        true
    }

    /// Applies the path that the first engine uses from now on.
    fn apply_detour(&mut self, path: Path) {
        let added_hops = path
            .interconnect_hops()
            .saturating_sub(self.path.interconnect_hops());
        self.record_interconnect_traffic(added_hops);
        path.record_prefill(self.model, self.tokens, &self.path, now_ms());
        self.reservations = path.reserve(self.tokens);
        self.path = path;
        self.pace.record_order_accepted(now_ms());
        self.summary.path_changes += 1;
    }
}
