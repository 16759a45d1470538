//! Log lines that wait to be written.
//!
//! Who logs only appends to a buffer of bounded size; a thread of its own
//! writes it out a few times a second. So a reader of the output that is
//! slow, or gone, never holds up a request. When the buffer is full, lines
//! below `warn` are dropped first, since a part is kept for the others; the
//! count of dropped lines follows as a line of its own.

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

/// Bytes of lines that may wait.
pub const MAX_BUFFERED_BYTES: usize = 512 << 10;
/// Bytes that only lines from `warn` on may fill.
const RESERVED_BYTES: usize = 128 << 10;
/// Time from a line to its writing; each writing wakes a thread.
const WRITE_EVERY: Duration = Duration::from_millis(250);

/// Pause while the output takes nothing.
const FULL_OUTPUT_PAUSE: Duration = Duration::from_millis(10);

/// Lines that wait, shared by who logs and the thread that writes.
#[derive(Clone, Debug, Default)]
pub struct LineBuffer {
    shared: Arc<Shared>,
}

#[derive(Debug, Default)]
struct Shared {
    waiting: Mutex<Vec<u8>>,
    dropped: AtomicU64,
}

impl LineBuffer {
    /// An empty buffer.
    pub fn new() -> LineBuffer {
        LineBuffer::default()
    }

    /// Lines dropped since the start.
    pub fn dropped_lines(&self) -> u64 {
        self.shared.dropped.load(Relaxed)
    }

    /// Starts the thread that writes to standard output.
    ///
    /// # Errors
    ///
    /// The system gives no more threads.
    pub fn start_writer(&self) -> std::io::Result<()> {
        let buffer = self.clone();
        let write = move || {
            let mut told = 0;
            loop {
                thread::sleep(WRITE_EVERY);
                told = buffer.tell_dropped(told);
                buffer.flush();
            }
        };
        thread::Builder::new().name("logs".to_owned()).spawn(write)?;
        Ok(())
    }

    /// Writes what waits now; for the end of the process.
    pub fn flush(&self) {
        let lines = std::mem::take(&mut *self.lock());
        let mut left = lines.as_slice();
        let mut output = std::io::stdout().lock();
        while !left.is_empty() {
            match output.write(&left[..left.len().min(4_000)]) {
                Ok(0) => return,
                Ok(count) => left = &left[count..],
                // The output may be a pipe that does not block; what is left
                // waits here, and what comes meanwhile in the buffer.
                Err(e) if e.kind() == io::ErrorKind::WouldBlock => {
                    thread::sleep(FULL_OUTPUT_PAUSE);
                }
                Err(e) if e.kind() == io::ErrorKind::Interrupted => {}
                // Nothing is left to tell a failure to.
                Err(_) => return,
            }
        }
        let _ = output.flush();
    }

    /// Takes a line; false when it was dropped.
    pub fn push(&self, line: &[u8], is_severe: bool) -> bool {
        let mut waiting = self.lock();
        let reserved = if is_severe { 0 } else { RESERVED_BYTES };
        if waiting.len() + line.len() + 1 > MAX_BUFFERED_BYTES - reserved {
            self.shared.dropped.fetch_add(1, Relaxed);
            return false;
        }
        waiting.extend_from_slice(line);
        waiting.push(b'\n');
        true
    }

    fn tell_dropped(&self, told: u64) -> u64 {
        let dropped = self.dropped_lines();
        if dropped > told {
            let count = dropped - told;
            crate::emit(crate::Event::LinesDropped, &[("count", &count)]);
        }
        dropped
    }

    fn lock(&self) -> MutexGuard<'_, Vec<u8>> {
        self.shared.waiting.lock().expect("no holder panics")
    }
}

/// Formats records as JSON lines into a [`LineBuffer`].
#[derive(Debug)]
pub(crate) struct BufferAppend {
    buffer: LineBuffer,
    layout: JsonLayout,
}

impl BufferAppend {
    pub(crate) fn new(buffer: LineBuffer) -> BufferAppend {
        BufferAppend { buffer, layout: JsonLayout::default() }
    }
}

impl Append for BufferAppend {
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
