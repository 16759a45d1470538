//! Streamed bodies, written while they are sent.
//!
//! If the writer is dropped before it finishes the body, the reader gets an
//! error instead of the end of the body, so that a truncated response cannot
//! be mistaken for a complete one. If the reader is dropped because the caller
//! disconnected, the writer learns of it.

use std::{
    collections::VecDeque,
    io,
    pin::Pin,
    sync::{Arc, Mutex, MutexGuard},
    task::{Context, Poll, Waker},
};

use futures_lite::{AsyncBufRead, AsyncRead};
use http_types::Body;

/// Creates a streamed body and the writer that fills it.
pub fn channel() -> (BodyWriter, Body) {
    let shared = Arc::new(Shared::default());
    let writer = BodyWriter { shared: shared.clone() };
    let reader = BodyReader { shared, chunk: Vec::new(), consumed: 0 };
    (writer, Body::from_reader(reader, None))
}

#[derive(Default)]
struct Shared {
    state: Mutex<State>,
}

#[derive(Default)]
struct State {
    chunks: VecDeque<Vec<u8>>,
    end: Option<BodyEnd>,
    is_reader_dropped: bool,
    reader_waker: Option<Waker>,
    writer_waker: Option<Waker>,
}

#[derive(Clone, Copy)]
enum BodyEnd {
    Complete,
    Aborted,
}

impl Shared {
    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().expect("no holder panics")
    }
}

/// Writes a streamed body. Dropping the writer before [`BodyWriter::finish`]
/// makes the reader fail.
pub struct BodyWriter {
    shared: Arc<Shared>,
}

impl BodyWriter {
    /// Appends bytes without waiting. Returns false if the reader was dropped.
    pub fn write(&self, bytes: Vec<u8>) -> bool {
        let mut state = self.shared.lock();
        if state.is_reader_dropped {
            return false;
        }
        state.chunks.push_back(bytes);
        state.wake_reader();
        true
    }

    /// Marks the body as complete.
    pub fn finish(self) {
        self.shared.lock().end = Some(BodyEnd::Complete);
    }

    /// Waits until the reader is dropped.
    pub async fn reader_dropped(&self) {
        std::future::poll_fn(|cx| {
            let mut state = self.shared.lock();
            if state.is_reader_dropped {
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
        state.end.get_or_insert(BodyEnd::Aborted);
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
    /// The chunk that is being read.
    chunk: Vec<u8>,
    /// Bytes of `chunk` that were consumed.
    consumed: usize,
}

impl Drop for BodyReader {
    fn drop(&mut self) {
        let mut state = self.shared.lock();
        state.is_reader_dropped = true;
        state.chunks.clear();
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
        while this.consumed == this.chunk.len() {
            let mut state = this.shared.lock();
            if let Some(chunk) = state.chunks.pop_front() {
                this.chunk = chunk;
                this.consumed = 0;
                continue;
            }
            match state.end {
                Some(BodyEnd::Complete) => return Poll::Ready(Ok(&[])),
                Some(BodyEnd::Aborted) => {
                    let aborted = io::ErrorKind::ConnectionAborted.into();
                    return Poll::Ready(Err(aborted));
                }
                None => {
                    state.reader_waker = Some(cx.waker().clone());
                    return Poll::Pending;
                }
            }
        }
        Poll::Ready(Ok(&this.chunk[this.consumed..]))
    }

    fn consume(self: Pin<&mut Self>, amount: usize) {
        self.get_mut().consumed += amount;
    }
}

impl AsyncRead for BodyReader {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut [u8],
    ) -> Poll<io::Result<usize>> {
        let available = match self.as_mut().poll_fill_buf(cx) {
            Poll::Ready(Ok(available)) => available,
            Poll::Ready(Err(e)) => return Poll::Ready(Err(e)),
            Poll::Pending => return Poll::Pending,
        };
        let count = available.len().min(buf.len());
        buf[..count].copy_from_slice(&available[..count]);
        self.consume(count);
        Poll::Ready(Ok(count))
    }
}
