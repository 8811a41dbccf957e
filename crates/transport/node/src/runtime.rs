//! Start and planned stop of an instance.

use std::net;
use std::sync;
use std::time;

use marjoramwing_derives as derives;
use marjoramwing_events::catalogue;
use marjoramwing_events::emit;
use marjoramwing_ledger::action;
use marjoramwing_membership::farewell;
use marjoramwing_membership::keeper;
use marjoramwing_settings::settings;
use marjoramwing_store_client::client;
use tokio::signal::unix;
use tokio::sync::mpsc;
use tokio_util::sync as cancellation;

use crate::admin;
use crate::admission::driver as ledger_driver;
use crate::callers::server;
use crate::control::configuration;
use crate::control::listing;
use crate::control::membership;
use crate::inbox;
use crate::peers::carrier;
use crate::peers::mesh;
use crate::shared;
use crate::steering::driver as steering_driver;

/// Time given to the last messages to peers before the process ends.
const FAREWELL_WAIT: time::Duration = time::Duration::from_millis(200);
/// Longest wait for the hand-over of limits: a loan, its margin and the release.
///
/// Without it an heir takes over, if it has not been replaced as well.
const MAX_HANDOVER_WAIT: time::Duration = time::Duration::from_secs(15);
const HANDOVER_POLL: time::Duration = time::Duration::from_millis(20);

/// Why an instance could not start.
#[derive(Debug, derive_more::Display, derive_more::Error)]
pub enum StartError {
    /// Addresses cannot be listened on.
    #[display("{}", join_faults(_0))]
    Listen(#[error(not(source))] Vec<ListenFault>),
    /// Signals cannot be received.
    #[display("cannot receive signals ({_0}); check the process's limits")]
    Signal(#[error(not(source))] std::io::Error),
}

/// An address that cannot be listened on.
#[derive(Debug, derive_more::Display)]
#[display(
    "listen.{role}: cannot listen on {address} ({reason}); free the port or change the setting"
)]
pub struct ListenFault {
    /// What the port is for.
    pub role: &'static str,
    /// Address that was tried.
    pub address: net::SocketAddr,
    /// What the system said.
    pub reason: std::io::Error,
}

fn join_faults(faults: &[ListenFault]) -> String {
    let texts: Vec<_> = faults.iter().map(ToString::to_string).collect();
    texts.join("\n")
}

/// How a stop ended.
#[derives::value]
pub enum StopOutcome {
    /// Every open request was finished.
    Finished,
    /// Requests were still open at a second signal or the longest wait's end.
    Cut,
}

/// Runs an instance until a planned stop has finished.
///
/// # Errors
///
/// Returns every port that cannot be had, or that signals cannot be received.
pub async fn run_instance(
    mut settings: settings::InstanceSettings,
) -> Result<StopOutcome, StartError> {
    let (callers, peers, admin) = bind_all(settings.listen).await?;
    let mut signals = StopSignals::new()?;
    // A port 0 of the settings becomes the port that was given.
    let listen = settings::ListenAddresses {
        callers: callers.local_addr().unwrap_or(settings.listen.callers),
        peers: peers.local_addr().unwrap_or(settings.listen.peers),
        admin: admin.local_addr().unwrap_or(settings.listen.admin),
    };
    settings.listen = listen;
    let shared = sync::Arc::new(shared::SharedTables::new(settings));
    emit!(catalogue::INSTANCE_STARTED, instance = %shared.settings.identity.name,
        callers = %listen.callers, peers = %listen.peers, admin = %listen.admin);
    let stop = cancellation::CancellationToken::new();
    let (sender, received) = mpsc::channel(mesh::INBOX_QUEUE);
    let mesh = mesh::PeerMesh::new(sync::Arc::clone(&shared), sender);
    let membership = start_control(&shared, &mesh, received);
    tokio::spawn(mesh.accept_links(peers));
    let ended = cancellation::CancellationToken::new();
    tokio::spawn(admin::serve_admin(sync::Arc::clone(&shared), admin, ended.clone()));
    let serving = server::serve_callers(sync::Arc::clone(&shared), callers, stop.clone());
    let serving = tokio::spawn(serving);
    signals.wait().await;
    emit!(catalogue::STOP_BEGAN, open = shared.metrics.open_requests.get());
    shared.leave();
    shared.admission.handle(action::LedgerEvent::Leave, shared.now());
    let _ = membership.send(keeper::MembershipEvent::Leave).await;
    let outcome = tokio::select! {
        outcome = finish_requests(&shared, serving, &stop) => outcome,
        () = signals.wait() => {
            emit!(catalogue::STOP_FORCED);
            StopOutcome::Cut
        }
    };
    ended.cancel();
    if membership.send(keeper::MembershipEvent::Stop).await.is_ok() {
        tokio::time::sleep(FAREWELL_WAIT).await;
    }
    Ok(outcome)
}

fn start_control(
    shared: &sync::Arc<shared::SharedTables>,
    mesh: &mesh::PeerMesh,
    received: mpsc::Receiver<carrier::ReceivedEnvelope>,
) -> mpsc::Sender<keeper::MembershipEvent> {
    let store = shared.settings.store;
    let client = client::StoreClient::new(store.address, store.timeout);
    let (sender, events) = mpsc::channel(membership::EVENT_QUEUE);
    let driver = membership::MembershipDriver::new(sync::Arc::clone(shared), mesh.clone(), events);
    tokio::spawn(driver.run());
    tokio::spawn(listing::follow_listing(sync::Arc::clone(shared), client.clone(), sender.clone()));
    let (answers, events) = mpsc::channel(configuration::EVENT_QUEUE);
    let driver = configuration::ConfigurationDriver::new(
        sync::Arc::clone(shared),
        mesh.clone(),
        client.clone(),
        answers.clone(),
        events,
    );
    tokio::spawn(driver.run());
    let (reports, report_events) = mpsc::channel(steering_driver::EVENT_QUEUE);
    let steering =
        steering_driver::SteeringDriver::new(sync::Arc::clone(shared), mesh.clone(), report_events);
    tokio::spawn(steering.run());
    let ledger = ledger_driver::LedgerDriver::new(sync::Arc::clone(shared), mesh.clone(), client);
    if let Some(actions) = shared.admission.take_actions() {
        tokio::spawn(ledger.clone().run(actions));
    }
    let routes =
        inbox::InboxRoutes { membership: sender.clone(), configuration: answers, reports, ledger };
    tokio::spawn(inbox::route_envelopes(received, routes));
    sender
}

async fn finish_requests(
    shared: &shared::SharedTables,
    serving: tokio::task::JoinHandle<()>,
    stop: &cancellation::CancellationToken,
) -> StopOutcome {
    let cached_lookups = shared.tables.load().snapshot.lookup_ttl;
    let spread = farewell::leave_spread(shared.members.load().members.len());
    tokio::time::sleep(spread + cached_lookups).await;
    stop.cancel();
    let finished = tokio::time::timeout(shared.settings.stop.max_wait, serving).await;
    let _ = tokio::time::timeout(MAX_HANDOVER_WAIT, hand_over(shared)).await;
    match finished {
        Ok(_) => {
            emit!(catalogue::STOP_FINISHED);
            StopOutcome::Finished
        }
        Err(_) => {
            emit!(catalogue::STOP_TIMED_OUT, open = shared.metrics.open_requests.get());
            StopOutcome::Cut
        }
    }
}

type ThreeListeners = (tokio::net::TcpListener, tokio::net::TcpListener, tokio::net::TcpListener);

/// Listens for callers, peers and operators, or tells every address that cannot be had.
async fn bind_all(listen: settings::ListenAddresses) -> Result<ThreeListeners, StartError> {
    let callers = bind("callers", listen.callers).await;
    let peers = bind("peers", listen.peers).await;
    let admin = bind("admin", listen.admin).await;
    match (callers, peers, admin) {
        (Ok(callers), Ok(peers), Ok(admin)) => Ok((callers, peers, admin)),
        (callers, peers, admin) => {
            let faults = [callers.err(), peers.err(), admin.err()];
            Err(StartError::Listen(faults.into_iter().flatten().collect()))
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
) -> Result<tokio::net::TcpListener, ListenFault> {
    let bound = tokio::net::TcpListener::bind(address).await;
    bound.map_err(|reason| ListenFault { role, address, reason })
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
