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

use crate::distance;
use crate::health;
use crate::homing;
use crate::mechanism;
use crate::policy;
use crate::server;
use crate::session;

/// One server in this many may be ejected.
const EJECTED_DIVISOR: usize = 3;
/// Time for which a server that shed a request is passed over.
const SHED_PAUSE: duration::Duration = duration::Duration::from_millis(20);
/// Time after which the latency of a server that is not used is forgotten.
const LATENCY_LIFE: duration::Duration = duration::Duration::from_secs(30);
/// Usable servers that one choice scores, from a place that differs each time.
const MAX_SCORED: usize = 128;
/// Part of the usual work that a server other than a session's own counts more.
const KNOWN_DIVISOR: u64 = 4;
/// Part of the usual work that a session's server in another region counts more.
const BACKUP_DIVISOR: u64 = 2;
/// Times the usual work that a session takes more at a server that does not know it.
const UNKNOWN_WORKS: u64 = 5;
/// Work that is assumed before the first answer, in microseconds.
const FIRST_WORK_US: u64 = 200_000;
/// Answers over which the usual work of all servers is averaged.
const POOL_SMOOTHING: u64 = 64;

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
    /// The server could not be reached, broke off, was silent or answered with a failure.
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
    fn ends_in_time(&self, server: &server::ServerState, now: time::Timestamp) -> bool {
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
    servers: Vec<server::ServerState>,
    places: collections::HashMap<net::SocketAddr, usize>,
    /// Usual time at a server, without the way to it, in microseconds.
    work_us: u64,
    homing: Option<homing::HomingLimiter>,
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
                self.servers.push(server::ServerState::new(server, cold));
                self.servers.len() - 1
            });
            let state = &mut self.servers[place];
            state.take_registration(server, now);
            state.slots = server.slots;
            state.slot_load = server::LOAD_SCALE / u64::from(server.slots.max(1));
            state.listed = !server.draining;
        }
        self.forget_gone();
    }

    /// Bounds how fast requests come back to the region; the counts so far stay.
    ///
    /// Until the first request, what is expected follows the servers as they register.
    pub fn bound_homing(&mut self, step: f64) {
        let has_begun = self.homing.is_some_and(|homing| homing.has_begun());
        if has_begun || self.servers.is_empty() {
            return;
        }
        self.homing = Some(homing::HomingLimiter::new(step, self.expected_far_milli()));
    }

    /// Returns the part of the requests that the region's slots cannot serve if each
    /// region asks for as much, in thousandths.
    fn expected_far_milli(&self) -> u32 {
        let regions: collections::BTreeSet<_> =
            self.servers.iter().filter_map(|server| server.region.as_ref()).collect();
        let slots = |server: &server::ServerState| u64::from(server.slots);
        let near: u64 = self.servers.iter().filter(|server| server.is_near()).map(slots).sum();
        let all: u64 = self.servers.iter().map(slots).sum();
        let served_milli = near * regions.len() as u64 * 1_000 / all.max(1);
        1_000 - u32::try_from(served_milli.min(1_000)).unwrap_or(1_000)
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
        let room = |server: &server::ServerState| weighs_wait || server.in_flight < server.slots;
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
                let expected_us = |server: &server::ServerState| {
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
                self.work_us = server::smooth(self.work_us, work_us, POOL_SMOOTHING);
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
    fn score(&self, server: &server::ServerState, now: time::Timestamp) -> u64 {
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
        server: &server::ServerState,
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
        usable: impl Iterator<Item = &'a server::ServerState>,
        seed: u64,
        now: time::Timestamp,
    ) -> Option<&'a server::ServerState> {
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

    fn server_mut(&mut self, address: net::SocketAddr) -> Option<&mut server::ServerState> {
        self.places.get(&address).map(|place| &mut self.servers[*place])
    }

    fn forget_gone(&mut self) {
        let is_gone = |server: &server::ServerState| !server.listed && server.in_flight == 0;
        if !self.servers.iter().any(is_gone) {
            return;
        }
        self.servers.retain(|server| !is_gone(server));
        let places = self.servers.iter().enumerate();
        self.places = places.map(|(place, server)| (server.address, place)).collect();
    }
}

/// Spreads a seed over all bits.
const fn spread(seed: u64) -> u64 {
    const FACTOR: u64 = 0x9E37_79B9_7F4A_7C15;
    let mixed = (seed ^ (seed >> 32)).wrapping_mul(FACTOR);
    mixed ^ (mixed >> 29)
}
