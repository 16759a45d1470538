//! Processes on a loopback socket, real and scripted.
#![allow(dead_code)]

use std::{
    io::{Read as _, Write as _},
    net::{Ipv4Addr, SocketAddr, TcpListener, TcpStream},
    sync::Arc,
    thread,
    time::Duration,
};

use async_channel::Receiver;
use async_executor::Executor;
use async_io::{Async, Timer, block_on};
use chestnutreach_protocol::{
    CloseReason, Identity, Link, LinkEvent, LinkOptions, Links,
    PROTOCOL_VERSION, codec,
    wire::{Hello, Role, frame::Body},
};
use futures_lite::FutureExt as _;

/// Time after which a test that waits counts as hung.
pub const TEST_TIMEOUT: Duration = Duration::from_secs(20);
/// An interval that no test reaches.
pub const NEVER: Duration = Duration::from_secs(3600);
const THREADS: usize = 3;

/// Small limits, and no heartbeats on idle links.
pub fn options() -> LinkOptions {
    LinkOptions::new()
        .connect_timeout(Duration::from_secs(2))
        .busy_interval(Duration::from_millis(40))
        .silence_timeout(Duration::from_millis(800))
        .idle_interval(NEVER)
        .queue_limit_bytes(64 * 1024)
        .max_frame_bytes(256 * 1024)
}

/// A process with links, and the events of its links.
pub struct Node {
    pub links: Links,
    pub events: Receiver<LinkEvent>,
    pub executor: Arc<Executor<'static>>,
}

impl Node {
    pub fn new(options: LinkOptions) -> Node {
        let executor = Arc::new(Executor::new());
        for _ in 0..THREADS {
            let executor = executor.clone();
            thread::spawn(move || {
                block_on(executor.run(std::future::pending::<()>()))
            });
        }
        let (send, events) = async_channel::unbounded();
        let handler = Arc::new(move |event| {
            let _ = send.try_send(event);
        });
        let identity = Identity::new("vm-a", Role::Entry, "hall-a");
        let links = Links::new(identity, options, executor.clone(), handler);
        Node { links, events, executor }
    }

    /// Accepts links on an unused port.
    pub fn listen(&self) -> SocketAddr {
        let listener =
            Async::<TcpListener>::bind((Ipv4Addr::LOCALHOST, 0)).unwrap();
        let address = listener.get_ref().local_addr().unwrap();
        self.links.listen(listener);
        address
    }

    pub fn connect(&self, address: SocketAddr) -> Link {
        block_on(self.links.connect(address)).unwrap()
    }

    /// Returns the next event; panics on a timeout.
    pub fn next_event(&self) -> LinkEvent {
        let timeout = async {
            Timer::after(TEST_TIMEOUT).await;
            panic!("no event")
        };
        block_on(self.events.recv().or(timeout)).unwrap()
    }

    pub fn next_opened(&self) -> Link {
        match self.next_event() {
            LinkEvent::Opened(link) => link,
            other => panic!("{other:?} before a link opened"),
        }
    }

    /// Returns the reason of the next close and skips earlier events.
    pub fn next_closed(&self) -> CloseReason {
        loop {
            if let LinkEvent::Closed(_, reason) = self.next_event() {
                return reason;
            }
        }
    }

    /// Whether no event occurs within a short time.
    pub fn has_no_events(&self) -> bool {
        thread::sleep(Duration::from_millis(100));
        self.events.is_empty()
    }
}

pub fn hello(protocol_version: u32) -> Body {
    Body::Hello(Hello {
        protocol_version,
        vm: "vm-b".to_owned(),
        boot_id: 1,
        ..Hello::default()
    })
}

/// A connection whose remote end is scripted by the test.
pub struct Peer {
    pub socket: TcpStream,
    decoder: codec::Decoder,
}

impl Peer {
    pub fn new(socket: TcpStream) -> Peer {
        socket.set_read_timeout(Some(TEST_TIMEOUT)).unwrap();
        Peer { socket, decoder: codec::Decoder::new(1 << 20) }
    }

    pub fn connect(address: SocketAddr) -> Peer {
        Peer::new(TcpStream::connect(address).unwrap())
    }

    pub fn send(&mut self, body: Body) {
        let mut bytes = Vec::new();
        codec::encode(body, &mut bytes);
        self.socket.write_all(&bytes).unwrap();
    }

    /// Returns the next frame, or None if the connection is closed.
    pub fn receive(&mut self) -> Option<Body> {
        let mut chunk = [0; 4096];
        loop {
            if let Some(body) = self.decoder.next_body().unwrap() {
                return Some(body);
            }
            match self.socket.read(&mut chunk) {
                Ok(0) | Err(_) => return None,
                Ok(count) => self.decoder.extend(&chunk[..count]),
            }
        }
    }
}

/// Starts a listener that completes the handshake of each connection in turn.
pub fn listening_peers() -> (SocketAddr, Receiver<Peer>) {
    let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).unwrap();
    let address = listener.local_addr().unwrap();
    let (send, peers) = async_channel::unbounded();
    thread::spawn(move || {
        for socket in listener.incoming() {
            let mut peer = Peer::new(socket.unwrap());
            assert!(matches!(peer.receive(), Some(Body::Hello(_))));
            peer.send(hello(PROTOCOL_VERSION));
            let _ = send.try_send(peer);
        }
    });
    (address, peers)
}
