//! Bodies that are written while they are sent.
//!
//! The writer may fail or be dropped before its end: the reader then gets an
//! error and never an end of body, so that a broken answer cannot pass for a
//! whole one. A reader that is dropped, because the caller has gone, shows at
//! the writer.

use std::{
    collections::VecDeque,
    io,
    pin::Pin,
    sync::{Arc, Mutex, MutexGuard},
    task::{Context, Poll, Waker},
};

use futures_lite::{AsyncBufRead, AsyncRead};
use http_types::Body;

/// A streamed body and the end that writes it.
pub fn channel() -> (BodyWriter, Body) {
    let shared = Arc::new(Shared::default());
    let writer = BodyWriter { shared: shared.clone() };
    let reader = BodyReader { shared, current: Vec::new(), read: 0 };
    (writer, Body::from_reader(reader, None))
}

#[derive(Default)]
struct Shared {
    state: Mutex<State>,
}

#[derive(Default)]
struct State {
    parts: VecDeque<Vec<u8>>,
    end: Option<End>,
    is_reader_gone: bool,
    reader_waker: Option<Waker>,
    writer_waker: Option<Waker>,
}

#[derive(Clone, Copy)]
enum End {
    Whole,
    Broken,
}

impl Shared {
    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().expect("no holder panics")
    }
}

/// The writing end; dropping it before [`BodyWriter::finish`] breaks the
/// body.
pub struct BodyWriter {
    shared: Arc<Shared>,
}

impl BodyWriter {
    /// Adds bytes without waiting; false when the reader has gone.
    pub fn write(&self, bytes: Vec<u8>) -> bool {
        let mut state = self.shared.lock();
        if state.is_reader_gone {
            return false;
        }
        state.parts.push_back(bytes);
        state.wake_reader();
        true
    }

    /// Ends the body as whole.
    pub fn finish(self) {
        self.shared.lock().end = Some(End::Whole);
    }

    /// Waits until the reader has gone.
    pub async fn reader_dropped(&self) {
        std::future::poll_fn(|cx| {
            let mut state = self.shared.lock();
            if state.is_reader_gone {
                return Poll::Ready(());
            }
            state.writer_waker = Some(cx.waker().clone());
            Poll::Pending
        })
        .await;
    }
}

impl Drop for BodyWriter {
    fn drop(&mut self) {
        let mut state = self.shared.lock();
        state.end.get_or_insert(End::Broken);
        state.wake_reader();
    }
}

impl State {
    fn wake_reader(&mut self) {
        if let Some(waker) = self.reader_waker.take() {
            waker.wake();
        }
    }
}

struct BodyReader {
    shared: Arc<Shared>,
    current: Vec<u8>,
    read: usize,
}

impl Drop for BodyReader {
    fn drop(&mut self) {
        let mut state = self.shared.lock();
        state.is_reader_gone = true;
        state.parts.clear();
        if let Some(waker) = state.writer_waker.take() {
            waker.wake();
        }
    }
}

impl AsyncBufRead for BodyReader {
    fn poll_fill_buf(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<io::Result<&[u8]>> {
        let this = self.get_mut();
        while this.read == this.current.len() {
            let mut state = this.shared.lock();
            if let Some(part) = state.parts.pop_front() {
                this.current = part;
                this.read = 0;
                continue;
            }
            match state.end {
                Some(End::Whole) => return Poll::Ready(Ok(&[])),
                Some(End::Broken) => {
                    let broken = io::ErrorKind::ConnectionAborted.into();
                    return Poll::Ready(Err(broken));
                }
                None => {
                    state.reader_waker = Some(cx.waker().clone());
                    return Poll::Pending;
                }
            }
        }
        Poll::Ready(Ok(&this.current[this.read..]))
    }

    fn consume(self: Pin<&mut Self>, amount: usize) {
        self.get_mut().read += amount;
    }
}

impl AsyncRead for BodyReader {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut [u8],
    ) -> Poll<io::Result<usize>> {
        let filled = match self.as_mut().poll_fill_buf(cx) {
            Poll::Ready(Ok(filled)) => filled,
            Poll::Ready(Err(e)) => return Poll::Ready(Err(e)),
            Poll::Pending => return Poll::Pending,
        };
        let count = filled.len().min(buf.len());
        buf[..count].copy_from_slice(&filled[..count]);
        self.consume(count);
        Poll::Ready(Ok(count))
    }
}
