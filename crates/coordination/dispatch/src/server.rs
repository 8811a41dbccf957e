//! State of one backend server as seen by this instance.
//!
//! Reported load only ranks servers, since it may be stale or wrong.

use std::net;
use std::sync::Arc;
use std::time as duration;

use marjoramwing_entity::rendezvous;
use marjoramwing_entity::time;
use marjoramwing_tables::name;
use marjoramwing_tables::pool;

use crate::cold;
use crate::distance;
use crate::health;
use crate::session;
use crate::statement;

/// Time over which the weight of a load report falls to zero, as a power of two in microseconds.
const REPORT_DECAY_BITS: u32 = 20;
/// Multiple of the minimum latency after which a server counts as unresponsive.
const UNRESPONSIVE_LATENCY_FACTOR: u64 = 8;
/// Latency below which servers count as equally distant, in microseconds.
const MIN_DISTINCT_LATENCY_US: u64 = 1 << 10;
/// Bounds on the time for which a load report is valid.
const MIN_REPORT_VALIDITY: duration::Duration = duration::Duration::from_millis(30);
const MAX_REPORT_VALIDITY: duration::Duration = duration::Duration::from_millis(300);
/// Validity of a load report, as a divisor of the mean service time.
const REPORT_VALIDITY_DIVISOR: u64 = 2;
/// Mean time between two free slots, in microseconds, below which one request may be sent before
/// a slot is free.
const MAX_SLOT_WAIT_US: u64 = 60_000;
/// Multiple of the mean service time after which a server counts as unresponsive.
const UNRESPONSIVE_SERVICE_FACTOR: u64 = 3;
/// Penalty of a fully occupied server, as a divisor of the mean service time.
const UTILIZATION_DIVISOR: u64 = 8;
/// Number of responses over which a server's mean service time is smoothed.
const SERVER_SMOOTHING: u64 = 8;
/// Fixed-point scale of a load in a score.
pub(crate) const LOAD_SCALE: u64 = 1 << 20;

/// One server as seen by this instance.
#[derive(Debug, Clone)]
pub(crate) struct ServerState {
    pub(crate) address: net::SocketAddr,
    pub(crate) failure_domain: name::FailureDomainName,
    /// Region of the failure domain; `None` if it is not known.
    pub(crate) region: Option<Arc<str>>,
    /// Registration of the server; `None` if it did not register itself.
    pub(crate) registered: Option<pool::ServerIdentity>,
    pub(crate) distance: distance::ServerDistance,
    /// Hash by which sessions rank the server.
    pub(crate) seed: session::ServerSeed,
    pub(crate) sessions: session::RecentSessions,
    pub(crate) cold: cold::ColdLimiter,
    pub(crate) statements: statement::ServerStatements,
    /// Key by which instances are ranked for this server.
    pub(crate) share_key: u64,
    /// Mean service time of this server, in microseconds; 0 before its first response.
    pub(crate) service_time_us: u64,
    pub(crate) slots: u32,
    /// Share of the slots that one request takes, multiplied by [`LOAD_SCALE`].
    pub(crate) request_load: u64,
    /// Open requests of this instance.
    pub(crate) in_flight: u32,
    /// Whether the server is in the pool and not draining.
    pub(crate) listed: bool,
    /// Whether the instance listing reports the server as leaving.
    pub(crate) leaving: bool,
    /// Open requests of other instances, as of the last report.
    pub(crate) other_requests: u32,
    pub(crate) reported_at: time::Timestamp,
    /// End of the backoff after a shed, or of the ejection.
    pub(crate) blocked_until: time::Timestamp,
    /// Minimum latency of all responses, in microseconds; 0 before the first one.
    pub(crate) min_latency_us: u64,
    /// Time of the last response.
    pub(crate) answered_at: time::Timestamp,
    /// Start of the wait for the next response.
    pub(crate) waiting_since: time::Timestamp,
    pub(crate) health: health::ServerHealth,
}

impl ServerState {
    pub(crate) fn new(server: &pool::BackendServer, health: health::ServerHealth) -> Self {
        Self {
            address: server.address,
            failure_domain: server.failure_domain.clone(),
            region: None,
            registered: None,
            distance: distance::ServerDistance::default(),
            seed: session::ServerSeed::of(&common_name(server)),
            sessions: session::RecentSessions::default(),
            cold: cold::ColdLimiter::WARM,
            statements: statement::ServerStatements::default(),
            share_key: rendezvous::seed_of(&common_name(server)),
            service_time_us: 0,
            slots: server.slots,
            request_load: LOAD_SCALE / u64::from(server.slots.max(1)),
            in_flight: 0,
            listed: true,
            leaving: false,
            other_requests: 0,
            reported_at: time::Timestamp::ZERO,
            blocked_until: time::Timestamp::ZERO,
            min_latency_us: 0,
            answered_at: time::Timestamp::ZERO,
            waiting_since: time::Timestamp::ZERO,
            health,
        }
    }

    /// Returns true if the server may be sent a request, apart from its free slots.
    ///
    /// It may not while it is unlisted, leaving, ejected or in the backoff after a shed,
    /// while it wants no requests, while its cold rate or this instance's part of its limit is used
    /// up, or beyond the slots usable in slow start.
    pub(crate) fn is_usable(&self, now: time::Timestamp) -> bool {
        now >= self.blocked_until
            && self.is_in_service()
            && self.cold.allows(now)
            && self.statements.allows(self.in_flight, now)
            && (self.health.is_past_slow_start(now)
                || self.in_flight < self.health.usable_slots(self.slots, now))
    }

    /// Returns true if the server is in the pool, not draining and not leaving, by the listing or by
    /// its own answers.
    pub(crate) const fn is_in_service(&self) -> bool {
        self.listed && !self.leaving && !self.statements.is_leaving()
    }

    pub(crate) fn is_local(&self) -> bool {
        self.distance.locality != distance::ServerLocality::OtherRegion
    }

    /// Returns true if the server has a free slot, as far as this instance knows.
    ///
    /// One request may wait at the server for a slot that is due soon, since this
    /// instance learns late of slots that other instances free.
    pub(crate) fn has_capacity(&self, now: time::Timestamp) -> bool {
        let slot_interval_us = self.service_time_us / u64::from(self.slots.max(1));
        let allowed_waiting = u32::from(slot_interval_us < MAX_SLOT_WAIT_US);
        self.estimated_open(now) < self.slots + allowed_waiting
    }

    /// Updates the server's registration.
    ///
    /// A new run of the server discards the learned state; the requests in flight, the
    /// location and the cold limiter are kept. Any change of the registration restarts the
    /// time for which the server is cold.
    pub(crate) fn update_registration(
        &mut self,
        server: &pool::BackendServer,
        now: time::Timestamp,
    ) {
        let Some(registration) = &server.registered else { return };
        let known = self.registered.as_ref();
        let same_run = known.is_some_and(|known| {
            known.id == registration.id && known.started_ms == registration.started_ms
        });
        let is_unchanged = known.is_some_and(|known| known == registration);
        if !same_run {
            let (in_flight, locality, cold) = (self.in_flight, self.distance.locality, self.cold);
            let region = self.region.take();
            *self = Self::new(server, health::ServerHealth::HEALTHY);
            (self.in_flight, self.distance.locality, self.cold) = (in_flight, locality, cold);
            self.region = region;
        }
        if !is_unchanged {
            self.cold.set_cold_until(now + registration.cold_for);
            self.registered = Some(registration.clone());
        }
    }

    /// Returns the time for which a load report is valid: a fraction of the mean service time.
    pub(crate) fn report_validity(&self) -> duration::Duration {
        let validity =
            duration::Duration::from_micros(self.service_time_us / REPORT_VALIDITY_DIVISOR);
        validity.clamp(MIN_REPORT_VALIDITY, MAX_REPORT_VALIDITY)
    }

    /// Returns the estimated number of open requests at the server, from all instances.
    pub(crate) fn estimated_open(&self, now: time::Timestamp) -> u32 {
        let is_fresh = now.since(self.reported_at) < self.report_validity();
        self.in_flight + if is_fresh { self.other_requests } else { 0 }
    }

    /// Returns the expected time to a response, in microseconds.
    ///
    /// It includes the cost of the distance, the wait for a slot and a penalty for utilization.
    /// The mean service time of the pool stands in before the server's first response.
    pub(crate) fn expected_delay_us(&self, pool_service_time_us: u64, now: time::Timestamp) -> u64 {
        let mean_us =
            if self.service_time_us == 0 { pool_service_time_us } else { self.service_time_us };
        let waiting_us = match self.in_flight {
            0 => 0,
            _ => now.as_micros().saturating_sub(self.waiting_since.as_micros()),
        };
        let is_unresponsive = waiting_us > mean_us.saturating_mul(UNRESPONSIVE_SERVICE_FACTOR);
        let service_time_us = if is_unresponsive { waiting_us } else { mean_us };
        let open = u64::from(self.estimated_open(now));
        let slots = u64::from(self.slots.max(1));
        let queued = (open + 1).saturating_sub(slots);
        // The fuller a server, the likelier that no slot is free when the request arrives.
        let utilization_us = service_time_us * open / (slots * UTILIZATION_DIVISOR);
        self.distance.cost_us()
            + service_time_us
            + service_time_us * queued / slots
            + utilization_us
    }

    /// Returns the run of the server; `None` if it did not register itself.
    pub(crate) fn run(&self) -> Option<statement::ServerRun> {
        self.registered.as_ref().map(|registered| statement::ServerRun {
            id: Arc::clone(&registered.id),
            started_ms: registered.started_ms,
        })
    }

    pub(crate) fn block_until(&mut self, until: time::Timestamp) {
        self.blocked_until = self.blocked_until.max(until);
    }

    /// Returns the share of the slots that this instance's requests take, multiplied by
    /// [`LOAD_SCALE`].
    pub(crate) fn own_load(&self) -> u64 {
        u64::from(self.in_flight) * self.request_load
    }

    /// Returns the share of the slots that the requests of all instances take, multiplied by
    /// [`LOAD_SCALE`]; the weight of reported requests falls with the age of the report.
    pub(crate) fn estimated_load(&self, now: time::Timestamp) -> u64 {
        let age_us = now.as_micros().saturating_sub(self.reported_at.as_micros());
        let fresh_us = (1_u64 << REPORT_DECAY_BITS).saturating_sub(age_us);
        let other_requests = u64::from(self.other_requests) * self.request_load * fresh_us;
        u64::from(self.in_flight) * self.request_load + (other_requests >> REPORT_DECAY_BITS)
    }

    /// Returns the score of the server; the lowest is best.
    ///
    /// The expected latency is the minimum observed or, if the server is unresponsive,
    /// the time since its last response or first open request. It is weighted by the
    /// estimated load.
    pub(crate) fn score(&self, now: time::Timestamp) -> u64 {
        let waiting_us = match self.in_flight {
            0 => 0,
            _ => now.as_micros().saturating_sub(self.waiting_since.as_micros()),
        };
        let is_responsive =
            waiting_us <= self.min_latency_us.saturating_mul(UNRESPONSIVE_LATENCY_FACTOR);
        let expected_latency_us = match self.min_latency_us {
            0 => 0,
            // Rounding makes servers of similar latency share the load.
            min_latency_us if is_responsive => {
                min_latency_us.max(MIN_DISTINCT_LATENCY_US).next_power_of_two()
            }
            _ => waiting_us.max(MIN_DISTINCT_LATENCY_US),
        };
        expected_latency_us.saturating_mul(LOAD_SCALE + self.estimated_load(now))
    }

    pub(crate) fn record_response(&mut self, latency: duration::Duration, now: time::Timestamp) {
        self.waiting_since = now;
        self.answered_at = now;
        let latency_us = u64::try_from(latency.as_micros()).unwrap_or(u64::MAX);
        self.health.record_success();
        let at_server_us = latency_us.saturating_sub(self.distance.round_trip_us());
        self.service_time_us = match self.service_time_us {
            0 => at_server_us,
            known => smooth(known, at_server_us, SERVER_SMOOTHING),
        };
        self.min_latency_us = match self.min_latency_us {
            0 => latency_us.max(1),
            known => known.min(latency_us.max(1)),
        };
    }
}

/// Returns the identifier or address by which all instances know a server.
fn common_name(server: &pool::BackendServer) -> Arc<str> {
    match &server.registered {
        Some(registered) => Arc::clone(&registered.id),
        None => server.address.to_string().into(),
    }
}

/// Returns the exponential moving average after a new value, whose weight is 1 / `divisor`.
pub(crate) const fn smooth(mean: u64, value: u64, divisor: u64) -> u64 {
    (mean * (divisor - 1) + value) / divisor
}
