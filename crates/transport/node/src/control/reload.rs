//! Reads the settings file again when the process is told to.

use std::path;
use std::sync;

use marjoramwing_events::catalogue;
use marjoramwing_events::emit;
use marjoramwing_settings::settings;
use tokio::signal::unix;

use crate::shared;

/// Reads the file again at every signal until the task is cancelled.
///
/// A faulty file changes nothing. What the process is bound to from its start
/// (addresses, identity, secrets) needs a restart, which the log says.
pub async fn follow_settings(
    shared: sync::Arc<shared::SharedTables>,
    file: path::PathBuf,
    mut reload: unix::Signal,
) {
    while reload.recv().await.is_some() {
        match settings::InstanceSettings::load(&file) {
            Ok(read) => {
                shared.dispatch.set_bounds(read.bounds);
                let needs_restart = read.listen != shared.settings.listen
                    || read.identity != shared.settings.identity
                    || read.store != shared.settings.store;
                emit!(catalogue::SETTINGS_RELOADED, file = %file.display(), needs_restart);
            }
            Err(faults) => {
                emit!(catalogue::SETTINGS_REFUSED, file = %file.display(), faults = %faults);
            }
        }
    }
}
