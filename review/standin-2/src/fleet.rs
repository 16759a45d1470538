//! A small deployment: the store with a configuration, engines and entries.

use std::{
    env, fs, io,
    path::PathBuf,
    process::Child,
    thread,
    time::{Duration, Instant},
};

use crate::{
    engine::{Engine, Work},
    entry::EntryPlace,
    record::Record,
    store::{Gate, Store},
};

/// Zones of the deployment.
pub const ZONES: [&str; 3] = ["hall-ndorong", "hall-leona", "hall-medina"];
/// Host of all routes.
pub const HOST: &str = "ficu95.example";
/// Prefix of the route whose requests are streams of the model service.
pub const STREAMS: &str = "/lohu930/";
/// Prefix of the route whose requests may run once, at the plain service.
pub const ONCE: &str = "/puxa403/";
/// Prefix of the route whose requests may be repeated, at the plain service.
pub const SAFE: &str = "/cufi504/";
/// The plain services.
pub const SERVICES: [&str; 2] = ["wuno96b", "xano55b"];
/// Key of the only tenant.
pub const KEY: &str = "n2ctnfzs989anu6wsjnb";
/// Memory of an entry, as in the site's settings.
pub const MEMORY_MB: u64 = 260;
const LAYERS: u64 = 4;

/// A configuration with the limits of the site, in which requests that may run
/// once go to a service.
pub fn configuration(version: u64, once: &str) -> String {
    let route = |name: &str, prefix: &str, kind: &str, rest: &str| {
        format!(
            "{{\"name\":\"{name}\",\"hostname\":\"{HOST}\",\
             \"prefix\":\"{prefix}\",\"kind\":\"{kind}\",{rest},\
             \"max-attempts\":2,\"public\":false}}"
        )
    };
    let stream = "\"timeout-ms\":20000,\"target-latency-ms\":500,\
                  \"priority\":1,\"service\":\"huvo11a\",\"sticky\":true,\
                  \"resumable\":true,\"gap-target-ms\":200";
    let plain = |service: &str| {
        format!(
            "\"timeout-ms\":1500,\"target-latency-ms\":300,\
             \"priority\":2,\"service\":\"{service}\""
        )
    };
    let routes = [
        route("r-1", STREAMS, "streaming", stream),
        route("r-2", ONCE, "non_idempotent", &plain(once)),
        route("r-3", SAFE, "idempotent", &plain(SERVICES[0])),
    ];
    format!(
        "{{\"version\":{version},\"routes\":[{}],\"services\":[\
         {{\"name\":\"huvo11a\",\"health-path\":\"/health\",\
         \"max-connections\":1138,\"protocol\":\"h1\",\"tls\":false,\
         \"engine\":{{\"slots\":192,\"kv-capacity-tokens\":100000,\
         \"kv-token-bytes\":590000,\"link-mbps\":480000.0,\"stride\":2,\
         \"models\":[{{\"name\":\"daka510000\",\"pace\":1.0,\
         \"load-s\":14.0}}],\"step_ms\":0.85,\"per_seq_ms\":0.00382,\
         \"context_per_k\":0.00512,\"read_per_s\":196000.0,\
         \"pairs_per_m\":0.166,\"chunk\":512,\"report_lag_ms\":200.0,\
         \"loads_at_once\":6,\"usual\":{{\"prompt\":772,\"answer\":167}},\
         \"layers\":{LAYERS},\"layer-mb\":1750.0,\
         \"activation-bytes\":29500,\"pipe-mbps\":13000.0,\
         \"kinds\":[{{\"name\":\"h100\",\"mb\":72000.0,\"pace\":1.4,\
         \"read-x\":1.0}}]}}}},\
         {{\"name\":\"wuno96b\",\"health-path\":\"/health\",\
         \"max-connections\":110,\"protocol\":\"h1\",\"tls\":false}},\
         {{\"name\":\"xano55b\",\"health-path\":\"/health\",\
         \"max-connections\":110,\"protocol\":\"h1\",\"tls\":false}}],\
         \"limits\":{{\"max-header-bytes\":16384,\
         \"max-body-bytes\":4194304,\"header-timeout-ms\":3000,\
         \"idle-timeout-ms\":15000}},\"tenants\":[{{\"name\":\"hule930\",\
         \"api-keys\":[\"{KEY}\"],\"priority\":1}}]}}",
        routes.join(",")
    )
}

/// A deployment that runs. Its processes end when it is dropped.
pub struct Fleet {
    pub store: Store,
    pub engines: Vec<Engine>,
    pub servers: Vec<Engine>,
    pub gates: Vec<Gate>,
    pub places: Vec<EntryPlace>,
    pub children: Vec<Child>,
    folder: PathBuf,
    record: Record,
}

impl Fleet {
    /// Starts all, with entries in these zones, and waits until the engines hold their layers and the
    /// entries are ready.
    pub fn start(
        entries: &[&str],
        stream: Work,
        plain: Work,
        record: &Record,
    ) -> io::Result<Fleet> {
        let folder = env::temp_dir()
            .join(format!("review-standin-2-{}", std::process::id()));
        fs::create_dir_all(&folder)?;
        record.guard.folder(&folder);
        let store = Store::new();
        store.set("op", "config", configuration(7, SERVICES[0]).as_bytes());
        let mut engines = Vec::new();
        let mut servers = Vec::new();
        for (at, zone) in ZONES.iter().enumerate() {
            for count in 0..2 {
                let id = format!("i-e{at}{count}");
                engines.push(Engine::start(
                    (&id, "huvo11a", zone, "h100"),
                    ("127.0.0.1", 192),
                    stream.clone(),
                    &store,
                    record,
                )?);
            }
            for service in SERVICES {
                let id = format!("i-{service}-{at}");
                servers.push(Engine::start(
                    (&id, service, zone, ""),
                    ("127.0.0.1", 6),
                    plain.clone(),
                    &store,
                    record,
                )?);
            }
        }
        let mut gates = Vec::new();
        let mut places = Vec::new();
        let mut children = Vec::new();
        for (at, zone) in entries.iter().enumerate() {
            let gate = store.open()?;
            let (name, ip) =
                (format!("front-{at}"), format!("127.0.0.{}", at + 2));
            let place = EntryPlace::new(
                (&name, &ip, zone),
                &gate,
                &ZONES,
                MEMORY_MB,
                &folder,
            )?;
            children.push(place.start(record)?);
            places.push(place);
            gates.push(gate);
        }
        let fleet = Fleet {
            store,
            engines,
            servers,
            gates,
            places,
            children,
            folder,
            record: record.clone(),
        };
        let until = Instant::now() + Duration::from_secs(20);
        let is_up = || {
            fleet.engines.iter().all(|engine| engine.holds(LAYERS))
                && fleet.places.iter().all(EntryPlace::is_ready)
        };
        while !is_up() {
            if Instant::now() > until {
                return Err(io::Error::other("the fleet didn't start"));
            }
            thread::sleep(Duration::from_millis(100));
        }
        // Entries must know one another and the layers.
        thread::sleep(Duration::from_secs(2));
        Ok(fleet)
    }
}

impl Drop for Fleet {
    fn drop(&mut self) {
        for child in &mut self.children {
            let _ = child.kill();
            let _ = child.wait();
            self.record.guard.ended(child.id());
        }
        if env::var_os("KEEP_LOGS").is_none() {
            let _ = fs::remove_dir_all(&self.folder);
        }
    }
}
