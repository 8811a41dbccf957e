//! Chooses the greatest consistent versions of the tables.
//!
//! Invariant: the version applied of each object never falls.

use std::sync::Arc;

use marjoramwing_tables::fault;
use marjoramwing_tables::snapshot;

use crate::candidate;

/// What accepting objects led to.
#[derive(Debug, Clone)]
pub enum AcceptOutcome {
    /// A new set of tables is to be put in force.
    Applied(AppliedTables),
    /// No object is newer than the known one.
    Stale,
    /// The objects wait for others to become consistent, or are faulty.
    Refused(fault::FaultList),
}

/// A consistent set of tables.
#[derive(Debug, Clone)]
pub struct AppliedTables {
    /// Versions of the objects.
    pub versions: snapshot::TableVersions,
    /// Checked tables.
    pub snapshot: Arc<snapshot::TableSnapshot>,
}

/// Keeps the newest objects and the versions in force.
#[derive(Debug, Default)]
pub struct ConfigurationKeeper {
    newest: snapshot::TableVersions,
    applied: snapshot::TableVersions,
    documents: snapshot::TableDocuments,
}

impl ConfigurationKeeper {
    /// Returns the versions in force.
    #[must_use]
    pub fn applied(&self) -> snapshot::TableVersions {
        self.applied
    }

    /// Takes in objects read together and tells whether a new set is to be put in force.
    pub fn accept_all(
        &mut self,
        objects: impl IntoIterator<Item = candidate::CandidateObject>,
    ) -> AcceptOutcome {
        let mut is_newer = false;
        for object in objects {
            is_newer |= self.replace_older(object);
        }
        if is_newer { self.apply_newest() } else { AcceptOutcome::Stale }
    }

    fn replace_older(&mut self, object: candidate::CandidateObject) -> bool {
        let newest = newest_version(&mut self.newest, &object.document);
        if object.version <= *newest {
            return false;
        }
        *newest = object.version;
        replace_document(&mut self.documents, object.document);
        true
    }

    fn apply_newest(&mut self) -> AcceptOutcome {
        match snapshot::TableSnapshot::try_from(&self.documents) {
            Ok(tables) => {
                self.applied = self.newest;
                AcceptOutcome::Applied(AppliedTables {
                    versions: self.applied,
                    snapshot: Arc::new(tables),
                })
            }
            Err(faults) => AcceptOutcome::Refused(faults),
        }
    }
}

fn newest_version<'a>(
    versions: &'a mut snapshot::TableVersions,
    document: &candidate::CandidateDocument,
) -> &'a mut u64 {
    match document {
        candidate::CandidateDocument::Routes(_) => &mut versions.routes,
        candidate::CandidateDocument::Pools(_) => &mut versions.pools,
        candidate::CandidateDocument::Teams(_) => &mut versions.teams,
        candidate::CandidateDocument::Keys(_) => &mut versions.keys,
        candidate::CandidateDocument::Steering(_) => &mut versions.steering,
    }
}

fn replace_document(
    documents: &mut snapshot::TableDocuments,
    document: candidate::CandidateDocument,
) {
    match document {
        candidate::CandidateDocument::Routes(routes) => documents.routes = (*routes).clone(),
        candidate::CandidateDocument::Pools(pools) => documents.pools = (*pools).clone(),
        candidate::CandidateDocument::Teams(teams) => documents.teams = (*teams).clone(),
        candidate::CandidateDocument::Keys(keys) => documents.keys = (*keys).clone(),
        candidate::CandidateDocument::Steering(steering) => {
            documents.steering = (*steering).clone();
        }
    }
}
