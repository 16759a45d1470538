//! The calls of one connection, checked before they reach the handler.

use std::{
    net::SocketAddr,
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
};

use chestnutreach_telemetry::{Event, emit};
use tarpc::context::Context;

use super::ControlHandler;
use crate::{
    PROTOCOL_VERSION,
    message::{Blob, ExplainQuery, GenerationInfo, NodeInfo, NodeStatus},
    refusal::ControlRefusal,
    service::Control,
    transport::{MAX_PART_BYTES, MAX_TEXT_BYTES},
};

#[derive(Clone)]
pub(super) struct CallService {
    handler: Arc<dyn ControlHandler>,
    peer: SocketAddr,
    /// Whether `hello` has succeeded on this connection.
    is_hello_done: Arc<AtomicBool>,
}

impl CallService {
    pub(super) fn new(
        handler: Arc<dyn ControlHandler>,
        peer: SocketAddr,
    ) -> CallService {
        CallService { handler, peer, is_hello_done: Arc::default() }
    }

    pub(super) fn is_hello_done(&self) -> bool {
        self.is_hello_done.load(Ordering::Relaxed)
    }

    fn check_version(&self, version: u32) -> Result<NodeInfo, ControlRefusal> {
        if version != PROTOCOL_VERSION {
            return Err(ControlRefusal::UnknownVersion {
                offered: version,
                supported: PROTOCOL_VERSION,
            });
        }
        self.is_hello_done.store(true, Ordering::Relaxed);
        let mut info = self.handler.info();
        info.protocol_version = PROTOCOL_VERSION;
        Ok(info)
    }

    /// Handles a call, or refuses the call if `hello` has not succeeded.
    fn handle<T>(
        &self,
        call: &'static str,
        run: impl FnOnce(&dyn ControlHandler) -> Result<T, ControlRefusal>,
    ) -> Result<T, ControlRefusal> {
        let result = if self.is_hello_done() {
            run(&*self.handler)
        } else {
            Err(ControlRefusal::NoHello)
        };
        self.log_refusal(call, result)
    }

    fn log_refusal<T>(
        &self,
        call: &'static str,
        result: Result<T, ControlRefusal>,
    ) -> Result<T, ControlRefusal> {
        if let Err(refusal) = &result {
            emit(
                Event::ControlCallRefused,
                &[
                    ("peer_address", &self.peer),
                    ("call", &call),
                    ("reason", refusal),
                ],
            );
        }
        result
    }
}

impl Control for CallService {
    async fn hello(
        self,
        _: Context,
        protocol_version: u32,
    ) -> Result<NodeInfo, ControlRefusal> {
        self.log_refusal("hello", self.check_version(protocol_version))
    }

    async fn status(self, _: Context) -> Result<NodeStatus, ControlRefusal> {
        self.handle("status", |h| Ok(h.status()))
    }

    async fn drain(
        self,
        _: Context,
        backend: Option<String>,
    ) -> Result<(), ControlRefusal> {
        self.handle("drain", |h| h.drain(backend.as_deref()))
    }

    async fn undrain(
        self,
        _: Context,
        backend: Option<String>,
    ) -> Result<(), ControlRefusal> {
        self.handle("undrain", |h| h.undrain(backend.as_deref()))
    }

    async fn generation(
        self,
        _: Context,
    ) -> Result<GenerationInfo, ControlRefusal> {
        self.handle("generation", |h| Ok(h.generation()))
    }

    async fn manifest_part(
        self,
        _: Context,
        digest: Blob,
    ) -> Result<Option<Blob>, ControlRefusal> {
        self.handle("manifest_part", |h| {
            let part = h.manifest_part(&digest.0);
            let length = part.as_ref().map_or(0, Vec::len);
            check_length(length, MAX_PART_BYTES)?;
            Ok(part.map(Blob))
        })
    }

    async fn explain(
        self,
        _: Context,
        query: ExplainQuery,
    ) -> Result<String, ControlRefusal> {
        self.handle("explain", |h| {
            let text = h.explain(&query)?;
            check_length(text.len(), MAX_TEXT_BYTES)?;
            Ok(text)
        })
    }
}

/// Refuses a response whose length would close the connection.
fn check_length(length: usize, limit: usize) -> Result<(), ControlRefusal> {
    if length <= limit {
        return Ok(());
    }
    Err(ControlRefusal::TooLong {
        length_bytes: length as u64,
        limit_bytes: limit as u64,
    })
}
