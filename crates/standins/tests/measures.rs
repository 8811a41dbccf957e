//! Tests the reference token bucket and the replacement of ports.

use std::time;

use marjoramwing_standins::deployment;
use marjoramwing_standins::limiter;

fn check_admitted(rate: f64, burst: f64, times_ms: &[u64], admitted: &[bool]) {
    let mut bucket = limiter::ReferenceBucket::new(rate, burst);
    let times = times_ms.iter().map(|at| time::Duration::from_millis(*at));
    let results: Vec<_> = times.map(|at| bucket.try_take(at)).collect();
    assert_eq!(results, admitted);
}

fn check_deficit(rate: f64, burst: f64, times_ms: &[u64], deficit: f64) {
    let mut bucket = limiter::ReferenceBucket::new(rate, burst);
    let times = times_ms.iter().map(|at| time::Duration::from_millis(*at));
    let max_deficit = times.map(|at| bucket.force_take(at)).fold(0.0, f64::max);
    assert!((max_deficit - deficit).abs() < 1e-9, "deficit {max_deficit}");
}

marjoramwing_testing::cases! { check_admitted:
    burst_is_usable_at_once => (1.0, 2.0, &[0, 0, 0], &[true, true, false]);
    tokens_return_at_the_rate => (10.0, 1.0, &[0, 50, 100], &[true, false, true]);
    tokens_never_exceed_the_burst => (10.0, 1.0, &[0, 9_000, 9_000], &[true, true, false]);
}

marjoramwing_testing::cases! { check_deficit:
    no_deficit_within_the_limit => (10.0, 1.0, &[0, 100, 200], 0.0);
    each_token_beyond_the_limit_adds_to_the_deficit => (10.0, 1.0, &[0, 0, 0, 1_000], 2.0);
}

#[test]
fn equal_ports_are_replaced_alike() {
    let mut rewriter = deployment::PortRewriter::new(500);
    let text = rewriter.replace("a 127.0.0.1:17000 b 127.0.0.1:17001");
    assert_eq!(text, "a 127.0.0.1:500 b 127.0.0.1:501");
    assert_eq!(rewriter.replace("127.0.0.1:17001\"}"), "127.0.0.1:501\"}");
}
