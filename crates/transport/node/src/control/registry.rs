//! Watches the registrations of backend servers and the drained failure domains.

use std::sync;
use std::time;

use marjoramwing_events::catalogue;
use marjoramwing_events::emit;
use marjoramwing_object_api::call;
use marjoramwing_objects::object;
use marjoramwing_objects::operation;
use marjoramwing_objects::position;
use marjoramwing_registry::change;
use marjoramwing_registry::registry;
use marjoramwing_store_client::client;
use tokio::sync::mpsc;

use crate::control::pause;
use crate::control::watching;
use crate::shared;

/// Long-poll timeout of a watch.
const WATCH_WAIT: time::Duration = time::Duration::from_secs(28);
/// Initial and maximum delay before a failed call is retried.
const FIRST_RETRY_DELAY: time::Duration = time::Duration::from_millis(250);
const MAX_RETRY_DELAY: time::Duration = time::Duration::from_millis(500);
/// Interval at which the registry expires servers that have not returned in time.
const TICK_PERIOD: time::Duration = time::Duration::from_millis(200);
/// Capacity of the registry's event queue.
const EVENT_QUEUE: usize = 64;

/// Applies registration and drain changes until the task is cancelled.
pub async fn watch_registry(
    shared: sync::Arc<shared::InstanceState>,
    watches: sync::Arc<watching::WatchControl>,
) {
    let (sender, mut events) = mpsc::channel(EVENT_QUEUE);
    for kind in [object::ObjectKind::Servers, object::ObjectKind::Drains] {
        let shared = sync::Arc::clone(&shared);
        tokio::spawn(watch_kind(kind, shared, sync::Arc::clone(&watches), sender.clone()));
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
        if matches!(event, registry::RegistryEvent::Tick) {
            publish_ages(&shared, &watches);
        }
        let changes = registry.handle(event, shared.now());
        if changes.is_empty() {
            continue;
        }
        shared.dispatch.set_registered(registry.view());
        let position = registry.position();
        changes.iter().for_each(|change| log_change(change, position.revision));
    }
}

/// Publishes how long ago the store has confirmed what is known of each watched kind.
fn publish_ages(shared: &shared::InstanceState, watches: &watching::WatchControl) {
    let now = shared.now();
    for kind in
        [object::ObjectKind::Tables, object::ObjectKind::Servers, object::ObjectKind::Drains]
    {
        let age_ms = watches.confirmed_at(kind).map(|at| now.since(at).as_millis());
        let age_ms = age_ms.map_or(-1, |age| i64::try_from(age).unwrap_or(i64::MAX));
        shared.metrics.watch_age_ms.with_label_values(&[&kind.to_string()]).set(age_ms);
    }
}

/// Watches one kind of object and sends each answer to the registry.
async fn watch_kind(
    kind: object::ObjectKind,
    shared: sync::Arc<shared::InstanceState>,
    watches: sync::Arc<watching::WatchControl>,
    events: mpsc::Sender<registry::RegistryEvent>,
) {
    // Position of the last answer; the start if all objects of the kind have to be listed.
    let mut after = position::StorePosition::default();
    let mut retry_delay = FIRST_RETRY_DELAY;
    let mut pause = pause::WatchPause::new(shared.now());
    // The first list may be old: the watch that follows returns what has changed since.
    let mut freshness = call::ListFreshness::MayBeOld;
    loop {
        let sent_at = shared.now();
        // After a failure the watch returns at once, so that the store's recovery is noticed
        // even if nothing has changed.
        let has_failed = retry_delay != FIRST_RETRY_DELAY;
        let wait = if has_failed { time::Duration::ZERO } else { WATCH_WAIT };
        let request = operation::WatchRequest { kind, after, wait };
        let answer = match after.is_start() {
            true => watches.list(kind, freshness).await,
            false => watches.watch(&request).await,
        };
        let event = match answer {
            Ok(answer) => {
                log_answer(kind, &answer, shared.now().since(sent_at));
                shared.record_store_era(answer.position.era);
                after = answer.position;
                // 0 would list all objects again.
                after.revision = after.revision.max(1);
                retry_delay = FIRST_RETRY_DELAY;
                match kind {
                    object::ObjectKind::Drains => registry::RegistryEvent::Drains(answer),
                    _ => registry::RegistryEvent::Servers(answer),
                }
            }
            Err(client::StoreError::HistoryGone { .. }) => {
                // The store no longer has all changes since `after`.
                after = position::StorePosition::default();
                if events.send(registry::RegistryEvent::Answered).await.is_err() {
                    return;
                }
                continue;
            }
            Err(error) => {
                emit!(catalogue::STORE_CALL_FAILED, kind = %kind, after = %after, error = %error);
                tokio::time::sleep(retry_delay.mul_f64(rand::random_range(0.75..1.25))).await;
                retry_delay = (retry_delay * 2).min(MAX_RETRY_DELAY);
                // Only the watch of the servers reports failures to the registry.
                if kind != object::ObjectKind::Servers {
                    continue;
                }
                if let Some(at) = watches.confirmed_at(kind) {
                    let confirmed = registry::RegistryEvent::Confirmed(at);
                    if events.send(confirmed).await.is_err() {
                        return;
                    }
                }
                registry::RegistryEvent::Failed(sent_at)
            }
        };
        if events.send(event).await.is_err() {
            return;
        }
        if freshness == call::ListFreshness::MayBeOld {
            freshness = call::ListFreshness::Current;
            continue;
        }
        let now = shared.now();
        tokio::time::sleep(pause.next(now.since(sent_at), now)).await;
    }
}

fn log_answer(kind: object::ObjectKind, answer: &operation::WatchAnswer, waited: time::Duration) {
    if !answer.changes.is_empty() {
        emit!(catalogue::STORE_CHANGES_RECEIVED, kind = %kind, position = %answer.position,
            changes = answer.changes.len(), waited_ms = waited.as_millis());
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
        change::RegistryChange::DomainMissing(domain) => {
            emit!(catalogue::DOMAIN_MISSING, domain = %domain, revision);
        }
        change::RegistryChange::Outdated(server) => {
            emit!(catalogue::SERVER_OUTDATED, server = %server, revision);
        }
    }
}
