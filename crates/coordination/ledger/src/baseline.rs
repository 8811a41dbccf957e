//! A static even split of each limit over the instances, as a baseline.
//!
//! It needs no messages and never exceeds a limit while the count of instances is right,
//! but it refuses requests that one global bucket would admit. Used for differential
//! measurement.

use std::collections;

use marjoramwing_entity::time;
use marjoramwing_tables::team;

use crate::bucket;
use crate::limit;
use crate::share;

/// Admits requests under a static even split of each limit.
#[derive(Debug, Default)]
pub struct EvenSplit {
    buckets: collections::BTreeMap<limit::LimitId, bucket::TokenBucket>,
}

impl EvenSplit {
    /// Sets a limit and the number of instances that it is split over.
    pub fn set_limit(
        &mut self,
        id: limit::LimitId,
        limit: team::RateLimit,
        instances: u32,
        now: time::Timestamp,
    ) {
        let units = share::ShareUnits::even_split(instances);
        let bucket = bucket::TokenBucket::full(limit, units, now);
        self.buckets.insert(id, bucket);
    }

    /// Returns true if one request is admitted.
    pub fn admit(&mut self, id: limit::LimitId, now: time::Timestamp) -> bool {
        self.buckets.get_mut(&id).is_none_or(|bucket| bucket.take(1, now))
    }
}
