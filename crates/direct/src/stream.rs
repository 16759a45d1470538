//! Streams of events.
//!
//! A stream is one request to a first engine, which sends it on through the
//! others of its path. While it runs, its pace is watched. When an engine of
//! the path dies, the first one is told another path, which costs a pause
//! while new engines read what was written so far. When the first one dies,
//! a stream that may be resumed goes on elsewhere after its last event. The
//! client sees one answer, with the head of the first engine, and only whole
//! events in their order.

use std::{
    collections::BTreeSet, net::SocketAddr, pin::pin, sync::Arc,
    time::Duration,
};

use async_io::Timer;
use chestnutreach_adapter::{clients, engine};
use chestnutreach_http::{
    SharedStream,
    relay::{
        AnswerHead, Inbound, LAST_CHUNK, Outbound, RelayRequest, push_chunk,
    },
};
use chestnutreach_site::{Model, Reuse};
use chestnutreach_telemetry::{Event, emit};
use futures_lite::FutureExt as _;

use crate::{
    admit::Admitted,
    answer::{Framing, Reason, passed_head},
    callers::{After, Ended, refuse},
    clock::now_ms,
    core::Core,
    engine::{Engine, Evidence, Hold},
    events::EventSplitter,
    exchange::{self, Addressed, within},
    fleet::{Path, PathNeed},
    probe,
    supervise::Listed,
};

/// A stream that has not begun is looked at after this time.
const FIRST_LOOK_MS: u64 = 260;
/// A stream that has begun is looked at after a pause of this many usual
/// ones and a little.
const LOOK_FACTOR: f64 = 1.9;
const LOOK_SLACK_MS: f64 = 20.0;
/// Bounds of that time.
const LOOK_MS: (u64, u64) = (90, 600);
/// Usual pause before any was seen.
const USUAL_GAP_MS: f64 = 45.0;
/// Weight of the newest pause in the usual one.
const GAP_WEIGHT: f64 = 0.1;
/// Time between looks at a stream that pauses, at first; it doubles.
const LOOK_AGAIN_MS: u64 = 40;
/// Longest time between looks.
const MAX_LOOK_AGAIN_MS: u64 = 320;
/// Reports are asked for after this long beyond the first look.
const ASK_AFTER_MS: u64 = 110;
/// A stream that stands still for so long, while others of its first engine
/// move, goes on elsewhere: clients leave after 2 s.
const GIVE_UP_MS: u64 = 900;
/// Time for an order.
const ORDER: Duration = Duration::from_millis(350);
/// Orders for one detour: the first may meet another engine without room.
const MAX_ORDERS: usize = 3;
/// Streams leave an engine that drains one after another over this part of
/// the time for which it surely serves on: the engines that stand in read
/// what each has written so far, and all at once would wait for that.
const LEAVE_WITHIN: f64 = 0.75;
/// How long an engine that had no room or layers is avoided.
const AVOID_MS: u64 = 250;
/// Longest wait for a path before the first event.
const MAX_WAIT_MS: u64 = 1_500;
/// Longest wait for a path of a stream that has begun.
const MAX_RESUME_WAIT_MS: u64 = 1_500;
/// Pause before asking the shared bound again.
const RETRY_AGAIN: Duration = Duration::from_millis(100);
/// Pause before looking again for a path.
const SEEK_AGAIN: Duration = Duration::from_millis(15);
/// Share of the estimated answer that is planned with: it grows from none.
const ANSWER_SHARE: f64 = 0.8;

/// How an attempt ended.
enum AttemptEnd {
    /// The stream is whole.
    Whole,
    CallerGone,
    /// It surely did not run; who refused, if that was said.
    NotRun(Option<SocketAddr>),
    /// It broke off, or goes on elsewhere.
    Broken,
    /// The engine answered with a failure.
    Failed(AnswerHead, Vec<u8>),
    TimeOver,
}

/// What came of a supervised wait.
enum Waited<T> {
    Done(T),
    CallerGone,
    GivenUp,
    TimeOver,
}

/// What woke a supervised wait.
enum Woken<T> {
    Done(T),
    CallerGone,
    Nudged,
    Look,
}

struct Stream<'a> {
    core: &'a Arc<Core>,
    request: &'a RelayRequest,
    admitted: &'a Admitted,
    model: &'a Model,
    is_last: bool,
    /// Tokens of the prompt and of what the client has already.
    tokens: u64,
    listed: Listed,
    /// Engines that may not be used for this request.
    without: BTreeSet<String>,
    /// First engines that it was sent to and that may have run it.
    ran_at: BTreeSet<String>,
    path: Path,
    holds: Vec<Hold>,
    is_head_sent: bool,
    may_have_run: bool,
    last_event: Option<u64>,
    pace: Pace,
    /// How long it stays on an engine that drains.
    leave_after_ms: u64,
    /// Why it left its first engine, which may still run.
    left_because: &'static str,
    /// Why the next attempt is made.
    cause: &'static str,
    ended: Ended,
}

/// Whether an engine can't be counted on to end what it runs: it seems dead,
/// or has been leaving for long.
fn is_lost(engine: &Engine, leave_after_ms: u64) -> bool {
    let state = engine.lock();
    let leaving_ms = state.leaving_ms(now_ms());
    state.is_gone
        || state.suspicion.is_some()
        || leaving_ms.is_some_and(|ms| ms >= leave_after_ms)
}

/// How fast a stream goes.
struct Pace {
    /// When the last event came, or the attempt began.
    moved_ms: u64,
    /// When the path was last changed.
    changed_ms: u64,
    usual_gap_ms: f64,
    has_begun: bool,
    /// Time until the next look at a pause.
    look_again_ms: u64,
    /// Whether the pause was told in the logs.
    is_told: bool,
}

impl Pace {
    fn new() -> Pace {
        Pace {
            moved_ms: now_ms(),
            changed_ms: 0,
            usual_gap_ms: USUAL_GAP_MS,
            has_begun: false,
            look_again_ms: LOOK_AGAIN_MS,
            is_told: false,
        }
    }

    fn begin_attempt(&mut self) {
        self.moved_ms = now_ms();
        self.has_begun = false;
    }

    fn moved(&mut self, now_ms: u64) -> u64 {
        let gap_ms = now_ms.saturating_sub(self.moved_ms);
        if self.has_begun {
            let gap = (gap_ms as f64).min(4.0 * self.usual_gap_ms);
            self.usual_gap_ms += GAP_WEIGHT * (gap - self.usual_gap_ms);
        }
        self.has_begun = true;
        self.moved_ms = now_ms;
        self.look_again_ms = LOOK_AGAIN_MS;
        self.is_told = false;
        gap_ms
    }

    /// Time since the last event, or since the path was changed after it.
    fn quiet_ms(&self, now_ms: u64) -> u64 {
        now_ms.saturating_sub(self.moved_ms.max(self.changed_ms))
    }

    /// Pause from which a stream is looked at.
    fn look_ms(&self) -> u64 {
        if !self.has_begun {
            return FIRST_LOOK_MS;
        }
        let look = LOOK_FACTOR * self.usual_gap_ms + LOOK_SLACK_MS;
        (look as u64).clamp(LOOK_MS.0, LOOK_MS.1)
    }
}

/// Passes a stream on.
pub(crate) async fn relay(
    core: &Arc<Core>,
    inbound: &mut Inbound,
    request: &RelayRequest,
    admitted: &Admitted,
    is_last: bool,
) -> (Ended, After) {
    let Some(model) = &admitted.service.model else {
        return refuse(inbound, request, Reason::NoBackend, is_last).await;
    };
    let mut stream = Stream {
        core,
        request,
        admitted,
        model,
        is_last,
        tokens: needed_tokens(request, model),
        listed: core.streams.list(),
        without: BTreeSet::new(),
        ran_at: BTreeSet::new(),
        path: Path::default(),
        holds: Vec::new(),
        is_head_sent: false,
        may_have_run: false,
        last_event: last_event(request),
        pace: Pace::new(),
        leave_after_ms: leave_after_ms(core),
        left_because: "",
        cause: "first",
        ended: Ended::default(),
    };
    let metrics = core.metrics.service(&admitted.service.name);
    metrics.requests_in_flight.inc();
    let after = stream.run(inbound).await;
    metrics.requests_in_flight.dec();
    (stream.ended, after)
}

/// A random part of the time for which an engine that drains serves on.
fn leave_after_ms(core: &Core) -> u64 {
    let drain_ms = core.settings.bounds.drain_ms as f64;
    (drain_ms * LEAVE_WITHIN * fastrand::f64()) as u64
}

fn last_event(request: &RelayRequest) -> Option<u64> {
    request.header(clients::LAST_EVENT_ID)?.trim().parse().ok()
}

/// Tokens that a request is expected to hold in memory.
fn needed_tokens(request: &RelayRequest, model: &Model) -> u64 {
    let stated = request.header(clients::TOKENS);
    let (prompt, most) = stated
        .and_then(clients::tokens_of)
        .unwrap_or((model.usual_prompt_tokens, model.usual_answer_tokens));
    let hint = request.header(clients::LENGTH_HINT);
    let hint = hint.and_then(|value| value.trim().parse::<f64>().ok());
    let hint = hint.unwrap_or(f64::from(most)).min(f64::from(most));
    u64::from(prompt) + (ANSWER_SHARE * hint) as u64
}

impl Stream<'_> {
    async fn run(&mut self, inbound: &mut Inbound) -> After {
        loop {
            let caller = inbound.stream().clone();
            let gone = async {
                caller.hung_up().await;
                None
            };
            let sought = async { Some(self.seek_path().await) };
            match sought.or(gone).await {
                Some(true) => {}
                Some(false) => return self.give_up(inbound).await,
                // Nothing may be sent for a client that has left.
                None => return self.note_caller_gone(),
            }
            match self.attempt(inbound).await {
                AttemptEnd::Whole => return self.finish(inbound).await,
                AttemptEnd::CallerGone => return self.note_caller_gone(),
                AttemptEnd::NotRun(at) => self.avoid(at),
                AttemptEnd::Broken => self.leave_first().await,
                AttemptEnd::Failed(head, body) => {
                    self.without.insert(self.path.first().id.clone());
                    self.cause = "failed";
                    let is_final = head.status < 500
                        || !self.may_send()
                        || !self.may_attempt_more();
                    if is_final && !self.is_head_sent {
                        return self.pass_failure(inbound, &head, &body).await;
                    }
                }
                AttemptEnd::TimeOver => return self.give_up(inbound).await,
            }
            self.holds.clear();
        }
    }

    fn note_caller_gone(&mut self) -> After {
        self.ended.outcome = "caller_gone";
        After::Cut
    }

    /// Whether the kind of request and the time allow another attempt.
    fn may_send(&self) -> bool {
        let may_repeat = self.admitted.route.reuse.may_repeat();
        let has_time = self.admitted.left_ms(now_ms()) > 0;
        has_time && (may_repeat || !self.may_have_run)
    }

    /// Whether another first engine may get it.
    fn may_attempt_more(&self) -> bool {
        self.ran_at.len() < self.admitted.route.max_attempts as usize
    }

    /// Takes that the first engine no longer answers this request. It does
    /// not count as one that ran it if it has ended, which a dial shows now;
    /// one that ends later has still run it.
    async fn leave_first(&mut self) {
        let first = self.path.first().clone();
        self.without.insert(first.id.clone());
        self.cause = "resumed";
        probe::probe(self.core.clone(), first.clone()).await;
        let has_ended = {
            let state = first.lock();
            let evidence = state.suspicion.map(|s| s.evidence);
            state.is_gone || evidence.is_some_and(|e| e != Evidence::Stalled)
        };
        if has_ended {
            self.ran_at.remove(&first.id);
        }
    }

    /// Finds a path, waiting a moment for layers or room.
    async fn seek_path(&mut self) -> bool {
        let wait_ms = match self.is_head_sent {
            true => MAX_RESUME_WAIT_MS,
            false => MAX_WAIT_MS,
        };
        let until_ms = (now_ms() + wait_ms).min(self.admitted.end_ms);
        if !self.may_send() || !self.may_attempt_more() {
            return false;
        }
        // A stream that has begun waits for the shared bound to leave room,
        // rather than break off.
        let mut needs_retry = self.ended.attempts > 0;
        loop {
            if let Some(path) = self.path_now() {
                needs_retry = needs_retry
                    && !self.core.take_retry(&self.admitted.service.name);
                if !needs_retry {
                    self.holds = path.hold(self.tokens);
                    self.path = path;
                    return true;
                }
                if !self.is_head_sent {
                    return false;
                }
            }
            if now_ms() >= until_ms {
                return false;
            }
            let pause = if needs_retry { RETRY_AGAIN } else { SEEK_AGAIN };
            Timer::after(pause).await;
        }
    }

    fn path_now(&self) -> Option<Path> {
        let need = self.need();
        if self.cause == "refused"
            && !self.path.stages.is_empty()
            && !self.without.contains(&self.path.first().id)
            && !self.path.first().is_suspect()
            && let Some(path) = self.core.fleet.detour(&need, &self.path)
        {
            return Some(path);
        }
        self.core.fleet.path(&need)
    }

    fn need(&self) -> PathNeed<'_> {
        PathNeed {
            service: &self.admitted.service.name,
            model: self.model,
            data_centre: self.core.own_data_centre(),
            tokens: self.tokens,
            without: &self.without,
            now_ms: now_ms(),
            crossing_use: self.core.crossing_use(self.model.pipe_mbps),
        }
    }

    /// Counts what reading a prompt over new crossings sends.
    fn note_crossing(&self, crossings: usize) {
        let bytes = self.tokens as f64 * self.model.activation_bytes;
        self.core.crossing.note(crossings as f64 * bytes, now_ms());
    }

    /// Leaves out who refused.
    fn avoid(&mut self, at: Option<SocketAddr>) {
        self.cause = "refused";
        let first = self.path.first();
        let named = at.and_then(|at| self.core.fleet.at(at));
        let engine = named.unwrap_or_else(|| first.clone());
        engine.lock().avoid_longer(now_ms(), AVOID_MS);
        self.without.insert(engine.id.clone());
    }

    async fn attempt(&mut self, inbound: &mut Inbound) -> AttemptEnd {
        let first = self.path.first().clone();
        let caller = inbound.stream().clone();
        self.pace.begin_attempt();
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
        let is_new_here = self.ran_at.insert(first.id.clone());
        self.ended.attempts += 1;
        let was_run = self.may_have_run;
        self.may_have_run = true;
        let id = self.admitted.id.clone();
        let method = self.request.method.clone();
        let work = async {
            connection.send(&bytes).await?;
            exchange::own_head(&mut connection, id.as_deref(), &method).await
        };
        let head = match self.supervise(&caller, work).await {
            Waited::Done(Ok(head)) => head,
            Waited::Done(Err(e)) => {
                self.note_broken(&e);
                return AttemptEnd::Broken;
            }
            Waited::CallerGone => return AttemptEnd::CallerGone,
            Waited::GivenUp => {
                self.note_broken(&self.left_because);
                return AttemptEnd::Broken;
            }
            Waited::TimeOver => return AttemptEnd::TimeOver,
        };
        if head.status != 200 {
            let is_not_run = exchange::is_not_run(&head);
            self.may_have_run = was_run || !is_not_run;
            if is_not_run && is_new_here {
                self.ran_at.remove(&first.id);
            }
            return self.refused(&mut connection, head).await;
        }
        self.pass_events(inbound, &caller, &mut connection, &head).await
    }

    async fn refused(
        &mut self,
        connection: &mut Outbound,
        head: AnswerHead,
    ) -> AttemptEnd {
        let at = head.header(engine::REFUSED_AT).map(str::to_owned);
        let is_not_run = exchange::is_not_run(&head);
        emit(
            Event::RelayAnswered,
            &[
                ("request", &self.admitted.id_text()),
                ("attempt", &self.ended.attempts),
                ("backend", &self.path.first().id),
                ("status", &head.status),
                ("at", &at.as_deref().unwrap_or("")),
                ("is_not_run", &is_not_run),
                ("elapsed_ms", &self.pace.quiet_ms(now_ms())),
            ],
        );
        if is_not_run && head.status != 400 {
            return AttemptEnd::NotRun(at.and_then(|at| at.parse().ok()));
        }
        let body = head.body(&self.request.method);
        let body = connection.read_body(body, 1 << 20);
        match within(ORDER, body).await {
            Ok(Ok(body)) => AttemptEnd::Failed(head, body),
            _ => AttemptEnd::Broken,
        }
    }

    async fn pass_events(
        &mut self,
        inbound: &mut Inbound,
        caller: &SharedStream,
        connection: &mut Outbound,
        head: &AnswerHead,
    ) -> AttemptEnd {
        let mut splitter = EventSplitter::new();
        let mut body = head.body(&self.request.method);
        let mut out = Vec::new();
        if !self.is_head_sent {
            out = passed_head(head, Framing::Chunked, self.is_last);
        }
        loop {
            let part = connection.next_part(&mut body);
            let part = match self.supervise(caller, part).await {
                Waited::Done(Ok(Some(part))) => part,
                Waited::Done(Ok(None)) if splitter.has_partial() => {
                    self.note_broken(&"the last event is not whole");
                    return AttemptEnd::Broken;
                }
                Waited::Done(Ok(None)) if !self.is_head_sent => {
                    self.note_broken(&"the stream has no event");
                    return AttemptEnd::Broken;
                }
                Waited::Done(Ok(None)) => return AttemptEnd::Whole,
                Waited::Done(Err(e)) => {
                    self.note_broken(&e);
                    return AttemptEnd::Broken;
                }
                Waited::CallerGone => return AttemptEnd::CallerGone,
                Waited::GivenUp => {
                    self.note_broken(&self.left_because);
                    return AttemptEnd::Broken;
                }
                Waited::TimeOver => return AttemptEnd::TimeOver,
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
        let metrics = self.core.metrics.service(&self.admitted.service.name);
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
        let is_first = self.ended.events == 1;
        for stage in &self.path.stages {
            stage.engine.note_progress(now_ms);
            if is_first {
                stage.engine.lock().failures = 0;
            }
        }
    }

    /// Waits for the engine while it looks after the stream.
    async fn supervise<T>(
        &mut self,
        caller: &SharedStream,
        work: impl Future<Output = T>,
    ) -> Waited<T> {
        let mut work = pin!(work);
        let mut gone = pin!(caller.hung_up());
        loop {
            let wait = self.next_look();
            let woken = {
                let done = async { Woken::Done(work.as_mut().await) };
                let gone = async {
                    gone.as_mut().await;
                    Woken::CallerGone
                };
                let nudged = async {
                    self.listed.nudged().await;
                    Woken::Nudged
                };
                let look = async {
                    Timer::after(wait).await;
                    Woken::Look
                };
                done.or(gone).or(nudged).or(look).await
            };
            match woken {
                Woken::Done(done) => return Waited::Done(done),
                Woken::CallerGone => return Waited::CallerGone,
                Woken::Nudged | Woken::Look => {}
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
            .filter_map(|stage| stage.engine.lock().leaving_ms(now_ms));
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
        if self.path.first().is_suspect() && self.is_first_lost() {
            self.left_because = "the first engine seems dead";
            return !self.can_move();
        }
        let rest = &self.path.stages[1..];
        if rest.iter().any(|stage| is_lost(&stage.engine, self.leave_after_ms))
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
            probe::ask_path(self.core, &self.path);
        }
        self.left_because = "the connection is silent";
        !self.is_connection_silent(quiet_ms) || !self.can_move()
    }

    /// Whether this stream alone stands still: its first engine sends for
    /// others. A stream that has not begun may just wait its turn, and one
    /// that all others wait with would only wait elsewhere.
    fn is_connection_silent(&self, quiet_ms: u64) -> bool {
        let first = self.path.first();
        self.pace.has_begun
            && quiet_ms >= GIVE_UP_MS
            && first.quiet_ms(now_ms()) < LOOK_MS.0
    }

    /// A first engine that still sends is not lost, whatever dials show.
    fn is_first_lost(&self) -> bool {
        self.pace.quiet_ms(now_ms()) >= LOOK_MS.0
    }

    /// Whether the stream could go on at another first engine.
    fn can_move(&self) -> bool {
        self.may_send() && self.may_attempt_more()
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
    fn has_dead_stage(&self) -> bool {
        let rest = &self.path.stages[1..];
        rest.iter().any(|stage| stage.engine.is_suspect())
    }

    /// Tells the first engine another path; false when it has no such
    /// request any more.
    async fn change_path(&mut self) -> bool {
        for _ in 0..MAX_ORDERS {
            let need = self.need();
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
            let call = exchange::call(
                first.address,
                "POST",
                engine::ORDER_TARGET,
                &body,
            );
            let answer = within(ORDER, call).await;
            let result = match &answer {
                Ok(Ok((status, _))) => status.to_string(),
                Ok(Err(e)) => e.to_string(),
                Err(e) => e.to_string(),
            };
            self.note_changed(&path, &result);
            match answer {
                Ok(Ok((200..=299, _))) => {
                    let more = path.crossings();
                    let more = more.saturating_sub(self.path.crossings());
                    self.note_crossing(more);
                    path.note_work(
                        self.model,
                        self.tokens,
                        &self.path,
                        now_ms(),
                    );
                    self.holds = path.hold(self.tokens);
                    self.path = path;
                    self.pace.changed_ms = now_ms();
                    self.ended.path_changes += 1;
                    return true;
                }
                Ok(Ok((404, _))) => {
                    self.left_because = "the first engine has lost it";
                    return !self.can_move();
                }
                Ok(Ok((_, body))) => {
                    let named = engine::refused_address(&body)
                        .and_then(|at| self.core.fleet.at(at));
                    match named {
                        Some(engine) => {
                            self.without.insert(engine.id.clone());
                        }
                        None => return true,
                    }
                }
                _ => {
                    let task = probe::probe(self.core.clone(), first);
                    self.core.executor.spawn(task).detach();
                    return true;
                }
            }
        }
        true
    }

    async fn finish(&mut self, inbound: &mut Inbound) -> After {
        self.ended.outcome = "completed";
        if inbound.write(LAST_CHUNK).await.is_err() {
            return After::Cut;
        }
        match self.is_last {
            true => After::Close,
            false => After::Keep,
        }
    }

    /// Ends a stream for which nothing more can be done.
    async fn give_up(&mut self, inbound: &mut Inbound) -> After {
        let is_over = self.admitted.left_ms(now_ms()) == 0;
        let reason = match (self.may_have_run, is_over) {
            (true, true) => Reason::TimeOver,
            (true, false) => Reason::Unknown,
            (false, true) => Reason::TooLate,
            (false, false) => Reason::NoBackend,
        };
        if self.is_head_sent {
            self.ended.outcome = "failed";
            self.ended.reason = reason.name().to_owned();
            return After::Cut;
        }
        let (ended, after) =
            refuse(inbound, self.request, reason, self.is_last).await;
        self.ended.outcome = ended.outcome;
        self.ended.status = ended.status;
        self.ended.reason = ended.reason;
        after
    }

    async fn pass_failure(
        &mut self,
        inbound: &mut Inbound,
        head: &AnswerHead,
        body: &[u8],
    ) -> After {
        let is_promise = matches!(head.status, 408 | 421 | 429 | 503);
        if is_promise && self.may_have_run {
            return self.give_up(inbound).await;
        }
        let framing = Framing::Length(body.len());
        let mut bytes = passed_head(head, framing, self.is_last);
        bytes.extend_from_slice(body);
        self.ended.outcome = "failed";
        self.ended.status = head.status;
        self.ended.reason = "engine".to_owned();
        match (inbound.write(&bytes).await.is_ok(), self.is_last) {
            (true, false) => After::Keep,
            (true, true) => After::Close,
            (false, _) => After::Cut,
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

    fn note_sent(&self) {
        self.note_crossing(self.path.crossings());
        let none = Path::default();
        self.path.note_work(self.model, self.tokens, &none, now_ms());
        let metrics = self.core.metrics.service(&self.admitted.service.name);
        metrics.attempts.inc();
        if self.cause == "resumed" {
            metrics.requests_resumed.inc();
        }
        let now_ms = now_ms();
        let last = self.last_event.map_or_else(String::new, |e| e.to_string());
        emit(
            Event::RelaySent,
            &[
                ("request", &self.admitted.id_text()),
                ("attempt", &(self.ended.attempts + 1)),
                ("backends", &self.path.names()),
                ("tokens", &self.tokens),
                ("waited_ms", &(now_ms - self.admitted.received_ms)),
                ("left_ms", &self.admitted.left_ms(now_ms)),
                ("last_event", &last),
                ("cause", &self.cause),
            ],
        );
    }

    fn note_broken(&self, error: &dyn std::fmt::Display) {
        let last = self.last_event.map_or_else(String::new, |e| e.to_string());
        emit(
            Event::RelayBroken,
            &[
                ("request", &self.admitted.id_text()),
                ("attempt", &self.ended.attempts),
                ("backend", &self.path.first().id),
                ("error", &error),
                ("last_event", &last),
                ("gap_ms", &self.pace.quiet_ms(now_ms())),
            ],
        );
    }

    fn note_changed(&self, path: &Path, result: &str) {
        let bad = self.path.stages.iter();
        let bad = bad.filter(|stage| stage.engine.is_suspect());
        let names: Vec<&str> =
            bad.map(|stage| stage.engine.id.as_str()).collect();
        emit(
            Event::PathChanged,
            &[
                ("request", &self.admitted.id_text()),
                ("without", &names.join(",")),
                ("backends", &path.names()),
                ("result", &result),
                ("gap_ms", &self.pace.quiet_ms(now_ms())),
            ],
        );
    }

    fn note_stalled(&self, quiet_ms: u64) {
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
