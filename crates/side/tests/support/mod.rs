//! The role `side`, run in the test process in front of one engine.

use std::{
    net::{Ipv4Addr, SocketAddr, TcpListener},
    sync::Arc,
};

use async_executor::Executor;
use async_io::Async;
use chestnutreach_config::{DaemonSettings, Manifest, settings::SideSettings};
use chestnutreach_node::PeerReports;
use chestnutreach_protocol::{
    Identity, LinkEvent, LinkOptions, Links, wire::Role,
};
use chestnutreach_side::{Side, SideParts};
use chestnutreach_telemetry::Metrics;

/// Requests that the engine runs concurrently, as in the manifest below.
#[allow(dead_code, reason = "not every test file needs it")]
pub const SLOTS: u32 = 4;

const MANIFEST: &str = "
[deployment]
name = attach
recovery-weight-percent = 20
[data-centre hall-a]
region = here
[accelerator a40]
price-micros-per-hour = 1
prompt-tokens-per-s = 1000000
output-tokens-per-s = 1000000
[service desk-llm]
kind = language
model = desk-llm
layer-count = 4
max-context-tokens = 4096
default-deadline-ms = 20000
max-deadline-ms = 60000
objective-per-10000 = 9950
first-token-objective-ms = 900
[account caisse]
key-digests = KEY
weight = 1
services = desk-llm
[backend-server whole]
service = desk-llm
data-centre = hall-a
vm = side-1
side-address = SIDE
accelerator = a40
first-layer = FIRST
end-layer = 4
max-running = 4
cache-tokens = 100000
checks-fencing = yes
[backend-server before]
service = desk-llm
data-centre = hall-a
vm = side-0
side-address = 127.0.0.1:9
accelerator = a40
first-layer = 0
end-layer = 2
max-running = 4
cache-tokens = 100000
checks-fencing = yes
";

/// Starts the role `side` with the backend server "whole", which holds the
/// layers from `first_layer` to the last of four. Returns the inner address.
pub fn start_side(
    executor: &Arc<Executor<'static>>,
    engine: SocketAddr,
    first_layer: u32,
) -> SocketAddr {
    let inner = Async::<TcpListener>::bind((Ipv4Addr::LOCALHOST, 0)).unwrap();
    let address = inner.get_ref().local_addr().unwrap();
    let side = Side::start(SideParts {
        settings: settings(engine),
        identity: Identity::new("side-1", Role::Side, "hall-a"),
        metrics: Arc::new(Metrics::new("side", "side-1")),
        peer_reports: Arc::new(PeerReports::new()),
        executor: executor.clone(),
        inner,
    });
    let key = chestnutreach_config::key_digest("key");
    let text = MANIFEST
        .replace("KEY", &key)
        .replace("FIRST", &first_layer.to_string())
        .replace("SIDE", &address.to_string());
    side.apply(1, &Manifest::try_parse("manifest", &text).unwrap());
    address
}

fn settings(engine: SocketAddr) -> SideSettings {
    let text = format!(
        "[node]\nrole = side\nvm = side-1\ndata-centre = hall-a\n\
         inner-address = 127.0.0.1:1\nops-address = 127.0.0.1:2\n\
         control-address = 127.0.0.1:3\n\
         [platform]\ntable-address = 127.0.0.1:4\n\
         object-address = 127.0.0.1:5\nvm-list-address = 127.0.0.1:6\n\
         [backend-server whole]\naddress = {engine}\n"
    );
    match DaemonSettings::try_parse("settings", &text).unwrap() {
        DaemonSettings::Side(settings) => settings,
        DaemonSettings::Entry(_) => panic!("role = side"),
    }
}

/// Creates the links of another process, and a channel with their events.
pub fn peer(
    executor: &Arc<Executor<'static>>,
    vm: &str,
    role: Role,
) -> (Links, async_channel::Receiver<LinkEvent>) {
    let (sender, events) = async_channel::unbounded();
    let links = Links::new(
        Identity::new(vm, role, "hall-a"),
        LinkOptions::new(),
        executor.clone(),
        Arc::new(move |event| {
            let _ = sender.try_send(event);
        }),
    );
    (links, events)
}
