//! Chooses the greatest consistent versions of each group.
//!
//! Invariants: the applied version of an object never falls, an object that is
//! faulty or does not fit never replaces the applied one, and one group's
//! faults never hold back another group.

use std::sync::Arc;

use marjoramwing_tables::fault;
use marjoramwing_tables::snapshot;

use crate::candidate;
use crate::configuration;
use crate::group;

/// Versions of one object that are kept while they wait to become consistent.
const MAX_WAITING: usize = 8;
/// The steering of an instance that knows none.
const NO_STEERING: &str = r#"{"sites": []}"#;

/// The objects that one object of the store holds together.
const ONE_SOURCE: [candidate::TableObject; 4] = [
    candidate::TableObject::Routes,
    candidate::TableObject::Pools,
    candidate::TableObject::Teams,
    candidate::TableObject::Keys,
];

/// Which rules hold; only tests switch the first two off.
#[derive(Debug, Clone, Copy)]
pub struct SelectorRules {
    /// Whether older versions than the applied are left out.
    pub never_lower: bool,
    /// Whether groups are applied apart.
    pub apart: bool,
    /// Whether all tables but steering come from one object, so that only those
    /// of one version are applied.
    pub one_source: bool,
}

impl Default for SelectorRules {
    fn default() -> Self {
        Self { never_lower: true, apart: true, one_source: false }
    }
}

/// What is known of one object.
#[derive(Debug, Default)]
struct ObjectHistory {
    newest: u64,
    text: bytes::Bytes,
    applied: Option<candidate::CandidateObject>,
    /// Newer than the applied, in the order of their versions.
    waiting: Vec<candidate::CandidateObject>,
    faults: fault::FaultList,
}

impl ObjectHistory {
    fn applied_version(&self) -> u64 {
        self.applied.as_ref().map_or(0, |applied| applied.version)
    }

    /// Iterates over what may be applied, the newest first.
    fn choices(&self) -> impl Iterator<Item = Option<&candidate::CandidateObject>> + Clone {
        self.waiting.iter().rev().map(Some).chain([self.applied.as_ref()])
    }

    fn apply(&mut self, version: u64) {
        if let Some(index) = self.waiting.iter().position(|waiting| waiting.version == version) {
            self.applied = Some(self.waiting.remove(index));
        }
        let applied = self.applied_version();
        self.waiting.retain(|waiting| waiting.version > applied);
        if self.newest <= applied {
            self.faults = fault::FaultList::default();
        }
    }
}

/// Keeps the objects that were read and chooses among them.
#[derive(Debug)]
pub struct VersionSelector {
    rules: SelectorRules,
    histories: [ObjectHistory; candidate::TableObject::ALL.len()],
}

impl VersionSelector {
    /// Makes a selector that knows no object.
    #[must_use]
    pub fn new(rules: SelectorRules) -> Self {
        Self { rules, histories: std::array::from_fn(|_| ObjectHistory::default()) }
    }

    /// Returns the versions in force.
    #[must_use]
    pub fn applied(&self) -> snapshot::TableVersions {
        self.versions(ObjectHistory::applied_version)
    }

    /// Returns the newest versions that were read, accepted or not.
    #[must_use]
    pub fn newest(&self) -> snapshot::TableVersions {
        self.versions(|history| history.newest)
    }

    /// Returns the newest version of an object and its text.
    #[must_use]
    pub fn text(&self, object: candidate::TableObject) -> (u64, bytes::Bytes) {
        let history = self.history(object);
        (history.newest, history.text.clone())
    }

    /// Returns why the newest version of an object is not in force.
    #[must_use]
    pub fn faults(&self, object: candidate::TableObject) -> &fault::FaultList {
        &self.history(object).faults
    }

    /// Takes in an object as read and tells whether it is newer than all before.
    pub fn offer(
        &mut self,
        object: candidate::TableObject,
        version: u64,
        text: bytes::Bytes,
    ) -> bool {
        let never_lower = self.rules.never_lower;
        let history = self.history_mut(object);
        if version <= history.newest && never_lower {
            return false;
        }
        history.newest = version;
        history.text = text.clone();
        match candidate::CandidateObject::parse(object, version, text) {
            Ok(parsed) => {
                if history.waiting.len() == MAX_WAITING {
                    history.waiting.remove(0);
                }
                history.waiting.push(parsed);
            }
            Err(kind) => {
                history.faults = fault::FaultList::default();
                history.faults.add(object.to_string(), kind);
            }
        }
        true
    }

    /// Chooses anew and returns the tables if any version in force has changed.
    pub fn select(&mut self) -> Option<configuration::AppliedTables> {
        let before = self.applied();
        let mut consistent = true;
        if self.rules.one_source {
            self.select_one_version();
        } else {
            for group in group::TableGroup::ALL {
                consistent &= self.select_group(group);
            }
        }
        if self.applied() == before || !(consistent || self.rules.apart) {
            return None;
        }
        let documents = self.documents(|history| history.applied.as_ref());
        let snapshot = snapshot::TableSnapshot::try_from(&documents).ok()?;
        let versions = self.applied();
        Some(configuration::AppliedTables { versions, snapshot: Arc::new(snapshot) })
    }

    /// Applies the greatest version of which all objects are at hand and fit.
    fn select_one_version(&mut self) {
        let waiting = &self.history(ONE_SOURCE[0]).waiting;
        let versions: Vec<_> = waiting.iter().rev().map(|waiting| waiting.version).collect();
        for version in versions {
            let choices = ONE_SOURCE.map(|object| {
                let mut waiting = self.history(object).waiting.iter();
                (object, waiting.find(|waiting| waiting.version == version))
            });
            let is_whole = choices.iter().all(|(_, choice)| choice.is_some());
            if is_whole && self.check(&choices).is_empty() {
                ONE_SOURCE.into_iter().for_each(|object| self.history_mut(object).apply(version));
                return;
            }
        }
        group::TableGroup::ALL.into_iter().for_each(|group| self.note_faults(group));
    }

    /// Applies a group's greatest versions and tells whether they are its newest.
    fn select_group(&mut self, group: group::TableGroup) -> bool {
        let Some(chosen) = self.greatest(group) else { return false };
        let objects = group.objects();
        for (object, version) in objects.iter().zip(chosen) {
            self.history_mut(*object).apply(version);
        }
        let is_newest = objects.iter().all(|object| {
            let history = self.history(*object);
            history.applied_version() == history.newest
        });
        if !is_newest {
            self.note_faults(group);
        }
        is_newest
    }

    fn greatest(&self, group: group::TableGroup) -> Option<Vec<u64>> {
        let objects = group.objects();
        let second = objects.get(1).copied();
        for first_choice in self.history(objects[0]).choices() {
            let Some(second) = second else {
                if self.check(&[(objects[0], first_choice)]).is_empty() {
                    return Some(vec![version_of(first_choice)]);
                }
                continue;
            };
            for second_choice in self.history(second).choices() {
                let choices = [(objects[0], first_choice), (second, second_choice)];
                if self.check(&choices).is_empty() {
                    return Some(vec![version_of(first_choice), version_of(second_choice)]);
                }
            }
        }
        None
    }

    /// Checks objects of one group against each other.
    fn check(
        &self,
        choices: &[(candidate::TableObject, Option<&candidate::CandidateObject>)],
    ) -> fault::FaultList {
        let is_applied = choices
            .iter()
            .all(|(object, choice)| version_of(*choice) == self.history(*object).applied_version());
        if is_applied {
            return fault::FaultList::default();
        }
        let mut documents = empty_documents();
        for (_, choice) in choices {
            if let Some(choice) = choice {
                put_document(&mut documents, &choice.document);
            }
        }
        snapshot::TableSnapshot::try_from(&documents).err().unwrap_or_default()
    }

    /// Notes what is wrong with the newest versions of a group.
    fn note_faults(&mut self, group: group::TableGroup) {
        let newest = |object: candidate::TableObject| self.history(object).choices().next();
        let choices: Vec<_> =
            group.objects().iter().map(|object| (*object, newest(*object).flatten())).collect();
        let found = self.check(&choices);
        for object in group.objects() {
            let history = self.history_mut(*object);
            let waits = history.waiting.last().is_some_and(|last| last.version == history.newest);
            if waits {
                history.faults = faults_of(*object, &found);
            }
        }
    }

    fn documents(
        &self,
        choose: impl Fn(&ObjectHistory) -> Option<&candidate::CandidateObject>,
    ) -> snapshot::TableDocuments {
        let mut documents = empty_documents();
        for chosen in self.histories.iter().filter_map(choose) {
            put_document(&mut documents, &chosen.document);
        }
        documents
    }

    fn versions(&self, version: impl Fn(&ObjectHistory) -> u64) -> snapshot::TableVersions {
        let mut versions = snapshot::TableVersions::default();
        for object in candidate::TableObject::ALL {
            *group::version_mut(&mut versions, object) = version(self.history(object));
        }
        versions
    }

    fn history(&self, object: candidate::TableObject) -> &ObjectHistory {
        &self.histories[object as usize]
    }

    fn history_mut(&mut self, object: candidate::TableObject) -> &mut ObjectHistory {
        &mut self.histories[object as usize]
    }
}

impl Default for VersionSelector {
    fn default() -> Self {
        Self::new(SelectorRules::default())
    }
}

fn version_of(choice: Option<&candidate::CandidateObject>) -> u64 {
    choice.map_or(0, |choice| choice.version)
}

/// Returns the faults of one object, or all if none is in it.
fn faults_of(object: candidate::TableObject, found: &fault::FaultList) -> fault::FaultList {
    let prefix = object.to_string();
    let own = found.faults.iter().filter(|fault| fault.path.starts_with(&prefix));
    let own: Vec<_> = own.cloned().collect();
    if own.is_empty() { found.clone() } else { fault::FaultList { faults: own } }
}

fn empty_documents() -> snapshot::TableDocuments {
    let steering = serde_json::from_str(NO_STEERING).expect("the text is a steering object");
    snapshot::TableDocuments { steering, ..Default::default() }
}

fn put_document(documents: &mut snapshot::TableDocuments, document: &candidate::CandidateDocument) {
    match document {
        candidate::CandidateDocument::Routes(routes) => documents.routes = (**routes).clone(),
        candidate::CandidateDocument::Pools(pools) => documents.pools = (**pools).clone(),
        candidate::CandidateDocument::Teams(teams) => documents.teams = (**teams).clone(),
        candidate::CandidateDocument::Keys(keys) => documents.keys = (**keys).clone(),
        candidate::CandidateDocument::Steering(steering) => {
            documents.steering = (**steering).clone();
        }
    }
}
