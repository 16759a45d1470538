//! In-process stand-ins of the platform's services, and their clients.

use std::{
    collections::BTreeMap,
    future::Future,
    net::{SocketAddr, TcpListener},
    sync::Arc,
    time::{Duration, Instant},
};

use async_executor::Executor;
use async_io::Async;
use chestnutreach_http::{Client, ClientOptions};
use chestnutreach_platform::{
    ClaimOptions, ClaimStore, ManifestStore, ObjectClient, TableClient,
    claims::{Claim, ClaimState, StoredResponse},
};
use chestnutreach_standins::platform::{
    FaultSettings, Faults, ObjectStats, TableStats, serve_objects, serve_table,
};
use futures_lite::future;
use http_types::{Method, Request};
use serde::de::DeserializeOwned;

/// Timeout of calls that are expected to succeed.
pub const CALL_TIMEOUT: Duration = Duration::from_secs(5);

pub struct Platform {
    pub executor: Arc<Executor<'static>>,
    pub table_faults: Arc<Faults>,
    table_address: SocketAddr,
    objects_address: SocketAddr,
}

/// Runs a test with its own stand-ins.
pub fn run<F: Future<Output = ()>>(test: impl FnOnce(Platform) -> F) {
    let executor = Arc::new(Executor::new());
    let table_faults = Arc::new(Faults::new());
    let (listener, table_address) = listen();
    let table = serve_table(listener, table_faults.clone(), executor.clone());
    executor.spawn(table).detach();
    let (listener, objects_address) = listen();
    let faults = Arc::new(Faults::new());
    let objects = serve_objects(listener, faults, executor.clone());
    executor.spawn(objects).detach();
    let platform = Platform {
        executor: executor.clone(),
        table_faults,
        table_address,
        objects_address,
    };
    async_io::block_on(executor.run(test(platform)));
}

impl Platform {
    pub fn table(&self) -> Arc<TableClient> {
        Arc::new(TableClient::new(self.table_address, CALL_TIMEOUT))
    }

    pub fn table_address(&self) -> SocketAddr {
        self.table_address
    }

    pub fn objects(&self) -> Arc<ObjectClient> {
        Arc::new(ObjectClient::new(self.objects_address, CALL_TIMEOUT))
    }

    pub fn manifests(&self) -> ManifestStore {
        ManifestStore::new(self.table(), self.objects())
    }

    pub fn claims(&self, options: ClaimOptions) -> Arc<ClaimStore> {
        let options = options.objects(self.objects());
        let executor = self.executor.clone();
        Arc::new(ClaimStore::new(self.table(), options, executor))
    }

    pub fn set_faults(&self, settings: FaultSettings) {
        self.table_faults.set(settings);
    }

    pub async fn table_stats(&self) -> TableStats {
        get_json(self.table_address, "/stats").await
    }

    pub async fn object_stats(&self) -> ObjectStats {
        get_json(self.objects_address, "/stats").await
    }
}

/// Polls until the condition returns a value; fails the test after a timeout.
pub async fn until<T>(condition: impl AsyncFn() -> Option<T>) -> T {
    let deadline = Instant::now() + CALL_TIMEOUT;
    loop {
        if let Some(value) = condition().await {
            return value;
        }
        assert!(
            Instant::now() < deadline,
            "the condition was not met within {CALL_TIMEOUT:?}"
        );
        future::yield_now().await;
    }
}

pub fn listen() -> (Async<TcpListener>, SocketAddr) {
    let listener = Async::<TcpListener>::bind(([127, 0, 0, 1], 0)).unwrap();
    let address = listener.get_ref().local_addr().unwrap();
    (listener, address)
}

pub async fn call(
    address: SocketAddr,
    method: Method,
    target: &str,
    body: &str,
) -> Vec<u8> {
    let client = Client::new(address, ClientOptions::new());
    let mut request = Request::new(method, client.url(target).unwrap());
    request.set_body(body);
    client.send(request, CALL_TIMEOUT).await.unwrap().1
}

pub async fn get_json<R: DeserializeOwned>(
    address: SocketAddr,
    target: &str,
) -> R {
    let body = call(address, Method::Get, target, "").await;
    serde_json::from_slice(&body).unwrap()
}

pub fn claim(claim_id: u128) -> Claim {
    Claim {
        claim_id,
        request_digest: [7; 32],
        request: claim_id + 1000,
        entry_vm: "entry-1".to_owned(),
        entry_boot_id: 11,
        side_address: ([127, 0, 0, 1], 4000).into(),
        side_boot_id: 12,
        state: ClaimState::Claimed,
        expires_at_unix_s: u64::MAX >> 1,
    }
}

pub fn completed(claim: Claim, body: &[u8]) -> Claim {
    let content_type = ("content-type".to_owned(), "text/plain".to_owned());
    let headers = BTreeMap::from([content_type]);
    let answer = StoredResponse { status: 200, headers, body: body.to_vec() };
    Claim { state: ClaimState::Completed { answer }, ..claim }
}
