//! An immutable view of the members.

use std::sync::Arc;

use marjoramwing_entity::incarnation;

use crate::member;

/// All members at one time, in the order of their names.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct MemberView {
    /// The members.
    pub members: Vec<member::Member>,
    /// Regions of all members that are remembered, dead ones too.
    pub regions: Vec<Arc<str>>,
    counts_suspects: bool,
}

impl MemberView {
    /// Makes a view of members in any order.
    #[must_use]
    pub fn new(mut members: Vec<member::Member>) -> Self {
        members.sort_by(|left, right| {
            let left = (&left.name, left.incarnation);
            left.cmp(&(&right.name, right.incarnation))
        });
        let of_state = |state| members.iter().filter(|member| member.state == state).count();
        let suspects = of_state(member::MemberState::Suspect);
        // Suspicion of most members at once tells of the network, not of them.
        let counts_suspects = suspects > of_state(member::MemberState::Live);
        let mut view = Self { members, regions: Vec::new(), counts_suspects };
        view.regions = view.members.iter().map(|member| Arc::clone(&member.region)).collect();
        view.sort_regions();
        view
    }

    /// Adds the regions of members that are only remembered.
    #[must_use]
    pub fn with_regions(mut self, regions: impl IntoIterator<Item = Arc<str>>) -> Self {
        self.regions.extend(regions);
        self.sort_regions();
        self
    }

    /// Iterates over the members that take new requests.
    ///
    /// Suspected members are left out unless they outnumber the others.
    pub fn live(&self) -> impl Iterator<Item = &member::Member> {
        self.members.iter().filter(|member| self.is_live(member))
    }

    /// Returns the number of members that take new requests.
    #[must_use]
    pub fn live_count(&self) -> usize {
        self.live().count()
    }

    /// Returns the member of one run of a process, unless it is gone.
    #[must_use]
    pub fn by_incarnation(&self, incarnation: incarnation::Incarnation) -> Option<&member::Member> {
        self.members.iter().find(|member| member.incarnation == Some(incarnation))
    }

    fn sort_regions(&mut self) {
        self.regions.sort_unstable();
        self.regions.dedup();
    }

    /// Tells whether a member of this view takes new requests.
    #[must_use]
    pub fn is_live(&self, member: &member::Member) -> bool {
        match member.state {
            member::MemberState::Live => true,
            member::MemberState::Suspect => self.counts_suspects,
            member::MemberState::Starting | member::MemberState::Leaving => false,
        }
    }
}
