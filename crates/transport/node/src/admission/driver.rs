//! Executes the ledger's actions and feeds it events.

use std::sync;

use marjoramwing_entity::incarnation;
use marjoramwing_ledger::action;
use marjoramwing_ledger::ledger;
use marjoramwing_objects::operation;
use marjoramwing_peer::demand;
use marjoramwing_peer::ledger as wire;
use marjoramwing_peer::message;
use marjoramwing_store_client::client;

use crate::admission::control;
use crate::admission::members;
use crate::peers::mesh;
use crate::shared;

/// Executes the ledger's actions and passes it ticks, member changes and messages.
#[derive(Debug, Clone)]
pub struct LedgerDriver {
    shared: sync::Arc<shared::InstanceState>,
    mesh: mesh::PeerMesh,
    client: client::StoreClient,
}

impl LedgerDriver {
    /// Creates a driver that sends through `mesh` and stores through `client`.
    #[must_use]
    pub const fn new(
        shared: sync::Arc<shared::InstanceState>,
        mesh: mesh::PeerMesh,
        client: client::StoreClient,
    ) -> Self {
        Self { shared, mesh, client }
    }

    /// Executes actions until the process ends.
    pub async fn run(self, mut actions: control::ActionReceiver) {
        let mut ticks = tokio::time::interval(ledger::TICK_PERIOD);
        ticks.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Skip);
        let mut tracker = members::MemberTracker::new(self.shared.incarnation);
        let mut view = sync::Arc::default();
        loop {
            tokio::select! {
                action = actions.recv() => {
                    let Some(action) = action else { return };
                    self.execute(action);
                }
                _ = ticks.tick() => {
                    let current = self.shared.members.load_full();
                    if !sync::Arc::ptr_eq(&current, &view) {
                        tracker.update(&current).into_iter().for_each(|event| self.handle(event));
                        view = current;
                    }
                    self.handle(action::LedgerEvent::Tick);
                }
            }
        }
    }

    /// Handles a peer's message; drops one that cannot be decoded.
    pub fn receive(&self, from: incarnation::Incarnation, envelope: wire::LedgerEnvelope) {
        let Ok(message) = envelope.try_into() else { return };
        self.handle(action::LedgerEvent::Received { from, message });
    }

    /// Records the demand that a peer reports.
    pub fn receive_demand(&self, from: incarnation::Incarnation, raw: demand::Demand) {
        self.shared.admission.receive_demand(from, raw.into(), self.shared.now());
    }

    fn execute(&self, action: action::LedgerAction) {
        match action {
            action::LedgerAction::Send { to, message } => {
                if let Some(member) = self.shared.members.load().by_incarnation(to) {
                    let envelope = wire::LedgerEnvelope::from(&message);
                    self.mesh.send(member.peer_address, message::Body::Ledger(envelope));
                }
            }
            action::LedgerAction::Store(operation) => self.run_operation(operation),
            // `AdmissionControl` resolves tickets itself.
            action::LedgerAction::Resolve { .. } => {}
        }
    }

    fn run_operation(&self, operation: operation::StoreOperation) {
        let driver = self.clone();
        tokio::spawn(async move {
            let answer = driver.client.run(&operation).await;
            let name = operation.object().clone();
            driver.handle(action::LedgerEvent::StoreAnswered { name, answer });
        });
    }

    fn handle(&self, event: action::LedgerEvent) {
        self.shared.admission.handle(event, self.shared.now());
    }
}
