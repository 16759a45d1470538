//! Planned stops, reloads of the settings, and changes of the planner.

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
    assert_all_served, send_request, stream_load, wait_until, with_site,
    with_small_site,
};

#[test]
fn a_stop_aborts_no_request_and_exits_with_success() {
    let site = Site { events: 150, ..Site::small() };
    with_site(&site, async |running| {
        let wish = RequestSpec {
            max_attempts: 1,
            ..RequestSpec::new(RequestKind::Stream, "a", 150)
        };
        let stop = async {
            Timer::after(Duration::from_millis(400)).await;
            running.signal(0, Signal::TERM);
        };
        let stream = send_request(running, 0, &wish);
        let (outcome, ()) = futures_lite::future::zip(stream, stop).await;
        assert!(outcome.is_served(), "{outcome:?}");
        assert!(outcome.violations.is_empty(), "{outcome:?}");
        wait_until("the entry exits", async || {
            running.exit_code(0) == Some(0)
        })
        .await;
    });
}

#[test]
fn a_stopping_entry_reports_immediately_that_it_is_not_ready() {
    with_small_site(async |running| {
        assert!(running.is_ready(0).await);
        running.signal(0, Signal::TERM);
        wait_until("the entry is not ready", async || {
            !running.is_ready(0).await
        })
        .await;
        assert_eq!(running.exit_code(0), None, "the entry serves for a while");
    });
}

/// If the connection closed without a response, the client couldn't know
/// whether the request ran.
#[test]
fn a_stopping_entry_responds_to_a_partly_read_request() {
    with_small_site(async |running| {
        let mut client = TcpStream::connect(running.addresses[0]).unwrap();
        let limit = Some(Duration::from_secs(10));
        client.set_read_timeout(limit).unwrap();
        let head = "POST /once/a HTTP/1.1\r\nHost: a.example\r\n\
                    Content-Length: 5\r\n\r\nhe";
        client.write_all(head.as_bytes()).unwrap();
        running.signal(0, Signal::TERM);
        // Longer than a stop without requests in progress takes.
        Timer::after(Duration::from_millis(3_300)).await;
        assert_eq!(running.exit_code(0), None, "the entry waits for the body");
        client.write_all(b"llo").unwrap();
        let mut response = Vec::new();
        client.read_to_end(&mut response).unwrap();
        let response = String::from_utf8_lossy(&response);
        assert!(response.starts_with("HTTP/1.1 503 "), "{response}");
        wait_until("the entry exits", async || {
            running.exit_code(0) == Some(0)
        })
        .await;
    });
}

/// When a process exits, connections in the accept queue of its port are reset
/// unread. So the port closes earlier, and clients are refused.
#[test]
fn the_port_closes_before_a_stopping_entry_exits() {
    let site = Site { events: 450, ..Site::small() };
    with_site(&site, async |running| {
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
        // The stream keeps the entry from exiting.
        let stream = send_request(running, 0, &wish);
        let (_, (elapsed, exit)) =
            futures_lite::future::zip(stream, refused).await;
        assert_eq!(exit, None, "the entry exited before its port closed");
        assert!(elapsed >= Duration::from_millis(2_500), "{elapsed:?}");
    });
}

#[test]
fn a_rolling_restart_under_load_loses_no_request() {
    with_small_site(async |running| {
        let load = stream_load(15.0, Duration::from_secs(6));
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
fn a_sighup_reloads_the_settings_and_aborts_no_request() {
    with_small_site(async |running| {
        let load = stream_load(15.0, Duration::from_secs(2));
        let sighup = Fault {
            at: Duration::from_millis(700),
            kind: FaultKind::EntryHangsUp,
            duration: Duration::ZERO,
        };
        assert_all_served(&running.run(&load, &[sighup]).await);
        wait_until("the reload is in the logs", async || {
            running.logs().contains("settings_reloaded")
        })
        .await;
    });
}

#[test]
fn another_entry_becomes_planner_when_the_planner_is_killed() {
    with_small_site(async |running| {
        let planner =
            running.planner().await.expect("an entry is the planner");
        running.kill(planner);
        wait_until("another entry is the planner", async || {
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
        wait_until("the new planner fills the gap", async || {
            running.backends.has_full_coverage()
                && running.backends.engines().len() == 10
        })
        .await;
    });
}

#[test]
fn one_entry_is_deputy_planner_while_no_entry_can_hold_the_lease() {
    with_small_site(async |running| {
        running.store.set_fault(StoreFault::Silent);
        wait_until("an entry is the deputy planner", async || {
            running.logs().contains("\"stands_in\":\"true\"")
        })
        .await;
        let logs = running.logs();
        let is_start = |line: &&str| line.contains("\"stands_in\":\"true\"");
        assert_eq!(
            logs.lines().filter(is_start).count(),
            1,
            "only one deputy"
        );
        running.store.set_fault(StoreFault::None);
        wait_until("the lease holder gives the orders again", async || {
            running.planner().await.is_some()
                && running.logs().contains("\"stands_in\":\"false\"")
        })
        .await;
    });
}

#[test]
fn no_entry_is_started_after_a_site_was_shut_down() {
    let entries = with_small_site(async |running| {
        // The fault would restart the entry after 200 ms.
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
