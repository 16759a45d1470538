//! The limit on retries while entries end, stand still, read late or do not
//! hear each other, in any order.

use std::{collections::VecDeque, net::SocketAddr};

use chestnutreach_membership::{
    roster::{ListedEntry, Roster},
    send_times::SendTimes,
};
use chestnutreach_routing::{
    RetryLimit, RetryReports, RetrySharing, RetryWindow, SentCounts,
};
use proptest::prelude::*;
use rstest::rstest;

const WINDOW_MS: u64 = 10_000;
const STEP_MS: u64 = 20;
/// Messages of each other entry that the socket of an entry holds.
const SOCKET_MESSAGES: usize = 10;
/// Time from the start of a process until it has a list of the others.
const DISCOVERY_MS: u64 = 200;
/// When requests begin to fail.
const FAILURES_FROM_MS: u64 = 15_000;
const PLAY_MS: u64 = 45_000;

/// A fleet and what its callers ask for.
#[derive(Clone, Copy, Debug)]
struct Fleet {
    entries: usize,
    free_retries: f64,
    requests_per_s: f64,
    /// Retries that each request asks for.
    wanted: f64,
    report_interval_ms: u64,
    report_delay_ms: u64,
}

const FLEET_OF_5: Fleet = Fleet {
    entries: 5,
    free_retries: 202.0,
    requests_per_s: 61.0,
    wanted: 3.0,
    report_interval_ms: 200,
    report_delay_ms: 700,
};
const FLEET_OF_23: Fleet = Fleet {
    entries: 23,
    free_retries: 230.0,
    requests_per_s: 248.0,
    wanted: 3.0,
    report_interval_ms: 400,
    report_delay_ms: 1_100,
};

const FLEET_OF_87: Fleet = Fleet {
    entries: 87,
    free_retries: 400.0,
    requests_per_s: 700.0,
    wanted: 3.0,
    report_interval_ms: 1_200,
    report_delay_ms: 2_700,
};
const FLEET_OF_437: Fleet = Fleet {
    entries: 437,
    free_retries: 2_000.0,
    requests_per_s: 1_000.0,
    wanted: 2.0,
    report_interval_ms: 6_000,
    report_delay_ms: 12_300,
};

impl Fleet {
    fn limit(&self) -> RetryLimit {
        RetryLimit {
            ratio: 0.2,
            free_retries: self.free_retries,
            window_ms: WINDOW_MS,
            report_delay_ms: self.report_delay_ms,
        }
    }
}

/// What happens to entries; an entry is its index.
#[derive(Clone, Debug)]
enum Trouble {
    /// These processes are killed, and start again after a time.
    Kill(Vec<usize>, u64),
    /// These processes stand still for a time.
    Pause(Vec<usize>, u64),
    /// These processes read what others send this much late.
    ReadLate(Vec<usize>, u64),
    /// Groups of this many entries hear nothing of each other for a time.
    Part(usize, u64),
}

struct Message {
    sent_ms: u64,
    from: usize,
    boot_id: u64,
    counts: SentCounts,
}

/// Difference between the clocks of a sender and of the receiver.
const SENDER_AHEAD_MS: u64 = 7_000_000;
/// Service of all requests.
const SERVICE: &str = "desk";

fn address(entry: usize) -> SocketAddr {
    ([10, 0, 0, 1], entry as u16).into()
}

/// A process of an entry, with what it knows of the others.
struct Process {
    boot_id: u64,
    started_ms: u64,
    window: RetryWindow,
    send_times: SendTimes,
    reports: RetryReports,
    roster: Roster,
    has_list: bool,
    has_predecessor: bool,
}

impl Process {
    fn new(boot_id: u64, is_first: bool, now_ms: u64) -> Process {
        Process {
            has_predecessor: !is_first,
            boot_id,
            started_ms: now_ms,
            window: RetryWindow::with_seed(boot_id),
            send_times: SendTimes::new(),
            reports: RetryReports::new(),
            roster: Roster::new(),
            has_list: false,
        }
    }

    fn read(&mut self, message: &Message, now_ms: u64) {
        let Message { boot_id, sent_ms, .. } = *message;
        if boot_id == self.boot_id {
            return self.send_times.record_own(sent_ms, now_ms);
        }
        let stated_ms = sent_ms + SENDER_AHEAD_MS;
        let sent_ms = self.send_times.sent_ms(boot_id, stated_ms, now_ms);
        self.roster.record_heard(address(message.from), sent_ms);
        self.reports.record(
            boot_id,
            sent_ms,
            [(SERVICE.to_owned(), message.counts)],
            WINDOW_MS,
            now_ms,
        );
    }

    fn list_others(&mut self, fleet: &Fleet, own: usize, now_ms: u64) {
        if self.has_list || now_ms < self.started_ms + DISCOVERY_MS {
            return;
        }
        self.has_list = true;
        let others = (0..fleet.entries).filter(|entry| *entry != own);
        let listed = others
            .map(|entry| ListedEntry { address: address(entry), age_ms: 0 });
        self.roster.apply_list(&listed.collect::<Vec<_>>(), 0, now_ms);
    }

    fn try_take(&mut self, fleet: &Fleet, own: usize, now_ms: u64) -> bool {
        self.list_others(fleet, own, now_ms);
        let limit = fleet.limit();
        let within_ms = limit.report_delay_ms;
        let reports =
            self.reports.of_service(SERVICE, &self.roster, within_ms, now_ms);
        let sharing = RetrySharing {
            entries: self.roster.entry_count(),
            peers: reports.as_deref(),
            process_age_ms: now_ms - self.started_ms,
            has_predecessor: self.has_predecessor,
        };
        self.window.try_take(&limit, &sharing, now_ms)
    }
}

/// An entry over all its processes.
struct Entry {
    /// The process, unless the entry is down.
    process: Option<Process>,
    inbox: VecDeque<Message>,
    down_until_ms: u64,
    paused_until_ms: u64,
    reads_late_ms: u64,
    wanted: f64,
}

struct Play {
    fleet: Fleet,
    entries: Vec<Entry>,
    next_boot_id: u64,
    groups: usize,
    parted_until_ms: u64,
    requests: Vec<u64>,
    retries: Vec<u64>,
    due_requests: f64,
    next_request: usize,
}

/// The window that comes closest to the limit.
#[derive(Clone, Copy, Debug, Default)]
struct Worst {
    retries: f64,
    limit: f64,
}

impl Worst {
    fn excess(&self) -> f64 {
        self.retries - self.limit
    }
}

impl Play {
    fn new(fleet: Fleet) -> Play {
        let entry = |_| Entry {
            process: None,
            inbox: VecDeque::new(),
            down_until_ms: 0,
            paused_until_ms: 0,
            reads_late_ms: 0,
            wanted: 0.0,
        };
        Play {
            fleet,
            entries: (0..fleet.entries).map(entry).collect(),
            next_boot_id: 1,
            groups: 1,
            parted_until_ms: 0,
            requests: Vec::new(),
            retries: Vec::new(),
            due_requests: 0.0,
            next_request: 0,
        }
    }

    /// Plays troubles at their times, in order.
    fn run(mut self, troubles: &[(u64, Trouble)]) -> Worst {
        let mut troubles = troubles.iter().peekable();
        for now_ms in (0..PLAY_MS).step_by(STEP_MS as usize) {
            while let Some((_, trouble)) = troubles.next_if(|t| t.0 <= now_ms)
            {
                self.apply(trouble, now_ms);
            }
            self.start_processes(now_ms);
            if now_ms.is_multiple_of(self.fleet.report_interval_ms) {
                self.report(now_ms);
            }
            self.read(now_ms);
            self.add_requests(now_ms);
            self.take_retries(now_ms);
        }
        self.worst()
    }

    fn apply(&mut self, trouble: &Trouble, now_ms: u64) {
        let count = self.fleet.entries;
        match trouble {
            Trouble::Kill(entries, for_ms) => {
                for index in entries {
                    let entry = &mut self.entries[index % count];
                    entry.process = None;
                    entry.inbox.clear();
                    entry.down_until_ms = now_ms.max(1) + for_ms;
                }
            }
            Trouble::Pause(entries, for_ms) => {
                for index in entries {
                    let entry = &mut self.entries[index % count];
                    entry.paused_until_ms = now_ms + for_ms;
                }
            }
            Trouble::ReadLate(entries, late_ms) => {
                for index in entries {
                    self.entries[index % count].reads_late_ms = *late_ms;
                }
            }
            Trouble::Part(groups, for_ms) => {
                self.groups = *groups;
                self.parted_until_ms = now_ms + for_ms;
            }
        }
    }

    fn start_processes(&mut self, now_ms: u64) {
        for entry in &mut self.entries {
            if entry.process.is_none() && entry.down_until_ms <= now_ms {
                let boot_id = self.next_boot_id;
                self.next_boot_id += 1;
                let is_first = entry.down_until_ms == 0;
                let process = Process::new(boot_id, is_first, now_ms);
                entry.process = Some(process);
            }
        }
    }

    fn do_hear(&self, one: usize, other: usize, now_ms: u64) -> bool {
        now_ms >= self.parted_until_ms
            || one % self.groups == other % self.groups
    }

    fn report(&mut self, now_ms: u64) {
        let limit = self.fleet.limit();
        for from in 0..self.entries.len() {
            let entry = &mut self.entries[from];
            let is_paused = entry.paused_until_ms > now_ms;
            let Some(process) = entry.process.as_mut() else { continue };
            if is_paused {
                continue;
            }
            let counts = process.window.counts(&limit, now_ms);
            let boot_id = process.boot_id;
            for to in 0..self.entries.len() {
                let is_heard = self.do_hear(from, to, now_ms);
                let most = SOCKET_MESSAGES * self.fleet.entries;
                let inbox = &mut self.entries[to].inbox;
                if is_heard && inbox.len() < most {
                    let message =
                        Message { sent_ms: now_ms, from, boot_id, counts };
                    inbox.push_back(message);
                }
            }
        }
    }

    fn read(&mut self, now_ms: u64) {
        for entry in &mut self.entries {
            let Some(process) = entry.process.as_mut() else {
                entry.inbox.clear();
                continue;
            };
            if entry.paused_until_ms > now_ms {
                continue;
            }
            while let Some(message) = entry.inbox.front()
                && message.sent_ms + entry.reads_late_ms <= now_ms
            {
                process.read(message, now_ms);
                entry.inbox.pop_front();
            }
        }
    }

    fn add_requests(&mut self, now_ms: u64) {
        self.due_requests += self.fleet.requests_per_s * STEP_MS as f64 / 1e3;
        let limit = self.fleet.limit();
        while self.due_requests >= 1.0 {
            self.due_requests -= 1.0;
            self.next_request = (self.next_request + 7) % self.entries.len();
            self.requests.push(now_ms);
            let entry = &mut self.entries[self.next_request];
            let Some(process) = entry.process.as_mut() else { continue };
            process.window.record_request(&limit, now_ms);
            if now_ms >= FAILURES_FROM_MS {
                entry.wanted += self.fleet.wanted;
            }
        }
    }

    fn take_retries(&mut self, now_ms: u64) {
        for (index, entry) in self.entries.iter_mut().enumerate() {
            let Some(process) = entry.process.as_mut() else {
                entry.wanted = 0.0;
                continue;
            };
            if entry.paused_until_ms > now_ms {
                continue;
            }
            while entry.wanted >= 1.0 {
                entry.wanted -= 1.0;
                if process.try_take(&self.fleet, index, now_ms) {
                    self.retries.push(now_ms);
                }
            }
        }
    }

    /// As the rule counts: the requests of the window, of the one before or of
    /// the one half a window before, whichever are most.
    fn worst(&self) -> Worst {
        let within = |times: &[u64], end_ms: u64| {
            let from = times.partition_point(|t| *t + WINDOW_MS <= end_ms);
            let until = times.partition_point(|t| *t <= end_ms);
            until.saturating_sub(from) as f64
        };
        let at = |end_ms: &u64| {
            let requests = [0, WINDOW_MS / 2, WINDOW_MS].map(|before_ms| {
                within(&self.requests, end_ms.saturating_sub(before_ms))
            });
            let most = requests.into_iter().fold(0.0, f64::max);
            Worst {
                retries: within(&self.retries, *end_ms),
                limit: self.fleet.free_retries + 0.2 * most,
            }
        };
        let windows = self.retries.iter().map(at);
        let worst = windows.max_by(|a, b| a.excess().total_cmp(&b.excess()));
        worst.unwrap_or_default()
    }
}

/// Trouble again and again from some time after failures began.
fn again(
    interval_ms: u64,
    trouble: impl Fn(usize) -> Trouble,
) -> Vec<(u64, Trouble)> {
    let times =
        (FAILURES_FROM_MS + 6_000..PLAY_MS).step_by(interval_ms as usize);
    times.enumerate().map(|(round, at)| (at, trouble(round))).collect()
}

/// All entries of any fleet.
fn all() -> Vec<usize> {
    (0..FLEET_OF_437.entries).collect()
}

#[rstest]
#[case::are_well(Vec::new())]
#[case::are_killed_together(again(1_500, |_| Trouble::Kill(all(), 0)))]
#[case::are_killed_together_at_longer_intervals(
    again(4_000, |_| Trouble::Kill(all(), 0))
)]
#[case::are_killed_once_soon_after_failures_began(
    vec![(FAILURES_FROM_MS + 1_500, Trouble::Kill(all(), 0))]
)]
#[case::are_killed_once_when_all_is_borrowed(
    vec![(FAILURES_FROM_MS + 3_000, Trouble::Kill(all(), 0))]
)]
#[case::are_killed_in_turn(again(300, |round| Trouble::Kill(vec![round], 0)))]
#[case::are_killed_in_turn_and_stay_down(
    again(1_300, |round| Trouble::Kill(vec![round], 1_000))
)]
#[case::stand_still_together(again(2_000, |_| Trouble::Pause(all(), 1_000)))]
#[case::stand_still_in_turn(
    again(700, |round| Trouble::Pause(vec![round, round + 1], 2_500))
)]
#[case::read_late(vec![(FAILURES_FROM_MS, Trouble::ReadLate(all(), 3_000))])]
#[case::part_and_meet(again(2_000, |_| Trouble::Part(2, 1_000)))]
fn retries_stay_within_the_limit_while_entries(
    #[case] troubles: Vec<(u64, Trouble)>,
    #[values(FLEET_OF_5, FLEET_OF_23, FLEET_OF_87)] fleet: Fleet,
) {
    let worst = Play::new(fleet).run(&troubles);
    println!("{} entries: {worst:?}", fleet.entries);
    assert!(worst.excess() <= 0.0, "{worst:?}");
}

#[rstest]
#[case::are_killed_together(again(4_000, |_| Trouble::Kill(all(), 0)))]
#[case::are_killed_in_turn(again(300, |round| Trouble::Kill(vec![round], 0)))]
fn retries_stay_within_the_limit_while_437_entries(
    #[case] troubles: Vec<(u64, Trouble)>,
) {
    let worst = Play::new(FLEET_OF_437).run(&troubles);
    println!("437 entries: {worst:?}");
    assert!(worst.excess() <= 0.0, "{worst:?}");
}

fn any_entries() -> impl Strategy<Value = Vec<usize>> {
    prop_oneof![
        Just((0..FLEET_OF_23.entries).collect()),
        prop::collection::vec(0_usize..23, 1..12),
        (0_usize..23).prop_map(|entry| vec![entry]),
    ]
}

fn any_trouble() -> impl Strategy<Value = Trouble> {
    prop_oneof![
        3 => (any_entries(), 0_u64..2_000)
            .prop_map(|(entries, ms)| Trouble::Kill(entries, ms)),
        2 => (any_entries(), 100_u64..6_000)
            .prop_map(|(entries, ms)| Trouble::Pause(entries, ms)),
        1 => (any_entries(), 0_u64..3_000)
            .prop_map(|(entries, ms)| Trouble::ReadLate(entries, ms)),
        1 => (2_usize..5, 100_u64..6_000)
            .prop_map(|(groups, ms)| Trouble::Part(groups, ms)),
    ]
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(120))]

    #[test]
    fn retries_stay_within_the_limit_in_any_course(
        troubles in prop::collection::vec(
            (FAILURES_FROM_MS..PLAY_MS, any_trouble()), 1..25,
        ),
        fleet in prop_oneof![Just(FLEET_OF_5), Just(FLEET_OF_23)],
    ) {
        let mut troubles = troubles;
        troubles.sort_by_key(|t| t.0);
        let worst = Play::new(fleet).run(&troubles);
        prop_assert!(worst.excess() <= 0.0, "{worst:?}");
    }
}
