//! The choice of a backend server.
//!
//! Invariants: a draining or removed server is never chosen; this instance
//! alone never gives a server more requests than it has slots; at most a third
//! of a pool is ejected at once. Reported load only orders servers, since it
//! may lag or lie.

use std::collections;
use std::net;
use std::time as duration;

use marjoramwing_derives as derives;
use marjoramwing_entity::time;
use marjoramwing_tables::pool;

use crate::health;
use crate::mechanism;
use crate::policy;

/// One server in this many may be ejected.
const EJECTED_DIVISOR: usize = 3;
/// Microseconds, as a power of two, after which a load report counts for nothing.
const REPORT_LIFE_BITS: u32 = 20;
/// Time for which a server that shed a request is passed over.
const SHED_PAUSE: duration::Duration = duration::Duration::from_millis(20);
/// Times the least latency after which a server counts as silent.
const SILENCE_FACTOR: u64 = 8;
/// Latency below which servers count as equally far, in microseconds.
const NEAR_US: u64 = 1 << 10;
/// Time after which the latency of a server that is not used is forgotten.
const LATENCY_LIFE: duration::Duration = duration::Duration::from_secs(30);
/// Usable servers that one choice scores, from a place that differs each time.
const MAX_SCORED: usize = 128;
/// Scale of a load in a score.
const LOAD_SCALE: u64 = 1 << 20;

/// How an attempt at a server ended.
#[derives::value]
pub struct AttemptReport {
    /// What came of the attempt.
    pub result: ReportedResult,
    /// Requests open at the server, as it said.
    pub open_requests: Option<u32>,
}

/// What came of an attempt.
#[derives::value]
pub enum ReportedResult {
    /// An answer after this latency.
    Answered(duration::Duration),
    /// The server had no free slot.
    Shed,
    /// The server could not be reached, broke off or was silent.
    Failed,
    /// Nothing that tells of the server.
    Cancelled,
}

/// Chooses among the backend servers of one pool.
#[derive(Debug, Clone)]
pub struct BackendPicker {
    rule: policy::ChoiceRule,
    disabled: mechanism::DisabledMechanism,
    servers: Vec<ServerState>,
    places: collections::HashMap<net::SocketAddr, usize>,
}

#[derive(Debug, Clone)]
struct ServerState {
    address: net::SocketAddr,
    slots: u32,
    slot_load: u64,
    in_flight: u32,
    listed: bool,
    leaving: bool,
    others: u32,
    reported_at: time::Timestamp,
    /// End of the pause after a shed, or of the ejection.
    blocked_until: time::Timestamp,
    least_us: u64,
    answered_at: time::Timestamp,
    /// Start of the wait for the next answer.
    silent_since: time::Timestamp,
    health: health::ServerHealth,
}

impl BackendPicker {
    /// Makes a picker without servers.
    #[must_use]
    pub fn new(rule: policy::ChoiceRule, disabled: mechanism::DisabledMechanism) -> Self {
        let places = collections::HashMap::new();
        Self { rule, disabled, servers: Vec::new(), places }
    }

    /// Takes over the servers of a pool; what is known of them is kept.
    ///
    /// Servers that join a pool already in use start slowly.
    pub fn set_servers(&mut self, pool: &pool::Pool, now: time::Timestamp) {
        let joins = !self.servers.is_empty();
        self.servers.iter_mut().for_each(|state| state.listed = false);
        for server in pool.servers.values() {
            let cold =
                if joins { health::ServerHealth::cold(now) } else { health::ServerHealth::WARM };
            let place = *self.places.entry(server.address).or_insert_with(|| {
                self.servers.push(ServerState::new(server, cold));
                self.servers.len() - 1
            });
            let state = &mut self.servers[place];
            state.slots = server.slots;
            state.slot_load = LOAD_SCALE / u64::from(server.slots.max(1));
            state.listed = !server.draining;
        }
        self.forget_gone();
    }

    /// Gives the leaving among the servers no new work; a later call replaces it.
    pub fn set_leaving(&mut self, leaving: &collections::HashSet<net::SocketAddr>) {
        for server in &mut self.servers {
            server.leaving = leaving.contains(&server.address);
        }
    }

    /// Chooses a server that is listed, healthy, not avoided and has a free slot.
    #[must_use]
    pub fn pick(
        &self,
        avoided: &[net::SocketAddr],
        seed: u64,
        now: time::Timestamp,
    ) -> Option<net::SocketAddr> {
        let offset = usize::try_from(spread(seed)).ok()?.checked_rem(self.servers.len())?;
        let (before, after) = self.servers.split_at(offset);
        let rotated = after.iter().chain(before);
        let mut usable =
            rotated.filter(|server| server.is_usable(now) && !avoided.contains(&server.address));
        let chosen = match self.rule {
            policy::ChoiceRule::Random => usable.next(),
            policy::ChoiceRule::LeastInFlight => usable.min_by_key(|server| server.own_load()),
            policy::ChoiceRule::TwoChoices => self.pick_of_two(usable, seed, now),
            policy::ChoiceRule::SoonestAnswer => {
                usable.take(MAX_SCORED).min_by_key(|server| self.score(server, now))
            }
        };
        chosen.map(|server| server.address)
    }

    /// Tells whether any server may be used, now or later.
    #[must_use]
    pub fn has_server(&self, avoided: &[net::SocketAddr]) -> bool {
        let mut staying = self.servers.iter().filter(|server| server.listed && !server.leaving);
        staying.any(|server| !avoided.contains(&server.address))
    }

    /// Records the start of a request at a server.
    pub fn begin(&mut self, address: net::SocketAddr, now: time::Timestamp) {
        if let Some(server) = self.server_mut(address) {
            if server.in_flight == 0 {
                server.silent_since = now;
            }
            server.in_flight += 1;
        }
    }

    /// Records the end of a request at a server.
    pub fn finish(
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
            server.others = open.saturating_sub(server.in_flight + 1);
            server.reported_at = now;
        }
        match report.result {
            ReportedResult::Answered(latency) => server.record_answer(latency, now),
            ReportedResult::Shed => server.block_until(now + SHED_PAUSE),
            ReportedResult::Failed => {
                if server.health.record_failure() && may_eject {
                    server.health.eject(now);
                    server.block_until(server.health.ejected_until());
                }
            }
            ReportedResult::Cancelled => {}
        }
        if !server.listed {
            self.forget_gone();
        }
    }

    /// Returns the requests that this instance has open at a server.
    #[must_use]
    pub fn in_flight(&self, address: net::SocketAddr) -> u32 {
        self.places.get(&address).map_or(0, |place| self.servers[*place].in_flight)
    }

    /// Returns the servers ejected now.
    #[must_use]
    pub fn ejected_count(&self, now: time::Timestamp) -> usize {
        self.servers.iter().filter(|server| server.health.is_ejected(now)).count()
    }

    /// Returns when a server that is passed over may be usable again.
    #[must_use]
    pub fn next_change(&self, now: time::Timestamp) -> Option<time::Timestamp> {
        let ends = self.servers.iter().map(|server| server.blocked_until);
        ends.filter(|end| *end > now).min()
    }

    /// Returns the least latency that any server has shown.
    #[must_use]
    pub fn least_latency(&self) -> duration::Duration {
        let listed = self.servers.iter().filter(|server| server.listed);
        let known = listed.map(|server| server.least_us).filter(|least| *least > 0);
        duration::Duration::from_micros(known.min().unwrap_or(0))
    }

    /// Scores a server; the smallest is chosen. One of unknown latency, or of one
    /// learnt long ago, is tried first, by one request at a time.
    fn score(&self, server: &ServerState, now: time::Timestamp) -> u64 {
        let ages = self.disabled != mechanism::DisabledMechanism::LatencyAging;
        let is_old = now.since(server.answered_at) > LATENCY_LIFE;
        if ages && is_old && server.in_flight == 0 { 0 } else { server.score(now) }
    }

    fn pick_of_two<'a>(
        &self,
        usable: impl Iterator<Item = &'a ServerState>,
        seed: u64,
        now: time::Timestamp,
    ) -> Option<&'a ServerState> {
        let usable: Vec<_> = usable.collect();
        let first = usable.first()?;
        let second = usize::try_from(spread(seed ^ u64::MAX)).ok()? % usable.len();
        let pair = [*first, usable[second]];
        pair.into_iter().min_by_key(|server| server.believed_load(now))
    }

    fn may_eject(&self, now: time::Timestamp) -> bool {
        let bounded = self.disabled != mechanism::DisabledMechanism::EjectionBound;
        !bounded || self.ejected_count(now) < self.servers.len() / EJECTED_DIVISOR
    }

    fn server_mut(&mut self, address: net::SocketAddr) -> Option<&mut ServerState> {
        self.places.get(&address).map(|place| &mut self.servers[*place])
    }

    fn forget_gone(&mut self) {
        let is_gone = |server: &ServerState| !server.listed && server.in_flight == 0;
        if !self.servers.iter().any(is_gone) {
            return;
        }
        self.servers.retain(|server| !is_gone(server));
        let places = self.servers.iter().enumerate();
        self.places = places.map(|(place, server)| (server.address, place)).collect();
    }
}

impl ServerState {
    fn new(server: &pool::BackendServer, health: health::ServerHealth) -> Self {
        Self {
            address: server.address,
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

    fn is_usable(&self, now: time::Timestamp) -> bool {
        self.in_flight < self.slots
            && now >= self.blocked_until
            && self.listed
            && !self.leaving
            && self.in_flight < self.health.usable_slots(self.slots, now)
    }

    fn block_until(&mut self, until: time::Timestamp) {
        self.blocked_until = self.blocked_until.max(until);
    }

    fn own_load(&self) -> u64 {
        u64::from(self.in_flight) * self.slot_load
    }

    fn believed_load(&self, now: time::Timestamp) -> u64 {
        let age_us = now.as_micros().saturating_sub(self.reported_at.as_micros());
        let fresh_us = (1_u64 << REPORT_LIFE_BITS).saturating_sub(age_us);
        let others = u64::from(self.others) * self.slot_load * fresh_us;
        u64::from(self.in_flight) * self.slot_load + (others >> REPORT_LIFE_BITS)
    }

    /// Expects the next answer after the least latency seen, or, once the server
    /// is silent for many times as long, after as long as that.
    fn score(&self, now: time::Timestamp) -> u64 {
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

    fn record_answer(&mut self, latency: duration::Duration, now: time::Timestamp) {
        self.silent_since = now;
        self.answered_at = now;
        let latency_us = u64::try_from(latency.as_micros()).unwrap_or(u64::MAX);
        self.health.record_success();
        self.least_us = match self.least_us {
            0 => latency_us.max(1),
            least => least.min(latency_us.max(1)),
        };
    }
}

/// Spreads a seed over all bits.
const fn spread(seed: u64) -> u64 {
    const FACTOR: u64 = 0x9E37_79B9_7F4A_7C15;
    let mixed = (seed ^ (seed >> 32)).wrapping_mul(FACTOR);
    mixed ^ (mixed >> 29)
}
