//! Benchmarks counting one token, on one thread and on several.

use std::{
    thread,
    time::{Duration, Instant},
};

use chestnutreach_telemetry::Metrics;

const TOKENS: u32 = 2_000_000;

fn main() {
    for threads in [1, 4] {
        let metrics = Metrics::new("entry", "vm-1");
        let max_elapsed = thread::scope(|scope| {
            let runs: Vec<_> = (0..threads)
                .map(|_| scope.spawn(|| count(&metrics)))
                .collect();
            let times = runs.into_iter().map(|r| r.join().unwrap());
            times.max().unwrap_or_default()
        });
        let per_token_ns = max_elapsed.as_nanos() as f64 / f64::from(TOKENS);
        println!("{threads} threads: {per_token_ns:.0} ns a token");
    }
}

/// Updates the metrics that an entry updates for each token: the counters of
/// the service and the account, and the time since the previous token.
fn count(metrics: &Metrics) -> Duration {
    let service = metrics.service("letters");
    let account = metrics.account("halls");
    let start = Instant::now();
    for _ in 0..TOKENS {
        service.tokens_delivered.inc();
        account.tokens_delivered.inc();
        service.time_between_tokens.observe(0.02);
    }
    start.elapsed()
}
