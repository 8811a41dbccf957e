//! Requests from another region are served only under the caps on shifted traffic.

use std::sync;

use crate::backend;
use crate::support;
use marjoramwing_membership::view;
use marjoramwing_steering::table;
use marjoramwing_tables::snapshot;
use marjoramwing_testing::cases;

const DEADLINE_MS: u64 = 10_000;
const REQUESTS: usize = 8;
/// Region of the instance.
const OWN_REGION: &str = "r";

fn steering_document(home_region: &str, caps: &serde_json::Value) -> serde_json::Value {
    let site = |region: &str| serde_json::json!({"name": region, "region": region, "failure_domain": region});
    let mut steering = serde_json::json!({
        "sites": [site(OWN_REGION), site("elsewhere"), site("third")],
        "blocks": [{"prefix": "127.0.0.0/8", "site": home_region}],
    });
    let fields = steering.as_object_mut().unwrap();
    fields.extend(caps.as_object().unwrap().clone());
    steering
}

fn set_steering(instance: &mut support::TestInstance, steering: serde_json::Value) {
    instance.edit(|tables| tables.steering = serde_json::from_value(steering).unwrap());
    let tables: sync::Arc<snapshot::TableSnapshot> =
        sync::Arc::clone(&instance.shared.tables.load().snapshot);
    let blocks = table::build_blocks(&tables);
    let view = sync::Arc::new(view::MemberView::default());
    let table = table::SteeringTable::new(&tables, blocks, view);
    instance.shared.steering.replace_table(sync::Arc::new(table));
}

/// Checks how many of several requests are served and that the others are refused and not run.
fn check_served(home_region: &str, caps: &serde_json::Value, expected: usize) {
    support::block_on(async {
        let server = backend::ScriptedServer::start(&[]).await;
        let mut instance = support::TestInstance::start(&[server.address], DEADLINE_MS).await;
        set_steering(&mut instance, steering_document(home_region, caps));
        let mut served_count = 0;
        for number in 0..REQUESTS {
            let response = instance.send("GET", "/open", &number.to_string(), "").await;
            match response.status {
                200 => served_count += 1,
                503 => {
                    assert_eq!(response.headers["marjoramwing-outcome"], "not-run");
                    assert!(response.headers.contains_key("retry-after"));
                }
                status => panic!("status {status}"),
            }
        }
        assert_eq!(served_count, expected);
        assert_eq!(server.runs().len(), expected, "a refused request ran");
    });
}

// At a rate of 0.001 per second the bucket gains no token while a case runs.
cases! { check_served:
    clients_of_the_own_region_have_no_cap => (OWN_REGION, &serde_json::json!({
        "headrooms": [{"region": OWN_REGION, "rate": 0.001, "burst": 1}]}), REQUESTS);
    cap_of_the_shift_holds => ("elsewhere", &serde_json::json!({
        "shifts": [{"from": "elsewhere", "to": OWN_REGION, "rate": 0.001, "burst": 3}]}), 3);
    cap_of_another_shift_does_not_matter => ("elsewhere", &serde_json::json!({
        "shifts": [{"from": "third", "to": OWN_REGION, "rate": 0.001, "burst": 1}]}), REQUESTS);
    headroom_of_the_region_holds => ("elsewhere", &serde_json::json!({
        "headrooms": [{"region": OWN_REGION, "rate": 0.001, "burst": 2}]}), 2);
    smaller_of_cap_and_headroom_holds => ("elsewhere", &serde_json::json!({
        "headrooms": [{"region": OWN_REGION, "rate": 0.001, "burst": 4}],
        "shifts": [{"from": "elsewhere", "to": OWN_REGION, "rate": 0.001, "burst": 2}]}), 2);
    without_caps_all_are_served => ("elsewhere", &serde_json::json!({}), REQUESTS);
}
