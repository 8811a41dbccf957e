//! Timed waits in a process that was paused past the deadline.
//!
//! An answer that arrived during the pause must still be read instead of being
//! reported as a timeout.

use std::future;
use std::thread;
use std::time as duration;

use marjoramwing_node::clock;

const WAIT: duration::Duration = duration::Duration::from_millis(10);
const PAUSE: duration::Duration = duration::Duration::from_millis(400);

fn wait_for(answer: impl Future<Output = &'static str>) -> Option<&'static str> {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap();
    runtime.block_on(async {
        let clock = clock::MonotonicClock::start();
        clock.wait(clock.now() + WAIT, answer).await
    })
}

#[test]
fn answer_that_arrived_during_a_pause_is_read() {
    let answer = wait_for(async {
        thread::sleep(PAUSE);
        tokio::time::sleep(WAIT).await;
        "answer"
    });
    assert_eq!(answer, Some("answer"));
}

#[test]
fn wait_without_an_answer_times_out() {
    assert_eq!(wait_for(future::pending()), None);
}
