//! Compares the choice rules with seven instances that share one pool.
//!
//! The results are deterministic: time is virtual and the seed is fixed. `cargo bench
//! -p marjoramwing-dispatch --bench fleet` prints them as a table.

#[path = "../tests/fleet/trial.rs"]
mod trial;

use marjoramwing_dispatch::policy;

const SPAN_US: u64 = 60_000_000;
const RULES: [policy::ChoiceRule; 4] = [
    policy::ChoiceRule::Random,
    policy::ChoiceRule::LeastInFlight,
    policy::ChoiceRule::TwoChoices,
    policy::ChoiceRule::SoonestAnswer,
];

fn main() {
    println!(
        "| load | region delay | rule | true reports | sheds per request | idle slots | p50 ms | p99 ms | dropped |"
    );
    println!("| --- | --- | --- | --- | --- | --- | --- | --- | --- |");
    for load in [0.5, 0.7, 0.9] {
        for region_delay_us in [1_000, 35_000] {
            for choice in RULES {
                print_row(choice, load, region_delay_us, false);
            }
            print_row(policy::ChoiceRule::SoonestAnswer, load, region_delay_us, true);
        }
    }
}

fn print_row(choice: policy::ChoiceRule, load: f64, region_delay_us: u64, underreports: bool) {
    let policy = policy::DispatchPolicy { choice, ..policy::DispatchPolicy::fairness() };
    let setup = trial::TrialSetup {
        policy,
        load,
        skew: 0.4,
        region_delay_us,
        underreports,
        span_us: SPAN_US,
    };
    let counts = trial::FleetTrial::run(setup, 1);
    println!(
        "| {load} | {} ms | {choice:?} | {} | {:.3} | {:.2} % | {:.1} | {:.1} | {} |",
        region_delay_us / 1_000,
        if underreports { "false" } else { "true" },
        counts.sheds as f64 / counts.requests as f64,
        100.0 * counts.idle_share,
        counts.quantile_ms(0.5),
        counts.quantile_ms(0.99),
        counts.dropped,
    );
}
