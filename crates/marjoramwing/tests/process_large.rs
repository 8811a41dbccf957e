//! Instances run as processes under configurations as large as the store takes.

use std::path;

use marjoramwing_platform_standin::fleet;
use marjoramwing_platform_standin::operator;
use marjoramwing_platform_standin::proxy;
use marjoramwing_standins::fleet as standins_fleet;

const BINARY: &str = env!("CARGO_BIN_EXE_marjoramwing");
const INSTANCES: usize = 3;
const SERVERS_EACH: usize = 2;
/// Largest value of the store.
const VALUE_BYTES: usize = 1 << 20;
/// Number of keys that nearly fill a value.
const KEYS: usize = 40_000;

fn key(number: usize) -> String {
    format!("large-key-number-{number:05}")
}

/// Guards against tables that are larger than a message between instances. The link that is to
/// carry them closes, and an instance without the store never gets them.
#[tokio::test(flavor = "multi_thread")]
async fn tables_larger_than_a_message_reach_an_instance_without_the_store() {
    let path = path::Path::new(BINARY);
    let mut fleet = fleet::PlatformFleet::start(path, INSTANCES, SERVERS_EACH).await;
    fleet.instances[0].store_link.set_fault(proxy::LinkFault::Silent);
    fleet.configure_edited(|resources| {
        let keys: Vec<_> = (0..KEYS).map(key).collect();
        resources.push(operator::team_with_keys("large", &keys));
        let bytes = serde_json::to_vec(resources).unwrap().len();
        assert!(bytes < VALUE_BYTES && bytes * 10 > VALUE_BYTES * 9, "{bytes} bytes");
    });
    for number in [0, KEYS - 1] {
        for index in 0..INSTANCES {
            standins_fleet::wait_until("the version is in force", async || {
                let outcome = fleet.probe(index, operator::READ_PATH, Some(&key(number))).await;
                outcome.status == Some(200)
            })
            .await;
        }
    }
}
