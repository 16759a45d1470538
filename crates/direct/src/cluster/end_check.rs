//! Whether a response is whole that ends with its connection.
//!
//! The connections of a process that exits are closed in order, as at the end
//! of a response. Such an end counts as that of the response only if the same
//! process runs afterwards, whether or not the server is known to leave. A
//! port that accepts connections does not show that: another process may hold
//! it open. If the server does not answer, the response counts as cut off: a
//! stream can be resumed, and a response that is lost is reported as such.

use std::{sync::Arc, time::Duration};

use async_io::Timer;

use crate::{
    clock::now_ms,
    cluster::{
        engine::Engine,
        probe,
        process_word::{self, ProcessWord, shows_process},
    },
    core::Core,
};

/// Pauses before the connects. The connections of a process may be closed
/// before its port, and on a busy machine much earlier.
const PAUSES: [Duration; 2] =
    [Duration::from_millis(20), Duration::from_millis(80)];
/// Time for the server to say which process runs.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(300);

/// Whether the response is cut off whose connection has just ended.
pub(crate) async fn is_cut_off(
    core: &Arc<Core>,
    engine: &Arc<Engine>,
) -> bool {
    for pause in PAUSES {
        Timer::after(pause).await;
        let connected = probe::look(core, engine, now_ms()).await;
        // A later start may have accepted the connection.
        if engine.lock().is_replaced || !shows_process(connected) {
            return true;
        }
    }
    match process_word::ask(core, engine, ANSWER_TIMEOUT).await {
        ProcessWord::Later | ProcessWord::Unanswered => true,
        ProcessWord::Same | ProcessWord::SameId | ProcessWord::Unclear => {
            false
        }
    }
}
