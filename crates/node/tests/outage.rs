//! Looks during an outage of the store.

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

/// Takes connections, reads a little and closes; counts them.
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

fn follower(store: SocketAddr, heard: &Arc<PeerReports>) -> ManifestFollower {
    let table = Arc::new(TableClient::new(store, TIMEOUT));
    let objects = Arc::new(ObjectClient::new(store, TIMEOUT));
    let peers = PeerManifests::new(Vec::new(), heard.clone(), TIMEOUT);
    let store = ManifestStore::new(table, objects);
    ManifestFollower::new(store, peers, heard.clone(), POLL_MS)
}

fn run_for(time: Duration, follower: ManifestFollower) {
    let following = follower.run(|_, _| panic!("nothing to apply"));
    let over = async {
        Timer::after(time).await;
    };
    async_io::block_on(following.or(over));
}

#[test]
fn looks_become_rarer_while_the_store_is_down() {
    let (store, count) = broken_service();
    let heard = Arc::new(PeerReports::new());
    // Looks after 25 ms, 50 ms and so on, each spread over half to all.
    run_for(Duration::from_millis(3_000), follower(store, &heard));
    let looks = count.load(Ordering::Relaxed);
    assert!((4..=12).contains(&looks), "{looks}");
}

#[test]
fn a_peer_that_tells_of_a_higher_generation_causes_one_look() {
    let (store, count) = broken_service();
    let heard = Arc::new(PeerReports::new());
    let told = heard.clone();
    let telling = thread::spawn(move || {
        thread::sleep(Duration::from_millis(2_000));
        let before = count.load(Ordering::Relaxed);
        let peer = Hello { generation: 7, ..Hello::default() };
        let started = Instant::now();
        for _ in 0..100 {
            told.record_hello(&peer);
        }
        while count.load(Ordering::Relaxed) == before {
            assert!(started.elapsed() < Duration::from_millis(400));
            thread::sleep(Duration::from_millis(1));
        }
        thread::sleep(Duration::from_millis(200));
        count.load(Ordering::Relaxed) - before
    });
    run_for(Duration::from_millis(3_000), follower(store, &heard));
    let looks = telling.join().unwrap();
    assert!((1..=2).contains(&looks), "{looks}");
}
