//! An open-loop load generator with its own threads.
//!
//! Requests start at scheduled times, whether or not earlier requests have
//! finished, and every time is measured from the scheduled start. The figures
//! of a stalled server thus include the wait of all requests that it delayed.

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
    direct::DirectTarget,
    routed::RoutedTarget,
    samples::{Quantiles, Samples, histogram},
};

/// Time that open requests have to finish after the last scheduled start.
const DRAIN_TIMEOUT: Duration = Duration::from_secs(20);
/// The prompt of every request. A number is put before the prompt so that no
/// engine finds it in its prefix cache.
const PROMPT: &str = "Summarise loan file of the Ndiaye cooperative";

/// A destination of requests.
pub(crate) trait Target: Send + Sync + 'static {
    /// Sends one request and returns its token times since `scheduled`.
    fn request(
        &self,
        scheduled: Instant,
        max_tokens: u32,
    ) -> impl Future<Output = anyhow::Result<Vec<Duration>>>;
}

/// Parameters of a load.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Load {
    rate_per_s: f64,
    duration: Duration,
    max_tokens: u32,
    threads: u32,
}

impl Load {
    /// Requests at this rate with one token each, for five seconds.
    pub(crate) fn new(rate_per_s: f64) -> Load {
        let duration = Duration::from_secs(5);
        Load { rate_per_s, duration, max_tokens: 1, threads: 3 }
    }

    /// Sets for how long new requests are started.
    pub(crate) fn duration(mut self, duration: Duration) -> Load {
        self.duration = duration;
        self
    }

    /// Sets the count of tokens per request.
    pub(crate) fn max_tokens(mut self, count: u32) -> Load {
        self.max_tokens = count;
        self
    }

    /// Runs the load on several threads and returns the merged samples.
    pub(crate) fn run<T: Target>(self, target: &Arc<T>) -> Samples {
        let start = Instant::now();
        let threads: Vec<_> = (0..self.threads)
            .map(|_| {
                let target = target.clone();
                thread::spawn(move || self.run_thread(start, &*target))
            })
            .collect();
        let mut merged = Samples::new();
        for thread in threads {
            merged
                .merge(&thread.join().expect("a load thread does not panic"));
        }
        merged
    }

    fn run_thread<T: Target>(self, start: Instant, target: &T) -> Samples {
        let samples = &RefCell::new(Samples::new());
        let max_tokens = self.max_tokens;
        let executor = LocalExecutor::new();
        let run = async {
            let mut tasks = Vec::new();
            let end = start + self.duration;
            let mut scheduled = start + self.next_interval();
            while scheduled < end {
                Timer::at(scheduled).await;
                samples.borrow_mut().record_begun(scheduled.elapsed());
                let request = async move {
                    let times = target.request(scheduled, max_tokens).await;
                    samples.borrow_mut().record_ended(times);
                };
                tasks.push(executor.spawn(request));
                scheduled += self.next_interval();
            }
            let all_requests = async {
                for task in tasks {
                    task.await;
                }
            };
            let timeout = async {
                Timer::after(DRAIN_TIMEOUT).await;
            };
            all_requests.or(timeout).await;
        };
        block_on(executor.run(run));
        drop(executor);
        samples.take()
    }

    /// Returns a random time until the next request of one thread, distributed
    /// so that arrivals form a Poisson process.
    fn next_interval(&self) -> Duration {
        let mean_s = f64::from(self.threads) / self.rate_per_s;
        let uniform = 1.0 - fastrand::f64();
        Duration::from_secs_f64(-uniform.ln() * mean_s)
    }
}

/// Returns the JSON of a request with a unique prompt.
fn request_json(max_tokens: u32) -> String {
    let number = fastrand::u64(..);
    format!(
        "{{\"model\":\"desk-llm\",\"stream\":true,\
         \"max_tokens\":{max_tokens},\"messages\":[{{\"role\":\"user\",\
         \"content\":\"{number} {PROMPT}\"}}]}}"
    )
}
