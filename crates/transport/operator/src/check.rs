//! Checks settings and tables without any process.

use std::fs;
use std::path;

use marjoramwing_settings::settings;
use marjoramwing_tables::snapshot;

use crate::command;

/// Checks a settings file and prints every fault with its path and remedy.
#[must_use]
pub fn check_settings(file: &path::Path) -> command::CommandExit {
    match settings::InstanceSettings::load(file) {
        Ok(_) => command::CommandExit::Done,
        Err(faults) => {
            for fault in &faults.faults {
                eprintln!("{}: {fault}", file.display());
            }
            command::CommandExit::Faulty
        }
    }
}

/// Checks a directory of table documents against each other.
#[must_use]
pub fn check_tables(directory: &path::Path) -> command::CommandExit {
    match load_tables(directory) {
        Ok(documents) => match snapshot::TableSnapshot::try_from(&documents) {
            Ok(_) => command::CommandExit::Done,
            Err(faults) => {
                for fault in &faults.faults {
                    eprintln!("{}: {fault}", directory.display());
                }
                command::CommandExit::Faulty
            }
        },
        Err(message) => {
            eprintln!("{message}");
            command::CommandExit::Faulty
        }
    }
}

fn load_tables(directory: &path::Path) -> Result<snapshot::TableDocuments, String> {
    Ok(snapshot::TableDocuments {
        routes: load_document(directory, "routes.json")?,
        pools: load_document(directory, "pools.json")?,
        teams: load_document(directory, "teams.json")?,
        keys: load_document(directory, "keys.json")?,
        steering: load_document(directory, "steering.json")?,
    })
}

fn load_document<T: serde::de::DeserializeOwned>(
    directory: &path::Path,
    file: &str,
) -> Result<T, String> {
    let file = directory.join(file);
    let text =
        fs::read(&file).map_err(|error| format!("{}: {error}; check the path", file.display()))?;
    serde_json::from_slice(&text)
        .map_err(|error| format!("{}: {error}; correct the document", file.display()))
}
