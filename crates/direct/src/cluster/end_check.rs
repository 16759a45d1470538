//! Whether a response is whole that ends with its connection.
//!
//! The connections of a process that exits are closed in order, as at the end
//! of a response. Such an end counts as that of the response only if the same
//! process accepts a connection afterwards, whether or not the server is
//! known to leave. If the server does not respond, the response counts as cut
//! off: a stream can be resumed, and a response that is lost is reported as
//! such.

use std::{io, sync::Arc, time::Duration};

use async_io::Timer;

use crate::{
    clock::now_ms,
    cluster::{engine::Engine, probe},
    core::Core,
};

/// Pauses before the connects. The connections of a process may be closed
/// before its port, and on a busy machine much earlier.
const PAUSES: [Duration; 2] =
    [Duration::from_millis(20), Duration::from_millis(80)];

/// Whether the response is cut off whose connection has just ended.
pub(crate) async fn is_cut_off(
    core: &Arc<Core>,
    engine: &Arc<Engine>,
) -> bool {
    for pause in PAUSES {
        Timer::after(pause).await;
        let connected = probe::look(core, engine, now_ms()).await;
        if has_ended(engine) || is_failure(connected) {
            return true;
        }
    }
    false
}

/// Whether the process of the engine has ended, by what is known of its id
/// and address: another one may have accepted the connection.
fn has_ended(engine: &Engine) -> bool {
    engine.lock().is_replaced
}

/// Whether the connect failed otherwise than by a process that runs, such as
/// one that has too many connections.
fn is_failure(connected: Result<(), io::ErrorKind>) -> bool {
    matches!(
        connected,
        Err(io::ErrorKind::ConnectionRefused
            | io::ErrorKind::TimedOut
            | io::ErrorKind::HostUnreachable
            | io::ErrorKind::NetworkUnreachable)
    )
}
