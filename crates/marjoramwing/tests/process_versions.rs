//! Instances run as processes while the operators' versions become large numbers.

use std::path;

use marjoramwing_platform_standin::caller;
use marjoramwing_platform_standin::fleet;
use marjoramwing_platform_standin::operator;
use marjoramwing_standins::fleet as standins_fleet;

const BINARY: &str = env!("CARGO_BIN_EXE_marjoramwing");
const INSTANCES: usize = 3;
const SERVERS_EACH: usize = 2;
const CALLERS_EACH: usize = 2;
/// Version by date and time, to the minute.
const BY_DATE: u64 = 202_612_051_730;

/// Guards against instances that go on with an old configuration after one with a large number.
#[tokio::test(flavor = "multi_thread")]
async fn versions_by_date_are_in_force() {
    let path = path::Path::new(BINARY);
    let mut fleet = fleet::PlatformFleet::start(path, INSTANCES, SERVERS_EACH).await;
    let callers = caller::CallerGroup::start(&fleet.caller_addresses(), CALLERS_EACH);
    fleet.version = BY_DATE;
    for added in ["first", "second"] {
        fleet.configure(&[added]);
        let path = operator::extra_path(added);
        for index in 0..INSTANCES {
            standins_fleet::wait_until("the configuration is in force", async || {
                fleet.status(index, &path).await == Some(200)
            })
            .await;
        }
    }
    // The second version has no such route.
    for index in 0..INSTANCES {
        assert_eq!(fleet.status(index, &operator::extra_path("first")).await, Some(404));
    }
    fleet.assert_guarantees(callers).await;
}
