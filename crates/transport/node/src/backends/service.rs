//! Slots, queue, connections and body memory of one service.
//!
//! Nothing here is shared between services, so that one whose backend servers
//! hang takes nothing from another. Lock order: the state of one service, then
//! its idle connections; neither is held across an await or while a guard is
//! dropped.

use std::collections;
use std::net;
use std::sync;
use std::time as duration;

use marjoramwing_dispatch::distance;
use marjoramwing_dispatch::picker;
use marjoramwing_dispatch::policy;
use marjoramwing_dispatch::queue;
use marjoramwing_dispatch::service;
use marjoramwing_entity::time;
use marjoramwing_tables::name;
use marjoramwing_tables::pool as tables_pool;
use tokio::sync::oneshot;

use crate::backends::pool;
use crate::backends::replay;
use crate::clock;

/// One service as this instance dispatches it.
#[derive(Debug)]
pub struct ServiceControl {
    /// Connections to the service's backend servers.
    pub connections: pool::ConnectionPool,
    /// Memory for the service's request bodies.
    pub body_memory: replay::BodyMemory,
    clock: clock::MonotonicClock,
    state: sync::Mutex<ServiceState>,
}

#[derive(Debug)]
struct ServiceState {
    dispatcher: service::ServiceDispatcher,
    waiting: collections::HashMap<queue::TicketKey, oneshot::Sender<SlotAnswer>>,
    seed: u64,
    wake_at: Option<time::Timestamp>,
}

/// What a waiting request is told.
type SlotAnswer = Result<ServerGuard, SlotFault>;

/// What one service is told of the fleet around it.
#[expect(missing_debug_implementations, reason = "closures have none")]
pub struct Surroundings<'a> {
    /// Where a failure domain is, as seen from here.
    pub place_of: &'a dyn Fn(&name::DomainName) -> distance::DomainLocality,
    /// Requests per second that this instance may send to a cold server.
    pub cold_rate_of: &'a dyn Fn(&str) -> u32,
    /// Retries that a quiet service may make at once.
    pub retry_reserve: f64,
    /// Most that the part of requests which other regions serve may fall in 2 s.
    pub homing_step: Option<f64>,
}

/// Why a request got no slot.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SlotFault {
    /// No server is left that the request may use.
    NoServer,
    /// The queue is full, or the request gave way to another team's.
    QueueFull,
    /// The request could not have been answered by its deadline.
    TooLate,
}

impl ServiceControl {
    /// Makes a service without servers.
    #[must_use]
    pub fn new(policy: policy::DispatchPolicy, clock: clock::MonotonicClock) -> Self {
        let state = ServiceState {
            dispatcher: service::ServiceDispatcher::new(policy),
            waiting: collections::HashMap::new(),
            seed: 0,
            wake_at: None,
        };
        Self {
            connections: pool::ConnectionPool::default(),
            body_memory: replay::BodyMemory::default(),
            clock,
            state: sync::Mutex::new(state),
        }
    }

    /// Takes over the servers of a pool.
    pub fn set_servers(self: &sync::Arc<Self>, pool: &tables_pool::Pool) {
        self.lock().dispatcher.set_servers(pool, self.clock.now());
        self.turn();
    }

    /// Notes how far the servers are and how fast each cold one may be used.
    pub fn set_surroundings(self: &sync::Arc<Self>, surroundings: &Surroundings<'_>) {
        {
            let mut state = self.lock();
            state.dispatcher.set_localities(surroundings.place_of);
            state.dispatcher.set_cold_rates(surroundings.cold_rate_of);
            state.dispatcher.set_retry_burst(surroundings.retry_reserve);
            let step = surroundings.homing_step.into_iter();
            step.for_each(|step| state.dispatcher.limit_failback(step));
        }
        self.turn();
    }

    /// Notes the time that a connection to a server took to open.
    pub fn note_connected(&self, server: net::SocketAddr, round_trip: duration::Duration) {
        self.lock().dispatcher.record_connect_time(server, round_trip);
    }

    /// Gives the leaving among the servers no new work.
    pub fn set_leaving(self: &sync::Arc<Self>, leaving: &collections::HashSet<net::SocketAddr>) {
        self.lock().dispatcher.set_leaving(leaving);
        self.turn();
    }

    /// Takes a slot that is free now.
    #[must_use]
    pub fn try_slot(
        self: &sync::Arc<Self>,
        wish: &picker::ServerCriteria<'_>,
    ) -> Option<ServerGuard> {
        let now = self.clock.now();
        let mut state = self.lock();
        let seed = state.next_seed();
        let server = state.dispatcher.try_submit(wish, seed, now)?;
        let identity = state.dispatcher.server_id(server);
        drop(state);
        Some(self.guard(server, identity))
    }

    /// Waits for a slot.
    ///
    /// # Errors
    ///
    /// Returns why no slot can be had.
    pub async fn wait_slot(
        self: &sync::Arc<Self>,
        request: queue::SlotRequest,
    ) -> Result<ServerGuard, SlotFault> {
        let now = self.clock.now();
        let left = request.deadline.since(now);
        let (sender, receiver) = oneshot::channel();
        let ticket = {
            let mut state = self.lock();
            let seed = state.next_seed();
            match state.dispatcher.submit(request, seed, now) {
                service::SubmitOutcome::Granted(server) => {
                    let identity = state.dispatcher.server_id(server);
                    drop(state);
                    return Ok(self.guard(server, identity));
                }
                service::SubmitOutcome::Full => return Err(SlotFault::QueueFull),
                service::SubmitOutcome::NoServer => return Err(SlotFault::NoServer),
                service::SubmitOutcome::Queued { ticket, evicted } => {
                    let evicted = evicted.and_then(|key| state.waiting.remove(&key));
                    evicted.map(|sender| sender.send(Err(SlotFault::QueueFull)));
                    state.waiting.insert(ticket, sender);
                    ticket
                }
            }
        };
        let _place = QueuePlace { service: self, ticket };
        self.turn();
        match tokio::time::timeout(left, receiver).await {
            Ok(Ok(answer)) => answer,
            Ok(Err(_)) | Err(_) => Err(SlotFault::TooLate),
        }
    }

    /// Records a request's first attempt for the retry budget.
    pub fn record_request(&self) {
        self.lock().dispatcher.record_request();
    }

    /// Takes the token of one retry, if the budget holds one.
    #[must_use]
    pub fn take_retry(&self) -> bool {
        self.lock().dispatcher.take_retry()
    }

    /// Returns the requests that wait.
    #[must_use]
    pub fn queued(&self) -> usize {
        self.lock().dispatcher.queued()
    }

    /// Returns the requests that this instance has open at a server.
    #[must_use]
    pub fn in_flight(&self, server: net::SocketAddr) -> u32 {
        self.lock().dispatcher.in_flight(server)
    }

    /// Gives free slots to waiting requests.
    fn turn(self: &sync::Arc<Self>) {
        let now = self.clock.now();
        let mut granted = Vec::new();
        let mut late = Vec::new();
        {
            let mut state = self.lock();
            let seed = state.next_seed();
            let turn = state.dispatcher.dispatch_queued(seed, now);
            for grant in turn.granted {
                let sender = state.waiting.remove(&grant.ticket);
                let identity = state.dispatcher.server_id(grant.server);
                granted.push(GrantedSlot { sender, guard: self.guard(grant.server, identity) });
            }
            late.extend(turn.expired.iter().filter_map(|ticket| state.waiting.remove(ticket)));
            self.schedule_wake(&mut state, now);
        }
        for sender in late {
            let _ = sender.send(Err(SlotFault::TooLate));
        }
        // A guard that nobody takes is dropped here and frees its slot again.
        granted.into_iter().for_each(GrantedSlot::hand_over);
    }

    fn schedule_wake(self: &sync::Arc<Self>, state: &mut ServiceState, now: time::Timestamp) {
        let Some(at) = state.dispatcher.next_wakeup(now) else { return };
        if state.wake_at.is_some_and(|pending| now < pending && pending <= at) {
            return;
        }
        state.wake_at = Some(at);
        let service = sync::Arc::clone(self);
        tokio::spawn(async move {
            tokio::time::sleep(at.since(now)).await;
            service.turn();
        });
    }

    fn guard(
        self: &sync::Arc<Self>,
        address: net::SocketAddr,
        identity: Option<sync::Arc<str>>,
    ) -> ServerGuard {
        let report = picker::AttemptReport {
            result: picker::ReportedResult::Cancelled,
            open_requests: None,
        };
        let begun_at = self.clock.now();
        ServerGuard { service: sync::Arc::clone(self), address, identity, begun_at, report }
    }

    fn lock(&self) -> sync::MutexGuard<'_, ServiceState> {
        self.state.lock().expect("no task panics while it holds a service")
    }
}

impl ServiceState {
    fn next_seed(&mut self) -> u64 {
        self.seed = self.seed.wrapping_add(1);
        self.seed
    }
}

/// A slot on its way to the request that waits for it.
struct GrantedSlot {
    sender: Option<oneshot::Sender<SlotAnswer>>,
    guard: ServerGuard,
}

impl GrantedSlot {
    fn hand_over(self) {
        if let Some(sender) = self.sender {
            let _ = sender.send(Ok(self.guard));
        }
    }
}

/// Leaves the queue when dropped.
struct QueuePlace<'a> {
    service: &'a sync::Arc<ServiceControl>,
    ticket: queue::TicketKey,
}

impl Drop for QueuePlace<'_> {
    fn drop(&mut self) {
        let mut state = self.service.lock();
        state.dispatcher.cancel(self.ticket);
        let sender = state.waiting.remove(&self.ticket);
        drop(state);
        drop(sender);
    }
}

/// Holds a slot of a backend server until dropped.
#[derive(Debug)]
pub struct ServerGuard {
    service: sync::Arc<ServiceControl>,
    address: net::SocketAddr,
    identity: Option<sync::Arc<str>>,
    begun_at: time::Timestamp,
    report: picker::AttemptReport,
}

impl ServerGuard {
    /// Returns the server whose slot is held.
    #[must_use]
    pub const fn address(&self) -> net::SocketAddr {
        self.address
    }

    /// Returns the identifier of a server that registered itself.
    #[must_use]
    pub fn identity(&self) -> Option<&str> {
        self.identity.as_deref()
    }

    /// Returns the service of the server.
    #[must_use]
    pub const fn service(&self) -> &sync::Arc<ServiceControl> {
        &self.service
    }

    /// Returns the time since the slot was granted.
    #[must_use]
    pub fn age(&self) -> duration::Duration {
        self.service.clock.now().since(self.begun_at)
    }

    /// Notes what the attempt tells of the server.
    pub const fn note(&mut self, result: picker::ReportedResult, open_requests: Option<u32>) {
        self.report = picker::AttemptReport { result, open_requests };
    }
}

impl Drop for ServerGuard {
    fn drop(&mut self) {
        let now = self.service.clock.now();
        self.service.lock().dispatcher.finish(self.address, self.report, now);
        self.service.turn();
    }
}
