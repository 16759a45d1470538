//! Event loop of a simulation run.
//!
//! | module | contents |
//! |---|---|
//! | `world` | set-up, load reports, event loop |
//! | `world::dispatch` | callers and entries |
//! | `world::reserve` | side processes |
//! | `world::execute` | engines |
//! | `world::recorder` | measurements |

use chestnutreach_routing::{BackendIndex, Fleet, Policy, Presence};

use crate::{
    baseline_chain::ServersByLayer,
    case::{Case, Strategy},
    deployment::Deployment,
    entry::{Entry, SharedState},
    events::{Event, Events, RequestIndex},
    figures::Figures,
    request::Request,
    server::Server,
    table::Table,
    workload::{self, Arrival},
};

mod dispatch;
mod execute;
mod recorder;
mod reserve;

use recorder::Recorder;

const SAMPLE_US: u64 = 100_000;

/// State of a run.
pub(crate) struct World<'a> {
    deployment: &'a Deployment,
    case: &'a Case,
    events: Events,
    requests: Vec<Request>,
    entries: Vec<Entry>,
    servers: Vec<Server>,
    shared: SharedState,
    table: Table,
    recorder: Recorder,
}

/// Runs a case and returns its results.
pub fn run(deployment: &Deployment, case: &Case) -> Figures {
    let mut world = World::new(deployment, case);
    let end_us = case.end_ms() * 1_000;
    while let Some(event) = world.events.next(end_us) {
        world.handle(event);
    }
    world.figures()
}

impl<'a> World<'a> {
    fn new(deployment: &'a Deployment, case: &'a Case) -> World<'a> {
        let fleet = &deployment.fleet;
        let requests = requests(deployment, case);
        let mut world = World {
            deployment,
            case,
            events: Events::default(),
            requests,
            entries: entries(deployment, case),
            servers: servers(deployment, case),
            shared: SharedState {
                strategy: case.strategy,
                servers_by_layer: ServersByLayer::new(fleet),
                counts: vec![0; fleet.len()],
            },
            table: Table::default(),
            recorder: Recorder::new(deployment),
        };
        world.schedule();
        world
    }

    fn schedule(&mut self) {
        for (id, request) in self.requests.iter().enumerate() {
            let id = id as RequestIndex;
            self.events.schedule_at(request.arrival.at_us, Event::Arrive(id));
            self.events
                .schedule_at(request.deadline_us(), Event::Deadline(id));
        }
        let every_us = self.case.report_every_ms * 1_000;
        let count = self.servers.len() as u64;
        for index in self.deployment.fleet.indices() {
            // Staggered, because side processes start at different times.
            let at_us = every_us * u64::from(index.0) / count;
            self.events.schedule_at(at_us, Event::Report(index));
        }
        let measured_us = self.case.warm_up_ms * 1_000;
        self.events.schedule_at(measured_us, Event::Sample);
        if self.case.adds_server {
            let new_server = new_server(&self.deployment.fleet);
            self.set_presence(new_server, Presence::Absent);
            self.events.schedule_at(measured_us, Event::AddServer(new_server));
        }
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Arrive(id) => self.arrive(id),
            Event::TableRead(id) => self.dispatch(id),
            Event::ReachFirstStage(id) => self.reach_first_stage(id),
            Event::Reserve(id) => self.reserve(id),
            Event::Begin(id) => self.begin(id),
            Event::WaitTimeout(id, wait) => self.wait_timed_out(id, wait),
            Event::StageRefused(id, refusal) => {
                self.stage_refused(id, refusal);
            }
            Event::Refused(id, refusal) => self.refused(id, refusal),
            Event::Finished(id) => self.finished(id),
            Event::Deadline(id) => self.deadline(id),
            Event::IterationEnd(index) => self.iteration_end(index),
            Event::Wake(index) => self.start(index),
            Event::Report(index) => self.report(index),
            Event::ReportArrives(index, report) => {
                let now_ms = self.events.now_ms();
                for entry in &self.entries {
                    entry.live.record_report(index, &report, now_ms);
                }
            }
            Event::AddServer(index) => {
                let since_ms = self.events.now_ms();
                self.set_presence(index, Presence::Joining { since_ms });
            }
            Event::Sample => {
                self.sample();
                self.events.schedule_after(SAMPLE_US, Event::Sample);
            }
        }
    }

    fn report(&mut self, index: BackendIndex) {
        self.expire(index);
        let report = self.servers[index.0 as usize].report();
        let lag_us = self.case.report_lag_ms * 1_000;
        let arrives = Event::ReportArrives(index, report);
        self.events.schedule_after(lag_us, arrives);
        let every_us = self.case.report_every_ms * 1_000;
        self.events.schedule_after(every_us, Event::Report(index));
    }

    fn set_presence(&mut self, index: BackendIndex, presence: Presence) {
        for entry in &self.entries {
            entry.live.set_presence(index, presence);
        }
    }

    fn data_centre(&self, index: BackendIndex) -> u32 {
        self.deployment.fleet.spec(index).data_centre
    }

    fn uses_shared_counters(&self) -> bool {
        self.shared.strategy == Strategy::SharedCounters
    }
}

/// The most expensive server at layer 0.
pub(crate) fn new_server(fleet: &Fleet) -> BackendIndex {
    fleet
        .indices()
        .filter(|index| fleet.spec(*index).first_layer == 0)
        .max_by_key(|index| fleet.spec(*index).price_micros_per_hour)
        .expect("a fleet has servers at layer 0")
}

fn requests(deployment: &Deployment, case: &Case) -> Vec<Request> {
    // The load balancer in front of the entries chooses at random.
    let mut rng = fastrand::Rng::with_seed(case.seed);
    let entry_count = case.entry_count as usize;
    let request =
        |arrival: Arrival| Request::new(arrival, rng.usize(..entry_count));
    workload::arrivals(deployment, case).into_iter().map(request).collect()
}

fn entries(deployment: &Deployment, case: &Case) -> Vec<Entry> {
    let percent = case
        .recovery_weight_percent
        .unwrap_or(deployment.recovery_weight_percent);
    let policy = Policy::default()
        .entry_count(case.entry_count)
        .recovery_weight_percent(percent);
    let data_centre_count = deployment.links.data_centre_count() as u32;
    let entry = |id: u32| {
        let seed = case.seed.wrapping_mul(31) + u64::from(id);
        Entry::new(
            &deployment.fleet,
            policy.clone(),
            id % data_centre_count,
            seed,
        )
    };
    (0..case.entry_count).map(entry).collect()
}

fn servers(deployment: &Deployment, case: &Case) -> Vec<Server> {
    let fleet = &deployment.fleet;
    let server = |index| {
        Server::new(fleet, index, &deployment.accounts, case.seed << 16)
    };
    fleet.indices().map(server).collect()
}
