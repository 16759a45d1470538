//! Admission of streams by the capacity of all engines and the demand at all
//! entries.
//!
//! [`CapacityShares`] decides; this module keeps the decision for a short time,
//! since it takes a pass over all engines.
//!
//! | module | contents |
//! |---|---|
//! | `inputs` | what the entry knows of capacity and demand |
//! | `report` | the shares in force, in logs and for operators |

use std::{
    collections::BTreeMap,
    hash::{DefaultHasher, Hash as _, Hasher as _},
    sync::Arc,
};

use chestnutreach_routing::{
    Admitter, CallerAges, CapacityShares, DemandClass, DemandMeter,
    DemandRates, LATE_CLASS, ReturnTimes,
};
use chestnutreach_site::Model;

use crate::{by_name::ByName, clock::now_ms, core::Core};

mod inputs;
mod report;

pub(crate) use report::class_name;

/// Time for which shares are kept.
const SHARES_INTERVAL_MS: u64 = 40;
/// Interval between log lines about the shares of a service.
const LOG_INTERVAL_MS: u64 = 1_000;

/// Short hash of an account's name, the same at all entries.
pub(crate) fn account_hash(name: &str) -> u32 {
    let mut hasher = DefaultHasher::new();
    name.hash(&mut hasher);
    hasher.finish() as u32
}

/// A stream that asks for admission.
#[derive(Clone, Copy, Debug)]
pub(crate) struct StreamDemand {
    pub(crate) class: DemandClass,
    /// Short hash of the account's name.
    pub(crate) account: u32,
    pub(crate) tokens: u64,
}

/// Why a stream was refused.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Refusal {
    /// Share of such streams that are admitted.
    pub(crate) share: f64,
    /// Fraction of the capacity in use.
    pub(crate) fill: f64,
    /// Most tokens per second that an account gets, if accounts are limited.
    pub(crate) account_limit: Option<f64>,
    /// Age of the shares, in milliseconds.
    pub(crate) age_ms: u64,
}

/// The shares in force for a service, with the demand behind them.
#[derive(Clone, Debug, Default)]
struct InForce {
    shares: CapacityShares,
    demand: DemandRates,
    capacity_tokens: f64,
    at_ms: u64,
}

/// State of a service.
#[derive(Debug, Default)]
struct Control {
    meter: DemandMeter,
    /// Callers by the target and timeout of their route.
    ages: BTreeMap<(u64, u64), CallerAges>,
    in_force: Option<Arc<InForce>>,
    admitters: BTreeMap<DemandClass, Admitter>,
    returns: ReturnTimes,
    /// Tokens of the running streams of this entry.
    running_tokens: u64,
    /// When the shares were last logged.
    logged_ms: u64,
    /// Since when some class is short.
    short_since_ms: Option<u64>,
}

impl Control {
    /// Whether shares below 1 are to be logged now.
    fn is_log_due(&mut self, now_ms: u64) -> bool {
        let in_force = self.in_force.as_ref();
        let is_due = in_force.is_some_and(|f| f.shares.is_any_short())
            && now_ms.saturating_sub(self.logged_ms) >= LOG_INTERVAL_MS;
        if is_due {
            self.logged_ms = now_ms;
        }
        is_due
    }
}

/// The capacity of a running stream, which counts until this value is dropped.
#[derive(Debug)]
pub(crate) struct StreamUse {
    control: Arc<CapacityControl>,
    service: String,
    tokens: u64,
    began_ms: u64,
}

impl StreamUse {
    /// Records that a stream found capacity, and whether for the first time.
    pub(crate) fn begin(
        control: &Arc<CapacityControl>,
        service: &str,
        stream: StreamDemand,
        is_first: bool,
    ) -> StreamUse {
        control.begin(service, stream, is_first);
        StreamUse {
            control: control.clone(),
            service: service.to_owned(),
            tokens: stream.tokens,
            began_ms: now_ms(),
        }
    }
}

impl Drop for StreamUse {
    fn drop(&mut self) {
        let held_ms = now_ms().saturating_sub(self.began_ms);
        self.control.end(&self.service, self.tokens, held_ms);
    }
}

/// Admission of the streams of all services.
#[derive(Debug, Default)]
pub(crate) struct CapacityControl {
    by_service: ByName<Control>,
}

impl CapacityControl {
    /// The class of a stream that is of `class` if its caller, which still
    /// waits for `remaining_ms`, has not asked before.
    pub(crate) fn class(
        &self,
        service: &str,
        class: DemandClass,
        remaining_ms: u64,
        (target_ms, timeout_ms): (u64, u64),
    ) -> DemandClass {
        let is_late = self.by_service.update(service, |control| {
            let ages = control.ages.entry((target_ms, timeout_ms));
            ages.or_default().record(remaining_ms, target_ms)
        });
        if is_late { LATE_CLASS } else { class }
    }

    pub(crate) fn record_asked(&self, service: &str, stream: StreamDemand) {
        let StreamDemand { class, account, tokens } = stream;
        self.by_service.update(service, |control| {
            control.meter.record_asked(class, account, tokens, now_ms());
        });
    }

    fn begin(&self, service: &str, stream: StreamDemand, is_first: bool) {
        let StreamDemand { class, tokens, .. } = stream;
        self.by_service.update(service, |control| {
            control.running_tokens += tokens;
            if is_first {
                control.meter.record_started(class, tokens, now_ms());
            }
        });
    }

    fn end(&self, service: &str, tokens: u64, held_ms: u64) {
        self.by_service.update(service, |control| {
            control.running_tokens =
                control.running_tokens.saturating_sub(tokens);
            control.meter.record_ended(tokens, held_ms, now_ms());
        });
    }

    /// What callers of this entry ask for, by service; accounts only while
    /// some class is short, since nobody needs them otherwise.
    pub(crate) fn demand(&self) -> Vec<(String, DemandRates)> {
        self.by_service.map_each(|control| {
            let mut rates = control.meter.rates(now_ms());
            let in_force = control.in_force.as_ref();
            if !in_force.is_some_and(|f| f.shares.is_any_short()) {
                rates.accounts.clear();
            }
            rates
        })
    }

    /// Whether requests of a class compete for too little capacity now.
    pub(crate) fn is_short(&self, service: &str, class: DemandClass) -> bool {
        let is_short = |control: &Control| {
            let in_force = control.in_force.as_ref();
            in_force.is_some_and(|f| f.shares.is_short(class))
        };
        self.by_service.read(service, is_short).unwrap_or(false)
    }

    /// Whether shares decide about this service's streams.
    pub(crate) fn is_active(&self, service: &str) -> bool {
        let is_active = |control: &Control| {
            let in_force = control.in_force.as_ref();
            in_force.is_some_and(|f| f.shares.is_active())
        };
        self.by_service.read(service, is_active).unwrap_or(false)
    }

    /// Admits a stream, or says why not.
    pub(crate) fn try_admit(
        &self,
        core: &Core,
        service: &str,
        model: &Model,
        stream: StreamDemand,
    ) -> Result<(), Refusal> {
        let in_force = self.in_force(core, service, model);
        let share = in_force.shares.share(stream.class, stream.account);
        let is_admitted = self.by_service.update(service, |control| {
            let admitter = control.admitters.entry(stream.class);
            let new = || Admitter::new(fastrand::f64());
            admitter.or_insert_with(new).admit(share)
        });
        if is_admitted {
            return Ok(());
        }
        core.metrics.service(service).shares_refused.inc();
        Err(Refusal {
            share,
            fill: in_force.shares.fill(),
            account_limit: in_force.shares.account_limit(stream.class),
            age_ms: now_ms().saturating_sub(in_force.at_ms),
        })
    }

    /// Time after which a refused caller is to return, in milliseconds.
    pub(crate) fn return_after_ms(
        &self,
        service: &str,
        tokens: u64,
        remaining_ms: u64,
    ) -> u64 {
        let now_ms = now_ms();
        self.by_service.update(service, |control| {
            let own = control.meter.rates(now_ms).total();
            let spare_per_s = control
                .in_force
                .as_ref()
                .map_or(0.0, |in_force| spare_per_s(in_force, own.asked));
            control.returns.promise(
                tokens,
                remaining_ms,
                spare_per_s,
                now_ms,
                &mut fastrand::Rng::new(),
            )
        })
    }

    fn in_force(
        &self,
        core: &Core,
        service: &str,
        model: &Model,
    ) -> Arc<InForce> {
        let now_ms = now_ms();
        let is_fresh = |in_force: &Arc<InForce>| {
            now_ms.saturating_sub(in_force.at_ms) < SHARES_INTERVAL_MS
        };
        let kept = self.by_service.read(service, |c| c.in_force.clone());
        if let Some(kept) = kept.flatten().filter(is_fresh) {
            return kept;
        }
        let (own, running_tokens) =
            self.by_service.update(service, |control| {
                (control.meter.rates(now_ms), control.running_tokens)
            });
        let (fleet, demand) =
            inputs::load_seen(core, service, model, own, running_tokens);
        let in_force = Arc::new(InForce {
            shares: CapacityShares::new(&fleet, &demand),
            demand,
            capacity_tokens: fleet.capacity_tokens,
            at_ms: now_ms,
        });
        let is_log_due = self.by_service.update(service, |control| {
            control.in_force = Some(in_force.clone());
            control.short_since_ms = match in_force.shares.is_any_short() {
                true => control.short_since_ms.or(Some(now_ms)),
                false => None,
            };
            control.is_log_due(now_ms)
        });
        let metrics = core.metrics.service(service);
        let permille = (in_force.shares.fill() * 1e3) as i64;
        metrics.capacity_fill_permille.set(permille);
        if is_log_due {
            report::log_shares(core, service, &in_force);
        }
        in_force
    }
}

/// This entry's part of the capacity that returning callers may use, in tokens
/// per second.
fn spare_per_s(in_force: &InForce, own_asked: f64) -> f64 {
    let total = in_force.demand.total();
    if total.asked <= 0.0 || in_force.shares.is_short(LATE_CLASS) {
        return 0.0;
    }
    let free_tokens =
        (1.0 - in_force.shares.fill()).max(0.0) * in_force.capacity_tokens;
    free_tokens * (own_asked / total.asked).min(1.0)
}
