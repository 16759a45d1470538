//! Grants permits at the rate of a limit.

use std::collections::BTreeMap;

use super::{PermitRequest, REROUTABLE_WAIT_MS};

/// Share of the limit that is granted, because permits granted before a span
/// are used within it.
const GRANTED_SHARE: f64 = 0.95;
/// Permits that may be outstanding or available at a time, in addition to
/// those granted during [`ROUND_TRIP_S`].
const BURST_PERMITS: f64 = 1.5;
/// Time until a holder has reported what it used: it reports within 100 ms,
/// and one message in twenty is lost.
const ROUND_TRIP_S: f64 = 0.15;
/// How long a report of a waiting request stays valid.
const REQUEST_VALID_MS: u64 = 300;
/// Silence of a holder after which its permits count as used. A live holder
/// returns unused permits long before.
const HOLDER_SILENCE_TIMEOUT_MS: u64 = 1_000;
/// Pause of the issuer after which its state counts as outdated.
const MAX_PAUSE_MS: u64 = 300;
/// Limit on holders of a series; each process restart adds a holder.
const MAX_HOLDERS: usize = 2_048;

/// Grants permits for one server.
#[derive(Clone, Debug)]
pub struct PermitIssuer {
    /// The last series that was begun.
    series: u32,
    available: f64,
    refilled_ms: u64,
    holders: BTreeMap<u64, Holder>,
    /// Virtual time of the holder that was granted the last permit.
    virtual_time: f64,
}

#[derive(Clone, Copy, Debug, Default)]
struct Holder {
    /// Series of the holder's totals.
    series: u32,
    /// Series that the holder reported when the current one began.
    previous_series: u32,
    request: PermitRequest,
    received_ms: u64,
    granted: u64,
    /// Granted permits that are no longer outstanding.
    settled: u64,
    /// Granted permits that were returned unused.
    returned: u64,
    /// The holder with the lowest virtual time goes next; grows more slowly
    /// the more permits the holder wants.
    virtual_time: f64,
}

/// What the issuer sends to a holder.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct PermitGrant {
    /// Send time of the last report that the issuer received.
    pub answered_ms: u64,
    /// Series of the total.
    pub series: u32,
    /// Total of permits granted.
    pub granted: u64,
}

impl Holder {
    fn outstanding(&self) -> u64 {
        self.granted - self.settled
    }

    /// Applies the holder's totals and returns the number of permits returned.
    fn settle(&mut self, request: &PermitRequest) -> u64 {
        let reported =
            request.used.saturating_add(request.returned).min(self.granted);
        let newly_settled = reported.saturating_sub(self.settled);
        let returned =
            request.returned.saturating_sub(self.returned).min(newly_settled);
        self.settled += newly_settled;
        self.returned = self.returned.max(request.returned);
        returned
    }

    /// Counts all outstanding permits as used. The next report begins a
    /// series, which voids a grant that the holder has not received yet.
    fn expire_outstanding(&mut self) {
        if self.outstanding() > 0 {
            let Holder { request, received_ms, virtual_time, .. } = *self;
            *self = Holder {
                request,
                received_ms,
                virtual_time,
                ..Holder::default()
            };
        }
    }

    fn needs_permit(&self, now_ms: u64) -> bool {
        let valid_ms = match self.request.is_waiting {
            true => REQUEST_VALID_MS,
            false => REROUTABLE_WAIT_MS,
        };
        let is_fresh = now_ms.saturating_sub(self.received_ms) <= valid_ms;
        is_fresh && u64::from(self.request.wanted) > self.outstanding()
    }

    /// Sort key: waiting requests before those that another server could take,
    /// then the most urgent first.
    fn rank(&self) -> (bool, u8) {
        match self.request.is_waiting {
            true => (false, self.request.urgency),
            false => (true, 0),
        }
    }
}

impl PermitIssuer {
    /// Starts without permits, because another issuer may have granted
    /// permits until now.
    pub fn new(now_ms: u64, rng: &mut fastrand::Rng) -> PermitIssuer {
        PermitIssuer {
            series: rng.u32(1..u32::MAX / 2),
            available: 0.0,
            refilled_ms: now_ms,
            holders: BTreeMap::new(),
            virtual_time: 0.0,
        }
    }

    /// Handles a report of a holder; a report older than the last one is
    /// ignored.
    pub fn handle_request(
        &mut self,
        holder: u64,
        request: PermitRequest,
        now_ms: u64,
    ) {
        if self.holders.len() >= MAX_HOLDERS {
            *self = PermitIssuer::new(now_ms, &mut fastrand::Rng::new());
        }
        let state = self.holders.entry(holder).or_default();
        if request.sent_ms < state.request.sent_ms {
            return;
        }
        let is_new_series = state.series == 0
            || ![state.series, state.previous_series]
                .contains(&request.series);
        if is_new_series {
            // Permits of the earlier series count as used.
            self.series += 1;
            *state = Holder {
                series: self.series,
                previous_series: request.series,
                virtual_time: self.virtual_time,
                ..Holder::default()
            };
        }
        state.request = request;
        state.received_ms = now_ms;
        state.virtual_time = state.virtual_time.max(self.virtual_time);
        if request.series == state.series {
            self.available += state.settle(&request) as f64;
        }
    }

    /// Adds permits at a rate, up to the burst.
    pub fn refill(&mut self, limit_per_s: f64, now_ms: u64) {
        for holder in self.holders.values_mut() {
            if now_ms.saturating_sub(holder.received_ms)
                > HOLDER_SILENCE_TIMEOUT_MS
            {
                holder.expire_outstanding();
            }
        }
        let outstanding: u64 =
            self.holders.values().map(Holder::outstanding).sum();
        let elapsed_ms = now_ms.saturating_sub(self.refilled_ms);
        self.refilled_ms = self.refilled_ms.max(now_ms);
        if elapsed_ms > MAX_PAUSE_MS {
            // Other issuers may have granted permits meanwhile.
            self.available = 0.0;
            return;
        }
        let rate = GRANTED_SHARE * limit_per_s;
        let refilled = self.available + rate * elapsed_ms as f64 / 1e3;
        let max_available =
            BURST_PERMITS + ROUND_TRIP_S * limit_per_s - outstanding as f64;
        self.available = refilled.min(max_available).max(0.0);
    }

    /// Grants the available permits and returns the holders that got some.
    pub fn issue(&mut self, now_ms: u64) -> Vec<u64> {
        let mut granted_holders = Vec::new();
        while self.available >= 1.0 {
            let candidates = self
                .holders
                .iter_mut()
                .filter(|(_, h)| h.needs_permit(now_ms));
            let next = candidates.min_by(|(_, a), (_, b)| {
                a.rank()
                    .cmp(&b.rank())
                    .then(a.virtual_time.total_cmp(&b.virtual_time))
            });
            let Some((id, holder)) = next else { break };
            self.available -= 1.0;
            self.virtual_time = holder.virtual_time;
            holder.granted += 1;
            holder.virtual_time += 1.0 / f64::from(holder.request.wanted);
            granted_holders.push(*id);
        }
        granted_holders.sort_unstable();
        granted_holders.dedup();
        granted_holders
    }

    /// The grant to send to a holder.
    pub fn grant_for(&self, holder: u64) -> PermitGrant {
        let holder = self.holders.get(&holder).copied().unwrap_or_default();
        PermitGrant {
            answered_ms: holder.request.sent_ms,
            series: holder.series,
            granted: holder.granted,
        }
    }

    /// Outstanding permits by holder.
    pub fn outstanding(&self) -> impl Iterator<Item = (u64, u64)> {
        let holders = self.holders.iter();
        holders.map(|(id, h)| (*id, h.outstanding())).filter(|h| h.1 > 0)
    }
}
