//! Compares the choice rules over seven instances, on the production decision code.
//!
//! `cargo bench -p marjoramwing-dispatch --bench fleet` compares more of them.

use marjoramwing_dispatch::policy;
use marjoramwing_testing::cases;

use crate::trial;
use policy::ChoiceRule::{LeastInFlight, Random, SoonestAnswer, TwoChoices};

const SPAN_US: u64 = 20_000_000;
const SEEDS: u64 = 5;

/// Sums the counts of several seeds.
fn run(choice: policy::ChoiceRule, underreports: bool) -> trial::TrialCounts {
    let policy = policy::DispatchPolicy { choice, ..policy::DispatchPolicy::fairness() };
    let region_delay_us = 35_000;
    let setup = trial::TrialSetup {
        policy,
        load: 0.7,
        skew: 0.4,
        region_delay_us,
        underreports,
        span_us: SPAN_US,
    };
    let mut total = trial::TrialCounts::default();
    for seed in 1..=SEEDS {
        let counts = trial::FleetTrial::run(setup, seed);
        total.dropped += counts.dropped;
        total.idle_share += counts.idle_share;
        total.latencies_us.extend(counts.latencies_us);
    }
    total
}

/// The default rule leaves fewer slots idle and responds sooner than `than`.
fn check_better(than: policy::ChoiceRule, underreports: bool) {
    let (ours, other) = (run(SoonestAnswer, underreports), run(than, underreports));
    assert!(ours.idle_share < other.idle_share);
    assert!(ours.quantile_ms(0.5) < other.quantile_ms(0.5));
    assert!(ours.quantile_ms(0.99) < other.quantile_ms(0.99));
    assert_eq!(ours.dropped, 0);
}

cases! { check_better:
    soonest_answer_beats_random => (Random, false);
    soonest_answer_beats_least_in_flight => (LeastInFlight, false);
    soonest_answer_beats_two_choices => (TwoChoices, false);
    soonest_answer_beats_least_in_flight_with_false_reports => (LeastInFlight, true);
}
