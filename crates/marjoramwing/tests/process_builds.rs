//! Instances of two builds run side by side while one of them cannot read some versions.
//!
//! The earlier build is the program that `MARJORAMWING_EARLIER_BINARY` names; by hand that is the
//! one of the last landing. Without it, both builds are this one.

use std::env;
use std::path;

use marjoramwing_platform_standin::caller;
use marjoramwing_platform_standin::fleet;
use marjoramwing_platform_standin::operator;
use marjoramwing_platform_standin::proxy;
use marjoramwing_standins::fleet as standins_fleet;

const BINARY: &str = env!("CARGO_BIN_EXE_marjoramwing");
const SERVERS_EACH: usize = 2;
const CALLERS_EACH: usize = 1;
/// Instances of the earlier build, and those that are upgraded.
const EARLIER: std::ops::Range<usize> = 0..2;
const UPGRADED: std::ops::Range<usize> = 2..4;
/// Number of keys whose table is larger than a message between instances.
const LARGE_KEYS: usize = 30_000;
/// Event of a peer that is refused.
const PEER_REFUSED: &str = r#""event":5003"#;

/// Starts a fleet of the earlier build and upgrades some of its instances.
async fn start() -> fleet::PlatformFleet {
    let earlier = env::var_os("MARJORAMWING_EARLIER_BINARY").unwrap_or_else(|| BINARY.into());
    let earlier = path::PathBuf::from(earlier);
    let mut fleet = fleet::PlatformFleet::start(&earlier, UPGRADED.end, SERVERS_EACH).await;
    for index in UPGRADED {
        fleet.upgrade(index, path::Path::new(BINARY)).await;
    }
    fleet
}

async fn wait_status(
    fleet: &fleet::PlatformFleet,
    indices: std::ops::Range<usize>,
    path: &str,
    key: Option<&str>,
    status: u16,
) {
    for index in indices {
        standins_fleet::wait_until("the version is in force", async || {
            fleet.probe(index, path, key).await.status == Some(status)
        })
        .await;
    }
}

/// Asserts that a plain version is in force at both builds, that no instance has ended and that
/// none refuses another one.
async fn assert_recovered(fleet: &mut fleet::PlatformFleet, extra: &str) {
    fleet.configure(&[extra]);
    let key = operator::team_key(operator::TEAMS[0]);
    let path = operator::extra_path(extra);
    wait_status(fleet, EARLIER.start..UPGRADED.end, &path, Some(&key), 200).await;
    for instance in &mut fleet.instances {
        assert_eq!(instance.process.exit_code(), None, "{}", instance.process.log());
        assert!(!instance.process.log().contains(PEER_REFUSED), "{}", instance.process.log());
    }
}

type Edit = fn(&mut Vec<serde_json::Value>);

/// Versions that the last landing refuses, each with the key `odd-key` of one team.
const ODD_VERSIONS: [Edit; 3] = [
    |resources| resources.push(operator::team("Laboratorio", "odd-key")),
    |resources| {
        resources.push(operator::team("odd", "odd-key"));
        resources.push(operator::unreadable_route("/unreadable/"));
    },
    |resources| {
        resources.push(operator::team("odd", "odd-key"));
        resources.push(operator::read_route("undefined", "/undefined/", "no such service"));
    },
];

/// Guards against versions that one build cannot read and that the other one then does not apply,
/// or that keep a later one out at either.
#[tokio::test(flavor = "multi_thread")]
async fn versions_reach_instances_of_both_builds() {
    let mut fleet = start().await;
    let callers = caller::CallerGroup::start(&fleet.caller_addresses(), CALLERS_EACH);
    for (number, edit) in ODD_VERSIONS.into_iter().enumerate() {
        fleet.configure_edited(edit);
        wait_status(&fleet, UPGRADED, operator::READ_PATH, Some("odd-key"), 200).await;
        assert_recovered(&mut fleet, &format!("plain-{number}")).await;
        wait_status(&fleet, UPGRADED, operator::READ_PATH, Some("odd-key"), 401).await;
    }
    fleet.assert_guarantees(callers).await;
}

/// Guards against an instance without the store that keeps what a peer could not read of a version.
#[tokio::test(flavor = "multi_thread")]
async fn versions_reach_an_instance_without_the_store() {
    let mut fleet = start().await;
    fleet.instances[UPGRADED.start].store_link.set_fault(proxy::LinkFault::Silent);
    for (number, edit) in ODD_VERSIONS.into_iter().enumerate() {
        fleet.configure_edited(edit);
        wait_status(&fleet, UPGRADED, operator::READ_PATH, Some("odd-key"), 200).await;
        assert_recovered(&mut fleet, &format!("plain-{number}")).await;
    }
}

/// Guards against tables in parts that an upgraded instance does not get, or that end the link to
/// an instance of the earlier build, so that neither gets the next version.
#[tokio::test(flavor = "multi_thread")]
async fn tables_larger_than_a_message_harm_neither_build() {
    let mut fleet = start().await;
    for index in [EARLIER.start, UPGRADED.start] {
        fleet.instances[index].store_link.set_fault(proxy::LinkFault::Silent);
    }
    let keys: Vec<_> = (0..LARGE_KEYS).map(|number| format!("large-key-{number:06}")).collect();
    fleet.configure_edited(|resources| {
        resources.push(operator::team_with_keys("large", &keys));
    });
    wait_status(&fleet, UPGRADED, operator::READ_PATH, keys.last().map(String::as_str), 200).await;
    assert_recovered(&mut fleet, "plain").await;
}

/// Guards against an upgrade under a version without teams that leaves either build without it.
#[tokio::test(flavor = "multi_thread")]
async fn version_without_teams_reaches_upgraded_instances() {
    let mut fleet = start().await;
    fleet.configure_edited(|resources| resources.retain(|row| !operator::is_team(row)));
    wait_status(&fleet, UPGRADED, operator::READ_PATH, None, 200).await;
    fleet.upgrade(EARLIER.start, path::Path::new(BINARY)).await;
    wait_status(&fleet, EARLIER.start..EARLIER.start + 1, operator::READ_PATH, None, 200).await;
    assert_recovered(&mut fleet, "plain").await;
    wait_status(&fleet, EARLIER.start..UPGRADED.end, operator::READ_PATH, None, 401).await;
}
