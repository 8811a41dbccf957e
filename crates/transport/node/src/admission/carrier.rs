//! Carries out what the ledger asks for.

use std::sync;

use marjoramwing_entity::incarnation;
use marjoramwing_ledger::action;
use marjoramwing_ledger::ledger;
use marjoramwing_objects::operation;
use marjoramwing_peer::ledger as wire;
use marjoramwing_peer::message;
use marjoramwing_store_client::client;

use crate::admission::control;
use crate::admission::members;
use crate::peers::mesh;
use crate::shared;

/// Carries out the ledger's actions and tells it the time.
#[derive(Debug, Clone)]
pub struct ActionCarrier {
    shared: sync::Arc<shared::SharedTables>,
    mesh: mesh::PeerMesh,
    client: client::StoreClient,
    peers: sync::Arc<members::PeerDirectory>,
}

impl ActionCarrier {
    /// Makes a carrier.
    #[must_use]
    pub fn new(
        shared: sync::Arc<shared::SharedTables>,
        mesh: mesh::PeerMesh,
        client: client::StoreClient,
    ) -> Self {
        Self { shared, mesh, client, peers: sync::Arc::default() }
    }

    /// Carries out actions until the process ends.
    pub async fn run(self, mut actions: control::ActionReceiver) {
        let mut ticks = tokio::time::interval(ledger::TICK_PERIOD);
        ticks.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Skip);
        let mut refreshes = tokio::time::interval(members::REFRESH_PERIOD);
        loop {
            tokio::select! {
                action = actions.recv() => {
                    let Some(action) = action else { return };
                    self.carry(action);
                }
                _ = ticks.tick() => self.handle(action::LedgerEvent::Tick),
                _ = refreshes.tick() => self.refresh_members(),
            }
        }
    }

    /// Takes in a peer's message.
    pub fn receive(
        &self,
        from: incarnation::Incarnation,
        address: Option<std::net::SocketAddr>,
        envelope: wire::LedgerEnvelope,
    ) {
        self.peers.learn(from, address);
        let Ok(message) = envelope.try_into() else { return };
        self.handle(action::LedgerEvent::Received { from, message });
    }

    fn carry(&self, action: action::LedgerAction) {
        match action {
            action::LedgerAction::Send { to, message } => {
                if let Some(address) = self.peers.address(to) {
                    let envelope = wire::LedgerEnvelope::from(&message);
                    self.mesh.send(address, message::Body::Ledger(envelope));
                }
            }
            action::LedgerAction::Store(operation) => self.operate(operation),
            // The admission control settles tickets itself.
            action::LedgerAction::Settle { .. } => {}
        }
    }

    fn operate(&self, operation: operation::StoreOperation) {
        let carrier = self.clone();
        tokio::spawn(async move {
            let answer = carrier.client.run(&operation).await;
            let name = operation.object().clone();
            carrier.handle(action::LedgerEvent::Stored { name, answer });
        });
    }

    fn refresh_members(&self) {
        let view = self.shared.members.load_full();
        let own = self.shared.settings.identity.name.as_str();
        let others = view.members.iter().filter(|member| *member.name != *own);
        let changes = self.peers.refresh(others);
        for event in changes.events {
            self.handle(event);
        }
        for address in changes.unknown {
            // An empty question makes both ends known to each other.
            let find = marjoramwing_ledger::message::LedgerMessage::Find(Vec::new());
            let envelope = wire::LedgerEnvelope::from(&find);
            self.mesh.send(address, message::Body::Ledger(envelope));
        }
    }

    fn handle(&self, event: action::LedgerEvent) {
        self.shared.admission.handle(event, self.shared.now());
    }
}
