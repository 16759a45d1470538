//! What is measured on the way. Nothing counts before the warm-up is over.

use chestnutreach_routing::{BackendIndex, Fleet};
use hdrhistogram::Histogram;

use super::{World, newcomer};
use crate::{
    deployment::Deployment,
    events::RequestIndex,
    figures::{self, Figures, Outcomes},
    trade::Trade,
    workload,
};

const US_PER_HOUR: f64 = 3.6e9;
const US_PER_MS: u64 = 1_000;
const MS_PER_S: f64 = 1_000.0;
/// How long a new server is watched.
const NEWCOMER_US: u64 = 10_000_000;
/// Width in which callers that come back count as together.
const TOGETHER_US: u64 = 100_000;

/// Counters of a run.
#[derive(Debug)]
pub(super) struct Watch {
    outcomes: Outcomes,
    /// Time to the whole answer, by account.
    totals_ms: Vec<Histogram<u64>>,
    /// Tokens of answers in time, by account.
    tokens: Vec<u64>,
    prompt_tokens: u64,
    output_tokens: u64,
    /// Requests by trade: in time, and all.
    by_trade: [(u64, u64); Trade::ALL.len()],
    chains: u64,
    stages: u64,
    chain_places: u64,
    /// Requests that run, by data centre.
    running_by_place: Vec<u32>,
    running: u32,
    samples: u32,
    server_loss: f64,
    place_loss: f64,
    /// Time in iterations before the measured part, by server.
    busy_before_us: Vec<u64>,
    sent: Vec<u32>,
    newcomer_peak: u32,
    comebacks: Vec<u32>,
}

impl Watch {
    pub(super) fn new(deployment: &Deployment) -> Watch {
        let accounts = deployment.accounts.len();
        let servers = deployment.fleet.len();
        let histogram =
            || Histogram::new(3).expect("three digits are allowed");
        Watch {
            outcomes: Outcomes::default(),
            totals_ms: (0..accounts).map(|_| histogram()).collect(),
            tokens: vec![0; accounts],
            prompt_tokens: 0,
            output_tokens: 0,
            by_trade: Default::default(),
            chains: 0,
            stages: 0,
            chain_places: 0,
            running_by_place: vec![0; deployment.links.data_centre_count()],
            running: 0,
            samples: 0,
            server_loss: 0.0,
            place_loss: 0.0,
            busy_before_us: vec![0; servers],
            sent: vec![0; servers],
            newcomer_peak: 0,
            comebacks: Vec::new(),
        }
    }
}

impl World<'_> {
    fn is_measured(&self) -> bool {
        self.events.now_ms() >= self.case.warm_up_ms
    }

    fn measured_us(&self) -> u64 {
        let warm_up_us = self.case.warm_up_ms * US_PER_MS;
        self.events.now_us().saturating_sub(warm_up_us)
    }

    pub(super) fn note_sent(&mut self, at: RequestIndex) {
        if !self.is_measured() || self.measured_us() > NEWCOMER_US {
            return;
        }
        for index in &self.requests[at as usize].stages {
            self.watch.sent[index.0 as usize] += 1;
        }
    }

    pub(super) fn note_refused(&mut self) {
        if self.is_measured() {
            self.watch.outcomes.refused_attempts += 1;
        }
    }

    pub(super) fn note_stage_refused(&mut self) {
        if self.is_measured() {
            self.watch.outcomes.refused_by_later_stages += 1;
        }
    }

    pub(super) fn note_comeback(&mut self) {
        if !self.is_measured() {
            return;
        }
        let slot = (self.measured_us() / TOGETHER_US) as usize;
        let slots = &mut self.watch.comebacks;
        slots.resize(slots.len().max(slot + 1), 0);
        slots[slot] += 1;
    }

    pub(super) fn note_not_run(&mut self, at: RequestIndex) {
        if self.is_measured() {
            self.watch.outcomes.not_run += 1;
            self.watch.by_trade[self.trade_of(at)].1 += 1;
        }
    }

    pub(super) fn note_late(&mut self, at: RequestIndex) {
        if self.is_measured() {
            self.watch.outcomes.late += 1;
            self.watch.by_trade[self.trade_of(at)].1 += 1;
        }
    }

    fn trade_of(&self, at: RequestIndex) -> usize {
        self.requests[at as usize].asking.trade as usize
    }

    pub(super) fn note_completed(&mut self, at: RequestIndex) {
        if !self.is_measured() {
            return;
        }
        let by_trade = &mut self.watch.by_trade[self.trade_of(at)];
        by_trade.0 += 1;
        by_trade.1 += 1;
        let asking = &self.requests[at as usize].asking;
        let total_us = self.events.now_us() - asking.at_us;
        self.watch.outcomes.completed += 1;
        let tokens = self.requests[at as usize].used_tokens();
        self.watch.tokens[asking.account] += u64::from(tokens);
        self.watch.prompt_tokens += u64::from(asking.prompt_tokens);
        self.watch.output_tokens += u64::from(asking.output_tokens);
        self.watch.totals_ms[asking.account]
            .record(total_us / US_PER_MS)
            .expect("an automatic histogram takes any value");
    }

    pub(super) fn note_begun(&mut self, at: RequestIndex) {
        let places = self.places_of(at);
        let is_measured = self.is_measured();
        let stages = self.requests[at as usize].stages.len() as u64;
        let watch = &mut self.watch;
        watch.running += 1;
        for place in &places {
            watch.running_by_place[*place as usize] += 1;
        }
        if is_measured {
            watch.chains += 1;
            watch.stages += stages;
            watch.chain_places += places.len() as u64;
        }
    }

    pub(super) fn note_released(&mut self, at: RequestIndex) {
        self.watch.running -= 1;
        for place in self.places_of(at) {
            self.watch.running_by_place[place as usize] -= 1;
        }
    }

    fn places_of(&self, at: RequestIndex) -> Vec<u32> {
        let stages = &self.requests[at as usize].stages;
        let mut places: Vec<u32> =
            stages.iter().map(|index| self.data_centre(*index)).collect();
        places.sort_unstable();
        places.dedup();
        places
    }

    /// Looks at what one death would cost now.
    pub(super) fn sample(&mut self) {
        let now_us = self.events.now_us();
        if self.watch.samples == 0 {
            let busy = |s: &crate::server::Server| s.engine.busy_us(now_us);
            self.watch.busy_before_us =
                self.servers.iter().map(busy).collect();
        }
        self.watch.samples += 1;
        self.sample_newcomer();
        if self.watch.running == 0 {
            return;
        }
        let running = f64::from(self.watch.running);
        let held = |s: &crate::server::Server| s.gate.load().running;
        let most = self.servers.iter().map(held).max().unwrap_or(0);
        let by_place = self.watch.running_by_place.iter().copied();
        let most_by_place = by_place.max().unwrap_or(0);
        self.watch.server_loss += (f64::from(most) / running).min(1.0);
        self.watch.place_loss += f64::from(most_by_place) / running;
    }

    fn sample_newcomer(&mut self) {
        if !self.case.joins || self.measured_us() > NEWCOMER_US {
            return;
        }
        let index = newcomer(&self.deployment.fleet);
        let load = self.servers[index.0 as usize].gate.load();
        let peak = &mut self.watch.newcomer_peak;
        *peak = (*peak).max(load.running + load.queued);
    }

    pub(super) fn figures(self) -> Figures {
        let fleet = &self.deployment.fleet;
        let measured_us = self.case.measure_ms * US_PER_MS;
        let end_us = self.case.end_ms() * US_PER_MS;
        let watch = &self.watch;
        let busy_us: Vec<u64> = self
            .servers
            .iter()
            .zip(&watch.busy_before_us)
            .map(|(server, before)| server.engine.busy_us(end_us) - before)
            .collect();
        let tokens: u64 = watch.tokens.iter().sum();
        let bound = workload::bound_of_mix(
            self.deployment,
            watch.prompt_tokens as f64,
            watch.output_tokens as f64,
        );
        let tokens_per_s =
            tokens as f64 * MS_PER_S / self.case.measure_ms as f64;
        let completed = watch.outcomes.completed.max(1) as f64;
        let use_of = |us: &u64| *us as f64 / measured_us as f64;
        let uses: Vec<f64> = busy_us.iter().map(use_of).collect();
        let samples = f64::from(watch.samples.max(1));
        let chains = watch.chains.max(1) as f64;
        let mut all_ms = Histogram::new(3).expect("three digits");
        for totals_ms in &watch.totals_ms {
            all_ms.add(totals_ms).expect("histograms of one kind");
        }
        Figures {
            outcomes: watch.outcomes,
            bound_tokens_per_s: bound,
            tokens_per_s,
            share_of_bound: tokens_per_s / bound,
            in_time_share: watch.outcomes.in_time_share(),
            in_time_by_trade: watch
                .by_trade
                .map(|(in_time, all)| in_time as f64 / all.max(1) as f64),
            busy_micros_per_request: price(fleet, |at| busy_us[at])
                / completed,
            fleet_micros_per_request: price(fleet, |_| measured_us)
                / completed,
            busy_micros_per_1000_tokens: price(fleet, |at| busy_us[at])
                / (tokens as f64 / 1e3).max(1.0),
            p50_ms: all_ms.value_at_quantile(0.5),
            p95_ms: all_ms.value_at_quantile(0.95),
            jain: figures::jain(&self.weighted_tokens()),
            mean_use: figures::mean(&uses),
            use_deviation: figures::deviation(&uses),
            most_use: uses.iter().copied().fold(0.0, f64::max),
            stages_per_chain: watch.stages as f64 / chains,
            data_centres_per_chain: watch.chain_places as f64 / chains,
            server_loss: watch.server_loss / samples,
            data_centre_loss: watch.place_loss / samples,
            newcomer_times: self.newcomer_times(),
            newcomer_peak: watch.newcomer_peak,
            comebacks: watch.comebacks.iter().sum(),
            comeback_peak_times: figures::peak_times(&watch.comebacks),
            totals_ms: watch.totals_ms.clone(),
        }
    }

    fn weighted_tokens(&self) -> Vec<f64> {
        let accounts = self.deployment.accounts.iter();
        accounts
            .zip(&self.watch.tokens)
            .map(|(account, tokens)| {
                *tokens as f64 / f64::from(account.weight)
            })
            .collect()
    }

    /// What the newcomer was sent, in times its likes.
    fn newcomer_times(&self) -> f64 {
        let fleet = &self.deployment.fleet;
        let index = newcomer(fleet);
        let sent =
            |at: BackendIndex| f64::from(self.watch.sent[at.0 as usize]);
        let likes: Vec<f64> = fleet
            .indices()
            .filter(|at| *at != index && is_like(fleet, *at, index))
            .map(sent)
            .collect();
        sent(index) / figures::mean(&likes).max(1.0)
    }
}

fn is_like(fleet: &Fleet, a: BackendIndex, b: BackendIndex) -> bool {
    let (a, b) = (fleet.spec(a), fleet.spec(b));
    a.first_layer == b.first_layer
        && a.price_micros_per_hour == b.price_micros_per_hour
}

/// Price of so much time of each server, in millionths of the currency.
fn price(fleet: &Fleet, us: impl Fn(usize) -> u64) -> f64 {
    fleet
        .indices()
        .map(|index| {
            let per_hour = fleet.spec(index).price_micros_per_hour as f64;
            us(index.0 as usize) as f64 * per_hour / US_PER_HOUR
        })
        .sum()
}
