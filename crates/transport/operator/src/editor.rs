//! Reads the tables from the store and writes them conditionally.
//!
//! Invariants: a table that is invalid in combination with the other tables in
//! the store is never written; with [`LostResponsePolicy::ReadBack`], a write is
//! retried only after a read-back has shown that the object is still at the
//! expected version.

use std::sync::Arc;
use std::time;

use marjoramwing_configuration::candidate;
use marjoramwing_objects::object;
use marjoramwing_objects::operation;
use marjoramwing_store_client::client;
use marjoramwing_tables::fault;
use marjoramwing_tables::snapshot;

use crate::command;
use crate::resolution;
use crate::row;

/// Maximum read-backs after a lost response before the edit is reported as unknown.
const MAX_READ_BACKS: u32 = 5;
/// Delay after a read-back that failed.
const READ_BACK_DELAY: time::Duration = time::Duration::from_millis(200);

/// Handling of a write whose response was lost.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LostResponsePolicy {
    /// Reads the object back and compares `edit_id`.
    ReadBack,
    /// Retries the write immediately; used only by tests.
    Retry,
}

/// All tables as read from the store.
#[derive(Debug, Default)]
pub struct StoredTables {
    /// Documents of the objects; empty for an object that does not exist.
    pub documents: snapshot::TableDocuments,
    /// Versions of the objects; 0 for an object that does not exist.
    pub versions: snapshot::TableVersions,
}

impl StoredTables {
    /// Returns the version of one object.
    #[must_use]
    pub const fn version(&self, table: candidate::TableObject) -> u128 {
        match table {
            candidate::TableObject::Routes => self.versions.routes,
            candidate::TableObject::Pools => self.versions.pools,
            candidate::TableObject::Teams => self.versions.teams,
            candidate::TableObject::Keys => self.versions.keys,
            candidate::TableObject::Steering => self.versions.steering,
        }
    }

    fn edit_id_mut(&mut self, table: candidate::TableObject) -> &mut Option<Arc<str>> {
        let documents = &mut self.documents;
        match table {
            candidate::TableObject::Routes => &mut documents.routes.edit_id,
            candidate::TableObject::Pools => &mut documents.pools.edit_id,
            candidate::TableObject::Teams => &mut documents.teams.edit_id,
            candidate::TableObject::Keys => &mut documents.keys.edit_id,
            candidate::TableObject::Steering => &mut documents.steering.edit_id,
        }
    }

    fn serialize(&self, table: candidate::TableObject) -> bytes::Bytes {
        let documents = &self.documents;
        let text = match table {
            candidate::TableObject::Routes => serde_json::to_vec_pretty(&documents.routes),
            candidate::TableObject::Pools => serde_json::to_vec_pretty(&documents.pools),
            candidate::TableObject::Teams => serde_json::to_vec_pretty(&documents.teams),
            candidate::TableObject::Keys => serde_json::to_vec_pretty(&documents.keys),
            candidate::TableObject::Steering => serde_json::to_vec_pretty(&documents.steering),
        };
        text.expect("table documents have string keys").into()
    }

    fn insert(&mut self, object: candidate::CandidateObject) {
        let documents = &mut self.documents;
        match object.document {
            candidate::CandidateDocument::Routes(document) => {
                documents.routes = Arc::unwrap_or_clone(document);
                self.versions.routes = object.version;
            }
            candidate::CandidateDocument::Pools(document) => {
                documents.pools = Arc::unwrap_or_clone(document);
                self.versions.pools = object.version;
            }
            candidate::CandidateDocument::Teams(document) => {
                documents.teams = Arc::unwrap_or_clone(document);
                self.versions.teams = object.version;
            }
            candidate::CandidateDocument::Keys(document) => {
                documents.keys = Arc::unwrap_or_clone(document);
                self.versions.keys = object.version;
            }
            candidate::CandidateDocument::Steering(document) => {
                documents.steering = Arc::unwrap_or_clone(document);
                self.versions.steering = object.version;
            }
        }
    }
}

/// Result of an edit that was written.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct WrittenEdit {
    /// Version that the edit created.
    pub version: u128,
    /// True if a row of the name existed before.
    pub replaced: bool,
}

/// Edits the tables in the store behind one object API.
#[derive(Debug)]
pub struct TableEditor {
    client: client::StoreClient,
    policy: LostResponsePolicy,
}

impl TableEditor {
    /// Creates an editor.
    #[must_use]
    pub const fn new(client: client::StoreClient, policy: LostResponsePolicy) -> Self {
        Self { client, policy }
    }

    /// Reads all tables.
    ///
    /// # Errors
    ///
    /// Returns an error if a call to the store fails, or all syntax faults of the tables.
    pub async fn read(&self) -> Result<StoredTables, command::CommandError> {
        let mut tables = StoredTables::default();
        let mut faults = fault::FaultList::default();
        for table in candidate::TableObject::ALL {
            let answer = self.client.read(&table.object_name()).await;
            let answer = answer.map_err(command::CommandError::Store)?;
            let operation::StoreAnswer::Found(stored) = answer else { continue };
            let parsed = candidate::CandidateObject::parse(table, stored.version.0, stored.value);
            if let Some(object) = faults.check(table.to_string(), parsed) {
                tables.insert(object);
            }
        }
        if faults.is_empty() { Ok(tables) } else { Err(command::CommandError::Faulty(faults)) }
    }

    /// Applies one change if the object is at the expected version.
    ///
    /// If `expected` is `None`, the version that is read first is the expected one.
    ///
    /// # Errors
    ///
    /// Returns an error if the change was not written, if that is unknown, or if the
    /// change was written but is inconsistent with a concurrent edit of another table.
    pub async fn apply(
        &self,
        change: &row::RowChange,
        expected: Option<u128>,
    ) -> Result<WrittenEdit, command::CommandError> {
        let table = change.table().object();
        let mut tables = self.read().await?;
        let current = tables.version(table);
        if expected.is_some_and(|expected| expected != current) {
            return Err(conflict(table, current));
        }
        let replaced = change.apply(&mut tables.documents);
        if let row::RowChange::Delete { name, .. } = change
            && !replaced
        {
            let object = table.to_string().into();
            return Err(command::CommandError::Missing { object, name: Arc::clone(name) });
        }
        validate(&tables).map_err(command::CommandError::Faulty)?;
        let version = self.write(table, &mut tables).await?;
        self.validate_after_write(table, version).await?;
        Ok(WrittenEdit { version, replaced })
    }

    async fn write(
        &self,
        table: candidate::TableObject,
        tables: &mut StoredTables,
    ) -> Result<u128, command::CommandError> {
        let expected = tables.version(table);
        let edit_id: Arc<str> = format!("{:032x}", rand::random::<u128>()).into();
        *tables.edit_id_mut(table) = Some(Arc::clone(&edit_id));
        let write = operation::ConditionalWrite {
            name: table.object_name(),
            expected: (expected > 0).then_some(object::ObjectVersion(expected)),
            value: tables.serialize(table),
        };
        if let Some(version) = self.send(table, &write).await? {
            return Ok(version);
        }
        let unknown = command::CommandError::Unknown {
            object: table.to_string().into(),
            edit_id: Arc::clone(&edit_id),
        };
        if self.policy == LostResponsePolicy::Retry {
            return self.send(table, &write).await?.ok_or(unknown);
        }
        let unacknowledged_write = resolution::UnacknowledgedWrite { edit_id: &edit_id, expected };
        for _ in 0..MAX_READ_BACKS {
            match self.resolve(table, unacknowledged_write).await {
                Some(resolution::WriteResolution::Written(version)) => return Ok(version),
                Some(resolution::WriteResolution::Conflict(current)) => {
                    return Err(conflict(table, current));
                }
                Some(resolution::WriteResolution::Indeterminate) => break,
                Some(resolution::WriteResolution::Pending) => {
                    // The first write may still be in flight; both expect the same version, so
                    // at most one takes effect.
                    let _ = self.client.write(&write).await;
                }
                None => tokio::time::sleep(READ_BACK_DELAY).await,
            }
        }
        Err(unknown)
    }

    /// Sends a write; returns `None` if it is unknown whether the write took effect.
    async fn send(
        &self,
        table: candidate::TableObject,
        write: &operation::ConditionalWrite,
    ) -> Result<Option<u128>, command::CommandError> {
        match self.client.write(write).await {
            Ok(operation::StoreAnswer::Written(version)) => Ok(Some(version.0)),
            Ok(operation::StoreAnswer::Conflict(current)) => {
                Err(conflict(table, current.map_or(0, |current| current.0)))
            }
            Ok(operation::StoreAnswer::Rejected) => {
                Err(command::CommandError::Rejected(table.to_string().into()))
            }
            Err(error @ client::StoreError::Unreachable { .. }) => {
                Err(command::CommandError::Store(error))
            }
            _ => Ok(None),
        }
    }

    /// Reads the object back to determine the outcome of a write; returns `None` if the read fails.
    async fn resolve(
        &self,
        table: candidate::TableObject,
        write: resolution::UnacknowledgedWrite<'_>,
    ) -> Option<resolution::WriteResolution> {
        let answer = self.client.read(&table.object_name()).await.ok()?;
        let operation::StoreAnswer::Found(stored) = answer else {
            return Some(write.resolve(resolution::ReadBack { edit_id: None, version: 0 }));
        };
        let mark: Option<EditMark> = serde_json::from_slice(&stored.value).ok();
        let edit_id = mark.and_then(|mark| mark.edit_id);
        let version = stored.version.0;
        Some(write.resolve(resolution::ReadBack { edit_id: edit_id.as_deref(), version }))
    }

    /// Validates the tables again, since another object may have been edited between
    /// the first validation and the write.
    ///
    /// Succeeds if the tables cannot be read or parsed.
    async fn validate_after_write(
        &self,
        table: candidate::TableObject,
        version: u128,
    ) -> Result<(), command::CommandError> {
        let Ok(tables) = self.read().await else { return Ok(()) };
        validate(&tables).map_err(|faults| command::CommandError::Inconsistent {
            object: table.to_string().into(),
            current: version,
            faults,
        })
    }
}

/// The `edit_id` field, which all table objects share.
#[derive(serde::Deserialize)]
struct EditMark {
    edit_id: Option<Arc<str>>,
}

fn validate(tables: &StoredTables) -> Result<(), fault::FaultList> {
    snapshot::TableSnapshot::try_from(&tables.documents).map(drop)
}

fn conflict(table: candidate::TableObject, current: u128) -> command::CommandError {
    command::CommandError::Conflict { object: table.to_string().into(), current }
}
