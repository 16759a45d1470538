//! Presents the bytes of a head as a stream to the decoder of `async-h1`.

use std::{
    io,
    pin::Pin,
    sync::{Arc, Mutex},
    task::{Context, Poll},
};

use futures_lite::{AsyncRead, AsyncWrite};
use http_types::Request;

/// Parses a complete head with `async-h1`, without the body.
///
/// # Errors
///
/// The reason why `async-h1` rejects the head.
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

/// Discards writes. The decoder writes only in response to `Expect`, whose
/// value is blank.
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
