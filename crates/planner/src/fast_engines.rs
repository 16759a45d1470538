//! Fast engines as additional replicas of layers that slower engines hold.
//!
//! The time of a stream's token is the sum over all stages. The duration of a
//! stream determines how many streams the loss of an engine interrupts, and
//! how much memory streams occupy. Where a few engines are much faster than
//! the others, they therefore hold more layers than their share, as additional
//! replicas of layers that slower engines hold
//! ([`Strategy::FastReplicas`]). Paths use the fast engines while these have
//! free KV capacity, and the slower ones once the fast engines are full or
//! lost. In exchange, layers of a fast engine have one replica less on slower
//! engines.

use crate::{
    engine_groups::{EngineGroups, Group, MAX_GROUPS, Member, Strategy},
    layout::LayoutModel,
};

/// An engine is fast if its time for a layer is at most this fraction of the
/// median.
const FAST_TIME_SHARE: f64 = 0.5;
/// KV capacity of a fast engine with additional replicas, as a fraction of
/// the common capacity. With less, the engine is full at the typical load;
/// with more, it holds fewer layers.
const FAST_KV_SHARE: f64 = 0.6;
/// Minimum common KV capacity with additional replicas, as a fraction of the
/// capacity of uniform groups. Far beyond the typical load, KV capacity limits
/// the throughput, and faster streams make up for only a part of the loss.
const MIN_KV_SHARE_OF_UNIFORM: f64 = 0.75;
/// Maximum time of a token, as a fraction of the time with uniform groups,
/// that justifies a lower KV capacity.
const MAX_TIME_SHARE_OF_UNIFORM: f64 = 0.9;

/// Groups of a data centre with fast engines as additional replicas; `None`
/// if uniform groups are better. `members` are sorted by memory, ascending.
pub(crate) fn better_than(
    model: &LayoutModel,
    members: &[Member],
    uniform: &EngineGroups,
) -> Option<EngineGroups> {
    let (fast, slow) = split_fast(members);
    if fast.is_empty() || !uniform.is_complete {
        return None;
    }
    let replicas = members.len().div_ceil(uniform.groups.len()).max(2);
    let with_fast = with_fast_replicas(model, &fast, &slow, replicas)?;
    // Below the tokens that one engine accepts as first stage, KV capacity
    // limits the throughput more than time does.
    let min_kv_tokens = model
        .first_stage_tokens
        .max(MIN_KV_SHARE_OF_UNIFORM * uniform.kv_tokens);
    let is_better = with_fast.kv_tokens >= min_kv_tokens
        && with_fast.token_ms(model)
            <= MAX_TIME_SHARE_OF_UNIFORM * uniform.token_ms(model);
    is_better.then_some(with_fast)
}

/// Fast engines as additional replicas of the groups of slower engines.
///
/// Groups have `replicas` engines for layers that no fast engine holds, and
/// one engine less for the other layers. The number of larger groups is the
/// lowest that gives every layer `replicas` holders: in a data centre whose
/// fast engines hold many layers, a gap takes long to close.
fn with_fast_replicas(
    model: &LayoutModel,
    fast: &[Member],
    slow: &[Member],
    replicas: usize,
) -> Option<EngineGroups> {
    let fast_groups: Vec<Group> =
        fast.iter().rev().map(|m| Group::new(&[*m])).collect();
    let first_replicas = first_group_size(model, slow, replicas);
    for larger in 1..=slow.len() / replicas {
        let (mut groups, rest) =
            larger_groups(slow, larger, replicas, first_replicas)?;
        let larger_count = groups.len();
        groups.extend(rest.chunks(replicas - 1).map(Group::new));
        if groups.len() > MAX_GROUPS {
            continue;
        }
        let slow_groups = EngineGroups::of(model, slow, groups);
        let fast_kv_tokens = FAST_KV_SHARE * slow_groups.kv_tokens;
        let first_groups = slow_groups.groups[..larger_count].iter();
        let layers_of_larger: u32 = first_groups
            .map(|g| g.max_layers(model, slow_groups.kv_tokens))
            .sum();
        let layers_of_fast: u32 = fast_groups
            .iter()
            .map(|g| g.max_layers(model, fast_kv_tokens))
            .sum();
        if slow_groups.is_complete
            && layers_of_larger + layers_of_fast >= model.layer_count
        {
            let strategy = Strategy::FastReplicas {
                fast_groups,
                kv_tokens: fast_kv_tokens,
            };
            return Some(EngineGroups { strategy, ..slow_groups });
        }
    }
    None
}

/// The fast engines and the others, each in the given order.
fn split_fast(members: &[Member]) -> (Vec<Member>, Vec<Member>) {
    let mut times: Vec<f64> = members.iter().map(|m| m.layer_ms).collect();
    times.sort_by(f64::total_cmp);
    let median_ms = times.get(times.len() / 2).copied().unwrap_or(0.0);
    let is_fast = |m: &Member| m.layer_ms <= FAST_TIME_SHARE * median_ms;
    members.iter().partition(|member| is_fast(member))
}

/// Engines of the first group: as many as the first group would need for its
/// slots if every layer had `replicas` holders.
fn first_group_size(
    model: &LayoutModel,
    slow: &[Member],
    replicas: usize,
) -> usize {
    let uniform = EngineGroups::with_count(model, slow, slow.len() / replicas);
    let uniform = uniform.with_larger_first_group(model, slow);
    uniform.groups.first().map_or(replicas, |g| g.engines.len().max(replicas))
}

/// `count` groups of the smallest engines, the first one with
/// `first_replicas` engines, and the remaining engines.
fn larger_groups(
    slow: &[Member],
    count: usize,
    replicas: usize,
    first_replicas: usize,
) -> Option<(Vec<Group>, &[Member])> {
    let (first, slow) = slow.split_at_checked(first_replicas)?;
    let (larger, rest) = slow.split_at_checked((count - 1) * replicas)?;
    let mut groups = vec![Group::new(first)];
    groups.extend(larger.chunks(replicas).map(Group::new));
    Some((groups, rest))
}
