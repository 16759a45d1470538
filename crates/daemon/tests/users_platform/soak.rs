//! Seeded mixes of faults. Each seed that once violated an invariant stays
//! here, with its cause.

use std::path::Path;

use chestnutreach_emulator::soak::run_seed;
use rstest::rstest;

use crate::support::{BINARY, executor};

struct Seed {
    seed: u64,
    /// Fault that the seed found, or the kind of mix that it covers.
    cause: &'static str,
}

#[rstest]
#[case(Seed { seed: 2_001, cause: "fails without drains or matching" })]
#[case(Seed { seed: 2_002, cause: "fails without the expected instance" })]
#[case(Seed { seed: 2_003, cause: "fails if older versions are applied" })]
#[case(Seed { seed: 2_009, cause: "fails without the shared retry limit" })]
#[case(Seed { seed: 1_048_577, cause: "links fail as well" })]
#[case(Seed { seed: 2_097_153, cause: "engines restart under the same id" })]
#[case(Seed { seed: 4_194_305, cause: "entries share feeds" })]
#[case(Seed { seed: 8_388_609, cause: "a request crashes engines" })]
#[case(Seed { seed: 16_777_217, cause: "a server announces a rate limit" })]
#[case(Seed { seed: 33_554_433, cause: "cooldowns and drains of servers" })]
#[case(Seed { seed: 67_108_865, cause: "the store loses changes" })]
#[case(Seed { seed: 134_217_729, cause: "streams compete for capacity" })]
#[case(Seed { seed: 134_217_777, cause: "requests in a cooldown" })]
#[case(Seed { seed: 268_435_457, cause: "a large configuration is slow" })]
#[case(Seed { seed: 536_870_913, cause: "a part of prompts crashes engines" })]
#[case(Seed { seed: 1_073_741_825, cause: "servers send without an end" })]
#[case(Seed { seed: 2_147_483_649, cause: "entries do not hear each other" })]
#[case(Seed { seed: 4_294_967_297, cause: "all entries fail at once" })]
fn a_seeded_mix_of_faults_violates_no_invariant(#[case] seed: Seed) {
    let run = run_seed(executor(), Path::new(BINARY), seed.seed, None);
    let (report, violations) = async_io::block_on(run).unwrap();
    let text = report.to_text();
    assert!(violations.is_empty(), "{}: {violations:?}\n{text}", seed.cause);
}
