//! Watches of the store that are checked while they are silent.
//!
//! The store may lose the answer to a watch and keep its connection open. While a watch is open, a
//! further call asks for the same changes whenever [`monitor::WatchMonitor`] says so; the result is
//! reported to the other instances.

use std::sync;
use std::time;

use marjoramwing_entity::time as entity_time;
use marjoramwing_events::catalogue;
use marjoramwing_events::emit;
use marjoramwing_object_api::call;
use marjoramwing_objects::object;
use marjoramwing_objects::operation;
use marjoramwing_peer::coverage;
use marjoramwing_peer::message;
use marjoramwing_store_client::client;
use marjoramwing_watches::monitor;
use tokio::sync::Notify;

use crate::peers::mesh;
use crate::shared;

/// Time limit of a check.
const CHECK_TIMEOUT: time::Duration = time::Duration::from_millis(500);

/// The watches of one instance, and what is known of their kinds.
#[derive(Debug)]
pub struct WatchControl {
    shared: sync::Arc<shared::InstanceState>,
    mesh: mesh::PeerMesh,
    client: client::StoreClient,
    monitor: sync::Mutex<monitor::WatchMonitor>,
    /// Notified when a report of another instance may have changed the time of a check.
    reported: Notify,
}

type WatchResult = Result<operation::WatchAnswer, client::StoreError>;

impl WatchControl {
    /// Creates a control without watches.
    #[must_use]
    pub fn new(
        shared: sync::Arc<shared::InstanceState>,
        mesh: mesh::PeerMesh,
        client: client::StoreClient,
    ) -> Self {
        let monitor = sync::Mutex::default();
        Self { shared, mesh, client, monitor, reported: Notify::new() }
    }

    /// Returns the client of the store.
    #[must_use]
    pub const fn client(&self) -> &client::StoreClient {
        &self.client
    }

    /// Reads all objects of a kind.
    ///
    /// # Errors
    ///
    /// Returns an error under the conditions of [`client::StoreClient::list`].
    pub async fn list(
        &self,
        kind: object::ObjectKind,
        freshness: call::ListFreshness,
    ) -> WatchResult {
        let answer = self.client.list(kind, freshness).await?;
        self.lock().record_answer(kind, &answer, self.shared.now());
        Ok(answer)
    }

    /// Waits for changes of one kind of object, or lists all objects if the changes are not known.
    ///
    /// # Errors
    ///
    /// Returns an error under the conditions of [`client::StoreClient::watch`].
    pub async fn watch_or_list(&self, request: &operation::WatchRequest) -> WatchResult {
        if request.after.is_start() || request.wait <= monitor::CHECK_INTERVAL * 2 {
            let answer = self.client.watch(request).await?;
            self.lock().record_answer(request.kind, &answer, self.shared.now());
            return Ok(answer);
        }
        match self.watch(request).await {
            Err(client::StoreError::HistoryGone { .. }) => {
                self.list(request.kind, call::ListFreshness::Current).await
            }
            answer => answer,
        }
    }

    /// Waits for changes of one kind of object; if the watch misses one, a check returns it.
    ///
    /// # Errors
    ///
    /// Returns an error under the conditions of [`client::StoreClient::watch_changes`], or if a
    /// check fails.
    pub async fn watch(&self, request: &operation::WatchRequest) -> WatchResult {
        let kind = request.kind;
        let opened_at = self.shared.now();
        let watch = self.client.watch_changes(request);
        tokio::pin!(watch);
        loop {
            let checked = async {
                self.wait_for_check(kind).await;
                self.check(request).await
            };
            let checked = tokio::select! {
                biased;
                answer = &mut watch => {
                    let answer = answer?;
                    self.lock().record_answer(kind, &answer, self.shared.now());
                    return Ok(answer);
                }
                checked = checked => checked?,
            };
            self.report(kind);
            if !checked.changes.is_empty() {
                let open_ms = self.shared.now().since(opened_at).as_millis();
                emit!(catalogue::STORE_WATCH_HUNG, kind = %kind, position = %checked.position, open_ms);
                return Ok(checked);
            }
        }
    }

    /// Returns the last time at which the store is known to have answered about a kind.
    #[must_use]
    pub fn confirmed_at(&self, kind: object::ObjectKind) -> Option<entity_time::Timestamp> {
        self.lock().confirmed_at(kind)
    }

    /// Records the report of another instance; drops one that cannot be decoded.
    pub fn receive(&self, raw: coverage::Coverage) {
        let Ok(received) = coverage::KindReport::try_from(raw) else { return };
        self.lock().record_report(received.kind, received.report, self.shared.now());
        self.reported.notify_waiters();
    }

    /// Asks for the changes that an open watch should have returned.
    async fn check(&self, request: &operation::WatchRequest) -> WatchResult {
        let known = self.lock().position(request.kind).unwrap_or_default();
        let after = request.after.max(known);
        let check =
            operation::WatchRequest { kind: request.kind, after, wait: time::Duration::ZERO };
        let sent_at = self.shared.now();
        // The timeout of a call is too long: other instances wait for the result of this one.
        let answer = tokio::time::timeout(CHECK_TIMEOUT, self.client.watch_changes(&check)).await;
        let answer = answer.unwrap_or_else(|_| Err(self.client.no_response()))?;
        self.lock().record_answer(request.kind, &answer, sent_at);
        Ok(answer)
    }

    /// Waits until the open watch of a kind is to be checked.
    async fn wait_for_check(&self, kind: object::ObjectKind) {
        loop {
            let reported = self.reported.notified();
            let now = self.shared.now();
            let due_at = self.lock().check_at(kind, self.rank(kind));
            let due_at = due_at.unwrap_or(entity_time::Timestamp::NEVER);
            if due_at <= now {
                return;
            }
            // A changed rank is noticed at the next report or at the time that was due.
            tokio::select! {
                () = tokio::time::sleep(due_at.since(now).min(monitor::CHECK_INTERVAL)) => {}
                () = reported => {}
            }
        }
    }

    fn rank(&self, kind: object::ObjectKind) -> usize {
        let members = self.shared.members.load();
        let names = members.live().map(|member| &member.name);
        monitor::rank_of(kind, self.shared.settings.identity.name.as_str(), names)
    }

    /// Reports to all other instances what is known of a kind.
    fn report(&self, kind: object::ObjectKind) {
        let Some(report) = self.lock().report(kind, self.shared.now()) else { return };
        let raw = coverage::Coverage::from(coverage::KindReport { kind, report });
        self.mesh.send_to_others(&message::Body::Coverage(raw));
    }

    fn lock(&self) -> sync::MutexGuard<'_, monitor::WatchMonitor> {
        self.monitor.lock().expect("no task panics while it holds the monitor")
    }
}
