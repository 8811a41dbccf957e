//! Intervals and limits of configuration distribution.

use std::time;

use marjoramwing_derives as derives;

/// How keyed requests are treated when an instance cannot distinguish a store outage from a
/// network partition of its own.
#[derives::value]
pub enum UndecidedKeys {
    /// Refuses keyed requests as not run; open routes are still served.
    Refuse,
    /// Continues to accept the keys that it knows.
    Serve,
}

/// Intervals and limits; the same on all instances of a deployment.
#[derives::value]
pub struct ConfigurationSettings {
    /// Number of instances in each region that watch the store.
    pub watchers_per_region: usize,
    /// Longest time that the store holds a watch open.
    pub watch_wait: time::Duration,
    /// Delay until the next watch or poll after a failed call, which doubles with each further
    /// failure; also the delay before a read is repeated.
    pub retry_delay: time::Duration,
    /// Upper limit of the retry delay.
    pub max_retry_delay: time::Duration,
    /// Longest random delay of the first store call, so that instances that start at the same time
    /// do not call the store at the same time.
    pub max_start_delay: time::Duration,
    /// Poll interval of an instance that has no tables yet or whose tables are ageing.
    pub initial_poll_interval: time::Duration,
    /// Poll interval of an instance that has tables and does not watch the store.
    pub poll_interval: time::Duration,
    /// Interval at which digests are sent to peers.
    pub digest_interval: time::Duration,
    /// Time after which a digest counts as unanswered.
    pub digest_timeout: time::Duration,
    /// Number of instances in the same region that are notified of a new object.
    pub local_notices: usize,
    /// Number of instances in other regions that are notified of a new object.
    pub remote_notices: usize,
    /// Time to wait for an object from one peer before asking the next.
    pub fetch_timeout: time::Duration,
    /// Largest number of objects sent to peers between two ticks.
    pub uploads_per_tick: usize,
    /// Shortest time for which an object is faulty before its status is reported.
    pub status_delay: time::Duration,
    /// Age of the tables above which the keys are not trusted without confirmation of an outage.
    pub max_age: time::Duration,
    /// Time for which a peer's report on the store is valid.
    pub peer_report_ttl: time::Duration,
    /// Treatment of keyed requests when an outage cannot be distinguished from a partition.
    pub undecided: UndecidedKeys,
    /// Whether a single store object holds routes, pools, teams and keys; steering is then never
    /// applied.
    pub single_object: bool,
    /// Whether new objects are announced to peers; disabled only in tests.
    pub sends_notices: bool,
    /// Whether digests and early polls recover missed notices; disabled only in tests.
    pub anti_entropy: bool,
    /// Whether an outage must be confirmed by peers; disabled only in tests.
    pub requires_peer_reports: bool,
}

impl Default for ConfigurationSettings {
    fn default() -> Self {
        Self {
            watchers_per_region: 3,
            watch_wait: time::Duration::from_secs(1),
            retry_delay: time::Duration::from_millis(500),
            max_retry_delay: time::Duration::from_secs(4),
            max_start_delay: time::Duration::from_secs(3),
            initial_poll_interval: time::Duration::from_secs(2),
            poll_interval: time::Duration::from_secs(60),
            digest_interval: time::Duration::from_secs(1),
            digest_timeout: time::Duration::from_secs(4),
            local_notices: 4,
            remote_notices: 1,
            fetch_timeout: time::Duration::from_millis(1_500),
            uploads_per_tick: 8,
            status_delay: time::Duration::from_secs(2),
            max_age: time::Duration::from_secs(15),
            peer_report_ttl: time::Duration::from_secs(10),
            undecided: UndecidedKeys::Refuse,
            single_object: false,
            sends_notices: true,
            anti_entropy: true,
            requires_peer_reports: true,
        }
    }
}

impl ConfigurationSettings {
    /// Returns the settings for a store that limits the number of calls, counts a long watch as one
    /// call and includes the values in its answer.
    #[must_use]
    pub fn for_metered_store() -> Self {
        Self {
            // A long watch costs one call and is faster than a notice from a peer.
            watchers_per_region: usize::MAX,
            watch_wait: time::Duration::from_secs(28),
            retry_delay: time::Duration::from_millis(250),
            max_retry_delay: time::Duration::from_secs(1),
            max_start_delay: time::Duration::from_millis(100),
            initial_poll_interval: time::Duration::from_millis(500),
            single_object: true,
            ..Self::default()
        }
    }
}
