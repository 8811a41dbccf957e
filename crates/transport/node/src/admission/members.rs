//! Reports membership changes to the ledger.

use std::collections;
use std::sync;

use marjoramwing_entity::incarnation;
use marjoramwing_ledger::action;
use marjoramwing_membership::member;
use marjoramwing_membership::view;

/// Derives ledger events from successive member views.
#[derive(Debug)]
pub struct MemberTracker {
    own: incarnation::Incarnation,
    /// States of the other members that were live or leaving in the previous view.
    reported: collections::BTreeMap<incarnation::Incarnation, member::MemberState>,
}

impl MemberTracker {
    /// Creates a tracker that has reported no member yet.
    #[must_use]
    pub const fn new(own: incarnation::Incarnation) -> Self {
        Self { own, reported: collections::BTreeMap::new() }
    }

    /// Returns the ledger events that lead from the previous view to `view`.
    pub fn update(&mut self, view: &view::MemberView) -> Vec<action::LedgerEvent> {
        let mut events = Vec::new();
        let mut present = collections::BTreeMap::new();
        for member in &view.members {
            let is_present = view.is_live(member) || member.state == member::MemberState::Leaving;
            let Some(incarnation) = member.incarnation.filter(|_| is_present) else { continue };
            if incarnation == self.own {
                continue;
            }
            if !self.reported.contains_key(&incarnation) {
                events.push(action::LedgerEvent::MemberUp(ledger_member(member, incarnation)));
            }
            let is_leaving = member.state == member::MemberState::Leaving;
            if is_leaving && self.reported.get(&incarnation) != Some(&member::MemberState::Leaving)
            {
                events.push(action::LedgerEvent::MemberLeaving(incarnation));
            }
            present.insert(incarnation, member.state);
        }
        let absent =
            self.reported.iter().filter(|(incarnation, _)| !present.contains_key(incarnation));
        events.extend(absent.map(|(incarnation, state)| absence_event(*incarnation, *state)));
        self.reported = present;
        events
    }
}

fn absence_event(
    incarnation: incarnation::Incarnation,
    state: member::MemberState,
) -> action::LedgerEvent {
    match state {
        member::MemberState::Leaving => action::LedgerEvent::MemberLeft(incarnation),
        member::MemberState::Starting
        | member::MemberState::Live
        | member::MemberState::Suspect => action::LedgerEvent::MemberDown(incarnation),
    }
}

fn ledger_member(
    member: &member::Member,
    incarnation: incarnation::Incarnation,
) -> action::LedgerMember {
    action::LedgerMember {
        incarnation,
        region: sync::Arc::clone(&member.region),
        failure_domain: sync::Arc::clone(&member.failure_domain),
    }
}
