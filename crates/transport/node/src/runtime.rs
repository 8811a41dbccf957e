//! Startup and planned stop of an instance.

use std::path;
use std::sync;
use std::time;

use marjoramwing_derives as derives;
use marjoramwing_events::catalogue;
use marjoramwing_events::emit;
use marjoramwing_ledger::action;
use marjoramwing_membership::keeper;
use marjoramwing_settings::settings;
use tokio::signal::unix;
use tokio::sync::mpsc;
use tokio_util::sync as cancellation;

use crate::admin;
use crate::admission::driver as ledger_driver;
use crate::admission::sharing;
use crate::callers::server;
use crate::control::announcement;
use crate::control::configuration;
use crate::control::limits;
use crate::control::listing;
use crate::control::membership;
use crate::control::quarantine;
use crate::control::registry;
use crate::control::reload;
use crate::control::store;
use crate::control::watching;
use crate::directory;
use crate::inbox;
use crate::listeners;
use crate::listeners::StartError;
use crate::peers::mesh;
use crate::peers::session;
use crate::shared;
use crate::steering::driver as steering_driver;
use crate::stopping;

/// Time allowed for the last membership messages to be sent before the process ends.
const LEAVE_FLUSH_TIME: time::Duration = time::Duration::from_millis(200);
/// Time allowed for writing the refusals of requests that a planned stop does not finish.
const REFUSAL_FLUSH_TIME: time::Duration = time::Duration::from_millis(300);
/// Interval between checks whether the ledger has handed over all limits.
const HANDOVER_POLL_INTERVAL: time::Duration = time::Duration::from_millis(20);

/// How a planned stop ended.
#[derives::value]
pub enum StopOutcome {
    /// All open requests finished.
    Finished,
    /// Requests may have been aborted, by a second signal or at the end of the maximum wait.
    Aborted,
}

/// Runs an instance until a planned stop ends.
///
/// # Errors
///
/// Returns an error if addresses cannot be listened on or signals cannot be received.
pub async fn run_instance(
    mut settings: settings::InstanceSettings,
    file: path::PathBuf,
) -> Result<StopOutcome, StartError> {
    let listeners = listeners::InstanceListeners::bind(settings.listen).await?;
    let mut signals = StopSignals::new()?;
    let reload = unix::signal(unix::SignalKind::hangup()).map_err(StartError::Signal)?;
    let listen = listeners.addresses(settings.listen);
    settings.listen = listen;
    let shared = sync::Arc::new(shared::InstanceState::new(settings));
    emit!(catalogue::INSTANCE_STARTED, instance = %shared.settings.identity.name,
        incarnation = %shared.incarnation, callers = %listen.callers, peers = %listen.peers,
        admin = %listen.admin);
    tokio::spawn(reload::reload_settings(sync::Arc::clone(&shared), file, reload));
    let listeners::InstanceListeners { callers, peers, admin, directory, readiness } = listeners;
    let stop = cancellation::CancellationToken::new();
    let (sender, received) = mpsc::channel(mesh::INBOX_QUEUE);
    let mesh = mesh::PeerMesh::new(sync::Arc::clone(&shared), sender);
    let membership = start_control(&shared, &mesh, received);
    tokio::spawn(mesh.accept_links(peers));
    // `stop` closes the callers' port; the admin, directory and readiness ports stay open until
    // the stop has ended.
    let stop_ended = cancellation::CancellationToken::new();
    tokio::spawn(admin::serve_admin(sync::Arc::clone(&shared), admin, stop_ended.clone()));
    let state = || sync::Arc::clone(&shared);
    if let Some(listener) = directory {
        tokio::spawn(directory::serve_directory(state(), listener, stop_ended.clone()));
    }
    if let Some(listener) = readiness {
        tokio::spawn(directory::serve_readiness(state(), listener, stop_ended.clone()));
    }
    let serving = server::serve_callers(sync::Arc::clone(&shared), callers, stop.clone());
    let mut serving = tokio::spawn(serving);
    signals.wait().await;
    let began = tokio::time::Instant::now();
    emit!(catalogue::STOP_BEGAN, open = shared.metrics.open_requests.get());
    let schedule = stopping::StopSchedule::new(&shared);
    let now = shared.now();
    shared.finish_requests_by(now + schedule.linger + schedule.finish, now + schedule.early);
    shared.leave();
    shared.admission.handle(action::LedgerEvent::Leave, shared.now());
    let _ = membership.send(keeper::MembershipEvent::Leave).await;
    let outcome = tokio::select! {
        outcome = finish_requests(&shared, schedule, began, &mut serving, &stop) => outcome,
        () = signals.wait() => {
            emit!(catalogue::STOP_FORCED);
            StopOutcome::Aborted
        }
    };
    if outcome == StopOutcome::Aborted {
        refuse_requests(&shared, &mut serving, &stop).await;
    }
    stop_ended.cancel();
    if membership.send(keeper::MembershipEvent::Stop).await.is_ok() {
        tokio::time::sleep(LEAVE_FLUSH_TIME).await;
    }
    Ok(outcome)
}

/// Starts the control tasks and the routing of received envelopes to them.
///
/// Returns the sender of events to the membership task.
fn start_control(
    shared: &sync::Arc<shared::InstanceState>,
    mesh: &mesh::PeerMesh,
    received: mpsc::Receiver<session::ReceivedEnvelope>,
) -> mpsc::Sender<keeper::MembershipEvent> {
    let client = store::make_client(&shared.settings);
    let watches =
        watching::WatchControl::new(sync::Arc::clone(shared), mesh.clone(), client.clone());
    let watches = sync::Arc::new(watches);
    if shared.settings.dialect == settings::InterfaceDialect::Platform {
        tokio::spawn(announcement::announce(sync::Arc::clone(shared), client.clone()));
        tokio::spawn(registry::watch_registry(
            sync::Arc::clone(shared),
            sync::Arc::clone(&watches),
        ));
    }
    let (membership_sender, events) = mpsc::channel(membership::EVENT_QUEUE);
    let driver = membership::MembershipDriver::new(sync::Arc::clone(shared), mesh.clone(), events);
    tokio::spawn(driver.run());
    tokio::spawn(listing::poll_listing(
        sync::Arc::clone(shared),
        client.clone(),
        membership_sender.clone(),
    ));
    let (configuration_sender, events) = mpsc::channel(configuration::EVENT_QUEUE);
    let driver = configuration::ConfigurationDriver::new(
        sync::Arc::clone(shared),
        mesh.clone(),
        sync::Arc::clone(&watches),
        configuration_sender.clone(),
        events,
    );
    tokio::spawn(driver.run());
    let (reports, report_events) = mpsc::channel(steering_driver::EVENT_QUEUE);
    let steering =
        steering_driver::SteeringDriver::new(sync::Arc::clone(shared), mesh.clone(), report_events);
    tokio::spawn(steering.run());
    let ledger =
        ledger_driver::LedgerDriver::new(sync::Arc::clone(shared), mesh.clone(), client.clone());
    if shared.settings.dialect == settings::InterfaceDialect::Platform {
        tokio::spawn(sharing::share_demand(sync::Arc::clone(shared), mesh.clone()));
    } else if let Some(actions) = shared.admission.take_actions() {
        tokio::spawn(ledger.clone().run(actions));
    }
    let routes = inbox::InboxRoutes {
        membership: membership_sender.clone(),
        configuration: configuration_sender,
        reports,
        shared: sync::Arc::clone(shared),
        ledger,
        watches,
    };
    tokio::spawn(quarantine::share_suspects(sync::Arc::clone(shared), mesh.clone()));
    tokio::spawn(quarantine::keep_suspects(sync::Arc::clone(shared), client.clone()));
    tokio::spawn(limits::share_limits(sync::Arc::clone(shared), mesh.clone()));
    tokio::spawn(inbox::route_envelopes(received, routes));
    membership_sender
}

/// Runs the phases of the stop schedule since the stop began: lingers, finishes the open requests
/// and waits for the handover of limits.
async fn finish_requests(
    shared: &shared::InstanceState,
    schedule: stopping::StopSchedule,
    began: tokio::time::Instant,
    serving: &mut tokio::task::JoinHandle<()>,
    stop: &cancellation::CancellationToken,
) -> StopOutcome {
    tokio::time::sleep_until(began + schedule.linger).await;
    stop.cancel();
    let finish_ends = began + schedule.linger + schedule.finish;
    let finished = tokio::time::timeout_at(finish_ends, serving).await;
    // Requests of other instances go through connections that this one relays.
    let _ = tokio::time::timeout_at(finish_ends, finish_relayed(shared)).await;
    if finished.is_err() {
        emit!(catalogue::STOP_TIMED_OUT, open = shared.metrics.open_requests.get());
        shared.end_finish();
    }
    let hands_over = !schedule.hand_over.is_zero();
    if hands_over && tokio::time::timeout(schedule.hand_over, hand_over(shared)).await.is_err() {
        emit!(catalogue::HANDOVER_TIMED_OUT, waited_ms = schedule.hand_over.as_millis());
    }
    match finished {
        Ok(_) => {
            emit!(catalogue::STOP_FINISHED);
            StopOutcome::Finished
        }
        Err(_) => StopOutcome::Aborted,
    }
}

/// Waits until no connection is relayed any more.
async fn finish_relayed(shared: &shared::InstanceState) {
    while shared.relays.relayed() > 0 {
        tokio::time::sleep(HANDOVER_POLL_INTERVAL).await;
    }
}

/// Refuses the requests that are still open and waits until that is written.
async fn refuse_requests(
    shared: &shared::InstanceState,
    serving: &mut tokio::task::JoinHandle<()>,
    stop: &cancellation::CancellationToken,
) {
    stop.cancel();
    shared.end_finish();
    if !serving.is_finished() {
        let _ = tokio::time::timeout(REFUSAL_FLUSH_TIME, serving).await;
    }
}

/// Waits until this instance has released its lease, so that another holder may take its limits.
async fn hand_over(shared: &shared::InstanceState) {
    while !shared.admission.has_left() {
        tokio::time::sleep(HANDOVER_POLL_INTERVAL).await;
    }
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
