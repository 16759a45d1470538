//! Measurements of a run. Events during the warm-up do not count.

use chestnutreach_routing::{BackendIndex, Fleet};
use hdrhistogram::Histogram;

use super::{World, new_server};
use crate::{
    deployment::Deployment,
    events::RequestIndex,
    figures::{self, Figures, Outcomes},
    request_kind::RequestKind,
    workload,
};

const US_PER_HOUR: f64 = 3.6e9;
const US_PER_MS: u64 = 1_000;
const MS_PER_S: f64 = 1_000.0;
/// Time for which requests to a new server are counted.
const NEW_SERVER_WINDOW_US: u64 = 10_000_000;
/// Width of the windows in which retries by callers are counted.
const RETRY_WINDOW_US: u64 = 100_000;

/// Counters and samples of a run.
#[derive(Debug)]
pub(super) struct Recorder {
    outcomes: Outcomes,
    /// Response times, by account.
    response_times_ms: Vec<Histogram<u64>>,
    /// Tokens of requests completed by their deadline, by account.
    tokens: Vec<u64>,
    prompt_tokens: u64,
    output_tokens: u64,
    /// Requests completed by their deadline, and all requests, by kind.
    by_kind: [(u64, u64); RequestKind::ALL.len()],
    chains: u64,
    stages: u64,
    chain_data_centres: u64,
    /// Running requests, by data centre.
    running_by_data_centre: Vec<u32>,
    running: u32,
    samples: u32,
    server_loss: f64,
    data_centre_loss: f64,
    /// Time in iterations before the measurement, by server.
    busy_before_us: Vec<u64>,
    sent: Vec<u32>,
    new_server_peak: u32,
    caller_retries: Vec<u32>,
}

impl Recorder {
    pub(super) fn new(deployment: &Deployment) -> Recorder {
        let accounts = deployment.accounts.len();
        let servers = deployment.fleet.len();
        let histogram =
            || Histogram::new(3).expect("three significant digits are valid");
        Recorder {
            outcomes: Outcomes::default(),
            response_times_ms: (0..accounts).map(|_| histogram()).collect(),
            tokens: vec![0; accounts],
            prompt_tokens: 0,
            output_tokens: 0,
            by_kind: Default::default(),
            chains: 0,
            stages: 0,
            chain_data_centres: 0,
            running_by_data_centre: vec![
                0;
                deployment.links.data_centre_count()
            ],
            running: 0,
            samples: 0,
            server_loss: 0.0,
            data_centre_loss: 0.0,
            busy_before_us: vec![0; servers],
            sent: vec![0; servers],
            new_server_peak: 0,
            caller_retries: Vec::new(),
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

    pub(super) fn record_sent(&mut self, id: RequestIndex) {
        if !self.is_measured() || self.measured_us() > NEW_SERVER_WINDOW_US {
            return;
        }
        for index in &self.requests[id as usize].stages {
            self.recorder.sent[index.0 as usize] += 1;
        }
    }

    pub(super) fn record_refused(&mut self) {
        if self.is_measured() {
            self.recorder.outcomes.refused_attempts += 1;
        }
    }

    pub(super) fn record_stage_refused(&mut self) {
        if self.is_measured() {
            self.recorder.outcomes.refused_by_later_stages += 1;
        }
    }

    pub(super) fn record_caller_retry(&mut self) {
        if !self.is_measured() {
            return;
        }
        let window = (self.measured_us() / RETRY_WINDOW_US) as usize;
        let windows = &mut self.recorder.caller_retries;
        windows.resize(windows.len().max(window + 1), 0);
        windows[window] += 1;
    }

    pub(super) fn record_not_run(&mut self, id: RequestIndex) {
        if self.is_measured() {
            self.recorder.outcomes.not_run += 1;
            self.recorder.by_kind[self.kind_of(id)].1 += 1;
        }
    }

    pub(super) fn record_late(&mut self, id: RequestIndex) {
        if self.is_measured() {
            self.recorder.outcomes.late += 1;
            self.recorder.by_kind[self.kind_of(id)].1 += 1;
        }
    }

    fn kind_of(&self, id: RequestIndex) -> usize {
        self.requests[id as usize].arrival.kind as usize
    }

    pub(super) fn record_completed(&mut self, id: RequestIndex) {
        if !self.is_measured() {
            return;
        }
        let by_kind = &mut self.recorder.by_kind[self.kind_of(id)];
        by_kind.0 += 1;
        by_kind.1 += 1;
        let arrival = &self.requests[id as usize].arrival;
        let total_us = self.events.now_us() - arrival.at_us;
        self.recorder.outcomes.completed += 1;
        let tokens = self.requests[id as usize].used_tokens();
        self.recorder.tokens[arrival.account] += u64::from(tokens);
        self.recorder.prompt_tokens += u64::from(arrival.prompt_tokens);
        self.recorder.output_tokens += u64::from(arrival.output_tokens);
        self.recorder.response_times_ms[arrival.account]
            .record(total_us / US_PER_MS)
            .expect("an auto-resizing histogram accepts any value");
    }

    pub(super) fn record_begun(&mut self, id: RequestIndex) {
        let data_centres = self.data_centres_of(id);
        let is_measured = self.is_measured();
        let stages = self.requests[id as usize].stages.len() as u64;
        let recorder = &mut self.recorder;
        recorder.running += 1;
        for data_centre in &data_centres {
            recorder.running_by_data_centre[*data_centre as usize] += 1;
        }
        if is_measured {
            recorder.chains += 1;
            recorder.stages += stages;
            recorder.chain_data_centres += data_centres.len() as u64;
        }
    }

    pub(super) fn record_released(&mut self, id: RequestIndex) {
        self.recorder.running -= 1;
        for data_centre in self.data_centres_of(id) {
            self.recorder.running_by_data_centre[data_centre as usize] -= 1;
        }
    }

    fn data_centres_of(&self, id: RequestIndex) -> Vec<u32> {
        let stages = &self.requests[id as usize].stages;
        let mut data_centres: Vec<u32> =
            stages.iter().map(|index| self.data_centre(*index)).collect();
        data_centres.sort_unstable();
        data_centres.dedup();
        data_centres
    }

    /// Samples the share of running requests that the failure of one
    /// server or data centre would end.
    pub(super) fn sample(&mut self) {
        let now_us = self.events.now_us();
        if self.recorder.samples == 0 {
            let busy = |s: &crate::server::Server| s.engine.busy_us(now_us);
            self.recorder.busy_before_us =
                self.servers.iter().map(busy).collect();
        }
        self.recorder.samples += 1;
        self.sample_new_server();
        if self.recorder.running == 0 {
            return;
        }
        let running = f64::from(self.recorder.running);
        let held = |s: &crate::server::Server| s.slot_queue.load().running;
        let max_held = self.servers.iter().map(held).max().unwrap_or(0);
        let by_data_centre =
            self.recorder.running_by_data_centre.iter().copied();
        let max_by_data_centre = by_data_centre.max().unwrap_or(0);
        self.recorder.server_loss += (f64::from(max_held) / running).min(1.0);
        self.recorder.data_centre_loss +=
            f64::from(max_by_data_centre) / running;
    }

    fn sample_new_server(&mut self) {
        if !self.case.adds_server || self.measured_us() > NEW_SERVER_WINDOW_US
        {
            return;
        }
        let index = new_server(&self.deployment.fleet);
        let load = self.servers[index.0 as usize].slot_queue.load();
        let peak = &mut self.recorder.new_server_peak;
        *peak = (*peak).max(load.running + load.queued);
    }

    pub(super) fn figures(self) -> Figures {
        let fleet = &self.deployment.fleet;
        let measured_us = self.case.measure_ms * US_PER_MS;
        let end_us = self.case.end_ms() * US_PER_MS;
        let recorder = &self.recorder;
        let busy_us: Vec<u64> = self
            .servers
            .iter()
            .zip(&recorder.busy_before_us)
            .map(|(server, before)| server.engine.busy_us(end_us) - before)
            .collect();
        let tokens: u64 = recorder.tokens.iter().sum();
        let bound = workload::bound_of_mix(
            self.deployment,
            recorder.prompt_tokens as f64,
            recorder.output_tokens as f64,
        );
        let tokens_per_s =
            tokens as f64 * MS_PER_S / self.case.measure_ms as f64;
        let completed = recorder.outcomes.completed.max(1) as f64;
        let utilisation_of = |us: &u64| *us as f64 / measured_us as f64;
        let utilisations: Vec<f64> =
            busy_us.iter().map(utilisation_of).collect();
        let samples = f64::from(recorder.samples.max(1));
        let chains = recorder.chains.max(1) as f64;
        let mut all_ms =
            Histogram::new(3).expect("three significant digits are valid");
        for response_times_ms in &recorder.response_times_ms {
            all_ms
                .add(response_times_ms)
                .expect("the histograms have the same precision");
        }
        Figures {
            outcomes: recorder.outcomes,
            bound_tokens_per_s: bound,
            tokens_per_s,
            share_of_bound: tokens_per_s / bound,
            in_time_share: recorder.outcomes.in_time_share(),
            in_time_by_trade: recorder
                .by_kind
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
            mean_use: figures::mean(&utilisations),
            use_deviation: figures::standard_deviation(&utilisations),
            most_use: utilisations.iter().copied().fold(0.0, f64::max),
            stages_per_chain: recorder.stages as f64 / chains,
            data_centres_per_chain: recorder.chain_data_centres as f64
                / chains,
            server_loss: recorder.server_loss / samples,
            data_centre_loss: recorder.data_centre_loss / samples,
            newcomer_times: self.new_server_ratio(),
            newcomer_peak: recorder.new_server_peak,
            comebacks: recorder.caller_retries.iter().sum(),
            comeback_peak_times: figures::peak_to_mean(
                &recorder.caller_retries,
            ),
            response_times_ms: recorder.response_times_ms.clone(),
        }
    }

    fn weighted_tokens(&self) -> Vec<f64> {
        let accounts = self.deployment.accounts.iter();
        accounts
            .zip(&self.recorder.tokens)
            .map(|(account, tokens)| {
                *tokens as f64 / f64::from(account.weight)
            })
            .collect()
    }

    /// Requests sent to the new server over the mean of similar servers.
    fn new_server_ratio(&self) -> f64 {
        let fleet = &self.deployment.fleet;
        let index = new_server(fleet);
        let sent =
            |at: BackendIndex| f64::from(self.recorder.sent[at.0 as usize]);
        let similar: Vec<f64> = fleet
            .indices()
            .filter(|at| *at != index && is_same_kind(fleet, *at, index))
            .map(sent)
            .collect();
        sent(index) / figures::mean(&similar).max(1.0)
    }
}

fn is_same_kind(fleet: &Fleet, a: BackendIndex, b: BackendIndex) -> bool {
    let (a, b) = (fleet.spec(a), fleet.spec(b));
    a.first_layer == b.first_layer
        && a.price_micros_per_hour == b.price_micros_per_hour
}

/// Price of the given time of each server, in micros.
fn price(fleet: &Fleet, us: impl Fn(usize) -> u64) -> f64 {
    fleet
        .indices()
        .map(|index| {
            let per_hour = fleet.spec(index).price_micros_per_hour as f64;
            us(index.0 as usize) as f64 * per_hour / US_PER_HOUR
        })
        .sum()
}
