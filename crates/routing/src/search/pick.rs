//! The candidates of a layer boundary.
//!
//! Those chosen last, two found by hashing the request's prefix, and a few
//! drawn at random. The hash is the same at every entry, so that requests
//! with the same prefix meet without shared state. All win only by their
//! cost.

use super::{Reach, Search};
use crate::{
    candidate::ExclusionReason, cost::Pricing, fleet::BackendIndex,
    live_state::mix,
};

const RENDEZVOUS_COUNT: u64 = 2;
/// Draws for each wanted candidate before the boundary is scanned.
const DRAWS_PER_SAMPLE: usize = 2;

impl Search {
    /// Fills `picked` with candidates of a boundary.
    pub(super) fn pick(
        &mut self,
        pricing: &Pricing<'_>,
        avoid: &[BackendIndex],
        boundary: usize,
        reach: Reach,
        rng: &mut fastrand::Rng,
    ) {
        self.picked.clear();
        self.suspects.clear();
        let members = pricing.fleet.members(boundary);
        let wanted = match reach {
            Reach::Sampled => pricing.policy.sample_count,
            Reach::All | Reach::AllAndSuspect => members.len(),
        };
        if wanted < members.len() {
            self.recall(pricing, avoid, boundary, members);
            let wanted = wanted + self.picked.len();
            self.draw(pricing, avoid, members, wanted, rng);
        }
        if self.picked.is_empty() {
            self.scan(pricing, avoid, members, wanted, rng);
        }
        if self.picked.is_empty() || reach == Reach::AllAndSuspect {
            self.picked.append(&mut self.suspects);
        }
    }

    /// Adds those that were chosen last.
    fn recall(
        &mut self,
        pricing: &Pricing<'_>,
        avoid: &[BackendIndex],
        boundary: usize,
        members: &[BackendIndex],
    ) {
        for index in pricing.live.memory().at(boundary) {
            // Members are in the order of their indices.
            if members.binary_search(&index).is_ok() {
                self.consider_once(pricing, avoid, index);
            }
        }
    }

    fn draw(
        &mut self,
        pricing: &Pricing<'_>,
        avoid: &[BackendIndex],
        members: &[BackendIndex],
        wanted: usize,
        rng: &mut fastrand::Rng,
    ) {
        if let Some(prefix) = pricing.shape.prefix {
            for turn in 0..RENDEZVOUS_COUNT {
                let at = mix(prefix ^ turn) % members.len() as u64;
                self.consider_once(pricing, avoid, members[at as usize]);
            }
        }
        for _ in 0..wanted * DRAWS_PER_SAMPLE {
            if self.picked.len() >= wanted {
                return;
            }
            let at = rng.usize(..members.len());
            self.consider_once(pricing, avoid, members[at]);
        }
    }

    /// From a random place on, so that entries do not meet at the first.
    fn scan(
        &mut self,
        pricing: &Pricing<'_>,
        avoid: &[BackendIndex],
        members: &[BackendIndex],
        wanted: usize,
        rng: &mut fastrand::Rng,
    ) {
        self.suspects.clear();
        let start = rng.usize(..members.len());
        let (before, after) = members.split_at(start);
        for &index in after.iter().chain(before) {
            if self.picked.len() >= wanted {
                return;
            }
            self.consider(pricing, avoid, index);
        }
        self.suspects.truncate(wanted);
    }

    fn consider_once(
        &mut self,
        pricing: &Pricing<'_>,
        avoid: &[BackendIndex],
        index: BackendIndex,
    ) {
        if !self.picked.contains(&index) {
            self.consider(pricing, avoid, index);
        }
    }

    fn consider(
        &mut self,
        pricing: &Pricing<'_>,
        avoid: &[BackendIndex],
        index: BackendIndex,
    ) {
        let left_out = if avoid.contains(&index) {
            Some(ExclusionReason::Avoided)
        } else if !pricing.live.is_present(index) {
            Some(ExclusionReason::NotPresent)
        } else if pricing.live.is_suspect(index, pricing.now_ms) {
            self.suspects.push(index);
            Some(ExclusionReason::Suspect)
        } else {
            None
        };
        match left_out {
            None => self.picked.push(index),
            Some(reason) => self.record_left_out(pricing, index, reason),
        }
    }
}
