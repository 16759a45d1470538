//! A later stage that has no place free lets a request wait for a while.

mod support;

use std::{net::SocketAddr, sync::Arc, time::Duration};

use async_executor::Executor;
use async_io::{Timer, block_on};
use chestnutreach_node::threads;
use chestnutreach_protocol::{
    Link, LinkEvent, RequestId,
    wire::{self, RefusalReason, Role, frame::Body},
};
use chestnutreach_standins::{engine::EngineOptions, running::Running};
use futures_lite::FutureExt as _;

const LIMIT: Duration = Duration::from_secs(30);

/// What became of a reservation.
#[derive(Debug, Eq, PartialEq)]
enum Told {
    Reserved(RequestId),
    Refused(RequestId, RefusalReason),
}

#[test]
fn a_place_that_comes_free_goes_to_who_waits() {
    with_full_stage(|link, told, address, held| async move {
        let waiting = reserve(&link, address);
        release(&link, held[0]);
        assert_eq!(told.next().await, Told::Reserved(waiting));
    });
}

#[test]
fn who_waits_too_long_is_refused() {
    with_full_stage(|link, told, address, _| async move {
        let waiting = reserve(&link, address);
        let full = RefusalReason::Full;
        assert_eq!(told.next().await, Told::Refused(waiting, full));
    });
}

/// Whoever is released while it waits neither keeps a place nor blocks it.
#[test]
fn a_place_is_not_given_to_who_has_gone() {
    with_full_stage(|link, told, address, held| async move {
        let gone = reserve(&link, address);
        release(&link, gone);
        release(&link, held[0]);
        let next = reserve(&link, address);
        assert_eq!(told.next().await, Told::Reserved(next));
    });
}

/// Runs a test with a stage whose every place is held.
fn with_full_stage<F: Future<Output = ()>>(
    test: impl FnOnce(Link, Answers, SocketAddr, Vec<RequestId>) -> F,
) {
    let engine = EngineOptions::new("desk-llm", 2, 4, 4).unwrap();
    let engine = Running::engine(engine).unwrap();
    let executor = Arc::new(Executor::new());
    threads::start(&executor, 2).unwrap();
    let address = support::start_side(&executor, engine.address(), 2);
    let (links, events) = support::peer(&executor, "side-0", Role::Side);
    block_on(async {
        let link = links.connect(address).await.unwrap();
        let told = Answers { events };
        let mut held = Vec::new();
        for _ in 0..support::PLACES {
            let request = reserve(&link, address);
            assert_eq!(told.next().await, Told::Reserved(request));
            held.push(request);
        }
        test(link, told, address, held).await;
    });
}

struct Answers {
    events: async_channel::Receiver<LinkEvent>,
}

impl Answers {
    async fn next(&self) -> Told {
        let limit = async {
            Timer::after(LIMIT).await;
            panic!("no answer within {LIMIT:?}");
        };
        self.next_untimed().or(limit).await
    }

    async fn next_untimed(&self) -> Told {
        loop {
            match self.events.recv().await {
                Ok(LinkEvent::Frame(_, Body::Reserved(m))) => {
                    return Told::Reserved(m.request.unwrap().into());
                }
                Ok(LinkEvent::Frame(_, Body::Refused(m))) => {
                    let request = m.request.unwrap().into();
                    return Told::Refused(request, m.reason());
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
