//! Planned stops and reloads.

use std::{
    io::{Read as _, Write as _},
    net::TcpStream,
    time::{Duration, Instant},
};

use async_io::Timer;
use chestnutreach_emulator::{
    caller::{RequestKind, RequestSpec},
    experiment::{Fault, FaultKind},
    site::Site,
    store::StoreFault,
};
use rustix::process::Signal;

use crate::support::{
    assert_all_served, on, on_site, one, streams, wait_until,
};

#[test]
fn a_stop_cuts_nothing_and_ends_clean() {
    let site = Site { events: 150, ..Site::small() };
    on(&site, async |running| {
        let wish = RequestSpec {
            max_attempts: 1,
            ..RequestSpec::new(RequestKind::Stream, "a", 150)
        };
        let stop = async {
            Timer::after(Duration::from_millis(400)).await;
            running.signal(0, Signal::TERM);
        };
        let stream = one(running, 0, &wish);
        let (outcome, ()) = futures_lite::future::zip(stream, stop).await;
        assert!(outcome.is_served(), "{outcome:?}");
        assert!(outcome.violations.is_empty(), "{outcome:?}");
        wait_until("it ends", async || running.exit_code(0) == Some(0)).await;
    });
}

#[test]
fn the_balancer_is_told_at_once() {
    on_site(async |running| {
        assert!(running.is_ready(0).await);
        running.signal(0, Signal::TERM);
        wait_until("it says that it is not ready", async || {
            !running.is_ready(0).await
        })
        .await;
        assert_eq!(running.exit_code(0), None, "it serves on for a moment");
    });
}

/// A client could not tell whether a request ran whose connection ended
/// without an answer.
#[test]
fn a_stop_answers_what_it_has_begun_to_read() {
    on_site(async |running| {
        let mut client = TcpStream::connect(running.addresses[0]).unwrap();
        let limit = Some(Duration::from_secs(10));
        client.set_read_timeout(limit).unwrap();
        let head = "POST /once/a HTTP/1.1\r\nHost: a.example\r\n\
                    Content-Length: 5\r\n\r\nhe";
        client.write_all(head.as_bytes()).unwrap();
        running.signal(0, Signal::TERM);
        // Longer than a stop lasts where nothing is to be ended.
        Timer::after(Duration::from_millis(3_300)).await;
        assert_eq!(running.exit_code(0), None, "it waits for the rest");
        client.write_all(b"llo").unwrap();
        let mut answer = Vec::new();
        client.read_to_end(&mut answer).unwrap();
        let answer = String::from_utf8_lossy(&answer);
        assert!(answer.starts_with("HTTP/1.1 503 "), "{answer}");
        wait_until("it ends", async || running.exit_code(0) == Some(0)).await;
    });
}

/// What waits in the queue of the port of a process that ends is cut unread;
/// so the port closes before, and clients are refused.
#[test]
fn the_port_closes_before_a_stopping_entry_ends() {
    let site = Site { events: 450, ..Site::small() };
    on(&site, async |running| {
        let wish = RequestSpec {
            max_attempts: 1,
            ..RequestSpec::new(RequestKind::Stream, "a", 450)
        };
        let refused = async {
            Timer::after(Duration::from_millis(400)).await;
            running.signal(0, Signal::TERM);
            let started = Instant::now();
            let address = running.addresses[0];
            wait_until("connections are refused", async || {
                TcpStream::connect(address).is_err()
            })
            .await;
            (started.elapsed(), running.exit_code(0))
        };
        // It keeps the entry from ending.
        let stream = one(running, 0, &wish);
        let (_, (elapsed, exit)) =
            futures_lite::future::zip(stream, refused).await;
        assert_eq!(exit, None, "it ended before its port closed");
        assert!(elapsed >= Duration::from_millis(2_500), "{elapsed:?}");
    });
}

#[test]
fn a_rolling_restart_under_load_loses_nothing() {
    on_site(async |running| {
        let load = streams(15.0, Duration::from_secs(6));
        let stop = |at_ms| Fault {
            at: Duration::from_millis(at_ms),
            kind: FaultKind::EntryStops,
            duration: Duration::ZERO,
        };
        let faults = [stop(500), stop(3_500)];
        assert_all_served(&running.run(&load, &faults).await);
    });
}

#[test]
fn a_hang_up_reloads_and_cuts_nothing() {
    on_site(async |running| {
        let load = streams(15.0, Duration::from_secs(2));
        let hang_up = Fault {
            at: Duration::from_millis(700),
            kind: FaultKind::EntryHangsUp,
            duration: Duration::ZERO,
        };
        assert_all_served(&running.run(&load, &[hang_up]).await);
        wait_until("the reload is in the logs", async || {
            running.logs().contains("settings_reloaded")
        })
        .await;
    });
}

#[test]
fn another_entry_plans_when_the_planner_dies() {
    on_site(async |running| {
        let planner = running.planner().await.expect("one entry plans");
        running.kill(planner);
        wait_until("another entry plans", async || {
            running.planner().await.is_some_and(|new| new != planner)
        })
        .await;
        running.inject_fault(
            &Fault {
                at: Duration::ZERO,
                kind: FaultKind::EngineEnds,
                duration: Duration::from_millis(100),
            },
            &mut fastrand::Rng::with_seed(1),
        );
        wait_until("it fills the gap", async || {
            running.backends.has_full_coverage()
                && running.backends.engines().len() == 10
        })
        .await;
    });
}

#[test]
fn one_entry_stands_in_while_nobody_can_hold_the_lease() {
    on_site(async |running| {
        running.store.set_fault(StoreFault::Silent);
        wait_until("an entry stands in", async || {
            running.logs().contains("\"stands_in\":\"true\"")
        })
        .await;
        let logs = running.logs();
        let began = |line: &&str| line.contains("\"stands_in\":\"true\"");
        assert_eq!(logs.lines().filter(began).count(), 1, "one of all");
        running.store.set_fault(StoreFault::None);
        wait_until("it leaves the orders to a holder", async || {
            running.planner().await.is_some()
                && running.logs().contains("\"stands_in\":\"false\"")
        })
        .await;
    });
}

#[test]
fn nothing_is_started_after_a_site_has_ended() {
    let entries = on_site(async |running| {
        // An entry that a lasting fault would start again later.
        let fault = Fault {
            at: Duration::ZERO,
            kind: FaultKind::EntryKilled,
            duration: Duration::from_millis(200),
        };
        running.inject_fault(&fault, &mut fastrand::Rng::with_seed(2));
        running.entries.clone()
    });
    async_io::block_on(Timer::after(Duration::from_millis(600)));
    let mut entries = entries.lock().unwrap();
    assert!(entries.start_entry(0).is_err());
    assert!((0..entries.count()).all(|index| !entries.is_running(index)));
}
