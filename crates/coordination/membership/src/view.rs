//! An immutable view of the members.

use crate::member;

/// All members at one time, in the order of their names.
#[derive(Debug, Clone, Default)]
pub struct MemberView {
    /// The members.
    pub members: Vec<member::Member>,
}

impl MemberView {
    /// Makes a view of members in any order.
    #[must_use]
    pub fn new(mut members: Vec<member::Member>) -> Self {
        members.sort_by(|left, right| left.name.cmp(&right.name));
        Self { members }
    }

    /// Iterates over the members that take new requests.
    pub fn live(&self) -> impl Iterator<Item = &member::Member> {
        self.members.iter().filter(|member| member.state == member::MemberState::Live)
    }

    /// Returns the number of members that take new requests.
    #[must_use]
    pub fn live_count(&self) -> usize {
        self.live().count()
    }
}
