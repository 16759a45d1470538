//! Bytes of one poll of the platform's services.
//!
//! The clients that the daemons use are led through a relay that counts.

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

/// Polls of which the mean is taken, so that the first one's connection
/// counts little.
const POLLS: u64 = 100;
/// Sizes of the list of VMs: of a small site, and of the target.
const LISTED_VMS: [usize; 2] = [40, 370];
const TIMEOUT: Duration = Duration::from_secs(2);

/// Bytes of a poll as the node sends and gets them, HTTP included and TCP
/// left out.
#[derive(Clone, Debug, Serialize)]
pub(crate) struct PollBytes {
    pub(crate) what: String,
    pub(crate) sent_bytes: u64,
    pub(crate) received_bytes: u64,
}

/// Measures the polls of a node.
pub(crate) fn measure() -> anyhow::Result<Vec<PollBytes>> {
    let executor = executor();
    let mut polls = vec![head(&executor)?];
    for vms in LISTED_VMS {
        polls.push(vm_list(&executor, vms)?);
    }
    Ok(polls)
}

/// An executor on a thread that ends with the process.
pub(crate) fn executor() -> Arc<Executor<'static>> {
    let executor = Arc::new(Executor::new());
    let run = executor.clone();
    thread::spawn(move || block_on(run.run(future::pending::<()>())));
    executor
}

fn head(executor: &Arc<Executor<'static>>) -> anyhow::Result<PollBytes> {
    let faults = Arc::new(Faults::new());
    let (table_listener, table) = listen()?;
    let serve = serve_table(table_listener, faults.clone(), executor.clone());
    executor.spawn(serve).detach();
    let (object_listener, objects) = listen()?;
    let serve = serve_objects(object_listener, faults, executor.clone());
    executor.spawn(serve).detach();
    let sections = BTreeMap::new();
    block_on(store(table, objects).submit(0, &sections, "bench"))?;
    let relay = Relay::start(table)?;
    let store = store(relay.address, objects);
    for _ in 0..POLLS {
        block_on(store.head())?;
    }
    Ok(relay.per_poll("poll of the manifest's head".to_owned()))
}

fn store(table: SocketAddr, objects: SocketAddr) -> ManifestStore {
    ManifestStore::new(
        Arc::new(TableClient::new(table, TIMEOUT)),
        Arc::new(ObjectClient::new(objects, TIMEOUT)),
    )
}

fn vm_list(
    executor: &Arc<Executor<'static>>,
    vms: usize,
) -> anyhow::Result<PollBytes> {
    let (listener, address) = listen()?;
    let faults = Arc::new(Faults::new());
    let serve = serve_vm_list(listener, faults, executor.clone());
    executor.spawn(serve).detach();
    let entry = |n| json!({"vm": format!("vm-{n:04}"), "state": "live"});
    let list: serde_json::Value = (0..vms).map(entry).collect();
    let setter = Caller::new(address, "");
    setter.call("PUT", VM_LIST_PATH, &list.to_string());
    let relay = Relay::start(address)?;
    let client = VmListClient::new(relay.address, TIMEOUT);
    for _ in 0..POLLS {
        block_on(client.list())?;
    }
    Ok(relay.per_poll(format!("poll of the list of {vms} VMs")))
}

fn listen() -> anyhow::Result<(Async<TcpListener>, SocketAddr)> {
    let listener = Async::<TcpListener>::bind((Ipv4Addr::LOCALHOST, 0))?;
    let address = listener.get_ref().local_addr()?;
    Ok((listener, address))
}

/// Passes connections on and counts their bytes.
struct Relay {
    address: SocketAddr,
    sent: Arc<AtomicU64>,
    received: Arc<AtomicU64>,
}

impl Relay {
    fn start(to: SocketAddr) -> anyhow::Result<Relay> {
        let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0))?;
        let relay = Relay {
            address: listener.local_addr()?,
            sent: Arc::default(),
            received: Arc::default(),
        };
        let (sent, received) = (relay.sent.clone(), relay.received.clone());
        thread::spawn(move || {
            for near in listener.incoming().flatten() {
                let Ok(far) = TcpStream::connect(to) else {
                    continue;
                };
                pass(&near, &far, &sent);
                pass(&far, &near, &received);
            }
        });
        Ok(relay)
    }

    fn per_poll(&self, what: String) -> PollBytes {
        let mean = |count: &AtomicU64| count.load(Ordering::Relaxed) / POLLS;
        PollBytes {
            what,
            sent_bytes: mean(&self.sent),
            received_bytes: mean(&self.received),
        }
    }
}

/// Passes one direction on, on a thread that ends with the connection.
fn pass(from: &TcpStream, to: &TcpStream, count: &Arc<AtomicU64>) {
    let (Ok(mut from), Ok(mut to)) = (from.try_clone(), to.try_clone()) else {
        return;
    };
    let count = count.clone();
    thread::spawn(move || {
        let mut chunk = [0; 4096];
        while let Ok(read) = from.read(&mut chunk)
            && read > 0
        {
            count.fetch_add(read as u64, Ordering::Relaxed);
            if to.write_all(&chunk[..read]).is_err() {
                return;
            }
        }
    });
}
