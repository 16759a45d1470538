//! Connections that are delayed, reset, silent or partitioned in one
//! direction.

use std::time::{Duration, Instant};

use async_io::Timer;
use chestnutreach_emulator::{
    caller::RequestKind,
    experiment::{Fault, FaultKind},
    link::LinkFault,
    load::Load,
    site::Site,
};
use rstest::rstest;

use crate::support::{assert_all_served, assert_no_violation, with_site};

fn site() -> Site {
    Site { has_links: true, ..Site::small() }
}

fn load() -> Load {
    Load {
        per_s: [
            (RequestKind::Stream, 15.0),
            (RequestKind::Idempotent, 8.0),
            (RequestKind::Once, 8.0),
        ]
        .into(),
        duration: Duration::from_secs(3),
        events: Site::small().events,
        seed: 31,
    }
}

fn faults(kind: FaultKind) -> Vec<Fault> {
    let at = |ms| Fault {
        at: Duration::from_millis(ms),
        kind,
        duration: Duration::from_millis(1_000),
    };
    vec![at(300), at(700), at(1_200)]
}

/// Links that fail.
#[derive(Clone, Copy, Debug)]
enum Links {
    /// Links to the store, for less time than the keys stay fresh.
    ToStore,
    ToServers,
}

#[rstest]
#[case::delayed(LinkFault::Delayed(Duration::from_millis(180)))]
#[case::reset(LinkFault::Reset)]
#[case::silent(LinkFault::Silent)]
#[case::partitioned_forth(LinkFault::CutForth)]
#[case::partitioned_back(LinkFault::CutBack)]
fn no_invariant_is_violated_while_links_fail(
    #[case] fault: LinkFault,
    #[values(Links::ToStore, Links::ToServers)] links: Links,
) {
    with_site(&site(), async |running| {
        let kind = match links {
            Links::ToStore => FaultKind::StoreLink(fault),
            Links::ToServers => FaultKind::ServerLink(fault),
        };
        let report = running.run(&load(), &faults(kind)).await;
        let text = report.to_text();
        match links {
            Links::ToStore => assert_all_served(&report),
            Links::ToServers => assert_no_violation(&report),
        }
        assert!(report.served_share(RequestKind::Stream) > 0.9, "{text}");
        assert!(running.recovers().await, "{text}");
    });
}

/// Time from the silence of open connections until a VM counts as in contact
/// with the store again.
const CONTACT_TIME: Duration = Duration::from_millis(3_000);

/// The list of servers is polled on a connection that went silent, and the
/// next poll must not wait on another one of them.
#[test]
fn a_draining_server_gets_no_requests_after_connections_went_silent() {
    with_site(&site(), async |running| {
        // A change ends the polls, so that all begin anew before the silence.
        let engines = running.backends.engines();
        running.backends.report_draining(engines[0]);
        Timer::after(Duration::from_millis(600)).await;
        let silent_at = Instant::now();
        for entry in 0..running.addresses.len() {
            running.set_store_link(entry, LinkFault::Silent, true);
        }
        Timer::after(Duration::from_millis(300)).await;
        let leaving = running.backends.plain_servers()[0];
        let leaving_id = running.backends.server(leaving).unwrap().id;
        running.backends.report_draining(leaving);
        let load = Load {
            per_s: [(RequestKind::Once, 30.0)].into(),
            duration: Duration::from_secs(5),
            ..load()
        };
        let report = running.run(&load, &[]).await;
        let in_contact_at = silent_at + CONTACT_TIME;
        let late = report.observations.arrival_log.iter().filter(|arrival| {
            arrival.server == leaving_id && arrival.at > in_contact_at
        });
        assert_eq!(late.count(), 0);
    });
}
