//! Properties of every plan.

use std::collections::BTreeSet;

use chestnutreach_planner::{
    AcceleratorKind, CheckedService, LayerRange, Order, Reason, Server,
    Service, capacity, plan,
};
use proptest::{collection::vec, option, prelude::*, test_runner::RngSeed};

const SEED: u64 = 20_262;
const LAYERS: u32 = 16;
const KINDS: [(&str, AcceleratorKind); 3] = [
    ("large", kind(900, 1_000, 16)),
    ("middle", kind(700, 500, 7)),
    ("small", kind(150, 90, 3)),
];

const fn kind(
    tokens_per_s: u64,
    price: u64,
    max_layers: u32,
) -> AcceleratorKind {
    AcceleratorKind { tokens_per_s, price_micros_per_hour: price, max_layers }
}

fn config() -> ProptestConfig {
    ProptestConfig {
        cases: 600,
        failure_persistence: None,
        rng_seed: RngSeed::Fixed(SEED),
        ..ProptestConfig::default()
    }
}

/// A generated server: its kind, the start and length of its range, and
/// whether it is present.
type GeneratedServer = (usize, Option<(u32, u32)>, bool);

fn any_servers() -> impl Strategy<Value = Vec<GeneratedServer>> {
    let range = option::of((0..LAYERS, 1..=LAYERS));
    vec((0..KINDS.len(), range, prop::bool::weighted(0.8)), 0..9)
}

#[derive(Clone, Debug)]
struct Member {
    kind: AcceleratorKind,
    held: Option<LayerRange>,
    is_present: bool,
}

fn members(generated: &[GeneratedServer]) -> Vec<Member> {
    let member = |(kind, range, is_present): &GeneratedServer| {
        let kind = KINDS[*kind].1;
        let held = range.map(|(first, length)| {
            let length = length.min(kind.max_layers);
            LayerRange::new(first, (first + length).min(LAYERS))
        });
        Member { kind, held, is_present: *is_present }
    };
    generated.iter().map(member).collect()
}

fn name(at: usize) -> String {
    format!("server-{at}")
}

fn service(members: &[Member], demand: u64) -> CheckedService {
    let mut service = Service::new(LAYERS).demand_tokens_per_s(demand);
    for (name, kind) in KINDS {
        service = service.kind(name, kind);
    }
    for (at, member) in members.iter().enumerate() {
        let kind = KINDS.iter().find(|(_, kind)| *kind == member.kind);
        let mut server = Server::new(&name(at), kind.unwrap().0);
        if let Some(range) = member.held {
            server = server.holds(range);
        }
        if !member.is_present {
            server = server.absent();
        }
        service = service.server(server);
    }
    service.try_build().unwrap()
}

fn capacity_of(members: &[Member]) -> u64 {
    let present = members.iter().filter(|m| m.is_present);
    let held: Vec<_> = present
        .filter_map(|m| {
            let range = m.held?;
            Some((range, capacity::server_capacity(&m.kind, range, LAYERS)))
        })
        .collect();
    capacity::chain_capacity(LAYERS, &held)
}

fn carry_out(members: &[Member], orders: &[Order]) -> Vec<Member> {
    let mut members = members.to_vec();
    for order in orders {
        let at = (0..members.len()).find(|at| name(*at) == order.server);
        members[at.unwrap()].held = Some(order.range);
    }
    members
}

proptest! {
    #![proptest_config(config())]

    /// After every plan there is a complete chain, if memory allows one.
    #[test]
    fn a_plan_completes_a_chain(
        generated in any_servers(),
        demand in 1..9_000_u64,
    ) {
        let members = members(&generated);
        let planned = plan(&service(&members, demand));
        let after = capacity_of(&carry_out(&members, &planned.orders));
        let present = members.iter().filter(|m| m.is_present);
        let memory: u32 = present.map(|m| m.kind.max_layers).sum();
        prop_assert_eq!(after > 0, memory >= LAYERS);
        prop_assert_eq!(after, planned.capacity_tokens_per_s);
    }

    /// There is at most one order for each present server, and each order fits
    /// into memory and changes the range. No order is issued if the demand is
    /// met.
    #[test]
    fn orders_are_bounded(generated in any_servers(), demand in 0..9_000_u64) {
        let members = members(&generated);
        let planned = plan(&service(&members, demand));
        let mut seen = BTreeSet::new();
        for order in &planned.orders {
            prop_assert!(seen.insert(order.server.clone()));
            let at = (0..members.len()).find(|at| name(*at) == order.server);
            let member = &members[at.unwrap()];
            prop_assert!(member.is_present);
            prop_assert_ne!(member.held, Some(order.range));
            prop_assert!(order.range.layer_count() <= member.kind.max_layers);
            prop_assert!(order.range.end_layer <= LAYERS);
            prop_assert!(order.loaded_layers <= order.range.layer_count());
        }
        let before = capacity_of(&members);
        prop_assert!(planned.capacity_tokens_per_s >= before);
        if before > 0 && before >= demand {
            prop_assert!(planned.orders.is_empty());
        }
    }

    /// Once a plan is carried out, a second plan has at least the same
    /// capacity, and issues no orders if the demand is met. Plans do not
    /// oscillate.
    #[test]
    fn a_completed_plan_is_not_undone(
        generated in any_servers(),
        demand in 1..9_000_u64,
    ) {
        let members = members(&generated);
        let planned = plan(&service(&members, demand));
        let after = carry_out(&members, &planned.orders);
        let again = plan(&service(&after, demand));
        prop_assert!(
            again.capacity_tokens_per_s >= planned.capacity_tokens_per_s
        );
        if planned.unmet_tokens_per_s == 0
            && planned.capacity_tokens_per_s > 0
        {
            prop_assert!(again.orders.is_empty());
        }
    }

    /// Layers are loaded only for capacity that is needed: without any one of
    /// the orders that add capacity, less of the demand is met.
    #[test]
    fn every_order_is_necessary(
        generated in any_servers(),
        demand in 1..9_000_u64,
    ) {
        let members = members(&generated);
        let planned = plan(&service(&members, demand));
        let reached = planned.capacity_tokens_per_s.min(demand);
        for (at, order) in planned.orders.iter().enumerate() {
            if order.reason != Reason::AddCapacity {
                continue;
            }
            let mut others = planned.orders.clone();
            others.remove(at);
            let without = capacity_of(&carry_out(&members, &others));
            prop_assert!(without.min(demand) < reached, "{:?}", planned);
        }
    }

    /// If one server of a chain fails and there is an equal spare server, the
    /// spare takes the range and no other server gets an order.
    #[test]
    fn one_failure_needs_one_order(
        cuts in prop::collection::btree_set(1..LAYERS, 0..4),
        replicas in 1..4_usize,
        failed in 0..100_usize,
    ) {
        let large = KINDS[0].1;
        let mut bounds: Vec<u32> = cuts.into_iter().collect();
        bounds.insert(0, 0);
        bounds.push(LAYERS);
        let stages = bounds.windows(2).map(|b| LayerRange::new(b[0], b[1]));
        let mut members: Vec<Member> = stages
            .flat_map(|range| vec![range; replicas])
            .map(|range| Member {
                kind: large,
                held: Some(range),
                is_present: true,
            })
            .collect();
        let demand = capacity_of(&members);
        let failed = failed % members.len();
        let range = members[failed].held;
        members[failed].is_present = false;
        let spare = Member { kind: large, held: None, is_present: true };
        members.push(spare);
        let planned = plan(&service(&members, demand));
        prop_assert!(planned.orders.len() <= 1);
        if capacity_of(&members) < demand {
            prop_assert_eq!(Some(planned.orders[0].range), range);
        }
        prop_assert_eq!(planned.unmet_tokens_per_s, 0);
    }
}
