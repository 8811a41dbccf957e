//! Delay between watches of the registrations.
//!
//! The load: hundreds of servers register or are replaced one after the other, and each of
//! hundreds of instances watches them.

use std::time as duration;

use marjoramwing_entity::time;
use marjoramwing_node::control::pause;

const ANSWER: duration::Duration = duration::Duration::from_millis(4);

/// Counts the watches of one instance in `span`, while something changes all the time.
fn count_watches(started_before: duration::Duration, span: duration::Duration) -> usize {
    let start = time::Timestamp::from_millis(1);
    let mut pauses = pause::WatchPause::new(start);
    let begin = start + started_before;
    let (mut now, mut count) = (begin, 0);
    while now < begin + span {
        count += 1;
        now += ANSWER;
        now += pauses.next(ANSWER, now);
    }
    count
}

#[test]
fn registration_of_a_fleet_costs_few_watches() {
    let ten_seconds = duration::Duration::from_secs(10);
    assert!(count_watches(duration::Duration::ZERO, ten_seconds) <= 10);
    assert!(count_watches(duration::Duration::from_secs(60), ten_seconds) <= 12);
}

/// A server that leaves may get requests for 2.5 s at least; a watch and its transfer to the
/// dispatch must fit several times.
#[test]
fn pause_in_operation_is_at_most_a_second() {
    let start = time::Timestamp::from_millis(1);
    let mut pauses = pause::WatchPause::new(start);
    let now = start + duration::Duration::from_secs(5);
    let longest = (0..100).map(|_| pauses.next(ANSWER, now)).max();
    assert_eq!(longest, Some(duration::Duration::from_secs(1)));
    let after_a_wait = pauses.next(duration::Duration::from_secs(3), now);
    assert_eq!(after_a_wait, duration::Duration::from_millis(400));
}
