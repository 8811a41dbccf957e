//! "Not run" is reported only if it is true, and no non-idempotent request runs twice.

use std::time as duration;

use marjoramwing_dispatch::exchange;
use marjoramwing_dispatch::gate;
use marjoramwing_dispatch::mechanism;
use marjoramwing_entity::time;
use marjoramwing_testing::cases;
use rand::RngExt;
use rand::SeedableRng;

use exchange::AttemptEvent::{Ended, FirstByte, Head, ShedHead};
use exchange::AttemptState::{Answered, NotSent, PossiblySent, Shed};
use mechanism::DisabledMechanism;

fn check_states(events: &[exchange::AttemptEvent], expected: exchange::AttemptState) {
    let state = events.iter().fold(NotSent, |state, event| state.after(*event));
    assert_eq!(state, expected);
}

cases! { check_states:
    ended_before_the_first_byte => (&[Ended], NotSent);
    ended_after_the_first_byte => (&[FirstByte, Ended], PossiblySent);
    shed_after_the_first_byte => (&[FirstByte, ShedHead, Ended], Shed);
    answered => (&[FirstByte, Head, Ended], Answered);
    response_before_the_request_is_ignored => (&[Head, Ended], NotSent);
    shed_before_the_request_is_ignored => (&[ShedHead, FirstByte, Ended], PossiblySent);
}

fn rules(idempotent: bool, disabled: DisabledMechanism) -> exchange::ExchangeRules {
    exchange::ExchangeRules {
        idempotent,
        deadline: time::Timestamp::from_millis(1_000),
        max_attempts: 3,
        sheds_cost_retries: false,
        head_timeout: duration::Duration::from_millis(200),
        hedge_after: idempotent.then_some(duration::Duration::from_millis(50)),
        disabled,
    }
}

/// The actual state of one attempt, which the exchange does not see.
struct TrueAttempt {
    key: exchange::AttemptKey,
    state: exchange::AttemptState,
}

/// Drives one request whose attempts end at random.
struct ExchangeTrial {
    exchange: exchange::RequestExchange,
    open: Vec<TrueAttempt>,
    runs: u32,
    rng: rand_pcg::Pcg64,
}

impl ExchangeTrial {
    /// Returns the number of runs, and the outcome if the request was refused.
    fn run(mut self) -> (u32, Option<exchange::RequestOutcome>) {
        let mut now = time::Timestamp::ZERO;
        loop {
            match self.exchange.next_step(now, true) {
                exchange::ExchangeStep::Start => self.start(now),
                exchange::ExchangeStep::Abandon(key) => self.abandon(key),
                exchange::ExchangeStep::Refuse => {
                    while let Some(key) = self.open.first().map(|attempt| attempt.key) {
                        self.abandon(key);
                    }
                    return (self.runs, Some(self.exchange.outcome()));
                }
                exchange::ExchangeStep::Wait(until) => {
                    if self.rng.random_bool(0.3) {
                        now = until;
                    } else if self.end_one() {
                        return (self.runs, None);
                    }
                }
            }
        }
    }

    fn start(&mut self, now: time::Timestamp) {
        let key = self.exchange.start_attempt(now);
        let reached = [NotSent, PossiblySent, Shed, Answered][self.rng.random_range(0..4)];
        let ran = reached == Answered || (reached == PossiblySent && self.rng.random());
        self.open.push(TrueAttempt { key, state: reached });
        self.runs += u32::from(ran);
    }

    fn abandon(&mut self, key: exchange::AttemptKey) {
        let index = self.open.iter().position(|attempt| attempt.key == key).unwrap();
        let attempt = self.open.remove(index);
        let sent = if attempt.state == NotSent { NotSent } else { PossiblySent };
        self.exchange.abandon_attempt(key, sent);
    }

    fn end_one(&mut self) -> bool {
        if self.open.is_empty() {
            return false;
        }
        let attempt = self.open.remove(0);
        self.exchange.end_attempt(attempt.key, attempt.state);
        attempt.state == Answered
    }
}

fn count_violations(idempotent: bool, disabled: DisabledMechanism) -> u32 {
    const SCHEDULES: u64 = 5_000;
    let mut violations = 0;
    for seed in 0..SCHEDULES {
        let exchange = exchange::RequestExchange::new(rules(idempotent, disabled));
        let rng = rand_pcg::Pcg64::seed_from_u64(seed);
        let (runs, outcome) = ExchangeTrial { exchange, open: Vec::new(), runs: 0, rng }.run();
        let duplicated = !idempotent && runs > 1;
        let is_false = outcome == Some(exchange::RequestOutcome::NotRun) && runs > 0;
        violations += u32::from(duplicated || is_false);
    }
    violations
}

fn check_invariants(idempotent: bool, disabled: DisabledMechanism, holds: bool) {
    assert_eq!(count_violations(idempotent, disabled) == 0, holds);
}

cases! { check_invariants:
    non_idempotent_request_runs_at_most_once_and_not_run_is_correct =>
        (false, DisabledMechanism::Nothing, true);
    not_run_is_correct_for_idempotent_requests => (true, DisabledMechanism::Nothing, true);
    request_runs_twice_without_the_repeat_guard => (false, DisabledMechanism::RepeatGuard, false);
    not_run_is_wrong_without_counting_abandoned_attempts =>
        (true, DisabledMechanism::AbandonedAttempts, false);
}

#[test]
fn gate_permits_writes_only_between_arming_and_closing() {
    let now = time::Timestamp::from_millis(5);
    let gate = gate::SendGate::default();
    assert_eq!(gate.permit_write(now), gate::GateVerdict::Refused, "no request is armed");
    assert!(gate.arm(time::Timestamp::NEVER));
    assert_eq!(gate.permit_write(now), gate::GateVerdict::First);
    assert_eq!(gate.permit_write(now), gate::GateVerdict::Further);
    assert_eq!(gate.close(), PossiblySent);
    assert_eq!(gate.permit_write(now), gate::GateVerdict::Refused);
    assert!(!gate.arm(time::Timestamp::NEVER), "a closed gate stays closed");
}

#[test]
fn gate_refuses_a_request_at_its_latest_send_time() {
    let gate = gate::SendGate::default();
    assert!(gate.arm(time::Timestamp::from_millis(5)));
    assert_eq!(gate.permit_write(time::Timestamp::from_millis(5)), gate::GateVerdict::Refused);
    assert_eq!(gate.close(), NotSent);
}
