//! The handshake of a link: both processes announce their identities. A
//! process with another protocol version is refused with a reason.

use std::{
    io,
    net::{SocketAddr, TcpStream},
    sync::atomic::Ordering,
};

use async_io::{Async, Timer};
use futures_lite::{AsyncReadExt as _, AsyncWriteExt as _, FutureExt as _};

use super::{Link, LinkError, Links, traffic::TrafficClass};
use crate::{
    PROTOCOL_VERSION,
    codec::{self, Decoder},
    wire::{Hello, HelloRefused, frame::Body},
};

impl Links {
    pub(super) async fn connect_new(
        &self,
        address: SocketAddr,
    ) -> Result<Link, LinkError> {
        let handshake = async {
            let socket = Async::<TcpStream>::connect(address).await?;
            socket.get_ref().set_nodelay(true)?;
            let mut bytes = Vec::new();
            codec::encode(Body::Hello(self.hello()), &mut bytes);
            (&socket).write_all(&bytes).await?;
            self.shared
                .base_counters
                .record_sent(TrafficClass::Control, bytes.len());
            let (first, decoder) = self.read_first_frame(&socket).await?;
            Ok((socket, first, decoder))
        };
        let timeout = async {
            Timer::after(self.shared.options.connect_timeout).await;
            Err(io::Error::from(io::ErrorKind::TimedOut))
        };
        let outcome: io::Result<_> = handshake.or(timeout).await;
        let (socket, first, decoder) = outcome.map_err(|e| {
            if e.kind() == io::ErrorKind::TimedOut {
                LinkError::Timeout(address)
            } else {
                LinkError::Unreachable(address, e.to_string())
            }
        })?;
        match first {
            Body::Hello(peer) if peer.protocol_version == PROTOCOL_VERSION => {
                Ok(self.open_link(socket, peer, Some(address), decoder))
            }
            Body::Hello(peer) => {
                let why = unsupported_version(peer.protocol_version);
                Err(LinkError::Refused(address, why))
            }
            Body::HelloRefused(why) => {
                Err(LinkError::Refused(address, why.reason))
            }
            _ => {
                let why = "the first message is no greeting";
                Err(LinkError::Refused(address, why.to_owned()))
            }
        }
    }

    pub(super) fn spawn_accepted(&self, socket: Async<TcpStream>) {
        let links = self.clone();
        let handshake = async move {
            let timeout = async {
                Timer::after(links.shared.options.connect_timeout).await;
                Err(io::Error::from(io::ErrorKind::TimedOut))
            };
            // The connection of a peer without a handshake is dropped
            // silently: the peer is not a process of this system.
            let _ = links.accept_handshake(socket).or(timeout).await;
        };
        self.shared.executor.spawn(handshake).detach();
    }

    async fn accept_handshake(
        &self,
        socket: Async<TcpStream>,
    ) -> io::Result<()> {
        socket.get_ref().set_nodelay(true)?;
        let (first, decoder) = self.read_first_frame(&socket).await?;
        let Body::Hello(peer) = first else {
            return Err(io::ErrorKind::InvalidData.into());
        };
        let is_supported = peer.protocol_version == PROTOCOL_VERSION;
        let response = if is_supported {
            Body::Hello(self.hello())
        } else {
            refuse_hello(peer.protocol_version)
        };
        let mut bytes = Vec::new();
        codec::encode(response, &mut bytes);
        (&socket).write_all(&bytes).await?;
        self.shared
            .base_counters
            .record_sent(TrafficClass::Control, bytes.len());
        if is_supported {
            self.open_link(socket, peer, None, decoder);
        }
        Ok(())
    }

    async fn read_first_frame(
        &self,
        socket: &Async<TcpStream>,
    ) -> io::Result<(Body, Decoder)> {
        let mut decoder = Decoder::new(self.shared.options.max_frame_bytes);
        let mut chunk = [0; 1024];
        loop {
            let count = (&*socket).read(&mut chunk).await?;
            if count == 0 {
                return Err(io::ErrorKind::UnexpectedEof.into());
            }
            decoder.extend(&chunk[..count]);
            let next = decoder
                .next_body()
                .map_err(|e| io::Error::new(io::ErrorKind::InvalidData, e))?;
            if let Some(body) = next {
                let bytes = decoder.last_frame_bytes();
                self.shared
                    .base_counters
                    .record_received(TrafficClass::Control, bytes);
                return Ok((body, decoder));
            }
        }
    }

    fn hello(&self) -> Hello {
        let generation = self.shared.generation.load(Ordering::Acquire);
        self.shared.identity.to_hello(generation)
    }
}

fn refuse_hello(version: u32) -> Body {
    let reason = unsupported_version(version);
    let supported_version = PROTOCOL_VERSION;
    Body::HelloRefused(HelloRefused { supported_version, reason })
}

fn unsupported_version(version: u32) -> String {
    format!(
        "inner protocol version {version} is not known here, \
         only {PROTOCOL_VERSION}"
    )
}
