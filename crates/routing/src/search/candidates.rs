//! Selection of the candidates of a layer boundary.
//!
//! The candidates are the servers that were chosen recently, two servers found
//! by hashing the request's prefix, and a few random samples. The hash is the
//! same at every entry, so that requests with the same prefix reach the same
//! servers without shared state. All candidates compete by cost alone.

use super::{Search, SearchScope};
use crate::{
    candidate::ExclusionReason, cost::CostContext, fleet::BackendIndex,
    live_state::splitmix64,
};

const PREFIX_CANDIDATE_COUNT: u64 = 2;
/// Random draws per wanted candidate before the boundary is scanned.
const DRAWS_PER_SAMPLE: usize = 2;

impl Search {
    /// Fills `candidates` for a boundary.
    pub(super) fn select_candidates(
        &mut self,
        ctx: &CostContext<'_>,
        avoid: &[BackendIndex],
        boundary: usize,
        scope: SearchScope,
        rng: &mut fastrand::Rng,
    ) {
        self.candidates.clear();
        self.suspects.clear();
        let members = ctx.fleet.members(boundary);
        let wanted = match scope {
            SearchScope::Sampled => ctx.policy.sample_count,
            SearchScope::All | SearchScope::AllIncludingSuspect => {
                members.len()
            }
        };
        if wanted < members.len() {
            self.add_recent_choices(ctx, avoid, boundary, members);
            let wanted = wanted + self.candidates.len();
            self.add_samples(ctx, avoid, members, wanted, rng);
        }
        if self.candidates.is_empty() {
            self.scan_boundary(ctx, avoid, members, wanted, rng);
        }
        if self.candidates.is_empty()
            || scope == SearchScope::AllIncludingSuspect
        {
            self.candidates.append(&mut self.suspects);
        }
    }

    /// Adds the servers that were chosen recently.
    fn add_recent_choices(
        &mut self,
        ctx: &CostContext<'_>,
        avoid: &[BackendIndex],
        boundary: usize,
        members: &[BackendIndex],
    ) {
        for index in ctx.live.recent_choices().recent(boundary) {
            // Members are sorted by index.
            if members.binary_search(&index).is_ok() {
                self.add_if_new(ctx, avoid, index);
            }
        }
    }

    fn add_samples(
        &mut self,
        ctx: &CostContext<'_>,
        avoid: &[BackendIndex],
        members: &[BackendIndex],
        wanted: usize,
        rng: &mut fastrand::Rng,
    ) {
        if let Some(prefix) = ctx.shape.prefix {
            for salt in 0..PREFIX_CANDIDATE_COUNT {
                let at = splitmix64(prefix ^ salt) % members.len() as u64;
                self.add_if_new(ctx, avoid, members[at as usize]);
            }
        }
        for _ in 0..wanted * DRAWS_PER_SAMPLE {
            if self.candidates.len() >= wanted {
                return;
            }
            let at = rng.usize(..members.len());
            self.add_if_new(ctx, avoid, members[at]);
        }
    }

    /// Adds the usable servers of a boundary. The scan starts at a random
    /// server, so that entries do not all choose the first one.
    fn scan_boundary(
        &mut self,
        ctx: &CostContext<'_>,
        avoid: &[BackendIndex],
        members: &[BackendIndex],
        wanted: usize,
        rng: &mut fastrand::Rng,
    ) {
        self.suspects.clear();
        let start = rng.usize(..members.len());
        let (before, after) = members.split_at(start);
        for &index in after.iter().chain(before) {
            if self.candidates.len() >= wanted {
                return;
            }
            self.add_if_usable(ctx, avoid, index);
        }
        self.suspects.truncate(wanted);
    }

    fn add_if_new(
        &mut self,
        ctx: &CostContext<'_>,
        avoid: &[BackendIndex],
        index: BackendIndex,
    ) {
        if !self.candidates.contains(&index) {
            self.add_if_usable(ctx, avoid, index);
        }
    }

    fn add_if_usable(
        &mut self,
        ctx: &CostContext<'_>,
        avoid: &[BackendIndex],
        index: BackendIndex,
    ) {
        let exclusion = if avoid.contains(&index) {
            Some(ExclusionReason::Avoided)
        } else if !ctx.live.is_present(index) {
            Some(ExclusionReason::NotPresent)
        } else if ctx.live.is_suspect(index, ctx.now_ms) {
            self.suspects.push(index);
            Some(ExclusionReason::Suspect)
        } else {
            None
        };
        match exclusion {
            None => self.candidates.push(index),
            Some(reason) => self.record_excluded(ctx, index, reason),
        }
    }
}
