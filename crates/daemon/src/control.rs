//! Control calls: status, drains and explanations of routing choices.
//!
//! All responses come from memory. A drain by an operator and a stop of the
//! process set the same flag of the role. Both hold the same lock, so that
//! an operator who ends a drain can't cancel a stop.

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

/// Readiness condition of a process that an operator drains.
const DRAIN_CONDITION: &str = "drain";
const DRAIN_REASON: &str = "an operator drains this VM";
const DRAIN_CAUSE: &str = "operator";

/// The role that this process runs.
pub(crate) enum RunningRole {
    Entry(Entry),
    Side(Side),
}

/// Handles control calls.
pub(crate) struct Control {
    pub(crate) role: RunningRole,
    pub(crate) in_force: Arc<ActiveManifest>,
    pub(crate) metrics: Arc<Metrics>,
    pub(crate) readiness: Arc<Readiness>,
    pub(crate) drain_limit_ms: u64,
    pub(crate) stop_state: StopState,
}

/// Whether the process is stopping; locked while the role changes whether it
/// drains.
#[derive(Default)]
pub(crate) struct StopState {
    is_stopping: Mutex<bool>,
}

impl StopState {
    fn lock(&self) -> MutexGuard<'_, bool> {
        self.is_stopping.lock().expect("no holder panics")
    }
}

impl RunningRole {
    fn set_draining(&self, is_draining: bool) {
        match self {
            RunningRole::Entry(entry) => entry.set_draining(is_draining),
            RunningRole::Side(side) => side.set_draining(is_draining),
        }
    }

    fn set_backend_draining(
        &self,
        call: &str,
        name: &str,
        is_draining: bool,
    ) -> Result<(), ControlRefusal> {
        let RunningRole::Side(side) = self else {
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
            RunningRole::Entry(entry) => entry.is_draining(),
            RunningRole::Side(side) => side.is_draining(None),
        }
    }

    fn in_flight(&self) -> usize {
        match self {
            RunningRole::Entry(entry) => entry.in_flight(),
            RunningRole::Side(side) => {
                let in_flight = side.in_flight();
                in_flight.runs + in_flight.reservations
            }
        }
    }

    fn generation(&self) -> u64 {
        match self {
            RunningRole::Entry(entry) => entry.generation(),
            RunningRole::Side(side) => side.generation(),
        }
    }

    fn links(&self) -> &Links {
        match self {
            RunningRole::Entry(entry) => entry.links(),
            RunningRole::Side(side) => side.links(),
        }
    }

    fn backends(&self) -> Vec<BackendStatus> {
        let RunningRole::Side(side) = self else {
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

    fn node_role(&self) -> NodeRole {
        match self {
            RunningRole::Entry(_) => NodeRole::Entry,
            RunningRole::Side(_) => NodeRole::Side,
        }
    }
}

impl Control {
    /// Marks the process as stopping and drains the role; an operator can't
    /// undo this drain.
    pub(crate) fn begin_stop(&self) {
        let mut is_stopping = self.stop_state.lock();
        *is_stopping = true;
        self.role.set_draining(true);
    }

    /// Runs a change of a drain unless the process is stopping.
    fn unless_stopping(
        &self,
        change: impl FnOnce() -> Result<(), ControlRefusal>,
    ) -> Result<(), ControlRefusal> {
        let is_stopping = self.stop_state.lock();
        match *is_stopping {
            true => Err(ControlRefusal::Stopping),
            false => change(),
        }
    }

    fn drain_all(&self) {
        self.role.set_draining(true);
        self.readiness.block(DRAIN_CONDITION, DRAIN_REASON);
        self.metrics.is_draining.set(1);
    }

    fn undrain_all(&self) {
        self.role.set_draining(false);
        self.readiness.clear(DRAIN_CONDITION);
        self.metrics.is_draining.set(0);
    }

    fn log_drain_started(&self, backend: &str) {
        emit(
            Event::DrainStarted,
            &[
                ("backend", &backend),
                ("cause", &DRAIN_CAUSE),
                ("in_flight", &self.role.in_flight()),
                ("limit_ms", &self.drain_limit_ms),
            ],
        );
    }

    fn explain_request(&self, id: &str) -> Result<String, ControlRefusal> {
        let RunningRole::Entry(entry) = &self.role else {
            return Err(explain_not_supported());
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
        let RunningRole::Entry(entry) = &self.role else {
            return Err(explain_not_supported());
        };
        let shape = to_request_shape(described);
        let explained = entry.explain(&described.service, &shape);
        explained.map_err(|reason| ControlRefusal::Other { reason })
    }
}

impl ControlHandler for Control {
    fn info(&self) -> NodeInfo {
        let identity = self.role.links().identity();
        NodeInfo {
            vm: identity.vm.clone(),
            role: self.role.node_role(),
            boot_id: identity.boot_id,
            ..NodeInfo::default()
        }
    }

    fn status(&self) -> NodeStatus {
        let links = self.role.links();
        let identity = links.identity();
        NodeStatus {
            vm: identity.vm.clone(),
            role: self.role.node_role(),
            data_centre: identity.data_centre.clone(),
            boot_id: identity.boot_id,
            generation: self.role.generation(),
            is_ready: self.readiness.is_ready(),
            is_draining: self.role.is_draining(),
            requests_in_flight: self.role.in_flight() as u64,
            backends: self.role.backends(),
            links: links.open().iter().map(peer_status).collect(),
        }
    }

    fn drain(&self, backend: Option<&str>) -> Result<(), ControlRefusal> {
        self.unless_stopping(|| {
            match backend {
                Some(name) => {
                    self.role.set_backend_draining("drain", name, true)?;
                }
                None => self.drain_all(),
            }
            self.log_drain_started(backend.unwrap_or_default());
            Ok(())
        })
    }

    fn undrain(&self, backend: Option<&str>) -> Result<(), ControlRefusal> {
        self.unless_stopping(|| {
            match backend {
                Some(name) => {
                    self.role.set_backend_draining("undrain", name, false)?;
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

fn explain_not_supported() -> ControlRefusal {
    ControlRefusal::NotForRole { call: "explain".to_owned() }
}

fn to_request_shape(described: &DescribedRequest) -> RequestShape {
    let priority = match described.priority {
        RequestPriority::Low => Priority::Low,
        RequestPriority::Normal => Priority::Normal,
        RequestPriority::High => Priority::High,
    };
    RequestShape::new(described.prompt_tokens, described.output_tokens)
        .deadline_ms(described.deadline_ms.into())
        .priority(priority)
}

/// Describes an open link by the values that stay constant while the link is
/// open: the link doesn't keep what the peer reports later.
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
