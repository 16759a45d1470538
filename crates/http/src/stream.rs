//! A TCP socket shared by several tasks.

use std::{
    io,
    net::{Shutdown, SocketAddr, TcpStream},
    pin::Pin,
    sync::Arc,
    task::{Context, Poll},
    time::Duration,
};

use async_io::{Async, Timer};
use futures_lite::{AsyncRead, AsyncWrite};
use rustix::event::{PollFd, PollFlags, Timespec, poll};

/// How often a connection with unread bytes is polled for a close by the peer.
const PEER_CLOSE_POLL_INTERVAL: Duration = Duration::from_millis(100);

/// A handle to a connection. Clones read and write the same socket.
#[derive(Clone, Debug)]
pub struct SharedStream {
    socket: Arc<Async<TcpStream>>,
}

impl SharedStream {
    /// Wraps an open connection and turns off Nagle's algorithm.
    ///
    /// # Errors
    ///
    /// The socket option cannot be set.
    pub fn new(socket: Async<TcpStream>) -> io::Result<SharedStream> {
        socket.get_ref().set_nodelay(true)?;
        Ok(SharedStream { socket: Arc::new(socket) })
    }

    /// Connects to an address.
    ///
    /// # Errors
    ///
    /// The connection fails.
    pub async fn connect(address: SocketAddr) -> io::Result<SharedStream> {
        SharedStream::new(Async::<TcpStream>::connect(address).await?)
    }

    /// The address of the peer.
    ///
    /// # Errors
    ///
    /// The connection is closed.
    pub fn peer_address(&self) -> io::Result<SocketAddr> {
        self.socket.get_ref().peer_addr()
    }

    /// Waits until the peer has closed the connection. A half-closed
    /// connection counts as closed.
    pub async fn peer_closed(&self) {
        let mut byte = [0];
        loop {
            match self.socket.get_ref().peek(&mut byte) {
                // `Async::peek` would peek again on each wake of the task.
                Err(e) if e.kind() == io::ErrorKind::WouldBlock => {
                    if self.readable().await.is_err() {
                        return;
                    }
                }
                Ok(0) | Err(_) => return,
                // Unread bytes of the next request precede the end of the
                // stream.
                Ok(_) if self.is_closed_by_peer() => return,
                Ok(_) => {
                    Timer::after(PEER_CLOSE_POLL_INTERVAL).await;
                }
            }
        }
    }

    /// Waits until bytes or the end of the stream can be read.
    pub(crate) async fn readable(&self) -> io::Result<()> {
        self.socket.readable().await
    }

    /// Closes the connection for all handles.
    pub(crate) fn shut_down(&self) {
        // An error means that the connection is closed already.
        let _ = self.socket.get_ref().shutdown(Shutdown::Both);
    }

    /// Whether the peer has closed the connection, even if unread bytes are
    /// left.
    pub(crate) fn is_closed_by_peer(&self) -> bool {
        let closed = PollFlags::RDHUP | PollFlags::HUP | PollFlags::ERR;
        let mut polled = [PollFd::new(&*self.socket, PollFlags::RDHUP)];
        let no_wait = Timespec::default();
        match poll(&mut polled, Some(&no_wait)) {
            Ok(_) => polled[0].revents().intersects(closed),
            Err(_) => false,
        }
    }

    /// Whether an idle connection can be used again: the peer has neither
    /// closed the connection nor sent surplus bytes.
    pub(crate) fn is_idle(&self) -> bool {
        let mut byte = [0];
        match self.socket.get_ref().peek(&mut byte) {
            Err(e) => e.kind() == io::ErrorKind::WouldBlock,
            Ok(_) => false,
        }
    }
}

impl AsyncRead for SharedStream {
    fn poll_read(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut [u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut &*self.socket).poll_read(cx, buf)
    }
}

impl AsyncWrite for SharedStream {
    fn poll_write(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut &*self.socket).poll_write(cx, buf)
    }

    fn poll_flush(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<io::Result<()>> {
        Pin::new(&mut &*self.socket).poll_flush(cx)
    }

    /// Shuts down the writing side; `Async` itself would only flush.
    fn poll_close(
        self: Pin<&mut Self>,
        _: &mut Context<'_>,
    ) -> Poll<io::Result<()>> {
        Poll::Ready(self.socket.get_ref().shutdown(Shutdown::Write))
    }
}
