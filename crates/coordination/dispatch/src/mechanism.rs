//! Mechanisms that a test can switch off to show that it needs them.

use marjoramwing_derives as derives;

/// One mechanism that is switched off; outside tests always `Nothing`.
#[derives::value]
#[derive(Default)]
pub enum DisabledMechanism {
    /// All mechanisms work.
    #[default]
    Nothing,
    /// Abandoned attempts count towards the outcome.
    AbandonedAttempts,
    /// A request that may have run is not repeated.
    RepeatGuard,
}
