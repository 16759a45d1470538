//! What a backend server says of the process that runs.
//!
//! A port that accepts connections may be held open by another process, or the
//! server may have started again. An engine states its start time in its
//! report, a plain server its id in the response to a health check.

use std::{io, sync::Arc, time::Duration};

use chestnutreach_adapter::engine::parse_report;

use crate::{
    cluster::{
        engine::{Engine, StartOrder},
        probe,
    },
    core::Core,
    request::exchange::{self, with_timeout},
};

/// Answer of a server to the question which process runs.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum ProcessWord {
    /// The known process.
    Same,
    /// One with the id of the known process, which may have started again.
    SameId,
    /// A later one.
    Later,
    /// A response or an error that tells nothing.
    Unclear,
    /// No response in time.
    Unanswered,
}

/// Asks a server which process runs.
pub(crate) async fn ask(
    core: &Arc<Core>,
    engine: &Engine,
    timeout: Duration,
) -> ProcessWord {
    let is_model_engine = engine.lock().row.kind.is_some();
    let answer = async {
        match is_model_engine {
            true => ask_engine(core, engine).await,
            false => ask_plain_server(core, engine).await,
        }
    };
    let answer = with_timeout(timeout, answer).await;
    answer.unwrap_or(ProcessWord::Unanswered)
}

async fn ask_engine(core: &Arc<Core>, engine: &Engine) -> ProcessWord {
    let memory = &core.fleet.response_memory;
    let body = match exchange::fetch_report(memory, engine).await {
        Ok((200, body)) => body,
        Ok(_) | Err(_) => return ProcessWord::Unclear,
    };
    let Ok(report) = parse_report(body.as_slice()) else {
        return ProcessWord::Unclear;
    };
    match probe::report_start_order(engine, &report) {
        StartOrder::Same => ProcessWord::Same,
        StartOrder::Earlier => ProcessWord::Unclear,
        StartOrder::Later => ProcessWord::Later,
    }
}

async fn ask_plain_server(core: &Arc<Core>, engine: &Engine) -> ProcessWord {
    let Some(target) = core.health_path(&engine.service) else {
        return ProcessWord::Unclear;
    };
    match exchange::check_health(engine, &target).await {
        Ok((421, _)) => ProcessWord::Later,
        Ok((_, Some(id))) if id == engine.id => ProcessWord::SameId,
        Ok((_, Some(_))) => ProcessWord::Later,
        Ok((_, None)) | Err(_) => ProcessWord::Unclear,
    }
}

/// Whether the result of a connect comes from a process that runs. One with
/// too many connections resets others.
pub(crate) fn shows_process(connected: Result<(), io::ErrorKind>) -> bool {
    !matches!(
        connected,
        Err(io::ErrorKind::ConnectionRefused
            | io::ErrorKind::TimedOut
            | io::ErrorKind::HostUnreachable
            | io::ErrorKind::NetworkUnreachable)
    )
}
