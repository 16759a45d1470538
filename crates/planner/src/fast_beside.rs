//! Fast engines beside slower ones that hold the same layers.
//!
//! A stream is as slow as the sum of its parts, and how long it runs decides
//! what every loss cuts and how much memory it holds. So where a few engines
//! are much faster than the others, they hold as many layers as leave them a
//! part of the common room, beside slower ones that hold the same
//! ([`Way::FastBeside`]). Paths go through the fast ones while these have
//! room, and through the others once they are full or lost: the load itself
//! decides between time and room. Layers that a fast engine holds are held
//! by one less of the slower ones, which pays for it.

use crate::{
    layout::LayoutModel,
    shape::{Group, MOST_GROUPS, Member, Shape, Way},
};

/// An engine is fast whose layers take at most this share of the time that
/// those of the middle one take.
const FAST_SHARE: f64 = 0.5;
/// Room of a fast engine that holds layers beside slower ones, as a share of
/// the common room: with less it is full at the usual load, with more it
/// holds fewer layers.
const FAST_ROOM: f64 = 0.6;
/// Share of the even room that must be left where fast engines stand beside
/// others: far past the usual load room binds, and streams that are faster
/// make up for a part of it only.
const LEAST_EVEN_ROOM: f64 = 0.75;
/// Most time of a token, as a share of that of the even way, for which room
/// is given.
const MOST_EVEN_TIME: f64 = 0.9;

/// The groups of a data centre, its engines from the smallest on, with the
/// fast ones beside the others; none where the even way is better.
pub(crate) fn better_than(
    model: &LayoutModel,
    members: &[Member],
    even: &Shape,
) -> Option<Shape> {
    let (fast, slow) = split_fast(members);
    if fast.is_empty() || !even.is_whole {
        return None;
    }
    let copies = members.len().div_ceil(even.groups.len()).max(2);
    let beside = fast_beside(model, &fast, &slow, copies)?;
    // Where there is room for fewer requests than one engine takes as their
    // first, room binds before time.
    let least_tokens =
        model.first_stage_tokens.max(LEAST_EVEN_ROOM * even.room_tokens);
    let is_better = beside.room_tokens >= least_tokens
        && beside.token_ms(model) <= MOST_EVEN_TIME * even.token_ms(model);
    is_better.then_some(beside)
}

/// Fast engines beside groups of the others: of `copies` engines where no
/// fast one holds the layers, of one less where one does. As few of the
/// larger groups as leave no layer to fewer holders than that: a gap in a
/// data centre whose fast engines hold much takes long to close.
fn fast_beside(
    model: &LayoutModel,
    fast: &[Member],
    slow: &[Member],
    copies: usize,
) -> Option<Shape> {
    let row: Vec<Group> =
        fast.iter().rev().map(|m| Group::new(&[*m])).collect();
    let first_copies = first_copies(model, slow, copies);
    for larger in 1..=slow.len() / copies {
        let (mut groups, rest) =
            larger_groups(slow, larger, copies, first_copies)?;
        let larger_count = groups.len();
        groups.extend(rest.chunks(copies - 1).map(Group::new));
        if groups.len() > MOST_GROUPS {
            continue;
        }
        let shape = Shape::of(model, slow, groups);
        let fast_tokens = FAST_ROOM * shape.room_tokens;
        let of_larger = shape.groups[..larger_count].iter();
        let with_copies: u32 =
            of_larger.map(|g| g.layers(model, shape.room_tokens)).sum();
        let beside: u32 =
            row.iter().map(|g| g.layers(model, fast_tokens)).sum();
        if shape.is_whole && with_copies + beside >= model.layer_count {
            let way = Way::FastBeside { row, room_tokens: fast_tokens };
            return Some(Shape { way, ..shape });
        }
    }
    None
}

/// The fast engines and the others, each in the order given.
fn split_fast(members: &[Member]) -> (Vec<Member>, Vec<Member>) {
    let mut times: Vec<f64> = members.iter().map(|m| m.layer_ms).collect();
    times.sort_by(f64::total_cmp);
    let middle_ms = times.get(times.len() / 2).copied().unwrap_or(0.0);
    let is_fast = |m: &Member| m.layer_ms <= FAST_SHARE * middle_ms;
    members.iter().partition(|member| is_fast(member))
}

/// Engines of the first group, for as many places as that one would have
/// where all layers are held by so many.
fn first_copies(model: &LayoutModel, slow: &[Member], copies: usize) -> usize {
    let even = Shape::with_groups(model, slow, slow.len() / copies);
    let even = even.with_more_first(model, slow);
    even.groups.first().map_or(copies, |g| g.engines.len().max(copies))
}

/// So many groups of the smallest engines, the first one of more, with the
/// engines that are left.
fn larger_groups(
    slow: &[Member],
    count: usize,
    copies: usize,
    first_copies: usize,
) -> Option<(Vec<Group>, &[Member])> {
    let (first, slow) = slow.split_at_checked(first_copies)?;
    let (larger, rest) = slow.split_at_checked((count - 1) * copies)?;
    let mut groups = vec![Group::new(first)];
    groups.extend(larger.chunks(copies).map(Group::new));
    Some((groups, rest))
}
