//! Granting permits at the rate of a limit.

use std::collections::BTreeMap;

use super::{PermitRequest, REROUTABLE_WAIT_MS};

/// Share of the limit that is granted: what was granted before a span began
/// is sent within it.
const GRANTED_SHARE: f64 = 0.95;
/// Permits that may be out or at hand at once, besides what a round of
/// messages takes.
const BURST: f64 = 1.5;
/// Time of such a round, in seconds: a holder tells what it used within
/// 100 ms, and one message in twenty is lost.
const ROUND_S: f64 = 0.15;
/// How long an ask counts for a request that waits.
const ASK_HOLDS_MS: u64 = 300;
/// Silence after which what a holder has counts as used. It gives its permits
/// back long before.
const SILENT_MS: u64 = 1_000;
/// A pause of the issuer from which on what it knows is too old.
const STALE_MS: u64 = 300;
/// Holders of a series; processes that started anew count each time.
const MOST_HOLDERS: usize = 2_048;

/// Grants permits for one server.
#[derive(Clone, Debug)]
pub struct PermitIssuer {
    /// The last series that was begun.
    series: u32,
    available: f64,
    filled_ms: u64,
    holders: BTreeMap<u64, Holder>,
    /// Turn of the holder that was last granted one.
    turn: f64,
}

#[derive(Clone, Copy, Debug, Default)]
struct Holder {
    /// Series of its totals here.
    series: u32,
    /// Series of which it told when that one began.
    series_before: u32,
    ask: PermitRequest,
    asked_ms: u64,
    granted: u64,
    /// Of those, how many are no longer out.
    settled: u64,
    /// Of those, how many were given back.
    returned: u64,
    /// The lowest goes next; grows more slowly the more is wanted.
    turn: f64,
}

/// What a holder is told.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct PermitGrant {
    /// The last ask that was heard.
    pub answered_ms: u64,
    /// Series of which the total is.
    pub series: u32,
    /// Permits granted, in all.
    pub granted: u64,
}

impl Holder {
    fn out(&self) -> u64 {
        self.granted - self.settled
    }

    /// Takes its totals; how many it gave back.
    fn settle(&mut self, ask: &PermitRequest) -> u64 {
        let told = ask.used.saturating_add(ask.returned).min(self.granted);
        let newly = told.saturating_sub(self.settled);
        let returned = ask.returned.saturating_sub(self.returned).min(newly);
        self.settled += newly;
        self.returned = self.returned.max(ask.returned);
        returned
    }

    /// Counts all that is out as used; its next ask begins a series, so that
    /// a grant which it did not get yet is none any more.
    fn forget_out(&mut self) {
        if self.out() > 0 {
            let Holder { ask, asked_ms, turn, .. } = *self;
            *self = Holder { ask, asked_ms, turn, ..Holder::default() };
        }
    }

    fn wants(&self, now_ms: u64) -> bool {
        let holds_ms = match self.ask.is_waiting {
            true => ASK_HOLDS_MS,
            false => REROUTABLE_WAIT_MS,
        };
        let is_fresh = now_ms.saturating_sub(self.asked_ms) <= holds_ms;
        is_fresh && u64::from(self.ask.wanted) > self.out()
    }

    /// What waits goes before what has another server; the most urgent first.
    fn rank(&self) -> (bool, u8) {
        match self.ask.is_waiting {
            true => (false, self.ask.urgency),
            false => (true, 0),
        }
    }
}

impl PermitIssuer {
    /// Grants nothing before some time has passed: another one may have
    /// granted until now.
    pub fn new(now_ms: u64, rng: &mut fastrand::Rng) -> PermitIssuer {
        PermitIssuer {
            series: rng.u32(1..u32::MAX / 2),
            available: 0.0,
            filled_ms: now_ms,
            holders: BTreeMap::new(),
            turn: 0.0,
        }
    }

    /// Takes what a holder tells. What is older than what it told before
    /// changes nothing.
    pub fn handle_request(
        &mut self,
        holder: u64,
        ask: PermitRequest,
        now_ms: u64,
    ) {
        if self.holders.len() >= MOST_HOLDERS {
            *self = PermitIssuer::new(now_ms, &mut fastrand::Rng::new());
        }
        let known = self.holders.entry(holder).or_default();
        if ask.sent_ms < known.ask.sent_ms {
            return;
        }
        let is_other = known.series == 0
            || ![known.series, known.series_before].contains(&ask.series);
        if is_other {
            // What it had of the earlier series counts as used.
            self.series += 1;
            *known = Holder {
                series: self.series,
                series_before: ask.series,
                turn: self.turn,
                ..Holder::default()
            };
        }
        known.ask = ask;
        known.asked_ms = now_ms;
        known.turn = known.turn.max(self.turn);
        if ask.series == known.series {
            self.available += known.settle(&ask) as f64;
        }
    }

    /// Lets permits come at a rate, up to the burst.
    pub fn refill(&mut self, limit_per_s: f64, now_ms: u64) {
        for holder in self.holders.values_mut() {
            if now_ms.saturating_sub(holder.asked_ms) > SILENT_MS {
                holder.forget_out();
            }
        }
        let out: u64 = self.holders.values().map(Holder::out).sum();
        let elapsed_ms = now_ms.saturating_sub(self.filled_ms);
        self.filled_ms = self.filled_ms.max(now_ms);
        if elapsed_ms > STALE_MS {
            // Others may have granted meanwhile.
            self.available = 0.0;
            return;
        }
        let rate = GRANTED_SHARE * limit_per_s;
        let grown = self.available + rate * elapsed_ms as f64 / 1e3;
        let most = BURST + ROUND_S * limit_per_s - out as f64;
        self.available = grown.min(most).max(0.0);
    }

    /// Grants what there is; the holders that got some.
    pub fn issue(&mut self, now_ms: u64) -> Vec<u64> {
        let mut served = Vec::new();
        while self.available >= 1.0 {
            let wanting =
                self.holders.iter_mut().filter(|(_, h)| h.wants(now_ms));
            let first = wanting.min_by(|(_, a), (_, b)| {
                a.rank().cmp(&b.rank()).then(a.turn.total_cmp(&b.turn))
            });
            let Some((name, holder)) = first else { break };
            self.available -= 1.0;
            self.turn = holder.turn;
            holder.granted += 1;
            holder.turn += 1.0 / f64::from(holder.ask.wanted);
            served.push(*name);
        }
        served.sort_unstable();
        served.dedup();
        served
    }

    /// What a holder is told.
    pub fn grant_for(&self, holder: u64) -> PermitGrant {
        let holder = self.holders.get(&holder).copied().unwrap_or_default();
        PermitGrant {
            answered_ms: holder.ask.sent_ms,
            series: holder.series,
            granted: holder.granted,
        }
    }

    /// Permits that are out, by holder.
    pub fn outstanding(&self) -> impl Iterator<Item = (u64, u64)> {
        let holders = self.holders.iter();
        holders.map(|(name, h)| (*name, h.out())).filter(|h| h.1 > 0)
    }
}
