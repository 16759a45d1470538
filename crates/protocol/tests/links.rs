//! Links between processes over the loopback interface.

mod support;

use std::{
    collections::BTreeSet,
    io::Write as _,
    net::{Ipv4Addr, Shutdown, TcpListener},
    thread,
    time::{Duration, Instant},
};

use async_io::block_on;
use chestnutreach_protocol::{
    CloseReason, LinkError, LinkEvent, PROTOCOL_VERSION,
    wire::{Heartbeat, HelloRefused, Step, frame::Body},
};
use chestnutreach_standins::closed_address;
use rstest::rstest;

use support::{Node, Peer, TEST_TIMEOUT, hello, listening_peers, options};

const OTHER_VERSION: u32 = 99;

fn step(position: u32, activation_bytes: usize) -> Body {
    let activation = vec![7; activation_bytes];
    Body::Step(Step { position, activation, ..Step::default() })
}

#[test]
fn other_protocol_version_is_refused_with_a_reason() {
    let node = Node::new(options());
    let mut peer = Peer::connect(node.listen());
    peer.send(hello(OTHER_VERSION));
    let Some(Body::HelloRefused(refusal)) = peer.receive() else {
        panic!("no refusal")
    };
    assert_eq!(refusal.supported_version, PROTOCOL_VERSION);
    assert!(refusal.reason.contains("99"), "{}", refusal.reason);
    assert!(peer.receive().is_none());
    assert!(node.has_no_events());
}

/// The address accepts connections but never responds, like a frozen process.
#[test]
fn concurrent_connects_share_the_failure_of_an_attempt() {
    let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).unwrap();
    let address = listener.local_addr().unwrap();
    let timeout = Duration::from_millis(300);
    let node = Node::new(options().connect_timeout(timeout));
    let started = Instant::now();
    let calls: Vec<_> = (0..20)
        .map(|_| {
            let links = node.links.clone();
            node.executor.spawn(async move { links.connect(address).await })
        })
        .collect();
    for call in calls {
        let error = block_on(call).unwrap_err();
        assert!(matches!(error, LinkError::Timeout(at) if at == address));
    }
    // One attempt for the calls that started together, and one for late calls.
    let took = started.elapsed();
    assert!(took < timeout * 3, "{took:?}");
    drop(listener);
}

#[rstest]
#[case::refused(Body::HelloRefused(HelloRefused {
    supported_version: OTHER_VERSION,
    reason: "only 99 here".to_owned(),
}), "99")]
#[case::other_version(hello(OTHER_VERSION), "99")]
#[case::no_hello(Body::Heartbeat(Heartbeat::default()), "no greeting")]
fn refused_connect_fails_with_the_reason(
    #[case] response: Body,
    #[case] reason: &str,
) {
    let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).unwrap();
    let address = listener.local_addr().unwrap();
    let peer = thread::spawn(move || {
        let mut peer = Peer::new(listener.accept().unwrap().0);
        peer.receive();
        peer.send(response);
        peer
    });
    let node = Node::new(options());
    match block_on(node.links.connect(address)) {
        Err(LinkError::Refused(at, why)) => {
            assert_eq!(at, address);
            assert!(why.contains(reason), "{why}");
        }
        other => panic!("{other:?}"),
    }
    assert!(node.has_no_events());
    drop(peer.join());
}

#[test]
fn frames_arrive_in_order() {
    const FRAMES: u32 = 3_000;
    let sender = Node::new(options().queue_limit_bytes(64 << 20));
    let receiver = Node::new(options());
    let link = sender.connect(receiver.listen());
    receiver.next_opened();
    for position in 0..FRAMES {
        // Some frames fill the socket buffer, so that the writer task takes
        // over.
        let size = if position % 50 == 0 { 100_000 } else { 10 };
        link.send(step(position, size)).unwrap();
    }
    for expected in 0..FRAMES {
        match receiver.next_event() {
            LinkEvent::Frame(_, Body::Step(step)) => {
                assert_eq!(step.position, expected);
            }
            other => panic!("{other:?}"),
        }
    }
}

#[test]
fn concurrent_connects_share_a_link() {
    const CALLERS: usize = 16;
    let node = Node::new(options());
    let (address, peers) = listening_peers();
    let calls: Vec<_> = (0..CALLERS)
        .map(|_| {
            let links = node.links.clone();
            node.executor.spawn(async move { links.connect(address).await })
        })
        .collect();
    let ids: BTreeSet<u64> =
        calls.into_iter().map(|call| block_on(call).unwrap().id()).collect();
    assert_eq!(ids.len(), 1);
    node.next_opened();
    assert!(node.has_no_events());
    assert_eq!(peers.len(), 1);
    let existing = node.links.existing(address).map(|link| link.id());
    assert_eq!(existing, ids.first().copied());
}

/// Concurrent calls to a peer that never responds wait for one timeout
/// together, not for one timeout after another.
#[test]
fn concurrent_connects_share_a_timeout() {
    const CALLERS: u32 = 16;
    let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).unwrap();
    let address = listener.local_addr().unwrap();
    let timeout = Duration::from_millis(200);
    let node = Node::new(options().connect_timeout(timeout));
    let started = Instant::now();
    let calls: Vec<_> = (0..CALLERS)
        .map(|_| {
            let links = node.links.clone();
            node.executor.spawn(async move { links.connect(address).await })
        })
        .collect();
    for call in calls {
        let outcome = block_on(call);
        assert!(matches!(outcome, Err(LinkError::Timeout(_))));
    }
    let took = started.elapsed();
    assert!(took < timeout * CALLERS / 2, "took {took:?}");
}

#[test]
fn connect_replaces_a_closed_link() {
    let node = Node::new(options());
    let (address, _peers) = listening_peers();
    let first = node.connect(address);
    node.next_opened();
    first.close(CloseReason::Local);
    assert!(node.links.existing(address).is_none());
    let second = node.connect(address);
    assert_ne!(first.id(), second.id());
}

#[test]
fn connect_without_handshake_times_out() {
    let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).unwrap();
    let address = listener.local_addr().unwrap();
    let short = Duration::from_millis(50);
    let node = Node::new(options().connect_timeout(short));
    match block_on(node.links.connect(address)) {
        Err(LinkError::Timeout(at)) => assert_eq!(at, address),
        other => panic!("{other:?}"),
    }
    assert!(node.has_no_events());
}

#[test]
fn refused_connection_is_unreachable() {
    let address = closed_address();
    let node = Node::new(options());
    let outcome = block_on(node.links.connect(address));
    assert!(matches!(outcome, Err(LinkError::Unreachable(..))));
}

/// A cancelled connection attempt leaves the address usable.
#[test]
fn connect_succeeds_after_a_cancelled_attempt() {
    let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).unwrap();
    let address = listener.local_addr().unwrap();
    let node = Node::new(options());
    let links = node.links.clone();
    let call =
        node.executor.spawn(async move { links.connect(address).await });
    let first = listener.accept().unwrap().0;
    block_on(call.cancel());
    drop(first);
    thread::spawn(move || {
        let mut peer = Peer::new(listener.accept().unwrap().0);
        peer.receive();
        peer.send(hello(PROTOCOL_VERSION));
        while peer.receive().is_some() {}
    });
    node.connect(address);
    node.next_opened();
}

#[test]
fn busy_link_closes_when_the_peer_is_silent() {
    let node = Node::new(options());
    let (address, peers) = listening_peers();
    let link = node.connect(address);
    let mut peer = block_on(peers.recv()).unwrap();
    let _guard = link.track_request();
    assert_eq!(node.next_closed(), CloseReason::Silent);
    assert!(link.is_closed());
    assert!(node.links.open().is_empty());
    assert!(node.has_no_events());
    // A heartbeat was requested before.
    let request = peer.receive();
    assert!(matches!(request, Some(Body::Heartbeat(h)) if h.is_reply_wanted));
}

/// A series of short requests does not hide that the peer is silent.
#[test]
fn link_with_short_requests_closes_when_the_peer_is_silent() {
    let node = Node::new(options());
    let (address, _peers) = listening_peers();
    let link = node.connect(address);
    node.next_opened();
    let start = Instant::now();
    while node.events.is_empty() {
        assert!(start.elapsed() < TEST_TIMEOUT, "the link stays open");
        let _guard = link.track_request();
        thread::sleep(Duration::from_millis(5));
    }
    assert_eq!(node.next_closed(), CloseReason::Silent);
}

/// A request on a link that was idle for a long time does not close the link.
#[test]
fn idle_time_does_not_count_as_silence() {
    let node = Node::new(options());
    let remote = Node::new(options());
    let link = node.connect(remote.listen());
    node.next_opened();
    // Longer than the silence timeout.
    thread::sleep(Duration::from_millis(1_000));
    for _ in 0..200 {
        let _guard = link.track_request();
        thread::yield_now();
    }
    let _guard = link.track_request();
    thread::sleep(Duration::from_millis(100));
    assert!(!link.is_closed());
}

#[test]
fn busy_link_stays_open_while_the_peer_responds() {
    const HEARTBEATS: usize = 10;
    let local = Node::new(options());
    let remote = Node::new(options());
    let link = local.connect(remote.listen());
    local.next_opened();
    let _guard = link.track_request();
    for _ in 0..HEARTBEATS {
        match local.next_event() {
            LinkEvent::Frame(_, Body::Heartbeat(heartbeat)) => {
                assert!(!heartbeat.is_reply_wanted);
            }
            other => panic!("{other:?}"),
        }
    }
    assert!(!link.is_closed());
}

#[test]
fn idle_link_has_a_longer_timeout() {
    let idle_interval = Duration::from_millis(200);
    let node = Node::new(options().idle_interval(idle_interval));
    let (address, _peers) = listening_peers();
    let start = Instant::now();
    node.connect(address);
    assert_eq!(node.next_closed(), CloseReason::Silent);
    // Rounding loses a millisecond at each end.
    let min = idle_interval * 2 - Duration::from_millis(2);
    assert!(start.elapsed() > min, "{:?}", start.elapsed());
}

#[test]
fn link_closes_when_the_peer_does_not_read() {
    const MAX_FRAMES: u32 = 10_000;
    let node = Node::new(options());
    let (address, peers) = listening_peers();
    let link = node.connect(address);
    let _peer = block_on(peers.recv()).unwrap();
    let refused = (0..MAX_FRAMES)
        .find_map(|position| link.send(step(position, 10_000)).err());
    let reason = CloseReason::Overrun;
    assert!(matches!(refused, Some(LinkError::Closed(r)) if r == reason));
    assert_eq!(node.next_closed(), CloseReason::Overrun);
    assert!(node.has_no_events());
    let later = link.send(step(0, 1));
    assert!(matches!(later, Err(LinkError::Closed(r)) if r == reason));
}

/// The link stays open when a frame exceeds the limit of the peer.
#[test]
fn frame_that_is_too_long_is_not_sent() {
    let local = Node::new(options());
    let remote = Node::new(options());
    let link = local.connect(remote.listen());
    remote.next_opened();
    let outcome = link.send(step(0, 300_000));
    match outcome {
        Err(LinkError::TooLong { length, limit }) => {
            assert!(length > 300_000);
            assert_eq!(limit, 256 * 1024);
        }
        other => panic!("{other:?}"),
    }
    link.send(step(1, 10)).unwrap();
    match remote.next_event() {
        LinkEvent::Frame(_, Body::Step(step)) => assert_eq!(step.position, 1),
        other => panic!("{other:?}"),
    }
}

#[derive(Clone, Copy)]
enum Ending {
    PeerCloses,
    PeerHalfCloses,
    PeerSendsGarbage,
    PeerSendsTooLong,
    ClosedLocally,
    ClosedLocallyByThreads,
}

#[rstest]
#[case::peer_closes(Ending::PeerCloses, CloseReason::Lost)]
#[case::peer_half_closes(Ending::PeerHalfCloses, CloseReason::Lost)]
#[case::garbage(Ending::PeerSendsGarbage, CloseReason::Protocol)]
#[case::too_long(Ending::PeerSendsTooLong, CloseReason::Protocol)]
#[case::closed_locally(Ending::ClosedLocally, CloseReason::Local)]
#[case::closed_by_several_threads(
    Ending::ClosedLocallyByThreads,
    CloseReason::Local
)]
fn close_is_reported_once(
    #[case] ending: Ending,
    #[case] reason: CloseReason,
) {
    let node = Node::new(options());
    let (address, peers) = listening_peers();
    let link = node.connect(address);
    let mut peer = block_on(peers.recv()).unwrap();
    let opened = node.next_opened();
    assert_eq!(opened.id(), link.id());
    assert_eq!(link.peer().vm, "vm-b");
    match ending {
        Ending::PeerCloses => drop(peer),
        Ending::PeerHalfCloses => {
            peer.socket.shutdown(Shutdown::Write).unwrap();
        }
        Ending::PeerSendsGarbage => {
            peer.socket.write_all(&[2, 0, 0, 0, 0x0a, 5]).unwrap();
        }
        Ending::PeerSendsTooLong => peer.socket.write_all(&[0xff; 4]).unwrap(),
        Ending::ClosedLocally => link.close(CloseReason::Local),
        Ending::ClosedLocallyByThreads => {
            thread::scope(|scope| {
                for _ in 0..8 {
                    scope.spawn(|| link.close(CloseReason::Local));
                }
            });
        }
    }
    assert_eq!(node.next_closed(), reason);
    assert!(node.has_no_events());
    assert!(link.is_closed());
    assert!(node.links.open().is_empty());
    assert!(matches!(link.send(step(0, 1)), Err(LinkError::Closed(_))));
}
