//! Distribution of the manifest to all VMs, on fleets of separate processes.

mod fleet_common;

use std::{
    net::{SocketAddr, TcpListener},
    sync::Arc,
    thread,
    time::{Duration, Instant},
};

use async_executor::Executor;
use async_io::Async;
use chestnutreach_config::Manifest;
use chestnutreach_control::{
    ControlHandler, ControlRefusal, ExplainQuery, GenerationInfo, NodeInfo,
    NodeStatus, serve_control,
};
use chestnutreach_fleet::{Fleet, Plan};
use chestnutreach_platform::manifest_store::{
    Head, ObjectDigest, PartCache, SubmitError,
};
use fleet_common::{watch::GenerationWatch, with_fleet};
use serde_json::{Value, json};

/// Two entries, and two engines that each hold all layers.
fn plan() -> Plan {
    Plan::new().stages(&[0, 24], 2).plain_servers(0)
}

fn set_store_faults(fleet: &Fleet, faults: &Value) {
    for name in ["table", "objects"] {
        fleet.set_faults(name, faults);
    }
}

fn unavailable() -> Value {
    json!({"down": "unavailable"})
}

fn wait_for_generation(fleet: &mut Fleet, names: &[String], expected: u64) {
    for name in names {
        fleet
            .wait_for(&format!("generation {expected} on {name}"), |fleet| {
                fleet.status(name)["generation"] == expected
                    && fleet.is_ready(name)
            })
            .unwrap();
    }
}

/// Returns the events of a daemon, over all its process lifetimes, that put a
/// generation in force.
fn in_force_events(fleet: &mut Fleet, name: &str) -> Vec<String> {
    fleet.events(name, "manifest_in_force")
}

fn restart(fleet: &mut Fleet, name: &str) {
    assert_eq!(fleet.stop(name).unwrap(), Some(0), "{name}");
    fleet.restart(name).unwrap();
}

/// Sets the side processes as seed peers of each entry.
fn set_seed_peers(fleet: &Fleet) {
    let control = fleet.control_addresses();
    let sides = control.iter().filter(|(name, _)| name.starts_with("side-"));
    let sides: Vec<String> = sides.map(|(_, a)| a.to_string()).collect();
    for name in control.keys().filter(|name| name.starts_with("entry-")) {
        fleet.add_node_setting(name, "seed-peers", &sides.join(", ")).unwrap();
    }
}

#[test]
fn a_restart_during_a_store_outage_keeps_the_generation() {
    with_fleet(plan(), |fleet| {
        set_seed_peers(fleet);
        fleet.apply(1).unwrap();
        let names = fleet.daemon_names();
        wait_for_generation(fleet, &names, 2);
        let watch = GenerationWatch::start(fleet);
        set_store_faults(fleet, &unavailable());
        for name in &names {
            restart(fleet, name);
            wait_for_generation(fleet, std::slice::from_ref(name), 2);
            let last = in_force_events(fleet, name).pop().unwrap();
            assert!(last.contains("peer"), "{last}");
        }
        for entry in 0..2 {
            fleet
                .wait_for("both servers", |f| {
                    f.routable_servers(entry)
                        .is_some_and(|names| names.len() == 2)
                })
                .unwrap();
            let answer = fleet.caller(entry).chat("a b c", 5);
            assert_eq!(answer.status, 200, "{answer:?}");
        }
        watch.assert_no_decrease();
    });
}

#[test]
fn a_daemon_without_store_and_peers_waits_for_the_store() {
    with_fleet(plan(), |fleet| {
        fleet.apply(1).unwrap();
        let names = fleet.daemon_names();
        wait_for_generation(fleet, &names, 2);
        let watch = GenerationWatch::start(fleet);
        set_store_faults(fleet, &unavailable());
        for name in &names {
            fleet.process(name).kill();
        }
        for name in &names {
            fleet.restart(name).unwrap();
        }
        for name in &names {
            fleet
                .wait_for("a status without a generation", |fleet| {
                    fleet.status(name)["generation"] == 0
                })
                .unwrap();
            assert!(!fleet.is_ready(name));
        }
        set_store_faults(fleet, &json!({}));
        wait_for_generation(fleet, &names, 2);
        watch.assert_no_decrease();
    });
}

/// A peer that serves an old generation.
struct StalePeer {
    head: Head,
    objects: PartCache,
}

impl ControlHandler for StalePeer {
    fn info(&self) -> NodeInfo {
        NodeInfo::default()
    }

    fn status(&self) -> NodeStatus {
        NodeStatus::default()
    }

    fn drain(&self, _: Option<&str>) -> Result<(), ControlRefusal> {
        Err(ControlRefusal::Stopping)
    }

    fn undrain(&self, _: Option<&str>) -> Result<(), ControlRefusal> {
        Err(ControlRefusal::Stopping)
    }

    fn generation(&self) -> GenerationInfo {
        GenerationInfo {
            generation: self.head.generation,
            submission: self.head.submission.clone(),
            root_digest: self.head.root.to_vec(),
        }
    }

    fn manifest_part(&self, digest: &[u8]) -> Option<Vec<u8>> {
        let digest = ObjectDigest::from_bytes(digest)?;
        self.objects.get(&digest)
    }

    fn explain(&self, _: &ExplainQuery) -> Result<String, ControlRefusal> {
        Err(ControlRefusal::Stopping)
    }
}

/// Starts a peer that serves the current generation of the store for the rest
/// of the test.
fn start_stale_peer(fleet: &Fleet) -> SocketAddr {
    let store = fleet.manifest_store(Duration::from_secs(2));
    let mut objects = PartCache::new();
    let head = async_io::block_on(async {
        let head = store.head().await.unwrap().unwrap();
        store.fetch(&head, &mut objects).await.unwrap();
        head
    });
    let any = ([127, 0, 0, 1], 0);
    let listener = Async::<TcpListener>::bind(any).unwrap();
    let address = listener.get_ref().local_addr().unwrap();
    let executor = Arc::new(Executor::new());
    let peer = Arc::new(StalePeer { head, objects });
    let serving = serve_control(listener, executor.clone(), peer);
    executor.spawn(serving).detach();
    thread::spawn(move || {
        let forever = std::future::pending::<()>();
        async_io::block_on(executor.run(forever));
    });
    address
}

#[test]
fn the_highest_generation_of_several_peers_is_used() {
    with_fleet(plan(), |fleet| {
        let stale = start_stale_peer(fleet);
        fleet.apply(1).unwrap();
        let names = fleet.daemon_names();
        wait_for_generation(fleet, &names, 2);
        let unreachable = chestnutreach_fleet::ports::free_address();
        let current = fleet.control_addresses()["entry-1"];
        let seeds = format!("{stale}, {unreachable}, {current}");
        for name in ["entry-0", "side-desk-0a"] {
            fleet.add_node_setting(name, "seed-peers", &seeds).unwrap();
        }
        let watch = GenerationWatch::start(fleet);
        set_store_faults(fleet, &unavailable());
        for name in ["entry-0", "side-desk-0a"] {
            let before = in_force_events(fleet, name).len();
            restart(fleet, name);
            wait_for_generation(fleet, &[name.to_owned()], 2);
            let since = in_force_events(fleet, name).split_off(before);
            assert_eq!(since.len(), 1, "{since:?}");
        }
        watch.assert_no_decrease();
    });
}

#[test]
fn parts_that_the_store_fails_to_return_are_fetched_from_peers() {
    with_fleet(plan(), |fleet| {
        let late = "side-desk-0a".to_owned();
        fleet.process(&late).freeze();
        let text = fleet.manifest_text();
        let text = text.replacen("weight = 30\n", "weight = 31\n", 1);
        fleet.apply_text(1, &text).unwrap();
        let names = fleet.daemon_names().into_iter();
        let others: Vec<String> = names.filter(|n| *n != late).collect();
        wait_for_generation(fleet, &others, 2);
        fleet.set_faults("objects", &unavailable());
        fleet.process(&late).thaw();
        wait_for_generation(fleet, std::slice::from_ref(&late), 2);
        let last = in_force_events(fleet, &late).pop().unwrap();
        assert!(last.contains("peer"), "{last}");
    });
}

#[test]
fn a_higher_generation_of_a_peer_is_fetched_immediately() {
    with_fleet(plan(), |fleet| {
        let names = fleet.daemon_names();
        let long_poll_interval = "[platform]\nmanifest-poll-ms = 60000\n";
        for name in &names {
            fleet
                .replace_setting(name, "[platform]\n", long_poll_interval)
                .unwrap();
            restart(fleet, name);
        }
        wait_for_generation(fleet, &names, 1);
        fleet.apply(1).unwrap();
        restart(fleet, "entry-0");
        let started = Instant::now();
        wait_for_generation(fleet, &names, 2);
        let took = started.elapsed();
        assert!(took < Duration::from_secs(10), "{took:?}");
    });
}

/// Submits a manifest until this manifest or a competing one of the same
/// generation is accepted; returns whether this manifest was.
fn submit(fleet: &Fleet, base: u64, text: &str, name: &str) -> bool {
    let store = fleet.manifest_store(Duration::from_millis(400));
    let sections = Manifest::try_parse("m", text).unwrap().to_sections();
    let started = Instant::now();
    loop {
        let submitted =
            async_io::block_on(store.submit(base, &sections, name));
        match submitted {
            Ok(accepted) => {
                assert_eq!(accepted.generation, base + 1);
                return true;
            }
            Err(SubmitError::Unavailable { .. })
            | Err(SubmitError::Unknown { .. }) => {}
            Err(SubmitError::LostRace { winner }) => {
                assert_eq!(winner.generation, base + 1);
                return false;
            }
            Err(SubmitError::Stale { current, .. }) => {
                assert_eq!(current.unwrap().generation, base + 1);
                return false;
            }
            Err(e) => panic!("{e}"),
        }
        assert!(started.elapsed() < Duration::from_secs(30), "{submitted:?}");
    }
}

#[test]
fn concurrent_submissions_over_a_faulty_store_converge_on_one_manifest() {
    struct Case {
        faults: Value,
    }
    let cases = [
        Case { faults: json!({"error_permille": 300}) },
        Case { faults: json!({"slow_ms": 150, "lose_answers": 4}) },
        Case { faults: json!({"error_permille": 300, "slow_ms": 100}) },
    ];
    let plan = Plan::new().entries(3).stages(&[0, 24], 9).plain_servers(0);
    with_fleet(plan, |fleet| {
        let names = fleet.daemon_names();
        assert_eq!(names.len(), 12);
        let watch = GenerationWatch::start(fleet);
        let text = fleet.manifest_text();
        for (base, case) in (1..).zip(&cases) {
            set_store_faults(fleet, &case.faults);
            let competing = ["left", "right"].map(|side| {
                let weight = format!("weight = {}\n", 11 + base);
                let text = text.replacen("weight = 10\n", &weight, 1);
                let text = match side {
                    "left" => text,
                    _ => text.replacen("weight = 30\n", &weight, 1),
                };
                (format!("{side}-{base}"), text)
            });
            let fleet_ref: &Fleet = fleet;
            let accepted = thread::scope(|scope| {
                let tasks = competing.each_ref().map(|(name, text)| {
                    scope.spawn(move || submit(fleet_ref, base, text, name))
                });
                tasks.map(|task| task.join().unwrap())
            });
            assert!(accepted[0] != accepted[1], "exactly one: {accepted:?}");
            wait_for_generation(fleet, &names, base + 1);
            let winner = &competing[usize::from(accepted[1])].0;
            for name in &names {
                let last = in_force_events(fleet, name).pop().unwrap();
                assert!(last.contains(winner.as_str()), "{name}: {last}");
            }
        }
        watch.assert_no_decrease();
    });
}
