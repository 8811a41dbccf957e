//! A rate that a server takes from all instances together, divided among them.
//!
//! At most as many instances share the rate as it allows requests per second, each with an equal
//! part of which no request is saved for later. In a larger fleet they take turns: the sharers of
//! each turn are ranked again, counted from the time at which the server first named a limit.
//!
//! Invariant: with `r` the rate per second, instances that agree on the fleet and the start send at
//! most `6 r` requests within 4 s, including a change of turns.

use std::time as duration;

use marjoramwing_entity::rendezvous;
use marjoramwing_entity::time;

use crate::share;
use crate::statement;

/// Shortest duration of a turn.
const MIN_TURN: duration::Duration = duration::Duration::from_secs(4);
/// Shortest duration of a turn, as a multiple of the interval between two requests of a sharer.
const INTERVALS_PER_TURN: u32 = 4;

/// One server's limit and the part that this instance has of it.
#[derive(Debug, Clone)]
pub(crate) struct SharedRate {
    rate: statement::RequestRate,
    /// Time from which turns are counted.
    named_at: time::Timestamp,
    /// The current turn; `None` until the rate is divided.
    turn: Option<SharedTurn>,
    /// Whether the rate or the start has changed since the last division.
    is_changed: bool,
    /// Earliest time of the next request.
    next_at: time::Timestamp,
}

/// This instance's part in one turn.
#[derive(Debug, Clone, Copy)]
struct SharedTurn {
    number: u64,
    ends_at: time::Timestamp,
    /// Rank among all instances; `None` if it is not known.
    rank: Option<usize>,
    sharers: usize,
}

impl SharedRate {
    /// Creates a limit that was first named at a time.
    pub(crate) const fn new(rate: statement::RequestRate, named_at: time::Timestamp) -> Self {
        Self { rate, named_at, turn: None, is_changed: true, next_at: time::Timestamp::ZERO }
    }

    /// Returns the rate that all instances share.
    pub(crate) const fn rate(&self) -> statement::RequestRate {
        self.rate
    }

    /// Returns the time from which turns are counted.
    pub(crate) const fn named_at(&self) -> time::Timestamp {
        self.named_at
    }

    /// Replaces the rate; returns true if it is another one.
    pub(crate) fn set_rate(&mut self, rate: statement::RequestRate) -> bool {
        let is_other = self.rate != rate;
        self.rate = rate;
        self.is_changed |= is_other;
        is_other
    }

    /// Counts turns from an earlier time, so that all instances count them alike.
    pub(crate) fn adopt_start(&mut self, named_at: time::Timestamp) {
        if named_at < self.named_at {
            self.named_at = named_at;
            self.is_changed = true;
        }
    }

    /// Returns true if this instance is the first in the current turn.
    pub(crate) fn is_first(&self) -> bool {
        self.turn.is_some_and(|turn| turn.rank == Some(0))
    }

    /// Divides the rate for the turn at `now`.
    pub(crate) fn divide(&mut self, key: u64, fleet: &share::ShareFleet, now: time::Timestamp) {
        let sharers = usize::try_from(self.rate.milli() / 1_000).unwrap_or(usize::MAX);
        let sharers = sharers.clamp(1, fleet.size().max(1));
        let length = MIN_TURN.max(self.interval(sharers) * INTERVALS_PER_TURN);
        let length_us = u64::try_from(length.as_micros()).unwrap_or(u64::MAX);
        let since_us = now.as_micros().saturating_sub(self.named_at.as_micros());
        let takes_turns = fleet.size() > sharers;
        let number = if takes_turns { since_us / length_us } else { 0 };
        let ends_at = match takes_turns {
            true => self.named_at + length * u32::try_from(number + 1).unwrap_or(u32::MAX),
            false => time::Timestamp::NEVER,
        };
        let had_share = self.share_milli() > 0;
        let is_same = self.turn.is_some_and(|turn| turn.number == number);
        let rank = fleet.rank(key ^ rendezvous::mix(number));
        self.turn = Some(SharedTurn { number, ends_at, rank, sharers });
        self.is_changed = false;
        if self.share_milli() > 0 && !(had_share && is_same) {
            // The first requests of the sharers are spread over an interval.
            let position = u32::try_from(rank.unwrap_or(0)).unwrap_or(u32::MAX);
            let phase = self.interval(1) * position;
            self.next_at = self.next_at.max(now + phase);
        }
    }

    /// Returns true if the rate has to be divided again.
    pub(crate) fn is_division_due(&self, now: time::Timestamp) -> bool {
        self.is_changed || self.turn.is_none_or(|turn| now >= turn.ends_at)
    }

    /// Returns true if a request may be sent now.
    pub(crate) fn allows(&self, now: time::Timestamp) -> bool {
        self.share_milli() > 0 && !self.is_division_due(now) && now >= self.next_at
    }

    /// Returns when a request may be sent, or when the turn ends if none may be sent in it.
    pub(crate) fn next_at(&self) -> time::Timestamp {
        let ends_at = self.turn.map_or(time::Timestamp::ZERO, |turn| turn.ends_at);
        if self.share_milli() > 0 { self.next_at.min(ends_at) } else { ends_at }
    }

    /// Returns the rate of this instance in the current turn, in thousandths of a request per second.
    pub(crate) fn share_milli(&self) -> u64 {
        let Some(turn) = self.turn else { return 0 };
        match turn.rank {
            Some(rank) if rank < turn.sharers => self.rate.milli() / turn.sharers as u64,
            _ => 0,
        }
    }

    /// Records a request that is sent now.
    pub(crate) fn record_request(&mut self, now: time::Timestamp) {
        let sharers = self.turn.map_or(1, |turn| turn.sharers);
        self.next_at = now + self.interval(sharers);
    }

    /// Returns the interval between two requests of one of `sharers` instances.
    fn interval(&self, sharers: usize) -> duration::Duration {
        let interval_us = sharers as u64 * 1_000_000_000 / self.rate.milli().max(1);
        duration::Duration::from_micros(interval_us)
    }
}
