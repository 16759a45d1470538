//! Seeded mixes of faults. Each seed that once broke a promise stays here
//! with a line on the cause.

use std::path::Path;

use chestnutreach_emulator::soak::run_seed;
use rstest::rstest;

use crate::support::{BINARY, executor};

struct Seed {
    seed: u64,
    /// What it once broke, or what it is for.
    cause: &'static str,
}

#[rstest]
#[case(Seed { seed: 1_001, cause: "a fixed mix" })]
#[case(Seed { seed: 1_002, cause: "another one" })]
fn a_seed_breaks_no_promise(#[case] seed: Seed) {
    let played = run_seed(executor(), Path::new(BINARY), seed.seed, None);
    let (report, broken) = async_io::block_on(played).unwrap();
    let text = report.to_text();
    assert!(broken.is_empty(), "{}: {broken:?}\n{text}", seed.cause);
}
