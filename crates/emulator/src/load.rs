//! Sends requests on a schedule.
//!
//! The load is open-loop: a request starts at its scheduled time, even while
//! earlier requests wait for responses.

use std::{
    collections::BTreeMap,
    net::SocketAddr,
    sync::Arc,
    time::{Duration, Instant},
};

use async_executor::Executor;
use async_io::Timer;

use crate::{
    caller::{Outcome, RequestKind, RequestSpec, send_request},
    site::COMMON_PART,
};

/// Rates of requests by kind, for some time.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Load {
    /// Requests per second by kind.
    pub per_s: BTreeMap<RequestKind, f64>,
    /// Time during which requests start.
    pub duration: Duration,
    /// Events per stream.
    pub events: u64,
    /// Seed for start times and choice of entries.
    pub seed: u64,
}

/// Sends all requests and returns their outcomes in order of completion.
pub async fn run(
    executor: &Arc<Executor<'static>>,
    load: &Load,
    entries: &[SocketAddr],
) -> Vec<Outcome> {
    let mut rng = fastrand::Rng::with_seed(load.seed);
    let (sender, finished) = async_channel::unbounded();
    let start = Instant::now();
    let entries: Arc<[SocketAddr]> = entries.into();
    for (number, (at, kind)) in
        schedule(load, &mut rng).into_iter().enumerate()
    {
        let token = format!("t{:x}-{number}", load.seed);
        let mut spec = RequestSpec::new(kind, &token, load.events);
        if kind.is_stream() {
            spec.shared_parts = vec![COMMON_PART.to_owned()];
        }
        let (entries, sender) = (entries.clone(), sender.clone());
        let first_entry = rng.usize(..entries.len());
        let task = async move {
            Timer::at(start + at).await;
            let outcome = send_request(&spec, &entries, first_entry, at).await;
            // The receiver outlives all senders.
            let _ = sender.send(outcome).await;
        };
        executor.spawn(task).detach();
    }
    drop(sender);
    let mut outcomes = Vec::new();
    while let Ok(outcome) = finished.recv().await {
        outcomes.push(outcome);
    }
    outcomes
}

/// Start times of the requests, with their kinds.
fn schedule(
    load: &Load,
    rng: &mut fastrand::Rng,
) -> Vec<(Duration, RequestKind)> {
    let mut times = Vec::new();
    for (kind, per_s) in &load.per_s {
        let mut at_s = 0.0;
        loop {
            // Exponential intervals give a Poisson process.
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
