//! Start and planned stop of an instance.

use std::net;
use std::sync;
use std::time;

use marjoramwing_events::catalogue;
use marjoramwing_events::emit;
use marjoramwing_ledger::action;
use marjoramwing_settings::settings;
use marjoramwing_store_client::client;
use tokio::signal::unix;
use tokio::sync::mpsc;
use tokio_util::sync as cancellation;

use crate::admin;
use crate::admission::carrier;
use crate::callers::server;
use crate::control;
use crate::inbox;
use crate::peers::mesh;
use crate::shared;

/// Longest wait for open requests at a planned stop.
const MAX_STOP_WAIT: time::Duration = time::Duration::from_secs(60);

/// Longest wait for the hand-over of limits; without it an heir takes over.
const MAX_HANDOVER_WAIT: time::Duration = time::Duration::from_secs(5);
const HANDOVER_POLL: time::Duration = time::Duration::from_millis(20);

/// Why an instance could not start.
#[derive(Debug, derive_more::Display, derive_more::Error)]
pub enum StartError {
    /// An address cannot be listened on.
    #[display(
        "cannot listen on {address} for {role} ({source}); free the port or change listen.{role}"
    )]
    Listen {
        /// What the port is for.
        role: &'static str,
        /// Address that was tried.
        address: net::SocketAddr,
        /// What the system said.
        source: std::io::Error,
    },
    /// Signals cannot be received.
    #[display("cannot receive signals ({_0}); check the process's limits")]
    Signal(#[error(not(source))] std::io::Error),
}

/// Runs an instance until a planned stop has finished.
///
/// # Errors
///
/// Returns an error when a port or a signal cannot be had.
pub async fn run_instance(settings: settings::InstanceSettings) -> Result<(), StartError> {
    let listen = settings.listen;
    let callers = bind("callers", listen.callers).await?;
    let peers = bind("peers", listen.peers).await?;
    let admin = bind("admin", listen.admin).await?;
    let mut signals = StopSignals::new()?;
    let shared = sync::Arc::new(shared::SharedTables::new(settings));
    emit!(catalogue::INSTANCE_STARTED, instance = %shared.settings.identity.name,
        callers = %listen.callers, peers = %listen.peers, admin = %listen.admin);
    let stop = cancellation::CancellationToken::new();
    let client =
        client::StoreClient::new(shared.settings.store.address, shared.settings.store.timeout);
    let follower = control::ConfigurationFollower::new(sync::Arc::clone(&shared), client.clone());
    tokio::spawn(follower.run());
    tokio::spawn(control::follow_listing(sync::Arc::clone(&shared), client.clone()));
    let (sender, received) = mpsc::channel(mesh::INBOX_QUEUE);
    let mesh = mesh::PeerMesh::new(sync::Arc::clone(&shared), sender);
    let carrier = carrier::ActionCarrier::new(sync::Arc::clone(&shared), mesh.clone(), client);
    if let Some(actions) = shared.admission.take_actions() {
        tokio::spawn(carrier.clone().run(actions));
    }
    tokio::spawn(mesh.accept_links(peers));
    tokio::spawn(inbox::route_envelopes(received, carrier));
    tokio::spawn(admin::serve_admin(sync::Arc::clone(&shared), admin, stop.clone()));
    let serving = server::serve_callers(sync::Arc::clone(&shared), callers, stop.clone());
    let serving = tokio::spawn(serving);
    signals.wait().await;
    emit!(catalogue::STOP_BEGAN, open = shared.metrics.open_requests.get());
    shared.leave();
    shared.admission.handle(action::LedgerEvent::Leave, shared.now());
    tokio::select! {
        () = finish_requests(&shared, serving, &stop) => {}
        () = signals.wait() => emit!(catalogue::STOP_FORCED),
    }
    Ok(())
}

async fn finish_requests(
    shared: &shared::SharedTables,
    serving: tokio::task::JoinHandle<()>,
    stop: &cancellation::CancellationToken,
) {
    let cached_lookups = shared.tables.load().snapshot.lookup_ttl;
    tokio::time::sleep(cached_lookups).await;
    stop.cancel();
    let finished = tokio::time::timeout(MAX_STOP_WAIT, serving).await;
    let _ = tokio::time::timeout(MAX_HANDOVER_WAIT, hand_over(shared)).await;
    match finished {
        Ok(_) => emit!(catalogue::STOP_FINISHED),
        Err(_) => {
            emit!(catalogue::STOP_TIMED_OUT, open = shared.metrics.open_requests.get());
        }
    }
}

/// Waits until the limits held here are free for another holder.
async fn hand_over(shared: &shared::SharedTables) {
    while !shared.admission.has_left() {
        tokio::time::sleep(HANDOVER_POLL).await;
    }
}

async fn bind(
    role: &'static str,
    address: net::SocketAddr,
) -> Result<tokio::net::TcpListener, StartError> {
    let bound = tokio::net::TcpListener::bind(address).await;
    bound.map_err(|source| StartError::Listen { role, address, source })
}

struct StopSignals {
    terminate: unix::Signal,
    interrupt: unix::Signal,
}

impl StopSignals {
    fn new() -> Result<Self, StartError> {
        let terminate = unix::signal(unix::SignalKind::terminate()).map_err(StartError::Signal)?;
        let interrupt = unix::signal(unix::SignalKind::interrupt()).map_err(StartError::Signal)?;
        Ok(Self { terminate, interrupt })
    }

    async fn wait(&mut self) {
        tokio::select! {
            _ = self.terminate.recv() => {}
            _ = self.interrupt.recv() => {}
        }
    }
}
