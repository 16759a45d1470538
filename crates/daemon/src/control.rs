//! The control port: status, drains and explanations.
//!
//! Everything is answered from memory. A drain by an operator and a stop use
//! the same switch, so both go through one lock: an operator who ends a
//! drain never takes back a stop.

use std::sync::{Arc, Mutex, MutexGuard};

use chestnutreach_control::{
    BackendStatus, ControlHandler, ControlRefusal, DescribedRequest,
    ExplainQuery, GenerationInfo, NodeInfo, NodeRole, NodeStatus, PeerStatus,
    RequestPriority,
};
use chestnutreach_entry::Entry;
use chestnutreach_node::ActiveManifest;
use chestnutreach_protocol::{Link, Links, RequestId};
use chestnutreach_routing::{Priority, RequestShape};
use chestnutreach_side::Side;
use chestnutreach_telemetry::{Event, Metrics, Readiness, emit};

/// Why a process that an operator drains is not ready.
const IS_DRAINING: &str = "drain";
const DRAIN_REASON: &str = "an operator drains this VM";
const DRAIN_CAUSE: &str = "operator";

/// The role that a process has.
pub(crate) enum Served {
    Entry(Entry),
    Side(Side),
}

/// Answers control calls.
pub(crate) struct Control {
    pub(crate) served: Served,
    pub(crate) in_force: Arc<ActiveManifest>,
    pub(crate) metrics: Arc<Metrics>,
    pub(crate) readiness: Arc<Readiness>,
    pub(crate) drain_limit_ms: u64,
    pub(crate) stopping: Stopping,
}

/// Whether the process stops; locked while its role is told to leave.
#[derive(Default)]
pub(crate) struct Stopping {
    is_stopping: Mutex<bool>,
}

impl Stopping {
    fn lock(&self) -> MutexGuard<'_, bool> {
        self.is_stopping.lock().expect("no holder panics")
    }
}

impl Served {
    fn set_draining(&self, is_draining: bool) {
        match self {
            Served::Entry(entry) => entry.set_draining(is_draining),
            Served::Side(side) => side.set_draining(is_draining),
        }
    }

    fn set_backend_draining(
        &self,
        call: &str,
        name: &str,
        is_draining: bool,
    ) -> Result<(), ControlRefusal> {
        let Served::Side(side) = self else {
            let call = format!("{call} of a backend server");
            return Err(ControlRefusal::NotForRole { call });
        };
        match side.set_backend_draining(name, is_draining) {
            true => Ok(()),
            false => {
                let backend = name.to_owned();
                Err(ControlRefusal::UnknownBackend { backend })
            }
        }
    }

    fn is_draining(&self) -> bool {
        match self {
            Served::Entry(entry) => entry.is_draining(),
            Served::Side(side) => side.is_draining(None),
        }
    }

    fn in_flight(&self) -> usize {
        match self {
            Served::Entry(entry) => entry.in_flight(),
            Served::Side(side) => {
                let held = side.in_flight();
                held.runs + held.reservations
            }
        }
    }

    fn generation(&self) -> u64 {
        match self {
            Served::Entry(entry) => entry.generation(),
            Served::Side(side) => side.generation(),
        }
    }

    fn links(&self) -> &Links {
        match self {
            Served::Entry(entry) => entry.links(),
            Served::Side(side) => side.links(),
        }
    }

    fn backends(&self) -> Vec<BackendStatus> {
        let Served::Side(side) = self else {
            return Vec::new();
        };
        let loads = side.loads().into_iter();
        let status = loads.map(|load| BackendStatus {
            name: load.backend,
            running: load.running.into(),
            queued: load.queued.into(),
            is_healthy: load.is_healthy,
            is_leaving: load.is_leaving,
        });
        status.collect()
    }

    fn role(&self) -> NodeRole {
        match self {
            Served::Entry(_) => NodeRole::Entry,
            Served::Side(_) => NodeRole::Side,
        }
    }
}

impl Control {
    /// The process stops: its role leaves, whatever an operator says later.
    pub(crate) fn begin_stop(&self) {
        let mut is_stopping = self.stopping.lock();
        *is_stopping = true;
        self.served.set_draining(true);
    }

    /// Runs a change of a drain, unless the process stops.
    fn unless_stopping(
        &self,
        change: impl FnOnce() -> Result<(), ControlRefusal>,
    ) -> Result<(), ControlRefusal> {
        let is_stopping = self.stopping.lock();
        match *is_stopping {
            true => Err(ControlRefusal::Stopping),
            false => change(),
        }
    }

    fn drain_all(&self) {
        self.served.set_draining(true);
        self.readiness.block(IS_DRAINING, DRAIN_REASON);
        self.metrics.is_draining.set(1);
    }

    fn undrain_all(&self) {
        self.served.set_draining(false);
        self.readiness.clear(IS_DRAINING);
        self.metrics.is_draining.set(0);
    }

    fn note_drain(&self, backend: &str) {
        emit(
            Event::DrainStarted,
            &[
                ("backend", &backend),
                ("cause", &DRAIN_CAUSE),
                ("in_flight", &self.served.in_flight()),
                ("limit_ms", &self.drain_limit_ms),
            ],
        );
    }

    fn explain_request(&self, id: &str) -> Result<String, ControlRefusal> {
        let Served::Entry(entry) = &self.served else {
            return Err(not_for_side());
        };
        let request: Option<RequestId> = id.parse().ok();
        let choices = request.and_then(|r| entry.recent_choices(r));
        let request_id = id.to_owned();
        choices.ok_or(ControlRefusal::UnknownRequest { request_id })
    }

    fn explain_described(
        &self,
        described: &DescribedRequest,
    ) -> Result<String, ControlRefusal> {
        let Served::Entry(entry) = &self.served else {
            return Err(not_for_side());
        };
        let shape = to_shape(described);
        let explained = entry.explain(&described.service, &shape);
        explained.map_err(|reason| ControlRefusal::Other { reason })
    }
}

impl ControlHandler for Control {
    fn info(&self) -> NodeInfo {
        let identity = self.served.links().identity();
        NodeInfo {
            vm: identity.vm.clone(),
            role: self.served.role(),
            boot_id: identity.boot_id,
            ..NodeInfo::default()
        }
    }

    fn status(&self) -> NodeStatus {
        let links = self.served.links();
        let identity = links.identity();
        NodeStatus {
            vm: identity.vm.clone(),
            role: self.served.role(),
            data_centre: identity.data_centre.clone(),
            boot_id: identity.boot_id,
            generation: self.served.generation(),
            is_ready: self.readiness.is_ready(),
            is_draining: self.served.is_draining(),
            requests_in_flight: self.served.in_flight() as u64,
            backends: self.served.backends(),
            links: links.open().iter().map(peer_status).collect(),
        }
    }

    fn drain(&self, backend: Option<&str>) -> Result<(), ControlRefusal> {
        self.unless_stopping(|| {
            match backend {
                Some(name) => {
                    self.served.set_backend_draining("drain", name, true)?;
                }
                None => self.drain_all(),
            }
            self.note_drain(backend.unwrap_or_default());
            Ok(())
        })
    }

    fn undrain(&self, backend: Option<&str>) -> Result<(), ControlRefusal> {
        self.unless_stopping(|| {
            match backend {
                Some(name) => {
                    self.served
                        .set_backend_draining("undrain", name, false)?;
                }
                None => self.undrain_all(),
            }
            let backend = backend.unwrap_or_default();
            emit(Event::DrainCancelled, &[("backend", &backend)]);
            Ok(())
        })
    }

    fn generation(&self) -> GenerationInfo {
        let Some(head) = self.in_force.head() else {
            return GenerationInfo::default();
        };
        GenerationInfo {
            generation: head.generation,
            submission: head.submission,
            root_digest: head.root.to_vec(),
        }
    }

    fn manifest_part(&self, digest: &[u8]) -> Option<Vec<u8>> {
        self.in_force.object(digest)
    }

    fn explain(&self, query: &ExplainQuery) -> Result<String, ControlRefusal> {
        match query {
            ExplainQuery::Request { request_id } => {
                self.explain_request(request_id)
            }
            ExplainQuery::Described(described) => {
                self.explain_described(described)
            }
        }
    }
}

fn not_for_side() -> ControlRefusal {
    ControlRefusal::NotForRole { call: "explain".to_owned() }
}

fn to_shape(described: &DescribedRequest) -> RequestShape {
    let priority = match described.priority {
        RequestPriority::Low => Priority::Low,
        RequestPriority::Normal => Priority::Normal,
        RequestPriority::High => Priority::High,
    };
    RequestShape::new(described.prompt_tokens, described.output_tokens)
        .deadline_ms(described.deadline_ms.into())
        .priority(priority)
}

/// An open link. What its peer said since it was opened is not kept with it,
/// so only what cannot change is told.
fn peer_status(link: &Link) -> PeerStatus {
    let peer = link.peer();
    PeerStatus {
        vm: peer.vm.clone(),
        address: link
            .dialled_address()
            .map_or_else(String::new, |a| a.to_string()),
        data_centre: peer.data_centre.clone(),
        is_connected: !link.is_closed(),
        ..PeerStatus::default()
    }
}
