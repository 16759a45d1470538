//! An entry that loses its connection goes on over a new one.

use std::{
    net::{Ipv4Addr, SocketAddr, TcpListener},
    sync::Arc,
    time::Duration,
};

use async_executor::Executor;
use async_io::{Async, Timer, block_on};
use chestnutreach_config::{DaemonSettings, Manifest, settings::SideSettings};
use chestnutreach_node::{Heard, threads};
use chestnutreach_protocol::{
    CloseReason, Identity, Link, LinkEvent, LinkOptions, Links, RequestId,
    wire::{self, Role, frame::Body},
};
use chestnutreach_side::{Side, SideParts};
use chestnutreach_standins::{engine::EngineOptions, running::Running};
use chestnutreach_telemetry::Metrics;
use futures_lite::FutureExt as _;

const TOKENS: u32 = 400;
/// Connections given up while one answer is sent.
const REATTACHES: u32 = 40;
const LIMIT: Duration = Duration::from_secs(30);

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
first-layer = 0
end-layer = 4
max-running = 4
cache-tokens = 100000
checks-fencing = yes
";

/// Each question takes the answer over onto a new connection while tokens
/// are on their way: none may come before the answer to the question, which
/// says where the rest begins.
#[test]
fn an_answer_moves_between_connections_without_a_gap() {
    let engine = EngineOptions::new("desk-llm", 0, 4, 4).unwrap();
    let engine = Running::engine(engine).unwrap();
    let executor = Arc::new(Executor::new());
    threads::start(&executor, 4).unwrap();
    let address = start_side(&executor, engine.address());
    let (sender, events) = async_channel::unbounded();
    let links = Links::new(
        Identity::new("entry-1", Role::Entry, "hall-a"),
        LinkOptions::new(),
        executor.clone(),
        Arc::new(move |event| {
            let _ = sender.try_send(event);
        }),
    );
    let positions = block_on(async {
        let limit = async {
            Timer::after(LIMIT).await;
            panic!("no whole answer within {LIMIT:?}");
        };
        follow(&links, &events, address).or(limit).await
    });
    let expected: Vec<u32> = (0..TOKENS).collect();
    assert_eq!(positions, expected);
}

fn start_side(
    executor: &Arc<Executor<'static>>,
    engine: SocketAddr,
) -> SocketAddr {
    let inner = Async::<TcpListener>::bind((Ipv4Addr::LOCALHOST, 0)).unwrap();
    let address = inner.get_ref().local_addr().unwrap();
    let side = Side::start(SideParts {
        settings: settings(engine),
        identity: Identity::new("side-1", Role::Side, "hall-a"),
        metrics: Arc::new(Metrics::new("side", "side-1")),
        heard: Arc::new(Heard::new()),
        executor: executor.clone(),
        inner,
    });
    let key = chestnutreach_config::key_digest("key");
    let text =
        MANIFEST.replace("KEY", &key).replace("SIDE", &address.to_string());
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

/// Runs one request, giving up its connection again and again; the positions
/// in the order they came.
async fn follow(
    links: &Links,
    events: &async_channel::Receiver<LinkEvent>,
    address: SocketAddr,
) -> Vec<u32> {
    let request = RequestId::random();
    let mut link = links.connect(address).await.unwrap();
    link.send(Body::Run(run(request, address))).unwrap();
    let mut positions = Vec::new();
    let mut reattached = 0;
    loop {
        let Ok(LinkEvent::Frame(from, body)) = events.recv().await else {
            continue;
        };
        if from.id() != link.id() {
            continue;
        }
        match body {
            Body::Output(output) => positions.push(output.position),
            Body::Finished(_) => return positions,
            Body::QueryAnswer(answer) => {
                let outputs = answer.outputs.iter();
                positions.extend(outputs.map(|output| output.position));
                if answer.finished.is_some() {
                    return positions;
                }
            }
            Body::Refused(m) => panic!("refused: {m:?}"),
            Body::Failed(m) => panic!("failed: {m:?}"),
            _ => continue,
        }
        let due = (reattached + 1) * (TOKENS / (REATTACHES + 1));
        if reattached < REATTACHES && positions.len() as u32 >= due {
            reattached += 1;
            link = attach(links, &link, request, address, &positions).await;
        }
    }
}

async fn attach(
    links: &Links,
    old: &Link,
    request: RequestId,
    address: SocketAddr,
    positions: &[u32],
) -> Link {
    old.close(CloseReason::Local);
    let link = links.connect(address).await.unwrap();
    link.send(Body::Query(wire::Query {
        request: Some(request.into()),
        attempt: 1,
        is_attach: true,
        from_position: positions.len() as u32,
        backend: "whole".to_owned(),
    }))
    .unwrap();
    link
}

fn run(request: RequestId, address: SocketAddr) -> wire::Run {
    let json = r#"{"messages":[{"role":"user","content":"a b c"}]}"#;
    let generate = wire::Generate {
        model: "desk-llm".to_owned(),
        request_json: json.as_bytes().to_vec(),
        max_tokens: TOKENS,
        delivered_tokens: Vec::new(),
        prompt_tokens_estimate: 3,
    };
    wire::Run {
        request: Some(request.into()),
        attempt: 1,
        service: "desk-llm".to_owned(),
        account: "caisse".to_owned(),
        priority: wire::Priority::Normal.into(),
        is_idempotent: true,
        is_kept: false,
        deadline_ms: 20_000,
        generation: 1,
        chain: vec![wire::Stage {
            backend: "whole".to_owned(),
            side_address: address.to_string(),
            first_layer: 0,
            end_layer: 4,
            side_boot_id: 0,
        }],
        work: Some(wire::run::Work::Generate(generate)),
    }
}
