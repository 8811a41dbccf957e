//! Carries out what the ledger asks for.

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

/// Carries out the ledger's actions and tells it of time, members and messages.
#[derive(Debug, Clone)]
pub struct LedgerDriver {
    shared: sync::Arc<shared::SharedTables>,
    mesh: mesh::PeerMesh,
    client: client::StoreClient,
}

impl LedgerDriver {
    /// Makes a driver.
    #[must_use]
    pub const fn new(
        shared: sync::Arc<shared::SharedTables>,
        mesh: mesh::PeerMesh,
        client: client::StoreClient,
    ) -> Self {
        Self { shared, mesh, client }
    }

    /// Carries out actions until the process ends.
    pub async fn run(self, mut actions: control::ActionReceiver) {
        let mut ticks = tokio::time::interval(ledger::TICK_PERIOD);
        ticks.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Skip);
        let mut watch = members::MemberWatch::new(self.shared.incarnation);
        let mut view = sync::Arc::default();
        loop {
            tokio::select! {
                action = actions.recv() => {
                    let Some(action) = action else { return };
                    self.carry(action);
                }
                _ = ticks.tick() => {
                    let current = self.shared.members.load_full();
                    if !sync::Arc::ptr_eq(&current, &view) {
                        watch.compare(&current).into_iter().for_each(|event| self.handle(event));
                        view = current;
                    }
                    self.handle(action::LedgerEvent::Tick);
                }
            }
        }
    }

    /// Takes in a peer's message; one that cannot be read is dropped.
    pub fn receive(&self, from: incarnation::Incarnation, envelope: wire::LedgerEnvelope) {
        let Ok(message) = envelope.try_into() else { return };
        self.handle(action::LedgerEvent::Received { from, message });
    }

    /// Takes in the demand that a peer sees.
    pub fn receive_demand(&self, from: incarnation::Incarnation, raw: demand::Demand) {
        self.shared.admission.receive_demand(from, raw.into(), self.shared.now());
    }

    fn carry(&self, action: action::LedgerAction) {
        match action {
            action::LedgerAction::Send { to, message } => {
                if let Some(member) = self.shared.members.load().by_incarnation(to) {
                    let envelope = wire::LedgerEnvelope::from(&message);
                    self.mesh.send(member.peers, message::Body::Ledger(envelope));
                }
            }
            action::LedgerAction::Store(operation) => self.operate(operation),
            // The admission control settles tickets itself.
            action::LedgerAction::Resolve { .. } => {}
        }
    }

    fn operate(&self, operation: operation::StoreOperation) {
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
