//! A short run of the fault soak with fixed seeds.
//!
//! A seed that has once exposed a fault stays here, with a comment on the cause.

use std::time as duration;

use marjoramwing_platform_standin::soak::run;

const BINARY: &str = env!("CARGO_BIN_EXE_marjoramwing");
const DURATION: duration::Duration = duration::Duration::from_secs(8);
/// Ends a run that does not recover or does not apply a configuration; the times that users
/// require are checked only by the manual soak.
const TIMEOUT: duration::Duration = duration::Duration::from_secs(60);

fn check_seed(kind: run::SoakKind, seed: u64) {
    let runtime = tokio::runtime::Runtime::new().unwrap();
    let report = runtime.block_on(run::run(run::SoakSettings {
        binary: BINARY.into(),
        seed,
        kind,
        duration: DURATION,
        instances: 3,
        servers_each: 3,
        recovery_timeout: TIMEOUT,
        configuration_timeout: TIMEOUT,
        prints_faults: false,
    }));
    assert!(report.is_clean(), "{report}");
}

marjoramwing_testing::cases! { check_seed:
    guarantees_hold_under_seed_1 => (run::SoakKind::Mixed, 1);
    guarantees_hold_under_seed_2 => (run::SoakKind::Mixed, 2);
    // After a return of the store, an instance applied the new configuration and went back.
    guarantees_hold_under_seed_7 => (run::SoakKind::Mixed, 7);
    stops_under_overload_lose_no_request_under_seed_1 => (run::SoakKind::Stops, 1);
}
