//! Hands received envelopes to those who wait for them.

use marjoramwing_configuration::keeper as configuration;
use marjoramwing_membership::keeper;
use marjoramwing_peer::message;
use marjoramwing_steering::report;
use tokio::sync::mpsc;

use crate::admission::driver;
use crate::peers::carrier;

/// Where each kind of envelope goes.
///
/// A full queue loses the envelope; the protocols above send again.
#[derive(Debug, Clone)]
pub struct InboxRoutes {
    /// Takes what concerns the members.
    pub membership: mpsc::Sender<keeper::MembershipEvent>,
    /// Takes what concerns the configuration.
    pub configuration: mpsc::Sender<configuration::ConfigurationEvent>,
    /// Takes what concerns traffic between regions.
    pub reports: mpsc::Sender<report::ReportEvent>,
    /// Takes what concerns limits.
    pub ledger: driver::LedgerDriver,
}

/// Routes received envelopes until the mesh ends.
pub async fn route_envelopes(
    mut received: mpsc::Receiver<carrier::ReceivedEnvelope>,
    routes: InboxRoutes,
) {
    while let Some(envelope) = received.recv().await {
        match envelope.body {
            // Both belong to the handshake; a proven link carries neither.
            message::Body::Hello(_) | message::Body::Proof(_) => {}
            message::Body::Membership(raw) => {
                let Some(address) = envelope.address else { continue };
                let Ok(message) = raw.try_into() else { continue };
                let from = envelope.from;
                let event = keeper::MembershipEvent::Received { from, address, message };
                let _ = routes.membership.try_send(event);
            }
            message::Body::Configuration(raw) => {
                let Some(address) = envelope.address else { continue };
                let Ok(message) = raw.try_into() else { continue };
                let event = configuration::ConfigurationEvent::Received { address, message };
                let _ = routes.configuration.try_send(event);
            }
            message::Body::Ledger(raw) => routes.ledger.receive(envelope.from, raw),
            message::Body::Demand(raw) => routes.ledger.receive_demand(envelope.from, raw),
            message::Body::Report(raw) => {
                let Ok(message) = raw.try_into() else { continue };
                let event = report::ReportEvent::Received { from: envelope.from, message };
                let _ = routes.reports.try_send(event);
            }
        }
    }
}
