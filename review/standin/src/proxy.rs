//! A proxy between an entry and the store, whose open connections can go
//! silent while new ones work.

use std::io::{Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering::SeqCst};
use std::thread;

pub struct Proxy {
    pub address: SocketAddr,
    /// Connections with a lower number are silent.
    silent_before: Arc<AtomicU64>,
    next: Arc<AtomicU64>,
}

impl Proxy {
    pub fn start(to: SocketAddr) -> Proxy {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let address = listener.local_addr().expect("it is bound");
        let silent_before = Arc::new(AtomicU64::new(0));
        let next = Arc::new(AtomicU64::new(0));
        let (silent, numbers) = (silent_before.clone(), next.clone());
        thread::spawn(move || {
            for near in listener.incoming().flatten() {
                let number = numbers.fetch_add(1, SeqCst);
                let Ok(far) = TcpStream::connect(to) else { continue };
                let _ = (near.set_nodelay(true), far.set_nodelay(true));
                for (from, to) in [(&near, &far), (&far, &near)] {
                    let (Ok(from), Ok(to)) =
                        (from.try_clone(), to.try_clone())
                    else {
                        continue;
                    };
                    let silent = silent.clone();
                    thread::spawn(move || pass(from, to, number, &silent));
                }
            }
        });
        Proxy { address, silent_before, next }
    }

    /// Lets all open connections go silent for good, without a reset: what is
    /// sent on them goes nowhere, and neither end learns of a close.
    pub fn silence_open_connections(&self) -> u64 {
        let count = self.next.load(SeqCst);
        self.silent_before.store(count, SeqCst);
        count
    }
}

fn pass(
    mut from: TcpStream,
    mut to: TcpStream,
    number: u64,
    silent_before: &AtomicU64,
) {
    let mut chunk = [0; 16 * 1024];
    loop {
        let count = from.read(&mut chunk).unwrap_or(0);
        if number < silent_before.load(SeqCst) {
            if count == 0 {
                // The other end must not learn of the close.
                std::mem::forget(to);
                return;
            }
            continue;
        }
        if count == 0 || to.write_all(&chunk[..count]).is_err() {
            let _ = to.shutdown(Shutdown::Write);
            return;
        }
    }
}
