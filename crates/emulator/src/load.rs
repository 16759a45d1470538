//! Requests at their times.
//!
//! Open loop: a request begins at its time, also when earlier ones wait.

use std::{
    collections::BTreeMap,
    net::SocketAddr,
    sync::Arc,
    time::{Duration, Instant},
};

use async_executor::Executor;
use async_io::Timer;

use crate::caller::{Outcome, RequestKind, RequestSpec, send_request};

/// Requests a second of each kind, for a time.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Load {
    /// Requests a second.
    pub per_s: BTreeMap<RequestKind, f64>,
    /// How long requests begin.
    pub duration: Duration,
    /// Events of a stream.
    pub events: u64,
    /// Seed of times and entries.
    pub seed: u64,
}

/// Makes all requests; their outcomes in the order of their ends.
pub async fn run(
    executor: &Arc<Executor<'static>>,
    load: &Load,
    entries: &[SocketAddr],
) -> Vec<Outcome> {
    let mut rng = fastrand::Rng::with_seed(load.seed);
    let (sender, ended) = async_channel::unbounded();
    let start = Instant::now();
    let entries: Arc<[SocketAddr]> = entries.into();
    for (number, (at, kind)) in times(load, &mut rng).into_iter().enumerate() {
        let token = format!("t{:x}-{number}", load.seed);
        let wish = RequestSpec::new(kind, &token, load.events);
        let (entries, sender) = (entries.clone(), sender.clone());
        let first = rng.usize(..entries.len());
        let task = async move {
            Timer::at(start + at).await;
            let outcome = send_request(&wish, &entries, first, at).await;
            // The receiver waits for all.
            let _ = sender.send(outcome).await;
        };
        executor.spawn(task).detach();
    }
    drop(sender);
    let mut outcomes = Vec::new();
    while let Ok(outcome) = ended.recv().await {
        outcomes.push(outcome);
    }
    outcomes
}

/// When requests of which kind begin.
fn times(
    load: &Load,
    rng: &mut fastrand::Rng,
) -> Vec<(Duration, RequestKind)> {
    let mut times = Vec::new();
    for (kind, per_s) in &load.per_s {
        let mut at_s = 0.0;
        loop {
            // Exponential pauses make a Poisson process.
            at_s += -(1.0 - rng.f64()).ln() / per_s.max(1e-9);
            if at_s >= load.duration.as_secs_f64() {
                break;
            }
            times.push((Duration::from_secs_f64(at_s), *kind));
        }
    }
    times.sort();
    times
}
