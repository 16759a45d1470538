//! An entry in the test process, with a scripted side process.

pub mod caller;
pub mod side;

use std::{
    net::{SocketAddr, TcpListener},
    sync::Arc,
    thread,
    time::{Duration, Instant},
};

use async_executor::Executor;
use async_io::Async;
use chestnutreach_config::{
    Manifest, key_digest,
    settings::{DaemonSettings, EntrySettings},
};
use chestnutreach_entry::{Entry, EntryParts};
use chestnutreach_node::PeerReports;
use chestnutreach_platform::{ClaimOptions, ClaimStore, TableClient};
use chestnutreach_protocol::{Identity, wire::Role};
use chestnutreach_standins::platform::{Faults, serve_table};
use chestnutreach_telemetry::Metrics;

pub use self::{
    caller::{Caller, HttpResponse, Request},
    side::{FakeSide, Reply},
};

/// Timeout for every expected event.
pub const TIMEOUT: Duration = Duration::from_secs(10);
/// Bearer key of the account that may use the model and `/ledger-app`.
pub const CLERK_KEY: &str = "key-of-the-clerk";
/// Bearer key of the account that may use `/pipe-records` only.
pub const AGENT_KEY: &str = "key-of-the-agent";
/// Longest request body that the entry accepts.
pub const MAX_BODY_BYTES: usize = 4_096;
/// Threads that run the entry, its side process and the table service.
const THREADS: usize = 2;
/// Timeout of one call to the table service; claims have twice as long.
const TABLE_TIMEOUT: Duration = Duration::from_millis(500);

/// Configuration of a fixture, set by chained methods.
pub struct Setup {
    has_side: bool,
    has_manifest: bool,
    max_requests_in_flight: usize,
}

impl Setup {
    pub fn new() -> Setup {
        Setup {
            has_side: true,
            has_manifest: true,
            max_requests_in_flight: 100,
        }
    }

    /// The manifest names a side process that cannot be reached.
    pub fn without_side(mut self) -> Setup {
        self.has_side = false;
        self
    }

    /// No manifest is in force.
    pub fn without_manifest(mut self) -> Setup {
        self.has_manifest = false;
        self
    }

    pub fn max_requests_in_flight(mut self, count: usize) -> Setup {
        self.max_requests_in_flight = count;
        self
    }

    pub fn start(self) -> Fixture {
        let executor = Arc::new(Executor::new());
        for _ in 0..THREADS {
            let executor = executor.clone();
            thread::spawn(move || {
                let forever = std::future::pending::<()>();
                async_io::block_on(executor.run(forever));
            });
        }
        let side = FakeSide::start(&executor);
        let (http, http_address) = listen();
        let (inner, _) = listen();
        let table_faults = Arc::new(Faults::new());
        let claims = claims(&executor, &table_faults);
        let entry = Entry::start(EntryParts {
            settings: settings(self.max_requests_in_flight),
            identity: Identity::new("entry-1", Role::Entry, "hall-medina"),
            metrics: Arc::new(Metrics::new("entry", "entry-1")),
            peer_reports: Arc::new(PeerReports::new()),
            claims,
            executor: executor.clone(),
            http,
            inner,
        });
        let fixture = Fixture { entry, side, table_faults, http_address };
        if self.has_manifest {
            let address = match self.has_side {
                true => fixture.side.address(),
                false => refusing_address(),
            };
            fixture.apply_manifest(1, address);
            if self.has_side {
                fixture.wait_for_side();
            }
        }
        fixture
    }
}

/// A running entry with its side process and table service.
pub struct Fixture {
    pub entry: Entry,
    pub side: FakeSide,
    pub table_faults: Arc<Faults>,
    http_address: SocketAddr,
}

impl Fixture {
    pub fn start() -> Fixture {
        Setup::new().start()
    }

    /// Opens a new connection of a caller.
    pub fn caller(&self) -> Caller {
        Caller::connect(self.http_address)
    }

    /// Sends one request on a new connection.
    pub fn call(&self, request: &Request) -> HttpResponse {
        let mut caller = self.caller();
        caller.send(request);
        caller.read_response(request)
    }

    /// Applies a manifest that names an unreachable side process.
    pub fn make_side_unreachable(&self) {
        self.apply_manifest(2, refusing_address());
    }

    fn apply_manifest(&self, generation: u64, side: SocketAddr) {
        let text = manifest(side);
        let manifest = Manifest::try_parse("test.ini", &text);
        self.entry
            .apply(generation, &manifest.expect("the manifest is valid"));
    }

    fn wait_for_side(&self) {
        wait_until("the side process is present", || {
            let status = self.entry.status().to_string();
            !status.contains("absent")
        });
    }
}

/// Waits until a condition is true.
pub fn wait_until(what: &str, mut condition: impl FnMut() -> bool) {
    let until = Instant::now() + TIMEOUT;
    while !condition() {
        assert!(Instant::now() < until, "timed out waiting until {what}");
        thread::sleep(Duration::from_millis(2));
    }
}

pub fn listen() -> (Async<TcpListener>, SocketAddr) {
    let listener = Async::<TcpListener>::bind(([127, 0, 0, 1], 0)).unwrap();
    let address = listener.get_ref().local_addr().unwrap();
    (listener, address)
}

/// An address that refuses connections.
fn refusing_address() -> SocketAddr {
    listen().1
}

fn claims(
    executor: &Arc<Executor<'static>>,
    faults: &Arc<Faults>,
) -> ClaimStore {
    let (listener, address) = listen();
    let table = serve_table(listener, faults.clone(), executor.clone());
    executor.spawn(async move { table.await.unwrap() }).detach();
    let client = Arc::new(TableClient::new(address, TABLE_TIMEOUT));
    let options =
        ClaimOptions::new().flush_ms(1).claim_timeout(TABLE_TIMEOUT * 2);
    ClaimStore::new(client, options, executor.clone())
}

fn settings(max_requests_in_flight: usize) -> EntrySettings {
    let text = format!(
        "[node]\nrole = entry\nvm = entry-1\ndata-centre = hall-medina\n\
         inner-address = 127.0.0.1:1\nops-address = 127.0.0.1:2\n\
         control-address = 127.0.0.1:3\n\n\
         [platform]\ntable-address = 127.0.0.1:4\n\
         object-address = 127.0.0.1:5\nvm-list-address = 127.0.0.1:6\n\n\
         [entry]\nhttp-address = 127.0.0.1:7\n\
         max-body-bytes = {MAX_BODY_BYTES}\nrecover-limit-ms = 200\n\
         max-requests-in-flight = {max_requests_in_flight}\n"
    );
    match DaemonSettings::try_parse("test.ini", &text) {
        Ok(DaemonSettings::Entry(settings)) => settings,
        Ok(DaemonSettings::Side(_)) => panic!("the role is entry"),
        Err(findings) => panic!("{findings}"),
    }
}

fn manifest(side: SocketAddr) -> String {
    let mut text = "[deployment]\nname = test\n\n\
        [data-centre hall-medina]\nregion = kaolack\n\n\
        [accelerator a40]\nprice-micros-per-hour = 1\n\
        prompt-tokens-per-s = 1000000\noutput-tokens-per-s = 1000000\n\n\
        [service desk-llm]\nkind = language\nmodel = org/desk-llm\n\
        layer-count = 4\nmax-context-tokens = 1000\n\
        default-deadline-ms = 10000\nmax-deadline-ms = 20000\n\n"
        .to_owned();
    for service in ["ledger-app", "pipe-records"] {
        text += &format!(
            "[service {service}]\nkind = plain\npath = /{service}\n\
             default-deadline-ms = 10000\nmax-deadline-ms = 20000\n\n\
             [backend-server {service}-0]\nservice = {service}\n\
             data-centre = hall-medina\nvm = side-1\n\
             side-address = {side}\nmax-running = 8\n\n"
        );
    }
    let accounts = [
        ("clerk", CLERK_KEY, "desk-llm, ledger-app"),
        ("agent", AGENT_KEY, "pipe-records"),
    ];
    for (name, key, services) in accounts {
        let digest = key_digest(key);
        text += &format!(
            "[account {name}]\nkey-digests = {digest}\n\
             services = {services}\n\n"
        );
    }
    text + &format!(
        "[backend-server desk-0]\nservice = desk-llm\n\
         data-centre = hall-medina\nvm = side-1\nside-address = {side}\n\
         max-running = 8\naccelerator = a40\nfirst-layer = 0\n\
         end-layer = 4\ncache-tokens = 1000\nchecks-fencing = yes\n"
    )
}
