//! Bytes over links, by what they are for.
//!
//! Each link counts its own, so that links do not contend for a counter with
//! each token; what closed links have counted is kept beside them.

use std::sync::atomic::{AtomicU64, Ordering};

use crate::wire::frame::Body;

/// Bytes of frames over all links of a process since its start.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Traffic {
    /// Sent outside of requests: greetings, heartbeats and states.
    pub control_sent_bytes: u64,
    /// Received outside of requests.
    pub control_received_bytes: u64,
    /// Sent for requests.
    pub request_sent_bytes: u64,
    /// Received for requests.
    pub request_received_bytes: u64,
}

impl Traffic {
    pub(crate) fn add(&mut self, other: &Traffic) {
        self.control_sent_bytes += other.control_sent_bytes;
        self.control_received_bytes += other.control_received_bytes;
        self.request_sent_bytes += other.request_sent_bytes;
        self.request_received_bytes += other.request_received_bytes;
    }
}

/// What a frame is for.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Purpose {
    Control,
    Request,
}

impl Purpose {
    pub(crate) fn of(body: &Body) -> Purpose {
        match body {
            Body::Hello(_)
            | Body::HelloRefused(_)
            | Body::Heartbeat(_)
            | Body::Status(_) => Purpose::Control,
            _ => Purpose::Request,
        }
    }
}

/// Counts that go on while frames pass.
#[derive(Debug, Default)]
pub(crate) struct Counters {
    control_sent: AtomicU64,
    control_received: AtomicU64,
    request_sent: AtomicU64,
    request_received: AtomicU64,
}

impl Counters {
    pub(crate) fn sent(&self, purpose: Purpose, bytes: usize) {
        let counter = match purpose {
            Purpose::Control => &self.control_sent,
            Purpose::Request => &self.request_sent,
        };
        counter.fetch_add(bytes as u64, Ordering::Relaxed);
    }

    pub(crate) fn received(&self, purpose: Purpose, bytes: usize) {
        let counter = match purpose {
            Purpose::Control => &self.control_received,
            Purpose::Request => &self.request_received,
        };
        counter.fetch_add(bytes as u64, Ordering::Relaxed);
    }

    /// Takes in what a closed link has counted.
    pub(crate) fn add(&self, traffic: &Traffic) {
        let Traffic {
            control_sent_bytes,
            control_received_bytes,
            request_sent_bytes,
            request_received_bytes,
        } = *traffic;
        let add = |counter: &AtomicU64, bytes| {
            counter.fetch_add(bytes, Ordering::Relaxed);
        };
        add(&self.control_sent, control_sent_bytes);
        add(&self.control_received, control_received_bytes);
        add(&self.request_sent, request_sent_bytes);
        add(&self.request_received, request_received_bytes);
    }

    pub(crate) fn read(&self) -> Traffic {
        let load = |counter: &AtomicU64| counter.load(Ordering::Relaxed);
        Traffic {
            control_sent_bytes: load(&self.control_sent),
            control_received_bytes: load(&self.control_received),
            request_sent_bytes: load(&self.request_sent),
            request_received_bytes: load(&self.request_received),
        }
    }
}
