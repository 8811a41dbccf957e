//! A fleet that shares the rate of one limited server, under virtual time.
//!
//! Guards against more requests than one and a half times the limit and five in any 4 s, over all
//! instances that were told, and against a limit of which the fleet leaves most unused. The load:
//! every instance has more requests than the server takes.

use std::sync::Arc;

use marjoramwing_dispatch::picker;
use marjoramwing_dispatch::service;
use marjoramwing_dispatch::share;
use marjoramwing_dispatch::statement;
use marjoramwing_testing::cases;
use rand::RngExt;
use rand::SeedableRng;

use crate::support;

const WINDOW_MS: u64 = 4_000;
const STEP_MS: u64 = 20;
const REPORT_PERIOD_MS: u64 = 500;
/// One-way delays between instances, in milliseconds.
const DELAYS_MS: std::ops::Range<u64> = 1..60;
/// Time from the server's first answer with a limit to the last instance that is told by itself.
const TOLD_MS: u64 = 1_000;
/// Time in which the fleet is observed.
const END_MS: u64 = 60_000;

struct SimulatedInstance {
    name: Arc<str>,
    dispatcher: service::ServiceDispatcher,
    told_at_ms: u64,
    is_running: bool,
}

struct SimulatedFleet {
    instances: Vec<SimulatedInstance>,
    /// Reports on their way: arrival, receiver, content.
    reports: Vec<(u64, usize, statement::LimitReport)>,
    /// Times of the requests of instances that were told half a second before.
    counted: Vec<u64>,
    limit: f64,
    rng: rand_pcg::Pcg64Mcg,
}

impl SimulatedFleet {
    fn new(size: usize, limit: f64, seed: u64) -> Self {
        let mut rng = rand_pcg::Pcg64Mcg::seed_from_u64(seed);
        let instances = (0..size).map(|index| SimulatedInstance {
            name: format!("edge-{index}").into(),
            dispatcher: support::make_service(&[1]),
            told_at_ms: 1_000 + rng.random_range(0..TOLD_MS),
            is_running: true,
        });
        let instances = instances.collect();
        let mut fleet = Self { instances, reports: Vec::new(), counted: Vec::new(), limit, rng };
        fleet.publish_members(0);
        fleet
    }

    /// Tells all running instances which instances run.
    fn publish_members(&mut self, now_ms: u64) {
        let running = self.instances.iter().filter(|instance| instance.is_running);
        let names: Vec<_> = running.map(|instance| Arc::clone(&instance.name)).collect();
        for instance in self.instances.iter_mut().filter(|instance| instance.is_running) {
            let fleet = share::ShareFleet::new(&instance.name, names.iter(), names.len(), true);
            instance.dispatcher.set_share_fleet(fleet, support::at(now_ms));
        }
    }

    fn step(&mut self, now_ms: u64) {
        let now = support::at(now_ms);
        for (_, receiver, report) in self.reports.extract_if(.., |report| report.0 <= now_ms) {
            self.instances[receiver].dispatcher.record_limit_report(&report, now);
        }
        for index in 0..self.instances.len() {
            if self.instances[index].is_running {
                self.step_instance(index, now_ms);
            }
        }
    }

    /// Sends what the instance may send; the server answers at once, with its limit.
    fn step_instance(&mut self, index: usize, now_ms: u64) {
        let (now, limit) = (support::at(now_ms), support::limited(self.limit));
        let run = support::run(1, 1);
        let instance = &mut self.instances[index];
        if now_ms < instance.told_at_ms {
            return;
        }
        if now_ms < instance.told_at_ms + STEP_MS {
            instance.dispatcher.record_answer(support::address(1), Some(&run), limit, now);
        }
        let criteria = picker::ServerCriteria::default();
        while let Some(server) = instance.dispatcher.try_acquire_slot(&criteria, 1, now) {
            support::release(&mut instance.dispatcher, server, now);
            instance.dispatcher.record_answer(server, Some(&run), limit, now);
            if now_ms >= instance.told_at_ms + 500 {
                self.counted.push(now_ms);
            }
        }
        if (now_ms + index as u64 * STEP_MS).is_multiple_of(REPORT_PERIOD_MS) {
            for report in instance.dispatcher.take_limit_reports(now) {
                for receiver in (0..self.instances.len()).filter(|receiver| *receiver != index) {
                    let arrives_at = now_ms + self.rng.random_range(DELAYS_MS);
                    self.reports.push((arrives_at, receiver, report.clone()));
                }
            }
        }
    }

    fn assert_bounded(&self) {
        let bound = (1.5 * self.limit * 4.0 + 5.0).floor() as usize;
        for (index, first) in self.counted.iter().enumerate() {
            let later = self.counted[index..].iter();
            let count = later.take_while(|at| **at < first + WINDOW_MS).count();
            assert!(count <= bound, "{count} requests in 4 s from {first} ms; {bound} allowed");
        }
    }

    /// Asserts that the fleet sends most of what the server takes.
    fn assert_used(&self, from_ms: u64, fraction: f64) {
        let used = self.counted.iter().filter(|at| **at >= from_ms).count() as f64;
        let taken = self.limit * (END_MS - from_ms) as f64 / 1_000.0;
        assert!(used >= taken * fraction, "{used} of {taken} requests");
    }
}

fn check_shared(size: usize, limit: f64) {
    for seed in 0..3 {
        let mut fleet = SimulatedFleet::new(size, limit, seed);
        for now_ms in (0..END_MS).step_by(STEP_MS as usize) {
            fleet.step(now_ms);
        }
        fleet.assert_bounded();
        fleet.assert_used(4_000, 0.7);
    }
}

/// Half of the instances end at 20 s without notice; membership tells after three seconds. They are
/// back at 40 s, told by others or by the server's first answer.
fn check_replaced(size: usize, limit: f64) {
    for seed in 0..3 {
        let mut fleet = SimulatedFleet::new(size, limit, seed);
        for now_ms in (0..END_MS).step_by(STEP_MS as usize) {
            if now_ms == 20_000 {
                let half = size / 2;
                fleet.instances[..half].iter_mut().for_each(|instance| instance.is_running = false);
            }
            if now_ms == 23_000 {
                fleet.publish_members(now_ms);
            }
            if now_ms == 40_000 {
                for instance in &mut fleet.instances[..size / 2] {
                    instance.dispatcher = support::make_service(&[1]);
                    instance.told_at_ms = now_ms + 1_000;
                    instance.is_running = true;
                }
                fleet.publish_members(now_ms);
            }
            fleet.step(now_ms);
        }
        fleet.assert_bounded();
        fleet.assert_used(44_000, 0.7);
    }
}

cases! { check_shared:
    single_instance_keeps_the_limit => (1, 6.0);
    small_fleet_keeps_the_limit => (7, 4.7);
    small_fleet_keeps_a_high_limit => (7, 40.0);
    small_fleet_keeps_a_limit_below_one => (7, 0.5);
    fleet_of_22_keeps_the_limit => (22, 6.0);
    large_fleet_keeps_the_limit => (119, 6.0);
    large_fleet_keeps_a_thin_limit => (119, 2.5);
    fleet_of_450_keeps_the_limit => (450, 6.0);
}

cases! { check_replaced:
    half_of_a_small_fleet_is_replaced => (7, 4.7);
    half_of_a_fleet_of_22_is_replaced => (22, 12.0);
    half_of_a_large_fleet_is_replaced => (119, 6.0);
}

/// Guards against instances of a large fleet that never get a turn at the only server.
#[test]
fn every_instance_of_a_large_fleet_gets_a_turn() {
    let mut fleet = SimulatedFleet::new(40, 6.0, 1);
    let mut served = std::collections::BTreeSet::new();
    for now_ms in (0..4 * END_MS).step_by(STEP_MS as usize) {
        for index in 0..fleet.instances.len() {
            let before = fleet.counted.len();
            fleet.step_instance(index, now_ms);
            if fleet.counted.len() > before {
                served.insert(index);
            }
        }
    }
    assert_eq!(served.len(), 40);
}
