//! Checks whether the process of a backend server has exited, before a
//! request goes to more servers than its route allows.

use std::{io, net::SocketAddr, sync::Arc, time::Duration};

use async_channel::{Receiver, Sender};
use async_io::Timer;
use chestnutreach_http::relay::Outbound;
use chestnutreach_routing::{
    ExitStatus, FailureEvidence, SilenceCheck, SilenceVerdict, detect_exit,
    exit_detection::{ATTEMPT_INTERVAL_MS, SILENCE_TIMEOUT_MS},
};
use chestnutreach_telemetry::{Event, emit};
use futures_lite::FutureExt as _;

use crate::{
    clock::now_ms,
    cluster::{engine::Engine, probe},
    core::Core,
};

/// A run that a request left, and whose engine may still work on it.
pub(crate) struct LeftRun {
    pub(crate) engine: Arc<Engine>,
    /// Whether the engine had ended the connection of the run.
    pub(crate) has_connection_ended: bool,
}

/// Whether the process of an engine has exited. Only if `is_patient`, waits
/// for a check that decides an unclear case. A process at the address of a
/// removed engine may be another process, but counts as the same.
pub(crate) async fn has_exited(
    core: &Arc<Core>,
    run: &LeftRun,
    request: &str,
    is_patient: bool,
) -> bool {
    let began_ms = now_ms();
    let LeftRun { engine, has_connection_ended } = run;
    if !engine.lock().is_removed {
        // What the probe shows is recorded in the state of the engine.
        let _ = probe::look(core, engine, now_ms()).await;
    }
    let (is_removed, is_replaced, suspicion) = {
        let state = engine.lock();
        (state.is_removed, state.is_replaced, state.suspicion)
    };
    let evidence = suspicion.map(|s| s.evidence);
    let needs_check = match detect_exit(evidence, *has_connection_ended) {
        ExitStatus::Exited => false,
        // Another writer may have stored the row of the later process.
        _ if is_replaced && *has_connection_ended => false,
        ExitStatus::Unknown => true,
        ExitStatus::Alive if is_removed => true,
        ExitStatus::Alive => return false,
    };
    if needs_check && !(is_patient && is_unreachable(core, run).await) {
        return false;
    }
    let lasted_ms = suspicion.map_or(0, |s| now_ms() - s.since_ms);
    let evidence = evidence.map_or("", FailureEvidence::as_str);
    emit(
        Event::ExitCounted,
        &[
            ("request", &request),
            ("backend", &engine.id),
            ("evidence", &evidence),
            ("lasted_ms", &lasted_ms),
            ("is_removed", &is_removed),
            ("is_replaced", &is_replaced),
            ("has_connection_ended", has_connection_ended),
            ("is_checked", &needs_check),
            ("checked_ms", &(now_ms() - began_ms)),
        ],
    );
    true
}

/// Whether an engine is silent, or refuses connections after it ended that of
/// the run; false if this entry can't tell.
async fn is_unreachable(core: &Arc<Core>, run: &LeftRun) -> bool {
    let LeftRun { engine, has_connection_ended } = run;
    let began_ms = now_ms();
    let mut check = SilenceCheck::new();
    let (sender, results) = async_channel::unbounded();
    loop {
        let interval_began_ms = now_ms();
        let attempt = attempt(engine.address, sender.clone());
        core.executor.spawn(attempt).detach();
        // Any other answer comes from a process, or from this VM itself.
        if let Some(result) = first_result(&results).await {
            let is_refused = result
                .is_err_and(|e| e.kind() == io::ErrorKind::ConnectionRefused);
            return is_refused && *has_connection_ended;
        }
        // Streams that make progress prove more than attempts do.
        if engine.quiet_ms(now_ms()) < now_ms() - began_ms {
            return false;
        }
        match check.record_interval(now_ms() - interval_began_ms) {
            SilenceVerdict::Undecided => {}
            SilenceVerdict::Silent => return true,
            SilenceVerdict::Inconclusive => return false,
        }
    }
}

/// Connects, and reports the result.
async fn attempt(address: SocketAddr, results: Sender<io::Result<()>>) {
    let timeout = Duration::from_millis(SILENCE_TIMEOUT_MS);
    let connected = Outbound::connect(address, timeout).await.map(drop);
    // The check may have ended.
    let _ = results.try_send(connected);
}

/// The first result within an interval that is not a timeout.
async fn first_result(
    results: &Receiver<io::Result<()>>,
) -> Option<io::Result<()>> {
    let result = async {
        loop {
            match results.recv().await {
                Ok(Err(e)) if e.kind() == io::ErrorKind::TimedOut => {}
                result => return result.ok(),
            }
        }
    };
    let interval_ends = async {
        Timer::after(Duration::from_millis(ATTEMPT_INTERVAL_MS)).await;
        None
    };
    result.or(interval_ends).await
}
