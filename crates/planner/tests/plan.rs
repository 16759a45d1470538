//! Plans of small services.

use chestnutreach_planner::{
    AcceleratorKind, LayerRange, Reason, Server, Service, plan,
};

const LAYERS: u32 = 24;

fn kinds(service: Service) -> Service {
    let kind = |tokens_per_s, price, max_layers| AcceleratorKind {
        tokens_per_s,
        price_micros_per_hour: price,
        max_layers,
    };
    service
        .kind("big", kind(1_000, 1_000, 24))
        .kind("half", kind(1_000, 600, 12))
        .kind("slow", kind(100, 50, 12))
}

fn range(first: u32, end: u32) -> LayerRange {
    LayerRange::new(first, end)
}

fn held(name: &str, kind: &str, first: u32, end: u32) -> Server {
    Server::new(name, kind).holds(range(first, end))
}

#[test]
fn orders_follow_the_held_layers_and_the_demand() {
    use Reason::{AddCapacity, FillGap};
    struct Case {
        name: &'static str,
        demand: u64,
        servers: Vec<Server>,
        orders: &'static [(&'static str, u32, u32, Reason)],
        capacity: u64,
    }
    let chain = || vec![held("a", "half", 0, 12), held("b", "half", 12, 24)];
    let with = |mut servers: Vec<Server>, more: Vec<Server>| {
        servers.extend(more);
        servers
    };
    let cases = [
        Case {
            name: "the demand is met",
            demand: 2_000,
            servers: with(chain(), vec![Server::new("c", "big")]),
            orders: &[],
            capacity: 2_000,
        },
        Case {
            name: "nothing is held",
            demand: 1,
            servers: vec![Server::new("a", "half"), Server::new("b", "half")],
            orders: &[("a", 0, 12, FillGap), ("b", 12, 24, FillGap)],
            capacity: 2_000,
        },
        Case {
            name: "a failed stage is replaced in place",
            demand: 2_000,
            servers: vec![
                held("a", "half", 0, 12),
                held("b", "half", 12, 24).absent(),
                Server::new("c", "big"),
                Server::new("d", "half"),
            ],
            orders: &[("d", 12, 24, FillGap)],
            capacity: 2_000,
        },
        Case {
            name: "the half with less capacity gets the new server",
            demand: 4_000,
            servers: with(
                chain(),
                vec![held("c", "half", 0, 12), Server::new("d", "half")],
            ),
            orders: &[("d", 12, 24, AddCapacity)],
            capacity: 4_000,
        },
        Case {
            name: "a cheap server in each half covers a small deficit",
            demand: 2_100,
            servers: with(
                chain(),
                ["c", "d"].map(|name| Server::new(name, "slow")).into(),
            ),
            orders: &[("c", 0, 12, AddCapacity), ("d", 12, 24, AddCapacity)],
            capacity: 2_200,
        },
        Case {
            name: "a server moves from the half with spare capacity",
            demand: 4_000,
            servers: with(
                chain(),
                ["c", "d"].map(|name| held(name, "half", 0, 12)).into(),
            ),
            orders: &[("a", 12, 24, AddCapacity)],
            capacity: 4_000,
        },
        Case {
            name: "the held layers leave gaps that no server fits",
            demand: 1,
            servers: vec![held("a", "half", 6, 18), Server::new("b", "half")],
            orders: &[("b", 0, 12, FillGap), ("a", 12, 24, FillGap)],
            capacity: 2_000,
        },
        Case {
            name: "a stage is extended by one missing layer",
            demand: 1,
            servers: vec![held("a", "big", 0, 11), held("b", "half", 12, 24)],
            orders: &[("a", 0, 12, FillGap)],
            capacity: 2_000,
        },
        Case {
            name: "one more server in one half adds no capacity",
            demand: 4_000,
            servers: with(chain(), vec![Server::new("c", "half")]),
            orders: &[],
            capacity: 2_000,
        },
        Case {
            name: "memory is too small",
            demand: 1,
            servers: vec![
                Server::new("a", "half"),
                Server::new("b", "half").absent(),
            ],
            orders: &[],
            capacity: 0,
        },
    ];
    for case in cases {
        let service =
            kinds(Service::new(LAYERS)).demand_tokens_per_s(case.demand);
        let service = case.servers.into_iter().fold(service, Service::server);
        let planned = plan(&service.try_build().unwrap());
        let orders: Vec<_> = planned
            .orders
            .iter()
            .map(|o| {
                let LayerRange { first_layer, end_layer } = o.range;
                (o.server.as_str(), first_layer, end_layer, o.reason)
            })
            .collect();
        assert_eq!(orders, case.orders, "{}", case.name);
        assert_eq!(
            planned.capacity_tokens_per_s, case.capacity,
            "{}",
            case.name
        );
        let unmet = case.demand.saturating_sub(case.capacity);
        assert_eq!(planned.unmet_tokens_per_s, unmet, "{}", case.name);
    }
}

/// A cheap partial chain can use the servers that the rest of the chain needs.
#[test]
fn a_cheaper_partial_chain_does_not_hide_the_only_complete_one() {
    let kind = |max_layers, price| AcceleratorKind {
        tokens_per_s: 1_000,
        price_micros_per_hour: price,
        max_layers,
    };
    let service = Service::new(16)
        .demand_tokens_per_s(1)
        .kind("cheap", kind(8, 10))
        .kind("dear", kind(10, 99))
        .server(held("a", "cheap", 8, 16))
        .server(held("b", "dear", 0, 7));
    let planned = plan(&service.try_build().unwrap());
    assert_eq!(planned.orders.len(), 1, "{planned:?}");
    let order = &planned.orders[0];
    assert_eq!((order.server.as_str(), order.range), ("b", range(0, 8)));
    assert_eq!(order.loaded_layers, 1);
}

#[test]
fn all_validation_problems_are_reported() {
    let error = kinds(Service::new(0))
        .server(held("a", "huge", 5, 5))
        .server(Server::new("a", "big"))
        .try_build()
        .unwrap_err();
    let expected = [
        "layer_count is 0; it must be 1 or more",
        "server a: unknown kind \"huge\"",
        "server a: layers 5..5 must be a non-empty range within 0..0",
        "server a is listed twice",
    ];
    assert_eq!(error.findings, expected);
}
