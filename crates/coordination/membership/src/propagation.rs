//! How long a leaving instance waits until no instance lists it as live.

use std::time;

const MIN_DELAY: time::Duration = time::Duration::from_secs(2);
const DELAY_PER_MEMBER: time::Duration = time::Duration::from_millis(30);

/// Returns how long a leaving instance waits for its departure to propagate to
/// all `members`.
///
/// The delay covers instances that gossip misses and that learn of the departure
/// only from a full sync; a large fleet always has a few of them.
#[must_use]
pub fn leave_delay(members: usize) -> time::Duration {
    MIN_DELAY + DELAY_PER_MEMBER * u32::try_from(members).unwrap_or(u32::MAX)
}
