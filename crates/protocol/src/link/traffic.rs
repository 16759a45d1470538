//! Counts the bytes sent over links, by traffic class.
//!
//! Each link has its own counters, so that links do not contend for a counter
//! on each token. The counts of closed links are kept separately.

use std::sync::atomic::{AtomicU64, Ordering};

use crate::wire::frame::Body;

/// Bytes of frames over all links of a process since its start.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Traffic {
    /// Sent outside of requests: handshakes, heartbeats and states.
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

/// What a frame belongs to.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum TrafficClass {
    Control,
    Request,
}

impl TrafficClass {
    pub(crate) fn of(body: &Body) -> TrafficClass {
        match body {
            Body::Hello(_)
            | Body::HelloRefused(_)
            | Body::Heartbeat(_)
            | Body::Status(_) => TrafficClass::Control,
            _ => TrafficClass::Request,
        }
    }
}

/// Counters of sent and received bytes.
#[derive(Debug, Default)]
pub(crate) struct Counters {
    control_sent: AtomicU64,
    control_received: AtomicU64,
    request_sent: AtomicU64,
    request_received: AtomicU64,
}

impl Counters {
    pub(crate) fn record_sent(&self, class: TrafficClass, bytes: usize) {
        let counter = match class {
            TrafficClass::Control => &self.control_sent,
            TrafficClass::Request => &self.request_sent,
        };
        counter.fetch_add(bytes as u64, Ordering::Relaxed);
    }

    pub(crate) fn record_received(&self, class: TrafficClass, bytes: usize) {
        let counter = match class {
            TrafficClass::Control => &self.control_received,
            TrafficClass::Request => &self.request_received,
        };
        counter.fetch_add(bytes as u64, Ordering::Relaxed);
    }

    /// Adds the counts of a closed link.
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
