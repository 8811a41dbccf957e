//! Dispatch of one service: its servers, queue and retry budget.
//!
//! A service is the run-time side of one pool of the tables. Each service has its own
//! queue and budget, so that a service whose backend servers hang takes no capacity from
//! others.
//!
//! Invariant: after a pass over the queue, the first queued request of a team does not
//! wait while a usable server that meets its constraints has a free slot, as far as this
//! instance knows. A server is not usable for 20 ms after it shed a request, while it is
//! ejected, draining or leaving, or while the rate limit of a cold server is used up; in
//! slow start, only a part of its slots is. Under [`ChoiceRule::ExpectedDelay`] the
//! request may also wait for a busy server that is expected to respond sooner, or if the
//! server with the lowest expected delay is busy and not expected to respond by the
//! deadline.
//!
//! [`ChoiceRule::ExpectedDelay`]: policy::ChoiceRule::ExpectedDelay

use std::collections;
use std::net;
use std::time as duration;

use marjoramwing_derives as derives;
use marjoramwing_entity::meter;
use marjoramwing_entity::time;
use marjoramwing_tables::name;
use marjoramwing_tables::pool;

use crate::budget;
use crate::distance;
use crate::limited;
use crate::mechanism;
use crate::picker;
use crate::policy;
use crate::queue;
use crate::session;
use crate::share;
use crate::statement;

/// Time constant of the rates of requests by which the load is known.
const LOAD_DECAY: duration::Duration = duration::Duration::from_secs(2);
/// Ratio of requests to granted slots, in hundredths, from which limited servers are overloaded.
const OVERLOAD_PERCENT: f64 = 110.0;

/// A slot that was granted to a queued request.
#[derives::value]
pub struct SlotGrant {
    /// Request that got the slot.
    pub ticket: queue::TicketKey,
    /// Server that has the slot.
    pub server: net::SocketAddr,
    /// Session of the request.
    pub session: Option<session::SessionKey>,
}

/// Result of a slot request.
#[derives::record]
pub enum SlotOutcome {
    /// The request may be sent to this server.
    Granted(net::SocketAddr),
    /// The request was queued; another one may have been evicted for it.
    Queued {
        /// Request that was queued.
        ticket: queue::TicketKey,
        /// Request that was evicted.
        evicted: Option<queue::TicketKey>,
    },
    /// The queue is full.
    Full,
    /// No server meets the constraints of the request.
    NoServer,
    /// The process stops before a response can be expected.
    Stopping,
    /// Servers are limited, and none takes the request in time.
    Limited {
        /// Time after which the servers have taken those before it.
        retry_after: duration::Duration,
    },
}

/// Result of one pass over the queue: the requests that left it.
#[derives::record]
#[derive(Default)]
pub struct DispatchBatch {
    /// Requests that got a slot.
    pub granted: Vec<SlotGrant>,
    /// Requests that expired: none of the servers is expected to respond by their deadline.
    pub expired: Vec<queue::TicketKey>,
    /// Requests that cannot be answered before the process stops.
    pub stopped: Vec<queue::TicketKey>,
    /// Requests that no server takes in time, since some are limited.
    pub limited: Vec<LimitedRequest>,
}

/// A queued request that no server takes in time, since some are limited.
#[derives::value]
pub struct LimitedRequest {
    /// The request.
    pub ticket: queue::TicketKey,
    /// Time after which the servers have taken those before it.
    pub retry_after: duration::Duration,
}

/// Decides where and when one service's requests are sent.
#[derive(Debug)]
pub struct ServiceDispatcher {
    policy: policy::DispatchPolicy,
    picker: picker::BackendPicker,
    queue: queue::FairQueue,
    budget: budget::RetryBudget,
    /// Time by which responses must have arrived, since the process stops; `None` while no stop
    /// is planned.
    stops_at: Option<time::Timestamp>,
    /// Time from which only requests start that end before `stops_at` in any case.
    finish_only_from: time::Timestamp,
    /// Requests that ask for a slot, and those that get one.
    asked: meter::RateMeter,
    granted: meter::RateMeter,
}

impl ServiceDispatcher {
    /// Creates a dispatcher without servers.
    #[must_use]
    pub fn new(policy: policy::DispatchPolicy) -> Self {
        Self {
            picker: picker::BackendPicker::new(policy.choice, policy.disabled),
            queue: queue::FairQueue::new(&policy),
            budget: budget::RetryBudget::new(policy.retry_ratio, policy.retry_burst),
            stops_at: None,
            finish_only_from: time::Timestamp::NEVER,
            asked: meter::RateMeter::new(LOAD_DECAY),
            granted: meter::RateMeter::new(LOAD_DECAY),
            policy,
        }
    }

    /// Stops new requests to the servers that are leaving.
    pub fn set_leaving(&mut self, leaving: &collections::HashSet<net::SocketAddr>) {
        self.picker.set_leaving(leaving);
    }

    /// Plans the stop of the process, by which all responses must have arrived.
    ///
    /// Slots are granted only while a response can be expected before.
    pub const fn stop_at(&mut self, at: time::Timestamp) {
        self.stops_at = Some(at);
    }

    /// Sets the time from which requests start only if their deadline lies before the stop, so that
    /// none of them is cut.
    pub const fn finish_only_from(&mut self, at: time::Timestamp) {
        self.finish_only_from = at;
    }

    /// Replaces the servers by those of a pool.
    pub fn set_servers(&mut self, pool: &pool::Pool, now: time::Timestamp) {
        self.picker.set_servers(pool, now);
    }

    /// Sets the location of each server relative to this instance.
    pub fn set_localities(
        &mut self,
        locality_of: &dyn Fn(&name::FailureDomainName) -> distance::DomainLocality,
    ) {
        self.picker.set_localities(locality_of);
    }

    /// Limits how fast requests return to the local region.
    ///
    /// `failback_step` is the maximum by which the share of requests that remote
    /// regions serve may fall from one window of 2 s to the next, as a fraction of all.
    pub fn limit_failback(&mut self, failback_step: f64) {
        self.picker.limit_failback(failback_step);
    }

    /// Sets the rate at which this instance may send to each cold server, in requests
    /// per second.
    ///
    /// A server that registered itself is cold for the time that its registration states.
    /// `rate_of` takes the identifier of the server.
    pub fn set_cold_rates(&mut self, rate_of: &dyn Fn(&str) -> u32) {
        self.picker.set_cold_rates(rate_of);
    }

    /// Sets the instances among which the rates of limited servers are divided.
    pub fn set_share_fleet(&mut self, fleet: share::ShareFleet, now: time::Timestamp) {
        self.picker.set_share_fleet(fleet, now);
    }

    /// Records what an answer says about its server; returns what it changes.
    pub fn record_answer(
        &mut self,
        server: net::SocketAddr,
        run: Option<&statement::ServerRun>,
        statement: statement::AnswerStatement,
        now: time::Timestamp,
    ) -> Vec<statement::StatementChange> {
        self.picker.record_answer(server, run, statement, now)
    }

    /// Returns true if a request may still be sent in a slot that was granted at a server.
    #[must_use]
    pub fn may_send(
        &self,
        server: net::SocketAddr,
        run: Option<&statement::ServerRun>,
        now: time::Timestamp,
    ) -> bool {
        self.picker.may_send(server, run, now)
    }

    /// Records what another instance reports about a limited server; returns what it changes, and the
    /// address of the server.
    pub fn record_limit_report(
        &mut self,
        report: &statement::LimitReport,
        now: time::Timestamp,
    ) -> Option<(statement::StatementChange, net::SocketAddr)> {
        self.picker.record_limit_report(report, now)
    }

    /// Returns what to report to the other instances about limited servers.
    pub fn take_limit_reports(&mut self, now: time::Timestamp) -> Vec<statement::LimitReport> {
        self.picker.take_limit_reports(now)
    }

    /// Sets the number of retries that an idle service may make at once.
    pub const fn set_retry_burst(&mut self, burst: f64) {
        self.budget.set_burst(burst);
    }

    /// Records the time that a connection to a server took to open.
    pub fn record_connect_time(&mut self, server: net::SocketAddr, round_trip: duration::Duration) {
        self.picker.record_connect_time(server, round_trip);
    }

    /// Returns true if the server at an address is still this run and is not known to leave.
    #[must_use]
    pub fn is_in_service(
        &self,
        server: net::SocketAddr,
        run: Option<&statement::ServerRun>,
    ) -> bool {
        self.picker.is_in_service(server, run)
    }

    /// Ejects a server whose run has ended, unless too many are ejected.
    pub fn record_end(
        &mut self,
        server: net::SocketAddr,
        run: Option<&statement::ServerRun>,
        now: time::Timestamp,
    ) {
        self.picker.record_end(server, run, now);
    }

    /// Returns true if a server of the service has this address.
    #[must_use]
    pub fn has_address(&self, server: net::SocketAddr) -> bool {
        self.picker.has_address(server)
    }

    /// Ends all ejections, since the failures were not the servers'.
    pub fn forgive_failures(&mut self, now: time::Timestamp) {
        self.picker.forgive_failures(now);
    }

    /// Returns up to `count` other servers that are in service, chosen by `seed`.
    #[must_use]
    pub fn others_in_service(
        &self,
        server: net::SocketAddr,
        seed: u64,
        count: usize,
    ) -> Vec<net::SocketAddr> {
        self.picker.others_in_service(server, seed, count)
    }

    /// Returns the run of a server that registered itself.
    #[must_use]
    pub fn server_run(&self, server: net::SocketAddr) -> Option<statement::ServerRun> {
        self.picker.server_run(server)
    }

    /// Requests a slot for an attempt; queues the request if others are queued or no slot
    /// is free.
    ///
    /// `seed` varies the choice among servers that rank equally, see
    /// [`BackendPicker::pick`](picker::BackendPicker::pick).
    pub fn request_slot(
        &mut self,
        request: queue::SlotRequest,
        seed: u64,
        now: time::Timestamp,
    ) -> SlotOutcome {
        if self.is_stopping(now) || self.may_outlast_stop(request.deadline, now) {
            return SlotOutcome::Stopping;
        }
        if !self.picker.has_server(&request.criteria()) {
            return SlotOutcome::NoServer;
        }
        self.picker.refresh_statements(now);
        self.asked.add(1, now);
        if self.queue.is_empty()
            && let Some(server) = self.try_acquire_slot(&request.criteria(), seed, now)
        {
            return SlotOutcome::Granted(server);
        }
        if let Some(load) = self.limited_load(now)
            && let Some(retry_after) = load.refusal(&request, self.queue.len(), now)
        {
            return SlotOutcome::Limited { retry_after };
        }
        match self.queue.push(request) {
            queue::PushOutcome::Queued(ticket) => SlotOutcome::Queued { ticket, evicted: None },
            queue::PushOutcome::Evicted { ticket, evicted } => {
                SlotOutcome::Queued { ticket, evicted: Some(evicted) }
            }
            queue::PushOutcome::Full => SlotOutcome::Full,
        }
    }

    /// Acquires a slot that is free now, bypassing the queue.
    pub fn try_acquire_slot(
        &mut self,
        criteria: &picker::ServerCriteria<'_>,
        seed: u64,
        now: time::Timestamp,
    ) -> Option<net::SocketAddr> {
        let may_outlast =
            criteria.deadline.is_some_and(|deadline| self.may_outlast_stop(deadline, now));
        if self.is_stopping(now) || may_outlast {
            return None;
        }
        self.picker.refresh_statements(now);
        let server = self.picker.pick(criteria, seed, now)?;
        self.granted.add(1, now);
        self.picker.occupy_slot(server, criteria.session, now);
        Some(server)
    }

    /// Records a request's first attempt for the retry budget.
    pub fn record_request(&mut self) {
        self.budget.record_request();
    }

    /// Takes the token for one retry; returns false if the budget holds none.
    pub fn take_retry(&mut self) -> bool {
        self.policy.disabled == mechanism::DisabledMechanism::RetryBudget
            || self.budget.take_retry()
    }

    /// Releases the slot of an ended attempt and records the result.
    pub fn release_slot(
        &mut self,
        server: net::SocketAddr,
        report: picker::AttemptReport,
        now: time::Timestamp,
    ) {
        self.picker.release_slot(server, report, now);
    }

    /// Removes a request that no longer needs a slot from the queue.
    pub fn cancel(&mut self, ticket: queue::TicketKey) {
        self.queue.remove(ticket);
    }

    /// Removes expired requests from the queue and grants free slots to the others; removes all if
    /// the process stops before a response can be expected.
    ///
    /// A request expires once a response at the minimum observed latency would arrive at
    /// or after its deadline. Under [`QueueOrder::ReachableTarget`], requests that can no
    /// longer meet their target latency are first moved behind the others.
    ///
    /// [`QueueOrder::ReachableTarget`]: policy::QueueOrder::ReachableTarget
    pub fn dispatch_queued(&mut self, seed: u64, now: time::Timestamp) -> DispatchBatch {
        if self.queue.is_empty() {
            return DispatchBatch::default();
        }
        if self.is_stopping(now) {
            let stopped = self.queue.remove_matching(|_| true);
            return DispatchBatch { stopped, ..DispatchBatch::default() };
        }
        let expires_requests = self.policy.disabled != mechanism::DisabledMechanism::DeadlineExpiry;
        let expired = if expires_requests {
            self.queue.expire(now + self.picker.min_latency())
        } else {
            Vec::new()
        };
        self.picker.refresh_statements(now);
        self.queue.demote_missed_targets(now + self.picker.min_latency());
        let mut granted = Vec::new();
        while let Some(grant) = self.next_grant(seed.wrapping_add(granted.len() as u64), now) {
            self.queue.remove_granted(grant.ticket);
            self.granted.add(1, now);
            self.picker.occupy_slot(grant.server, grant.session, now);
            granted.push(grant);
        }
        let limited = self.remove_limited(now);
        DispatchBatch { granted, expired, stopped: Vec::new(), limited }
    }

    /// Removes the queued requests that no server can serve any more, since the servers that met
    /// their constraints have left, and returns their tickets.
    pub fn remove_unservable(&mut self) -> Vec<queue::TicketKey> {
        let picker = &self.picker;
        self.queue.remove_matching(|request| !picker.has_server(&request.criteria()))
    }

    /// Returns when to dispatch again if no attempt ends before then.
    ///
    /// Returns `None` if no request is queued, or if no stop is planned and nothing that keeps a
    /// server from being chosen is due to end, see [`BackendPicker::next_change`].
    ///
    /// [`BackendPicker::next_change`]: picker::BackendPicker::next_change
    #[must_use]
    pub fn next_wakeup(&self, now: time::Timestamp) -> Option<time::Timestamp> {
        if self.queue.is_empty() {
            return None;
        }
        self.picker.next_change(now).into_iter().chain(self.last_start()).min()
    }

    /// Returns the number of queued requests.
    #[must_use]
    pub fn queued(&self) -> usize {
        self.queue.len()
    }

    /// Returns the number of requests that this instance has open at a server.
    #[must_use]
    pub fn in_flight(&self, server: net::SocketAddr) -> u32 {
        self.picker.in_flight(server)
    }

    /// Returns true if the process stops before a request that is sent now can be expected to be
    /// answered.
    #[must_use]
    pub fn is_stopping(&self, now: time::Timestamp) -> bool {
        self.last_start().is_some_and(|last_start| now >= last_start)
    }

    /// Returns the load of the service if any of its servers is limited.
    fn limited_load(&self, now: time::Timestamp) -> Option<limited::LimitedLoad> {
        let restriction = self.picker.restriction(now)?;
        let granted = self.granted.per_second(now);
        let is_overloaded = self.asked.per_second(now) * 100.0 > granted * OVERLOAD_PERCENT;
        Some(limited::LimitedLoad::new(restriction, granted, is_overloaded))
    }

    /// Removes the queued requests that the servers do not take in time, if any server is limited.
    fn remove_limited(&mut self, now: time::Timestamp) -> Vec<LimitedRequest> {
        let Some(load) = self.limited_load(now) else { return Vec::new() };
        let mut removed = Vec::new();
        let mut ahead = 0;
        for queued in self.queue.in_order() {
            match load.refusal(&queued.request, ahead, now) {
                Some(retry_after) => {
                    removed.push(LimitedRequest { ticket: queued.ticket, retry_after });
                }
                None => ahead += 1,
            }
        }
        for request in &removed {
            self.queue.remove(request.ticket);
        }
        removed
    }

    /// Returns true if a request that starts now may be cut by the stop.
    fn may_outlast_stop(&self, deadline: time::Timestamp, now: time::Timestamp) -> bool {
        now >= self.finish_only_from && self.stops_at.is_some_and(|stops_at| deadline > stops_at)
    }

    /// Returns the time from which no slot is granted, if a stop is planned.
    fn last_start(&self) -> Option<time::Timestamp> {
        let stops_at = self.stops_at?;
        Some(stops_at - self.picker.response_reserve())
    }

    fn next_grant(&self, seed: u64, now: time::Timestamp) -> Option<SlotGrant> {
        let grant = |queued: &queue::QueuedRequest| {
            let server = self.picker.pick(&queued.request.criteria(), seed, now)?;
            Some(SlotGrant { ticket: queued.ticket, server, session: queued.request.session })
        };
        // Under this rule the first request of a team may wait for a busy server, while a later
        // one can be sent to another.
        match self.policy.choice {
            policy::ChoiceRule::ExpectedDelay => self.queue.candidates().find_map(grant),
            _ => self.queue.heads().find_map(grant),
        }
    }
}
