//! Placement of sessions in a fleet with a starved region.
//!
//! The load: one region has a tenth of the servers and as many requests as the others. Each of
//! its servers has several times as many sessions as one elsewhere, and remembers a limited
//! number; sessions of other regions that overflow to it make all of them slow.

use std::collections;
use std::net;
use std::time as duration;

use marjoramwing_dispatch::picker;
use marjoramwing_dispatch::session;

use crate::support;

const SESSIONS: u64 = 300;

/// Eight servers in the instance's region, one in the starved region, six in a third one.
fn make_servers() -> Vec<support::TestServer> {
    let domain = |number| match number {
        0..8 => "west-a",
        8 => "south-a",
        _ => "east-a",
    };
    (0..15).map(|number| (number, domain(number), 0)).collect()
}

fn session_of(number: u64) -> session::SessionKey {
    session::SessionKey::of(&number.to_string())
}

fn criteria_of(number: u64) -> picker::ServerCriteria<'static> {
    picker::ServerCriteria { session: Some(session_of(number)), ..Default::default() }
}

/// Occupies all slots of the local servers.
fn fill_local(picker: &mut picker::BackendPicker) {
    for number in 0..8 {
        (0..4 * support::SLOTS).for_each(|_| {
            picker.occupy_slot(support::address(number), None, support::at(0));
        });
    }
}

#[test]
fn overflow_of_other_regions_spares_the_starved_region() {
    let mut picker = support::make_picker(&make_servers());
    fill_local(&mut picker);
    let chosen = |number| support::pick(&picker, &criteria_of(number), 1);
    let servers: collections::BTreeSet<_> = (0..SESSIONS).filter_map(chosen).collect();
    assert_eq!(servers, (9..15).collect());
}

#[test]
fn starved_region_is_used_if_no_other_is_allowed() {
    let mut picker = support::make_picker(&make_servers());
    fill_local(&mut picker);
    let regions = [std::sync::Arc::from("west"), std::sync::Arc::from("south")];
    let criteria = picker::ServerCriteria { regions: Some(&regions), ..criteria_of(7) };
    assert_eq!(support::pick(&picker, &criteria, 1), Some(8));
}

/// Sends each session once a round and returns those that went to another region.
fn run_round(picker: &mut picker::BackendPicker, round: u64) -> collections::BTreeSet<u64> {
    let result = picker::ReportedResult::Answered(duration::Duration::from_millis(1));
    let report = picker::AttemptReport { result, open_requests: None };
    let mut remote = collections::BTreeSet::new();
    for number in 0..SESSIONS {
        let now = support::at(round * 2_000 + number * 6);
        let criteria = criteria_of(number);
        let chosen: net::SocketAddr = picker.pick(&criteria, number, now).unwrap();
        if chosen != support::address(1) {
            remote.insert(number);
        }
        picker.occupy_slot(chosen, criteria.session, now);
        picker.release_slot(chosen, report, now);
    }
    remote
}

/// The instance's region is the starved one: what its slots are not expected to serve goes to
/// other regions from the first request on, and comes back in steps. The sessions that come
/// back are those of the highest rank, so that each moves once.
#[test]
fn sessions_of_a_starved_region_come_back_in_the_order_of_their_rank() {
    let servers = [(1, "west-a", 0), (2, "east-a", 0), (3, "east-a", 0), (4, "east-b", 0)];
    let mut picker = support::make_picker(&servers);
    picker.limit_failback(0.09);
    let rounds: Vec<_> = (1..=4).map(|round| run_round(&mut picker, round)).collect();
    assert!((100..=160).contains(&rounds[0].len()), "{}", rounds[0].len());
    for (earlier, later) in rounds.iter().zip(&rounds[1..]) {
        assert!(later.len() + 10 <= earlier.len(), "{} to {}", earlier.len(), later.len());
        assert!(earlier.len() <= later.len() + 40, "{} to {}", earlier.len(), later.len());
        let new = later.difference(earlier).count();
        assert!(new <= SESSIONS as usize / 20, "{new} sessions left their region again");
    }
    let mean_rank = |sessions: &collections::BTreeSet<u64>| {
        let ranks = sessions.iter().map(|number| session_of(*number).rank_milli());
        ranks.sum::<u32>() as usize / sessions.len()
    };
    assert!(mean_rank(&rounds[0]) < 350, "{}", mean_rank(&rounds[0]));
}
