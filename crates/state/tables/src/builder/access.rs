//! Checks teams and keys.

use std::sync::Arc;

use crate::builder;
use crate::credential;
use crate::document;
use crate::fault;
use crate::name;
use crate::team;

impl builder::SnapshotBuilder {
    pub(super) fn add_teams(&mut self, raw: &document::TeamsDocument) {
        for (index, row) in raw.teams.iter().enumerate() {
            let path = format!("teams[{index}]");
            let name = self.check_name(format!("{path}.name"), &row.name, name::TeamName::of_text);
            let limit = self.faults.check(path.clone(), team::RateLimit::new(row.rate, row.burst));
            let Some(name) = name else { continue };
            if let Some(known) = self.team_keys.get(&row.name) {
                self.team_rows.push(*known);
                self.faults.add(path, fault::FaultKind::Duplicate(Arc::clone(&row.name)));
                continue;
            }
            // A team with a faulty limit stays known, so that its keys do not cause further faults.
            let limit = limit.unwrap_or_else(|| team::RateLimit::nearest(row.rate, row.burst));
            let (priority, regions) = (row.priority, row.regions.clone());
            let key = self.snapshot.teams.push(team::Team { name, limit, priority, regions });
            self.team_keys.insert(Arc::clone(&row.name), key);
            self.team_rows.push(key);
        }
    }

    /// Returns the team that a key refers to. If faults are confined, that may be by position.
    fn find_team(&self, reference: &Arc<str>) -> Result<team::TeamKey, fault::FaultKind> {
        match reference.strip_prefix(document::POSITION_MARK).filter(|_| self.is_confining()) {
            Some(position) => {
                let row = position
                    .parse()
                    .ok()
                    .and_then(|position: usize| self.team_rows.get(position).copied());
                let name = Arc::clone(reference);
                row.ok_or(fault::FaultKind::Unknown { object: "teams", name })
            }
            None => builder::find_named(&self.team_keys, "teams", reference),
        }
    }

    pub(super) fn add_keys(&mut self, raw: &document::KeysDocument) {
        self.snapshot.key_format = match raw.opaque {
            true => credential::KeyFormat::Opaque,
            false => credential::KeyFormat::Dotted,
        };
        for (index, row) in raw.keys.iter().enumerate() {
            let path = format!("keys[{index}]");
            let Some(credential) = self.check_key(&path, row) else {
                continue;
            };
            let id = credential.id.text();
            if raw.opaque && *id != *credential.hash.opaque_id() {
                self.faults.add(
                    format!("{path}.id"),
                    fault::FaultKind::Malformed {
                        text: Arc::clone(&id),
                        expected: "the first 16 digits of the key's hash, by which an opaque key is found",
                    },
                );
                continue;
            }
            match self.snapshot.credentials.get(&id) {
                None => {
                    self.snapshot.credentials.insert(id, credential);
                }
                // The users' store may hold a tenant that lists a key twice.
                Some(known) if self.is_confining() && *known == credential => {}
                Some(_) => self.faults.add(path, fault::FaultKind::Duplicate(id)),
            }
        }
    }

    fn check_key(
        &mut self,
        path: &str,
        row: &document::KeyDocument,
    ) -> Option<credential::Credential> {
        let id = self.faults.check(format!("{path}.id"), name::KeyId::try_from(&row.id));
        let found = self.find_team(&row.team);
        let team = self.faults.check(format!("{path}.team"), found);
        let hash = credential::KeyHash::try_from(&row.sha256);
        let hash = self.faults.check(format!("{path}.sha256"), hash);
        Some(credential::Credential { id: id?, team: team?, hash: hash? })
    }
}
