//! The request path on a site without faults.

use std::time::Duration;

use chestnutreach_emulator::{
    caller::{AttemptEnd, RequestKind, RequestSpec},
    entries::get,
    load::Load,
    site::Site,
};

use crate::support::{
    assert_all_served, send_request, wait_until, with_small_site,
};

#[test]
fn requests_of_every_kind_are_served_completely_and_once() {
    with_small_site(async |running| {
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
    with_small_site(async |running| {
        assert!(running.backends.has_full_coverage());
        let max = running.backends.site().max_layers();
        for engine in running.backends.engines() {
            let held = running.backends.server(engine).unwrap().layers;
            let layers = held.map_or(0, |held| held.1 - held.0);
            assert!(layers <= max, "{engine} holds {layers} layers");
        }
        // Only the planner gives orders, and an empty engine needs one order.
        let orders = running.backends.engines().into_iter();
        let orders =
            orders.map(|e| running.backends.server(e).unwrap().order_count);
        assert!(orders.clone().all(|count| count <= 1), "{orders:?}");
    });
}

#[test]
fn a_request_with_an_unknown_key_is_refused_and_not_run() {
    with_small_site(async |running| {
        let unknown = RequestSpec {
            key: "nobody".to_owned(),
            max_attempts: 1,
            ..RequestSpec::new(RequestKind::Idempotent, "a", 1)
        };
        let outcome = send_request(running, 0, &unknown).await;
        assert_eq!(outcome.attempts[0].end, AttemptEnd::Status(401));
        let seen = running.backends.observations();
        assert!(!seen.run_counts.contains_key(&outcome.attempts[0].id));
    });
}

#[test]
fn a_withdrawn_key_is_refused_by_all_entries() {
    with_small_site(async |running| {
        let wish = RequestSpec {
            max_attempts: 1,
            ..RequestSpec::new(RequestKind::Idempotent, "a", 1)
        };
        running.configure(&["another"]);
        for entry in 0..running.addresses.len() {
            wait_until("the key is refused", async || {
                let outcome = send_request(running, entry, &wish).await;
                outcome.attempts[0].end == AttemptEnd::Status(401)
            })
            .await;
        }
        let other = RequestSpec { key: "another".to_owned(), ..wish };
        assert!(send_request(running, 0, &other).await.is_served());
    });
}

#[test]
fn metrics_are_served_at_the_requested_port_if_it_is_free() {
    with_small_site(async |running| {
        let address = running.entries.lock().unwrap().metrics_address();
        let (status, text) = get(address, "/metrics").await.unwrap();
        assert_eq!(status, 200);
        assert!(text.contains("chestnutreach_requests_waiting"));
        // The other entries of this machine run without the metrics port.
        let logs = running.logs();
        assert_eq!(logs.matches("\"metrics_port_taken\"").count(), 2);
    });
}

#[test]
fn metrics_and_status_are_served() {
    with_small_site(async |running| {
        let wish =
            RequestSpec::new(RequestKind::Stream, "a", Site::small().events);
        assert!(send_request(running, 0, &wish).await.is_served());
        let address = running.ops_address(0);
        let (status, text) = get(address, "/metrics").await.unwrap();
        assert_eq!(status, 200);
        assert!(text.contains("chestnutreach_attempts_total"), "{text}");
        let (status, text) = get(address, "/status").await.unwrap();
        assert_eq!(status, 200);
        assert!(text.contains("\"backends\""), "{text}");
        let (status, _) = get(address, "/ready").await.unwrap();
        assert_eq!(status, 200);
    });
}
