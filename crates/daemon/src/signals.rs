//! The signals that stop a daemon.

use async_signal::{Signal, Signals};
use futures_lite::StreamExt as _;

/// Waits for SIGTERM or SIGINT; its name.
///
/// # Errors
///
/// The system does not hand over signals.
pub(crate) async fn stop_signal() -> anyhow::Result<&'static str> {
    let mut signals = Signals::new([Signal::Term, Signal::Int])?;
    loop {
        match signals.next().await {
            Some(Ok(Signal::Term)) => return Ok("SIGTERM"),
            Some(Ok(Signal::Int)) => return Ok("SIGINT"),
            Some(Ok(_)) => {}
            Some(Err(e)) => return Err(e.into()),
            None => anyhow::bail!("the signals have ended"),
        }
    }
}
