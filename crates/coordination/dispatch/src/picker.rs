//! Selection of a backend server.
//!
//! Invariants: a draining or removed server is never chosen; this instance alone never
//! opens more requests at a server than it has slots, or one more under
//! [`ChoiceRule::ExpectedDelay`] if a slot is about to become free; at most a third of
//! a pool is ejected at once. Reported load only ranks servers, since it may be stale
//! or wrong.
//!
//! [`ChoiceRule::ExpectedDelay`]: policy::ChoiceRule::ExpectedDelay

use std::collections;
use std::net;
use std::sync::Arc;
use std::time as duration;

use marjoramwing_derives as derives;
use marjoramwing_entity::time;
use marjoramwing_tables::name;
use marjoramwing_tables::pool;

use crate::departure;
use crate::distance;
use crate::failback;
use crate::health;
use crate::mechanism;
use crate::placement;
use crate::policy;
use crate::server;
use crate::session;
use crate::share;
use crate::statement;

/// Fraction of a pool that may be ejected at once, as a divisor.
const EJECTED_DIVISOR: usize = 3;
/// Time for which a server that shed a request is not chosen.
const SHED_BACKOFF: duration::Duration = duration::Duration::from_millis(20);
/// Age at which the measured latency of an idle server expires.
const LATENCY_MAX_AGE: duration::Duration = duration::Duration::from_secs(30);
/// Maximum number of usable servers that [`policy::ChoiceRule::SoonestAnswer`] scores for one
/// choice; the scan starts at an index derived from the caller's seed.
const MAX_SCORED: usize = 128;
/// Penalty for a server that handled the session recently but is not preferred, as a
/// divisor of the mean service time.
const RECENT_SESSION_DIVISOR: u64 = 4;
/// Penalty for the session's backup server in another region, as a divisor of the mean
/// service time.
const BACKUP_SESSION_DIVISOR: u64 = 2;
/// Penalty for a server that does not know the session, as a multiple of the mean service time.
const UNKNOWN_SESSION_FACTOR: u64 = 5;
/// Time reserved for a response when the process stops, as a multiple of the mean service time in
/// hundredths; service times vary.
const STOP_RESERVE_PERCENT: u64 = 150;
/// Service time that is assumed before the first response, in microseconds.
const INITIAL_SERVICE_TIME_US: u64 = 200_000;
/// Number of responses over which the mean service time of the pool is smoothed.
const POOL_SMOOTHING: u64 = 64;

/// Report on an ended attempt at a server.
#[derives::value]
pub struct AttemptReport {
    /// Result of the attempt.
    pub result: ReportedResult,
    /// Number of open requests that the server reported.
    pub open_requests: Option<u32>,
}

/// Result of an attempt.
#[derives::value]
pub enum ReportedResult {
    /// A response arrived after this latency.
    Answered(duration::Duration),
    /// The server had no free slot.
    Shed,
    /// The server was unreachable, closed the connection, did not respond or responded
    /// with a failure.
    Failed,
    /// The attempt says nothing about the server.
    Cancelled,
}

/// Constraints on the server that is chosen for a request.
#[derive(Debug, Clone, Copy, Default)]
pub struct ServerCriteria<'a> {
    /// Servers that are not chosen because earlier attempts used them.
    pub excluded: &'a [net::SocketAddr],
    /// The only regions in which the request may be served.
    pub regions: Option<&'a [Arc<str>]>,
    /// Session whose requests are preferably sent to the same server.
    pub session: Option<session::SessionKey>,
    /// Time by which the request must be answered, if known.
    pub deadline: Option<time::Timestamp>,
}

impl ServerCriteria<'_> {
    /// Returns true if the server is idle or can be expected to respond by the
    /// deadline.
    ///
    /// Work that is cut off at the deadline is wasted.
    fn meets_deadline(&self, server: &server::ServerState, now: time::Timestamp) -> bool {
        let Some(deadline) = self.deadline else { return true };
        let needed_us = server.distance.round_trip_us() + server.service_time_us;
        let left_us = deadline.as_micros().saturating_sub(now.as_micros());
        server.estimated_open(now) == 0 || needed_us <= left_us
    }

    pub(crate) fn admits_region(&self, region: &Option<Arc<str>>) -> bool {
        let is_allowed =
            |regions: &[Arc<str>]| region.as_ref().is_some_and(|region| regions.contains(region));
        self.regions.is_none_or(is_allowed)
    }

    pub(crate) fn admits(&self, address: net::SocketAddr, region: &Option<Arc<str>>) -> bool {
        self.admits_region(region) && !self.excluded.contains(&address)
    }
}

/// The session of a request, and where its requests go.
#[derive(Debug, Clone, Copy)]
struct SessionTarget {
    session: session::SessionKey,
    servers: placement::SessionServers,
    backup_use: placement::BackupUse,
}

/// Selects among the backend servers of one pool.
#[derive(Debug, Clone)]
pub struct BackendPicker {
    rule: policy::ChoiceRule,
    disabled: mechanism::DisabledMechanism,
    pub(crate) servers: Vec<server::ServerState>,
    pub(crate) region_slots: placement::RegionSlots,
    pub(crate) indexes: collections::HashMap<net::SocketAddr, usize>,
    /// Mean service time, without the network round trip, in microseconds.
    pub(crate) service_time_us: u64,
    /// `None` if the return of requests to the local region is not limited.
    failback: Option<failback::FailbackLimiter>,
    /// The instances among which the rates of limited servers are divided.
    pub(crate) fleet: share::ShareFleet,
    /// Statements of servers that have left, which may return.
    departed: departure::DepartedStatements,
}

impl BackendPicker {
    /// Creates a picker without servers.
    #[must_use]
    pub fn new(rule: policy::ChoiceRule, disabled: mechanism::DisabledMechanism) -> Self {
        let indexes = collections::HashMap::new();
        Self {
            rule,
            disabled,
            servers: Vec::new(),
            region_slots: placement::RegionSlots::default(),
            indexes,
            service_time_us: INITIAL_SERVICE_TIME_US,
            failback: None,
            fleet: share::ShareFleet::default(),
            departed: departure::DepartedStatements::default(),
        }
    }

    /// Replaces the servers by those of a pool; state of servers that remain is kept.
    ///
    /// Servers that join a pool already in use begin with a slow start, unless they
    /// registered themselves.
    pub fn set_servers(&mut self, pool: &pool::Pool, now: time::Timestamp) {
        let pool_in_use = !self.servers.is_empty();
        self.servers.iter_mut().for_each(|state| state.listed = false);
        for server in pool.servers.values() {
            let starts_slowly = pool_in_use && server.registered.is_none();
            let health = match starts_slowly {
                true => health::ServerHealth::slow_starting(now),
                false => health::ServerHealth::HEALTHY,
            };
            let index = *self.indexes.entry(server.address).or_insert_with(|| {
                self.servers.push(server::ServerState::new(server, health));
                self.servers.len() - 1
            });
            let state = &mut self.servers[index];
            let run_before = state.run();
            state.update_registration(server, now);
            if state.run() != run_before {
                let returned = state.run().and_then(|run| self.departed.take(&run, now));
                state.statements = returned.unwrap_or_default();
            }
            state.slots = server.slots;
            state.request_load = server::LOAD_SCALE / u64::from(server.slots.max(1));
            state.listed = !server.draining;
        }
        self.region_slots = placement::RegionSlots::of(&self.servers);
        self.remove_unlisted(now);
    }

    /// Limits how fast requests return to the local region; recorded counts are kept.
    ///
    /// The limit holds only requests that have a session, under
    /// [`ChoiceRule::ExpectedDelay`](policy::ChoiceRule::ExpectedDelay), while the session's
    /// backup server has capacity.
    ///
    /// `failback_step` is the maximum by which the remote share of the requests may fall
    /// from one window to the next, as a fraction of all requests.
    ///
    /// Until the first request, the expected remote share is recomputed as servers
    /// register.
    pub fn limit_failback(&mut self, failback_step: f64) {
        let has_started = self.failback.is_some_and(|failback| failback.has_started());
        if has_started || self.servers.is_empty() {
            return;
        }
        self.failback = Some(failback::FailbackLimiter::new(
            failback_step,
            self.region_slots.expected_remote_milli(),
        ));
    }

    /// Sets the location of each server relative to this instance.
    pub fn set_localities(
        &mut self,
        locality_of: &dyn Fn(&name::FailureDomainName) -> distance::DomainLocality,
    ) {
        for server in &mut self.servers {
            let domain = locality_of(&server.failure_domain);
            server.distance.locality = domain.locality;
            server.region = domain.region;
        }
        self.region_slots = placement::RegionSlots::of(&self.servers);
    }

    /// Sets the rate at which this instance may send to each cold server, in requests
    /// per second; `rate_of` takes the identifier of a server that registered itself.
    pub fn set_cold_rates(&mut self, rate_of: &dyn Fn(&str) -> u32) {
        for server in &mut self.servers {
            if let Some(registered) = &server.registered {
                server.cold.set_rate(rate_of(&registered.id));
            }
        }
    }

    /// Records the time that a connection to a server took to open.
    pub fn record_connect_time(
        &mut self,
        address: net::SocketAddr,
        round_trip: duration::Duration,
    ) {
        if let Some(server) = self.server_mut(address) {
            server.distance.record_round_trip(round_trip);
        }
    }

    /// Returns the run of a server that registered itself.
    #[must_use]
    pub fn server_run(&self, address: net::SocketAddr) -> Option<statement::ServerRun> {
        self.servers[*self.indexes.get(&address)?].run()
    }

    /// Stops new requests to the servers that the instance listing reports as leaving; replaces
    /// the previous set.
    pub fn set_leaving(&mut self, leaving: &collections::HashSet<net::SocketAddr>) {
        for server in &mut self.servers {
            server.leaving = leaving.contains(&server.address);
        }
        self.region_slots = placement::RegionSlots::of(&self.servers);
    }

    /// Selects a usable server that has a free slot and meets the constraints.
    ///
    /// Returns `None` if there is none or, under [`ChoiceRule::ExpectedDelay`], if the server
    /// with the lowest expected delay has no capacity or would miss the deadline.
    ///
    /// `seed` sets where the scan over the servers starts, which decides among servers
    /// that rank equally. The random choices of [`ChoiceRule::Random`] and
    /// [`ChoiceRule::TwoChoices`] also derive from it.
    ///
    /// [`ChoiceRule::ExpectedDelay`]: policy::ChoiceRule::ExpectedDelay
    /// [`ChoiceRule::Random`]: policy::ChoiceRule::Random
    /// [`ChoiceRule::TwoChoices`]: policy::ChoiceRule::TwoChoices
    #[must_use]
    pub fn pick(
        &self,
        criteria: &ServerCriteria<'_>,
        seed: u64,
        now: time::Timestamp,
    ) -> Option<net::SocketAddr> {
        let offset = usize::try_from(mix_bits(seed)).ok()?.checked_rem(self.servers.len())?;
        let (before, after) = self.servers.split_at(offset);
        let rotated = after.iter().chain(before);
        let ranks_by_delay = self.rule == policy::ChoiceRule::ExpectedDelay;
        let has_slot =
            |server: &server::ServerState| ranks_by_delay || server.in_flight < server.slots;
        let mut usable = rotated.filter(|server| {
            has_slot(server)
                && server.is_usable(now)
                && criteria.admits(server.address, &server.region)
        });
        let chosen = match self.rule {
            policy::ChoiceRule::Random => usable.next(),
            policy::ChoiceRule::LeastInFlight => usable.min_by_key(|server| server.own_load()),
            policy::ChoiceRule::TwoChoices => self.pick_of_two(usable, seed, now),
            policy::ChoiceRule::SoonestAnswer => {
                usable.take(MAX_SCORED).min_by_key(|server| self.score(server, now))
            }
            policy::ChoiceRule::ExpectedDelay => {
                let target = self.session_target(criteria, now);
                let expected_delay_us = |server: &server::ServerState| {
                    let penalty_us = target.map_or(0, |target| self.penalty_us(server, target));
                    server.expected_delay_us(self.service_time_us, now) + penalty_us
                };
                if let Some(backup) = self.retained_backup(criteria, target, now) {
                    return Some(backup);
                }
                let soonest = usable.min_by_key(|server| expected_delay_us(server));
                // If that server has no capacity, the request waits: any other server is expected to
                // respond later.
                soonest.filter(|server| {
                    server.has_capacity(now) && criteria.meets_deadline(server, now)
                })
            }
        };
        chosen.map(|server| server.address)
    }

    /// Returns true if any server meets the constraints, even if it cannot be used now.
    #[must_use]
    pub fn has_server(&self, criteria: &ServerCriteria<'_>) -> bool {
        let mut available = self.servers.iter().filter(|server| server.is_in_service());
        available.any(|server| criteria.admits(server.address, &server.region))
    }

    /// Occupies a slot of a server for a request that is sent to it.
    pub fn occupy_slot(
        &mut self,
        address: net::SocketAddr,
        session: Option<session::SessionKey>,
        now: time::Timestamp,
    ) {
        let mut is_remote = false;
        if let Some(server) = self.server_mut(address) {
            is_remote = !server.is_local();
            if server.in_flight == 0 {
                server.waiting_since = now;
            }
            server.in_flight += 1;
            server.cold.record(now);
            server.statements.record_request(now);
            session.into_iter().for_each(|session| server.sessions.record(session));
        }
        if let Some(failback) = &mut self.failback {
            failback.record(is_remote, now);
        }
    }

    /// Releases the slot of an ended request and records the result.
    pub fn release_slot(
        &mut self,
        address: net::SocketAddr,
        report: AttemptReport,
        now: time::Timestamp,
    ) {
        let failed = report.result == ReportedResult::Failed;
        let may_eject = failed && self.may_eject(now);
        let Some(server) = self.server_mut(address) else { return };
        server.in_flight = server.in_flight.saturating_sub(1);
        if let Some(open) = report.open_requests {
            // The server counts this instance's requests as well, including the one that ended.
            server.other_requests = open.saturating_sub(server.in_flight + 1);
            server.reported_at = now;
        }
        match report.result {
            ReportedResult::Answered(latency) => {
                server.record_response(latency, now);
                let service_time_us = server.service_time_us;
                self.service_time_us =
                    server::smooth(self.service_time_us, service_time_us, POOL_SMOOTHING);
            }
            ReportedResult::Shed => server.block_until(now + SHED_BACKOFF),
            ReportedResult::Failed => {
                if server.health.record_failure() && may_eject {
                    server.health.eject(now);
                    server.block_until(server.health.ejected_until());
                }
            }
            ReportedResult::Cancelled => {}
        }
        self.remove_unlisted(now);
    }

    /// Returns the number of requests that this instance has open at a server.
    #[must_use]
    pub fn in_flight(&self, address: net::SocketAddr) -> u32 {
        self.indexes.get(&address).map_or(0, |index| self.servers[*index].in_flight)
    }

    /// Returns the number of servers that are ejected now.
    #[must_use]
    pub fn ejected_count(&self, now: time::Timestamp) -> usize {
        self.servers.iter().filter(|server| server.health.is_ejected(now)).count()
    }

    /// Returns the earliest time at which a skipped server may become usable again.
    ///
    /// This is the end of a backoff, of an ejection, of the wait under a cold server's
    /// rate limit or, under [`ChoiceRule::ExpectedDelay`](policy::ChoiceRule::ExpectedDelay),
    /// of a load report's validity. The progress of a slow start is not considered.
    #[must_use]
    pub fn next_change(&self, now: time::Timestamp) -> Option<time::Timestamp> {
        let uses_reports = self.rule == policy::ChoiceRule::ExpectedDelay;
        let ends = self.servers.iter().flat_map(|server| {
            let report_end = (server.reported_at + server.report_validity()).as_micros();
            let report_end = if uses_reports { report_end } else { 0 };
            let report_end = time::Timestamp::from_micros(report_end);
            [server.blocked_until, server.cold.next_at(), server.statements.next_at(), report_end]
        });
        ends.filter(|end| *end > now).min()
    }

    /// Returns the minimum latency observed on any listed server.
    #[must_use]
    pub fn min_latency(&self) -> duration::Duration {
        let listed = self.servers.iter().filter(|server| server.listed);
        let known = listed.map(|server| server.min_latency_us).filter(|latency_us| *latency_us > 0);
        duration::Duration::from_micros(known.min().unwrap_or(0))
    }

    /// Returns the time within which a request that is sent now can be expected to be answered, with
    /// a margin.
    #[must_use]
    pub fn response_reserve(&self) -> duration::Duration {
        let in_service = self.servers.iter().filter(|server| server.is_in_service());
        let round_trip_us = in_service.map(|server| server.distance.round_trip_us()).max();
        let service_time_us = self.service_time_us * STOP_RESERVE_PERCENT / 100;
        duration::Duration::from_micros(round_trip_us.unwrap_or(0) + service_time_us)
    }

    /// Scores a server; the lowest score wins.
    ///
    /// A server whose latency is unknown is tried first, as is an idle server whose
    /// latency has expired.
    fn score(&self, server: &server::ServerState, now: time::Timestamp) -> u64 {
        let ages = self.disabled != mechanism::DisabledMechanism::LatencyAging;
        let is_old = now.since(server.answered_at) > LATENCY_MAX_AGE;
        if ages && is_old && server.in_flight == 0 { 0 } else { server.score(now) }
    }

    /// Returns the preferred servers of a request's session, if it has one.
    fn session_target(
        &self,
        criteria: &ServerCriteria<'_>,
        now: time::Timestamp,
    ) -> Option<SessionTarget> {
        let session = criteria.session?;
        let min_remote_milli = self.failback.map_or(0, |failback| failback.min_remote_milli(now));
        Some(SessionTarget {
            session,
            servers: self.region_slots.servers_for(session, &self.servers, criteria),
            backup_use: placement::BackupUse::of(session, min_remote_milli),
        })
    }

    /// Returns the session's backup server if the session is placed there, or while the
    /// failback limit keeps further requests in its region.
    fn retained_backup(
        &self,
        criteria: &ServerCriteria<'_>,
        target: Option<SessionTarget>,
        now: time::Timestamp,
    ) -> Option<net::SocketAddr> {
        let target = target?;
        let address = target.servers.backup?;
        let failback = self.failback?;
        let is_retained = match target.backup_use {
            placement::BackupUse::Placed => failback.may_stay_remote(now),
            placement::BackupUse::Next => failback.must_stay_remote(now),
            placement::BackupUse::Overflow => false,
        };
        let server = &self.servers[*self.indexes.get(&address)?];
        let is_available = is_retained && server.is_usable(now) && server.has_capacity(now);
        (is_available && criteria.meets_deadline(server, now)).then_some(address)
    }

    /// Returns the penalty for a server that is not the primary one of the request's session.
    fn penalty_us(&self, server: &server::ServerState, target: SessionTarget) -> u64 {
        let is = |preferred: Option<net::SocketAddr>| preferred == Some(server.address);
        if is(target.servers.primary) {
            return 0;
        }
        if server.sessions.contains(target.session) {
            return self.service_time_us / RECENT_SESSION_DIVISOR;
        }
        if is(target.servers.backup) {
            return self.service_time_us / BACKUP_SESSION_DIVISOR;
        }
        self.service_time_us * UNKNOWN_SESSION_FACTOR
    }

    fn pick_of_two<'a>(
        &self,
        usable: impl Iterator<Item = &'a server::ServerState>,
        seed: u64,
        now: time::Timestamp,
    ) -> Option<&'a server::ServerState> {
        let usable: Vec<_> = usable.collect();
        let first = usable.first()?;
        let second = usize::try_from(mix_bits(seed ^ u64::MAX)).ok()? % usable.len();
        let pair = [*first, usable[second]];
        pair.into_iter().min_by_key(|server| server.estimated_load(now))
    }

    pub(crate) fn may_eject(&self, now: time::Timestamp) -> bool {
        let bounded = self.disabled != mechanism::DisabledMechanism::EjectionBound;
        !bounded || self.ejected_count(now) < self.servers.len() / EJECTED_DIVISOR
    }

    pub(crate) fn server_mut(
        &mut self,
        address: net::SocketAddr,
    ) -> Option<&mut server::ServerState> {
        self.indexes.get(&address).map(|index| &mut self.servers[*index])
    }

    fn remove_unlisted(&mut self, now: time::Timestamp) {
        let is_removable = |server: &server::ServerState| !server.listed && server.in_flight == 0;
        if !self.servers.iter().any(is_removable) {
            return;
        }
        for server in self.servers.extract_if(.., |server| is_removable(server)) {
            if let Some(run) = server.run() {
                self.departed.record(run, server.statements, now);
            }
        }
        let indexes = self.servers.iter().enumerate();
        self.indexes = indexes.map(|(index, server)| (server.address, index)).collect();
    }
}

pub(crate) const fn mix_bits(seed: u64) -> u64 {
    const FACTOR: u64 = 0x9E37_79B9_7F4A_7C15;
    let mixed = (seed ^ (seed >> 32)).wrapping_mul(FACTOR);
    mixed ^ (mixed >> 29)
}
