//! A rate limit that all entries share, simulated on a virtual clock.
//!
//! Requests arrive at the entries at random. Entries send each other their
//! state, ask one of them for permits, and send a request once it has a
//! permit. Messages take some milliseconds and may be lost. Entries are
//! killed, paused, restarted or partitioned.

use std::collections::{BTreeMap, BTreeSet};

use chestnutreach_membership::issuer::IssuerView;
use chestnutreach_routing::{
    PermitDemand, PermitGrant, PermitHolder, PermitIssuer, PermitRequest,
};
use proptest::prelude::*;
use rstest::rstest;

const WINDOW_MS: u64 = 4_000;
/// Time after the first response with the limit from which requests count.
const FIRST_COUNTED_MS: u64 = 500;
const LENGTH_MS: u64 = 20_000;
const TICK_MS: u64 = 20;
const STATE_INTERVAL_MS: u64 = 200;
const ABSENCE_TIMEOUT_MS: u64 = 900;
const KNOWN_FOR_MS: u64 = 30_000;
const AVOIDED_MS: u64 = 1_000;
const WAITING_CHECK_MS: u64 = 15;
const REROUTABLE_CHECK_MS: u64 = 3;
/// Pause after a refused permit, for each entry of the fleet.
const PAUSE_PER_ENTRY_MS: u64 = 15;
const ASSIGNMENT: u64 = 77;

/// Fault of the entry that issues permits.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Fault {
    None,
    Killed,
    /// Killed, and restarted a second later.
    Restarted,
    PausedFor(u64),
    /// Partitioned from all other entries for a time, but not from the server.
    PartitionedFor(u64),
}

#[derive(Clone, Copy, Debug)]
struct Scenario {
    entries: usize,
    limit_per_s: f64,
    /// Requests that would be sent, as a multiple of the limit.
    demand_ratio: f64,
    /// Whether requests wait for a permit instead of using another server.
    waits: bool,
    loss: f64,
    fault: Fault,
    /// Whether each issuer grants the whole limit: the fault that the test
    /// must detect.
    grants_whole_limit: bool,
    seed: u64,
}

const BASE: Scenario = Scenario {
    entries: 3,
    limit_per_s: 5.9,
    demand_ratio: 3.0,
    waits: false,
    loss: 0.0,
    fault: Fault::None,
    grants_whole_limit: false,
    seed: 1,
};

#[derive(Clone, Debug)]
enum Message {
    State { choice: u64 },
    Ask(PermitRequest),
    Grant(PermitGrant),
}

struct Entry {
    boot_id: u64,
    holder: PermitHolder,
    issuer: Option<PermitIssuer>,
    choice: u64,
    avoided: Option<(u64, u64)>,
    received_ms: BTreeMap<usize, u64>,
    choices: BTreeMap<u64, u64>,
    waiting: BTreeMap<u64, u64>,
    next_request_ms: f64,
    down_until_ms: u64,
    paused_until_ms: u64,
    partitioned_until_ms: u64,
}

struct Simulation {
    scenario: Scenario,
    rng: fastrand::Rng,
    entries: Vec<Entry>,
    queue: BTreeMap<(u64, u64), (usize, usize, Message)>,
    arrivals: Vec<u64>,
    next_id: u64,
}

impl Simulation {
    fn new(scenario: Scenario) -> Simulation {
        let mut rng = fastrand::Rng::with_seed(scenario.seed);
        let entry = |_| Entry {
            boot_id: rng.u64(1..),
            holder: PermitHolder::new(),
            issuer: None,
            choice: 0,
            avoided: None,
            received_ms: (0..scenario.entries).map(|peer| (peer, 1)).collect(),
            choices: BTreeMap::new(),
            waiting: BTreeMap::new(),
            next_request_ms: rng.f64() * 100.0,
            down_until_ms: 0,
            paused_until_ms: 0,
            partitioned_until_ms: 0,
        };
        let entries = (0..scenario.entries).map(entry).collect();
        let queue = BTreeMap::new();
        Simulation {
            scenario,
            rng,
            entries,
            queue,
            arrivals: Vec::new(),
            next_id: 0,
        }
    }

    fn run(mut self) -> Vec<u64> {
        let fault_at_ms = 5_000;
        for now_ms in 1..LENGTH_MS {
            if now_ms == fault_at_ms {
                self.inject_fault(now_ms);
            }
            self.deliver(now_ms);
            for at in 0..self.entries.len() {
                let entry = &self.entries[at];
                let is_up = entry.down_until_ms <= now_ms
                    && entry.paused_until_ms <= now_ms;
                if is_up {
                    self.step(at, now_ms);
                }
            }
        }
        self.arrivals.sort_unstable();
        self.arrivals
    }

    /// Injects the fault at the entry that most entries ask.
    fn inject_fault(&mut self, now_ms: u64) {
        let mut votes: BTreeMap<u64, usize> = BTreeMap::new();
        for entry in &self.entries {
            *votes.entry(entry.choice).or_default() += 1;
        }
        let Some((boot_id, _)) = votes.into_iter().max_by_key(|v| v.1) else {
            return;
        };
        let is_chosen = |entry: &&mut Entry| entry.boot_id == boot_id;
        let entry =
            self.entries.iter_mut().find(is_chosen).expect("the issuer runs");
        match self.scenario.fault {
            Fault::None => {}
            Fault::Killed => entry.down_until_ms = u64::MAX,
            Fault::Restarted => {
                entry.down_until_ms = now_ms + 1_000;
                entry.boot_id = self.rng.u64(1..);
                entry.holder = PermitHolder::new();
                entry.issuer = None;
                entry.choices.clear();
                entry.waiting.clear();
                entry.received_ms.values_mut().for_each(|at| *at = 0);
            }
            Fault::PausedFor(ms) => entry.paused_until_ms = now_ms + ms,
            Fault::PartitionedFor(ms) => {
                entry.partitioned_until_ms = now_ms + ms
            }
        }
    }

    fn send(&mut self, from: usize, to: usize, message: Message, now_ms: u64) {
        let is_partitioned =
            |at: usize| self.entries[at].partitioned_until_ms > now_ms;
        let is_lost = from != to
            && (is_partitioned(from)
                || is_partitioned(to)
                || self.rng.f64() < self.scenario.loss);
        if is_lost {
            return;
        }
        self.next_id += 1;
        let delay_ms = if from == to { 0 } else { self.rng.u64(1..=4) };
        let key = (now_ms + delay_ms, self.next_id);
        self.queue.insert(key, (from, to, message.clone()));
        if from != to && self.rng.f64() < self.scenario.loss {
            let key = (now_ms + self.rng.u64(1..60), self.next_id + 1);
            self.next_id += 1;
            self.queue.insert(key, (from, to, message));
        }
    }

    fn deliver(&mut self, now_ms: u64) {
        while let Some(first) = self.queue.first_entry() {
            if first.key().0 > now_ms {
                return;
            }
            let ((_, id), (from, to, message)) = first.remove_entry();
            let entry = &self.entries[to];
            if entry.down_until_ms > now_ms {
                continue;
            }
            if entry.paused_until_ms > now_ms {
                let key = (entry.paused_until_ms, id);
                self.queue.insert(key, (from, to, message));
                continue;
            }
            self.handle(from, to, message, now_ms);
        }
    }

    fn handle(
        &mut self,
        from: usize,
        to: usize,
        message: Message,
        now_ms: u64,
    ) {
        let sender = self.entries[from].boot_id;
        let entries = self.entries.len() as u64;
        let entry = &mut self.entries[to];
        match message {
            Message::State { choice } => {
                entry.received_ms.insert(from, now_ms);
                entry.choices.insert(sender, choice);
            }
            Message::Grant(grant) if entry.choice == sender => {
                let pause_ms = (PAUSE_PER_ENTRY_MS * entries).min(500);
                entry.holder.apply_grant(sender, grant, pause_ms, now_ms);
            }
            Message::Grant(_) => {}
            Message::Ask(ask) => {
                let own = entry.boot_id;
                if entry.choice != own {
                    return;
                }
                if let Some(issuer) = &mut entry.issuer {
                    issuer.handle_request(sender, ask, now_ms);
                }
                self.issue(to, Some(from), now_ms);
            }
        }
    }

    fn live(&self, at: usize, now_ms: u64) -> Vec<u64> {
        let received = self.entries[at].received_ms.iter();
        let live = received.filter(|(peer, received_ms)| {
            **peer != at
                && **received_ms > 0
                && **received_ms + ABSENCE_TIMEOUT_MS > now_ms
        });
        live.map(|(peer, _)| self.entries[*peer].boot_id).collect()
    }

    fn known(&self, at: usize, now_ms: u64) -> usize {
        let received = self.entries[at].received_ms.iter();
        let known = received.filter(|(peer, received_ms)| {
            **peer != at && **received_ms + KNOWN_FOR_MS > now_ms
        });
        known.count()
    }

    fn issue(&mut self, at: usize, requester: Option<usize>, now_ms: u64) {
        let live = self.live(at, now_ms);
        let known_count = self.known(at, now_ms);
        let scenario = self.scenario;
        let entry = &mut self.entries[at];
        let own = entry.boot_id;
        let view = IssuerView {
            own,
            is_leaving: false,
            live: &live,
            known_count,
            choices: &entry.choices,
        };
        let share =
            if scenario.grants_whole_limit { 1.0 } else { view.share() };
        let rng = &mut self.rng;
        let issuer =
            entry.issuer.get_or_insert_with(|| PermitIssuer::new(now_ms, rng));
        issuer.refill(scenario.limit_per_s * share, now_ms);
        let granted_ids: BTreeSet<u64> =
            issuer.issue(now_ms).into_iter().collect();
        let grants: Vec<(usize, PermitGrant)> = (0..self.entries.len())
            .filter(|peer| {
                Some(*peer) == requester
                    || granted_ids.contains(&self.entries[*peer].boot_id)
            })
            .map(|peer| {
                let issuer = self.entries[at].issuer.as_ref();
                let issuer = issuer.expect("the issuer was just created");
                (peer, issuer.grant_for(self.entries[peer].boot_id))
            })
            .collect();
        for (peer, grant) in grants {
            self.send(at, peer, Message::Grant(grant), now_ms);
        }
    }

    fn step(&mut self, at: usize, now_ms: u64) {
        self.arrive(at, now_ms);
        self.check(at, now_ms);
        let phase = now_ms + at as u64 * 13;
        if phase.is_multiple_of(STATE_INTERVAL_MS) {
            let choice = self.entries[at].choice;
            for peer in 0..self.entries.len() {
                if peer != at {
                    self.send(at, peer, Message::State { choice }, now_ms);
                }
            }
        }
        if phase.is_multiple_of(TICK_MS) {
            self.choose(at, now_ms);
            if self.entries[at].choice == self.entries[at].boot_id {
                self.issue(at, None, now_ms);
            }
        }
        self.ask(at, now_ms);
    }

    fn choose(&mut self, at: usize, now_ms: u64) {
        let live = self.live(at, now_ms);
        let entry = &mut self.entries[at];
        if entry.holder.is_issuer_unresponsive(now_ms) {
            entry.avoided = Some((entry.choice, now_ms + AVOIDED_MS));
            entry.holder.reset_issuer();
        }
        let avoided = entry.avoided.filter(|(_, until_ms)| *until_ms > now_ms);
        let avoided: Vec<u64> = avoided.map(|a| a.0).into_iter().collect();
        let choices = &entry.choices;
        let own = entry.boot_id;
        let view = IssuerView {
            own,
            is_leaving: false,
            live: &live,
            known_count: 0,
            choices,
        };
        entry.choice = view.choose_issuer(ASSIGNMENT, &avoided);
    }

    fn ask(&mut self, at: usize, now_ms: u64) {
        let Some(ask) = self.entries[at].holder.next_request(now_ms) else {
            return;
        };
        let choice = self.entries[at].choice;
        let is_chosen = |entry: &Entry| entry.boot_id == choice;
        if let Some(to) = self.entries.iter().position(is_chosen) {
            self.send(at, to, Message::Ask(ask), now_ms);
        }
    }

    /// Adds random arrivals, at the same rate for each entry.
    fn arrive(&mut self, at: usize, now_ms: u64) {
        let rate_per_entry = self.scenario.demand_ratio
            * self.scenario.limit_per_s
            / self.scenario.entries as f64;
        while self.entries[at].next_request_ms <= now_ms as f64 {
            let pause_s = -(1.0 - self.rng.f64()).ln() / rate_per_entry;
            self.entries[at].next_request_ms += pause_s * 1e3;
            self.next_id += 1;
            self.entries[at].waiting.insert(self.next_id, now_ms);
        }
    }

    fn check(&mut self, at: usize, now_ms: u64) {
        let waits = self.scenario.waits;
        let entry = &mut self.entries[at];
        for (request, arrived_ms) in std::mem::take(&mut entry.waiting) {
            let age_ms = now_ms - arrived_ms;
            let interval_ms =
                if waits { WAITING_CHECK_MS } else { REROUTABLE_CHECK_MS };
            let is_check = age_ms.is_multiple_of(interval_ms);
            if is_check && entry.holder.try_take(request, now_ms) {
                self.arrivals.push(now_ms + self.rng.u64(1..=3));
                continue;
            }
            let demand =
                PermitDemand { request, is_waiting: waits, urgency: 1 };
            let keeps_waiting = match waits {
                true => {
                    if is_check {
                        entry.holder.add_demand(demand, now_ms);
                    }
                    age_ms < 1_000
                }
                false if age_ms == 0 => {
                    entry.holder.add_demand(demand, now_ms)
                }
                false => age_ms < 15 && !entry.holder.is_denied(request),
            };
            if keeps_waiting {
                entry.waiting.insert(request, arrived_ms);
            }
        }
    }
}

fn max_in_window(arrivals: &[u64]) -> usize {
    let counted: Vec<u64> = arrivals
        .iter()
        .copied()
        .filter(|at| *at >= FIRST_COUNTED_MS)
        .collect();
    let in_window = |at: usize| {
        let until_ms = counted[at] + WINDOW_MS;
        counted[at..].iter().take_while(|time| **time < until_ms).count()
    };
    (0..counted.len()).map(in_window).max().unwrap_or(0)
}

fn utilisation(scenario: Scenario, arrivals: &[u64]) -> f64 {
    let from_ms = 2_000;
    let counted = arrivals.iter().filter(|at| **at >= from_ms).count();
    let length_s = (LENGTH_MS - from_ms) as f64 / 1e3;
    counted as f64 / length_s / scenario.limit_per_s
}

#[rstest]
#[case::three_at_one(Scenario { limit_per_s: 1.0, ..BASE })]
#[case::three(BASE)]
#[case::three_at_fifty(Scenario { limit_per_s: 50.0, ..BASE })]
#[case::fourteen_at_one(Scenario { entries: 14, limit_per_s: 1.0, ..BASE })]
#[case::fourteen(Scenario { entries: 14, ..BASE })]
#[case::fourteen_at_fifty(Scenario { entries: 14, limit_per_s: 50.0, ..BASE })]
#[case::seventy_at_one(Scenario { entries: 70, limit_per_s: 1.0, ..BASE })]
#[case::seventy(Scenario { entries: 70, ..BASE })]
#[case::seventy_at_fifty(Scenario { entries: 70, limit_per_s: 50.0, ..BASE })]
fn entries_together_stay_within_a_limit_and_use_it(
    #[case] scenario: Scenario,
    #[values(false, true)] waits: bool,
    #[values(0.0, 0.05)] loss: f64,
) {
    let scenario = Scenario { waits, loss, ..scenario };
    let arrivals = Simulation::new(scenario).run();
    let max_count = max_in_window(&arrivals);
    let allowed = (4.0 * scenario.limit_per_s) as usize + 2;
    let utilisation = utilisation(scenario, &arrivals);
    let min_utilisation = if scenario.entries <= 3 { 0.85 } else { 0.7 };
    println!("max {max_count} of {allowed}, utilisation {utilisation:.3}");
    assert!(max_count <= allowed, "{max_count} in 4 s, over {allowed}");
    assert!(
        utilisation >= min_utilisation,
        "{utilisation:.3} of the limit used, under {min_utilisation}"
    );
}

fn allowed_under_faults(limit_per_s: f64) -> usize {
    (1.5 * 4.0 * limit_per_s) as usize + 5
}

fn fault() -> impl Strategy<Value = Fault> {
    prop_oneof![
        Just(Fault::Killed),
        Just(Fault::Restarted),
        (100_u64..9_000).prop_map(Fault::PausedFor),
        (100_u64..12_000).prop_map(Fault::PartitionedFor),
    ]
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(32))]

    #[test]
    fn a_fault_of_the_issuer_stays_within_the_limit(
        entries in prop::sample::select(vec![2_usize, 3, 5, 14]),
        limit_per_s in prop::sample::select(vec![1.0, 5.9, 50.0]),
        waits in any::<bool>(),
        loss in prop::sample::select(vec![0.0, 0.05, 0.2]),
        fault in fault(),
        seed in any::<u64>(),
    ) {
        let scenario =
            Scenario {
                entries, limit_per_s, waits, loss, fault, seed, ..BASE
            };
        let max_count = max_in_window(&Simulation::new(scenario).run());
        let allowed = allowed_under_faults(limit_per_s);
        prop_assert!(
            max_count <= allowed,
            "{} in 4 s, over {}", max_count, allowed
        );
    }
}

/// Checks that the simulation detects two issuers that each grant the whole
/// limit.
#[test]
fn granting_the_whole_limit_at_each_issuer_exceeds_it() {
    let scenario = Scenario {
        entries: 3,
        limit_per_s: 50.0,
        demand_ratio: 6.0,
        fault: Fault::PartitionedFor(12_000),
        grants_whole_limit: true,
        ..BASE
    };
    let max_count = max_in_window(&Simulation::new(scenario).run());
    assert!(
        max_count > allowed_under_faults(scenario.limit_per_s),
        "{max_count} in 4 s"
    );
}

/// The limit stays in use, except the share of a lost issuer.
#[rstest]
#[case::three(Scenario { fault: Fault::Killed, ..BASE })]
#[case::fourteen(Scenario { entries: 14, fault: Fault::Killed, ..BASE })]
#[case::paused(Scenario { fault: Fault::PausedFor(12_000), ..BASE })]
fn a_lost_issuer_is_replaced(#[case] scenario: Scenario) {
    let arrivals = Simulation::new(scenario).run();
    let (from_ms, until_ms) = (7_000, 16_000);
    let counted =
        arrivals.iter().filter(|at| (from_ms..until_ms).contains(*at));
    let per_s = counted.count() as f64 / ((until_ms - from_ms) as f64 / 1e3);
    let left = 1.0 - 1.0 / scenario.entries as f64;
    let utilisation = per_s / scenario.limit_per_s;
    assert!(utilisation >= 0.75 * left, "{utilisation:.3} of the limit used");
}
