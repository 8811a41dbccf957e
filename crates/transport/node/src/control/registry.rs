//! Follows the registrations of backend servers and the drained failure domains.

use std::sync;
use std::time;

use marjoramwing_events::catalogue;
use marjoramwing_events::emit;
use marjoramwing_objects::object;
use marjoramwing_objects::operation;
use marjoramwing_registry::change;
use marjoramwing_registry::registry;
use marjoramwing_store_client::client;
use tokio::sync::mpsc;

use crate::shared;

/// Longest wait of one watch.
const WATCH_WAIT: time::Duration = time::Duration::from_secs(15);
/// Time after which a failed call is tried again, at first and at most.
const FIRST_RETRY: time::Duration = time::Duration::from_millis(250);
const MAX_RETRY: time::Duration = time::Duration::from_millis(500);
/// Time between two looks for servers whose time to return has passed.
const TICK_PERIOD: time::Duration = time::Duration::from_millis(200);
/// Pause between two watches, so that changes close together cost one call.
const WATCH_PAUSE: time::Duration = time::Duration::from_millis(400);
/// Answers that wait for the registry.
const EVENT_QUEUE: usize = 64;

/// Follows registrations until the task is cancelled.
pub async fn follow_registry(shared: sync::Arc<shared::SharedTables>, client: client::StoreClient) {
    let (sender, mut events) = mpsc::channel(EVENT_QUEUE);
    for kind in [object::ObjectKind::Servers, object::ObjectKind::Drains] {
        let shared = sync::Arc::clone(&shared);
        tokio::spawn(follow_kind(kind, shared, client.clone(), sender.clone()));
    }
    let mut registry = registry::ServerRegistry::default();
    let mut ticks = tokio::time::interval(TICK_PERIOD);
    ticks.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
    loop {
        let event = tokio::select! {
            event = events.recv() => event,
            _ = ticks.tick() => Some(registry::RegistryEvent::Tick),
        };
        let Some(event) = event else { return };
        let changes = registry.handle(event, shared.now());
        if changes.is_empty() {
            continue;
        }
        shared.dispatch.set_registered(registry.view());
        changes.iter().for_each(|change| log_change(change, registry.revision()));
    }
}

/// Watches one kind of object and passes on every answer.
async fn follow_kind(
    kind: object::ObjectKind,
    shared: sync::Arc<shared::SharedTables>,
    client: client::StoreClient,
    events: mpsc::Sender<registry::RegistryEvent>,
) {
    let mut after = 0;
    let mut retry = FIRST_RETRY;
    loop {
        let sent_at = shared.now();
        // After a failure the store's return is to be seen before anything changes.
        let has_failed = retry != FIRST_RETRY;
        let wait = if has_failed { time::Duration::ZERO } else { WATCH_WAIT };
        let request = operation::WatchRequest { kind, after, wait };
        let answer = match after {
            0 => client.list(kind).await,
            _ => client.watch_changes(&request).await,
        };
        let event = match answer {
            Ok(answer) => {
                after = answer.revision.max(1);
                retry = FIRST_RETRY;
                match kind {
                    object::ObjectKind::Drains => registry::RegistryEvent::Drains(answer),
                    _ => registry::RegistryEvent::Servers(answer),
                }
            }
            Err(client::StoreError::HistoryGone { .. }) => {
                after = 0;
                if events.send(registry::RegistryEvent::Answered).await.is_err() {
                    return;
                }
                continue;
            }
            Err(error) => {
                emit!(catalogue::STORE_CALL_FAILED, kind = %kind, after, error = %error);
                tokio::time::sleep(retry.mul_f64(rand::random_range(0.75..1.25))).await;
                retry = (retry * 2).min(MAX_RETRY);
                if kind != object::ObjectKind::Servers {
                    continue;
                }
                registry::RegistryEvent::Failed(sent_at)
            }
        };
        if events.send(event).await.is_err() {
            return;
        }
        tokio::time::sleep(WATCH_PAUSE).await;
    }
}

fn log_change(change: &change::RegistryChange, revision: u64) {
    match change {
        change::RegistryChange::Joined(server) => {
            emit!(catalogue::SERVER_JOINED, server = %server, revision);
        }
        change::RegistryChange::Draining(server) => {
            emit!(catalogue::SERVER_DRAINING, server = %server, revision);
        }
        change::RegistryChange::Left(server) => {
            emit!(catalogue::SERVER_LEFT, server = %server, revision);
        }
        change::RegistryChange::Missing(server) => {
            emit!(catalogue::SERVER_MISSING, server = %server, revision);
        }
        change::RegistryChange::Updated(server) => {
            emit!(catalogue::SERVER_UPDATED, server = %server, revision);
        }
        change::RegistryChange::Faulty(server, reason) => {
            emit!(catalogue::SERVER_FAULTY, server = %server, revision, reason = %reason);
        }
        change::RegistryChange::DomainDrained(domain) => {
            emit!(catalogue::DOMAIN_DRAINED, domain = %domain, revision);
        }
        change::RegistryChange::DomainRestored(domain) => {
            emit!(catalogue::DOMAIN_RESTORED, domain = %domain, revision);
        }
    }
}
