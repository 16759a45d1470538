//! Client of the control ports of daemons.

use std::{net::SocketAddr, time::Duration};

use async_executor::Executor;
use chestnutreach_control::{ControlClient, ControlError};
use clap::Arg;

use crate::{args, exit::Exit};

/// Name of the option with the control addresses.
pub(crate) const CONTROL: &str = "control";
/// Default of `--timeout-ms` for control calls.
pub(crate) const TIMEOUT_MS: &str = "2000";

/// The option `--control`, which takes several addresses.
pub(crate) fn control() -> Arg {
    args::addresses(CONTROL, "Control addresses of daemons")
}

/// Connects to a daemon. `timeout` applies to the connection and to each
/// call.
pub(crate) async fn connect(
    address: SocketAddr,
    timeout: Duration,
) -> Result<ControlClient, ControlError> {
    let client = ControlClient::connect(address, timeout).await?;
    Ok(client.call_timeout(timeout))
}

/// Queries all addresses concurrently, so that an unresponsive daemon does not
/// delay the others. The results are in the order of the addresses.
pub(crate) async fn query_all<T, F>(
    addresses: &[SocketAddr],
    query: impl Fn(SocketAddr) -> F,
) -> Vec<T>
where
    T: Send,
    F: Future<Output = T> + Send,
{
    let executor = Executor::new();
    let tasks: Vec<_> = addresses
        .iter()
        .map(|address| executor.spawn(query(*address)))
        .collect();
    let all = async {
        let mut results = Vec::with_capacity(tasks.len());
        for task in tasks {
            results.push(task.await);
        }
        results
    };
    executor.run(all).await
}

/// The exit code after a failed control call.
pub(crate) fn exit_of(error: &ControlError) -> Exit {
    match error {
        ControlError::Unreachable { .. } | ControlError::Closed { .. } => {
            Exit::Lagging
        }
        ControlError::Timeout { .. } | ControlError::ConnectionLost { .. } => {
            Exit::Unknown
        }
        _ => Exit::Failed,
    }
}
