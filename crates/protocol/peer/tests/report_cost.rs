//! Exact number of bytes that traffic reports cost one instance.

use std::net;
use std::sync::Arc;

use marjoramwing_entity::incarnation;
use marjoramwing_entity::time as entity_time;
use marjoramwing_membership::member;
use marjoramwing_membership::view;
use marjoramwing_peer::frame;
use marjoramwing_peer::message;
use marjoramwing_peer::report as wire;
use marjoramwing_steering::report;

/// Bytes per second that one instance may spend on all control traffic.
const CONTROL_BYTES_PER_SECOND: u64 = 13_000;
const REGIONS: u16 = 7;
const HOUR_SECONDS: u64 = 3_600;

fn region_of(index: u16) -> Arc<str> {
    format!("region-{}", index % REGIONS).into()
}

fn make_member(index: u16) -> member::Member {
    member::Member {
        name: format!("palermo-a-{index:03}").into(),
        caller_address: net::SocketAddr::from(([10, 20, 30, 40], 10_000 + index)),
        peer_address: net::SocketAddr::from(([10, 20, 30, 40], 20_000 + index)),
        site: region_of(index),
        region: region_of(index),
        failure_domain: "palermo-a".into(),
        incarnation: Some(incarnation::Incarnation::from_u64(index.into())),
        state: member::MemberState::Live,
    }
}

/// Returns the loads of an instance that serves clients of every region.
fn loads() -> Vec<report::RegionLoad> {
    (0..REGIONS).map(|index| report::RegionLoad { home: region_of(index), rate: 104.7 }).collect()
}

fn sum_of(region: u16) -> report::RegionSum {
    report::RegionSum { region: region_of(region), loads: loads(), age: report::REPORT_PERIOD }
}

fn traffic_of(region: u16) -> report::HomeTraffic {
    let (home, age) = (region_of(region), report::REPORT_PERIOD);
    report::HomeTraffic { home, offered: 47_142.9, age }
}

fn bytes_of(message: report::ReportMessage) -> u64 {
    let body = message::Body::Report(wire::Report::from(message));
    frame::frame_bytes(&message::Envelope::new(body))
}

/// Returns the bytes that one instance sends and receives in one report period.
fn period_bytes(fleet_size: u16, index: u16) -> u64 {
    let members: Vec<_> = (0..fleet_size).map(make_member).collect();
    let own = &members[usize::from(index)];
    let incarnation = own.incarnation.unwrap();
    let mut keeper =
        report::ReportKeeper::new(Arc::clone(&own.name), Arc::clone(&own.region), incarnation);
    let now = entity_time::Timestamp::from_millis(1);
    let view = Arc::new(view::MemberView::new(members));
    let mut actions = Vec::new();
    keeper.handle(report::ReportEvent::ViewChanged(view), now, &mut actions);
    let mut received = 0;
    for region in (0..REGIONS).filter(|region| *region != index % REGIONS) {
        let message = report::ReportMessage::Summed(sum_of(region));
        received += bytes_of(message.clone());
        let from = incarnation::Incarnation::from_u64(region.into());
        keeper.handle(report::ReportEvent::Received { from, message }, now, &mut actions);
    }
    keeper.handle(report::ReportEvent::Counted(loads()), now, &mut actions);
    let is_aggregator = actions.len() > 1;
    let region_size =
        (0..fleet_size).filter(|other| other % REGIONS == index % REGIONS).count() as u64;
    received = match is_aggregator {
        true => received + (region_size - 1) * bytes_of(report::ReportMessage::Counted(loads())),
        false => bytes_of(report::ReportMessage::Broadcast((0..REGIONS).map(traffic_of).collect())),
    };
    received + actions.into_iter().map(|action| bytes_of(action.message)).sum::<u64>()
}

fn check_cost(fleet_size: u16, expected_min: u64, expected_max: u64) {
    let costs: Vec<_> = (0..fleet_size).map(|index| period_bytes(fleet_size, index)).collect();
    let per_second = |bytes: u64| bytes / report::REPORT_PERIOD.as_secs();
    let (min_cost, max_cost) = (costs.iter().min().unwrap(), costs.iter().max().unwrap());
    println!(
        "{fleet_size} instances: {} to {} bytes/s",
        per_second(*min_cost),
        per_second(*max_cost)
    );
    assert_eq!((per_second(*min_cost), per_second(*max_cost)), (expected_min, expected_max));
    assert!(
        max_cost * HOUR_SECONDS / report::REPORT_PERIOD.as_secs()
            <= CONTROL_BYTES_PER_SECOND * HOUR_SECONDS
    );
}

marjoramwing_testing::cases! { check_cost:
    cost_in_a_fleet_of_7 => (7, 568, 568);
    cost_in_a_fleet_of_50 => (50, 92, 1214);
    cost_in_a_fleet_of_150 => (150, 92, 2507);
    cost_in_a_fleet_of_450 => (450, 92, 6477);
}
