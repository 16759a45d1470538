//! Links count bytes by traffic class.

use std::{
    net::{Ipv4Addr, SocketAddr, TcpListener},
    sync::Arc,
    thread,
    time::{Duration, Instant},
};

use async_executor::Executor;
use async_io::{Async, block_on};
use chestnutreach_protocol::{
    CloseReason, Identity, LinkOptions, Links, Traffic,
    wire::{Release, Role, Status, frame::Body},
};
use futures_lite::future;

const TEST_TIMEOUT: Duration = Duration::from_secs(10);

struct Case {
    name: &'static str,
    frames: Vec<Body>,
    is_control: bool,
}

fn executor() -> Arc<Executor<'static>> {
    let executor = Arc::new(Executor::new());
    let run = executor.clone();
    thread::spawn(move || block_on(run.run(future::pending::<()>())));
    executor
}

fn links(vm: &str, executor: &Arc<Executor<'static>>) -> Links {
    let identity = Identity::new(vm, Role::Side, "hall-a");
    // A long interval, so that no heartbeat changes the counts.
    let options = LinkOptions::new().idle_interval(Duration::from_secs(600));
    Links::new(identity, options, executor.clone(), Arc::new(|_| {}))
}

fn wait_for(what: &str, is_true: impl Fn() -> bool) {
    let started = Instant::now();
    while !is_true() {
        assert!(
            started.elapsed() < TEST_TIMEOUT,
            "timed out waiting for {what}"
        );
        thread::sleep(Duration::from_millis(2));
    }
}

fn received(traffic: Traffic) -> (u64, u64) {
    (traffic.control_received_bytes, traffic.request_received_bytes)
}

fn sent(traffic: Traffic) -> (u64, u64) {
    (traffic.control_sent_bytes, traffic.request_sent_bytes)
}

#[test]
fn both_ends_count_the_same_bytes() {
    let cases = [
        Case {
            name: "states",
            frames: vec![Body::Status(Status::default()); 3],
            is_control: true,
        },
        Case {
            name: "frames of requests",
            frames: vec![Body::Release(Release::default()); 3],
            is_control: false,
        },
    ];
    for case in cases {
        check(&case);
    }
}

fn check(case: &Case) {
    let executor = executor();
    let (local, remote) =
        (links("local", &executor), links("remote", &executor));
    let listener =
        Async::<TcpListener>::bind((Ipv4Addr::LOCALHOST, 0)).unwrap();
    let address: SocketAddr = listener.get_ref().local_addr().unwrap();
    remote.listen(listener);
    let link = block_on(local.connect(address)).unwrap();
    let handshake = sent(local.traffic());
    assert!(handshake.0 > 0 && handshake.1 == 0, "{}", case.name);

    for frame in &case.frames {
        link.send(frame.clone()).unwrap();
    }
    let total = sent(local.traffic());
    let added = (total.0 - handshake.0, total.1 - handshake.1);
    assert_eq!(added.0 > 0, case.is_control, "{}", case.name);
    assert_eq!(added.1 > 0, !case.is_control, "{}", case.name);
    wait_for(case.name, || received(remote.traffic()) == total);

    link.close(CloseReason::Local);
    wait_for("the close", || local.open().is_empty());
    assert_eq!(
        sent(local.traffic()),
        total,
        "{}: counts lost when the link closed",
        case.name
    );
}
