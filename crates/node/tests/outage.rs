//! Polls of the manifest during an outage of the store.

use std::{
    io::Read as _,
    net::{SocketAddr, TcpListener},
    sync::{
        Arc,
        atomic::{AtomicUsize, Ordering},
    },
    thread,
    time::{Duration, Instant},
};

use async_io::Timer;
use chestnutreach_node::{
    PeerReports, manifest_follower::ManifestFollower, peers::PeerManifests,
};
use chestnutreach_platform::{ManifestStore, ObjectClient, TableClient};
use chestnutreach_protocol::wire::Hello;
use futures_lite::FutureExt as _;

const POLL_MS: u64 = 100;
const TIMEOUT: Duration = Duration::from_millis(200);

/// A server that counts connections and closes each one without a response.
fn broken_service() -> (SocketAddr, Arc<AtomicUsize>) {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    let count = Arc::new(AtomicUsize::new(0));
    let counted = count.clone();
    thread::spawn(move || {
        for socket in listener.incoming() {
            counted.fetch_add(1, Ordering::Relaxed);
            let _ = socket.map(|mut socket| socket.read(&mut [0; 64]));
        }
    });
    (address, count)
}

fn follower(
    store: SocketAddr,
    reports: &Arc<PeerReports>,
) -> ManifestFollower {
    let table = Arc::new(TableClient::new(store, TIMEOUT));
    let objects = Arc::new(ObjectClient::new(store, TIMEOUT));
    let peers = PeerManifests::new(Vec::new(), reports.clone(), TIMEOUT);
    let store = ManifestStore::new(table, objects);
    ManifestFollower::new(store, peers, reports.clone(), POLL_MS)
}

fn run_for(time: Duration, follower: ManifestFollower) {
    let following = follower.run(|_, _| panic!("nothing to apply"));
    let time_limit = async {
        Timer::after(time).await;
    };
    async_io::block_on(following.or(time_limit));
}

#[test]
fn polls_back_off_while_the_store_is_unavailable() {
    let (store, count) = broken_service();
    let reports = Arc::new(PeerReports::new());
    // Polls follow after 25 ms, 50 ms and so on; jitter shortens each interval
    // by up to half.
    run_for(Duration::from_millis(3_000), follower(store, &reports));
    let polls = count.load(Ordering::Relaxed);
    assert!((4..=12).contains(&polls), "{polls}");
}

#[test]
fn a_higher_generation_of_a_peer_triggers_one_poll() {
    let (store, count) = broken_service();
    let reports = Arc::new(PeerReports::new());
    let reports_of_peer = reports.clone();
    let reporting = thread::spawn(move || {
        thread::sleep(Duration::from_millis(2_000));
        let before = count.load(Ordering::Relaxed);
        let peer = Hello { generation: 7, ..Hello::default() };
        let started = Instant::now();
        for _ in 0..100 {
            reports_of_peer.record_hello(&peer);
        }
        while count.load(Ordering::Relaxed) == before {
            assert!(started.elapsed() < Duration::from_millis(400));
            thread::sleep(Duration::from_millis(1));
        }
        thread::sleep(Duration::from_millis(200));
        count.load(Ordering::Relaxed) - before
    });
    run_for(Duration::from_millis(3_000), follower(store, &reports));
    let polls = reporting.join().unwrap();
    assert!((1..=2).contains(&polls), "{polls}");
}
