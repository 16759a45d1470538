//! An entry that loses its connection continues over a new one.

mod support;

use std::{net::SocketAddr, sync::Arc, time::Duration};

use async_executor::Executor;
use async_io::{Timer, block_on};
use chestnutreach_node::threads;
use chestnutreach_protocol::{
    CloseReason, Link, LinkEvent, Links, RequestId,
    wire::{self, Role, frame::Body},
};
use chestnutreach_standins::{
    engine::EngineOptions, standin_thread::StandinThread,
};
use futures_lite::FutureExt as _;

const TOKENS: u32 = 400;
/// Number of connections closed while one output is sent.
const REATTACHES: u32 = 40;
const LIMIT: Duration = Duration::from_secs(30);

/// Each query attaches the output to a new connection while tokens are being
/// sent. No token may arrive before the response to the query, which
/// determines where the remaining output starts.
#[test]
fn an_output_moves_between_connections_without_a_gap() {
    let engine = EngineOptions::new("desk-llm", 0, 4, 4).unwrap();
    let engine = StandinThread::engine(engine).unwrap();
    let executor = Arc::new(Executor::new());
    threads::start(&executor, 4).unwrap();
    let address = support::start_side(&executor, engine.address(), 0);
    let (links, events) = support::peer(&executor, "entry-1", Role::Entry);
    let positions = block_on(async {
        let limit = async {
            Timer::after(LIMIT).await;
            panic!("output is not complete after {LIMIT:?}");
        };
        follow(&links, &events, address).or(limit).await
    });
    let expected: Vec<u32> = (0..TOKENS).collect();
    assert_eq!(positions, expected);
}

/// Runs one request and repeatedly replaces its connection. Returns the
/// positions in the order of arrival.
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
