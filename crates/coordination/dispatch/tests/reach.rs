//! Whether an instance takes its links to the servers for lost, under virtual time.

use std::net;
use std::time as duration;

use marjoramwing_dispatch::reach;
use marjoramwing_entity::time;

use reach::DialPlan;
use reach::ReachChange;

fn at(millis: u64) -> time::Timestamp {
    time::Timestamp::from_millis(millis)
}

fn server(number: u16) -> net::SocketAddr {
    net::SocketAddr::from(([10, 0, 0, 1], number))
}

/// Returns a monitor that lost its links at 1 s.
fn lost() -> reach::ReachMonitor {
    let mut monitor = reach::ReachMonitor::default();
    assert_eq!(monitor.record_relayed(server(1), at(900)), None);
    assert_eq!(monitor.record_relayed(server(2), at(1_000)), Some(ReachChange::Lost));
    monitor
}

#[test]
fn one_server_that_only_others_reach_is_dialed_through_them() {
    let mut monitor = reach::ReachMonitor::default();
    monitor.record_relayed(server(1), at(0));
    assert!(!monitor.is_lost());
    assert_eq!(monitor.plan(server(1), at(1_999)), DialPlan::Relayed { probes: false });
    assert!(matches!(monitor.plan(server(2), at(1_999)), DialPlan::Direct { .. }));
    assert!(matches!(monitor.plan(server(1), at(2_000)), DialPlan::Direct { .. }));
}

/// Guards against requests that each wait for a direct connection which cannot be opened.
#[test]
fn lost_links_are_probed_but_not_waited_for() {
    let mut monitor = lost();
    assert_eq!(monitor.plan(server(9), at(1_000)), DialPlan::Relayed { probes: false });
    assert_eq!(monitor.plan(server(9), at(1_500)), DialPlan::Relayed { probes: true });
    assert_eq!(monitor.plan(server(8), at(1_501)), DialPlan::Relayed { probes: false });
}

#[test]
fn answer_of_any_server_regains_the_links() {
    let mut monitor = lost();
    assert_eq!(monitor.record_direct(server(9)), Some(ReachChange::Regained));
    assert!(matches!(monitor.plan(server(1), at(2_000)), DialPlan::Direct { .. }));
}

/// Guards against an instance that takes its links for lost since servers of one service are cut off.
#[test]
fn servers_that_answer_directly_speak_for_the_links() {
    let mut monitor = reach::ReachMonitor::default();
    for number in 1..100 {
        monitor.record_relayed(server(number), at(u64::from(number) * 100));
        monitor.record_direct(server(1_000));
        assert!(!monitor.is_lost());
    }
}

/// Guards against other instances that are asked for each connection to a server that has ended.
#[test]
fn others_are_not_asked_again_at_once_about_a_dead_server() {
    let mut monitor = reach::ReachMonitor::default();
    monitor.record_dead(server(1), at(0));
    assert_eq!(monitor.plan(server(1), at(499)), DialPlan::DirectOnly);
    assert!(matches!(monitor.plan(server(1), at(500)), DialPlan::Direct { .. }));
}

/// Guards against requests that are sent on connections which hang since the links were lost.
#[test]
fn connections_from_before_are_not_trusted_while_links_are_lost_or_doubted() {
    let monitor = lost();
    assert!(!monitor.trusts_direct(at(999), at(5_000)));
    assert!(monitor.trusts_direct(at(1_000), at(5_000)));
    assert!(monitor.trusts_relayed(server(9), at(5_000)));
    let mut doubting = reach::ReachMonitor::default();
    doubting.record_silence(at(1_000));
    assert!(!doubting.trusts_direct(at(999), at(1_500)));
    assert!(doubting.trusts_direct(at(999), at(2_000)));
    let plan = DialPlan::Direct { hedge_after: duration::Duration::ZERO };
    assert_eq!(doubting.plan(server(1), at(1_500)), plan);
}
