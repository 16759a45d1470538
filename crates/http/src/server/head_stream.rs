//! A request's head as the stream that the decoder wants.

use std::{
    io,
    pin::Pin,
    sync::{Arc, Mutex},
    task::{Context, Poll},
};

use futures_lite::{AsyncRead, AsyncWrite};
use http_types::Request;

/// Has `async-h1` read a whole head; the body is not its concern.
///
/// # Errors
///
/// Why it refuses the head.
pub(super) async fn decode_head(head: Vec<u8>) -> Result<Request, String> {
    let bytes = Arc::new(Mutex::new(io::Cursor::new(head)));
    match async_h1::server::decode(HeadStream { bytes }).await {
        Ok(Some((mut request, _))) => {
            request.take_body();
            Ok(request)
        }
        Ok(None) => Err("the head is not complete".to_owned()),
        Err(e) => Err(e.to_string()),
    }
}

#[derive(Clone)]
struct HeadStream {
    bytes: Arc<Mutex<io::Cursor<Vec<u8>>>>,
}

impl AsyncRead for HeadStream {
    fn poll_read(
        self: Pin<&mut Self>,
        _: &mut Context<'_>,
        buf: &mut [u8],
    ) -> Poll<io::Result<usize>> {
        let mut bytes = self.bytes.lock().expect("no holder panics");
        Poll::Ready(io::Read::read(&mut *bytes, buf))
    }
}

/// The decoder writes only to answer `Expect`, which is blanked.
impl AsyncWrite for HeadStream {
    fn poll_write(
        self: Pin<&mut Self>,
        _: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        Poll::Ready(Ok(buf.len()))
    }

    fn poll_flush(
        self: Pin<&mut Self>,
        _: &mut Context<'_>,
    ) -> Poll<io::Result<()>> {
        Poll::Ready(Ok(()))
    }

    fn poll_close(
        self: Pin<&mut Self>,
        _: &mut Context<'_>,
    ) -> Poll<io::Result<()>> {
        Poll::Ready(Ok(()))
    }
}
