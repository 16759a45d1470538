//! The run itself: events in the order of the virtual clock.
//!
//! | module | what it handles |
//! |---|---|
//! | `world` | set-up, reports, the clock |
//! | `world::ask` | callers and entries |
//! | `world::reserve` | side processes |
//! | `world::serve` | engines |
//! | `world::watch` | what is measured on the way |

use chestnutreach_routing::{BackendIndex, Fleet, Policy, Presence};

use crate::{
    case::{Case, Way},
    deployment::Deployment,
    entry::{Common, Entry},
    events::{Event, Events, RequestIndex},
    figures::Figures,
    pick::Starts,
    request::Request,
    server::Server,
    table::Table,
    workload::{self, Asking},
};

mod ask;
mod reserve;
mod serve;
mod watch;

use watch::Watch;

const SAMPLE_US: u64 = 100_000;

/// A run under way.
pub(crate) struct World<'a> {
    deployment: &'a Deployment,
    case: &'a Case,
    events: Events,
    requests: Vec<Request>,
    entries: Vec<Entry>,
    servers: Vec<Server>,
    common: Common,
    table: Table,
    watch: Watch,
}

/// Runs a case to its end.
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
            common: Common {
                way: case.way,
                starts: Starts::new(fleet),
                counts: vec![0; fleet.len()],
            },
            table: Table::default(),
            watch: Watch::new(deployment),
        };
        world.schedule();
        world
    }

    fn schedule(&mut self) {
        for (at, request) in self.requests.iter().enumerate() {
            let at = at as RequestIndex;
            self.events.at_us(request.asking.at_us, Event::Arrive(at));
            self.events.at_us(request.deadline_us(), Event::Deadline(at));
        }
        let every_us = self.case.report_every_ms * 1_000;
        let count = self.servers.len() as u64;
        for index in self.deployment.fleet.indices() {
            // Spread, as side processes start at any time.
            let at_us = every_us * u64::from(index.0) / count;
            self.events.at_us(at_us, Event::Report(index));
        }
        let measured_us = self.case.warm_up_ms * 1_000;
        self.events.at_us(measured_us, Event::Sample);
        if self.case.joins {
            let newcomer = newcomer(&self.deployment.fleet);
            self.set_presence(newcomer, Presence::Absent);
            self.events.at_us(measured_us, Event::Join(newcomer));
        }
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Arrive(at) => self.arrive(at),
            Event::TableRead(at) => self.dispatch(at),
            Event::Offer(at) => self.offer(at),
            Event::Reserve(at) => self.reserve(at),
            Event::Begin(at) => self.begin(at),
            Event::WaitOver(at, wait) => self.wait_over(at, wait),
            Event::StageRefused(at, refusal) => {
                self.stage_refused(at, refusal);
            }
            Event::Refused(at, refusal) => self.refused(at, refusal),
            Event::Finished(at) => self.finished(at),
            Event::Deadline(at) => self.deadline(at),
            Event::IterationEnd(index) => self.iteration_end(index),
            Event::Wake(index) => self.start(index),
            Event::Report(index) => self.report(index),
            Event::ReportArrives(index, report) => {
                let now_ms = self.events.now_ms();
                for entry in &self.entries {
                    entry.live.record_report(index, &report, now_ms);
                }
            }
            Event::Join(index) => {
                let since_ms = self.events.now_ms();
                self.set_presence(index, Presence::Joining { since_ms });
            }
            Event::Sample => {
                self.sample();
                self.events.after_us(SAMPLE_US, Event::Sample);
            }
        }
    }

    fn report(&mut self, index: BackendIndex) {
        self.expire(index);
        let report = self.servers[index.0 as usize].report();
        let lag_us = self.case.report_lag_ms * 1_000;
        let arrives = Event::ReportArrives(index, report);
        self.events.after_us(lag_us, arrives);
        let every_us = self.case.report_every_ms * 1_000;
        self.events.after_us(every_us, Event::Report(index));
    }

    fn set_presence(&mut self, index: BackendIndex, presence: Presence) {
        for entry in &self.entries {
            entry.live.set_presence(index, presence);
        }
    }

    fn data_centre(&self, index: BackendIndex) -> u32 {
        self.deployment.fleet.spec(index).data_centre
    }

    fn is_counted(&self) -> bool {
        self.common.way == Way::SharedCounters
    }
}

/// A server of the dearest kind at layer 0.
pub(crate) fn newcomer(fleet: &Fleet) -> BackendIndex {
    fleet
        .indices()
        .filter(|index| fleet.spec(*index).first_layer == 0)
        .max_by_key(|index| fleet.spec(*index).price_micros_per_hour)
        .expect("a fleet has servers at layer 0")
}

fn requests(deployment: &Deployment, case: &Case) -> Vec<Request> {
    // The balancer before the entries draws at random.
    let mut rng = fastrand::Rng::with_seed(case.seed);
    let entry_count = case.entry_count as usize;
    let request =
        |asking: Asking| Request::new(asking, rng.usize(..entry_count));
    workload::askings(deployment, case).into_iter().map(request).collect()
}

fn entries(deployment: &Deployment, case: &Case) -> Vec<Entry> {
    let percent = case
        .recovery_weight_percent
        .unwrap_or(deployment.recovery_weight_percent);
    let policy = Policy::default()
        .entry_count(case.entry_count)
        .recovery_weight_percent(percent);
    let places = deployment.links.data_centre_count() as u32;
    let entry = |at: u32| {
        let seed = case.seed.wrapping_mul(31) + u64::from(at);
        Entry::new(&deployment.fleet, policy.clone(), at % places, seed)
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
