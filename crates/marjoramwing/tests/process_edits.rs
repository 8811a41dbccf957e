//! Operators edit tables under traffic.

use std::process;

use marjoramwing_objects::object;
use marjoramwing_standins::attempt;
use marjoramwing_standins::fleet;
use marjoramwing_standins::platform;
use marjoramwing_standins::report;
use marjoramwing_standins::traffic;

const BINARY: &str = env!("CARGO_BIN_EXE_marjoramwing");
const TEAMS: [&str; 2] = ["alpha", "beta"];
/// Number of callers of each team.
const CALLERS: usize = 2;
const OPERATORS: usize = 6;
/// Exit code of an edit that conflicted with another one.
const CONFLICT: i32 = 3;

/// Asserts that every request was served, that backend servers ran it (`lost`), and that none
/// ran more often than it may (`doubled`).
fn assert_all_served(report: &report::LoadReport) {
    let sent: u64 = report.whole.results.values().sum();
    assert_eq!(report.count(attempt::CallResult::Served), sent, "{report}");
    assert_eq!((report.lost, report.doubled), (0, 0), "{report}");
}

/// Runs `marjoramwing route set` and returns its exit code.
async fn set_route(store: std::net::SocketAddr, name: String) -> i32 {
    let row = serde_json::json!({"name": name, "path": format!("/{name}"), "pools": ["reads"]});
    let edit = move || {
        let mut command = process::Command::new(BINARY);
        command.args(["route", "set", "-f", "-", "--store", &store.to_string()]);
        command.stdin(process::Stdio::piped()).stdout(process::Stdio::null());
        let mut child = command.spawn().unwrap();
        serde_json::to_writer(child.stdin.take().unwrap(), &row).unwrap();
        child.wait().unwrap().code().unwrap()
    };
    tokio::task::spawn_blocking(edit).await.unwrap()
}

/// Operators set different rows of the same table concurrently and retry on conflicts; in the
/// end all rows are applied.
#[tokio::test(flavor = "multi_thread")]
async fn racing_operators_lose_no_accepted_edit() {
    let fleet = fleet::TestFleet::start(BINARY, 3).await;
    let traffic = traffic::TestTraffic::start(&fleet, &TEAMS, CALLERS);
    traffic.wait_served(&TEAMS, 20).await;
    let store = fleet.platform_port.address;
    let mut operators = tokio::task::JoinSet::new();
    for operator in 0..OPERATORS {
        operators.spawn(async move {
            loop {
                let code = set_route(store, format!("edit-{operator}")).await;
                if code != CONFLICT {
                    return code;
                }
            }
        });
    }
    let codes = operators.join_all().await;
    assert_eq!(codes, [0; OPERATORS]);
    for operator in 0..OPERATORS {
        fleet.wait_status(&format!("/edit-{operator}"), "alpha", 200).await;
    }
    traffic.wait_served(&TEAMS, 20).await;
    assert_all_served(&traffic.finish(&fleet).await);
}

/// The store applies the edit but responds with status 504; the command finds out by reading the
/// table back instead of writing again.
#[tokio::test(flavor = "multi_thread")]
async fn edit_with_a_lost_response_is_written_once() {
    let fleet = fleet::TestFleet::start(BINARY, 2).await;
    let traffic = traffic::TestTraffic::start(&fleet, &TEAMS, CALLERS);
    traffic.wait_served(&TEAMS, 20).await;
    let faults = platform::PlatformFaults { lose_answers: true, ..Default::default() };
    fleet.platform.set_faults(faults);
    let code = set_route(fleet.platform_port.address, "edited".to_owned()).await;
    assert_eq!(code, 0);
    fleet.wait_status("/edited", "alpha", 200).await;
    let mut counts = fleet.platform.counts();
    let writes = counts.of_kind(&object::ObjectKind::Tables.to_string()).write_calls();
    assert_eq!(writes, 1, "the edit was written more than once");
    assert_all_served(&traffic.finish(&fleet).await);
}
