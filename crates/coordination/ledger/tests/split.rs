//! Limits split by demand, over several instances under virtual time.

use std::collections;
use std::sync::Arc;
use std::time as duration;

use marjoramwing_entity::incarnation;
use marjoramwing_entity::time;
use marjoramwing_ledger::action;
use marjoramwing_ledger::limit;
use marjoramwing_ledger::split;
use marjoramwing_tables::name;
use marjoramwing_tables::team;

const INSTANCES: usize = 7;
const RATE: f64 = 100.0;
const BURST: u32 = 100;
/// Part of the bound by which five seconds may go beyond it, and requests beside.
const OVERAGE: f64 = 0.1;
const SLACK: f64 = 20.0;
const WINDOW_MS: u64 = 5_000;

/// Instances that tell each other their demand without loss.
struct Fleet {
    splits: Vec<split::DemandSplit>,
    id: limit::LimitId,
    admitted: Vec<u64>,
    refused: usize,
}

fn at(millis: u64) -> time::Timestamp {
    time::Timestamp::from_millis(millis)
}

impl Fleet {
    fn new() -> Self {
        let team = name::TeamName::try_from(&Arc::from("etna")).unwrap();
        let mut fleet = Self {
            splits: Vec::new(),
            id: limit::LimitId::of_team(&team),
            admitted: Vec::new(),
            refused: 0,
        };
        fleet.splits = (0..INSTANCES).map(|_| fleet.start(0, INSTANCES)).collect();
        fleet
    }

    /// Starts an instance that knows the list of instances but has heard nobody.
    fn start(&self, now: u64, listed: usize) -> split::DemandSplit {
        let mut split = split::DemandSplit::new(at(now));
        split.set_listed(listed);
        let limit = team::RateLimit { rate: RATE, burst: BURST };
        split.set_limits(&collections::BTreeMap::from([(self.id, limit)]), at(now));
        split
    }

    /// Runs a span with requests per second for each instance; reports pass if it is linked.
    fn run(&mut self, from: u64, until: u64, demand: &[f64], linked: bool) {
        let period = u64::try_from(split::REPORT_PERIOD.as_millis()).unwrap();
        for now in from..until {
            if linked && now % period == 0 {
                self.report(now);
            }
            for (index, per_second) in demand.iter().enumerate() {
                let due = |at: u64| (at as f64 * per_second / 1_000.0) as u64;
                for _ in due(now)..due(now + 1) {
                    match self.splits[index].admit(self.id, at(now)) {
                        action::TicketOutcome::Admitted { .. } => self.admitted.push(now),
                        action::TicketOutcome::Refused { .. } => self.refused += 1,
                    }
                }
            }
        }
    }

    fn report(&mut self, now: u64) {
        for index in 0..self.splits.len() {
            self.splits[index].set_others(INSTANCES - 1);
            let report = self.splits[index].step(at(now));
            let from = incarnation::Incarnation::from_u64(index as u64 + 1);
            for other in (0..self.splits.len()).filter(|other| *other != index) {
                self.splits[other].receive(from, report.clone(), at(now));
            }
        }
    }

    fn check_bound(&self) {
        let bound =
            (RATE * WINDOW_MS as f64 / 1_000.0 + f64::from(BURST)) * (1.0 + OVERAGE) + SLACK;
        for (index, begin) in self.admitted.iter().enumerate() {
            let within = self.admitted[index..].iter().take_while(|at| **at < begin + WINDOW_MS);
            let within = within.count();
            assert!(within as f64 <= bound, "{within} of {bound} from {begin} ms");
        }
    }
}

fn check_admitted(demand: &[f64], least_part: f64) {
    let mut fleet = Fleet::new();
    fleet.run(0, 4_000, demand, true);
    let (before, refused) = (fleet.admitted.len(), fleet.refused);
    fleet.run(4_000, 24_000, demand, true);
    fleet.check_bound();
    let admitted = (fleet.admitted.len() - before) as f64;
    let asked = admitted + (fleet.refused - refused) as f64;
    let owed = asked.min(RATE * 20.0);
    assert!(admitted >= owed * least_part, "{admitted} of {owed}");
}

marjoramwing_testing::cases! { check_admitted:
    even_demand_below_the_limit_is_served => (&[9.0; INSTANCES], 1.0);
    skewed_demand_below_the_limit_is_served => (&[60.0, 3.0, 0.0, 0.0, 0.0, 0.0, 0.0], 0.99);
    loud_team_gets_its_limit => (&[100.0; INSTANCES], 0.97);
    loud_team_at_one_instance_gets_most => (&[400.0, 0.0, 0.0, 0.0, 0.0, 0.0, 0.0], 0.9);
}

#[test]
fn demand_that_moves_keeps_the_bound() {
    let mut fleet = Fleet::new();
    for turn in 0..6 {
        let mut demand = [20.0; INSTANCES];
        demand[turn] = 300.0;
        let from = turn as u64 * 3_000;
        fleet.run(from, from + 3_000, &demand, true);
    }
    fleet.check_bound();
}

/// All instances are killed and start anew under eight times the limit
/// (mycotrail-gslb, trouble-3, seed 409420025209).
fn check_restart(listed: usize, linked: bool) {
    let mut fleet = Fleet::new();
    fleet.run(0, 5_000, &[114.0; INSTANCES], true);
    fleet.splits = (0..INSTANCES).map(|_| fleet.start(5_500, listed)).collect();
    fleet.run(5_500, 7_000, &[114.0; INSTANCES], linked);
    fleet.run(7_000, 12_000, &[114.0; INSTANCES], true);
    fleet.check_bound();
}

marjoramwing_testing::cases! { check_restart:
    restarted_fleet_keeps_the_bound => (INSTANCES, true);
    restarted_fleet_that_hears_nobody_yet_keeps_the_bound => (INSTANCES, false);
}

#[test]
#[should_panic(expected = "of 680")]
fn instances_that_take_themselves_for_alone_break_it() {
    check_restart(1, false);
}

#[test]
fn cut_off_instance_keeps_its_part() {
    let mut fleet = Fleet::new();
    fleet.run(0, 5_000, &[50.0; INSTANCES], true);
    fleet.run(5_000, 25_000, &[50.0; INSTANCES], false);
    fleet.check_bound();
}

#[test]
fn edit_gives_no_tokens() {
    let mut fleet = Fleet::new();
    fleet.run(0, 5_000, &[50.0; INSTANCES], true);
    let held = |fleet: &mut Fleet| {
        let admit = |split: &mut split::DemandSplit| {
            let outcome = split.admit(fleet.id, at(5_000));
            matches!(outcome, action::TicketOutcome::Admitted { .. })
        };
        let mut splits = std::mem::take(&mut fleet.splits);
        let admitted = splits.iter_mut().filter_map(|split| admit(split).then_some(())).count();
        fleet.splits = splits;
        admitted
    };
    while held(&mut fleet) > 0 {}
    let limit = team::RateLimit { rate: RATE * 10.0, burst: BURST * 10 };
    for split in &mut fleet.splits {
        split.set_limits(&collections::BTreeMap::from([(fleet.id, limit)]), at(5_000));
    }
    assert_eq!(held(&mut fleet), 0);
}

#[test]
fn refused_request_is_told_when_a_token_is_due() {
    let mut fleet = Fleet::new();
    fleet.run(0, 5_000, &[100.0; INSTANCES], true);
    let refusals = (0..).map(|_| fleet.splits[0].admit(fleet.id, at(5_000)));
    let refused = refusals.take(1_000).find_map(|outcome| match outcome {
        action::TicketOutcome::Refused { retry_after } => Some(retry_after),
        action::TicketOutcome::Admitted { .. } => None,
    });
    assert!(refused.is_some_and(|wait| wait <= duration::Duration::from_millis(500)));
}
