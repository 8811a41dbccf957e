//! Dispatch of one service: slots, the fair and bounded queue, retries.

use std::collections;
use std::net;
use std::sync::Arc;
use std::time as duration;

use marjoramwing_dispatch::mechanism;
use marjoramwing_dispatch::picker;
use marjoramwing_dispatch::policy;
use marjoramwing_dispatch::queue;
use marjoramwing_dispatch::service;
use marjoramwing_entity::primary;
use marjoramwing_entity::time;
use marjoramwing_tables::name;
use marjoramwing_tables::pool;
use marjoramwing_testing::cases;
use rand::RngExt;
use rand::SeedableRng;

use mechanism::DisabledMechanism::{self, Nothing};
use picker::ReportedResult::{Answered, Failed, Shed};
use queue::PushOutcome;

fn address(server: u16) -> net::SocketAddr {
    net::SocketAddr::from(([10, 0, 0, 1], server))
}

fn make_pool(servers: &[u16], draining: &[u16], slots: u32) -> pool::Pool {
    let server = |port: &u16| pool::BackendServer {
        address: address(*port),
        failure_domain: name::FailureDomainName::try_from(&Arc::from("a")).unwrap(),
        slots,
        draining: draining.contains(port),
        registered: None,
    };
    let servers: primary::PrimaryMap<_, _> = servers.iter().map(server).collect();
    pool::Pool {
        name: name::PoolName::try_from(&Arc::from("web")).unwrap(),
        servers,
        cold_start: None,
    }
}

fn make_policy(disabled: DisabledMechanism) -> policy::DispatchPolicy {
    policy::DispatchPolicy { disabled, ..policy::DispatchPolicy::fairness() }
}

fn make_service(disabled: DisabledMechanism, servers: &[u16]) -> service::ServiceDispatcher {
    let mut dispatcher = service::ServiceDispatcher::new(make_policy(disabled));
    dispatcher.set_servers(&make_pool(servers, &[], 3), time::Timestamp::ZERO);
    dispatcher
}

fn make_request(team: &str, deadline_ms: u64) -> queue::SlotRequest {
    let deadline = time::Timestamp::from_millis(deadline_ms);
    queue::SlotRequest {
        team: Arc::from(team),
        deadline,
        bytes: 1,
        excluded: Vec::new(),
        regions: None,
        session: None,
        target_time: None,
    }
}

fn report(result: picker::ReportedResult) -> picker::AttemptReport {
    picker::AttemptReport { result, open_requests: None }
}

/// Returns the maximum wait of the quiet team, in milliseconds.
///
/// The loud team sends twenty times as many requests, over one second in which one
/// request ends each millisecond.
fn quiet_team_latency_ms(disabled: DisabledMechanism, order: policy::QueueOrder) -> u64 {
    let policy = policy::DispatchPolicy { order, ..make_policy(disabled) };
    let mut dispatcher = service::ServiceDispatcher::new(policy);
    dispatcher.set_servers(&make_pool(&[1], &[], 1), time::Timestamp::ZERO);
    let mut queued_ms = collections::HashMap::new();
    let mut worst_ms = 0;
    for at_ms in 0..1_000 {
        let now = time::Timestamp::from_millis(at_ms);
        let mut teams = vec!["loud"; 2];
        teams.extend((at_ms % 10 == 0).then_some("quiet"));
        for team in teams {
            let outcome = dispatcher.request_slot(make_request(team, at_ms + 10_000), at_ms, now);
            if let (service::SlotOutcome::Queued { ticket, .. }, "quiet") = (&outcome, team) {
                queued_ms.insert(*ticket, at_ms);
            }
        }
        dispatcher.release_slot(
            address(1),
            report(Answered(duration::Duration::from_millis(1))),
            now,
        );
        for grant in dispatcher.dispatch_queued(at_ms, now).granted {
            let waited_ms = queued_ms.remove(&grant.ticket).map_or(0, |since_ms| at_ms - since_ms);
            worst_ms = worst_ms.max(waited_ms);
        }
    }
    let oldest_ms = queued_ms.values().map(|since_ms| 1_000 - since_ms).max();
    worst_ms.max(oldest_ms.unwrap_or(0))
}

fn check_loud_team(disabled: DisabledMechanism, order: policy::QueueOrder, holds: bool) {
    const MAX_WAIT_MS: u64 = 3;
    assert_eq!(quiet_team_latency_ms(disabled, order) <= MAX_WAIT_MS, holds);
}

cases! { check_loud_team:
    loud_team_does_not_delay_others_under_fairness =>
        (Nothing, policy::QueueOrder::LeastServedTeam, true);
    loud_team_does_not_delay_others_under_latency =>
        (Nothing, policy::QueueOrder::EarliestDeadline, true);
    loud_team_delays_others_in_a_single_queue =>
        (DisabledMechanism::TeamQueues, policy::QueueOrder::LeastServedTeam, false);
}

/// A queue that the loud team has filled accepts a request of the quiet one.
fn check_eviction(disabled: DisabledMechanism, holds: bool) {
    let policy = policy::DispatchPolicy { max_queued: 8, ..make_policy(disabled) };
    let mut queue = queue::FairQueue::new(&policy);
    for _ in 0..8 {
        assert!(matches!(queue.push(make_request("loud", 10)), PushOutcome::Queued(_)));
    }
    assert_eq!(queue.push(make_request("loud", 10)), PushOutcome::Full);
    let evicted = matches!(queue.push(make_request("quiet", 10)), PushOutcome::Evicted { .. });
    assert_eq!(evicted, holds);
    assert_eq!((queue.len(), queue.bytes()), (8, 8));
}

cases! { check_eviction:
    request_of_the_longest_queue_is_evicted => (Nothing, true);
    without_eviction_the_quiet_team_is_rejected => (DisabledMechanism::LongestQueueEviction, false);
}

/// Failing servers are ejected, but never more than a third of the pool.
fn check_ejection(disabled: DisabledMechanism, holds: bool) {
    let servers = [1, 2, 3, 4, 5, 6];
    let mut picker = picker::BackendPicker::new(policy::ChoiceRule::SoonestAnswer, disabled);
    picker.set_servers(&make_pool(&servers, &[], 3), time::Timestamp::ZERO);
    let now = time::Timestamp::from_millis(1);
    for server in servers {
        for _ in 0..3 {
            picker.occupy_slot(address(server), None, now);
            picker.release_slot(address(server), report(Failed), now);
        }
    }
    assert!(picker.ejected_count(now) >= 2);
    assert_eq!(picker.ejected_count(now) <= 2, holds);
    assert_eq!(picker.pick(&picker::ServerCriteria::default(), 1, now).is_some(), holds);
}

cases! { check_ejection:
    ejection_is_bounded => (Nothing, true);
    without_bound_the_whole_pool_is_ejected => (DisabledMechanism::EjectionBound, false);
}

#[test]
fn server_that_fails_again_is_ejected_at_once_and_for_longer() {
    let mut picker = picker::BackendPicker::new(policy::ChoiceRule::SoonestAnswer, Nothing);
    picker.set_servers(&make_pool(&[1, 2, 3], &[], 3), time::Timestamp::ZERO);
    let fail = |picker: &mut picker::BackendPicker, at_ms| {
        let now = time::Timestamp::from_millis(at_ms);
        picker.occupy_slot(address(1), None, now);
        picker.release_slot(address(1), report(Failed), now);
    };
    (0..3).for_each(|_| fail(&mut picker, 1));
    let ejected = |picker: &picker::BackendPicker, at_ms| {
        picker.ejected_count(time::Timestamp::from_millis(at_ms)) == 1
    };
    assert!(ejected(&picker, 1_000) && !ejected(&picker, 1_001));
    fail(&mut picker, 1_001);
    assert!(ejected(&picker, 3_000) && !ejected(&picker, 3_001));
}

#[test]
fn unresponsive_server_is_avoided_before_it_fails() {
    let mut picker = picker::BackendPicker::new(policy::ChoiceRule::SoonestAnswer, Nothing);
    picker.set_servers(&make_pool(&[1, 2], &[], 30), time::Timestamp::ZERO);
    for (server, latency_ms) in [(1, 1), (2, 20)] {
        picker.occupy_slot(address(server), None, time::Timestamp::ZERO);
        let answered = Answered(duration::Duration::from_millis(latency_ms));
        picker.release_slot(address(server), report(answered), time::Timestamp::ZERO);
    }
    let now = time::Timestamp::from_millis(1);
    assert_eq!(picker.pick(&picker::ServerCriteria::default(), 1, now), Some(address(1)));
    picker.occupy_slot(address(1), None, now);
    assert_eq!(
        picker.pick(&picker::ServerCriteria::default(), 1, time::Timestamp::from_millis(40)),
        Some(address(2))
    );
}

/// Servers whose latencies differ only by chance share the load.
#[test]
fn servers_with_similar_latencies_share_the_load() {
    let mut picker = picker::BackendPicker::new(policy::ChoiceRule::SoonestAnswer, Nothing);
    picker.set_servers(&make_pool(&[1, 2, 3], &[], 3), time::Timestamp::ZERO);
    let now = time::Timestamp::from_millis(1);
    for server in [1, 2, 3] {
        picker.occupy_slot(address(server), None, now);
        let answered = Answered(duration::Duration::from_micros(5_000 + u64::from(server)));
        picker.release_slot(address(server), report(answered), now);
    }
    let picked =
        (0..100).filter_map(|seed| picker.pick(&picker::ServerCriteria::default(), seed, now));
    assert_eq!(picked.collect::<collections::HashSet<_>>().len(), 3);
}

/// Tries to take two retries for each of ten thousand requests.
fn check_retries(disabled: DisabledMechanism, holds: bool) {
    const REQUESTS: u32 = 10_000;
    const BURST: u32 = 10;
    let mut dispatcher = make_service(disabled, &[1]);
    let mut retries = 0;
    for _ in 0..REQUESTS {
        dispatcher.record_request();
        retries += (0..2).filter(|_| dispatcher.take_retry()).count() as u32;
    }
    assert!(retries >= REQUESTS / 10 - 1);
    assert_eq!(retries <= REQUESTS / 10 + BURST, holds);
}

cases! { check_retries:
    retries_are_limited_to_a_share_of_requests => (Nothing, true);
    retries_are_not_limited_without_the_budget => (DisabledMechanism::RetryBudget, false);
}

fn check_late(disabled: DisabledMechanism, holds: bool) {
    let mut dispatcher = make_service(disabled, &[1]);
    let now = time::Timestamp::from_millis(1);
    dispatcher.request_slot(make_request("a", 10_000), 1, now);
    dispatcher.release_slot(address(1), report(Answered(duration::Duration::from_millis(20))), now);
    for _ in 0..3 {
        dispatcher.request_slot(make_request("a", 10_000), 1, now);
    }
    dispatcher.request_slot(make_request("a", 15), 1, now);
    dispatcher.release_slot(address(1), report(Answered(duration::Duration::from_millis(20))), now);
    let batch = dispatcher.dispatch_queued(1, now);
    assert_eq!((batch.expired.len(), batch.granted.len()), if holds { (1, 0) } else { (0, 1) });
}

cases! { check_late:
    request_that_cannot_meet_its_deadline_expires => (Nothing, true);
    late_request_takes_a_slot_without_deadline_expiry => (DisabledMechanism::DeadlineExpiry, false);
}

#[test]
fn draining_and_removed_servers_get_no_new_requests() {
    let mut dispatcher = make_service(Nothing, &[1, 2, 3]);
    let now = time::Timestamp::from_millis(1);
    dispatcher.set_servers(&make_pool(&[1, 3], &[1], 3), now);
    let granted = (0..4).filter_map(|seed| {
        dispatcher.try_acquire_slot(&picker::ServerCriteria::default(), seed, now)
    });
    assert_eq!(granted.collect::<Vec<_>>(), [address(3); 3]);
    dispatcher.set_servers(&make_pool(&[1], &[1], 3), now);
    assert_eq!(
        dispatcher.request_slot(make_request("a", 10), 1, now),
        service::SlotOutcome::NoServer
    );
}

#[test]
fn server_that_joins_starts_slowly() {
    let mut dispatcher = make_service(Nothing, &[1]);
    let joined = time::Timestamp::from_millis(1);
    dispatcher.set_servers(&make_pool(&[2], &[], 8), joined);
    let take_free_slots = |dispatcher: &mut service::ServiceDispatcher, now| {
        std::iter::from_fn(|| {
            dispatcher.try_acquire_slot(&picker::ServerCriteria::default(), 1, now)
        })
        .count()
    };
    assert_eq!(take_free_slots(&mut dispatcher, joined), 1);
    assert_eq!(take_free_slots(&mut dispatcher, joined + duration::Duration::from_secs(5)), 3);
    assert_eq!(take_free_slots(&mut dispatcher, joined + duration::Duration::from_secs(10)), 4);
}

/// Compares the dispatcher with a simple model over random events.
#[test]
fn slots_and_order_match_a_naive_service() {
    const TEAMS: [&str; 3] = ["a", "b", "c"];
    for seed in 0..200 {
        let mut rng = rand_pcg::Pcg64::seed_from_u64(seed);
        let mut dispatcher = make_service(Nothing, &[1, 2]);
        let mut open = Vec::new();
        let mut model: Vec<(queue::TicketKey, &str)> = Vec::new();
        for step in 0..300 {
            let now = time::Timestamp::from_millis(step * 30);
            if rng.random_bool(0.6) {
                let team = TEAMS[rng.random_range(0..3) * rng.random_range(0..2)];
                match dispatcher.request_slot(make_request(team, u64::MAX / 1_000), step, now) {
                    service::SlotOutcome::Granted(server) => {
                        assert!(model.is_empty(), "no request overtakes the queue");
                        open.push(server);
                    }
                    service::SlotOutcome::Queued { ticket, .. } => {
                        assert_eq!(open.len(), 6, "no slot is idle");
                        model.push((ticket, team));
                    }
                    other => panic!("{other:?}"),
                }
            } else if !open.is_empty() {
                let server = open.swap_remove(rng.random_range(0..open.len()));
                let result = if rng.random_bool(0.2) {
                    Shed
                } else {
                    Answered(duration::Duration::from_millis(1))
                };
                dispatcher.release_slot(server, report(result), now);
            }
            for grant in
                dispatcher.dispatch_queued(step, now + duration::Duration::from_millis(25)).granted
            {
                let index = model.iter().position(|(ticket, _)| *ticket == grant.ticket).unwrap();
                let (_, team) = model.remove(index);
                let first = model[..index].iter().all(|(_, other)| *other != team);
                assert!(first, "a team's requests are served in order");
                open.push(grant.server);
            }
            for server in [address(1), address(2)] {
                let model_count = open.iter().filter(|other| **other == server).count();
                assert_eq!(dispatcher.in_flight(server) as usize, model_count);
                assert!(model_count <= 3, "no server gets more than its slots");
            }
            assert_eq!(dispatcher.queued(), model.len());
        }
    }
}

/// Returns how many requests within a minute go to a server whose first response was slow.
fn requests_after_slow_response(disabled: DisabledMechanism) -> usize {
    let mut dispatcher = make_service(disabled, &[1, 2]);
    let mut chosen = 0;
    for number in 0..600_u64 {
        let now = time::Timestamp::from_millis(number * 100);
        let server =
            dispatcher.try_acquire_slot(&picker::ServerCriteria::default(), number, now).unwrap();
        let is_slow = server == address(1);
        let is_first = is_slow && chosen == 0;
        chosen += usize::from(is_slow);
        let latency = duration::Duration::from_millis(if is_first { 60 } else { 2 });
        dispatcher.release_slot(server, report(Answered(latency)), now + latency);
    }
    chosen
}

#[test]
fn slow_first_response_expires() {
    // Once its slow response has expired after 30 s, the server gets about half of the
    // requests.
    let chosen = requests_after_slow_response(Nothing);
    assert!((100..=200).contains(&chosen), "{chosen}");
    assert_eq!(requests_after_slow_response(DisabledMechanism::LatencyAging), 1);
}

/// Answers one request after each service time, so that all servers are known to take that long.
fn make_measured_service(service_time_ms: u64) -> service::ServiceDispatcher {
    let mut dispatcher = make_service(Nothing, &[1]);
    for _ in 0..2_000 {
        let granted = dispatcher.request_slot(make_request("a", 100_000), 0, time::Timestamp::ZERO);
        assert_eq!(granted, service::SlotOutcome::Granted(address(1)));
        let latency = duration::Duration::from_millis(service_time_ms);
        dispatcher.release_slot(address(1), report(Answered(latency)), time::Timestamp::ZERO);
    }
    dispatcher
}

fn check_start_before_stop(service_time_ms: u64, now_ms: u64, is_granted: bool) {
    let mut dispatcher = make_measured_service(service_time_ms);
    dispatcher.stop_at(time::Timestamp::from_millis(10_000));
    let now = time::Timestamp::from_millis(now_ms);
    let outcome = dispatcher.request_slot(make_request("a", 100_000), 0, now);
    let expected = match is_granted {
        true => service::SlotOutcome::Granted(address(1)),
        false => service::SlotOutcome::Stopping,
    };
    assert_eq!(outcome, expected);
    let slot = dispatcher.try_acquire_slot(&picker::ServerCriteria::default(), 0, now);
    assert_eq!(slot.is_some(), is_granted);
}

// A stopping instance started requests that it could not finish.
cases! { check_start_before_stop:
    quick_request_starts_shortly_before_a_stop => (100, 9_700, true);
    request_that_would_outlast_a_stop_is_not_started => (1_000, 9_700, false);
    slow_request_starts_while_time_is_left => (1_000, 7_000, true);
    nothing_starts_after_a_stop => (100, 10_001, false);
}

/// Checks a request that arrives `now_ms` into a stop after 10 s, late from 3 s on.
fn check_late_request(now_ms: u64, deadline_ms: u64, is_granted: bool) {
    let mut dispatcher = make_measured_service(1_000);
    dispatcher.stop_at(time::Timestamp::from_millis(10_000));
    dispatcher.finish_only_from(time::Timestamp::from_millis(3_000));
    let now = time::Timestamp::from_millis(now_ms);
    let outcome = dispatcher.request_slot(make_request("a", deadline_ms), 0, now);
    let expected = match is_granted {
        true => service::SlotOutcome::Granted(address(1)),
        false => service::SlotOutcome::Stopping,
    };
    assert_eq!(outcome, expected);
}

// Requests that came late in the grace period were taken, and cut at its end if their server took
// longer than most.
cases! { check_late_request:
    early_request_starts_though_it_may_outlast_the_stop => (2_900, 12_000, true);
    late_request_that_ends_before_the_stop_starts => (4_000, 9_900, true);
    late_request_that_may_outlast_the_stop_is_refused => (4_000, 10_100, false);
}

// A request in the queue of a stopping instance was kept until the process ended.
#[test]
fn queued_requests_leave_the_queue_before_a_stop() {
    let mut dispatcher = make_measured_service(1_000);
    let start = time::Timestamp::ZERO;
    for _ in 0..3 {
        let granted = dispatcher.request_slot(make_request("a", 100_000), 0, start);
        assert_eq!(granted, service::SlotOutcome::Granted(address(1)));
    }
    let queued = ["a", "b"].map(|team| {
        match dispatcher.request_slot(make_request(team, 100_000), 0, start) {
            service::SlotOutcome::Queued { ticket, .. } => ticket,
            other => panic!("{other:?}"),
        }
    });
    dispatcher.stop_at(time::Timestamp::from_millis(10_000));
    assert_eq!(dispatcher.dispatch_queued(0, start), service::DispatchBatch::default());
    let wakeup = dispatcher.next_wakeup(start).unwrap();
    assert!(wakeup < time::Timestamp::from_millis(9_000), "{wakeup:?}");
    let batch = dispatcher.dispatch_queued(0, wakeup);
    assert_eq!((batch.stopped.as_slice(), dispatcher.queued()), (&queued[..], 0));
}

fn check_departure(remaining: &[u16], excluded: &[u16], leaves_queue: bool) {
    let mut dispatcher = make_service(Nothing, &[1, 2]);
    let now = time::Timestamp::ZERO;
    for _ in 0..6 {
        let outcome = dispatcher.request_slot(make_request("a", 1_000), 0, now);
        assert!(matches!(outcome, service::SlotOutcome::Granted(_)), "{outcome:?}");
    }
    let mut request = make_request("a", 1_000);
    request.excluded = excluded.iter().map(|server| address(*server)).collect();
    let service::SlotOutcome::Queued { ticket, .. } = dispatcher.request_slot(request, 0, now)
    else {
        panic!("all slots are taken");
    };
    dispatcher.set_servers(&make_pool(remaining, &[], 3), now);
    let expected = if leaves_queue { vec![ticket] } else { Vec::new() };
    assert_eq!(dispatcher.remove_unservable(), expected);
    assert_eq!(dispatcher.queued(), usize::from(!leaves_queue));
}

// A queued request whose servers had left was held until its deadline.
cases! { check_departure:
    queued_request_waits_for_the_server_that_remains => (&[2], &[], false);
    queued_request_is_refused_when_all_servers_leave => (&[], &[], true);
    queued_request_is_refused_when_only_excluded_servers_remain => (&[2], &[2], true);
}
