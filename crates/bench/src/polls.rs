//! Bytes per poll of the platform services.
//!
//! The clients of the daemons connect through a relay that counts bytes.

use std::{
    collections::BTreeMap,
    io::{Read as _, Write as _},
    net::{Ipv4Addr, SocketAddr, TcpListener, TcpStream},
    sync::{
        Arc,
        atomic::{AtomicU64, Ordering},
    },
    thread,
    time::Duration,
};

use async_executor::Executor;
use async_io::{Async, block_on};
use chestnutreach_fleet::Caller;
use chestnutreach_platform::{
    ManifestStore, ObjectClient, TableClient, VmListClient,
    vm_list::VM_LIST_PATH,
};
use chestnutreach_standins::platform::{
    Faults, serve_objects, serve_table, serve_vm_list,
};
use futures_lite::future;
use serde::Serialize;
use serde_json::json;

/// Polls per measurement; the mean over many polls hides the connection setup
/// of the first.
const POLL_COUNT: u64 = 100;
/// Lengths of the VM list: of a small site and of the target deployment.
const VM_COUNTS: [usize; 2] = [40, 370];
const REQUEST_TIMEOUT: Duration = Duration::from_secs(2);

/// Bytes that a node sends and receives per poll, including HTTP headers and
/// excluding TCP.
#[derive(Clone, Debug, Serialize)]
pub(crate) struct PollBytes {
    pub(crate) what: String,
    pub(crate) sent_bytes: u64,
    pub(crate) received_bytes: u64,
}

/// Measures each kind of poll that a node makes.
pub(crate) fn measure() -> anyhow::Result<Vec<PollBytes>> {
    let executor = start_executor();
    let mut polls = vec![measure_head(&executor)?];
    for vms in VM_COUNTS {
        polls.push(measure_vm_list(&executor, vms)?);
    }
    Ok(polls)
}

/// Starts an executor on a thread that runs until the process exits.
pub(crate) fn start_executor() -> Arc<Executor<'static>> {
    let executor = Arc::new(Executor::new());
    let run = executor.clone();
    thread::spawn(move || block_on(run.run(future::pending::<()>())));
    executor
}

fn measure_head(
    executor: &Arc<Executor<'static>>,
) -> anyhow::Result<PollBytes> {
    let faults = Arc::new(Faults::new());
    let (table_listener, table) = listen()?;
    let serve = serve_table(table_listener, faults.clone(), executor.clone());
    executor.spawn(serve).detach();
    let (object_listener, objects) = listen()?;
    let serve = serve_objects(object_listener, faults, executor.clone());
    executor.spawn(serve).detach();
    let sections = BTreeMap::new();
    block_on(manifest_store(table, objects).submit(0, &sections, "bench"))?;
    let relay = Relay::start(table)?;
    let store = manifest_store(relay.address, objects);
    for _ in 0..POLL_COUNT {
        block_on(store.head())?;
    }
    Ok(relay.per_poll("poll of the manifest's head".to_owned()))
}

fn manifest_store(table: SocketAddr, objects: SocketAddr) -> ManifestStore {
    ManifestStore::new(
        Arc::new(TableClient::new(table, REQUEST_TIMEOUT)),
        Arc::new(ObjectClient::new(objects, REQUEST_TIMEOUT)),
    )
}

fn measure_vm_list(
    executor: &Arc<Executor<'static>>,
    vms: usize,
) -> anyhow::Result<PollBytes> {
    let (listener, address) = listen()?;
    let faults = Arc::new(Faults::new());
    let serve = serve_vm_list(listener, faults, executor.clone());
    executor.spawn(serve).detach();
    let entry = |n| json!({"vm": format!("vm-{n:04}"), "state": "live"});
    let list: serde_json::Value = (0..vms).map(entry).collect();
    let caller = Caller::new(address, "");
    caller.call("PUT", VM_LIST_PATH, &list.to_string());
    let relay = Relay::start(address)?;
    let client = VmListClient::new(relay.address, REQUEST_TIMEOUT);
    for _ in 0..POLL_COUNT {
        block_on(client.list())?;
    }
    Ok(relay.per_poll(format!("poll of the list of {vms} VMs")))
}

fn listen() -> anyhow::Result<(Async<TcpListener>, SocketAddr)> {
    let listener = Async::<TcpListener>::bind((Ipv4Addr::LOCALHOST, 0))?;
    let address = listener.get_ref().local_addr()?;
    Ok((listener, address))
}

/// A TCP relay that counts the bytes of each direction.
struct Relay {
    address: SocketAddr,
    sent: Arc<AtomicU64>,
    received: Arc<AtomicU64>,
}

impl Relay {
    fn start(server: SocketAddr) -> anyhow::Result<Relay> {
        let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0))?;
        let relay = Relay {
            address: listener.local_addr()?,
            sent: Arc::default(),
            received: Arc::default(),
        };
        let (sent, received) = (relay.sent.clone(), relay.received.clone());
        thread::spawn(move || {
            for inbound in listener.incoming().flatten() {
                let Ok(outbound) = TcpStream::connect(server) else {
                    continue;
                };
                forward(&inbound, &outbound, &sent);
                forward(&outbound, &inbound, &received);
            }
        });
        Ok(relay)
    }

    fn per_poll(&self, what: String) -> PollBytes {
        let mean =
            |count: &AtomicU64| count.load(Ordering::Relaxed) / POLL_COUNT;
        PollBytes {
            what,
            sent_bytes: mean(&self.sent),
            received_bytes: mean(&self.received),
        }
    }
}

/// Forwards one direction of a connection on a thread that runs until the
/// connection closes.
fn forward(from: &TcpStream, to: &TcpStream, count: &Arc<AtomicU64>) {
    let (Ok(mut from), Ok(mut to)) = (from.try_clone(), to.try_clone()) else {
        return;
    };
    let count = count.clone();
    thread::spawn(move || {
        let mut buffer = [0; 4096];
        while let Ok(read) = from.read(&mut buffer)
            && read > 0
        {
            count.fetch_add(read as u64, Ordering::Relaxed);
            if to.write_all(&buffer[..read]).is_err() {
                return;
            }
        }
    });
}
