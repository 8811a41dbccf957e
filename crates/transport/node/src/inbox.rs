//! Hands received envelopes to those who wait for them.

use marjoramwing_peer::message;
use tokio::sync::mpsc;

use crate::admission::carrier;
use crate::peers::mesh;

/// Routes received envelopes until the mesh ends.
pub async fn route_envelopes(
    mut received: mpsc::Receiver<mesh::ReceivedEnvelope>,
    carrier: carrier::ActionCarrier,
) {
    while let Some(envelope) = received.recv().await {
        match envelope.body {
            // Both belong to the handshake; a proven link carries neither.
            message::Body::Hello(_) | message::Body::Proof(_) => {}
            message::Body::Ledger(ledger) => {
                carrier.receive(envelope.from, envelope.address, ledger);
            }
        }
    }
}
