//! What was sent, answered and run, for `record.txt`.

use crate::guard::Guard;
use std::{
    fs::File,
    io::{self, BufWriter, Write},
    sync::{Arc, Mutex},
    time::Instant,
};

/// Lines with their times; clones share one file.
#[derive(Clone)]
pub struct Record {
    began: Instant,
    /// Ends what the script starts.
    pub guard: Guard,
    file: Arc<Mutex<BufWriter<File>>>,
}

impl Record {
    /// Creates the file.
    pub fn create(path: &str) -> io::Result<Record> {
        let file = Arc::new(Mutex::new(BufWriter::new(File::create(path)?)));
        let guard = Guard::start()?;
        Ok(Record { began: Instant::now(), guard, file })
    }

    /// Milliseconds since the start.
    pub fn now_ms(&self) -> u64 {
        self.began.elapsed().as_millis() as u64
    }

    /// Writes a line.
    pub fn line(&self, text: &str) {
        let now_ms = self.now_ms();
        let mut file = self.file.lock().unwrap();
        let _ = writeln!(file, "{now_ms:>7} {text}");
    }

    /// Writes a line here and to standard output.
    pub fn say(&self, text: &str) {
        println!("{text}");
        self.line(text);
        let _ = self.file.lock().unwrap().flush();
    }
}
