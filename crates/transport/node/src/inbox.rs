//! Routing of received envelopes to the protocols of the instance.

use std::sync;

use marjoramwing_configuration::keeper as configuration;
use marjoramwing_membership::keeper;
use marjoramwing_peer::message;
use marjoramwing_steering::report;
use tokio::sync::mpsc;

use crate::admission::driver;
use crate::control::limits;
use crate::control::quarantine;
use crate::control::watching;
use crate::peers::session;
use crate::shared;

/// Destination of each kind of envelope.
///
/// If a queue is full, the envelope is dropped; the protocols send again.
#[derive(Debug, Clone)]
pub struct InboxRoutes {
    /// Receives messages about membership.
    pub membership: mpsc::Sender<keeper::MembershipEvent>,
    /// Receives messages about the configuration.
    pub configuration: mpsc::Sender<configuration::ConfigurationEvent>,
    /// Receives reports on traffic between regions.
    pub reports: mpsc::Sender<report::ReportEvent>,
    /// Receives the limits that backend servers name, and the requests that end servers.
    pub shared: sync::Arc<shared::InstanceState>,
    /// Receives messages about limits.
    pub ledger: driver::LedgerDriver,
    /// Receives reports of what the store has confirmed.
    pub watches: sync::Arc<watching::WatchControl>,
}

/// Routes received envelopes until the channel of the mesh is closed.
pub async fn route_envelopes(
    mut received: mpsc::Receiver<session::ReceivedEnvelope>,
    routes: InboxRoutes,
) {
    while let Some(envelope) = received.recv().await {
        match envelope.body {
            // Not expected on a link that carries messages.
            message::Body::Hello(_)
            | message::Body::Proof(_)
            | message::Body::RelayRequest(_)
            | message::Body::RelayResult(_) => {}
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
            message::Body::Coverage(raw) => routes.watches.receive(raw),
            message::Body::Limits(raw) => limits::receive_limits(&routes.shared, raw),
            message::Body::Quarantine(raw) => quarantine::receive_suspects(&routes.shared, raw),
            message::Body::Report(raw) => {
                let Ok(message) = raw.try_into() else { continue };
                let event = report::ReportEvent::Received { from: envelope.from, message };
                let _ = routes.reports.try_send(event);
            }
        }
    }
}
