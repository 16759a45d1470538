//! A TCP socket that several tasks may hold.

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

/// How often a connection with unread bytes is looked at again for its end.
const HANG_UP_POLL: Duration = Duration::from_millis(100);

/// A handle to a connection; clones read and write the same socket.
#[derive(Clone, Debug)]
pub struct SharedStream {
    socket: Arc<Async<TcpStream>>,
}

impl SharedStream {
    /// Wraps an open connection and turns off Nagle's algorithm.
    ///
    /// # Errors
    ///
    /// The socket does not take the option.
    pub fn new(socket: Async<TcpStream>) -> io::Result<SharedStream> {
        socket.get_ref().set_nodelay(true)?;
        Ok(SharedStream { socket: Arc::new(socket) })
    }

    /// Dials an address.
    ///
    /// # Errors
    ///
    /// The address cannot be reached.
    pub async fn connect(address: SocketAddr) -> io::Result<SharedStream> {
        SharedStream::new(Async::<TcpStream>::connect(address).await?)
    }

    /// The address of the other end.
    ///
    /// # Errors
    ///
    /// The connection has ended.
    pub fn peer_address(&self) -> io::Result<SocketAddr> {
        self.socket.get_ref().peer_addr()
    }

    /// Waits until the other end has closed the connection. A half-closed
    /// connection counts as closed.
    pub async fn peer_closed(&self) {
        let mut byte = [0];
        loop {
            match self.socket.get_ref().peek(&mut byte) {
                // `Async::peek` would look again whenever its task runs.
                Err(e) if e.kind() == io::ErrorKind::WouldBlock => {
                    if self.readable().await.is_err() {
                        return;
                    }
                }
                Ok(0) | Err(_) => return,
                // Unread bytes of a next request stand before the end.
                Ok(_) if self.has_ended() => return,
                Ok(_) => {
                    Timer::after(HANG_UP_POLL).await;
                }
            }
        }
    }

    /// Waits until bytes or the end of the connection can be read.
    pub(crate) async fn readable(&self) -> io::Result<()> {
        self.socket.readable().await
    }

    /// Ends the connection for all who hold it.
    pub(crate) fn shut_down(&self) {
        // An error means that it has ended before.
        let _ = self.socket.get_ref().shutdown(Shutdown::Both);
    }

    /// Whether the other end has closed, also when unread bytes are left.
    fn has_ended(&self) -> bool {
        let ended = PollFlags::RDHUP | PollFlags::HUP | PollFlags::ERR;
        let mut polled = [PollFd::new(&*self.socket, PollFlags::RDHUP)];
        let at_once = Timespec::default();
        match poll(&mut polled, Some(&at_once)) {
            Ok(_) => polled[0].revents().intersects(ended),
            Err(_) => false,
        }
    }

    /// Whether an idle connection can still be used: it has neither ended nor
    /// has the other end sent something unasked.
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

    /// Ends the writing side; `Async` itself would only flush.
    fn poll_close(
        self: Pin<&mut Self>,
        _: &mut Context<'_>,
    ) -> Poll<io::Result<()>> {
        Poll::Ready(self.socket.get_ref().shutdown(Shutdown::Write))
    }
}
