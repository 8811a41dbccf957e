//! Publishes the instance's entry in the store so that other instances can discover it.

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

/// Initial and maximum delay before a failed call is retried.
const FIRST_RETRY_DELAY: time::Duration = time::Duration::from_millis(250);
const MAX_RETRY_DELAY: time::Duration = time::Duration::from_secs(4);
/// Maximum delay before the entry is written again in a new era of the store; instances share the
/// store's rate of writes.
const MAX_REWRITE_DELAY: time::Duration = time::Duration::from_secs(1);

/// Writes the instance's entry at the start, and again in each new era of the store, until the
/// task is cancelled.
///
/// A store that was restored from an older copy may lack the entry. The entry is only a discovery
/// hint; membership decides which instances are live.
///
/// # Panics
///
/// Panics if the entry cannot be serialized; it has only string keys, so it always can.
pub async fn announce(shared: sync::Arc<shared::InstanceState>, client: client::StoreClient) {
    let mut eras = shared.watch_store_era();
    loop {
        let mut written_in = *eras.borrow_and_update();
        write_entry(&shared, &client).await;
        // The first era that is known is the one of the first write.
        while written_in.is_none() || *eras.borrow() <= written_in {
            if eras.changed().await.is_err() {
                return;
            }
            written_in = written_in.or(*eras.borrow());
        }
        tokio::time::sleep(MAX_REWRITE_DELAY.mul_f64(rand::random_range(0.0..1.0))).await;
    }
}

/// Writes the instance's entry, replacing the one of an earlier incarnation; retries until the
/// store has accepted it.
///
/// An answer of an earlier era tells no revision that this write may rely on, so the first attempt
/// states none and the conflict answer does.
///
/// # Panics
///
/// Panics if the entry cannot be serialized; it has only string keys, so it always can.
async fn write_entry(shared: &shared::InstanceState, client: &client::StoreClient) {
    let name = object::ObjectName::new(
        object::ObjectKind::Instances,
        shared.settings.identity.name.as_str(),
    );
    let value = serde_json::to_vec(&own_entry(shared)).expect("an entry has only string keys");
    let value = bytes::Bytes::from(value);
    let mut expected = None;
    let mut retry_delay = FIRST_RETRY_DELAY;
    loop {
        let write =
            operation::ConditionalWrite { name: name.clone(), expected, value: value.clone() };
        match client.run(&operation::StoreOperation::Write(write)).await {
            operation::StoreAnswer::Written(version) => {
                emit!(catalogue::INSTANCE_ANNOUNCED, version = version.0);
                return;
            }
            operation::StoreAnswer::Conflict(current) if current != expected => {
                // The next attempt replaces the entry that the store holds.
                expected = current;
                continue;
            }
            answer => {
                emit!(catalogue::STORE_CALL_FAILED, kind = %name.kind, answer = ?answer);
            }
        }
        tokio::time::sleep(retry_delay.mul_f64(rand::random_range(0.75..1.25))).await;
        retry_delay = (retry_delay * 2).min(MAX_RETRY_DELAY);
    }
}

fn own_entry(shared: &shared::InstanceState) -> listing::ListedInstance {
    let profile = membership::own_profile(shared);
    listing::ListedInstance {
        name: profile.name,
        callers: profile.caller_address,
        peers: profile.peer_address,
        site: profile.site,
        region: profile.region,
        failure_domain: profile.failure_domain,
        state: listing::ListedState::Live,
    }
}
