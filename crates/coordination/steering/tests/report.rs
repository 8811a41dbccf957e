//! Counts of all instances reach every instance, also after an aggregator fails.

use std::collections;
use std::net;
use std::sync::Arc;

use marjoramwing_entity::incarnation;
use marjoramwing_entity::time as entity_time;
use marjoramwing_membership::member;
use marjoramwing_membership::view;
use marjoramwing_steering::report;

const REGIONS: usize = 3;
const MEMBERS_PER_REGION: usize = 4;
/// Requests per second that each instance counts for clients of its own region.
const RATE: f64 = 10.0;

fn name_of(region: usize) -> Arc<str> {
    format!("r{region}").into()
}

fn make_member(index: usize) -> member::Member {
    let port = u16::try_from(1_000 + index).unwrap();
    let region = name_of(index % REGIONS);
    member::Member {
        name: format!("instance-{index}").into(),
        caller_address: net::SocketAddr::from(([10, 0, 0, 1], port)),
        peer_address: net::SocketAddr::from(([10, 0, 0, 2], port)),
        site: Arc::clone(&region),
        region,
        failure_domain: "d".into(),
        incarnation: Some(incarnation::Incarnation::from_u64(index as u64)),
        state: member::MemberState::Live,
    }
}

/// Report keepers of all instances, with delivery of their messages.
struct Fleet {
    members: Vec<member::Member>,
    keepers: Vec<report::ReportKeeper>,
    dead: collections::BTreeSet<usize>,
    now: entity_time::Timestamp,
}

impl Fleet {
    fn new(count: usize) -> Self {
        let members: Vec<_> = (0..count).map(make_member).collect();
        let keepers = members.iter().map(|member| {
            let incarnation = member.incarnation.unwrap();
            report::ReportKeeper::new(
                Arc::clone(&member.name),
                Arc::clone(&member.region),
                incarnation,
            )
        });
        let keepers = keepers.collect();
        let now = entity_time::Timestamp::from_millis(1);
        let mut fleet = Self { members, keepers, dead: collections::BTreeSet::new(), now };
        fleet.publish_view();
        fleet
    }

    fn publish_view(&mut self) {
        let live = self.members.iter().enumerate().filter(|(index, _)| !self.dead.contains(index));
        let view =
            Arc::new(view::MemberView::new(live.map(|(_, member)| member.clone()).collect()));
        for keeper in &mut self.keepers {
            let event = report::ReportEvent::ViewChanged(Arc::clone(&view));
            keeper.handle(event, self.now, &mut Vec::new());
        }
    }

    /// Runs one report period and returns the number of messages that each instance sent.
    fn run_period(&mut self) -> Vec<usize> {
        self.now += report::REPORT_PERIOD;
        let mut sent = vec![0; self.members.len()];
        for (index, sent) in sent.iter_mut().enumerate() {
            if self.dead.contains(&index) {
                continue;
            }
            let home = Arc::clone(&self.members[index].region);
            let event = report::ReportEvent::Counted(vec![report::RegionLoad { home, rate: RATE }]);
            let mut actions = Vec::new();
            self.keepers[index].handle(event, self.now, &mut actions);
            *sent = actions.len();
            for action in actions {
                self.deliver(index, action);
            }
        }
        sent
    }

    fn deliver(&mut self, from: usize, action: report::ReportAction) {
        let to = self.members.iter().position(|member| member.peer_address == action.to).unwrap();
        if !self.dead.contains(&to) {
            let from = self.members[from].incarnation.unwrap();
            let event = report::ReportEvent::Received { from, message: action.message };
            self.keepers[to].handle(event, self.now, &mut Vec::new());
        }
    }

    fn traffic(&self, index: usize, region: usize) -> report::HomeTraffic {
        let home_traffic = self.keepers[index].home_traffic(self.now);
        home_traffic.into_iter().find(|traffic| traffic.home == name_of(region)).unwrap()
    }

    fn aggregator_of(&mut self, region: usize) -> usize {
        let sent = self.run_period();
        let members = (0..sent.len()).filter(|index| index % REGIONS == region);
        members.max_by_key(|index| sent[*index]).unwrap()
    }
}

#[test]
fn every_instance_learns_the_traffic_of_all_regions() {
    let mut fleet = Fleet::new(REGIONS * MEMBERS_PER_REGION);
    for _ in 0..4 {
        fleet.run_period();
    }
    for index in 0..fleet.members.len() {
        for region in 0..REGIONS {
            assert_eq!(fleet.traffic(index, region).offered, RATE * MEMBERS_PER_REGION as f64);
        }
    }
}

#[test]
fn another_instance_aggregates_once_the_aggregator_is_gone() {
    let mut fleet = Fleet::new(REGIONS * MEMBERS_PER_REGION);
    let aggregator = fleet.aggregator_of(0);
    fleet.dead.insert(aggregator);
    fleet.publish_view();
    for _ in 0..4 {
        fleet.run_period();
    }
    let other = (1..).find(|index| index % REGIONS == 1).unwrap();
    let remaining = MEMBERS_PER_REGION - 1;
    assert_eq!(fleet.traffic(other, 0).offered, RATE * remaining as f64);
}

#[test]
fn sum_of_a_dead_region_ages() {
    let mut fleet = Fleet::new(REGIONS * MEMBERS_PER_REGION);
    for _ in 0..4 {
        fleet.run_period();
    }
    fleet.dead.extend((0..fleet.members.len()).filter(|index| index % REGIONS == 0));
    // The last sum before the failure is still distributed in the next period.
    fleet.run_period();
    let before = fleet.traffic(1, 0).age;
    for _ in 0..3 {
        fleet.run_period();
    }
    assert_eq!(fleet.traffic(1, 0).age, before + 3 * report::REPORT_PERIOD);
}

#[test]
fn messages_of_an_ordinary_instance_do_not_grow_with_the_fleet() {
    for count in [7, 50, 150, 450] {
        let mut fleet = Fleet::new(count);
        let sent = fleet.run_period();
        let ordinary = sent.iter().filter(|sent| **sent == 1).count();
        assert_eq!(ordinary, count - REGIONS, "all but the aggregators send one message");
        assert!(sent.iter().all(|sent| *sent <= count.div_ceil(REGIONS) + REGIONS));
    }
}
