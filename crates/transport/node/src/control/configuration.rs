//! Follows the configuration objects of the store.

use std::sync;
use std::time;

use marjoramwing_configuration::candidate;
use marjoramwing_configuration::configuration;
use marjoramwing_events::catalogue;
use marjoramwing_events::emit;
use marjoramwing_objects::object;
use marjoramwing_objects::operation;
use marjoramwing_store_client::client;
use marjoramwing_tables::fault;

use crate::shared;

const WATCH_WAIT: time::Duration = time::Duration::from_secs(10);
const RETRY_DELAY: time::Duration = time::Duration::from_millis(500);

/// Follows the configuration objects of the store.
#[derive(Debug)]
pub struct ConfigurationFollower {
    shared: sync::Arc<shared::SharedTables>,
    client: client::StoreClient,
    keeper: configuration::ConfigurationKeeper,
    revision: u64,
    reachable: bool,
}

impl ConfigurationFollower {
    /// Makes a follower that knows no object yet.
    #[must_use]
    pub fn new(shared: sync::Arc<shared::SharedTables>, client: client::StoreClient) -> Self {
        let keeper = configuration::ConfigurationKeeper::default();
        Self { shared, client, keeper, revision: 0, reachable: true }
    }

    /// Follows the store until the task is cancelled.
    pub async fn run(mut self) {
        loop {
            match self.follow_once().await {
                Ok(()) => self.note_reachable(),
                Err(error) => {
                    self.note_unreachable(&error);
                    tokio::time::sleep(RETRY_DELAY).await;
                }
            }
        }
    }

    async fn follow_once(&mut self) -> Result<(), client::StoreError> {
        let kind = object::ObjectKind::Tables;
        let request = operation::WatchRequest { kind, after: self.revision, wait: WATCH_WAIT };
        let answer = self.client.watch(&request).await?;
        let mut objects = Vec::new();
        for change in &answer.changes {
            if let Some(table) = candidate::TableObject::from_name(&change.name) {
                objects.extend(self.read(table).await?);
            }
        }
        self.accept_all(objects);
        self.revision = answer.revision;
        Ok(())
    }

    async fn read(
        &self,
        table: candidate::TableObject,
    ) -> Result<Option<candidate::CandidateObject>, client::StoreError> {
        let answer = self.client.read(&table.object_name()).await?;
        let operation::StoreAnswer::Found(stored) = answer else { return Ok(None) };
        match candidate::CandidateObject::parse(table, stored.version.0, stored.value) {
            Ok(object) => Ok(Some(object)),
            Err(kind) => {
                let mut faults = fault::FaultList::default();
                faults.add(table.to_string(), kind);
                self.refuse(&faults);
                Ok(None)
            }
        }
    }

    fn accept_all(&mut self, objects: Vec<candidate::CandidateObject>) {
        match self.keeper.accept_all(objects) {
            configuration::AcceptOutcome::Applied(applied) => self.apply(applied),
            configuration::AcceptOutcome::Stale => {}
            configuration::AcceptOutcome::Refused(faults) => self.refuse(&faults),
        }
    }

    fn apply(&self, applied: configuration::AppliedTables) {
        emit!(catalogue::TABLES_APPLIED, versions = ?applied.versions);
        self.shared.apply(applied);
    }

    fn refuse(&self, faults: &fault::FaultList) {
        self.shared.metrics.refused_objects.inc();
        emit!(catalogue::TABLES_REFUSED, faults = %faults);
    }

    fn note_reachable(&mut self) {
        if !self.reachable {
            self.reachable = true;
            emit!(catalogue::STORE_REACHABLE);
        }
    }

    fn note_unreachable(&mut self, error: &client::StoreError) {
        if self.reachable {
            self.reachable = false;
            emit!(catalogue::STORE_UNREACHABLE, error = %error);
        }
    }
}
