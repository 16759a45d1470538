//! Signals that stop a daemon.

use async_signal::{Signal, Signals};
use futures_lite::StreamExt as _;

/// Waits for SIGTERM or SIGINT and returns the name of the signal.
///
/// # Errors
///
/// The signals of the process can't be received.
pub(crate) async fn stop_signal() -> anyhow::Result<&'static str> {
    let mut signals = Signals::new([Signal::Term, Signal::Int])?;
    loop {
        match signals.next().await {
            Some(Ok(Signal::Term)) => return Ok("SIGTERM"),
            Some(Ok(Signal::Int)) => return Ok("SIGINT"),
            Some(Ok(_)) => {}
            Some(Err(e)) => return Err(e.into()),
            None => anyhow::bail!("the stream of signals has ended"),
        }
    }
}
