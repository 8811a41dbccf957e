//! Choice rules over seven instances, counted on the decision code.
//!
//! `cargo bench -p marjoramwing-dispatch --bench fleet` counts more of them.

use marjoramwing_dispatch::policy;
use marjoramwing_testing::cases;

use crate::trial;
use policy::ChoiceRule::{LeastInFlight, Random, SoonestAnswer, TwoChoices};

const SPAN_US: u64 = 20_000_000;
const SEEDS: u64 = 5;

/// Adds up what several seeds counted.
fn run(choice: policy::ChoiceRule, lies: bool) -> trial::TrialCounts {
    let policy = policy::DispatchPolicy { choice, ..policy::DispatchPolicy::fairness() };
    let far_us = 35_000;
    let setup = trial::TrialSetup { policy, load: 0.7, skew: 0.4, far_us, lies, span_us: SPAN_US };
    let mut total = trial::TrialCounts::default();
    for seed in 1..=SEEDS {
        let counts = trial::FleetTrial::run(setup, seed);
        total.late += counts.late;
        total.idle_share += counts.idle_share;
        total.latencies_us.extend(counts.latencies_us);
    }
    total
}

/// The rule in force leaves fewer slots idle and answers sooner than another.
fn check_better(than: policy::ChoiceRule, lies: bool) {
    let (ours, other) = (run(SoonestAnswer, lies), run(than, lies));
    assert!(ours.idle_share < other.idle_share);
    assert!(ours.quantile_ms(0.5) < other.quantile_ms(0.5));
    assert!(ours.quantile_ms(0.99) < other.quantile_ms(0.99));
    assert_eq!(ours.late, 0);
}

cases! { check_better:
    soonest_answer_beats_random => (Random, false);
    soonest_answer_beats_least_in_flight => (LeastInFlight, false);
    soonest_answer_beats_two_choices => (TwoChoices, false);
    soonest_answer_beats_least_in_flight_with_false_reports => (LeastInFlight, true);
}
