//! Measures how fast a configuration is in force at all entries after the
//! store was restored from an older copy.
//!
//! `cargo run --release -p chestnutreach-emulator --example restore_time --
//! BINARY ENTRIES DRILLS`

use std::{
    path::Path,
    time::{Duration, Instant},
};

use anyhow::Context as _;
use async_executor::LocalExecutor;
use async_io::Timer;
use chestnutreach_emulator::{
    running::{RunningSite, start},
    site::{KEY, Site},
    start_executor,
    store::StoreFault,
};

/// Pause between two reads of an entry's status.
const POLL_INTERVAL: Duration = Duration::from_millis(5);
/// Longest time that is waited for an entry.
const TIMEOUT: Duration = Duration::from_secs(20);
/// Time from the return of the store to the operator's rewrite.
const REWRITE_DELAY: Duration = Duration::from_millis(300);

fn main() -> anyhow::Result<()> {
    let arguments: Vec<String> = std::env::args().skip(1).collect();
    let [binary, entries, drills] = arguments.as_slice() else {
        anyhow::bail!("expected BINARY ENTRIES DRILLS");
    };
    let entries = entries.parse().context("ENTRIES")?;
    let drills: u64 = drills.parse().context("DRILLS")?;
    let site = Site { entries, ..Site::with_shared_feeds() };
    let executor = start_executor()?;
    async_io::block_on(async {
        let running = start(&executor, Path::new(binary), &site).await?;
        Timer::after(Duration::from_secs(3)).await;
        print_times("no drill", &change(&running).await);
        for number in 0..drills {
            let away = Duration::from_millis(200 + 900 * number);
            let calls = drill(&running, away).await;
            println!("away {away:?}: {calls} calls in the second after");
            print_times("  first change", &change(&running).await);
            Timer::after(Duration::from_secs(2)).await;
            print_times("  second change", &change(&running).await);
        }
        Ok(())
    })
}

/// Takes the store away and restores it; returns the calls in the second
/// after its return.
async fn drill(running: &RunningSite, away: Duration) -> u64 {
    let copy = running.store.copy();
    for number in 0..100 {
        running.store.put("other", "key", &serde_json::json!(number));
    }
    change(running).await;
    running.store.set_fault(StoreFault::Away);
    Timer::after(away).await;
    let before = running.store.calls();
    running.restore_store(copy, REWRITE_DELAY);
    Timer::after(Duration::from_secs(1)).await;
    running.store.calls() - before
}

/// Writes a configuration and returns the time until it is in force at each
/// entry.
async fn change(running: &RunningSite) -> Vec<Duration> {
    let version = running.configure(&[KEY]);
    let written = Instant::now();
    let executor = LocalExecutor::new();
    let wait = |entry| async move {
        while written.elapsed() < TIMEOUT {
            let status = running.status(entry).await.unwrap_or_default();
            if status["configuration"].as_u64() >= Some(version) {
                break;
            }
            Timer::after(POLL_INTERVAL).await;
        }
        written.elapsed()
    };
    let entries = 0..running.addresses.len();
    let waits: Vec<_> =
        entries.map(|entry| executor.spawn(wait(entry))).collect();
    let collect = async {
        let mut times = Vec::new();
        for wait in waits {
            times.push(wait.await);
        }
        times
    };
    executor.run(collect).await
}

fn print_times(what: &str, times: &[Duration]) {
    let mut sorted = times.to_vec();
    sorted.sort_unstable();
    let median = sorted[sorted.len() / 2];
    let max = sorted[sorted.len() - 1];
    println!("{what}: median {median:.0?}, last {max:.0?}");
}
