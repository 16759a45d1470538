//! Connections that are delayed, reset, silent or partitioned in one
//! direction.

use std::time::Duration;

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
