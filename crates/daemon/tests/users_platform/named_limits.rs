//! Servers that name how many requests a second they take.

use std::{
    net::{SocketAddr, UdpSocket},
    time::{Duration, Instant},
};

use async_io::Timer;
use chestnutreach_emulator::{
    caller::{AttemptEnd, RequestKind},
    load::Load,
    running::RunningSite,
    site::Site,
};
use chestnutreach_protocol::peers::{
    EngineNotice, PeerState, PermitAsk, PermitGrant,
};
use prost::Message as _;
use rstest::rstest;

use crate::support::{assert_all_served_at, assert_kept, on_site};

/// Time within which all entries know of what happened, as of the platform's
/// bound on contact.
const CONTACT: Duration = Duration::from_millis(3_000);
/// Span in which requests are counted.
const SPAN: Duration = Duration::from_secs(4);
/// Share of a limit that is used at least while more is asked for.
const LEAST_USE: f64 = 0.7;
/// How long a server names a limit.
const NAMED_FOR: Duration = Duration::from_secs(10);

/// A server that names a limit.
#[derive(Clone, Copy, Debug)]
struct Limited {
    kind: RequestKind,
    /// Requests of that kind a second, at all servers.
    asked_per_s: f64,
    limit_per_s: f64,
}

impl Limited {
    /// Most requests in a span, as of the platform's rule.
    fn allowed(self) -> usize {
        (1.5 * self.limit_per_s * SPAN.as_secs_f64()) as usize + 5
    }

    fn load(self, duration: Duration) -> Load {
        Load {
            per_s: [(self.kind, self.asked_per_s)].into(),
            duration,
            events: Site::small().events,
            seed: 32,
        }
    }
}

/// What entries told of limits.
fn told(running: &RunningSite) -> String {
    let logs = running.logs();
    let is_told = |line: &&str| line.contains("\"limit_");
    let lines: Vec<&str> = logs.lines().filter(is_told).collect();
    lines.join("\n")
}

#[rstest]
#[case::streams(Limited {
    kind: RequestKind::Stream, asked_per_s: 24.0, limit_per_s: 2.0,
})]
#[case::streams_one_a_second(Limited {
    kind: RequestKind::Stream, asked_per_s: 24.0, limit_per_s: 1.0,
})]
#[case::idempotent(Limited {
    kind: RequestKind::Idempotent, asked_per_s: 16.0, limit_per_s: 3.0,
})]
#[case::once(Limited {
    kind: RequestKind::Once, asked_per_s: 16.0, limit_per_s: 3.0,
})]
fn a_server_gets_no_more_than_the_limit_that_it_named(
    #[case] limited: Limited,
) {
    on_site(async |running| {
        let server = warm_up(running, limited).await;
        set_limit(running, server, Some(limited.limit_per_s));
        let report = running.run(&limited.load(NAMED_FOR), &[]).await;
        assert_all_served_at(running, &report);
        let arrivals = Arrivals::of(running, server);
        arrivals.assert_within(running, limited);
        let used = arrivals.count as f64 / arrivals.length_s;
        let share = used / limited.limit_per_s;
        assert!(share >= LEAST_USE, "{share:.2} of the limit used");
    });
}

#[rstest]
#[case::killed(false)]
#[case::restarted(true)]
fn a_lost_entry_does_not_break_a_limit(#[case] is_back: bool) {
    let limited = Limited {
        kind: RequestKind::Stream,
        asked_per_s: 24.0,
        limit_per_s: 2.0,
    };
    on_site(async |running| {
        let server = warm_up(running, limited).await;
        set_limit(running, server, Some(limited.limit_per_s));
        let load = limited.load(NAMED_FOR);
        let lose = async {
            // Each entry in turn: one of them grants the permits.
            for entry in 0..running.addresses.len() {
                Timer::after(Duration::from_millis(2_500)).await;
                match is_back {
                    true => running.restart_entry(entry),
                    false if entry == 0 => running.kill(entry),
                    false => {}
                }
            }
        };
        let played = running.run(&load, &[]);
        futures_lite::future::zip(played, lose).await;
        Arrivals::of(running, server).assert_within(running, limited);
    });
}

/// A server that needs no limit any more takes its usual share again.
#[test]
fn a_limit_ends_with_the_need() {
    let limited = Limited {
        kind: RequestKind::Idempotent,
        asked_per_s: 20.0,
        limit_per_s: 2.0,
    };
    on_site(async |running| {
        let server = warm_up(running, limited).await;
        set_limit(running, server, Some(limited.limit_per_s));
        let second = Duration::from_secs(1);
        running.run(&limited.load(4 * second), &[]).await;
        set_limit(running, server, None);
        running.run(&limited.load(second), &[]).await;
        let ended = Instant::now();
        let report = running.run(&limited.load(2 * second), &[]).await;
        assert_all_served_at(running, &report);
        let id = running.backends.server(server).expect("it runs").id;
        let times = (ended, Instant::now());
        let arrivals =
            report.observations.max_arrivals(&id, 3 * second, times);
        // Half of 40 is its share of two servers, and 4 its limit.
        assert!(arrivals >= 12, "{arrivals} of 40\n{}", told(running));
    });
}

/// Where all servers are limited, what they offer is used, and what finds no
/// permit in its time is refused, mostly at once.
#[test]
fn what_finds_no_permit_is_told_when_to_come_back() {
    let limited = Limited {
        kind: RequestKind::Idempotent,
        asked_per_s: 20.0,
        limit_per_s: 2.0,
    };
    on_site(async |running| {
        warm_up(running, limited).await;
        let servers = running.backends.plain_servers();
        for server in &servers {
            set_limit(running, *server, Some(limited.limit_per_s));
        }
        let report = running.run(&limited.load(NAMED_FOR), &[]).await;
        assert_kept(&report);
        for server in &servers {
            Arrivals::of(running, *server).assert_within(running, limited);
        }
        let served = report.outcomes.iter().filter(|o| o.is_served()).count();
        let offered = 2.0 * limited.limit_per_s * NAMED_FOR.as_secs_f64();
        let share = served as f64 / offered;
        assert!(share >= LEAST_USE, "{share:.2} of what is offered served");
        let attempts = report.outcomes.iter().flat_map(|o| &o.attempts);
        let unanswered = attempts.filter(|t| {
            !matches!(t.end, AttemptEnd::Whole | AttemptEnd::Status(503))
        });
        assert_eq!(unanswered.count(), 0, "{}", report.to_text());
    });
}

/// A value that is no limit changes nothing, and a zero keeps no server out.
#[rstest]
#[case::nothing("", 10)]
#[case::negative("-1", 10)]
#[case::not_a_number("NaN", 10)]
#[case::exponent("1e308", 10)]
#[case::huge("999999999999", 10)]
#[case::zero("0", 1)]
fn any_value_is_borne(#[case] value: &str, #[case] least: usize) {
    let load = Limited {
        kind: RequestKind::Idempotent,
        asked_per_s: 16.0,
        limit_per_s: 1.0,
    };
    on_site(async |running| {
        let server = warm_up(running, load).await;
        running.backends.update_server(server, |server| {
            server.announced_limit = Some(value.to_owned());
        });
        let duration = Duration::from_secs(6);
        let report = running.run(&load.load(duration), &[]).await;
        assert_all_served_at(running, &report);
        let id = running.backends.server(server).expect("it runs").id;
        let named_at = report.observations.limit_announced_at[&id];
        let times = (named_at + Duration::from_secs(1), Instant::now());
        let arrivals = report.observations.max_arrivals(&id, duration, times);
        assert!(arrivals >= least, "{arrivals} arrivals");
    });
}

async fn warm_up(running: &RunningSite, limited: Limited) -> SocketAddr {
    let second = Duration::from_secs(1);
    running.run(&limited.load(second), &[]).await;
    running.busiest_server(limited.kind == RequestKind::Stream)
}

fn set_limit(running: &RunningSite, server: SocketAddr, per_s: Option<f64>) {
    running.backends.update_server(server, |server| {
        server.announced_limit = per_s.map(|per_s| per_s.to_string());
    });
}

/// What reached a server since it named its limit.
struct Arrivals {
    /// Most in a span, from the bound on contact on.
    most: usize,
    /// All from half a second on.
    count: usize,
    length_s: f64,
}

impl Arrivals {
    fn of(running: &RunningSite, server: SocketAddr) -> Arrivals {
        let seen = running.backends.observations();
        let id = running.backends.server(server).expect("it runs").id;
        let named_at = seen.limit_announced_at[&id];
        let until = Instant::now();
        let told_at = named_at + Duration::from_millis(500);
        let whole = until.saturating_duration_since(told_at);
        Arrivals {
            most: seen.max_arrivals(&id, SPAN, (named_at + CONTACT, until)),
            count: seen.max_arrivals(&id, whole, (told_at, until)),
            length_s: whole.as_secs_f64(),
        }
    }

    fn assert_within(&self, running: &RunningSite, limited: Limited) {
        let (most, allowed) = (self.most, limited.allowed());
        assert!(
            most <= allowed,
            "{most} requests in 4 s, over {allowed}\n{}",
            told(running)
        );
    }
}

/// A message that no entry writes.
struct Bad {
    limit_per_s: f64,
    number: u64,
}

#[rstest]
#[case::not_a_number(Bad { limit_per_s: f64::NAN, number: 0 })]
#[case::infinite(Bad { limit_per_s: f64::INFINITY, number: u64::MAX })]
#[case::negative(Bad { limit_per_s: -1.0, number: 1 })]
#[case::huge(Bad { limit_per_s: 1e308, number: u64::MAX })]
fn a_message_of_permits_ends_no_entry(#[case] bad: Bad) {
    on_site(async |running| {
        // All numbers that name no engine, and one that does.
        let engines = running.engine_hashes(0).await;
        let notice = |engine| EngineNotice {
            engine,
            limit_per_s: bad.limit_per_s,
            named_age_ms: bad.number,
            unnamed_age_ms: Some(bad.number),
            issuer: 1,
            is_leaving: false,
        };
        let ask = |engine| PermitAsk {
            engine,
            number: bad.number,
            series: u32::MAX,
            wanted: u32::MAX,
            is_waiting: true,
            urgency: u32::MAX,
            used: u64::MAX,
            returned: u64::MAX,
        };
        let grant = |engine| PermitGrant {
            engine,
            answers: bad.number,
            series: u32::MAX,
            granted: u64::MAX,
        };
        let told = PeerState {
            boot_id: 1,
            is_alert: true,
            notices: engines.iter().copied().map(notice).collect(),
            permit_asks: engines.iter().copied().map(ask).collect(),
            permit_grants: engines.iter().copied().map(grant).collect(),
            ..PeerState::default()
        };
        let socket = UdpSocket::bind("127.0.0.1:0").unwrap();
        for entry in 0..running.addresses.len() {
            let address = running.ops_address(entry);
            socket.send_to(&told.encode_to_vec(), address).unwrap();
        }
        let load = Load {
            per_s: [(RequestKind::Stream, 20.0)].into(),
            duration: Duration::from_secs(2),
            events: Site::small().events,
            seed: 32,
        };
        assert_kept(&running.run(&load, &[]).await);
        for entry in 0..running.addresses.len() {
            assert_eq!(running.exit_code(entry), None);
        }
    });
}
