//! The whole path on a calm site.

use std::time::Duration;

use chestnutreach_emulator::{
    caller::{AttemptEnd, RequestKind, RequestSpec},
    entries::get,
    load::Load,
    site::Site,
};

use crate::support::{assert_all_served, on_site, one, wait_until};

#[test]
fn every_kind_is_served_whole_and_once() {
    on_site(async |running| {
        let load = Load {
            per_s: [
                (RequestKind::Stream, 15.0),
                (RequestKind::Idempotent, 10.0),
                (RequestKind::Once, 10.0),
            ]
            .into(),
            duration: Duration::from_secs(2),
            events: Site::small().events,
            seed: 3,
        };
        let report = running.run(&load, &[]).await;
        assert_all_served(&report);
        let runs = report.observations.run_counts.values();
        assert!(runs.clone().all(|count| *count == 1), "{runs:?}");
    });
}

#[test]
fn each_data_centre_holds_all_layers_within_memory() {
    on_site(async |running| {
        assert!(running.backends.has_full_coverage());
        let most = running.backends.site().max_layers();
        for engine in running.backends.engines() {
            let held = running.backends.server(engine).unwrap().layers;
            let layers = held.map_or(0, |held| held.1 - held.0);
            assert!(layers <= most, "{engine} holds {layers} layers");
        }
        // One planner orders: an empty engine needs one order.
        let orders = running.backends.engines().into_iter();
        let orders =
            orders.map(|e| running.backends.server(e).unwrap().order_count);
        assert!(orders.clone().all(|count| count <= 1), "{orders:?}");
    });
}

#[test]
fn keys_and_routes_decide_who_is_served() {
    on_site(async |running| {
        let unknown = RequestSpec {
            key: "nobody".to_owned(),
            max_attempts: 1,
            ..RequestSpec::new(RequestKind::Idempotent, "a", 1)
        };
        let outcome = one(running, 0, &unknown).await;
        assert_eq!(outcome.attempts[0].end, AttemptEnd::Status(401));
        let seen = running.backends.observations();
        assert!(!seen.run_counts.contains_key(&outcome.attempts[0].id));
    });
}

#[test]
fn a_withdrawn_key_is_refused_everywhere() {
    on_site(async |running| {
        let wish = RequestSpec {
            max_attempts: 1,
            ..RequestSpec::new(RequestKind::Idempotent, "a", 1)
        };
        running.configure(&["another"]);
        for entry in 0..running.addresses.len() {
            wait_until("the key is refused", async || {
                let outcome = one(running, entry, &wish).await;
                outcome.attempts[0].end == AttemptEnd::Status(401)
            })
            .await;
        }
        let other = RequestSpec { key: "another".to_owned(), ..wish };
        assert!(one(running, 0, &other).await.is_served());
    });
}

#[test]
fn metrics_are_at_the_port_asked_for_if_it_is_free() {
    on_site(async |running| {
        let at = running.entries.lock().unwrap().metrics_address();
        let (status, text) = get(at, "/metrics").await.unwrap();
        assert_eq!(status, 200);
        assert!(text.contains("chestnutreach_requests_waiting"));
        // The others of this machine serve without it.
        let logs = running.logs();
        assert_eq!(logs.matches("\"metrics_port_taken\"").count(), 2);
    });
}

#[test]
fn metrics_and_status_are_shown() {
    on_site(async |running| {
        let wish =
            RequestSpec::new(RequestKind::Stream, "a", Site::small().events);
        assert!(one(running, 0, &wish).await.is_served());
        let at = running.ops_address(0);
        let (status, text) = get(at, "/metrics").await.unwrap();
        assert_eq!(status, 200);
        assert!(text.contains("chestnutreach_attempts_total"), "{text}");
        let (status, text) = get(at, "/status").await.unwrap();
        assert_eq!(status, 200);
        assert!(text.contains("\"backends\""), "{text}");
        let (status, _) = get(at, "/ready").await.unwrap();
        assert_eq!(status, 200);
    });
}
