//! A limit that all entries keep to together, on a virtual clock.
//!
//! Entries get requests at random, tell each other of themselves, ask one of
//! them for permits, and send what has one. Messages take some ms and are
//! lost, and entries are killed, frozen, started or cut off.

use std::collections::{BTreeMap, BTreeSet};

use chestnutreach_membership::issuer::IssuerView;
use chestnutreach_routing::{
    PermitDemand, PermitGrant, PermitHolder, PermitIssuer, PermitRequest,
};
use proptest::prelude::*;
use rstest::rstest;

const SPAN_MS: u64 = 4_000;
/// Time from the first answer that names the limit from which requests count.
const COUNTED_FROM_MS: u64 = 500;
const LENGTH_MS: u64 = 20_000;
const TICK_MS: u64 = 20;
const TELL_EVERY_MS: u64 = 200;
const ABSENT_MS: u64 = 900;
const KNOWN_FOR_MS: u64 = 30_000;
const AVOIDED_MS: u64 = 1_000;
const LOOK_EVERY_MS: u64 = 15;
const PASSING_LOOK_MS: u64 = 3;
/// Pause after a denial, for each entry.
const PAUSE_MS: u64 = 15;
const DUTY: u64 = 77;

/// What happens to the entry that issues.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Fault {
    None,
    Killed,
    /// Killed, and started again a second later.
    Restarted,
    FrozenFor(u64),
    /// From all others, for a time; it still reaches the server.
    CutFor(u64),
}

#[derive(Clone, Copy, Debug)]
struct Play {
    entries: usize,
    limit_per_s: f64,
    /// Requests that would be sent, over the limit.
    asked: f64,
    /// Whether requests wait for a permit, rather than go elsewhere.
    waits: bool,
    loss: f64,
    fault: Fault,
    /// Whether the issuer's part is always the whole: what the test catches.
    is_part_whole: bool,
    seed: u64,
}

const BASE: Play = Play {
    entries: 3,
    limit_per_s: 5.9,
    asked: 3.0,
    waits: false,
    loss: 0.0,
    fault: Fault::None,
    is_part_whole: false,
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
    stock: PermitHolder,
    issuer: Option<PermitIssuer>,
    choice: u64,
    avoided: Option<(u64, u64)>,
    heard_ms: BTreeMap<usize, u64>,
    choices: BTreeMap<u64, u64>,
    waiting: BTreeMap<u64, u64>,
    next_request_ms: f64,
    down_until_ms: u64,
    frozen_until_ms: u64,
    cut_until_ms: u64,
}

struct World {
    play: Play,
    rng: fastrand::Rng,
    entries: Vec<Entry>,
    queue: BTreeMap<(u64, u64), (usize, usize, Message)>,
    arrivals: Vec<u64>,
    next_id: u64,
}

impl World {
    fn new(play: Play) -> World {
        let mut rng = fastrand::Rng::with_seed(play.seed);
        let entry = |_| Entry {
            boot_id: rng.u64(1..),
            stock: PermitHolder::new(),
            issuer: None,
            choice: 0,
            avoided: None,
            heard_ms: (0..play.entries).map(|peer| (peer, 1)).collect(),
            choices: BTreeMap::new(),
            waiting: BTreeMap::new(),
            next_request_ms: rng.f64() * 100.0,
            down_until_ms: 0,
            frozen_until_ms: 0,
            cut_until_ms: 0,
        };
        let entries = (0..play.entries).map(entry).collect();
        let queue = BTreeMap::new();
        World { play, rng, entries, queue, arrivals: Vec::new(), next_id: 0 }
    }

    fn run(mut self) -> Vec<u64> {
        let strike_ms = 5_000;
        for now_ms in 1..LENGTH_MS {
            if now_ms == strike_ms {
                self.strike(now_ms);
            }
            self.deliver(now_ms);
            for at in 0..self.entries.len() {
                let entry = &self.entries[at];
                let is_up = entry.down_until_ms <= now_ms
                    && entry.frozen_until_ms <= now_ms;
                if is_up {
                    self.step(at, now_ms);
                }
            }
        }
        self.arrivals.sort_unstable();
        self.arrivals
    }

    /// The fault meets the entry that most others ask.
    fn strike(&mut self, now_ms: u64) {
        let mut votes: BTreeMap<u64, usize> = BTreeMap::new();
        for entry in &self.entries {
            *votes.entry(entry.choice).or_default() += 1;
        }
        let Some((boot_id, _)) = votes.into_iter().max_by_key(|v| v.1) else {
            return;
        };
        let is_it = |entry: &&mut Entry| entry.boot_id == boot_id;
        let entry = self.entries.iter_mut().find(is_it).expect("it runs");
        match self.play.fault {
            Fault::None => {}
            Fault::Killed => entry.down_until_ms = u64::MAX,
            Fault::Restarted => {
                entry.down_until_ms = now_ms + 1_000;
                entry.boot_id = self.rng.u64(1..);
                entry.stock = PermitHolder::new();
                entry.issuer = None;
                entry.choices.clear();
                entry.waiting.clear();
                entry.heard_ms.values_mut().for_each(|at| *at = 0);
            }
            Fault::FrozenFor(ms) => entry.frozen_until_ms = now_ms + ms,
            Fault::CutFor(ms) => entry.cut_until_ms = now_ms + ms,
        }
    }

    fn send(&mut self, from: usize, to: usize, message: Message, now_ms: u64) {
        let is_cut = |at: usize| self.entries[at].cut_until_ms > now_ms;
        let is_lost = from != to
            && (is_cut(from) || is_cut(to) || self.rng.f64() < self.play.loss);
        if is_lost {
            return;
        }
        self.next_id += 1;
        let delay_ms = if from == to { 0 } else { self.rng.u64(1..=4) };
        let key = (now_ms + delay_ms, self.next_id);
        self.queue.insert(key, (from, to, message.clone()));
        if from != to && self.rng.f64() < self.play.loss {
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
            if entry.frozen_until_ms > now_ms {
                let key = (entry.frozen_until_ms, id);
                self.queue.insert(key, (from, to, message));
                continue;
            }
            self.take(from, to, message, now_ms);
        }
    }

    fn take(&mut self, from: usize, to: usize, message: Message, now_ms: u64) {
        let sender = self.entries[from].boot_id;
        let entries = self.entries.len() as u64;
        let entry = &mut self.entries[to];
        match message {
            Message::State { choice } => {
                entry.heard_ms.insert(from, now_ms);
                entry.choices.insert(sender, choice);
            }
            Message::Grant(grant) if entry.choice == sender => {
                let pause_ms = (PAUSE_MS * entries).min(500);
                entry.stock.apply_grant(sender, grant, pause_ms, now_ms);
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
        let heard = self.entries[at].heard_ms.iter();
        let live = heard.filter(|(peer, heard_ms)| {
            **peer != at && **heard_ms > 0 && **heard_ms + ABSENT_MS > now_ms
        });
        live.map(|(peer, _)| self.entries[*peer].boot_id).collect()
    }

    fn known(&self, at: usize, now_ms: u64) -> usize {
        let heard = self.entries[at].heard_ms.iter();
        let known = heard.filter(|(peer, heard_ms)| {
            **peer != at && **heard_ms + KNOWN_FOR_MS > now_ms
        });
        known.count()
    }

    fn issue(&mut self, at: usize, asker: Option<usize>, now_ms: u64) {
        let live = self.live(at, now_ms);
        let known_count = self.known(at, now_ms);
        let play = self.play;
        let entry = &mut self.entries[at];
        let own = entry.boot_id;
        let view = IssuerView {
            own,
            is_leaving: false,
            live: &live,
            known_count,
            choices: &entry.choices,
        };
        let part = if play.is_part_whole { 1.0 } else { view.share() };
        let rng = &mut self.rng;
        let issuer =
            entry.issuer.get_or_insert_with(|| PermitIssuer::new(now_ms, rng));
        issuer.refill(play.limit_per_s * part, now_ms);
        let served: BTreeSet<u64> = issuer.issue(now_ms).into_iter().collect();
        let grants: Vec<(usize, PermitGrant)> = (0..self.entries.len())
            .filter(|peer| {
                Some(*peer) == asker
                    || served.contains(&self.entries[*peer].boot_id)
            })
            .map(|peer| {
                let issuer = self.entries[at].issuer.as_ref();
                let issuer = issuer.expect("it was just there");
                (peer, issuer.grant_for(self.entries[peer].boot_id))
            })
            .collect();
        for (peer, grant) in grants {
            self.send(at, peer, Message::Grant(grant), now_ms);
        }
    }

    fn step(&mut self, at: usize, now_ms: u64) {
        self.arrive(at, now_ms);
        self.look(at, now_ms);
        let phase = now_ms + at as u64 * 13;
        if phase.is_multiple_of(TELL_EVERY_MS) {
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
        if entry.stock.is_issuer_unresponsive(now_ms) {
            entry.avoided = Some((entry.choice, now_ms + AVOIDED_MS));
            entry.stock.reset_issuer();
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
        entry.choice = view.choose_issuer(DUTY, &avoided);
    }

    fn ask(&mut self, at: usize, now_ms: u64) {
        let Some(ask) = self.entries[at].stock.next_request(now_ms) else {
            return;
        };
        let choice = self.entries[at].choice;
        let is_it = |entry: &Entry| entry.boot_id == choice;
        if let Some(to) = self.entries.iter().position(is_it) {
            self.send(at, to, Message::Ask(ask), now_ms);
        }
    }

    /// Requests come at random, at each entry as often.
    fn arrive(&mut self, at: usize, now_ms: u64) {
        let each =
            self.play.asked * self.play.limit_per_s / self.play.entries as f64;
        while self.entries[at].next_request_ms <= now_ms as f64 {
            let pause_s = -(1.0 - self.rng.f64()).ln() / each;
            self.entries[at].next_request_ms += pause_s * 1e3;
            self.next_id += 1;
            self.entries[at].waiting.insert(self.next_id, now_ms);
        }
    }

    fn look(&mut self, at: usize, now_ms: u64) {
        let waits = self.play.waits;
        let entry = &mut self.entries[at];
        for (request, came_ms) in std::mem::take(&mut entry.waiting) {
            let age_ms = now_ms - came_ms;
            let every_ms = if waits { LOOK_EVERY_MS } else { PASSING_LOOK_MS };
            let is_look = age_ms.is_multiple_of(every_ms);
            if is_look && entry.stock.try_take(request, now_ms) {
                self.arrivals.push(now_ms + self.rng.u64(1..=3));
                continue;
            }
            let want = PermitDemand { request, is_waiting: waits, urgency: 1 };
            let stays = match waits {
                true => {
                    if is_look {
                        entry.stock.add_demand(want, now_ms);
                    }
                    age_ms < 1_000
                }
                false if age_ms == 0 => entry.stock.add_demand(want, now_ms),
                false => age_ms < 15 && !entry.stock.is_denied(request),
            };
            if stays {
                entry.waiting.insert(request, came_ms);
            }
        }
    }
}

fn most_in_span(arrivals: &[u64]) -> usize {
    let counted: Vec<u64> =
        arrivals.iter().copied().filter(|at| *at >= COUNTED_FROM_MS).collect();
    let in_span = |at: usize| {
        let until_ms = counted[at] + SPAN_MS;
        counted[at..].iter().take_while(|time| **time < until_ms).count()
    };
    (0..counted.len()).map(in_span).max().unwrap_or(0)
}

fn use_of_limit(play: Play, arrivals: &[u64]) -> f64 {
    let from_ms = 2_000;
    let counted = arrivals.iter().filter(|at| **at >= from_ms).count();
    let length_s = (LENGTH_MS - from_ms) as f64 / 1e3;
    counted as f64 / length_s / play.limit_per_s
}

#[rstest]
#[case::three_at_one(Play { limit_per_s: 1.0, ..BASE })]
#[case::three(BASE)]
#[case::three_at_fifty(Play { limit_per_s: 50.0, ..BASE })]
#[case::fourteen_at_one(Play { entries: 14, limit_per_s: 1.0, ..BASE })]
#[case::fourteen(Play { entries: 14, ..BASE })]
#[case::fourteen_at_fifty(Play { entries: 14, limit_per_s: 50.0, ..BASE })]
#[case::seventy_at_one(Play { entries: 70, limit_per_s: 1.0, ..BASE })]
#[case::seventy(Play { entries: 70, ..BASE })]
#[case::seventy_at_fifty(Play { entries: 70, limit_per_s: 50.0, ..BASE })]
fn entries_keep_to_a_limit_together_and_use_it(
    #[case] play: Play,
    #[values(false, true)] waits: bool,
    #[values(0.0, 0.05)] loss: f64,
) {
    let play = Play { waits, loss, ..play };
    let arrivals = World::new(play).run();
    let most = most_in_span(&arrivals);
    let allowed = (4.0 * play.limit_per_s) as usize + 2;
    let used = use_of_limit(play, &arrivals);
    let least = if play.entries <= 3 { 0.85 } else { 0.7 };
    println!("most {most} of {allowed}, used {used:.3}");
    assert!(most <= allowed, "{most} in 4 s, over {allowed}");
    assert!(used >= least, "{used:.3} of the limit used, under {least}");
}

fn allowed_by_rule(limit_per_s: f64) -> usize {
    (1.5 * 4.0 * limit_per_s) as usize + 5
}

fn fault() -> impl Strategy<Value = Fault> {
    prop_oneof![
        Just(Fault::Killed),
        Just(Fault::Restarted),
        (100_u64..9_000).prop_map(Fault::FrozenFor),
        (100_u64..12_000).prop_map(Fault::CutFor),
    ]
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(32))]

    #[test]
    fn no_fault_of_the_issuer_breaks_the_rule(
        entries in prop::sample::select(vec![2_usize, 3, 5, 14]),
        limit_per_s in prop::sample::select(vec![1.0, 5.9, 50.0]),
        waits in any::<bool>(),
        loss in prop::sample::select(vec![0.0, 0.05, 0.2]),
        fault in fault(),
        seed in any::<u64>(),
    ) {
        let play =
            Play { entries, limit_per_s, waits, loss, fault, seed, ..BASE };
        let most = most_in_span(&World::new(play).run());
        let allowed = allowed_by_rule(limit_per_s);
        prop_assert!(most <= allowed, "{} in 4 s, over {}", most, allowed);
    }
}

/// Two issuers that each grant the whole limit are caught.
#[test]
fn a_whole_limit_for_each_issuer_breaks_the_rule() {
    let play = Play {
        entries: 3,
        limit_per_s: 50.0,
        asked: 6.0,
        fault: Fault::CutFor(12_000),
        is_part_whole: true,
        ..BASE
    };
    let most = most_in_span(&World::new(play).run());
    assert!(most > allowed_by_rule(play.limit_per_s), "{most} in 4 s");
}

/// Use goes on when the issuer is lost, but for its part.
#[rstest]
#[case::three(Play { fault: Fault::Killed, ..BASE })]
#[case::fourteen(Play { entries: 14, fault: Fault::Killed, ..BASE })]
#[case::frozen(Play { fault: Fault::FrozenFor(12_000), ..BASE })]
fn a_lost_issuer_is_replaced(#[case] play: Play) {
    let arrivals = World::new(play).run();
    let (from_ms, until_ms) = (7_000, 16_000);
    let counted =
        arrivals.iter().filter(|at| (from_ms..until_ms).contains(*at));
    let per_s = counted.count() as f64 / ((until_ms - from_ms) as f64 / 1e3);
    let left = 1.0 - 1.0 / play.entries as f64;
    let used = per_s / play.limit_per_s;
    assert!(used >= 0.75 * left, "{used:.3} of the limit used");
}
