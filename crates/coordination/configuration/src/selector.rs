//! Selects the newest consistent versions of each group of objects.
//!
//! Invariants under the default rules: the applied version of an object never
//! decreases, a faulty or inconsistent object never replaces the applied one,
//! and a fault in one group never delays another group. [`SelectorRules`]
//! describes which of them the other rules give up.

use std::collections;
use std::sync::Arc;

use marjoramwing_derives as derives;
use marjoramwing_tables::fault;
use marjoramwing_tables::snapshot;

use crate::candidate;
use crate::configuration;
use crate::group;

/// Largest number of valid versions of one object that are kept until they are consistent with the
/// other objects of the group. Another one replaces the oldest.
const MAX_PENDING: usize = 8;
/// Steering document of an instance that has not read one.
const EMPTY_STEERING: &str = r#"{"sites": []}"#;

/// The tables whose versions are selected under [`SelectorRules::single_object`].
const SINGLE_OBJECT_TABLES: [candidate::TableObject; 4] = [
    candidate::TableObject::Routes,
    candidate::TableObject::Pools,
    candidate::TableObject::Teams,
    candidate::TableObject::Keys,
];

/// Where an object was received from.
#[derives::value]
pub enum ObjectSource {
    /// The object store.
    Store,
    /// Another instance, which read it from the store.
    Peer,
}

/// Rules of the selection. The first two are disabled only in tests.
#[derive(Debug, Clone, Copy)]
pub struct SelectorRules {
    /// Whether versions that are not newer than the newest one read are ignored.
    ///
    /// If not, each version that is read counts as the newest, and applied versions may decrease.
    pub monotonic: bool,
    /// Whether each group is applied independently of faults in the others.
    ///
    /// If not, [`VersionSelector::select`] returns no tables unless the newest versions of all
    /// objects are selected. Versions that it selects meanwhile still count as applied.
    pub independent_groups: bool,
    /// Whether a single store object holds routes, pools, teams and keys, so that these tables are
    /// applied only with equal versions.
    ///
    /// The store has accepted that object as a whole, so what can be read of it is applied, and
    /// faults are confined to their rows. Steering is never applied.
    pub single_object: bool,
}

impl Default for SelectorRules {
    fn default() -> Self {
        Self { monotonic: true, independent_groups: true, single_object: false }
    }
}

/// Versions of one object that have been read.
#[derive(Debug, Default)]
struct ObjectHistory {
    /// Newest version that was read, valid or not.
    newest_read: u128,
    /// Text of the newest version that was read.
    text: bytes::Bytes,
    /// Whether that text is a peer's.
    is_from_peer: bool,
    /// Applied version; `None` until one is applied.
    applied: Option<candidate::CandidateObject>,
    /// Valid versions newer than the applied one, in the order in which they were read, which is
    /// ascending under [`SelectorRules::monotonic`].
    pending: Vec<candidate::CandidateObject>,
    /// Why the newest version that was read is not applied, as far as it has been checked.
    faults: fault::FaultList,
}

impl ObjectHistory {
    fn applied_version(&self) -> u128 {
        self.applied.as_ref().map_or(0, |applied| applied.version)
    }

    /// Iterates over the versions that may be applied: the pending ones, last read first, and then
    /// the applied one, which is `None` if no version has been applied yet.
    fn choices(&self) -> impl Iterator<Item = Option<&candidate::CandidateObject>> + Clone {
        self.pending.iter().rev().map(Some).chain([self.applied.as_ref()])
    }

    /// Returns true if a valid text of a version is pending or applied.
    fn has_version(&self, version: u128) -> bool {
        self.choices().flatten().any(|choice| choice.version == version)
    }

    /// Adds a valid version, or replaces its text.
    fn add_pending(&mut self, candidate: candidate::CandidateObject) {
        self.pending.retain(|pending| pending.version != candidate.version);
        if self.pending.len() == MAX_PENDING {
            self.pending.remove(0);
        }
        self.pending.push(candidate);
    }

    /// Applies a version, unless it is applied already, and drops the pending versions that are not
    /// newer.
    fn apply(&mut self, version: u128) {
        if let Some(index) = self.pending.iter().position(|pending| pending.version == version) {
            self.applied = Some(self.pending.remove(index));
        }
        let applied = self.applied_version();
        self.pending.retain(|pending| pending.version > applied);
        if self.newest_read <= applied {
            self.faults = fault::FaultList::default();
        }
    }
}

/// Stores the objects that were read and selects the versions to apply.
#[derive(Debug)]
pub struct VersionSelector {
    rules: SelectorRules,
    histories: [ObjectHistory; candidate::TableObject::ALL.len()],
    /// Faults in the applied tables that were confined to their rows.
    confined: fault::FaultList,
}

impl VersionSelector {
    /// Creates a selector that knows no object.
    #[must_use]
    pub fn new(rules: SelectorRules) -> Self {
        Self {
            rules,
            histories: std::array::from_fn(|_| ObjectHistory::default()),
            confined: fault::FaultList::default(),
        }
    }

    /// Returns the applied versions, 0 for objects without one.
    #[must_use]
    pub fn applied(&self) -> snapshot::TableVersions {
        self.versions(ObjectHistory::applied_version)
    }

    /// Returns the newest versions that were read, valid or not.
    #[must_use]
    pub fn newest_read(&self) -> snapshot::TableVersions {
        self.versions(|history| history.newest_read)
    }

    /// Returns the newest version of an object that was read, and its text.
    #[must_use]
    pub fn text(&self, object: candidate::TableObject) -> (u128, bytes::Bytes) {
        let history = self.history(object);
        (history.newest_read, history.text.clone())
    }

    /// Returns why the newest version of an object that was read is not applied.
    ///
    /// Under [`SelectorRules::single_object`], that is only why it could not be parsed.
    #[must_use]
    pub fn faults(&self, object: candidate::TableObject) -> &fault::FaultList {
        &self.history(object).faults
    }

    /// Returns the faults in the applied tables that were confined to their rows.
    #[must_use]
    pub const fn confined(&self) -> &fault::FaultList {
        &self.confined
    }

    /// Adds an object that was read from the store, valid or not. Returns true if it is accepted.
    ///
    /// Under [`SelectorRules::monotonic`], only a version newer than all that were read before is
    /// accepted; otherwise, every version is.
    pub fn offer(
        &mut self,
        object: candidate::TableObject,
        version: u128,
        text: bytes::Bytes,
    ) -> bool {
        self.offer_from(ObjectSource::Store, object, version, text)
    }

    /// Adds an object that was received, as [`Self::offer`] does.
    ///
    /// Under [`SelectorRules::single_object`], a peer of another build may have read the store's
    /// object in another way. The store's text replaces that of a peer, and a peer's is accepted
    /// only if it can be parsed.
    pub fn offer_from(
        &mut self,
        source: ObjectSource,
        object: candidate::TableObject,
        version: u128,
        text: bytes::Bytes,
    ) -> bool {
        let SelectorRules { monotonic, single_object, .. } = self.rules;
        let is_from_peer = source == ObjectSource::Peer;
        let history = self.history_mut(object);
        let is_read_by_peer = history.is_from_peer && version == history.newest_read;
        let is_replacement =
            single_object && is_read_by_peer && !is_from_peer && text != history.text;
        if monotonic && version <= history.newest_read && !is_replacement {
            return false;
        }
        match candidate::CandidateObject::parse(object, version, text.clone()) {
            Ok(parsed) => history.add_pending(parsed),
            Err(_) if is_replacement || single_object && is_from_peer => return false,
            Err(kind) => {
                history.faults = fault::FaultList::default();
                history.faults.add(object.to_string(), kind);
            }
        }
        history.newest_read = version;
        history.text = text;
        history.is_from_peer = is_from_peer;
        true
    }

    /// Selects the versions to apply and returns the tables if any applied version has changed.
    pub fn select(&mut self) -> Option<configuration::AppliedTables> {
        if self.rules.single_object {
            return self.select_common_version().then(|| self.confine_applied());
        }
        let before = self.applied();
        let mut all_newest_read = true;
        for group in group::TableGroup::ALL {
            all_newest_read &= self.select_group(group);
        }
        // Withheld tables have been recorded as applied above; see `independent_groups`.
        if self.applied() == before || !(all_newest_read || self.rules.independent_groups) {
            return None;
        }
        let documents = self.documents(|history| history.applied.as_ref());
        // Each group has been checked and none refers to another, so the tables are expected to be
        // consistent as a whole. If they were not, the versions would count as applied without
        // being returned.
        let snapshot = snapshot::TableSnapshot::try_from(&documents).ok()?;
        Some(self.applied_tables(snapshot, fault::FaultList::default()))
    }

    /// Applies the newest version that all [`SINGLE_OBJECT_TABLES`] have and that is pending for
    /// one of them.
    ///
    /// Returns true if there is one.
    fn select_common_version(&mut self) -> bool {
        let tables = SINGLE_OBJECT_TABLES.into_iter();
        let pending = tables.clone().flat_map(|object| &self.history(object).pending);
        let versions: collections::BTreeSet<_> = pending.map(|pending| pending.version).collect();
        let is_common = |version: &u128| {
            tables.clone().all(|object| self.history(object).has_version(*version))
        };
        let Some(version) = versions.into_iter().rev().find(is_common) else { return false };
        tables.for_each(|object| self.history_mut(object).apply(version));
        true
    }

    /// Builds the tables from the applied documents and records the faults that are confined.
    fn confine_applied(&mut self) -> configuration::AppliedTables {
        let documents = self.documents(|history| history.applied.as_ref());
        let (snapshot, faults) = snapshot::TableSnapshot::confine(&documents);
        self.confined = faults.clone();
        self.applied_tables(snapshot, faults)
    }

    fn applied_tables(
        &self,
        snapshot: snapshot::TableSnapshot,
        confined: fault::FaultList,
    ) -> configuration::AppliedTables {
        let versions = self.applied();
        configuration::AppliedTables { versions, snapshot: Arc::new(snapshot), confined }
    }

    /// Applies the newest consistent versions of a group.
    ///
    /// Returns true if they are the newest that were read, valid or not; otherwise, records why
    /// those are not applied.
    fn select_group(&mut self, group: group::TableGroup) -> bool {
        let Some(chosen) = self.find_consistent(group) else { return false };
        let objects = group.objects();
        for (object, version) in objects.iter().zip(chosen) {
            self.history_mut(*object).apply(version);
        }
        let is_newest_read = objects.iter().all(|object| {
            let history = self.history(*object);
            history.applied_version() == history.newest_read
        });
        if !is_newest_read {
            self.record_faults(group);
        }
        is_newest_read
    }

    /// Returns the newest consistent versions in the order of the group's objects.
    ///
    /// A newer version of the first object takes precedence; see [`group::TableGroup::objects`].
    /// The applied versions are tried last and count as consistent, so `None` is not expected.
    fn find_consistent(&self, group: group::TableGroup) -> Option<Vec<u128>> {
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

    /// Checks versions against each other, where `None` stands for an empty table.
    ///
    /// The applied versions are known to be consistent, also if none is applied yet, and are not
    /// checked again.
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
                set_document(&mut documents, &choice.document);
            }
        }
        snapshot::TableSnapshot::try_from(&documents).err().unwrap_or_default()
    }

    /// Checks the newest valid versions of a group's objects and records their faults.
    ///
    /// An object whose newest version was not valid keeps the fault that [`Self::offer`] recorded.
    fn record_faults(&mut self, group: group::TableGroup) {
        let newest_valid = |object: candidate::TableObject| self.history(object).choices().next();
        let choices: Vec<_> = group
            .objects()
            .iter()
            .map(|object| (*object, newest_valid(*object).flatten()))
            .collect();
        let found = self.check(&choices);
        for object in group.objects() {
            let history = self.history_mut(*object);
            let is_newest_pending =
                history.pending.last().is_some_and(|last| last.version == history.newest_read);
            if is_newest_pending {
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
            set_document(&mut documents, &chosen.document);
        }
        documents
    }

    fn versions(&self, version: impl Fn(&ObjectHistory) -> u128) -> snapshot::TableVersions {
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

fn version_of(choice: Option<&candidate::CandidateObject>) -> u128 {
    choice.map_or(0, |choice| choice.version)
}

/// Returns the faults whose path starts with the name of an object, or all faults if none does.
fn faults_of(object: candidate::TableObject, found: &fault::FaultList) -> fault::FaultList {
    let prefix = object.to_string();
    let object_faults = found.faults.iter().filter(|fault| fault.path.starts_with(&prefix));
    let object_faults: Vec<_> = object_faults.cloned().collect();
    if object_faults.is_empty() {
        found.clone()
    } else {
        fault::FaultList { faults: object_faults }
    }
}

fn empty_documents() -> snapshot::TableDocuments {
    let steering = serde_json::from_str(EMPTY_STEERING).expect("the text is a steering object");
    snapshot::TableDocuments { steering, ..Default::default() }
}

fn set_document(documents: &mut snapshot::TableDocuments, document: &candidate::CandidateDocument) {
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
