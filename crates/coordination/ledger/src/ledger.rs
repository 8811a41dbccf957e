//! Admission of requests under the limits that this instance knows.

use std::collections;
use std::time as duration;

use marjoramwing_derives as derives;
use marjoramwing_entity::time;
use marjoramwing_tables::team;

use crate::bucket;
use crate::limit;

/// What admission says of one request.
#[derives::value]
pub enum AdmitOutcome {
    /// The request may run.
    Admitted,
    /// The limit is used up; a token is expected after the delay.
    Refused {
        /// Time until a token is expected.
        retry_after: duration::Duration,
    },
}

/// Admits requests under limits.
#[derive(Debug, Default)]
pub struct ShareLedger {
    buckets: collections::HashMap<limit::LimitId, LimitBucket>,
}

#[derive(Debug)]
struct LimitBucket {
    limit: team::RateLimit,
    bucket: bucket::TokenBucket,
}

impl ShareLedger {
    /// Sets the limit of an id; an unchanged limit keeps its tokens.
    pub fn set_limit(
        &mut self,
        id: limit::LimitId,
        limit: team::RateLimit,
        fraction: f64,
        now: time::Timestamp,
    ) {
        let bucket = bucket::TokenBucket::new(limit, fraction, now);
        let known = self.buckets.entry(id).or_insert(LimitBucket { limit, bucket });
        if known.limit != limit {
            *known = LimitBucket { limit, bucket };
        }
    }

    /// Admits or refuses one request.
    pub fn admit(&mut self, id: limit::LimitId, now: time::Timestamp) -> AdmitOutcome {
        let Some(known) = self.buckets.get_mut(&id) else {
            return AdmitOutcome::Admitted;
        };
        if known.bucket.take(now) {
            return AdmitOutcome::Admitted;
        }
        let retry_after = duration::Duration::from_secs_f64(1.0 / known.limit.rate);
        AdmitOutcome::Refused { retry_after }
    }
}
