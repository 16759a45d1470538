//! A later stage without a free slot lets a reservation wait for a limited
//! time.

mod support;

use std::{net::SocketAddr, sync::Arc, time::Duration};

use async_executor::Executor;
use async_io::{Timer, block_on};
use chestnutreach_node::threads;
use chestnutreach_protocol::{
    Link, LinkEvent, RequestId,
    wire::{self, RefusalReason, Role, frame::Body},
};
use chestnutreach_standins::{
    engine::EngineOptions, standin_thread::StandinThread,
};
use futures_lite::FutureExt as _;

const LIMIT: Duration = Duration::from_secs(30);

/// Result of a reserve message.
#[derive(Debug, Eq, PartialEq)]
enum Reply {
    Reserved(RequestId),
    Refused(RequestId, RefusalReason),
}

#[test]
fn a_released_slot_goes_to_a_waiting_reservation() {
    with_full_stage(|link, replies, address, held| async move {
        let waiting = reserve(&link, address);
        release(&link, held[0]);
        assert_eq!(replies.next().await, Reply::Reserved(waiting));
    });
}

#[test]
fn a_reservation_that_waits_too_long_is_refused() {
    with_full_stage(|link, replies, address, _| async move {
        let waiting = reserve(&link, address);
        let full = RefusalReason::Full;
        assert_eq!(replies.next().await, Reply::Refused(waiting, full));
    });
}

/// A reservation that is released while it waits must not take a slot or block
/// the queue.
#[test]
fn a_released_reservation_gets_no_slot() {
    with_full_stage(|link, replies, address, held| async move {
        let released = reserve(&link, address);
        release(&link, released);
        release(&link, held[0]);
        let next = reserve(&link, address);
        assert_eq!(replies.next().await, Reply::Reserved(next));
    });
}

/// Runs a test with a stage whose slots are all held.
fn with_full_stage<F: Future<Output = ()>>(
    test: impl FnOnce(Link, Replies, SocketAddr, Vec<RequestId>) -> F,
) {
    let engine = EngineOptions::new("desk-llm", 2, 4, 4).unwrap();
    let engine = StandinThread::engine(engine).unwrap();
    let executor = Arc::new(Executor::new());
    threads::start(&executor, 2).unwrap();
    let address = support::start_side(&executor, engine.address(), 2);
    let (links, events) = support::peer(&executor, "side-0", Role::Side);
    block_on(async {
        let link = links.connect(address).await.unwrap();
        let replies = Replies { events };
        let mut held = Vec::new();
        for _ in 0..support::SLOTS {
            let request = reserve(&link, address);
            assert_eq!(replies.next().await, Reply::Reserved(request));
            held.push(request);
        }
        test(link, replies, address, held).await;
    });
}

struct Replies {
    events: async_channel::Receiver<LinkEvent>,
}

impl Replies {
    async fn next(&self) -> Reply {
        let limit = async {
            Timer::after(LIMIT).await;
            panic!("no reply within {LIMIT:?}");
        };
        self.next_untimed().or(limit).await
    }

    async fn next_untimed(&self) -> Reply {
        loop {
            match self.events.recv().await {
                Ok(LinkEvent::Frame(_, Body::Reserved(m))) => {
                    return Reply::Reserved(m.request.unwrap().into());
                }
                Ok(LinkEvent::Frame(_, Body::Refused(m))) => {
                    let request = m.request.unwrap().into();
                    return Reply::Refused(request, m.reason());
                }
                _ => {}
            }
        }
    }
}

fn reserve(link: &Link, address: SocketAddr) -> RequestId {
    let request = RequestId::random();
    let stage = |backend: &str, first_layer, end_layer| wire::Stage {
        backend: backend.to_owned(),
        side_address: address.to_string(),
        first_layer,
        end_layer,
        side_boot_id: 0,
    };
    link.send(Body::Reserve(wire::Reserve {
        request: Some(request.into()),
        attempt: 1,
        service: "desk-llm".to_owned(),
        account: "caisse".to_owned(),
        priority: wire::Priority::Normal.into(),
        is_idempotent: true,
        deadline_ms: 20_000,
        generation: 1,
        chain: vec![stage("before", 0, 2), stage("whole", 2, 4)],
        stage_index: 1,
        prompt_tokens_estimate: 3,
        max_tokens: 8,
        model: "desk-llm".to_owned(),
        parameters_json: Vec::new(),
    }))
    .unwrap();
    request
}

fn release(link: &Link, request: RequestId) {
    let request = Some(request.into());
    let release = wire::Release { request, attempt: 1 };
    link.send(Body::Release(release)).unwrap();
}
