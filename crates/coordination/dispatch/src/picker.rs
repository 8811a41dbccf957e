//! The choice of a backend server.
//!
//! Invariants: a draining or removed server is never chosen; this instance
//! alone never gives a server more requests than it has slots; at most a third
//! of a pool is ejected at once. Reported load only orders servers, since it
//! may lag or lie.

use std::collections;
use std::net;
use std::sync::Arc;
use std::time as duration;

use marjoramwing_derives as derives;
use marjoramwing_entity::time;
use marjoramwing_tables::name;
use marjoramwing_tables::pool;

use crate::cold;
use crate::distance;
use crate::health;
use crate::homing;
use crate::mechanism;
use crate::policy;
use crate::session;

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
/// Least and longest time for which a server's report of its load counts.
const MIN_REPORT_LIFE: duration::Duration = duration::Duration::from_millis(30);
const MAX_REPORT_LIFE: duration::Duration = duration::Duration::from_millis(300);
/// Time to the next free slot up to which a request is sent ahead of it.
const SLOT_BRIDGE_US: u64 = 60_000;
/// Part of the usual work for which a report counts.
const REPORT_DIVISOR: u64 = 2;
/// Times the usual work after which a server counts as silent.
const SILENCE_WORKS: u64 = 3;
/// Part of the usual work that a wholly taken server counts more than an idle one.
const CROWDING_DIVISOR: u64 = 8;
/// Part of the usual work that a server other than a session's own counts more.
const KNOWN_DIVISOR: u64 = 4;
/// Part of the usual work that a session's server in another region counts more.
const BACKUP_DIVISOR: u64 = 2;
/// Times the usual work that a session takes more at a server that does not know it.
const UNKNOWN_WORKS: u64 = 2;
/// Work that is assumed before the first answer, in microseconds.
const FIRST_WORK_US: u64 = 200_000;
/// Answers over which a server's usual work is averaged.
const SERVER_SMOOTHING: u64 = 8;
/// Answers over which the usual work of all servers is averaged.
const POOL_SMOOTHING: u64 = 64;
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

/// Which servers a request may go to.
#[derive(Debug, Clone, Copy, Default)]
pub struct ServerWish<'a> {
    /// Servers that were tried in vain.
    pub avoided: &'a [net::SocketAddr],
    /// The only regions in which the request may be served.
    pub regions: Option<&'a [Arc<str>]>,
    /// Session whose requests are best sent to the same server.
    pub session: Option<session::SessionKey>,
    /// Time at which the request must be answered, if it is known.
    pub deadline: Option<time::Timestamp>,
}

impl ServerWish<'_> {
    /// Tells whether a server that is busy can be expected to answer by the deadline.
    ///
    /// Work that is cut at the deadline is lost to everyone.
    fn ends_in_time(&self, server: &ServerState, now: time::Timestamp) -> bool {
        let Some(deadline) = self.deadline else { return true };
        let least_us = server.distance.round_trip_us() + server.work_us;
        let left_us = deadline.as_micros().saturating_sub(now.as_micros());
        server.believed_open(now) == 0 || least_us <= left_us
    }

    fn admits(&self, address: net::SocketAddr, region: &Option<Arc<str>>) -> bool {
        let is_home =
            |regions: &[Arc<str>]| region.as_ref().is_some_and(|region| regions.contains(region));
        let in_region = self.regions.is_none_or(is_home);
        in_region && !self.avoided.contains(&address)
    }
}

/// The servers that all instances of a region prefer for one session.
#[derives::value]
#[derive(Default)]
struct SessionServers {
    /// In the own region, if it has any.
    home: Option<net::SocketAddr>,
    /// In another region, for what the home has no room for.
    backup: Option<net::SocketAddr>,
}

/// Chooses among the backend servers of one pool.
#[derive(Debug, Clone)]
pub struct BackendPicker {
    rule: policy::ChoiceRule,
    disabled: mechanism::DisabledMechanism,
    servers: Vec<ServerState>,
    places: collections::HashMap<net::SocketAddr, usize>,
    /// Usual time at a server, without the way to it, in microseconds.
    work_us: u64,
    homing: Option<homing::HomingLimiter>,
}

#[derive(Debug, Clone)]
struct ServerState {
    address: net::SocketAddr,
    failure_domain: name::DomainName,
    region: Option<Arc<str>>,
    registered: Option<pool::ServerIdentity>,
    distance: distance::ServerDistance,
    seed: session::ServerSeed,
    sessions: session::SessionMemory,
    cold: cold::ColdPace,
    /// Usual time at this server, in microseconds; 0 before its first answer.
    work_us: u64,
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
        Self { rule, disabled, servers: Vec::new(), places, work_us: FIRST_WORK_US, homing: None }
    }

    /// Takes over the servers of a pool; what is known of them is kept.
    ///
    /// Servers that join a pool already in use start slowly.
    pub fn set_servers(&mut self, pool: &pool::Pool, now: time::Timestamp) {
        let joins = !self.servers.is_empty();
        self.servers.iter_mut().for_each(|state| state.listed = false);
        for server in pool.servers.values() {
            let starts_slowly = joins && server.registered.is_none();
            let cold = match starts_slowly {
                true => health::ServerHealth::cold(now),
                false => health::ServerHealth::WARM,
            };
            let place = *self.places.entry(server.address).or_insert_with(|| {
                self.servers.push(ServerState::new(server, cold));
                self.servers.len() - 1
            });
            let state = &mut self.servers[place];
            state.take_registration(server, now);
            state.slots = server.slots;
            state.slot_load = LOAD_SCALE / u64::from(server.slots.max(1));
            state.listed = !server.draining;
        }
        self.forget_gone();
    }

    /// Bounds how fast requests come back to the region; the counts so far stay.
    pub fn bound_homing(&mut self, step: f64) {
        self.homing.get_or_insert_with(|| homing::HomingLimiter::new(step));
    }

    /// Notes how far the servers are from this instance.
    pub fn set_places(&mut self, place_of: &dyn Fn(&name::DomainName) -> distance::DomainPlace) {
        for server in &mut self.servers {
            let told = place_of(&server.failure_domain);
            server.distance.place = told.place;
            server.region = told.region;
        }
    }

    /// Sets what this instance may send to each cold server, in requests per second.
    pub fn set_cold_rates(&mut self, rate_of: &dyn Fn(&str) -> u32) {
        for server in &mut self.servers {
            if let Some(registered) = &server.registered {
                server.cold.set_rate(rate_of(&registered.id));
            }
        }
    }

    /// Notes the time that a connection to a server took to open.
    pub fn note_connected(&mut self, address: net::SocketAddr, round_trip: duration::Duration) {
        if let Some(server) = self.server_mut(address) {
            server.distance.note(round_trip);
        }
    }

    /// Returns the identifier of a server that registered itself.
    #[must_use]
    pub fn identity(&self, address: net::SocketAddr) -> Option<Arc<str>> {
        let server = &self.servers[*self.places.get(&address)?];
        server.registered.as_ref().map(|registered| Arc::clone(&registered.id))
    }

    /// Gives the leaving among the servers no new work; a later call replaces it.
    pub fn set_leaving(&mut self, leaving: &collections::HashSet<net::SocketAddr>) {
        for server in &mut self.servers {
            server.leaving = leaving.contains(&server.address);
        }
    }

    /// Chooses a server that is listed, healthy, wanted and has a free slot.
    #[must_use]
    pub fn pick(
        &self,
        wish: &ServerWish<'_>,
        seed: u64,
        now: time::Timestamp,
    ) -> Option<net::SocketAddr> {
        let offset = usize::try_from(spread(seed)).ok()?.checked_rem(self.servers.len())?;
        let (before, after) = self.servers.split_at(offset);
        let rotated = after.iter().chain(before);
        let weighs_wait = self.rule == policy::ChoiceRule::ExpectedDelay;
        let room = |server: &ServerState| weighs_wait || server.in_flight < server.slots;
        let mut usable = rotated.filter(|server| {
            room(server) && server.is_usable(now) && wish.admits(server.address, &server.region)
        });
        let chosen = match self.rule {
            policy::ChoiceRule::Random => usable.next(),
            policy::ChoiceRule::LeastInFlight => usable.min_by_key(|server| server.own_load()),
            policy::ChoiceRule::TwoChoices => self.pick_of_two(usable, seed, now),
            policy::ChoiceRule::SoonestAnswer => {
                usable.take(MAX_SCORED).min_by_key(|server| self.score(server, now))
            }
            policy::ChoiceRule::ExpectedDelay => {
                let preferred = self.session_servers(wish);
                let expected_us = |server: &ServerState| {
                    server.expected_us(self.work_us, now) + self.session_us(server, wish, preferred)
                };
                if let Some(backup) = self.kept_backup(wish, preferred, now) {
                    return Some(backup);
                }
                let soonest = usable.min_by_key(|server| expected_us(server));
                // A server that is full now may still answer sooner than any other.
                soonest.filter(|server| server.has_room(now) && wish.ends_in_time(server, now))
            }
        };
        chosen.map(|server| server.address)
    }

    /// Tells whether any server may be used, now or later.
    #[must_use]
    pub fn has_server(&self, wish: &ServerWish<'_>) -> bool {
        let mut staying = self.servers.iter().filter(|server| server.listed && !server.leaving);
        staying.any(|server| wish.admits(server.address, &server.region))
    }

    /// Records the start of a request at a server.
    pub fn begin(
        &mut self,
        address: net::SocketAddr,
        session: Option<session::SessionKey>,
        now: time::Timestamp,
    ) {
        let mut is_far = false;
        if let Some(server) = self.server_mut(address) {
            is_far = !server.is_near();
            if server.in_flight == 0 {
                server.silent_since = now;
            }
            server.in_flight += 1;
            server.cold.record(now);
            session.into_iter().for_each(|session| server.sessions.note(session));
        }
        if let Some(homing) = &mut self.homing {
            homing.record(is_far, now);
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
            ReportedResult::Answered(latency) => {
                server.record_answer(latency, now);
                let work_us = server.work_us;
                self.work_us = smooth(self.work_us, work_us, POOL_SMOOTHING);
            }
            ReportedResult::Shed => server.block_until(now + SHED_PAUSE),
            ReportedResult::Failed => {
                if server.health.record_failure() && may_eject {
                    server.health.eject(now);
                    server.block_until(server.health.ejected_until());
                }
            }
            ReportedResult::Cancelled => {}
        }
        self.forget_gone();
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
        let reports_count = self.rule == policy::ChoiceRule::ExpectedDelay;
        let ends = self.servers.iter().flat_map(|server| {
            let report_end = (server.reported_at + server.report_life()).as_micros();
            let report_end = if reports_count { report_end } else { 0 };
            let report_end = time::Timestamp::from_micros(report_end);
            [server.blocked_until, server.cold.next_at(), report_end]
        });
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

    /// Returns the servers that all instances prefer for the session of a request.
    ///
    /// Whether they have room does not count, so that they stay the same ones.
    fn session_servers(&self, wish: &ServerWish<'_>) -> SessionServers {
        let Some(session) = wish.session else { return SessionServers::default() };
        let best = |near: bool| {
            let staying = self.servers.iter().filter(|server| {
                server.listed
                    && !server.leaving
                    && server.is_near() == near
                    && wish.admits(server.address, &server.region)
            });
            let best = staying.max_by_key(|server| session.score(server.seed));
            best.map(|server| server.address)
        };
        let (near, far) = (best(true), best(false));
        SessionServers { home: near.or(far), backup: near.and(far) }
    }

    /// Returns the session's server in another region while requests must not come
    /// back from there faster than they may.
    fn kept_backup(
        &self,
        wish: &ServerWish<'_>,
        preferred: SessionServers,
        now: time::Timestamp,
    ) -> Option<net::SocketAddr> {
        let address = preferred.backup.filter(|backup| !wish.avoided.contains(backup))?;
        self.homing.filter(|homing| homing.keeps_far(now))?;
        let server = &self.servers[*self.places.get(&address)?];
        let takes = server.is_usable(now) && server.has_room(now);
        (takes && wish.ends_in_time(server, now)).then_some(address)
    }

    /// Returns the time that a server needs more for a session that it does not know.
    fn session_us(
        &self,
        server: &ServerState,
        wish: &ServerWish<'_>,
        preferred: SessionServers,
    ) -> u64 {
        match wish.session {
            None => 0,
            Some(_) if preferred.home == Some(server.address) => 0,
            Some(session) if server.sessions.holds(session) => self.work_us / KNOWN_DIVISOR,
            Some(_) if preferred.backup == Some(server.address) => self.work_us / BACKUP_DIVISOR,
            Some(_) => self.work_us * UNKNOWN_WORKS,
        }
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

    fn is_usable(&self, now: time::Timestamp) -> bool {
        now >= self.blocked_until
            && self.listed
            && !self.leaving
            && self.cold.allows(now)
            && (self.health.is_warm(now)
                || self.in_flight < self.health.usable_slots(self.slots, now))
    }

    fn is_near(&self) -> bool {
        self.distance.place != distance::ServerPlace::Elsewhere
    }

    /// Tells whether a slot is free, for all instances and as far as is known.
    ///
    /// One request may wait at the server for a slot that is due soon, since this
    /// instance hears late of the slots that others leave.
    fn has_room(&self, now: time::Timestamp) -> bool {
        let slot_due_us = self.work_us / u64::from(self.slots.max(1));
        let queue = u32::from(slot_due_us < SLOT_BRIDGE_US);
        self.believed_open(now) < self.slots + queue
    }

    /// Takes over who the server is; another run of it starts from nothing.
    fn take_registration(&mut self, server: &pool::BackendServer, now: time::Timestamp) {
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
    fn report_life(&self) -> duration::Duration {
        let life = duration::Duration::from_micros(self.work_us / REPORT_DIVISOR);
        life.clamp(MIN_REPORT_LIFE, MAX_REPORT_LIFE)
    }

    /// Returns the requests that the server holds, from all instances.
    fn believed_open(&self, now: time::Timestamp) -> u32 {
        let is_fresh = now.since(self.reported_at) < self.report_life();
        self.in_flight + if is_fresh { self.others } else { 0 }
    }

    /// Returns the expected time to an answer, in microseconds.
    fn expected_us(&self, pool_work_us: u64, now: time::Timestamp) -> u64 {
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
const fn smooth(mean: u64, value: u64, divisor: u64) -> u64 {
    (mean * (divisor - 1) + value) / divisor
}

/// Spreads a seed over all bits.
const fn spread(seed: u64) -> u64 {
    const FACTOR: u64 = 0x9E37_79B9_7F4A_7C15;
    let mixed = (seed ^ (seed >> 32)).wrapping_mul(FACTOR);
    mixed ^ (mixed >> 29)
}
