//! The failure domains that are drained.
//!
//! Invariant: a domain that is missing because the store was restored stays drained until the
//! operator had time to drain it again.

use std::collections;
use std::sync::Arc;
use std::time as duration;

use marjoramwing_entity::time;
use marjoramwing_objects::operation;
use marjoramwing_objects::position;

use crate::change;
use crate::grace;

/// Time within which operators drain a domain again after the store was restored.
const REDRAIN_GRACE: duration::Duration = duration::Duration::from_secs(10);

/// The drained failure domains, as last reported by the store.
#[derive(Debug, Default)]
pub(crate) struct DrainedDomains {
    /// Each domain with the period after which it is restored; `None` while its entry exists.
    domains: collections::BTreeMap<Arc<str>, Option<grace::GracePeriod>>,
    position: position::StorePosition,
}

impl DrainedDomains {
    /// Returns true if a domain is drained.
    pub(crate) fn contains(&self, domain: &str) -> bool {
        self.domains.contains_key(domain)
    }

    /// Applies the store's answer; an older one changes nothing.
    pub(crate) fn apply(
        &mut self,
        answer: &operation::WatchAnswer,
        now: time::Timestamp,
        changes: &mut Vec<change::RegistryChange>,
    ) {
        if answer.position < self.position {
            return;
        }
        let is_restored = answer.position.era > self.position.era;
        self.position = answer.position;
        if answer.is_full_list {
            self.handle_missing(answer, is_restored, now, changes);
        }
        for change in &answer.changes {
            let domain = &change.name.name;
            // An entry drains its failure domain by existing; its value is ignored.
            match change.value {
                operation::ChangedValue::Deleted => {
                    if self.domains.remove(domain).is_some() {
                        changes.push(change::RegistryChange::DomainRestored(Arc::clone(domain)));
                    }
                }
                _ => {
                    if self.domains.insert(Arc::clone(domain), None).is_none() {
                        changes.push(change::RegistryChange::DomainDrained(Arc::clone(domain)));
                    }
                }
            }
        }
    }

    /// Restores the domains that a list does not have, after a grace period if the store was
    /// restored.
    fn handle_missing(
        &mut self,
        answer: &operation::WatchAnswer,
        is_restored: bool,
        now: time::Timestamp,
        changes: &mut Vec<change::RegistryChange>,
    ) {
        let listed: collections::BTreeSet<_> =
            answer.changes.iter().map(|change| &change.name.name).collect();
        self.domains.retain(|domain, period| {
            if listed.contains(domain) {
                return true;
            }
            if is_restored {
                let started = grace::GracePeriod::until(now + REDRAIN_GRACE);
                if period.replace(started).is_none() {
                    changes.push(change::RegistryChange::DomainMissing(Arc::clone(domain)));
                }
                return true;
            }
            let is_kept = period.is_some();
            if !is_kept {
                changes.push(change::RegistryChange::DomainRestored(Arc::clone(domain)));
            }
            is_kept
        });
    }

    /// Gives operators the whole grace period again, unless that was done too often.
    pub(crate) fn restart_grace(&mut self, now: time::Timestamp) {
        for period in self.domains.values_mut().flatten() {
            period.restart(now, REDRAIN_GRACE);
        }
    }

    /// Restores the domains that were not drained again in time.
    pub(crate) fn expire(
        &mut self,
        now: time::Timestamp,
        changes: &mut Vec<change::RegistryChange>,
    ) {
        self.domains.retain(|domain, period| {
            let is_kept = period.is_none_or(|period| !period.has_ended(now));
            if !is_kept {
                changes.push(change::RegistryChange::DomainRestored(Arc::clone(domain)));
            }
            is_kept
        });
    }
}
