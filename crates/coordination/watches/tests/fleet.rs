//! A fleet of monitors under virtual time, over a store that may lose the answers to watches.
//!
//! Guards against changes that go unnoticed: a server that leaves must get no requests after 2.5 s,
//! the smallest bound of a deployment, although any number of watches hang.

use std::sync::Arc;
use std::time as duration;

use marjoramwing_entity::time;
use marjoramwing_objects::object;
use marjoramwing_objects::operation;
use marjoramwing_objects::position;
use marjoramwing_watches::coverage;
use marjoramwing_watches::monitor;
use rand::RngExt;
use rand::SeedableRng;

const KIND: object::ObjectKind = object::ObjectKind::Servers;
/// Bound on the time from a change to the last instance that knows it.
const NOTICE_BOUND: duration::Duration = duration::Duration::from_millis(2_500);
/// One-way delays between two instances and to the store, in milliseconds.
const DELAYS_MS: std::ops::Range<u64> = 1..56;
/// Step of the simulation, in milliseconds.
const STEP_MS: u64 = 5;

/// Faults of one simulated fleet.
#[derive(Clone, Copy)]
struct FleetFaults {
    /// Fraction of the instances whose watches hang.
    hung: f64,
    /// Fraction of the instances that do nothing, although they are listed as members.
    frozen: f64,
    /// Fraction of the reports that are lost.
    lost_reports: f64,
}

struct SimulatedInstance {
    monitor: monitor::WatchMonitor,
    rank: usize,
    is_hung: bool,
    is_frozen: bool,
    delay_ms: u64,
    /// Arrival of the answer to a check in flight, and the revision and change that it states.
    answer: Option<(u64, u64, bool)>,
    known: u64,
}

struct SimulatedFleet {
    instances: Vec<SimulatedInstance>,
    faults: FleetFaults,
    rng: rand_pcg::Pcg64Mcg,
    /// Reports on their way: arrival, receiver, content.
    reports: Vec<(u64, usize, coverage::CoverageReport)>,
    revision: u64,
    checks: usize,
}

fn at(millis: u64) -> time::Timestamp {
    time::Timestamp::from_millis(millis)
}

fn answer(revision: u64, has_changed: bool, is_full_list: bool) -> operation::WatchAnswer {
    let change = operation::ObjectChange {
        name: object::ObjectName::new(KIND, "server"),
        version: object::ObjectVersion::from(revision),
        value: operation::ChangedValue::Omitted,
    };
    let changes = if has_changed { vec![change] } else { Vec::new() };
    let position = position::StorePosition::without_era(revision);
    operation::WatchAnswer { position, changes, is_full_list }
}

impl SimulatedFleet {
    fn new(size: usize, faults: FleetFaults, seed: u64) -> Self {
        let mut rng = rand_pcg::Pcg64Mcg::seed_from_u64(seed);
        let names: Vec<Arc<str>> = (0..size).map(|index| format!("edge-{index}").into()).collect();
        let instances = names.iter().map(|name| {
            let mut monitor = monitor::WatchMonitor::default();
            monitor.record_answer(KIND, &answer(1, true, true), at(rng.random_range(0..500)));
            SimulatedInstance {
                monitor,
                rank: monitor::rank_of(KIND, name, names.iter()),
                is_hung: rng.random_bool(faults.hung),
                is_frozen: rng.random_bool(faults.frozen),
                delay_ms: rng.random_range(DELAYS_MS),
                answer: None,
                known: 1,
            }
        });
        let instances = instances.collect();
        Self { instances, faults, rng, reports: Vec::new(), revision: 1, checks: 0 }
    }

    /// Advances the fleet by one step of the time.
    fn step(&mut self, now_ms: u64) {
        let (due, later) =
            std::mem::take(&mut self.reports).into_iter().partition(|r| r.0 <= now_ms);
        self.reports = later;
        let due: Vec<(u64, usize, coverage::CoverageReport)> = due;
        for (_, receiver, report) in due {
            self.instances[receiver].monitor.record_report(KIND, report, at(now_ms));
        }
        for index in 0..self.instances.len() {
            if !self.instances[index].is_frozen {
                self.step_instance(index, now_ms);
            }
        }
    }

    fn step_instance(&mut self, index: usize, now_ms: u64) {
        let instance = &mut self.instances[index];
        match instance.answer {
            Some((arrives_at, revision, has_changed)) if arrives_at <= now_ms => {
                instance.answer = None;
                let sent_at = at(arrives_at.saturating_sub(2 * instance.delay_ms));
                instance.monitor.record_answer(
                    KIND,
                    &answer(revision, has_changed, false),
                    sent_at,
                );
                instance.known = instance.known.max(revision);
                self.report(index, now_ms);
            }
            Some(_) => {}
            None if instance.monitor.check_at(KIND, instance.rank) <= Some(at(now_ms)) => {
                self.checks += 1;
                let has_changed = instance.known < self.revision;
                let arrives_at = now_ms + 2 * instance.delay_ms;
                instance.answer = Some((arrives_at, self.revision, has_changed));
            }
            None => {}
        }
    }

    fn report(&mut self, sender: usize, now_ms: u64) {
        let report = self.instances[sender].monitor.report(KIND, at(now_ms)).unwrap();
        for receiver in (0..self.instances.len()).filter(|receiver| *receiver != sender) {
            if !self.rng.random_bool(self.faults.lost_reports) {
                let arrives_at = now_ms + self.rng.random_range(DELAYS_MS);
                self.reports.push((arrives_at, receiver, report));
            }
        }
    }

    /// Changes an object; instances with working watches learn of it at once.
    fn change(&mut self, now_ms: u64) {
        self.revision += 1;
        for instance in self.instances.iter_mut().filter(|instance| !instance.is_hung) {
            instance.monitor.record_answer(KIND, &answer(self.revision, true, false), at(now_ms));
            instance.known = self.revision;
        }
    }

    fn all_know(&self) -> bool {
        let mut running = self.instances.iter().filter(|instance| !instance.is_frozen);
        running.all(|instance| instance.known == self.revision)
    }
}

fn check_noticed(size: usize, faults: FleetFaults) {
    let bound_ms = u64::try_from(NOTICE_BOUND.as_millis()).unwrap();
    for seed in 0..8 {
        let mut fleet = SimulatedFleet::new(size, faults, seed);
        let changed_at = fleet.rng.random_range(1_000..6_000) / STEP_MS * STEP_MS;
        for now_ms in (500..changed_at + bound_ms).step_by(STEP_MS as usize) {
            if now_ms == changed_at {
                fleet.change(now_ms);
            }
            fleet.step(now_ms);
        }
        assert!(fleet.all_know(), "seed {seed}: an instance does not know the change");
    }
}

fn check_calm_calls(size: usize, most_per_second: usize) {
    let faults = FleetFaults { hung: 0.0, frozen: 0.0, lost_reports: 0.0 };
    let mut fleet = SimulatedFleet::new(size, faults, 1);
    let (start_ms, end_ms) = (5_000, 15_000);
    for now_ms in (500..end_ms).step_by(STEP_MS as usize) {
        if now_ms == start_ms {
            fleet.checks = 0;
        }
        fleet.step(now_ms);
    }
    let most = most_per_second * 10;
    assert!(fleet.checks > 0 && fleet.checks <= most, "{} checks in 10 s", fleet.checks);
}

const ALL_HUNG: FleetFaults = FleetFaults { hung: 1.0, frozen: 0.0, lost_reports: 0.0 };

marjoramwing_testing::cases! { check_noticed:
    change_is_noticed_by_a_single_instance => (1, ALL_HUNG);
    change_is_noticed_by_a_small_fleet => (7, ALL_HUNG);
    change_is_noticed_by_a_large_fleet => (119, ALL_HUNG);
    change_is_noticed_by_a_fleet_of_450 => (450, ALL_HUNG);
    change_is_noticed_if_some_watches_hang => (24, FleetFaults { hung: 0.4, ..ALL_HUNG });
    change_is_noticed_if_instances_are_frozen => (24, FleetFaults { frozen: 0.5, ..ALL_HUNG });
    change_is_noticed_without_reports => (24, FleetFaults { lost_reports: 1.0, ..ALL_HUNG });
    change_is_noticed_if_reports_are_lost => (24, FleetFaults { lost_reports: 0.5, ..ALL_HUNG });
}

// A large fleet makes hardly more calls than a small one.
marjoramwing_testing::cases! { check_calm_calls:
    calm_small_fleet_makes_few_calls => (7, 2);
    calm_large_fleet_makes_few_calls => (119, 2);
    calm_fleet_of_450_makes_few_calls => (450, 2);
}
