//! Starting a role, and stopping it.

use std::{sync::Arc, time::Duration};

use async_executor::Executor;
use async_io::Timer;
use chestnutreach_config::settings::{
    EntrySettings, NodeSettings, SideSettings,
};
use chestnutreach_control::serve_control;
use chestnutreach_entry::{Entry, EntryParts};
use chestnutreach_node::{
    ActiveManifest, PeerReports, manifest_follower::ManifestFollower,
    peers::PeerManifests, threads, traffic::count_traffic,
    vm_list::follow_vm_list,
};
use chestnutreach_platform::{
    ClaimOptions, ClaimStore, ManifestStore, ObjectClient, TableClient,
    VmListClient,
    table::{CallResult, TableCall},
};
use chestnutreach_protocol::{Identity, wire::Role};
use chestnutreach_side::{Side, SideParts};
use chestnutreach_telemetry::{
    Event, Metrics, OpsState, Readiness, emit,
    metrics::{TableOperation, TableResult},
    ops, serve_ops,
};

use crate::{
    control::{Control, Served, Stopping},
    drain::{Drain, Stopped},
    listen::listen,
    signals::stop_signal,
};

/// Why a process is not ready.
const NEEDS_MANIFEST: &str = "manifest";
const IS_STOPPING: &str = "stopping";

/// Starts the threads that run a daemon's tasks.
pub(crate) fn start_threads(
    node: &NodeSettings,
) -> anyhow::Result<Arc<Executor<'static>>> {
    let executor = Arc::new(Executor::new());
    threads::start(&executor, node.threads)?;
    Ok(executor)
}

/// What both roles are started with.
struct Common {
    executor: Arc<Executor<'static>>,
    identity: Identity,
    metrics: Arc<Metrics>,
    readiness: Arc<Readiness>,
    heard: Arc<PeerReports>,
    in_force: Arc<ActiveManifest>,
    table: Arc<TableClient>,
    objects: Arc<ObjectClient>,
}

impl Common {
    fn new(
        node: &NodeSettings,
        role: Role,
        executor: Arc<Executor<'static>>,
    ) -> Common {
        let platform = &node.platform;
        let timeout = Duration::from_millis(platform.request_timeout_ms);
        let name = role_name(role);
        let metrics = Arc::new(Metrics::new(name, &node.vm));
        let table = TableClient::new(platform.table_address, timeout)
            .on_call(counted(metrics.clone()));
        let objects = ObjectClient::new(platform.object_address, timeout);
        Common {
            executor,
            identity: Identity::new(&node.vm, role, &node.data_centre)
                .with_control_address(node.control_address),
            metrics,
            readiness: Arc::new(Readiness::new(&[NEEDS_MANIFEST])),
            heard: Arc::new(PeerReports::new()),
            in_force: Arc::new(ActiveManifest::new()),
            table: Arc::new(table),
            objects: Arc::new(objects),
        }
    }

    fn follower(&self, node: &NodeSettings) -> ManifestFollower {
        let store =
            ManifestStore::new(self.table.clone(), self.objects.clone());
        let platform = &node.platform;
        let timeout = Duration::from_millis(platform.request_timeout_ms);
        let seeds = node.seed_peers.clone();
        let peers = PeerManifests::new(seeds, self.heard.clone(), timeout);
        let heard = self.heard.clone();
        ManifestFollower::new(store, peers, heard, platform.manifest_poll_ms)
            .active_manifest(self.in_force.clone())
    }

    fn serve_ops(
        &self,
        node: &NodeSettings,
        status: impl Fn() -> serde_json::Value + Send + Sync + 'static,
    ) -> anyhow::Result<()> {
        let listener = listen("operators", node.ops_address)?;
        let state = Arc::new(OpsState {
            metrics: self.metrics.clone(),
            readiness: self.readiness.clone(),
            status: Box::new(status),
            command: ops::no_commands(),
        });
        let task = serve_ops(listener, self.executor.clone(), state);
        self.executor.spawn(task).detach();
        Ok(())
    }

    fn serve_control(
        &self,
        node: &NodeSettings,
        served: Served,
    ) -> anyhow::Result<Arc<Control>> {
        let listener = listen("control calls", node.control_address)?;
        let control = Arc::new(Control {
            served,
            in_force: self.in_force.clone(),
            metrics: self.metrics.clone(),
            readiness: self.readiness.clone(),
            drain_limit_ms: node.drain_limit_ms,
            stopping: Stopping::default(),
        });
        let executor = self.executor.clone();
        let task = serve_control(listener, executor, control.clone());
        self.executor.spawn(task).detach();
        Ok(control)
    }

    fn note_started(&self, node: &NodeSettings, role: Role) {
        emit(
            Event::DaemonStarted,
            &[
                ("role", &role_name(role)),
                ("vm", &node.vm),
                ("data_centre", &node.data_centre),
                ("boot_id", &self.identity.boot_id),
            ],
        );
    }

    fn note_stopping(&self, cause: &str, in_flight: usize) {
        self.readiness.block(IS_STOPPING, cause);
        self.metrics.is_draining.set(1);
        emit(
            Event::DaemonStopping,
            &[("cause", &cause), ("in_flight", &in_flight)],
        );
    }

    /// What is done when a generation is in force.
    fn note_in_force(&self) -> impl Fn(u64) + Send + 'static {
        let readiness = self.readiness.clone();
        let metrics = self.metrics.clone();
        move |generation| {
            metrics.manifest_generation.set(generation as i64);
            readiness.clear(NEEDS_MANIFEST);
        }
    }
}

/// Counts each call to the table service.
fn counted(
    metrics: Arc<Metrics>,
) -> impl Fn(TableCall, CallResult) + Send + Sync + 'static {
    move |call, result| {
        let operation = match call {
            TableCall::Read => TableOperation::Read,
            TableCall::Write => TableOperation::Write,
        };
        let result = match result {
            CallResult::Done => TableResult::Done,
            CallResult::Conflict => TableResult::Conflict,
            CallResult::Failed => TableResult::Failed,
            CallResult::Unknown => TableResult::Unknown,
        };
        metrics.record_table_operation(operation, result);
    }
}

fn role_name(role: Role) -> &'static str {
    match role {
        Role::Entry => "entry",
        Role::Side => "side",
        Role::Tool | Role::Unspecified => "tool",
    }
}

/// Runs the role `entry` until it is told to stop.
pub(crate) async fn run_entry(
    settings: EntrySettings,
    executor: Arc<Executor<'static>>,
) -> anyhow::Result<Stopped> {
    let node = settings.node.clone();
    let lame_duck = Duration::from_millis(settings.lame_duck_ms);
    let common = Common::new(&node, Role::Entry, executor.clone());
    let claim_options = ClaimOptions::new()
        .batch(settings.claim_batch)
        .flush_ms(settings.claim_flush_ms)
        .claim_timeout(Duration::from_millis(node.platform.request_timeout_ms))
        .objects(common.objects.clone());
    let claims =
        ClaimStore::new(common.table.clone(), claim_options, executor.clone());
    let http = listen("callers", settings.http_address)?;
    let inner = listen("inner connections", node.inner_address)?;
    let entry = Entry::start(EntryParts {
        settings,
        identity: common.identity.clone(),
        metrics: common.metrics.clone(),
        peer_reports: common.heard.clone(),
        claims,
        executor: executor.clone(),
        http,
        inner,
    });
    let follow = {
        let (entry, note) = (entry.clone(), common.note_in_force());
        common.follower(&node).run(move |generation, manifest| {
            entry.apply(generation, manifest);
            note(generation);
        })
    };
    executor.spawn(follow).detach();
    let list = {
        let entry = entry.clone();
        let timeout = Duration::from_millis(node.platform.request_timeout_ms);
        let client = VmListClient::new(node.platform.vm_list_address, timeout);
        let poll_ms = node.platform.vm_list_poll_ms;
        follow_vm_list(client, poll_ms, move |vms| entry.set_draining_vms(vms))
    };
    executor.spawn(list).detach();
    let status = {
        let entry = entry.clone();
        move || entry.status()
    };
    common.serve_ops(&node, status)?;
    let traffic = count_traffic(entry.links().clone(), common.metrics.clone());
    executor.spawn(traffic).detach();
    let served = Served::Entry(entry.clone());
    let control = common.serve_control(&node, served)?;
    common.note_started(&node, Role::Entry);

    let cause = stop_signal().await?;
    control.begin_stop();
    common.note_stopping(cause, entry.in_flight());
    let drain = Drain::start(node.drain_limit_ms);
    Timer::after(lame_duck).await;
    entry.stop_accepting();
    let left = || {
        let left = entry.remaining_work();
        left.connections.max(left.requests) + left.unsettled_claims
    };
    Ok(drain.finish(left, || entry.abort_requests()).await)
}

/// Runs the role `side` until it is told to stop.
pub(crate) async fn run_side(
    settings: SideSettings,
    executor: Arc<Executor<'static>>,
) -> anyhow::Result<Stopped> {
    let node = settings.node.clone();
    let common = Common::new(&node, Role::Side, executor.clone());
    let inner = listen("inner connections", node.inner_address)?;
    let side = Side::start(SideParts {
        settings,
        identity: common.identity.clone(),
        metrics: common.metrics.clone(),
        peer_reports: common.heard.clone(),
        executor: executor.clone(),
        inner,
    });
    let follow = {
        let (side, note) = (side.clone(), common.note_in_force());
        common.follower(&node).run(move |generation, manifest| {
            side.apply(generation, manifest);
            note(generation);
        })
    };
    executor.spawn(follow).detach();
    let status = {
        let side = side.clone();
        move || side.status()
    };
    common.serve_ops(&node, status)?;
    let traffic = count_traffic(side.links().clone(), common.metrics.clone());
    executor.spawn(traffic).detach();
    let served = Served::Side(side.clone());
    let control = common.serve_control(&node, served)?;
    common.note_started(&node, Role::Side);

    let cause = stop_signal().await?;
    control.begin_stop();
    let in_flight = || {
        let held = side.in_flight();
        held.runs + held.reservations
    };
    common.note_stopping(cause, in_flight());
    let drain = Drain::start(node.drain_limit_ms);
    Ok(drain.finish(in_flight, || side.abort_requests()).await)
}
