//! Looking after a stream while it runs: noticing that it stands still, and
//! leading it around engines that die.

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
        route::PathNeed,
    },
};

/// Longest time between looks.
const MAX_LOOK_AGAIN_MS: u64 = 320;
/// Reports are asked for after this long beyond the first look.
const ASK_AFTER_MS: u64 = 110;
/// A stream that stands still for so long, while others of its first engine
/// move, goes on elsewhere: clients leave after 2 s.
const GIVE_UP_MS: u64 = 900;
/// Share of the route's target that a stream is given to begin in any case:
/// another engine then begins within the target.
const OVERDUE_SHARE: f64 = 0.7;
/// An engine that was heard of within this time lives.
const LIVES_MS: u64 = 250;
/// Time for an order.
pub(super) const ORDER: Duration = Duration::from_millis(350);
/// Orders for one detour: the first may meet another engine without room.
const MAX_ORDERS: usize = 3;

/// What came of a supervised wait.
pub(super) enum Waited<T> {
    Done(T),
    CallerGone,
    GivenUp,
    TimeOver,
}

/// What is waited for beside the engine, from one event to the next: made
/// anew for each event, it would cost several calls of the kernel each time.
pub(super) struct Watch<'a> {
    gone: Pin<Box<dyn Future<Output = ()> + Send + 'a>>,
    timer: Timer,
    /// When the timer is due.
    look_at: Option<Instant>,
}

impl Watch<'_> {
    pub(super) fn new(caller: &SharedStream) -> Watch<'_> {
        Watch {
            gone: Box::pin(caller.peer_closed()),
            timer: Timer::never(),
            look_at: None,
        }
    }

    /// Sets the timer, unless it is due sooner: looks that come too soon are
    /// rarer than events.
    fn look_within(&mut self, wait: Duration) {
        let wanted_at = Instant::now() + wait;
        if self.look_at.is_none_or(|look_at| look_at > wanted_at) {
            self.timer.set_at(wanted_at);
            self.look_at = Some(wanted_at);
        }
    }
}

/// What woke a supervised wait.
enum Woken<T> {
    Done(T),
    CallerGone,
    Nudged,
    Look,
}

/// Whether an engine can't be counted on to end what it runs: it seems dead,
/// has been leaving for long, or waits with a move until this has ended.
fn is_lost(stage: &Stage, leave_after_ms: u64) -> bool {
    let leaving_ms = stage.leaving_ms(now_ms());
    stage.engine.is_suspect()
        || stage.is_given_up()
        || leaving_ms.is_some_and(|ms| ms >= leave_after_ms)
}

impl Stream<'_> {
    /// Waits for the engine while it looks after the stream.
    pub(super) async fn supervise<T>(
        &mut self,
        watch: &mut Watch<'_>,
        work: impl Future<Output = T>,
    ) -> Waited<T> {
        let mut work = pin!(work);
        loop {
            watch.look_within(self.next_look());
            let woken = {
                let done = async { Woken::Done(work.as_mut().await) };
                let gone = async {
                    watch.gone.as_mut().await;
                    Woken::CallerGone
                };
                let nudged = async {
                    self.listed.notified().await;
                    Woken::Nudged
                };
                let look = async {
                    (&mut watch.timer).await;
                    Woken::Look
                };
                done.or(gone).or(nudged).or(look).await
            };
            match woken {
                Woken::Done(done) => return Waited::Done(done),
                Woken::CallerGone => return Waited::CallerGone,
                Woken::Nudged => {}
                Woken::Look => watch.look_at = None,
            }
            if self.admitted.left_ms(now_ms()) == 0 {
                return Waited::TimeOver;
            }
            if !self.look_after().await {
                return Waited::GivenUp;
            }
        }
    }

    fn next_look(&self) -> Duration {
        let now_ms = now_ms();
        let quiet_ms = self.pace.quiet_ms(now_ms);
        let look_ms = self.pace.look_ms();
        let left_ms = self.admitted.left_ms(now_ms);
        let wait = match quiet_ms < look_ms {
            true => Duration::from_millis(look_ms - quiet_ms),
            false => Duration::from_millis(self.pace.look_again_ms),
        };
        let leaving = self.path.stages[1..]
            .iter()
            .filter_map(|stage| stage.leaving_ms(now_ms));
        let wait = match leaving.max() {
            Some(ms) => {
                let left_ms = self.leave_after_ms.saturating_sub(ms).max(40);
                wait.min(Duration::from_millis(left_ms))
            }
            None => wait,
        };
        wait.min(Duration::from_millis(left_ms.max(1)))
    }

    /// Looks for the cause of a pause and leads the stream around it; false
    /// when it must go on elsewhere.
    async fn look_after(&mut self) -> bool {
        if self.suspicion.quarantine_left_ms().is_some() {
            self.left_because = "the request is quarantined";
            return false;
        }
        if self.path.first().is_suspect() && self.is_first_lost() {
            self.left_because = "the first engine seems dead";
            return !self.can_move();
        }
        let rest = &self.path.stages[1..];
        if rest.iter().any(|stage| is_lost(stage, self.leave_after_ms))
            && self.pace.may_order(now_ms())
        {
            return self.change_path().await;
        }
        let quiet_ms = self.pace.quiet_ms(now_ms());
        let look_ms = self.pace.look_ms();
        if quiet_ms < look_ms {
            return true;
        }
        probe::probe_path(self.core, &self.path);
        let doubled_ms = 2 * self.pace.look_again_ms;
        self.pace.look_again_ms = doubled_ms.min(MAX_LOOK_AGAIN_MS);
        if quiet_ms >= look_ms + ASK_AFTER_MS {
            if !self.pace.is_told {
                self.note_stalled(quiet_ms);
            }
            self.pace.is_told = true;
            probe::request_path_reports(self.core, &self.path);
        }
        self.left_because = match self.pace.has_begun {
            true => "the connection is silent",
            false => "later ones have begun",
        };
        let is_silent =
            self.is_connection_silent(quiet_ms) || self.is_overdue();
        !is_silent || !self.can_move()
    }

    /// Whether this stream has not begun although all engines of its path
    /// live and streams that were sent later have begun: its answer is lost.
    fn is_overdue(&self) -> bool {
        let now_ms = now_ms();
        let target_ms = self.admitted.route.target_ms as f64;
        let least_ms = (OVERDUE_SHARE * target_ms) as u64;
        let lives = |stage: &Stage| stage.engine.is_alive(now_ms, LIVES_MS);
        !self.pace.has_begun
            && self.core.is_overdue(
                &self.admitted.service.name,
                self.pace.moved_ms,
                least_ms,
            )
            && self.path.stages.iter().all(lives)
    }

    /// Whether this stream alone stands still: its first engine sends for
    /// others. A stream that has not begun may just wait its turn, and one
    /// that all others wait with would only wait elsewhere.
    fn is_connection_silent(&self, quiet_ms: u64) -> bool {
        let first = self.path.first();
        self.pace.has_begun
            && quiet_ms >= GIVE_UP_MS
            && first.quiet_ms(now_ms()) < self.pace.least_look_ms()
    }

    /// A first engine that still sends is not lost, whatever dials show.
    fn is_first_lost(&self) -> bool {
        self.pace.quiet_ms(now_ms()) >= self.pace.least_look_ms()
    }

    /// Whether to go on at another first engine rather than by this detour:
    /// one that goes to another data centre and back has all tokens so far
    /// sent over what joins them, while a new start there reads them anew.
    fn is_better_elsewhere(
        &self,
        need: &PathNeed<'_>,
        detour: Option<&Path>,
    ) -> bool {
        if self.is_no_wider(detour) {
            return false;
        }
        let elsewhere = self.core.fleet.path(need);
        self.can_move() && elsewhere.is_some_and(|path| path.crossings() == 0)
    }

    /// Whether a detour goes to other data centres no more than the path.
    fn is_no_wider(&self, detour: Option<&Path>) -> bool {
        let crossings = self.path.crossings();
        detour.is_some_and(|path| path.crossings() <= crossings)
    }

    /// Whether an engine after the first has died, and not just drains.
    pub(super) fn has_dead_stage(&self) -> bool {
        let rest = &self.path.stages[1..];
        rest.iter().any(|stage| stage.engine.is_suspect())
    }

    /// Tells the first engine another path; false when it has no such
    /// request any more.
    async fn change_path(&mut self) -> bool {
        for _ in 0..MAX_ORDERS {
            let need = self.need(false);
            let detour = self.core.fleet.detour(&need, &self.path);
            if !self.has_dead_stage() && !self.is_no_wider(detour.as_ref()) {
                // It still serves, and most streams end before it does.
                return true;
            }
            if self.is_better_elsewhere(&need, detour.as_ref()) {
                self.left_because = "an engine died; another data centre";
                return false;
            }
            let Some(path) = detour else {
                return true;
            };
            let first = self.path.first().clone();
            let body =
                engine::repath_body(self.admitted.id_text(), &path.value());
            let call = exchange::send_order(&first, &body);
            let answer = with_timeout(ORDER, call).await;
            let result = match &answer {
                Ok(Ok((status, body))) => {
                    format!("{status} {}", String::from_utf8_lossy(body))
                }
                Ok(Err(e)) => e.to_string(),
                Err(e) => e.to_string(),
            };
            match answer {
                Ok(Ok((200..=299, _))) => {
                    self.note_changed(&path, result.trim_end());
                    self.take_detour(path);
                    return true;
                }
                Ok(Ok((404, _))) => {
                    self.left_because = "the first engine has lost it";
                    return !self.can_move();
                }
                Ok(Ok((_, body))) => {
                    let named = engine::refused_address(&body)
                        .and_then(|at| self.core.fleet.by_address(at));
                    self.note_path_refused(&path, named.as_deref(), &result);
                    let Some(named) = named else { return true };
                    if Arc::ptr_eq(&named, &first) {
                        // It gives up its own layers: no path leads around.
                        self.left_because = "the first engine gives up layers";
                        return !self.can_move();
                    }
                    self.without.insert(named.incarnation.clone());
                }
                _ => {
                    self.note_path_refused(&path, None, &result);
                    let task = probe::probe(self.core.clone(), first);
                    self.core.executor.spawn(task).detach();
                    return true;
                }
            }
        }
        true
    }

    /// Takes the path that the first engine uses from here on.
    fn take_detour(&mut self, path: Path) {
        let more = path.crossings().saturating_sub(self.path.crossings());
        self.note_crossing(more);
        path.note_work(self.model, self.tokens, &self.path, now_ms());
        self.reservations = path.reserve(self.tokens);
        self.path = path;
        self.pace.note_order_taken(now_ms());
        self.ended.path_changes += 1;
    }
}
