//! Slots, queue, connections and body memory of one service, the run-time side of one pool.
//!
//! Services share none of these, so that a service whose backend servers hang
//! does not starve another. Lock order: the state of one service, then its idle
//! connections; neither lock is held across an await or while a guard is dropped.

use std::collections;
use std::net;
use std::sync;
use std::time as duration;

use marjoramwing_dispatch::distance;
use marjoramwing_dispatch::picker;
use marjoramwing_dispatch::policy;
use marjoramwing_dispatch::queue;
use marjoramwing_dispatch::service;
use marjoramwing_dispatch::share;
use marjoramwing_dispatch::statement;
use marjoramwing_entity::time;
use marjoramwing_events::catalogue;
use marjoramwing_events::emit;
use marjoramwing_tables::name;
use marjoramwing_tables::pool as tables_pool;
use tokio::sync::oneshot;

use crate::backends::pool;
use crate::backends::replay;
use crate::clock;
use crate::stopping;

/// Dispatch of the requests of one service by this instance.
#[derive(Debug)]
pub struct ServiceControl {
    /// Connections to the service's backend servers.
    pub connections: pool::ConnectionPool,
    /// Memory budget for the service's buffered request bodies.
    pub body_memory: replay::BodyMemory,
    clock: clock::MonotonicClock,
    state: sync::Mutex<ServiceState>,
}

#[derive(Debug)]
struct ServiceState {
    dispatcher: service::ServiceDispatcher,
    waiters: collections::HashMap<queue::TicketKey, oneshot::Sender<SlotResult>>,
    /// Seed of the last choice of a server; incremented to vary the next.
    seed: u64,
    wakeup_at: Option<time::Timestamp>,
}

/// Result that is sent to a queued request.
type SlotResult = Result<SlotGuard, SlotFault>;

/// Parameters of a service that depend on the rest of the fleet.
#[expect(missing_debug_implementations, reason = "closures do not implement Debug")]
pub struct FleetParameters<'a> {
    /// Returns the locality of a failure domain relative to this instance.
    pub locality_of: &'a dyn Fn(&name::FailureDomainName) -> distance::DomainLocality,
    /// Returns the requests per second that this instance may send to a cold server, by
    /// the identifier of the server.
    pub cold_rate_of: &'a dyn Fn(&str) -> u32,
    /// Instances among which the rates of limited servers are divided.
    pub share_fleet: share::ShareFleet,
    /// Number of retries that an idle service may make at once.
    pub retry_burst: f64,
    /// Maximum decrease within 2 s of the fraction of requests served by other regions.
    pub failback_step: Option<f64>,
}

/// Reason why a request got no slot.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SlotFault {
    /// No server is eligible for the request.
    NoServer,
    /// The queue is full, or the request was evicted in favor of another team's.
    QueueFull,
    /// The request could not be answered before its deadline.
    DeadlineExceeded,
    /// The request could not be answered before the process stops.
    Stopping,
    /// All eligible servers are limited and none takes the request in time; one does after this
    /// time.
    Limited(duration::Duration),
}

impl ServiceControl {
    /// Creates a service without servers.
    #[must_use]
    pub fn new(policy: policy::DispatchPolicy, clock: clock::MonotonicClock) -> Self {
        let state = ServiceState {
            dispatcher: service::ServiceDispatcher::new(policy),
            waiters: collections::HashMap::new(),
            seed: 0,
            wakeup_at: None,
        };
        Self {
            connections: pool::ConnectionPool::default(),
            body_memory: replay::BodyMemory::default(),
            clock,
            state: sync::Mutex::new(state),
        }
    }

    /// Sets the servers of the service.
    pub fn set_servers(self: &sync::Arc<Self>, pool: &tables_pool::Pool) {
        self.lock().dispatcher.set_servers(pool, self.clock.now());
        self.refuse_unservable();
        self.dispatch_queued();
    }

    /// Updates the parameters that depend on the rest of the fleet.
    pub fn set_fleet_parameters(self: &sync::Arc<Self>, parameters: &FleetParameters<'_>) {
        {
            let mut state = self.lock();
            state.dispatcher.set_localities(parameters.locality_of);
            state.dispatcher.set_cold_rates(parameters.cold_rate_of);
            state.dispatcher.set_retry_burst(parameters.retry_burst);
            let share_fleet = parameters.share_fleet.clone();
            state.dispatcher.set_share_fleet(share_fleet, self.clock.now());
            let step = parameters.failback_step.into_iter();
            step.for_each(|step| state.dispatcher.limit_failback(step));
        }
        self.dispatch_queued();
    }

    /// Plans the stop of the process.
    pub fn plan_stop(self: &sync::Arc<Self>, stop: stopping::PlannedStop) {
        let mut state = self.lock();
        state.dispatcher.stop_at(stop.stops_at);
        state.dispatcher.finish_only_from(stop.finish_only_from);
        drop(state);
        self.dispatch_queued();
    }

    /// Returns true if the process stops before a request that is sent now can be answered.
    #[must_use]
    pub fn is_stopping(&self) -> bool {
        self.lock().dispatcher.is_stopping(self.clock.now())
    }

    /// Records how long it took to open a connection to a server.
    pub fn record_connect_time(&self, server: net::SocketAddr, round_trip: duration::Duration) {
        self.lock().dispatcher.record_connect_time(server, round_trip);
    }

    /// Stops new requests to the servers that are leaving.
    pub fn set_leaving(self: &sync::Arc<Self>, leaving: &collections::HashSet<net::SocketAddr>) {
        self.lock().dispatcher.set_leaving(leaving);
        self.refuse_unservable();
        self.dispatch_queued();
    }

    /// Acquires a slot of a matching server if one is free now, bypassing the queue.
    #[must_use]
    pub fn try_acquire_slot(
        self: &sync::Arc<Self>,
        criteria: &picker::ServerCriteria<'_>,
    ) -> Option<SlotGuard> {
        let now = self.clock.now();
        let mut state = self.lock();
        let seed = state.next_seed();
        let server = state.dispatcher.try_acquire_slot(criteria, seed, now)?;
        let run = state.dispatcher.server_run(server);
        drop(state);
        Some(self.guard(server, run))
    }

    /// Acquires a slot; waits in the queue until one is granted or the deadline passes.
    ///
    /// # Errors
    ///
    /// Returns the reason why no slot was granted.
    pub async fn acquire_slot(
        self: &sync::Arc<Self>,
        request: queue::SlotRequest,
    ) -> Result<SlotGuard, SlotFault> {
        let now = self.clock.now();
        let time_left = request.deadline.since(now);
        let (sender, receiver) = oneshot::channel();
        let ticket = {
            let mut state = self.lock();
            let seed = state.next_seed();
            match state.dispatcher.request_slot(request, seed, now) {
                service::SlotOutcome::Granted(server) => {
                    let run = state.dispatcher.server_run(server);
                    drop(state);
                    return Ok(self.guard(server, run));
                }
                service::SlotOutcome::Full => return Err(SlotFault::QueueFull),
                service::SlotOutcome::NoServer => return Err(SlotFault::NoServer),
                service::SlotOutcome::Stopping => return Err(SlotFault::Stopping),
                service::SlotOutcome::Limited { retry_after } => {
                    return Err(SlotFault::Limited(retry_after));
                }
                service::SlotOutcome::Queued { ticket, evicted } => {
                    let evicted = evicted.and_then(|key| state.waiters.remove(&key));
                    evicted.map(|sender| sender.send(Err(SlotFault::QueueFull)));
                    state.waiters.insert(ticket, sender);
                    ticket
                }
            }
        };
        let _entry = QueueEntry { service: self, ticket };
        self.dispatch_queued();
        match tokio::time::timeout(time_left, receiver).await {
            Ok(Ok(answer)) => answer,
            Ok(Err(_)) | Err(_) => Err(SlotFault::DeadlineExceeded),
        }
    }

    /// Records what a response says about the server of an attempt.
    fn record_answer(self: &sync::Arc<Self>, guard: &SlotGuard, said: statement::AnswerStatement) {
        let now = self.clock.now();
        let run = guard.run.as_ref();
        let changes = self.lock().dispatcher.record_answer(guard.address, run, said, now);
        if changes.is_empty() {
            return;
        }
        for change in changes {
            log_change(change, guard.address, run);
        }
        self.refuse_unservable();
        self.dispatch_queued();
    }

    /// Returns true if a request may still be sent in a slot.
    fn may_send(&self, guard: &SlotGuard) -> bool {
        self.lock().dispatcher.may_send(guard.address, guard.run.as_ref(), self.clock.now())
    }

    /// Returns true if the server at an address is still this run and is not known to leave.
    #[must_use]
    pub fn is_in_service(
        &self,
        server: net::SocketAddr,
        run: Option<&statement::ServerRun>,
    ) -> bool {
        self.lock().dispatcher.is_in_service(server, run)
    }

    /// Ejects a server whose run has ended, unless too many are ejected.
    pub fn record_end(&self, server: net::SocketAddr, run: Option<&statement::ServerRun>) {
        let now = self.clock.now();
        self.lock().dispatcher.record_end(server, run, now);
    }

    /// Ends all ejections, since the failures were not the servers'.
    pub fn forgive_failures(self: &sync::Arc<Self>) {
        self.lock().dispatcher.forgive_failures(self.clock.now());
        self.dispatch_queued();
    }

    /// Returns true if a server with this address is in service.
    #[must_use]
    pub fn has_server(&self, server: net::SocketAddr) -> bool {
        self.lock().dispatcher.has_address(server)
    }

    /// Returns up to `count` other servers that are in service.
    #[must_use]
    pub fn others_in_service(&self, server: net::SocketAddr, count: usize) -> Vec<net::SocketAddr> {
        let mut state = self.lock();
        let seed = state.next_seed();
        state.dispatcher.others_in_service(server, seed, count)
    }

    /// Records what another instance reports about limited servers.
    pub fn record_limit_reports(self: &sync::Arc<Self>, reports: &[statement::LimitReport]) {
        let now = self.clock.now();
        for report in reports {
            let change = self.lock().dispatcher.record_limit_report(report, now);
            if let Some((change, address)) = change {
                log_change(change, address, Some(&report.run));
            }
        }
        self.dispatch_queued();
    }

    /// Returns what to report to the other instances about limited servers.
    #[must_use]
    pub fn take_limit_reports(&self) -> Vec<statement::LimitReport> {
        self.lock().dispatcher.take_limit_reports(self.clock.now())
    }

    /// Records a request's first attempt for the retry budget.
    pub fn record_request(&self) {
        self.lock().dispatcher.record_request();
    }

    /// Takes one retry from the retry budget; returns false if none is left.
    #[must_use]
    pub fn take_retry(&self) -> bool {
        self.lock().dispatcher.take_retry()
    }

    /// Returns the number of queued requests.
    #[must_use]
    pub fn queued(&self) -> usize {
        self.lock().dispatcher.queued()
    }

    /// Returns the number of requests that this instance has open at a server.
    #[must_use]
    pub fn in_flight(&self, server: net::SocketAddr) -> u32 {
        self.lock().dispatcher.in_flight(server)
    }

    /// Fails the queued requests whose last eligible server has left.
    fn refuse_unservable(&self) {
        let mut state = self.lock();
        let unservable = state.dispatcher.remove_unservable();
        let senders: Vec<_> =
            unservable.iter().filter_map(|ticket| state.waiters.remove(ticket)).collect();
        drop(state);
        for sender in senders {
            let _ = sender.send(Err(SlotFault::NoServer));
        }
    }

    /// Grants free slots to queued requests and fails those that have expired or that the stop of
    /// the process leaves no time.
    fn dispatch_queued(self: &sync::Arc<Self>) {
        let now = self.clock.now();
        let mut granted = Vec::new();
        let mut failed = Vec::new();
        {
            let mut state = self.lock();
            let seed = state.next_seed();
            let batch = state.dispatcher.dispatch_queued(seed, now);
            for grant in batch.granted {
                let sender = state.waiters.remove(&grant.ticket);
                let run = state.dispatcher.server_run(grant.server);
                granted.push(GrantedSlot { sender, guard: self.guard(grant.server, run) });
            }
            let expired =
                batch.expired.into_iter().map(|ticket| (ticket, SlotFault::DeadlineExceeded));
            let stopped = batch.stopped.into_iter().map(|ticket| (ticket, SlotFault::Stopping));
            let limited = batch.limited.into_iter();
            let limited =
                limited.map(|request| (request.ticket, SlotFault::Limited(request.retry_after)));
            for (ticket, fault) in expired.chain(stopped).chain(limited) {
                failed.extend(state.waiters.remove(&ticket).map(|sender| (sender, fault)));
            }
            self.schedule_wakeup(&mut state, now);
        }
        for (sender, fault) in failed {
            let _ = sender.send(Err(fault));
        }
        // A guard whose receiver is gone is dropped here, which frees its slot.
        granted.into_iter().for_each(GrantedSlot::deliver);
    }

    fn schedule_wakeup(self: &sync::Arc<Self>, state: &mut ServiceState, now: time::Timestamp) {
        let Some(at) = state.dispatcher.next_wakeup(now) else { return };
        if state.wakeup_at.is_some_and(|pending| now < pending && pending <= at) {
            return;
        }
        state.wakeup_at = Some(at);
        let service = sync::Arc::clone(self);
        tokio::spawn(async move {
            tokio::time::sleep(at.since(now)).await;
            service.dispatch_queued();
        });
    }

    fn guard(
        self: &sync::Arc<Self>,
        address: net::SocketAddr,
        run: Option<statement::ServerRun>,
    ) -> SlotGuard {
        let report = picker::AttemptReport {
            result: picker::ReportedResult::Cancelled,
            open_requests: None,
        };
        let started_at = self.clock.now();
        SlotGuard { service: sync::Arc::clone(self), address, run, started_at, report }
    }

    fn lock(&self) -> sync::MutexGuard<'_, ServiceState> {
        self.state.lock().expect("no task panics while it holds the lock on a service")
    }
}

impl ServiceState {
    fn next_seed(&mut self) -> u64 {
        self.seed = self.seed.wrapping_add(1);
        self.seed
    }
}

/// Logs a change that an answer of a server causes.
fn log_change(
    change: statement::StatementChange,
    address: net::SocketAddr,
    run: Option<&statement::ServerRun>,
) {
    let server = run.map_or("", |run| &*run.id);
    match change {
        statement::StatementChange::Leaving => {
            emit!(catalogue::SERVER_LEAVING, server = %server, address = %address);
        }
        statement::StatementChange::Paused(pause) => {
            emit!(catalogue::SERVER_PAUSED, server = %server, address = %address,
                pause_ms = pause.as_millis());
        }
        statement::StatementChange::Limited(rate) => {
            emit!(catalogue::SERVER_LIMITED, server = %server, rate_milli = rate.milli(),
                address = %address);
        }
        statement::StatementChange::Unlimited => {
            emit!(catalogue::SERVER_UNLIMITED, server = %server, address = %address);
        }
    }
}

/// A granted slot and the channel to the queued request that gets it.
struct GrantedSlot {
    sender: Option<oneshot::Sender<SlotResult>>,
    guard: SlotGuard,
}

impl GrantedSlot {
    fn deliver(self) {
        if let Some(sender) = self.sender {
            let _ = sender.send(Ok(self.guard));
        }
    }
}

/// Entry of a queued request; removes it from the queue when dropped.
struct QueueEntry<'a> {
    service: &'a sync::Arc<ServiceControl>,
    ticket: queue::TicketKey,
}

impl Drop for QueueEntry<'_> {
    fn drop(&mut self) {
        let mut state = self.service.lock();
        state.dispatcher.cancel(self.ticket);
        let sender = state.waiters.remove(&self.ticket);
        drop(state);
        drop(sender);
    }
}

/// Holds a slot at a backend server; dropping it frees the slot and reports the result.
#[derive(Debug)]
pub struct SlotGuard {
    service: sync::Arc<ServiceControl>,
    address: net::SocketAddr,
    /// Run of the server when the slot was granted, if it registered itself.
    run: Option<statement::ServerRun>,
    started_at: time::Timestamp,
    report: picker::AttemptReport,
}

impl SlotGuard {
    /// Returns the address of the server.
    #[must_use]
    pub const fn address(&self) -> net::SocketAddr {
        self.address
    }

    /// Returns the identifier of the server, if it registered itself.
    #[must_use]
    pub fn server_id(&self) -> Option<&str> {
        self.run.as_ref().map(|run| &*run.id)
    }

    /// Returns the run of the server when the slot was granted, if it registered itself.
    #[must_use]
    pub const fn run(&self) -> Option<&statement::ServerRun> {
        self.run.as_ref()
    }

    /// Records what a response of the server says about it.
    pub fn record_answer(&self, statement: statement::AnswerStatement) {
        self.service.record_answer(self, statement);
    }

    /// Returns true if a request may still be sent in the slot: the server has not left and has not
    /// said since that it leaves or wants no requests.
    #[must_use]
    pub fn may_send(&self) -> bool {
        self.service.may_send(self)
    }

    /// Returns the service to which the server belongs.
    #[must_use]
    pub const fn service(&self) -> &sync::Arc<ServiceControl> {
        &self.service
    }

    /// Returns the time since the slot was granted.
    #[must_use]
    pub fn age(&self) -> duration::Duration {
        self.service.clock.now().since(self.started_at)
    }

    /// Sets the result of the attempt, which is reported when the guard is dropped.
    pub const fn record_result(
        &mut self,
        result: picker::ReportedResult,
        open_requests: Option<u32>,
    ) {
        self.report = picker::AttemptReport { result, open_requests };
    }
}

impl Drop for SlotGuard {
    fn drop(&mut self) {
        let now = self.service.clock.now();
        self.service.lock().dispatcher.release_slot(self.address, self.report, now);
        self.service.dispatch_queued();
    }
}
