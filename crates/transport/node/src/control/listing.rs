//! Polls the platform's list of instances and backend servers.
//!
//! Membership uses the listed instances only as a discovery hint.

use std::collections;
use std::net;
use std::sync;
use std::time;

use marjoramwing_membership::keeper;
use marjoramwing_object_api::listing;
use marjoramwing_settings::settings;
use marjoramwing_store_client::client;
use tokio::sync::mpsc;

use crate::shared;

/// Poll interval while no other instance is known.
const JOIN_PERIOD: time::Duration = time::Duration::from_secs(1);
/// Poll interval once other instances are known.
const LISTING_PERIOD: time::Duration = time::Duration::from_secs(3);

/// Poll interval where each read is charged for; members learn of new instances from peers.
const METERED_PERIOD: time::Duration = time::Duration::from_secs(20);
/// Poll interval there while no other instance is known, after the first two polls.
const METERED_JOIN_PERIOD: time::Duration = time::Duration::from_secs(3);

/// Polls the list until the task is cancelled.
///
/// Passes the addresses of instances to membership, their number to admission and the
/// leaving backend servers to dispatch.
pub async fn poll_listing(
    shared: sync::Arc<shared::InstanceState>,
    client: client::StoreClient,
    events: mpsc::Sender<keeper::MembershipEvent>,
) {
    let mut addresses = shared.settings.contacts.clone();
    for poll in 0_u32.. {
        if let Ok(list) = client.list_instances().await {
            shared.dispatch.set_leaving(leaving_servers(&list));
            shared.admission.set_listed_count(list.instances.len());
            let names = list.instances.iter().map(|listed| sync::Arc::clone(&listed.name));
            shared.dispatch.set_listed(names.collect());
            addresses.clone_from(&shared.settings.contacts);
            addresses.extend(list.instances.into_iter().map(|listed| listed.peers));
        }
        // After a failed call these are the addresses of the previous list.
        let listed = keeper::MembershipEvent::Listed(addresses.clone());
        if events.send(listed).await.is_err() {
            return;
        }
        let knows_others = shared.members.load().members.len() > 1;
        let is_metered = shared.settings.dialect == settings::InterfaceDialect::Platform;
        let period = match (knows_others, is_metered) {
            (false, true) if poll > 0 => METERED_JOIN_PERIOD,
            (false, _) => JOIN_PERIOD,
            (true, false) => LISTING_PERIOD,
            (true, true) => METERED_PERIOD,
        };
        tokio::time::sleep(period.mul_f64(rand::random_range(0.75..1.25))).await;
    }
}

/// Returns the backend servers that must receive no new requests.
fn leaving_servers(list: &listing::InstanceListing) -> collections::HashSet<net::SocketAddr> {
    let leaving =
        list.servers.iter().filter(|server| server.state == listing::ListedState::Leaving);
    leaving.map(|server| server.address).collect()
}
