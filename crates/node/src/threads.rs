//! Threads that run the tasks of a process.

use std::{io, sync::Arc, thread};

use async_executor::Executor;
use futures_lite::future;

/// Starts `count` threads that run the executor's tasks until the process
/// exits.
///
/// # Errors
///
/// The operating system could not start a thread.
pub fn start(
    executor: &Arc<Executor<'static>>,
    count: usize,
) -> io::Result<()> {
    for index in 0..count {
        let executor = executor.clone();
        let run = move || {
            async_io::block_on(executor.run(future::pending::<()>()));
        };
        thread::Builder::new().name(format!("worker-{index}")).spawn(run)?;
    }
    Ok(())
}
