//! Running several calls concurrently.

use std::{convert::Infallible, future::Future};

use async_executor::Executor;

/// Maximum concurrent calls. With a slow store, hundreds of sequential calls
/// would take too long.
pub(crate) const MAX_CONCURRENT_CALLS: usize = 32;

/// Runs calls concurrently and returns their results in the order of the
/// calls, or an error if any call fails.
pub(crate) async fn try_join_all<T, E, F>(
    calls: impl IntoIterator<Item = F>,
) -> Result<Vec<T>, E>
where
    F: Future<Output = Result<T, E>> + Send,
    T: Send,
    E: Send,
{
    let mut results = Vec::new();
    let mut calls = calls.into_iter().peekable();
    while calls.peek().is_some() {
        let executor = Executor::new();
        let next = calls.by_ref().take(MAX_CONCURRENT_CALLS);
        let tasks: Vec<_> = next.map(|call| executor.spawn(call)).collect();
        let chunk = async {
            for task in tasks {
                results.push(task.await?);
            }
            Ok(())
        };
        executor.run(chunk).await?;
    }
    Ok(results)
}

/// Runs calls concurrently and returns their results in the order of the
/// calls.
pub async fn join_all<T, F>(calls: impl IntoIterator<Item = F>) -> Vec<T>
where
    F: Future<Output = T> + Send,
    T: Send,
{
    let mut infallible = Vec::new();
    for call in calls {
        infallible.push(infallible_call(call));
    }
    let Ok(results) = try_join_all(infallible).await;
    results
}

async fn infallible_call<T>(
    call: impl Future<Output = T>,
) -> Result<T, Infallible> {
    Ok(call.await)
}
