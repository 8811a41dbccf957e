//! Random schedules of servers that start, drain, crash, lose their entries and restart, and of
//! domains that are drained, beside a store that is restored from older copies.
//!
//! The model is naive: it knows what each process does and what the registry was told.

use std::collections;

use marjoramwing_entity::time;
use marjoramwing_objects::object;
use marjoramwing_objects::operation;
use marjoramwing_objects::position;
use marjoramwing_registry::registry;
use rand::RngExt;
use rand::SeedableRng;

mod process;
mod store;

/// Times of the platform, in milliseconds.
const STEP_MS: u64 = 50;
/// Silence after which the store removes an entry.
const EXPIRY_MS: u64 = 3 * process::HEARTBEAT_MS;
/// Oldest copy from which the store is restored, and the interval of copies.
const COPY_MS: u64 = 8_000;
const COPY_PERIOD_MS: u64 = 500;
/// Time after a restore within which the operator writes again.
const REWRITE_MS: u64 = 3_000;
/// Time without a restore after which everything that runs has to be shown.
const QUIET_MS: u64 = 14_000;
/// Time for which a server may be kept whose entry was removed.
const REMOVAL_MS: u64 = 2_200;
/// Time after its start or a restore within which a server is shown whose entry was never removed before.
const RETURN_MS: u64 = 5_000;

const SERVERS: usize = 12;
const RUN_MS: u64 = 240_000;

struct Schedule {
    rng: rand_pcg::Pcg64Mcg,
    now: u64,
    store: store::StoreState,
    era: u64,
    copies: collections::VecDeque<store::StoreState>,
    away_until: u64,
    restored_at: u64,
    processes: Vec<process::Process>,
    /// Whether the operator wants each domain drained, and whether the registry was told so.
    domains: [(bool, bool); store::DOMAINS],
    /// Last time at which each domain was drained, in truth or in the store, or the store was
    /// restored while it could still be kept drained.
    drained_at: [u64; store::DOMAINS],
    /// Time at which the operator writes again what the store has lost.
    rewrite_at: u64,
    registry: registry::ServerRegistry,
    /// Position and time of the next call for each kind.
    watches: [(position::StorePosition, u64); 2],
}

const KINDS: [object::ObjectKind; 2] = [object::ObjectKind::Servers, object::ObjectKind::Drains];

impl Schedule {
    fn new(seed: u64) -> Self {
        let mut rng = rand_pcg::Pcg64Mcg::seed_from_u64(seed);
        let processes = (0..SERVERS).map(|_| process::Process::start(0, &mut rng)).collect();
        Self {
            rng,
            now: 0,
            store: store::StoreState { revision: 1, ..Default::default() },
            era: 1,
            copies: collections::VecDeque::new(),
            away_until: 0,
            restored_at: 0,
            processes,
            domains: [(false, false); store::DOMAINS],
            drained_at: [0; store::DOMAINS],
            rewrite_at: u64::MAX,
            registry: registry::ServerRegistry::default(),
            watches: [(position::StorePosition::default(), 0); 2],
        }
    }

    fn is_away(&self) -> bool {
        self.now < self.away_until
    }

    fn step(&mut self) {
        self.now += STEP_MS;
        if self.now == self.away_until {
            self.restore();
        } else if !self.is_away() && self.rng.random_bool(STEP_MS as f64 / 25_000.0) {
            self.away_until = self.now + STEP_MS * self.rng.random_range(1..60);
        }
        for index in 0..SERVERS {
            self.step_process(index);
        }
        if !self.is_away() {
            self.step_operator();
            self.expire_entries();
            if self.now.is_multiple_of(COPY_PERIOD_MS) {
                self.copies.push_front(self.store.clone());
                self.copies.truncate((COPY_MS / COPY_PERIOD_MS) as usize);
            }
        }
        for index in 0..store::DOMAINS {
            if self.domains[index].0 || self.store.drained.contains_key(&index) {
                self.drained_at[index] = self.now;
            }
        }
        for index in 0..KINDS.len() {
            self.call_store(index);
        }
        self.registry.handle(registry::RegistryEvent::Tick, self.time());
    }

    /// The store comes back from one of its copies, which may be of an earlier era.
    fn restore(&mut self) {
        let Some(copy) = self.copies.get(self.rng.random_range(0..16)) else { return };
        self.store = copy.clone();
        self.store.deletions.clear();
        let now = self.now;
        self.store.servers.values_mut().for_each(|entry| entry.last_heartbeat = now);
        self.era += 1;
        self.restored_at = now;
        for drained_at in self.drained_at.iter_mut().filter(|at| **at > 0 && **at + QUIET_MS > now)
        {
            *drained_at = now;
        }
        self.rewrite_at = now + STEP_MS * self.rng.random_range(1..REWRITE_MS / STEP_MS);
    }

    fn step_process(&mut self, index: usize) {
        let is_away = self.is_away();
        let process = &mut self.processes[index];
        if process.phase != process::Phase::Ended && process.next_heartbeat <= self.now {
            process.next_heartbeat = self.now + process::HEARTBEAT_MS;
            process.sequence += 1;
            if !is_away && process.silent_until <= self.now {
                self.store.put_server(index, process, self.now);
            }
        }
        if !self.rng.random_bool(STEP_MS as f64 / 30_000.0) {
            return;
        }
        match (process.phase, self.rng.random_range(0..5)) {
            (process::Phase::Ended, _) => {
                *process = process::Process::start(self.now, &mut self.rng);
            }
            (process::Phase::Ready, 0 | 1) => {
                process.phase = process::Phase::Draining;
                process.next_heartbeat = self.now;
            }
            (process::Phase::Ready, 2) => process.silent_until = self.now + 7_000,
            (process::Phase::Ready | process::Phase::Draining, 3) if !is_away => {
                process.phase = process::Phase::Ended;
                self.store.delete(object::ObjectKind::Servers, index);
            }
            _ => process.phase = process::Phase::Ended,
        }
    }

    fn step_operator(&mut self) {
        for index in 0..store::DOMAINS {
            let is_stored = self.store.drained.contains_key(&index);
            let wants_change = self.rng.random_bool(STEP_MS as f64 / 30_000.0);
            if self.rewrite_at == u64::MAX && wants_change {
                self.domains[index] = (!self.domains[index].0, false);
            } else if self.rewrite_at > self.now {
                continue;
            }
            match (is_stored, self.domains[index].0) {
                (false, true) => self.store.drain(index),
                (true, false) => self.store.delete(object::ObjectKind::Drains, index),
                _ => {}
            }
        }
        if self.rewrite_at <= self.now {
            self.rewrite_at = u64::MAX;
        }
    }

    fn expire_entries(&mut self) {
        let now = self.now;
        let silent =
            self.store.servers.iter().filter(|(_, entry)| entry.last_heartbeat + EXPIRY_MS <= now);
        for index in silent.map(|(index, _)| *index).collect::<Vec<_>>() {
            self.store.delete(object::ObjectKind::Servers, index);
            self.processes[index].expired_at = Some(now);
        }
    }

    /// Calls the store for a kind, if a call is due, as an instance does.
    fn call_store(&mut self, index: usize) {
        let (after, call_at) = self.watches[index];
        if call_at > self.now {
            return;
        }
        self.watches[index].1 = self.now + STEP_MS * self.rng.random_range(1..20);
        if self.is_away() {
            // The outage may be shorter than the interval of the calls, so some miss it.
            self.registry.handle(registry::RegistryEvent::Failed(self.time()), self.time());
            return;
        }
        if !after.is_start() && after.era.0 != self.era {
            self.watches[index].0 = position::StorePosition::default();
            self.registry.handle(registry::RegistryEvent::Answered, self.time());
            return;
        }
        let kind = KINDS[index];
        let changes = self.store.changes(kind, after.revision);
        let position = position::StorePosition {
            era: position::StoreEra(self.era),
            revision: self.store.revision,
        };
        let is_full_list = after.is_start();
        self.watches[index].0 = position;
        self.record_told(kind, &changes, is_full_list);
        let answer = operation::WatchAnswer { position, changes, is_full_list };
        let event = match kind {
            object::ObjectKind::Servers => registry::RegistryEvent::Servers(answer),
            _ => registry::RegistryEvent::Drains(answer),
        };
        self.registry.handle(event, self.time());
    }

    /// Notes what an answer tells the registry, if it is so in truth.
    fn record_told(
        &mut self,
        kind: object::ObjectKind,
        changes: &[operation::ObjectChange],
        is_full_list: bool,
    ) {
        if kind == object::ObjectKind::Drains {
            for change in changes {
                let domain = &mut self.domains[store::index_of(&change.name.name)];
                domain.1 |= domain.0 && !matches!(change.value, operation::ChangedValue::Deleted);
            }
            return;
        }
        for change in changes {
            let index = store::index_of(&change.name.name);
            let entry = self.store.servers.get(&index);
            let process = &mut self.processes[index];
            let entry_of_process = entry.filter(|entry| entry.born == process.born);
            let tells_draining = entry_of_process.is_some_and(|entry| entry.draining);
            process.was_reported |= entry_of_process.is_some();
            let is_deleted = matches!(change.value, operation::ChangedValue::Deleted);
            let is_gone = is_deleted && entry.is_none() && process.was_reported;
            match process.phase {
                process::Phase::Draining | process::Phase::Ended if tells_draining => {
                    process.hide_from(self.now);
                }
                process::Phase::Ended if is_gone => process.hide_from(self.now + REMOVAL_MS),
                _ => {}
            }
        }
        // A list after a restore may lack the entry of a running server.
        let is_calm = is_full_list && self.now > self.restored_at + RETURN_MS;
        for (index, process) in self.processes.iter_mut().enumerate() {
            let is_missing = !self.store.servers.contains_key(&index);
            if is_calm
                && is_missing
                && process.was_reported
                && process.phase == process::Phase::Ended
            {
                process.hide_from(self.now + REMOVAL_MS);
            }
        }
    }

    fn time(&self) -> time::Timestamp {
        time::Timestamp::from_millis(self.now)
    }

    fn check(&mut self, seed: u64) {
        let view = self.registry.view();
        let servers = view.pools.values().flatten().map(|server| {
            let identity = server.registered.as_ref().unwrap();
            ((store::index_of(&identity.id), identity.started_ms), !server.draining)
        });
        let servers: collections::BTreeMap<_, _> = servers.collect();
        let context = (seed, self.now);
        for (index, process) in self.processes.iter_mut().enumerate() {
            let shown = servers.get(&(index, process.born));
            process.was_removed |= process.hidden_from.is_some() && shown.is_none();
            let is_late = process.hidden_from.is_some_and(|from| from <= self.now);
            let has_returned = shown == Some(&true) && (process.was_removed || is_late);
            assert!(!has_returned, "{context:?} {index} returned: {process:?}");
        }
        for (index, process) in self.processes.iter().enumerate() {
            let is_shown = servers.get(&(index, process.born)) == Some(&true);
            let (is_drained, was_told) = self.domains[index % store::DOMAINS];
            assert!(!(is_shown && is_drained && was_told), "{context:?} {index} domain returned");
            let must_be_shown = process.phase == process::Phase::Ready && self.must_be_shown(index);
            assert!(is_shown || !must_be_shown, "{context:?} {index} is lost: {process:?}");
        }
    }

    /// Returns true if a server that is ready has had the time to be shown.
    fn must_be_shown(&self, index: usize) -> bool {
        let process = &self.processes[index];
        let is_drained = self.drained_at[index % store::DOMAINS] + QUIET_MS > self.now;
        let bound = if process.expired_at.is_some() { QUIET_MS } else { RETURN_MS };
        let since = process.born.max(self.restored_at).max(self.away_until);
        !is_drained && process.silent_until + RETURN_MS < self.now && since + bound < self.now
    }
}

fn check_schedules(seeds: std::ops::Range<u64>) {
    let mut restores = 0;
    for seed in seeds {
        let mut schedule = Schedule::new(seed);
        while schedule.now < RUN_MS {
            schedule.step();
            schedule.check(seed);
        }
        restores += schedule.era - 1;
    }
    assert!(restores > 0);
}

// A restore brings a server back that had left or drained, loses one that runs for longer than the
// bound, or lifts an evacuation that the operator has not taken back.
marjoramwing_testing::cases! { check_schedules:
    restores_undo_no_departure_and_lose_no_server_1 => (0..40);
    restores_undo_no_departure_and_lose_no_server_2 => (40..80);
    restores_undo_no_departure_and_lose_no_server_3 => (80..120);
}
