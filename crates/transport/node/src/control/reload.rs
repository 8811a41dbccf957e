//! Reloads the settings file on a signal.

use std::path;
use std::sync;

use marjoramwing_events::catalogue;
use marjoramwing_events::emit;
use marjoramwing_settings::settings;
use tokio::signal::unix;

use crate::shared;

/// Reloads the file on every `reload` signal until the task is cancelled.
///
/// A faulty file changes nothing. Only the bounds take effect at once; everything else,
/// such as addresses, identity and secrets, is fixed at start. The log line reports
/// `needs_restart` if the listen addresses, the identity or the store differ.
pub async fn reload_settings(
    shared: sync::Arc<shared::InstanceState>,
    file: path::PathBuf,
    mut reload: unix::Signal,
) {
    while reload.recv().await.is_some() {
        match settings::InstanceSettings::load(&file) {
            Ok(reloaded) => {
                shared.dispatch.set_bounds(reloaded.bounds);
                let needs_restart = reloaded.listen != shared.settings.listen
                    || reloaded.identity != shared.settings.identity
                    || reloaded.store != shared.settings.store;
                emit!(catalogue::SETTINGS_RELOADED, file = %file.display(), needs_restart);
            }
            Err(faults) => {
                emit!(catalogue::SETTINGS_REFUSED, file = %file.display(), faults = %faults);
            }
        }
    }
}
