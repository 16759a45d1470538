//! Time of a decision about shares, by the number of servers.
//!
//! `cargo run --release -p chestnutreach-routing --example shares_time`

use std::{collections::BTreeMap, hint::black_box, time::Instant};

use chestnutreach_routing::{
    CapacityShares, ClassRates, DemandRates,
    fleet_fill::{ServerLoad, fleet_fill},
};

const ROUNDS: u32 = 2_000;
const LAYERS: u32 = 80;
const CLASSES: u8 = 6;
const ACCOUNTS: u32 = 24;

fn servers(count: u32) -> Vec<ServerLoad> {
    let server = |at: u32| {
        let first_layer = at * 8 % LAYERS;
        ServerLoad {
            data_centre: (at % 3) as usize,
            first_layer,
            end_layer: first_layer + 8,
            capacity_tokens: 200_000.0,
            used_tokens: 150_000.0,
            slots: 192,
            used_slots: 150,
        }
    };
    (0..count).map(server).collect()
}

fn main() {
    let rates = ClassRates { asked: 90_000.0, started: 60_000.0 };
    let demand = DemandRates {
        classes: (0..CLASSES).map(|class| (class, rates)).collect(),
        accounts: (0..ACCOUNTS)
            .map(|account| (account, 1_000.0 * f64::from(account)))
            .collect::<BTreeMap<_, _>>(),
        ended: 350_000.0,
        held: 1_000_000.0,
    };
    for count in [56, 300, 1_100] {
        let servers = servers(count);
        let began = Instant::now();
        for _ in 0..ROUNDS {
            let fleet = fleet_fill(LAYERS, black_box(&servers), 0.5);
            black_box(CapacityShares::new(&fleet, black_box(&demand)));
        }
        let all = began.elapsed() / ROUNDS;
        let fleet = fleet_fill(LAYERS, &servers, 0.5);
        let shares = CapacityShares::new(&fleet, &demand);
        let began = Instant::now();
        for round in 0..ROUNDS {
            black_box(shares.share(1, black_box(round % ACCOUNTS)));
        }
        let one = began.elapsed() / ROUNDS;
        println!("{count} servers: shares {all:?}, a request {one:?}");
    }
}
