//! The ledger's state, in a form that operators read.

use std::time as duration;

use marjoramwing_entity::time;

use crate::ledger;
use crate::lending;
use crate::share;

/// Limits that a dump lists at most.
const MAX_LISTED: usize = 1_000;

/// The ledger's state.
#[derive(Debug, Clone, PartialEq, serde::Serialize)]
pub struct LedgerDump {
    /// Time left in the lease under which this instance holds limits.
    pub lease_left: duration::Duration,
    /// Term of that lease.
    pub term: u32,
    /// Incarnation that takes over when the lease lapses.
    pub heir: Option<String>,
    /// Limits that are set.
    pub limits: usize,
    /// Limits that this instance holds or has a share of.
    pub shares: Vec<ShareDump>,
}

/// One limit's share at this instance.
#[derive(Debug, Clone, PartialEq, serde::Serialize)]
pub struct ShareDump {
    /// Number of the limit.
    pub limit: String,
    /// Incarnation of the holder, as far as known here.
    pub holder: Option<String>,
    /// Part of the limit that is held here.
    pub held: f64,
    /// Loans that are out.
    pub loans: usize,
    /// Part of the limit that is borrowed here.
    pub borrowed: f64,
    /// Requests per second that arrive here.
    pub demand: f64,
}

impl ledger::ShareLedger {
    /// Writes the ledger's state.
    #[must_use]
    pub fn dump(&self, now: time::Timestamp) -> LedgerDump {
        let mut shares = Vec::new();
        for (id, state) in &self.limits {
            let loan = state.borrowed.loan.as_ref();
            if (state.held.is_none() && loan.is_none()) || shares.len() >= MAX_LISTED {
                continue;
            }
            let held = state.held.as_ref();
            shares.push(ShareDump {
                limit: id.to_string(),
                holder: self.directory.holder(*id).map(|known| known.holder.to_string()),
                held: held.map_or(0.0, |held| fraction(held.bucket.units())),
                loans: held.map_or(0, lending::HeldLimit::loan_count),
                borrowed: loan.map_or(0.0, |loan| fraction(loan.bucket.units())),
                demand: state.demand.per_second(now),
            });
        }
        LedgerDump {
            lease_left: self.lease.valid_until().since(now),
            term: self.lease.term(),
            heir: self.lease.heir().map(|heir| heir.to_string()),
            limits: self.limits.len(),
            shares,
        }
    }
}

fn fraction(units: share::ShareUnits) -> f64 {
    f64::from(units.as_u32()) / f64::from(share::ShareUnits::WHOLE.as_u32())
}
