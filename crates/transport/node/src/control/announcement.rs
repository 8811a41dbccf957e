//! Writes the instance's own entry, so that others find it.

use std::sync;
use std::time;

use marjoramwing_events::catalogue;
use marjoramwing_events::emit;
use marjoramwing_object_api::listing;
use marjoramwing_objects::object;
use marjoramwing_objects::operation;
use marjoramwing_store_client::client;

use crate::control::membership;
use crate::shared;

/// Time after which a failed call is tried again, at first and at most.
const FIRST_RETRY: time::Duration = time::Duration::from_millis(250);
const MAX_RETRY: time::Duration = time::Duration::from_secs(4);

/// Writes the entry, whatever an earlier run of the instance left there.
///
/// The entry is only a hint where to look; membership decides who is there.
///
/// # Panics
///
/// Never: an entry has only text keys.
pub async fn announce(shared: sync::Arc<shared::SharedTables>, client: client::StoreClient) {
    let name = object::ObjectName::new(
        object::ObjectKind::Instances,
        shared.settings.identity.name.as_str(),
    );
    let value = serde_json::to_vec(&own_entry(&shared)).expect("an entry has only text keys");
    let value = bytes::Bytes::from(value);
    let mut expected = None;
    let mut retry = FIRST_RETRY;
    loop {
        let write =
            operation::ConditionalWrite { name: name.clone(), expected, value: value.clone() };
        match client.run(&operation::StoreOperation::Write(write)).await {
            operation::StoreAnswer::Written(version) => {
                emit!(catalogue::INSTANCE_ANNOUNCED, version = version.0);
                return;
            }
            operation::StoreAnswer::Conflict(current) if current != expected => {
                expected = current;
                continue;
            }
            answer => {
                emit!(catalogue::STORE_CALL_FAILED, kind = %name.kind, answer = ?answer);
            }
        }
        tokio::time::sleep(retry.mul_f64(rand::random_range(0.75..1.25))).await;
        retry = (retry * 2).min(MAX_RETRY);
    }
}

fn own_entry(shared: &shared::SharedTables) -> listing::ListedInstance {
    let profile = membership::own_profile(shared);
    listing::ListedInstance {
        name: profile.name,
        callers: profile.callers,
        peers: profile.peers,
        site: profile.site,
        region: profile.region,
        failure_domain: profile.failure_domain,
        state: listing::ListedState::Live,
    }
}
