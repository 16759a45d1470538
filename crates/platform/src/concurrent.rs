//! Several calls of one kind at once.

use std::{convert::Infallible, future::Future};

use async_executor::Executor;

/// Calls in flight; a slow store would make hundreds in a row too long.
pub(crate) const CALLS_AT_ONCE: usize = 32;

/// Makes calls, and ends at the first error. Answers come in the order of
/// the calls.
pub(crate) async fn try_join_all<T, E, F>(
    calls: impl IntoIterator<Item = F>,
) -> Result<Vec<T>, E>
where
    F: Future<Output = Result<T, E>> + Send,
    T: Send,
    E: Send,
{
    let mut answers = Vec::new();
    let mut calls = calls.into_iter().peekable();
    while calls.peek().is_some() {
        let executor = Executor::new();
        let some = calls.by_ref().take(CALLS_AT_ONCE);
        let tasks: Vec<_> = some.map(|call| executor.spawn(call)).collect();
        let chunk = async {
            for task in tasks {
                answers.push(task.await?);
            }
            Ok(())
        };
        executor.run(chunk).await?;
    }
    Ok(answers)
}

/// Makes calls, and gives the answer of each in their order.
pub async fn join_all<T, F>(calls: impl IntoIterator<Item = F>) -> Vec<T>
where
    F: Future<Output = T> + Send,
    T: Send,
{
    let mut sure = Vec::new();
    for call in calls {
        sure.push(without_error(call));
    }
    let Ok(answers) = try_join_all(sure).await;
    answers
}

async fn without_error<T>(
    call: impl Future<Output = T>,
) -> Result<T, Infallible> {
    Ok(call.await)
}
