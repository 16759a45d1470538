//! Servers that announce a limit on requests a second.

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

use crate::support::{
    assert_all_served_or_log, assert_no_violation, with_small_site,
};

/// Time within which the platform's rule expects all entries to learn of an
/// event.
const PROPAGATION_LIMIT: Duration = Duration::from_millis(3_000);
/// Span in which requests are counted.
const SPAN: Duration = Duration::from_secs(4);
/// Minimum share of a limit that is used while the demand exceeds the limit.
const MIN_UTILISATION: f64 = 0.7;
/// How long a server announces a limit.
const ANNOUNCEMENT_PERIOD: Duration = Duration::from_secs(10);

/// A server that announces a limit, and the demand.
#[derive(Clone, Copy, Debug)]
struct Limited {
    kind: RequestKind,
    /// Requests of that kind per second, at all servers together.
    demand_per_s: f64,
    limit_per_s: f64,
}

impl Limited {
    /// Returns the requests that the platform's rule allows in a span.
    fn max_arrivals(self) -> usize {
        (1.5 * self.limit_per_s * SPAN.as_secs_f64()) as usize + 5
    }

    fn load(self, duration: Duration) -> Load {
        Load {
            per_s: [(self.kind, self.demand_per_s)].into(),
            duration,
            events: Site::small().events,
            seed: 32,
        }
    }
}

/// Returns the log lines of the entries about limits.
fn limit_log_lines(running: &RunningSite) -> String {
    let logs = running.logs();
    let is_about_limit = |line: &&str| line.contains("\"limit_");
    let lines: Vec<&str> = logs.lines().filter(is_about_limit).collect();
    lines.join("\n")
}

#[rstest]
#[case::stream_load(Limited {
    kind: RequestKind::Stream, demand_per_s: 24.0, limit_per_s: 2.0,
})]
#[case::streams_one_a_second(Limited {
    kind: RequestKind::Stream, demand_per_s: 24.0, limit_per_s: 1.0,
})]
#[case::idempotent(Limited {
    kind: RequestKind::Idempotent, demand_per_s: 16.0, limit_per_s: 3.0,
})]
#[case::once(Limited {
    kind: RequestKind::Once, demand_per_s: 16.0, limit_per_s: 3.0,
})]
fn a_server_gets_no_more_than_its_announced_limit(#[case] limited: Limited) {
    with_small_site(async |running| {
        let server = warm_up(running, limited).await;
        set_limit(running, server, Some(limited.limit_per_s));
        let report =
            running.run(&limited.load(ANNOUNCEMENT_PERIOD), &[]).await;
        assert_all_served_or_log(running, &report);
        let arrivals = Arrivals::of(running, server);
        arrivals.assert_within(running, limited);
        let used = arrivals.count as f64 / arrivals.length_s;
        let share = used / limited.limit_per_s;
        assert!(share >= MIN_UTILISATION, "{share:.2} of the limit used");
    });
}

#[rstest]
#[case::killed(false)]
#[case::restarted(true)]
fn a_limit_holds_when_entries_fail(#[case] is_restarted: bool) {
    let limited = Limited {
        kind: RequestKind::Stream,
        demand_per_s: 24.0,
        limit_per_s: 2.0,
    };
    with_small_site(async |running| {
        let server = warm_up(running, limited).await;
        set_limit(running, server, Some(limited.limit_per_s));
        let load = limited.load(ANNOUNCEMENT_PERIOD);
        let fail_entries = async {
            // Every entry is affected, because one of them is the issuer.
            for entry in 0..running.addresses.len() {
                Timer::after(Duration::from_millis(2_500)).await;
                match is_restarted {
                    true => running.restart_entry(entry),
                    false if entry == 0 => running.kill(entry),
                    false => {}
                }
            }
        };
        let played = running.run(&load, &[]);
        futures_lite::future::zip(played, fail_entries).await;
        Arrivals::of(running, server).assert_within(running, limited);
    });
}

/// A server that no longer announces a limit gets its full share again.
#[test]
fn a_server_gets_its_full_share_after_its_limit_ends() {
    let limited = Limited {
        kind: RequestKind::Idempotent,
        demand_per_s: 20.0,
        limit_per_s: 2.0,
    };
    with_small_site(async |running| {
        let server = warm_up(running, limited).await;
        set_limit(running, server, Some(limited.limit_per_s));
        let second = Duration::from_secs(1);
        running.run(&limited.load(4 * second), &[]).await;
        set_limit(running, server, None);
        running.run(&limited.load(second), &[]).await;
        let ended = Instant::now();
        let report = running.run(&limited.load(2 * second), &[]).await;
        assert_all_served_or_log(running, &report);
        let id = running.backends.server(server).expect("the server runs").id;
        let times = (ended, Instant::now());
        let arrivals =
            report.observations.max_arrivals(&id, 3 * second, times);
        // The share of one of two servers is 20 of 40 requests; the limit
        // would allow 4.
        assert!(
            arrivals >= 12,
            "{arrivals} of 40\n{}",
            limit_log_lines(running)
        );
    });
}

/// While all servers announce a limit, their capacity is used, and requests
/// that get no permit in time are refused.
#[test]
fn requests_without_a_permit_are_refused() {
    let limited = Limited {
        kind: RequestKind::Idempotent,
        demand_per_s: 20.0,
        limit_per_s: 2.0,
    };
    with_small_site(async |running| {
        warm_up(running, limited).await;
        let servers = running.backends.plain_servers();
        for server in &servers {
            set_limit(running, *server, Some(limited.limit_per_s));
        }
        let report =
            running.run(&limited.load(ANNOUNCEMENT_PERIOD), &[]).await;
        assert_no_violation(&report);
        for server in &servers {
            Arrivals::of(running, *server).assert_within(running, limited);
        }
        let served = report.outcomes.iter().filter(|o| o.is_served()).count();
        let capacity =
            2.0 * limited.limit_per_s * ANNOUNCEMENT_PERIOD.as_secs_f64();
        let share = served as f64 / capacity;
        assert!(share >= MIN_UTILISATION, "{share:.2} of the capacity used");
        let attempts = report.outcomes.iter().flat_map(|o| &o.attempts);
        let other_ends = attempts.filter(|t| {
            !matches!(t.end, AttemptEnd::Whole | AttemptEnd::Status(503))
        });
        assert_eq!(other_ends.count(), 0, "{}", report.to_text());
    });
}

/// An invalid value changes nothing, and a limit of zero excludes no server.
#[rstest]
#[case::nothing("", 10)]
#[case::negative("-1", 10)]
#[case::not_a_number("NaN", 10)]
#[case::exponent("1e308", 10)]
#[case::huge("999999999999", 10)]
#[case::zero("0", 1)]
fn invalid_limits_are_ignored_and_zero_excludes_no_server(
    #[case] value: &str,
    #[case] min: usize,
) {
    let limited = Limited {
        kind: RequestKind::Idempotent,
        demand_per_s: 16.0,
        limit_per_s: 1.0,
    };
    with_small_site(async |running| {
        let server = warm_up(running, limited).await;
        running.backends.update_server(server, |server| {
            server.announced_limit = Some(value.to_owned());
        });
        let duration = Duration::from_secs(6);
        let report = running.run(&limited.load(duration), &[]).await;
        assert_all_served_or_log(running, &report);
        let id = running.backends.server(server).expect("the server runs").id;
        let named_at = report.observations.limit_announced_at[&id];
        let times = (named_at + Duration::from_secs(1), Instant::now());
        let arrivals = report.observations.max_arrivals(&id, duration, times);
        assert!(arrivals >= min, "{arrivals} arrivals");
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

/// Requests that reached a server since it announced its limit.
struct Arrivals {
    /// Maximum in a span, counted from the propagation limit on.
    max: usize,
    /// All requests, counted from half a second after the announcement on.
    count: usize,
    length_s: f64,
}

impl Arrivals {
    fn of(running: &RunningSite, server: SocketAddr) -> Arrivals {
        let seen = running.backends.observations();
        let id = running.backends.server(server).expect("the server runs").id;
        let named_at = seen.limit_announced_at[&id];
        let until = Instant::now();
        let count_start = named_at + Duration::from_millis(500);
        let counted = until.saturating_duration_since(count_start);
        Arrivals {
            max: seen.max_arrivals(
                &id,
                SPAN,
                (named_at + PROPAGATION_LIMIT, until),
            ),
            count: seen.max_arrivals(&id, counted, (count_start, until)),
            length_s: counted.as_secs_f64(),
        }
    }

    fn assert_within(&self, running: &RunningSite, limited: Limited) {
        let (max, allowed) = (self.max, limited.max_arrivals());
        assert!(
            max <= allowed,
            "{max} requests in 4 s, over {allowed}\n{}",
            limit_log_lines(running)
        );
    }
}

/// Values of a message that no entry would send.
struct PermitValues {
    limit_per_s: f64,
    number: u64,
}

#[rstest]
#[case::not_a_number(PermitValues { limit_per_s: f64::NAN, number: 0 })]
#[case::infinite(PermitValues {
    limit_per_s: f64::INFINITY, number: u64::MAX,
})]
#[case::negative(PermitValues { limit_per_s: -1.0, number: 1 })]
#[case::huge(PermitValues { limit_per_s: 1e308, number: u64::MAX })]
fn a_malformed_permit_message_stops_no_entry(#[case] values: PermitValues) {
    with_small_site(async |running| {
        // Invalid values for every known engine.
        let engines = running.engine_hashes(0).await;
        let notice = |engine| EngineNotice {
            engine,
            limit_per_s: values.limit_per_s,
            named_age_ms: values.number,
            unnamed_age_ms: Some(values.number),
            issuer: 1,
            is_leaving: false,
        };
        let ask = |engine| PermitAsk {
            engine,
            number: values.number,
            series: u32::MAX,
            wanted: u32::MAX,
            is_waiting: true,
            urgency: u32::MAX,
            used: u64::MAX,
            returned: u64::MAX,
        };
        let grant = |engine| PermitGrant {
            engine,
            answers: values.number,
            series: u32::MAX,
            granted: u64::MAX,
        };
        let message = PeerState {
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
            socket.send_to(&message.encode_to_vec(), address).unwrap();
        }
        let load = Load {
            per_s: [(RequestKind::Stream, 20.0)].into(),
            duration: Duration::from_secs(2),
            events: Site::small().events,
            seed: 32,
        };
        assert_no_violation(&running.run(&load, &[]).await);
        for entry in 0..running.addresses.len() {
            assert_eq!(running.exit_code(entry), None);
        }
    });
}
