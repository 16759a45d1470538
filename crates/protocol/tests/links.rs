//! Links between processes over loopback.

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
use rstest::rstest;

use support::{Node, PATIENCE, Peer, greeting, greeting_peers, options};

const OTHER_VERSION: u32 = 99;

fn step(position: u32, activation_bytes: usize) -> Body {
    let activation = vec![7; activation_bytes];
    Body::Step(Step { position, activation, ..Step::default() })
}

#[test]
fn other_version_is_refused_by_name() {
    let node = Node::new(options());
    let mut peer = Peer::dial(node.listen());
    peer.send(greeting(OTHER_VERSION));
    let Some(Body::HelloRefused(refusal)) = peer.receive() else {
        panic!("no refusal")
    };
    assert_eq!(refusal.supported_version, PROTOCOL_VERSION);
    assert!(refusal.reason.contains("99"), "{}", refusal.reason);
    assert!(peer.receive().is_none());
    assert!(node.is_quiet());
}

/// An address that takes connections and says nothing, as a frozen process.
#[test]
fn those_who_wait_for_an_attempt_share_its_failure() {
    let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).unwrap();
    let address = listener.local_addr().unwrap();
    let timeout = Duration::from_millis(300);
    let node = Node::new(options().connect_timeout(timeout));
    let started = Instant::now();
    let dials: Vec<_> = (0..20)
        .map(|_| {
            let links = node.links.clone();
            node.executor.spawn(async move { links.connect(address).await })
        })
        .collect();
    for dial in dials {
        let error = block_on(dial).unwrap_err();
        assert!(matches!(error, LinkError::Timeout(at) if at == address));
    }
    // One attempt for those that came together, and one for stragglers.
    let took = started.elapsed();
    assert!(took < timeout * 3, "{took:?}");
    drop(listener);
}

#[rstest]
#[case::refused(Body::HelloRefused(HelloRefused {
    supported_version: OTHER_VERSION,
    reason: "only 99 here".to_owned(),
}), "99")]
#[case::other_version(greeting(OTHER_VERSION), "99")]
#[case::no_greeting(Body::Heartbeat(Heartbeat::default()), "greeting")]
fn refusal_reaches_the_dialler(#[case] answer: Body, #[case] named: &str) {
    let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).unwrap();
    let address = listener.local_addr().unwrap();
    let peer = thread::spawn(move || {
        let mut peer = Peer::new(listener.accept().unwrap().0);
        peer.receive();
        peer.send(answer);
        peer
    });
    let node = Node::new(options());
    match block_on(node.links.connect(address)) {
        Err(LinkError::Refused(at, why)) => {
            assert_eq!(at, address);
            assert!(why.contains(named), "{why}");
        }
        other => panic!("{other:?}"),
    }
    assert!(node.is_quiet());
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
        // Some fill the socket, so that the writer task takes over.
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
fn concurrent_connects_dial_once() {
    const CALLERS: usize = 16;
    let node = Node::new(options());
    let (address, peers) = greeting_peers();
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
    assert!(node.is_quiet());
    assert_eq!(peers.len(), 1);
    let known = node.links.existing(address).map(|link| link.id());
    assert_eq!(known, ids.first().copied());
}

/// A peer that stands still costs all who wait for it one timeout, not one
/// after another.
#[test]
fn concurrent_connects_fail_together() {
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
fn closed_link_is_dialled_anew() {
    let node = Node::new(options());
    let (address, _peers) = greeting_peers();
    let first = node.connect(address);
    node.next_opened();
    first.close(CloseReason::Local);
    assert!(node.links.existing(address).is_none());
    let second = node.connect(address);
    assert_ne!(first.id(), second.id());
}

#[test]
fn peer_that_never_greets_times_out() {
    let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).unwrap();
    let address = listener.local_addr().unwrap();
    let short = Duration::from_millis(50);
    let node = Node::new(options().connect_timeout(short));
    match block_on(node.links.connect(address)) {
        Err(LinkError::Timeout(at)) => assert_eq!(at, address),
        other => panic!("{other:?}"),
    }
    assert!(node.is_quiet());
}

#[test]
fn unreachable_peer_is_told() {
    let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).unwrap();
    let address = listener.local_addr().unwrap();
    drop(listener);
    let node = Node::new(options());
    let outcome = block_on(node.links.connect(address));
    assert!(matches!(outcome, Err(LinkError::Unreachable(..))));
}

/// A caller that gives up while dialling leaves the address usable.
#[test]
fn cancelled_dial_is_tried_again() {
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
        peer.send(greeting(PROTOCOL_VERSION));
        while peer.receive().is_some() {}
    });
    node.connect(address);
    node.next_opened();
}

#[test]
fn silent_peer_of_a_busy_link_is_given_up() {
    let node = Node::new(options());
    let (address, peers) = greeting_peers();
    let link = node.connect(address);
    let mut peer = block_on(peers.recv()).unwrap();
    let _guard = link.track_request();
    assert_eq!(node.next_closed(), CloseReason::Silent);
    assert!(link.is_closed());
    assert!(node.links.open().is_empty());
    assert!(node.is_quiet());
    // The peer was asked before.
    let asked = peer.receive();
    assert!(matches!(asked, Some(Body::Heartbeat(h)) if h.is_reply_wanted));
}

/// Short requests one after another do not hide that nothing is heard.
#[test]
fn silent_peer_of_short_requests_is_given_up() {
    let node = Node::new(options());
    let (address, _peers) = greeting_peers();
    let link = node.connect(address);
    node.next_opened();
    let start = Instant::now();
    while node.events.is_empty() {
        assert!(start.elapsed() < PATIENCE, "not given up");
        let _guard = link.track_request();
        thread::sleep(Duration::from_millis(5));
    }
    assert_eq!(node.next_closed(), CloseReason::Silent);
}

/// A request on a link that was idle for long does not end it.
#[test]
fn idle_time_does_not_count_as_silence() {
    let node = Node::new(options());
    let far = Node::new(options());
    let link = node.connect(far.listen());
    node.next_opened();
    // Longer than the silence limit.
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
fn answering_peer_is_kept() {
    const HEARTBEATS: usize = 10;
    let near = Node::new(options());
    let far = Node::new(options());
    let link = near.connect(far.listen());
    near.next_opened();
    let _guard = link.track_request();
    for _ in 0..HEARTBEATS {
        match near.next_event() {
            LinkEvent::Frame(_, Body::Heartbeat(heartbeat)) => {
                assert!(!heartbeat.is_reply_wanted);
            }
            other => panic!("{other:?}"),
        }
    }
    assert!(!link.is_closed());
}

#[test]
fn idle_link_has_a_longer_limit() {
    let idle_interval = Duration::from_millis(200);
    let node = Node::new(options().idle_interval(idle_interval));
    let (address, _peers) = greeting_peers();
    let start = Instant::now();
    node.connect(address);
    assert_eq!(node.next_closed(), CloseReason::Silent);
    // One millisecond is lost to rounding at each end.
    let least = idle_interval * 2 - Duration::from_millis(2);
    assert!(start.elapsed() > least, "{:?}", start.elapsed());
}

#[test]
fn peer_that_does_not_read_is_given_up() {
    const MOST_FRAMES: u32 = 10_000;
    let node = Node::new(options());
    let (address, peers) = greeting_peers();
    let link = node.connect(address);
    let _peer = block_on(peers.recv()).unwrap();
    let refused = (0..MOST_FRAMES)
        .find_map(|position| link.send(step(position, 10_000)).err());
    let reason = CloseReason::Overrun;
    assert!(matches!(refused, Some(LinkError::Closed(r)) if r == reason));
    assert_eq!(node.next_closed(), CloseReason::Overrun);
    assert!(node.is_quiet());
    let later = link.send(step(0, 1));
    assert!(matches!(later, Err(LinkError::Closed(r)) if r == reason));
}

/// A frame that the peer would refuse costs only itself.
#[test]
fn frame_that_is_too_long_is_not_sent() {
    let near = Node::new(options());
    let far = Node::new(options());
    let link = near.connect(far.listen());
    far.next_opened();
    let outcome = link.send(step(0, 300_000));
    match outcome {
        Err(LinkError::TooLong { length, limit }) => {
            assert!(length > 300_000);
            assert_eq!(limit, 256 * 1024);
        }
        other => panic!("{other:?}"),
    }
    link.send(step(1, 10)).unwrap();
    match far.next_event() {
        LinkEvent::Frame(_, Body::Step(step)) => assert_eq!(step.position, 1),
        other => panic!("{other:?}"),
    }
}

#[derive(Clone, Copy)]
enum End {
    PeerCloses,
    PeerHalfCloses,
    PeerSendsGarbage,
    PeerSendsTooLong,
    ClosedHere,
    ClosedHereByMany,
}

#[rstest]
#[case::peer_closes(End::PeerCloses, CloseReason::Lost)]
#[case::peer_half_closes(End::PeerHalfCloses, CloseReason::Lost)]
#[case::garbage(End::PeerSendsGarbage, CloseReason::Protocol)]
#[case::too_long(End::PeerSendsTooLong, CloseReason::Protocol)]
#[case::closed_here(End::ClosedHere, CloseReason::Local)]
#[case::closed_by_many(End::ClosedHereByMany, CloseReason::Local)]
fn close_is_told_once(#[case] end: End, #[case] reason: CloseReason) {
    let node = Node::new(options());
    let (address, peers) = greeting_peers();
    let link = node.connect(address);
    let mut peer = block_on(peers.recv()).unwrap();
    let opened = node.next_opened();
    assert_eq!(opened.id(), link.id());
    assert_eq!(link.peer().vm, "vm-b");
    match end {
        End::PeerCloses => drop(peer),
        End::PeerHalfCloses => {
            peer.socket.shutdown(Shutdown::Write).unwrap();
        }
        End::PeerSendsGarbage => {
            peer.socket.write_all(&[2, 0, 0, 0, 0x0a, 5]).unwrap();
        }
        End::PeerSendsTooLong => peer.socket.write_all(&[0xff; 4]).unwrap(),
        End::ClosedHere => link.close(CloseReason::Local),
        End::ClosedHereByMany => {
            thread::scope(|scope| {
                for _ in 0..8 {
                    scope.spawn(|| link.close(CloseReason::Local));
                }
            });
        }
    }
    assert_eq!(node.next_closed(), reason);
    assert!(node.is_quiet());
    assert!(link.is_closed());
    assert!(node.links.open().is_empty());
    assert!(matches!(link.send(step(0, 1)), Err(LinkError::Closed(_))));
}
