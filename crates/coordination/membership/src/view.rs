//! An immutable snapshot of the members.

use std::sync::Arc;

use marjoramwing_entity::incarnation;

use crate::member;

/// Snapshot of all members, ordered by name.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct MemberView {
    /// Members that are neither dead nor gone.
    pub members: Vec<member::Member>,
    /// Regions of these members and of dead ones whose records are still kept, sorted, so that a
    /// region stays known for a time if all its members are unreachable.
    pub regions: Vec<Arc<str>>,
    suspects_are_live: bool,
}

impl MemberView {
    /// Creates a view from members in any order.
    #[must_use]
    pub fn new(mut members: Vec<member::Member>) -> Self {
        members.sort_by(|left, right| {
            let left = (&left.name, left.incarnation);
            left.cmp(&(&right.name, right.incarnation))
        });
        let count_state = |state| members.iter().filter(|member| member.state == state).count();
        let suspects = count_state(member::MemberState::Suspect);
        // More suspected than live members point to a network fault rather than to failed
        // members, so suspected members then still receive requests.
        let suspects_are_live = suspects > count_state(member::MemberState::Live);
        let mut view = Self { members, regions: Vec::new(), suspects_are_live };
        view.regions = view.members.iter().map(|member| Arc::clone(&member.region)).collect();
        view.sort_regions();
        view
    }

    /// Adds the regions of dead members.
    #[must_use]
    pub fn with_regions(mut self, regions: impl IntoIterator<Item = Arc<str>>) -> Self {
        self.regions.extend(regions);
        self.sort_regions();
        self
    }

    /// Iterates over the members that accept new requests.
    ///
    /// Suspected members are included only if they outnumber the members in
    /// [`MemberState::Live`](member::MemberState::Live).
    pub fn live(&self) -> impl Iterator<Item = &member::Member> {
        self.members.iter().filter(|member| self.is_live(member))
    }

    /// Returns the number of members that accept new requests.
    #[must_use]
    pub fn live_count(&self) -> usize {
        self.live().count()
    }

    /// Returns the member with an incarnation, or `None` if it is not in the view.
    #[must_use]
    pub fn by_incarnation(&self, incarnation: incarnation::Incarnation) -> Option<&member::Member> {
        self.members.iter().find(|member| member.incarnation == Some(incarnation))
    }

    fn sort_regions(&mut self) {
        self.regions.sort_unstable();
        self.regions.dedup();
    }

    /// Returns true if a member of this view accepts new requests.
    #[must_use]
    pub fn is_live(&self, member: &member::Member) -> bool {
        match member.state {
            member::MemberState::Live => true,
            member::MemberState::Suspect => self.suspects_are_live,
            member::MemberState::Starting | member::MemberState::Leaving => false,
        }
    }
}
