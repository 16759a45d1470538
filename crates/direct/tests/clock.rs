//! The clock of an entry.

use chestnutreach_direct::clock::now_ms;

/// Longer than any VM has been up.
const TEN_YEARS_MS: u64 = 10 * 365 * 24 * 3_600 * 1_000;

/// An entry on a VM that has just booted receives a copy that the store
/// confirmed long before. Cut to the boot, the copy would be as young as the
/// VM, and keys withdrawn since would be served.
#[test]
fn a_time_before_the_boot_of_the_vm_keeps_its_age() {
    let now_ms = now_ms();
    let confirmed_ms = now_ms.saturating_sub(TEN_YEARS_MS);
    assert_eq!(now_ms - confirmed_ms, TEN_YEARS_MS);
}
