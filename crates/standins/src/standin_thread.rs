//! A stand-in on a thread of the calling process.
//!
//! For tests that need no separate process. Dropping the stand-in closes the
//! listener and every connection, as the exit of a process does.

use std::{
    io,
    net::{Ipv4Addr, SocketAddr, TcpListener},
    sync::Arc,
    thread::{self, JoinHandle},
};

use async_executor::Executor;
use async_io::{Async, block_on};
use futures_lite::FutureExt as _;

use crate::{
    engine::{self, EngineOptions},
    plain,
};

/// A running stand-in, stopped on drop.
#[derive(Debug)]
pub struct StandinThread {
    address: SocketAddr,
    stop: async_channel::Sender<()>,
    thread: Option<JoinHandle<()>>,
}

impl StandinThread {
    /// Starts an engine on a free port of the loopback interface.
    ///
    /// # Errors
    ///
    /// Returns an error if no port can be bound or no thread started.
    pub fn engine(options: EngineOptions) -> io::Result<StandinThread> {
        StandinThread::start(|executor, listener| {
            engine::serve(executor, listener, options)
        })
    }

    /// Starts a plain service on a free port of the loopback interface.
    ///
    /// # Errors
    ///
    /// Returns an error if no port can be bound or no thread started.
    pub fn plain() -> io::Result<StandinThread> {
        StandinThread::start(plain::serve)
    }

    fn start<S, F>(serve: S) -> io::Result<StandinThread>
    where
        S: FnOnce(Arc<Executor<'static>>, Async<TcpListener>) -> F,
        S: Send + 'static,
        F: Future<Output = io::Result<()>>,
    {
        let listener = Async::<TcpListener>::bind((Ipv4Addr::LOCALHOST, 0))?;
        let address = listener.get_ref().local_addr()?;
        let (stop, stopped) = async_channel::bounded::<()>(1);
        let run = move || {
            let executor = Arc::new(Executor::new());
            let serving = serve(executor.clone(), listener);
            let until_stopped = async {
                let _ = stopped.recv().await;
                Ok(())
            };
            let _ = block_on(executor.run(serving.or(until_stopped)));
        };
        let thread = thread::Builder::new().spawn(run)?;
        Ok(StandinThread { address, stop, thread: Some(thread) })
    }

    /// Address that the stand-in listens on.
    pub fn address(&self) -> SocketAddr {
        self.address
    }
}

impl Drop for StandinThread {
    fn drop(&mut self) {
        self.stop.close();
        if let Some(thread) = self.thread.take() {
            let _ = thread.join();
        }
    }
}
