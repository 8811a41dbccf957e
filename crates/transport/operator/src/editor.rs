//! Reads and conditionally writes the objects of the store.
//!
//! Invariants: a candidate that is faulty together with the store's other
//! tables is never written; a write is sent again only after a read-back
//! showed that its version is still the expected one.

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

/// Read-backs of one lost answer before the edit is given up as unknown.
const MAX_READ_BACKS: u32 = 5;
const READ_BACK_DELAY: time::Duration = time::Duration::from_millis(200);

/// What is done about a write whose answer was lost.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LostAnswerPolicy {
    /// Reads the object back and compares the edit's identifier.
    ReadBack,
    /// Sends the write again at once; only tests use it.
    Repeat,
}

/// All tables as the store holds them.
#[derive(Debug, Default)]
pub struct StoredTables {
    /// Documents of the objects; an object that does not exist is empty.
    pub documents: snapshot::TableDocuments,
    /// Versions of the objects; 0 for one that does not exist.
    pub versions: snapshot::TableVersions,
}

impl StoredTables {
    /// Returns the version of one object.
    #[must_use]
    pub const fn version(&self, table: candidate::TableObject) -> u64 {
        match table {
            candidate::TableObject::Routes => self.versions.routes,
            candidate::TableObject::Pools => self.versions.pools,
            candidate::TableObject::Teams => self.versions.teams,
            candidate::TableObject::Keys => self.versions.keys,
            candidate::TableObject::Steering => self.versions.steering,
        }
    }

    fn edit_id(&mut self, table: candidate::TableObject) -> &mut Option<Arc<str>> {
        let documents = &mut self.documents;
        match table {
            candidate::TableObject::Routes => &mut documents.routes.edit_id,
            candidate::TableObject::Pools => &mut documents.pools.edit_id,
            candidate::TableObject::Teams => &mut documents.teams.edit_id,
            candidate::TableObject::Keys => &mut documents.keys.edit_id,
            candidate::TableObject::Steering => &mut documents.steering.edit_id,
        }
    }

    fn write_text(&self, table: candidate::TableObject) -> bytes::Bytes {
        let documents = &self.documents;
        let text = match table {
            candidate::TableObject::Routes => serde_json::to_vec_pretty(&documents.routes),
            candidate::TableObject::Pools => serde_json::to_vec_pretty(&documents.pools),
            candidate::TableObject::Teams => serde_json::to_vec_pretty(&documents.teams),
            candidate::TableObject::Keys => serde_json::to_vec_pretty(&documents.keys),
            candidate::TableObject::Steering => serde_json::to_vec_pretty(&documents.steering),
        };
        text.expect("documents have text keys").into()
    }

    fn place(&mut self, object: candidate::CandidateObject) {
        let documents = &mut self.documents;
        match object.document {
            candidate::CandidateDocument::Routes(read) => {
                documents.routes = Arc::unwrap_or_clone(read);
                self.versions.routes = object.version;
            }
            candidate::CandidateDocument::Pools(read) => {
                documents.pools = Arc::unwrap_or_clone(read);
                self.versions.pools = object.version;
            }
            candidate::CandidateDocument::Teams(read) => {
                documents.teams = Arc::unwrap_or_clone(read);
                self.versions.teams = object.version;
            }
            candidate::CandidateDocument::Keys(read) => {
                documents.keys = Arc::unwrap_or_clone(read);
                self.versions.keys = object.version;
            }
            candidate::CandidateDocument::Steering(read) => {
                documents.steering = Arc::unwrap_or_clone(read);
                self.versions.steering = object.version;
            }
        }
    }
}

/// An edit that was written.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct WrittenEdit {
    /// Version that the edit made.
    pub version: u64,
    /// Whether a row of the name was there before.
    pub replaced: bool,
}

/// Edits the tables of one object API.
#[derive(Debug)]
pub struct TableEditor {
    client: client::StoreClient,
    policy: LostAnswerPolicy,
}

impl TableEditor {
    /// Makes an editor.
    #[must_use]
    pub const fn new(client: client::StoreClient, policy: LostAnswerPolicy) -> Self {
        Self { client, policy }
    }

    /// Reads all tables.
    ///
    /// # Errors
    ///
    /// Returns an error when the store does not answer, or every syntax fault.
    pub async fn read(&self) -> Result<StoredTables, command::CommandError> {
        let mut tables = StoredTables::default();
        let mut faults = fault::FaultList::default();
        for table in candidate::TableObject::ALL {
            let answer = self.client.read(&table.object_name()).await;
            let answer = answer.map_err(command::CommandError::Store)?;
            let operation::StoreAnswer::Found(stored) = answer else { continue };
            let parsed = candidate::CandidateObject::parse(table, stored.version.0, stored.value);
            if let Some(object) = faults.check(table.to_string(), parsed) {
                tables.place(object);
            }
        }
        if faults.is_empty() { Ok(tables) } else { Err(command::CommandError::Faulty(faults)) }
    }

    /// Carries out one change if the object has the expected version.
    ///
    /// Without an expected version the one that is read now is expected.
    ///
    /// # Errors
    ///
    /// Returns why the change was not written, or is not known to be.
    pub async fn apply(
        &self,
        change: &row::RowChange,
        expected: Option<u64>,
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
        check_together(&tables).map_err(command::CommandError::Faulty)?;
        let version = self.write(table, &mut tables).await?;
        self.check_afterwards(table, version).await?;
        Ok(WrittenEdit { version, replaced })
    }

    async fn write(
        &self,
        table: candidate::TableObject,
        tables: &mut StoredTables,
    ) -> Result<u64, command::CommandError> {
        let expected = tables.version(table);
        let edit_id: Arc<str> = format!("{:032x}", rand::random::<u128>()).into();
        *tables.edit_id(table) = Some(Arc::clone(&edit_id));
        let write = operation::ConditionalWrite {
            name: table.object_name(),
            expected: (expected > 0).then_some(object::ObjectVersion(expected)),
            value: tables.write_text(table),
        };
        if let Some(version) = self.send(table, &write).await? {
            return Ok(version);
        }
        let unknown = command::CommandError::Unknown {
            object: table.to_string().into(),
            edit_id: Arc::clone(&edit_id),
        };
        if self.policy == LostAnswerPolicy::Repeat {
            return self.send(table, &write).await?.ok_or(unknown);
        }
        let lost = resolution::LostWrite { edit_id: &edit_id, expected };
        for _ in 0..MAX_READ_BACKS {
            match self.resolve(table, lost).await {
                Some(resolution::WriteResolution::Written(version)) => return Ok(version),
                Some(resolution::WriteResolution::Conflict(current)) => {
                    return Err(conflict(table, current));
                }
                Some(resolution::WriteResolution::Hidden) => break,
                Some(resolution::WriteResolution::Pending) => {
                    // The first write may still arrive; at most one of the two takes effect.
                    let _ = self.client.write(&write).await;
                }
                None => tokio::time::sleep(READ_BACK_DELAY).await,
            }
        }
        Err(unknown)
    }

    /// Sends a write for the first time; `None` when its answer was lost.
    async fn send(
        &self,
        table: candidate::TableObject,
        write: &operation::ConditionalWrite,
    ) -> Result<Option<u64>, command::CommandError> {
        match self.client.write(write).await {
            Ok(operation::StoreAnswer::Written(version)) => Ok(Some(version.0)),
            Ok(operation::StoreAnswer::Conflict(current)) => {
                Err(conflict(table, current.map_or(0, |current| current.0)))
            }
            Ok(operation::StoreAnswer::Rejected) => {
                Err(command::CommandError::Refused(table.to_string().into()))
            }
            Err(error @ client::StoreError::Unreachable { .. }) => {
                Err(command::CommandError::Store(error))
            }
            _ => Ok(None),
        }
    }

    async fn resolve(
        &self,
        table: candidate::TableObject,
        lost: resolution::LostWrite<'_>,
    ) -> Option<resolution::WriteResolution> {
        let answer = self.client.read(&table.object_name()).await.ok()?;
        let operation::StoreAnswer::Found(stored) = answer else {
            return Some(lost.resolve(resolution::ReadBack { edit_id: None, version: 0 }));
        };
        let marked: Option<EditMark> = serde_json::from_slice(&stored.value).ok();
        let edit_id = marked.and_then(|mark| mark.edit_id);
        let version = stored.version.0;
        Some(lost.resolve(resolution::ReadBack { edit_id: edit_id.as_deref(), version }))
    }

    /// Tells of an edit of another object that came between check and write.
    async fn check_afterwards(
        &self,
        table: candidate::TableObject,
        current: u64,
    ) -> Result<(), command::CommandError> {
        let Ok(tables) = self.read().await else { return Ok(()) };
        check_together(&tables).map_err(|faults| command::CommandError::Clash {
            object: table.to_string().into(),
            current,
            faults,
        })
    }
}

/// The one member of any object that tells which edit wrote it.
#[derive(serde::Deserialize)]
struct EditMark {
    edit_id: Option<Arc<str>>,
}

fn check_together(tables: &StoredTables) -> Result<(), fault::FaultList> {
    snapshot::TableSnapshot::try_from(&tables.documents).map(drop)
}

fn conflict(table: candidate::TableObject, current: u64) -> command::CommandError {
    command::CommandError::Conflict { object: table.to_string().into(), current }
}
