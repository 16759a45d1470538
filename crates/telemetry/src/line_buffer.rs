//! Bounded buffer of log lines.
//!
//! Logging only appends to the buffer; a separate thread writes the buffer
//! out a few times a second. A slow or disconnected reader of the output
//! therefore never blocks a request. When the buffer is full, lines below
//! `warn` are dropped first, since part of the buffer is reserved for the
//! more severe lines. The number of dropped lines is logged as an event.

use std::{
    io::{self, Write as _},
    sync::{
        Arc, Mutex, MutexGuard,
        atomic::{AtomicU64, Ordering::Relaxed},
    },
    thread,
    time::Duration,
};

use logforth::{
    Append, Diagnostic, Error, Layout,
    layout::JsonLayout,
    record::{Level, Record},
};

/// Capacity of the buffer.
pub const MAX_BUFFERED_BYTES: usize = 512 << 10;
/// Part of the capacity that is reserved for lines of level `warn` or above.
const RESERVED_BYTES: usize = 128 << 10;
/// Interval between writes; bounds the delay of a line. Each write wakes a
/// thread, so a shorter interval costs more CPU.
const WRITE_INTERVAL: Duration = Duration::from_millis(250);

/// Delay before a write to a full non-blocking output is retried.
const OUTPUT_RETRY_DELAY: Duration = Duration::from_millis(10);

/// Buffer that the logging threads share with the writer thread.
#[derive(Clone, Debug, Default)]
pub struct LineBuffer {
    shared: Arc<Shared>,
}

#[derive(Debug, Default)]
struct Shared {
    pending: Mutex<Vec<u8>>,
    dropped: AtomicU64,
}

impl LineBuffer {
    /// An empty buffer.
    pub fn new() -> LineBuffer {
        LineBuffer::default()
    }

    /// Number of lines dropped since the buffer was created.
    pub fn dropped_lines(&self) -> u64 {
        self.shared.dropped.load(Relaxed)
    }

    /// Starts the thread that writes to standard output.
    ///
    /// # Errors
    ///
    /// The thread could not be spawned.
    pub fn start_writer(&self) -> std::io::Result<()> {
        let buffer = self.clone();
        let write = move || {
            let mut logged_drops = 0;
            loop {
                thread::sleep(WRITE_INTERVAL);
                logged_drops = buffer.log_dropped(logged_drops);
                buffer.flush();
            }
        };
        thread::Builder::new().name("logs".to_owned()).spawn(write)?;
        Ok(())
    }

    /// Writes the buffered lines to standard output. Called by the writer
    /// thread, and before the process exits.
    pub fn flush(&self) {
        let lines = std::mem::take(&mut *self.lock());
        let mut remaining = lines.as_slice();
        let mut output = std::io::stdout().lock();
        while !remaining.is_empty() {
            match output.write(&remaining[..remaining.len().min(4_000)]) {
                Ok(0) => return,
                Ok(count) => remaining = &remaining[count..],
                // The output may be a non-blocking pipe. The remaining lines
                // stay here meanwhile, and new lines go to the buffer.
                Err(e) if e.kind() == io::ErrorKind::WouldBlock => {
                    thread::sleep(OUTPUT_RETRY_DELAY);
                }
                Err(e) if e.kind() == io::ErrorKind::Interrupted => {}
                // There is no other place to report the failure to.
                Err(_) => return,
            }
        }
        let _ = output.flush();
    }

    /// Appends a line; returns false if the buffer had no space and the line
    /// was dropped.
    pub fn push(&self, line: &[u8], is_severe: bool) -> bool {
        let mut pending = self.lock();
        let reserved = if is_severe { 0 } else { RESERVED_BYTES };
        if pending.len() + line.len() + 1 > MAX_BUFFERED_BYTES - reserved {
            self.shared.dropped.fetch_add(1, Relaxed);
            return false;
        }
        pending.extend_from_slice(line);
        pending.push(b'\n');
        true
    }

    fn log_dropped(&self, logged_drops: u64) -> u64 {
        let dropped = self.dropped_lines();
        if dropped > logged_drops {
            let count = dropped - logged_drops;
            crate::emit(crate::Event::LinesDropped, &[("count", &count)]);
        }
        dropped
    }

    fn lock(&self) -> MutexGuard<'_, Vec<u8>> {
        self.shared.pending.lock().expect("no holder panics")
    }
}

/// Formats records as JSON lines into a [`LineBuffer`].
#[derive(Debug)]
pub(crate) struct BufferAppender {
    buffer: LineBuffer,
    layout: JsonLayout,
}

impl BufferAppender {
    pub(crate) fn new(buffer: LineBuffer) -> BufferAppender {
        BufferAppender { buffer, layout: JsonLayout::default() }
    }
}

impl Append for BufferAppender {
    fn append(
        &self,
        record: &Record,
        diags: &[Box<dyn Diagnostic>],
    ) -> Result<(), Error> {
        let line = self.layout.format(record, diags)?;
        self.buffer.push(&line, record.level() >= Level::Warn);
        Ok(())
    }

    fn flush(&self) -> Result<(), Error> {
        self.buffer.flush();
        Ok(())
    }
}
