//! One backend server as this instance sees it.
//!
//! Reported load only orders servers, since it may lag or lie.

use std::net;
use std::sync::Arc;
use std::time as duration;

use marjoramwing_entity::time;
use marjoramwing_tables::name;
use marjoramwing_tables::pool;

use crate::cold;
use crate::distance;
use crate::health;
use crate::session;

/// Microseconds, as a power of two, after which a load report counts for nothing.
const REPORT_LIFE_BITS: u32 = 20;
/// Times the least latency after which a server counts as silent.
const SILENCE_FACTOR: u64 = 8;
/// Latency below which servers count as equally far, in microseconds.
const NEAR_US: u64 = 1 << 10;
/// Least and longest time for which a server's report of its load counts.
const MIN_REPORT_LIFE: duration::Duration = duration::Duration::from_millis(30);
const MAX_REPORT_LIFE: duration::Duration = duration::Duration::from_millis(300);
/// Part of the usual work for which a report counts.
const REPORT_DIVISOR: u64 = 2;
/// Time to the next free slot up to which a request is sent ahead of it.
const SLOT_BRIDGE_US: u64 = 60_000;
/// Times the usual work after which a server counts as silent.
const SILENCE_WORKS: u64 = 3;
/// Part of the usual work that a wholly taken server counts more than an idle one.
const CROWDING_DIVISOR: u64 = 8;
/// Answers over which a server's usual work is averaged.
const SERVER_SMOOTHING: u64 = 8;
/// Scale of a load in a score.
pub(crate) const LOAD_SCALE: u64 = 1 << 20;

/// One server as this instance sees it.
#[derive(Debug, Clone)]
pub(crate) struct ServerState {
    pub(crate) address: net::SocketAddr,
    pub(crate) failure_domain: name::DomainName,
    pub(crate) region: Option<Arc<str>>,
    pub(crate) registered: Option<pool::ServerIdentity>,
    pub(crate) distance: distance::ServerDistance,
    pub(crate) seed: session::ServerSeed,
    pub(crate) sessions: session::SessionMemory,
    pub(crate) cold: cold::ColdPace,
    /// Usual time at this server, in microseconds; 0 before its first answer.
    pub(crate) work_us: u64,
    pub(crate) slots: u32,
    pub(crate) slot_load: u64,
    pub(crate) in_flight: u32,
    pub(crate) listed: bool,
    pub(crate) leaving: bool,
    pub(crate) others: u32,
    pub(crate) reported_at: time::Timestamp,
    /// End of the pause after a shed, or of the ejection.
    pub(crate) blocked_until: time::Timestamp,
    pub(crate) least_us: u64,
    pub(crate) answered_at: time::Timestamp,
    /// Start of the wait for the next answer.
    pub(crate) silent_since: time::Timestamp,
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
            seed: server_seed(server),
            sessions: session::SessionMemory::default(),
            cold: cold::ColdPace::WARM,
            work_us: 0,
            slots: server.slots,
            slot_load: LOAD_SCALE / u64::from(server.slots.max(1)),
            in_flight: 0,
            listed: true,
            leaving: false,
            others: 0,
            reported_at: time::Timestamp::ZERO,
            blocked_until: time::Timestamp::ZERO,
            least_us: 0,
            answered_at: time::Timestamp::ZERO,
            silent_since: time::Timestamp::ZERO,
            health,
        }
    }

    pub(crate) fn is_usable(&self, now: time::Timestamp) -> bool {
        now >= self.blocked_until
            && self.listed
            && !self.leaving
            && self.cold.allows(now)
            && (self.health.is_warm(now)
                || self.in_flight < self.health.usable_slots(self.slots, now))
    }

    pub(crate) fn is_near(&self) -> bool {
        self.distance.place != distance::ServerPlace::Elsewhere
    }

    /// Tells whether a slot is free, for all instances and as far as is known.
    ///
    /// One request may wait at the server for a slot that is due soon, since this
    /// instance hears late of the slots that others leave.
    pub(crate) fn has_room(&self, now: time::Timestamp) -> bool {
        let slot_due_us = self.work_us / u64::from(self.slots.max(1));
        let queue = u32::from(slot_due_us < SLOT_BRIDGE_US);
        self.believed_open(now) < self.slots + queue
    }

    /// Takes over who the server is; another run of it starts from nothing.
    pub(crate) fn take_registration(&mut self, server: &pool::BackendServer, now: time::Timestamp) {
        let Some(told) = &server.registered else { return };
        let known = self.registered.as_ref();
        let same_run =
            known.is_some_and(|known| known.id == told.id && known.started_ms == told.started_ms);
        let was_told = known.is_some_and(|known| known == told);
        if !same_run {
            let (in_flight, place, cold) = (self.in_flight, self.distance.place, self.cold);
            let region = self.region.take();
            *self = Self::new(server, health::ServerHealth::WARM);
            (self.in_flight, self.distance.place, self.cold) = (in_flight, place, cold);
            self.region = region;
        }
        if !was_told {
            self.cold.set_until(now + told.cold_for);
            self.registered = Some(told.clone());
        }
    }

    /// Returns how long a report counts: a part of the work that it tells of.
    pub(crate) fn report_life(&self) -> duration::Duration {
        let life = duration::Duration::from_micros(self.work_us / REPORT_DIVISOR);
        life.clamp(MIN_REPORT_LIFE, MAX_REPORT_LIFE)
    }

    /// Returns the requests that the server holds, from all instances.
    pub(crate) fn believed_open(&self, now: time::Timestamp) -> u32 {
        let is_fresh = now.since(self.reported_at) < self.report_life();
        self.in_flight + if is_fresh { self.others } else { 0 }
    }

    /// Returns the expected time to an answer, in microseconds.
    pub(crate) fn expected_us(&self, pool_work_us: u64, now: time::Timestamp) -> u64 {
        let usual_us = if self.work_us == 0 { pool_work_us } else { self.work_us };
        let silent_us = match self.in_flight {
            0 => 0,
            _ => now.as_micros().saturating_sub(self.silent_since.as_micros()),
        };
        let is_silent = silent_us > usual_us.saturating_mul(SILENCE_WORKS);
        let work_us = if is_silent { silent_us } else { usual_us };
        let open = u64::from(self.believed_open(now));
        let slots = u64::from(self.slots.max(1));
        let queued = (open + 1).saturating_sub(slots);
        // A fuller server is more likely to be full by the time the request arrives.
        let crowding_us = work_us * open / (slots * CROWDING_DIVISOR);
        self.distance.cost_us() + work_us + work_us * queued / slots + crowding_us
    }

    pub(crate) fn block_until(&mut self, until: time::Timestamp) {
        self.blocked_until = self.blocked_until.max(until);
    }

    pub(crate) fn own_load(&self) -> u64 {
        u64::from(self.in_flight) * self.slot_load
    }

    pub(crate) fn believed_load(&self, now: time::Timestamp) -> u64 {
        let age_us = now.as_micros().saturating_sub(self.reported_at.as_micros());
        let fresh_us = (1_u64 << REPORT_LIFE_BITS).saturating_sub(age_us);
        let others = u64::from(self.others) * self.slot_load * fresh_us;
        u64::from(self.in_flight) * self.slot_load + (others >> REPORT_LIFE_BITS)
    }

    /// Expects the next answer after the least latency seen, or, once the server
    /// is silent for many times as long, after as long as that.
    pub(crate) fn score(&self, now: time::Timestamp) -> u64 {
        let silent_us = match self.in_flight {
            0 => 0,
            _ => now.as_micros().saturating_sub(self.silent_since.as_micros()),
        };
        let usual = silent_us <= self.least_us.saturating_mul(SILENCE_FACTOR);
        let expected_us = match self.least_us {
            0 => 0,
            // Servers that are about as far share the load.
            least_us if usual => least_us.max(NEAR_US).next_power_of_two(),
            _ => silent_us.max(NEAR_US),
        };
        expected_us.saturating_mul(LOAD_SCALE + self.believed_load(now))
    }

    pub(crate) fn record_answer(&mut self, latency: duration::Duration, now: time::Timestamp) {
        self.silent_since = now;
        self.answered_at = now;
        let latency_us = u64::try_from(latency.as_micros()).unwrap_or(u64::MAX);
        self.health.record_success();
        let at_server_us = latency_us.saturating_sub(self.distance.round_trip_us());
        self.work_us = match self.work_us {
            0 => at_server_us,
            known => smooth(known, at_server_us, SERVER_SMOOTHING),
        };
        self.least_us = match self.least_us {
            0 => latency_us.max(1),
            least => least.min(latency_us.max(1)),
        };
    }
}

/// Hashes what all instances know a server by.
fn server_seed(server: &pool::BackendServer) -> session::ServerSeed {
    match &server.registered {
        Some(registered) => session::ServerSeed::of(&registered.id),
        None => session::ServerSeed::of(&server.address.to_string()),
    }
}

/// Moves a mean towards a new value by one part in `divisor`.
pub(crate) const fn smooth(mean: u64, value: u64, divisor: u64) -> u64 {
    (mean * (divisor - 1) + value) / divisor
}
