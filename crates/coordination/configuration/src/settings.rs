//! Periods and bounds of the spreading of configuration.

use std::time;

use marjoramwing_derives as derives;

/// What an instance does that cannot tell a store outage from being cut off.
#[derives::value]
pub enum UndecidedKeys {
    /// It refuses keyed requests as not run; open routes go on.
    Refuse,
    /// It goes on with the keys it knows.
    Serve,
}

/// Periods and bounds; the same on all instances of a deployment.
#[derives::value]
pub struct ConfigurationSettings {
    /// Instances of each region that watch the store.
    pub watchers_per_region: usize,
    /// Longest wait of a watch.
    pub watch_wait: time::Duration,
    /// Time after which a failed call is tried again, at first.
    pub retry: time::Duration,
    /// Longest time after which a failed call is tried again.
    pub max_retry: time::Duration,
    /// Time over which instances that start at once spread their first call.
    pub start_spread: time::Duration,
    /// Time between two polls of an instance that has no tables.
    pub start_poll: time::Duration,
    /// Time between two polls of an instance that does not watch.
    pub poll: time::Duration,
    /// Time between two digests.
    pub ask: time::Duration,
    /// Time after which an answer to a digest is not waited for.
    pub ask_timeout: time::Duration,
    /// Instances of the own region that are told of a new object.
    pub near_notices: usize,
    /// Instances of other regions that are told of a new object.
    pub far_notices: usize,
    /// Longest wait for an object from one peer.
    pub fetch_timeout: time::Duration,
    /// Objects that are sent to peers between two ticks.
    pub uploads_per_tick: usize,
    /// Time for which an object must be faulty before that is reported.
    pub status_delay: time::Duration,
    /// Age of the tables above which keys are in doubt.
    pub max_age: time::Duration,
    /// Time for which a peer's word on the store counts.
    pub witness_memory: time::Duration,
    /// What happens when an outage cannot be told from being cut off.
    pub undecided: UndecidedKeys,
    /// Whether routes, pools, teams and keys come from one object of the store.
    pub one_source: bool,
    /// Whether a new object is announced; only tests switch it off.
    pub notices: bool,
    /// Whether digests and early polls repair misses; only tests switch it off.
    pub repairs: bool,
    /// Whether an outage needs witnesses; only tests switch it off.
    pub witnesses: bool,
}

impl Default for ConfigurationSettings {
    fn default() -> Self {
        Self {
            watchers_per_region: 3,
            watch_wait: time::Duration::from_secs(1),
            retry: time::Duration::from_millis(500),
            max_retry: time::Duration::from_secs(4),
            start_spread: time::Duration::from_secs(3),
            start_poll: time::Duration::from_secs(2),
            poll: time::Duration::from_secs(60),
            ask: time::Duration::from_secs(1),
            ask_timeout: time::Duration::from_secs(4),
            near_notices: 4,
            far_notices: 1,
            fetch_timeout: time::Duration::from_millis(1_500),
            uploads_per_tick: 8,
            status_delay: time::Duration::from_secs(2),
            max_age: time::Duration::from_secs(15),
            witness_memory: time::Duration::from_secs(10),
            undecided: UndecidedKeys::Refuse,
            one_source: false,
            notices: true,
            repairs: true,
            witnesses: true,
        }
    }
}

impl ConfigurationSettings {
    /// For a store that counts each call, a long watch as one, and tells values.
    #[must_use]
    pub fn priced_calls() -> Self {
        Self {
            // A long watch costs little, and a peer's word comes later than the store's.
            watchers_per_region: usize::MAX,
            watch_wait: time::Duration::from_secs(15),
            retry: time::Duration::from_millis(250),
            max_retry: time::Duration::from_secs(1),
            start_spread: time::Duration::from_millis(100),
            start_poll: time::Duration::from_millis(500),
            one_source: true,
            ..Self::default()
        }
    }
}
