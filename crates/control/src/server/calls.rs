//! The calls of one connection, checked before the handler gets them.

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
pub(super) struct Calls {
    handler: Arc<dyn ControlHandler>,
    peer: SocketAddr,
    /// The protocol was agreed on.
    is_greeted: Arc<AtomicBool>,
}

impl Calls {
    pub(super) fn new(
        handler: Arc<dyn ControlHandler>,
        peer: SocketAddr,
    ) -> Calls {
        Calls { handler, peer, is_greeted: Arc::default() }
    }

    pub(super) fn is_greeted(&self) -> bool {
        self.is_greeted.load(Ordering::Relaxed)
    }

    fn greet(&self, version: u32) -> Result<NodeInfo, ControlRefusal> {
        if version != PROTOCOL_VERSION {
            return Err(ControlRefusal::UnknownVersion {
                offered: version,
                supported: PROTOCOL_VERSION,
            });
        }
        self.is_greeted.store(true, Ordering::Relaxed);
        let mut info = self.handler.info();
        info.protocol_version = PROTOCOL_VERSION;
        Ok(info)
    }

    /// Answers a call once the protocol is agreed on.
    fn answer<T>(
        &self,
        call: &'static str,
        run: impl FnOnce(&dyn ControlHandler) -> Result<T, ControlRefusal>,
    ) -> Result<T, ControlRefusal> {
        let answer = if self.is_greeted() {
            run(&*self.handler)
        } else {
            Err(ControlRefusal::NoHello)
        };
        self.note(call, answer)
    }

    fn note<T>(
        &self,
        call: &'static str,
        answer: Result<T, ControlRefusal>,
    ) -> Result<T, ControlRefusal> {
        if let Err(refusal) = &answer {
            emit(
                Event::ControlCallRefused,
                &[
                    ("peer_address", &self.peer),
                    ("call", &call),
                    ("reason", refusal),
                ],
            );
        }
        answer
    }
}

impl Control for Calls {
    async fn hello(
        self,
        _: Context,
        protocol_version: u32,
    ) -> Result<NodeInfo, ControlRefusal> {
        self.note("hello", self.greet(protocol_version))
    }

    async fn status(self, _: Context) -> Result<NodeStatus, ControlRefusal> {
        self.answer("status", |h| Ok(h.status()))
    }

    async fn drain(
        self,
        _: Context,
        backend: Option<String>,
    ) -> Result<(), ControlRefusal> {
        self.answer("drain", |h| h.drain(backend.as_deref()))
    }

    async fn undrain(
        self,
        _: Context,
        backend: Option<String>,
    ) -> Result<(), ControlRefusal> {
        self.answer("undrain", |h| h.undrain(backend.as_deref()))
    }

    async fn generation(
        self,
        _: Context,
    ) -> Result<GenerationInfo, ControlRefusal> {
        self.answer("generation", |h| Ok(h.generation()))
    }

    async fn manifest_part(
        self,
        _: Context,
        digest: Blob,
    ) -> Result<Option<Blob>, ControlRefusal> {
        self.answer("manifest_part", |h| {
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
        self.answer("explain", |h| {
            let text = h.explain(&query)?;
            check_length(text.len(), MAX_TEXT_BYTES)?;
            Ok(text)
        })
    }
}

/// Refuses an answer that would end the connection by its length.
fn check_length(length: usize, limit: usize) -> Result<(), ControlRefusal> {
    if length <= limit {
        return Ok(());
    }
    Err(ControlRefusal::TooLong {
        length_bytes: length as u64,
        limit_bytes: limit as u64,
    })
}
