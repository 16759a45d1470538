//! An open-loop load generator on threads of its own.
//!
//! Requests begin at times drawn beforehand, whether earlier ones have ended
//! or not, and every time is counted from when a request was meant to begin.
//! A server that stalls is thus charged with all that waited for it.

mod direct;
mod routed;
mod samples;

use std::{
    cell::RefCell,
    sync::Arc,
    thread,
    time::{Duration, Instant},
};

use async_executor::LocalExecutor;
use async_io::{Timer, block_on};
use futures_lite::FutureExt as _;

pub(crate) use self::{
    direct::Direct,
    routed::Routed,
    samples::{Quantiles, Samples, histogram},
};

/// Time that requests may take after the last one has begun.
const DRAIN_LIMIT: Duration = Duration::from_secs(20);
/// The prompt of every request, with a number before it so that no engine
/// finds it in its prefix cache.
const PROMPT: &str = "Summarise loan file of the Ndiaye cooperative";

/// Where requests go.
pub(crate) trait Target: Send + Sync + 'static {
    /// Makes one request; the times of its tokens since `intended`.
    fn request(
        &self,
        intended: Instant,
        max_tokens: u32,
    ) -> impl Future<Output = anyhow::Result<Vec<Duration>>>;
}

/// A load, set by chained methods.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Load {
    rate_per_s: f64,
    time: Duration,
    max_tokens: u32,
    threads: u32,
}

impl Load {
    /// Requests at this rate, one token each, for five seconds.
    pub(crate) fn new(rate_per_s: f64) -> Load {
        let time = Duration::from_secs(5);
        Load { rate_per_s, time, max_tokens: 1, threads: 3 }
    }

    /// How long requests begin.
    pub(crate) fn time(mut self, time: Duration) -> Load {
        self.time = time;
        self
    }

    /// Tokens of each request.
    pub(crate) fn max_tokens(mut self, count: u32) -> Load {
        self.max_tokens = count;
        self
    }

    /// Makes the load and waits for its end.
    pub(crate) fn run<T: Target>(self, target: &Arc<T>) -> Samples {
        let start = Instant::now();
        let threads: Vec<_> = (0..self.threads)
            .map(|_| {
                let target = target.clone();
                thread::spawn(move || self.run_thread(start, &*target))
            })
            .collect();
        let mut all = Samples::new();
        for thread in threads {
            all.add(&thread.join().expect("a load thread does not panic"));
        }
        all
    }

    fn run_thread<T: Target>(self, start: Instant, target: &T) -> Samples {
        let samples = &RefCell::new(Samples::new());
        let max_tokens = self.max_tokens;
        let executor = LocalExecutor::new();
        let run = async {
            let mut tasks = Vec::new();
            let end = start + self.time;
            let mut intended = start + self.next_gap();
            while intended < end {
                Timer::at(intended).await;
                samples.borrow_mut().begun(intended.elapsed());
                let one = async move {
                    let times = target.request(intended, max_tokens).await;
                    samples.borrow_mut().ended(times);
                };
                tasks.push(executor.spawn(one));
                intended += self.next_gap();
            }
            let all = async {
                for task in tasks {
                    task.await;
                }
            };
            let limit = async {
                Timer::after(DRAIN_LIMIT).await;
            };
            all.or(limit).await;
        };
        block_on(executor.run(run));
        drop(executor);
        samples.take()
    }

    /// Time to the next request of one thread, so that arrivals are a
    /// Poisson process.
    fn next_gap(&self) -> Duration {
        let mean_s = f64::from(self.threads) / self.rate_per_s;
        let share = 1.0 - fastrand::f64();
        Duration::from_secs_f64(-share.ln() * mean_s)
    }
}

/// The JSON of a request, with a prompt unlike any other.
fn request_json(max_tokens: u32) -> String {
    let number = fastrand::u64(..);
    format!(
        "{{\"model\":\"desk-llm\",\"stream\":true,\
         \"max_tokens\":{max_tokens},\"messages\":[{{\"role\":\"user\",\
         \"content\":\"{number} {PROMPT}\"}}]}}"
    )
}
