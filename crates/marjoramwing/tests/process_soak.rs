//! The fault soak, short and with fixed seeds.
//!
//! Seeds that ever broke a promise stay here, each with a line on the cause.

use std::time as duration;

use marjoramwing_platform_standin::soak::run;

const BINARY: &str = env!("CARGO_BIN_EXE_marjoramwing");
const LENGTH: duration::Duration = duration::Duration::from_secs(8);
/// Only ends a run that would never recover; the soak by hand has the users' bound.
const RECOVERY: duration::Duration = duration::Duration::from_secs(60);

fn check_seed(seed: u64) {
    let runtime = tokio::runtime::Runtime::new().unwrap();
    let report = runtime.block_on(run::run(run::SoakSettings {
        binary: BINARY.into(),
        seed,
        duration: LENGTH,
        instances: 3,
        servers_each: 3,
        recovery: RECOVERY,
        prints_faults: false,
    }));
    assert!(report.is_clean(), "{report}");
}

marjoramwing_testing::cases! { check_seed:
    promises_hold_under_seed_1 => (1);
    promises_hold_under_seed_2 => (2);
}
