//! How long a leaving instance waits until no view shows it as live.

use std::time;

const LEAST: time::Duration = time::Duration::from_secs(2);
const PER_MEMBER: time::Duration = time::Duration::from_millis(30);

/// Returns the wait of a leaving instance in a fleet of this size.
///
/// It covers the instances that hear of the departure only by a comparison of
/// all members, which a large fleet always has a few of.
#[must_use]
pub fn leave_spread(members: usize) -> time::Duration {
    LEAST + PER_MEMBER * u32::try_from(members).unwrap_or(u32::MAX)
}
