//! "Not run" is said only when it is true, and nothing runs twice that must not.

use marjoramwing_dispatch::exchange;
use marjoramwing_testing::cases;

use exchange::AttemptState::{Answered, NotSent, PossiblySent, Shed};
use exchange::RequestOutcome::{NotRun, Unknown};

fn check_failures(
    idempotent: bool,
    failures: &[exchange::AttemptState],
    may_repeat: bool,
    outcome: exchange::RequestOutcome,
) {
    let mut request = exchange::RequestExchange::new(idempotent);
    let repeats = failures.iter().map(|state| request.record_failure(*state));
    assert_eq!(repeats.last(), Some(may_repeat));
    assert_eq!(request.outcome(), outcome);
}

cases! { check_failures:
    unsent_may_repeat => (false, &[NotSent], true, NotRun);
    shed_may_repeat => (false, &[Shed], true, NotRun);
    sent_once_must_not_repeat => (false, &[PossiblySent], false, Unknown);
    sent_after_shed_must_not_repeat => (false, &[Shed, PossiblySent], false, Unknown);
    idempotent_may_repeat => (true, &[PossiblySent], true, Unknown);
    shed_after_sent_stays_unknown => (true, &[PossiblySent, Shed], true, Unknown);
    broken_answer_must_not_repeat => (false, &[Answered], false, Unknown);
    attempts_are_bounded => (true, &[NotSent, NotSent, NotSent], false, NotRun);
}
