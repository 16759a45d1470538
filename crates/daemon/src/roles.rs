//! Starts and stops the roles `entry` and `side`.

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
    control::{Control, RunningRole, StopState},
    drain::{Drain, DrainOutcome},
    listen::listen,
    signals::stop_signal,
};

/// Readiness conditions: no manifest is in force, or the process is stopping.
const MANIFEST_CONDITION: &str = "manifest";
const STOPPING_CONDITION: &str = "stopping";

/// Starts the threads that run the tasks of a daemon.
pub(crate) fn start_threads(
    node: &NodeSettings,
) -> anyhow::Result<Arc<Executor<'static>>> {
    let executor = Arc::new(Executor::new());
    threads::start(&executor, node.threads)?;
    Ok(executor)
}

/// Components that both roles share.
struct SharedParts {
    executor: Arc<Executor<'static>>,
    identity: Identity,
    metrics: Arc<Metrics>,
    readiness: Arc<Readiness>,
    peer_reports: Arc<PeerReports>,
    in_force: Arc<ActiveManifest>,
    table: Arc<TableClient>,
    objects: Arc<ObjectClient>,
}

impl SharedParts {
    fn new(
        node: &NodeSettings,
        role: Role,
        executor: Arc<Executor<'static>>,
    ) -> SharedParts {
        let platform = &node.platform;
        let timeout = Duration::from_millis(platform.request_timeout_ms);
        let name = role_name(role);
        let metrics = Arc::new(Metrics::new(name, &node.vm));
        let table = TableClient::new(platform.table_address, timeout)
            .on_call(count_table_calls(metrics.clone()));
        let objects = ObjectClient::new(platform.object_address, timeout);
        SharedParts {
            executor,
            identity: Identity::new(&node.vm, role, &node.data_centre)
                .with_control_address(node.control_address),
            metrics,
            readiness: Arc::new(Readiness::new(&[MANIFEST_CONDITION])),
            peer_reports: Arc::new(PeerReports::new()),
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
        let peers =
            PeerManifests::new(seeds, self.peer_reports.clone(), timeout);
        let peer_reports = self.peer_reports.clone();
        ManifestFollower::new(
            store,
            peers,
            peer_reports,
            platform.manifest_poll_ms,
        )
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
        role: RunningRole,
    ) -> anyhow::Result<Arc<Control>> {
        let listener = listen("control calls", node.control_address)?;
        let control = Arc::new(Control {
            role,
            in_force: self.in_force.clone(),
            metrics: self.metrics.clone(),
            readiness: self.readiness.clone(),
            drain_limit_ms: node.drain_limit_ms,
            stop_state: StopState::default(),
        });
        let executor = self.executor.clone();
        let task = serve_control(listener, executor, control.clone());
        self.executor.spawn(task).detach();
        Ok(control)
    }

    fn log_started(&self, node: &NodeSettings, role: Role) {
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

    fn enter_stopping(&self, cause: &str, in_flight: usize) {
        self.readiness.block(STOPPING_CONDITION, cause);
        self.metrics.is_draining.set(1);
        emit(
            Event::DaemonStopping,
            &[("cause", &cause), ("in_flight", &in_flight)],
        );
    }

    /// Returns a callback that records the manifest generation in force.
    fn on_manifest_in_force(&self) -> impl Fn(u64) + Send + 'static {
        let readiness = self.readiness.clone();
        let metrics = self.metrics.clone();
        move |generation| {
            metrics.manifest_generation.set(generation as i64);
            readiness.clear(MANIFEST_CONDITION);
        }
    }
}

/// Returns a callback that counts each call to the table service.
fn count_table_calls(
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

/// Runs the role `entry` until a signal stops the process.
pub(crate) async fn run_entry(
    settings: EntrySettings,
    executor: Arc<Executor<'static>>,
) -> anyhow::Result<DrainOutcome> {
    let node = settings.node.clone();
    let lame_duck = Duration::from_millis(settings.lame_duck_ms);
    let shared = SharedParts::new(&node, Role::Entry, executor.clone());
    let claim_options = ClaimOptions::new()
        .batch(settings.claim_batch)
        .flush_ms(settings.claim_flush_ms)
        .claim_timeout(Duration::from_millis(node.platform.request_timeout_ms))
        .objects(shared.objects.clone());
    let claims =
        ClaimStore::new(shared.table.clone(), claim_options, executor.clone());
    let http = listen("callers", settings.http_address)?;
    let inner = listen("inner connections", node.inner_address)?;
    let entry = Entry::start(EntryParts {
        settings,
        identity: shared.identity.clone(),
        metrics: shared.metrics.clone(),
        peer_reports: shared.peer_reports.clone(),
        claims,
        executor: executor.clone(),
        http,
        inner,
    });
    let follow = {
        let (entry, record_generation) =
            (entry.clone(), shared.on_manifest_in_force());
        shared.follower(&node).run(move |generation, manifest| {
            entry.apply(generation, manifest);
            record_generation(generation);
        })
    };
    executor.spawn(follow).detach();
    let vm_list = {
        let entry = entry.clone();
        let timeout = Duration::from_millis(node.platform.request_timeout_ms);
        let client = VmListClient::new(node.platform.vm_list_address, timeout);
        let poll_ms = node.platform.vm_list_poll_ms;
        follow_vm_list(client, poll_ms, move |vms| entry.set_draining_vms(vms))
    };
    executor.spawn(vm_list).detach();
    let status = {
        let entry = entry.clone();
        move || entry.status()
    };
    shared.serve_ops(&node, status)?;
    let traffic = count_traffic(entry.links().clone(), shared.metrics.clone());
    executor.spawn(traffic).detach();
    let role = RunningRole::Entry(entry.clone());
    let control = shared.serve_control(&node, role)?;
    shared.log_started(&node, Role::Entry);

    let cause = stop_signal().await?;
    control.begin_stop();
    shared.enter_stopping(cause, entry.in_flight());
    let drain = Drain::start(node.drain_limit_ms);
    Timer::after(lame_duck).await;
    entry.stop_accepting();
    let remaining = || {
        let work = entry.remaining_work();
        work.connections.max(work.requests) + work.unsettled_claims
    };
    Ok(drain.finish(remaining, || entry.abort_requests()).await)
}

/// Runs the role `side` until a signal stops the process.
pub(crate) async fn run_side(
    settings: SideSettings,
    executor: Arc<Executor<'static>>,
) -> anyhow::Result<DrainOutcome> {
    let node = settings.node.clone();
    let shared = SharedParts::new(&node, Role::Side, executor.clone());
    let inner = listen("inner connections", node.inner_address)?;
    let side = Side::start(SideParts {
        settings,
        identity: shared.identity.clone(),
        metrics: shared.metrics.clone(),
        peer_reports: shared.peer_reports.clone(),
        executor: executor.clone(),
        inner,
    });
    let follow = {
        let (side, record_generation) =
            (side.clone(), shared.on_manifest_in_force());
        shared.follower(&node).run(move |generation, manifest| {
            side.apply(generation, manifest);
            record_generation(generation);
        })
    };
    executor.spawn(follow).detach();
    let status = {
        let side = side.clone();
        move || side.status()
    };
    shared.serve_ops(&node, status)?;
    let traffic = count_traffic(side.links().clone(), shared.metrics.clone());
    executor.spawn(traffic).detach();
    let role = RunningRole::Side(side.clone());
    let control = shared.serve_control(&node, role)?;
    shared.log_started(&node, Role::Side);

    let cause = stop_signal().await?;
    control.begin_stop();
    let in_flight = || {
        let in_flight = side.in_flight();
        in_flight.runs + in_flight.reservations
    };
    shared.enter_stopping(cause, in_flight());
    let drain = Drain::start(node.drain_limit_ms);
    Ok(drain.finish(in_flight, || side.abort_requests()).await)
}
